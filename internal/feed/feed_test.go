package feed_test

import (
	"context"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
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
	changes chan store.WatchBatch
}

func (source *fakeSource) Follow(context.Context, []string) (store.WatchBatch, <-chan store.WatchBatch) {
	return store.WatchBatch{Revision: 7, Events: []store.Event{{KV: store.KV{Key: "servers/a", Value: []byte("x"), ModRevision: 5, CreateRevision: 4}}}}, source.changes
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

// serve starts a feed of the source and returns a follower of it.
func serve(t *testing.T, source *fakeSource) (*feed.Follower, *httptest.Server) {
	t.Helper()
	_, handler := wirepbconnect.NewFeedServiceHandler(&feed.Server{Source: source})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f := feed.NewFollower("", []string{strings.TrimPrefix(server.URL, "http://")}, []string{"servers/"}, slog.New(slog.NewTextHandler(t.Output(), nil)))
	t.Cleanup(f.Close)
	return f, server
}

func TestFollowerReceivesSnapshotThenChanges(t *testing.T) {
	source := &fakeSource{heardAt: time.Now().Add(time.Hour), changes: make(chan store.WatchBatch, 1)}
	f, _ := serve(t, source)
	ctx, cancel := context.WithCancel(t.Context())
	deletion := store.WatchBatch{Revision: 9, Events: []store.Event{{Type: store.EventDelete, KV: store.KV{Key: "servers/a", ModRevision: 9}}}}
	source.changes <- deletion
	var got []store.WatchBatch
	served := f.Follow(ctx, func(batch store.WatchBatch, _ time.Duration, first bool) {
		require.Equal(t, len(got) == 0, first)
		if len(batch.Events) > 0 {
			got = append(got, batch)
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
	source := &fakeSource{heardAt: time.Now(), changes: make(chan store.WatchBatch)}
	f, _ := serve(t, source)
	began := time.Now()
	require.True(t, f.Follow(t.Context(), func(store.WatchBatch, time.Duration, bool) { source.setHeardAt(time.Now().Add(-time.Minute)) }))
	require.Less(t, time.Since(began), 5*time.Second)
	require.False(t, f.Follow(t.Context(), func(store.WatchBatch, time.Duration, bool) { t.Error("a stale copy was served") }))
}

// When a feed's node dies, the follower returns at once, so that its user watches the
// store, and does not try that feed again for a while.
func TestFailedFeedIsNotRetriedAtOnce(t *testing.T) {
	source := &fakeSource{heardAt: time.Now().Add(time.Hour), changes: make(chan store.WatchBatch)}
	f, server := serve(t, source)
	require.True(t, f.Follow(t.Context(), func(store.WatchBatch, time.Duration, bool) { server.CloseClientConnections() }))
	require.False(t, f.Follow(t.Context(), func(store.WatchBatch, time.Duration, bool) { t.Error("followed the failed feed again at once") }))
}

// Guards against a search that goes on for seconds because feeds that do not answer are tried
// in turn, again and again.
func TestFeedsThatDoNotAnswerAreTriedOnceEach(t *testing.T) {
	var tries atomic.Int32
	roots := make([]string, 2)
	for i := range roots {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		roots[i] = listener.Addr().String()
		var accepting sync.WaitGroup
		accepting.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				tries.Add(1)
				t.Cleanup(func() { conn.Close() })
			}
		})
		t.Cleanup(func() { listener.Close(); accepting.Wait() })
	}
	f := feed.NewFollower("", roots, []string{"servers/"}, slog.New(slog.DiscardHandler))
	t.Cleanup(f.Close)
	require.False(t, f.Follow(t.Context(), func(store.WatchBatch, time.Duration, bool) { t.Error("nothing was served") }))
	require.EqualValues(t, len(roots), tries.Load())
}
