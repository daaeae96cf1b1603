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

// copied is a copy of the store whose changes and age the test sets.
type copied struct {
	mu      sync.Mutex
	heardAt time.Time
	changes chan store.WatchBatch
}

func (c *copied) Follow(context.Context, []string) (store.WatchBatch, <-chan store.WatchBatch) {
	return store.WatchBatch{Revision: 7, Events: []store.Event{{KV: store.KV{Key: "servers/a", Value: []byte("x"), ModRevision: 5, CreateRevision: 4}}}}, c.changes
}

func (c *copied) Want() {}

func (c *copied) HeardAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heardAt
}

func (c *copied) heard(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = at
}

// serve serves a copy and returns a follower of it.
func serve(t *testing.T, c *copied) (*feed.Follower, *httptest.Server) {
	t.Helper()
	_, handler := wirepbconnect.NewFeedServiceHandler(&feed.Server{Source: c})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f := feed.NewFollower([]string{strings.TrimPrefix(server.URL, "http://")}, []string{"servers/"}, slog.New(slog.DiscardHandler))
	t.Cleanup(f.Close)
	return f, server
}

func TestFollowerGetsAllAndThenChanges(t *testing.T) {
	c := &copied{heardAt: time.Now().Add(time.Hour), changes: make(chan store.WatchBatch, 1)}
	f, _ := serve(t, c)
	ctx, cancel := context.WithCancel(t.Context())
	deleted := store.WatchBatch{Revision: 9, Events: []store.Event{{Type: store.EventDelete, KV: store.KV{Key: "servers/a", ModRevision: 9}}}}
	c.changes <- deleted
	var got []store.WatchBatch
	served := f.Follow(ctx, func(batch store.WatchBatch, first bool) {
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
	require.Equal(t, deleted, got[1])
}

// A feed is cut off from the store. Its followers would believe an old list for as
// long as it went on: it ends their streams within a second, and takes no new ones.
func TestFeedWithAnOldCopyServesNobody(t *testing.T) {
	c := &copied{heardAt: time.Now(), changes: make(chan store.WatchBatch)}
	f, _ := serve(t, c)
	began := time.Now()
	require.True(t, f.Follow(t.Context(), func(store.WatchBatch, bool) { c.heard(time.Now().Add(-time.Minute)) }))
	require.Less(t, time.Since(began), 5*time.Second)
	require.False(t, f.Follow(t.Context(), func(store.WatchBatch, bool) { t.Error("an old copy was served") }))
}

// A feed's node dies. The follower hears so at once and watches the store itself,
// and leaves that feed alone for a while.
func TestLostFeedIsLeftAlone(t *testing.T) {
	c := &copied{heardAt: time.Now().Add(time.Hour), changes: make(chan store.WatchBatch)}
	f, server := serve(t, c)
	require.True(t, f.Follow(t.Context(), func(store.WatchBatch, bool) { server.CloseClientConnections() }))
	require.False(t, f.Follow(t.Context(), func(store.WatchBatch, bool) { t.Error("followed again at once") }))
}
