package fleet_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// idleBatchStore sends an empty batch at each interval on an idle watch, as drivers do.
type idleBatchStore struct {
	*memstore.Store
	interval time.Duration
}

func (b idleBatchStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	in, err := b.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		reached := from - 1
		for {
			batch := store.WatchBatch{Revision: reached}
			select {
			case got, ok := <-in:
				if !ok {
					return
				}
				batch, reached = got, got.Revision
			case <-time.After(b.interval):
			}
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// applyTo applies a change to a copy of a view's entries.
func applyTo(entries map[string]store.KV, c fleet.Change) {
	for _, kv := range c.Written {
		entries[kv.Key] = kv
	}
	for _, key := range c.Removed {
		delete(entries, key)
	}
}

// mirrorHarness runs a mirror and maintains the entries of one of its views by its notifications.
type mirrorHarness struct {
	mem     *memstore.Store
	mirror  *fleet.Mirror
	mu      sync.Mutex
	entries map[string]store.KV
	// configChanges counts the notifications of the other view.
	configChanges int
}

func newMirrorHarness(t *testing.T) *mirrorHarness {
	t.Helper()
	h := &mirrorHarness{mem: memstore.New(memstore.Options{}), entries: make(map[string]store.KV)}
	h.mirror = fleet.NewMirror(idleBatchStore{h.mem, 2 * time.Second}, nil, slog.New(slog.DiscardHandler),
		fleet.View{Prefix: "config", OnChange: func(fleet.Change) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.configChanges++
		}},
		fleet.View{Prefix: "servers/", Renewed: true, OnChange: func(c fleet.Change) {
			h.mu.Lock()
			defer h.mu.Unlock()
			applyTo(h.entries, c)
		}})
	return h
}

func (h *mirrorHarness) put(t *testing.T, key string, lease store.LeaseID) {
	t.Helper()
	_, err := h.mem.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put(key, []byte("x"), lease)}})
	require.NoError(t, err)
}

func (h *mirrorHarness) keys() (keys []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := range h.entries {
		keys = append(keys, key)
	}
	return keys
}

// run runs the mirror during test; it must be called inside a synctest bubble.
func (h *mirrorHarness) run(t *testing.T, test func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); h.mirror.Run(ctx) }()
	synctest.Wait()
	test()
	cancel()
	<-done
	h.mem.Close()
}

func TestMirrorAppliesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newMirrorHarness(t)
		h.put(t, "servers/a", 0)
		h.run(t, func() {
			require.ElementsMatch(t, []string{"servers/a"}, h.keys())
			h.put(t, "servers/b", 0)
			h.put(t, "elsewhere", 0)
			synctest.Wait()
			require.ElementsMatch(t, []string{"servers/a", "servers/b"}, h.keys())
			require.Equal(t, 1, h.configChanges, "a view is notified only of its own entries")
			_, err := h.mem.Txn(t.Context(), store.Txn{Then: []store.Op{store.Delete("servers/a")}})
			require.NoError(t, err)
			synctest.Wait()
			require.ElementsMatch(t, []string{"servers/b"}, h.keys())
			require.True(t, h.mirror.Loaded())
			require.Equal(t, h.mem.Revision(), h.mirror.Revision())
		})
	})
}

// The store is down long enough for the leases of live servers to expire, so their entries are
// missing for a moment after it recovers. Dropping them at once would refuse every call
// although all servers are alive. Only the server that does not register again is dropped.
func TestEntriesExpiredDuringStoreOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newMirrorHarness(t)
		lease, err := h.mem.Grant(t.Context(), 3*time.Second)
		require.NoError(t, err)
		h.put(t, "servers/alive", lease)
		h.put(t, "servers/dead", lease)
		h.run(t, func() {
			h.mem.SetFaults(memstore.Faults{Down: true})
			time.Sleep(6 * time.Second)
			require.Len(t, h.keys(), 2, "nothing is dropped during the outage")
			h.mem.SetFaults(memstore.Faults{})
			time.Sleep(time.Second)
			synctest.Wait()
			require.Len(t, h.keys(), 2, "nothing is dropped on recovery")
			h.put(t, "servers/alive", 0)
			time.Sleep(4 * time.Second)
			synctest.Wait()
			require.ElementsMatch(t, []string{"servers/alive"}, h.keys())
		})
	})
}

// The store compacts its history during an outage in which entries change. A watch resumed from
// its last revision would never deliver these changes.
func TestMirrorReloadsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newMirrorHarness(t)
		h.put(t, "servers/a", 0)
		h.run(t, func() {
			h.mem.SetFaults(memstore.Faults{Down: true})
			synctest.Wait()
			h.mem.SetFaults(memstore.Faults{})
			h.put(t, "servers/b", 0)
			_, err := h.mem.Txn(t.Context(), store.Txn{Then: []store.Op{store.Delete("servers/a")}})
			require.NoError(t, err)
			h.mem.Compact(h.mem.Revision())
			time.Sleep(5 * time.Second)
			synctest.Wait()
			require.ElementsMatch(t, []string{"servers/b"}, h.keys())
		})
	})
}

// movingSource is a store that changes while it is read: the second view is read at a later
// revision than the first, where the watch starts.
type movingSource struct{ batches chan store.WatchBatch }

func (s movingSource) Range(_ context.Context, prefix string, _ store.RangeOptions) (store.RangeResult, error) {
	if prefix == "config" {
		return store.RangeResult{Revision: 10}, nil
	}
	return store.RangeResult{Revision: 14, KVs: []store.KV{{Key: "servers/a", Value: []byte("open"), ModRevision: 13}}}, nil
}

func (s movingSource) Watch(context.Context, string, int64) (<-chan store.WatchBatch, error) {
	return s.batches, nil
}

// The reads of the views are not one snapshot: events older than an entry that was read must
// not overwrite it.
func TestOlderEventsDoNotOverwriteEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var values []string
		entries := make(map[string]store.KV)
		source := movingSource{make(chan store.WatchBatch)}
		mirror := fleet.NewMirror(source, nil, slog.New(slog.DiscardHandler), fleet.View{Prefix: "config", OnChange: func(fleet.Change) {}},
			fleet.View{Prefix: "servers/", OnChange: func(c fleet.Change) {
				applyTo(entries, c)
				values = append(values, string(entries["servers/a"].Value))
			}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); mirror.Run(ctx) }()
		put := func(value string, revision int64) store.Event {
			return store.Event{Type: store.EventPut, KV: store.KV{Key: "servers/a", Value: []byte(value), ModRevision: revision}}
		}
		source.batches <- store.WatchBatch{Revision: 11, Events: []store.Event{put("joining", 11)}}
		source.batches <- store.WatchBatch{Revision: 12, Events: []store.Event{{Type: store.EventDelete, KV: store.KV{Key: "servers/a", ModRevision: 12}}}}
		source.batches <- store.WatchBatch{Revision: 15, Events: []store.Event{put("open", 13), put("broken", 15)}}
		synctest.Wait()
		require.NotContains(t, values, "joining")
		require.NotContains(t, values, "")
		require.Equal(t, "broken", values[len(values)-1])
		cancel()
		<-done
	})
}

// staleSource answers the read of the second view from an older state than the first, until
// current is set.
type staleSource struct {
	movingSource
	current atomic.Bool
}

func (s *staleSource) Range(ctx context.Context, prefix string, opts store.RangeOptions) (store.RangeResult, error) {
	if prefix != "config" && !s.current.Load() {
		return store.RangeResult{Revision: 8}, nil
	}
	return s.movingSource.Range(ctx, prefix, opts)
}

// Guards against a copy that lacks changes because a read was answered from an older state than
// the one before: the watch repeats only what came after the first.
func TestReadOlderThanTheOneBeforeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &staleSource{movingSource: movingSource{make(chan store.WatchBatch)}}
		mirror := fleet.NewMirror(source, nil, slog.New(slog.DiscardHandler), fleet.View{Prefix: "config", OnChange: func(fleet.Change) {}},
			fleet.View{Prefix: "servers/", OnChange: func(fleet.Change) {}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); mirror.Run(ctx) }()
		time.Sleep(2 * time.Second)
		require.False(t, mirror.Loaded())
		source.current.Store(true)
		time.Sleep(2 * time.Second)
		require.True(t, mirror.Loaded())
		cancel()
		<-done
	})
}

// A node that reconnects to the store keeps expired entries for a grace period. It must not
// pass them on to followers as confirmed.
func TestExpiredEntriesAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newMirrorHarness(t)
		lease, err := h.mem.Grant(t.Context(), 3*time.Second)
		require.NoError(t, err)
		h.put(t, "servers/gone", lease)
		h.put(t, "servers/stays", 0)
		h.run(t, func() {
			h.mem.SetFaults(memstore.Faults{Down: true})
			time.Sleep(6 * time.Second)
			h.mem.SetFaults(memstore.Faults{})
			time.Sleep(time.Second)
			synctest.Wait()
			require.Len(t, h.keys(), 2, "the node itself still keeps it")
			first, _ := h.mirror.Follow(t.Context(), []string{"servers/"})
			require.Len(t, first.Events, 1)
			require.Equal(t, "servers/stays", first.Events[0].KV.Key)
		})
	})
}

// noFeed is a feed that is never available.
type noFeed struct{}

func (noFeed) Follow(context.Context, feed.Handler) bool { return false }

// A failing store must not receive calls several times a second from each of hundreds of nodes.
func TestNodesWithFeedBackOffFromFailingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 20
		mem := memstore.New(memstore.Options{})
		mem.SetFaults(memstore.Faults{Down: true})
		mirror := fleet.NewMirror(idleBatchStore{mem, 2 * time.Second}, noFeed{}, slog.New(slog.DiscardHandler), fleet.View{Prefix: "config", OnChange: func(fleet.Change) {}})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { mirror.Run(ctx) })
		time.Sleep(seconds * time.Second)
		require.LessOrEqual(t, mem.Calls()[memstore.KindRange], int64(seconds))
		mem.SetFaults(memstore.Faults{})
		time.Sleep(2500 * time.Millisecond)
		require.True(t, mirror.Loaded(), "entries are loaded soon after the store recovers")
		cancel()
		running.Wait()
		mem.Close()
	})
}
