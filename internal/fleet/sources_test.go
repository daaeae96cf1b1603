package fleet_test

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// maxChangeDelay is the longest time in which a change must be known on a node.
const maxChangeDelay = 2 * time.Second

// scriptedFeed is a feed whose behaviour the test writes.
type scriptedFeed func(ctx context.Context, handle feed.Handler) (served bool)

func (f scriptedFeed) Follow(ctx context.Context, handle feed.Handler) bool { return f(ctx, handle) }

// snapshotOf returns the first batch of a feed whose copy is the store's present state.
func snapshotOf(ctx context.Context, mem *memstore.Store) (batch store.WatchBatch) {
	for _, prefix := range []string{"config", "servers/"} {
		page, err := mem.Range(ctx, prefix, store.RangeOptions{})
		if err != nil {
			return batch // the test has ended
		}
		batch.Revision = page.Revision
		for _, kv := range page.KVs {
			batch.Events = append(batch.Events, store.Event{KV: kv})
		}
	}
	return batch
}

// changeDelays writes a change each 0.8 s, to a configuration and to a server's entry in turn,
// and returns how long each took to reach the mirror's views. The test must be in a synctest
// bubble.
func changeDelays(t *testing.T, mem *memstore.Store, source fleet.Source, newFeed fleet.Feed, changes int) (delays []time.Duration) {
	t.Helper()
	var mu sync.Mutex
	known := make(map[string]string)
	onChange := func(c fleet.Change) {
		mu.Lock()
		defer mu.Unlock()
		for _, kv := range c.Written {
			known[kv.Key] = string(kv.Value)
		}
	}
	mirror := fleet.NewMirror(source, newFeed, slog.New(slog.DiscardHandler),
		fleet.View{Prefix: "config", OnChange: onChange}, fleet.View{Prefix: "servers/", OnChange: onChange})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); mirror.Run(ctx) }()
	time.Sleep(4 * time.Second)
	for i := range changes {
		key, value := []string{"config", "servers/a"}[i%2], strconv.Itoa(i)
		_, err := mem.Txn(ctx, store.Txn{Then: []store.Op{store.Put(key, []byte(value), 0)}})
		require.NoError(t, err)
		wrote := time.Now()
		for {
			mu.Lock()
			current := maps.Clone(known)
			mu.Unlock()
			if current[key] == value || time.Since(wrote) > 10*time.Second {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		delays = append(delays, time.Since(wrote))
		time.Sleep(800*time.Millisecond - time.Since(wrote)%(800*time.Millisecond))
	}
	cancel()
	<-done
	mem.Close()
	return delays
}

// Guards against nodes that apply an old configuration, or use a server that has announced its
// end, because of what their feeds do.
func TestChangesAreKnownInTimeWhateverTheFeedDoes(t *testing.T) {
	tests := map[string]func(mem *memstore.Store) scriptedFeed{
		"search for a feed takes seconds": func(*memstore.Store) scriptedFeed {
			return func(ctx context.Context, _ feed.Handler) bool {
				clock.Pause(ctx, 4*time.Second)
				return false
			}
		},
		"feed is cut off from the store and goes on sending": func(mem *memstore.Store) scriptedFeed {
			return func(ctx context.Context, handle feed.Handler) bool {
				batch := snapshotOf(ctx, mem)
				for age := time.Duration(0); ctx.Err() == nil; age += 200 * time.Millisecond {
					handle(batch, age, age == 0)
					batch.Events = nil
					clock.Pause(ctx, 200*time.Millisecond)
				}
				return true
			}
		},
		"feed falls silent and the next ones do not answer": func(mem *memstore.Store) scriptedFeed {
			serves := true
			return func(ctx context.Context, handle feed.Handler) bool {
				if serves = !serves; serves {
					clock.Pause(ctx, 1500*time.Millisecond)
					return false
				}
				batch := snapshotOf(ctx, mem)
				handle(batch, 0, true)
				clock.Pause(ctx, 700*time.Millisecond)
				return true
			}
		},
		"feed is behind the node and reports a fresh copy": func(mem *memstore.Store) scriptedFeed {
			old := store.WatchBatch{}
			return func(ctx context.Context, handle feed.Handler) bool {
				if old.Revision == 0 {
					old = snapshotOf(ctx, mem)
					clock.Pause(ctx, 10*time.Second)
					return false
				}
				for first := true; ctx.Err() == nil; first = false {
					handle(old, 0, first)
					clock.Pause(ctx, 200*time.Millisecond)
				}
				return true
			}
		},
	}
	for name, newFeed := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := memstore.New(memstore.Options{})
				for i, delay := range changeDelays(t, mem, idleBatchStore{mem, time.Second}, newFeed(mem), 30) {
					require.LessOrEqual(t, delay, maxChangeDelay, "change %d", i)
				}
			})
		})
	}
}

// mirrorFeed is a feed of another mirror's copy that sends no heartbeats.
type mirrorFeed struct{ source *fleet.Mirror }

func (f mirrorFeed) Follow(ctx context.Context, handle feed.Handler) bool {
	for !f.source.Loaded() {
		if !clock.Pause(ctx, 20*time.Millisecond) {
			return false
		}
	}
	first, changes := f.source.Follow(ctx, []string{"config"})
	handle(first, time.Since(f.source.LastContact()), true)
	for {
		select {
		case <-ctx.Done():
			return true
		case batch := <-changes:
			handle(batch, time.Since(f.source.LastContact()), false)
		}
	}
}

// Guards against copies that are old for their distance from the store alone, so that nodes far
// from it watch the store themselves.
func TestAgeDoesNotGrowWithTheDepthOfTheTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const depth, interval = 8, 400 * time.Millisecond
		mem := memstore.New(memstore.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var leaf *fleet.Mirror
		for range depth {
			var source fleet.Feed
			if leaf != nil {
				source = mirrorFeed{leaf}
			}
			node := fleet.NewMirror(idleBatchStore{mem, interval}, source, slog.New(slog.DiscardHandler), fleet.View{Prefix: "config", OnChange: func(fleet.Change) {}})
			running.Go(func() { node.Run(ctx) })
			leaf = node
		}
		time.Sleep(time.Second)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			require.LessOrEqual(t, time.Since(leaf.LastContact()), interval)
		}
		require.EqualValues(t, 1, mem.Calls()[memstore.KindWatch])
		cancel()
		running.Wait()
		mem.Close()
	})
}

// Guards against a copy that counts as fresh because a source that is behind it goes on sending.
func TestSourceThatIsBehindDoesNotConfirmTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New(memstore.Options{})
		defer mem.Close()
		for _, value := range []string{"1", "2"} {
			_, err := mem.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put("config", []byte(value), 0)}})
			require.NoError(t, err)
		}
		current := snapshotOf(t.Context(), mem)
		mem.SetFaults(memstore.Faults{Down: true})
		behind := scriptedFeed(func(ctx context.Context, handle feed.Handler) bool {
			handle(current, 0, true)
			for clock.Pause(ctx, 200*time.Millisecond) {
				handle(store.WatchBatch{Revision: current.Revision - 1}, 0, false)
			}
			return true
		})
		mirror := fleet.NewMirror(mem, behind, slog.New(slog.DiscardHandler), fleet.View{Prefix: "config", OnChange: func(fleet.Change) {}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); mirror.Run(ctx) }()
		time.Sleep(5 * time.Second)
		require.True(t, mirror.Loaded())
		require.GreaterOrEqual(t, time.Since(mirror.LastContact()), 5*time.Second)
		cancel()
		<-done
	})
}

// Guards against a log line with an age of centuries on a node that has never had a copy.
func TestNodeWithoutACopyLogsNoAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New(memstore.Options{})
		defer mem.Close()
		var log bytes.Buffer
		mirror := fleet.NewMirror(mem, noFeed{}, slog.New(slog.NewTextHandler(&log, nil)), fleet.View{Prefix: "config", OnChange: func(fleet.Change) {}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); mirror.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		require.Contains(t, log.String(), "msg=\"watching the store\" reason=\"the feed does not confirm the copy\" age=none")
	})
}

// silentStore lets calls hang while it is silent, and counts full reads.
type silentStore struct {
	idleBatchStore
	silent atomic.Bool
	reads  atomic.Int64
}

func (s *silentStore) hang(ctx context.Context, limit time.Duration) error {
	if !s.silent.Load() {
		return nil
	}
	clock.Pause(ctx, limit)
	return &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "silent", Err: context.DeadlineExceeded}
}

func (s *silentStore) Range(ctx context.Context, prefix string, opts store.RangeOptions) (store.RangeResult, error) {
	s.reads.Add(1)
	if err := s.hang(ctx, 2*time.Second); err != nil {
		return store.RangeResult{}, err
	}
	return s.idleBatchStore.Range(ctx, prefix, opts)
}

func (s *silentStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if err := s.hang(ctx, time.Second); err != nil {
		return nil, err
	}
	return s.idleBatchStore.Watch(ctx, prefix, from)
}

// Guards against a node without a live feed that goes on with the backoff of an outage after the store has answered, and accepts removed keys meanwhile.
func TestStoreIsReadAgainAsSoonAsItAnswers(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for outage := 3 * time.Second; outage < 8*time.Second; outage += 190 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				mem := memstore.New(memstore.Options{})
				put := func(value string) {
					_, err := mem.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put("config", []byte(value), 0)}})
					require.NoError(t, err)
				}
				put("old")
				source := &silentStore{idleBatchStore: idleBatchStore{mem, time.Second}}
				var known atomic.Value
				mirror := fleet.NewMirror(source, noFeed{}, slog.New(slog.DiscardHandler), fleet.View{Prefix: "config", OnChange: func(c fleet.Change) {
					for _, kv := range c.Written {
						known.Store(string(kv.Value))
					}
				}})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); mirror.Run(ctx) }()
				time.Sleep(4 * time.Second)
				source.silent.Store(silent)
				mem.SetFaults(memstore.Faults{Down: true})
				time.Sleep(outage)
				mem.SetFaults(memstore.Faults{})
				source.silent.Store(false)
				put("new")
				mem.Compact(mem.Revision())
				time.Sleep(2500 * time.Millisecond)
				require.Equal(t, "new", known.Load(), "silent %v, outage %v", silent, outage)
				reads := source.reads.Load()
				for range 50 { // the history goes again and again
					put("next")
					put("last")
					mem.Compact(mem.Revision())
					time.Sleep(20 * time.Millisecond)
				}
				require.LessOrEqual(t, source.reads.Load()-reads, int64(5))
				cancel()
				<-done
				mem.Close()
			})
		}
	}
}
