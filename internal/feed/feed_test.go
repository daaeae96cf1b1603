package feed_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSource is a feed.Source whose changes and age the test sets.
type fakeSource struct {
	mu      sync.Mutex
	heardAt time.Time
	changes chan *feed.Batch
	// historyFrom is the revision from which on the source knows all changes.
	historyFrom int64
}

func (source *fakeSource) Follow(_ context.Context, since int64) (*feed.Batch, <-chan *feed.Batch) {
	if since < source.historyFrom {
		return nil, nil
	}
	missed := store.WatchBatch{Revision: 7}
	if since < 6 {
		missed.Events = []store.Event{{KV: store.KV{Key: "servers/b", Value: []byte("y"), ModRevision: 6, CreateRevision: 6}}}
	}
	return feed.NewBatch(missed), source.changes
}

func (source *fakeSource) Snapshot() *feed.Batch {
	return feed.NewBatch(store.WatchBatch{Revision: 7, Events: []store.Event{{KV: store.KV{Key: "servers/a", Value: []byte("x"), ModRevision: 5, CreateRevision: 4}}}})
}

func (source *fakeSource) MarkRequested() {}

func (source *fakeSource) LastContact() time.Time {
	source.mu.Lock()
	defer source.mu.Unlock()
	return source.heardAt
}

func (source *fakeSource) setHeardAt(at time.Time) {
	source.mu.Lock()
	defer source.mu.Unlock()
	source.heardAt = at
}

// timing is that of feeds whose changes must be in force within two seconds.
var timing = feed.NewTiming(2 * time.Second)

// from returns a fixed revision.
func from(revision int64) func() int64 { return func() int64 { return revision } }

// serve starts a feed of the source and returns a follower of it.
func serve(t *testing.T, source *fakeSource) (*feed.Follower, *httptest.Server) {
	t.Helper()
	_, handler := wirepbconnect.NewFeedServiceHandler(&feed.Server{Source: source, Timing: timing})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f := feed.NewFollower(feed.Options{Roots: []string{strings.TrimPrefix(server.URL, "http://")}, Prefixes: []string{"servers/"}, Timing: timing, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(f.Close)
	return f, server
}

func TestFollowerReceivesSnapshotThenChanges(t *testing.T) {
	source := &fakeSource{heardAt: time.Now().Add(time.Hour), changes: make(chan *feed.Batch, 1)}
	f, _ := serve(t, source)
	ctx, cancel := context.WithCancel(t.Context())
	deletion := store.WatchBatch{Revision: 9, Events: []store.Event{{Type: store.EventDelete, KV: store.KV{Key: "servers/a", ModRevision: 9}}}}
	source.changes <- feed.NewBatch(deletion)
	var got []store.WatchBatch
	served := f.Follow(ctx, from(0), func(batch *feed.Batch, _ time.Duration, full bool) {
		require.Equal(t, len(got) == 0, full)
		if len(batch.Events) > 0 {
			got = append(got, batch.WatchBatch)
		}
		if len(got) == 2 {
			cancel()
		}
	})
	require.True(t, served)
	require.EqualValues(t, 7, got[0].Revision)
	require.Equal(t, store.KV{Key: "servers/a", Value: []byte("x"), ModRevision: 5, CreateRevision: 4}, got[0].Events[0].KV)
	require.Equal(t, deletion, got[1])
}

// Guards against followers that keep a stale list because their feed is cut off from
// the store: the feed ends their streams within a second and accepts no new ones.
func TestStaleFeedServesNoFollowers(t *testing.T) {
	source := &fakeSource{heardAt: time.Now(), changes: make(chan *feed.Batch)}
	f, _ := serve(t, source)
	began := time.Now()
	require.True(t, f.Follow(t.Context(), from(0), func(*feed.Batch, time.Duration, bool) { source.setHeardAt(time.Now().Add(-time.Minute)) }))
	require.Less(t, time.Since(began), 5*time.Second)
	require.False(t, f.Follow(t.Context(), from(0), func(*feed.Batch, time.Duration, bool) { t.Error("a stale copy was served") }))
}

// When a feed's node dies, the follower returns at once, so that its user watches the
// store, and does not try that feed again for a while.
func TestFailedFeedIsNotRetriedAtOnce(t *testing.T) {
	source := &fakeSource{heardAt: time.Now().Add(time.Hour), changes: make(chan *feed.Batch)}
	f, server := serve(t, source)
	require.True(t, f.Follow(t.Context(), from(0), func(*feed.Batch, time.Duration, bool) { server.CloseClientConnections() }))
	require.False(t, f.Follow(t.Context(), from(0), func(*feed.Batch, time.Duration, bool) { t.Error("followed the failed feed again at once") }))
}

// Guards against sending all entries to each of the hundreds of nodes that change feeds when one
// is lost.
func TestFollowerContinuesFromItsRevision(t *testing.T) {
	for name, c := range map[string]struct {
		since, historyFrom int64
		full               bool
		keys               []string
	}{
		"changes since":                      {since: 5, historyFrom: 3, keys: []string{"servers/b"}},
		"no changes since":                   {since: 7, historyFrom: 3},
		"a copy that is newer than the feed": {since: 9, historyFrom: 3},
		"changes that the feed has missed":   {since: 2, historyFrom: 3, full: true, keys: []string{"servers/a"}},
		"no copy":                            {historyFrom: 3, full: true, keys: []string{"servers/a"}},
	} {
		t.Run(name, func(t *testing.T) {
			source := &fakeSource{heardAt: time.Now().Add(time.Hour), changes: make(chan *feed.Batch), historyFrom: c.historyFrom}
			f, _ := serve(t, source)
			ctx, cancel := context.WithCancel(t.Context())
			require.True(t, f.Follow(ctx, from(c.since), func(batch *feed.Batch, _ time.Duration, full bool) {
				var keys []string
				for _, ev := range batch.Events {
					keys = append(keys, ev.KV.Key)
				}
				require.Equal(t, c.full, full)
				require.Equal(t, c.keys, keys)
				cancel()
			}))
		})
	}
}

// Guards against a tree that forms only after its top has read the store.
func TestFollowerWaitsForFirstCopy(t *testing.T) {
	source := &fakeSource{changes: make(chan *feed.Batch)}
	f, _ := serve(t, source)
	began := time.Now()
	const delay = 900 * time.Millisecond // longer than a feed may be silent
	time.AfterFunc(delay, func() { source.setHeardAt(time.Now().Add(time.Hour)) })
	ctx, cancel := context.WithCancel(t.Context())
	require.True(t, f.Follow(ctx, from(0), func(*feed.Batch, time.Duration, bool) { cancel() }))
	require.GreaterOrEqual(t, time.Since(began), delay)
}
