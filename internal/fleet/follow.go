package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Feed streams another node's copy of the store; *feed.Follower implements it.
type Feed interface {
	// Follow passes batches to apply until the feed fails. revision returns up to which all
	// changes are known, or 0. Follow reports whether any batch was received.
	Follow(ctx context.Context, revision func() int64, apply feed.Handler) (served bool)
}

// feedStartTimeout is how long a starting node waits for its feed before it reads the store
// itself. When all nodes start together, each of them would otherwise read the whole store.
const feedStartTimeout = 1500 * time.Millisecond

// feedRetryPause is the pause between two attempts to find a feed.
const feedRetryPause = 50 * time.Millisecond

// feedPatience is until when a node tries to find a feed before it reads the store itself.
type feedPatience struct{ until time.Time }

// newPatience returns how long a node that has lost its feed tries to find another one. A node
// that feeds others does not wait. The others, which are most of them, find that it has reached
// the store, and those that do not are spread over time.
func (m *Mirror) newPatience() feedPatience {
	if m.fallback <= 0 || m.Followers() > 0 {
		return feedPatience{}
	}
	return feedPatience{until: time.Now().Add(m.fallback/2 + rand.N(m.fallback/2))}
}

// ReadStoreAtOnce makes the node watch the store as soon as its feed does not serve, because other
// nodes depend on it. It must be called before Run.
func (m *Mirror) ReadStoreAtOnce() { m.eager = true }

// SetFallback sets how long a node without followers tries to find a feed. It must be called
// before Run.
func (m *Mirror) SetFallback(d time.Duration) { m.fallback = d }

// errRetryFeed ends a node's own watch so that it tries its feed again.
var errRetryFeed = errors.New("switching back to the feed")

// feedRetryInterval is how long a node with a feed watches the store itself before it tries the
// feed again.
const feedRetryInterval = 4 * time.Second

func (m *Mirror) feedRetryTimer() <-chan time.Time {
	if m.feed == nil {
		return nil
	}
	return time.After(feedRetryInterval)
}

// applyFeed applies a batch of the feed.
func (m *Mirror) applyFeed(batch *feed.Batch, age time.Duration, full bool) {
	confirmedAt := time.Now().Add(-age)
	if !full {
		m.apply(batch, confirmedAt)
		if wait, pending := m.graceRemaining(); pending && wait <= 0 {
			m.dropExpired()
		}
		return
	}
	fresh := make(map[string]store.KV, len(batch.Events))
	for _, ev := range batch.Events {
		fresh[ev.KV.Key] = ev.KV
	}
	m.replace(fresh, batch.Revision, confirmedAt)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == batch.Revision {
		m.snapshot, m.snapshotAt = batch, time.Now()
	}
}

const (
	// followerQueueSize is the number of batches queued for a follower before it is dropped.
	followerQueueSize = 256
	// requestWindow is how long the copy is kept fresh after another node's last request for it.
	requestWindow = 5 * time.Second
	// maxRemovals is the number of removed keys that are remembered for followers that come back.
	maxRemovals = 4096
	// snapshotLifetime is how long new followers receive the same encoded entries. What has
	// changed since follows them.
	snapshotLifetime = 2 * time.Second
	// confirmInterval is the minimum time between two batches without events.
	confirmInterval = 100 * time.Millisecond
)

// removal is a key that was removed at a revision.
type removal struct {
	key      string
	revision int64
}

// MarkRequested records that another node follows this copy or asks to follow it.
func (m *Mirror) MarkRequested() { m.requestedAt.Store(time.Now().UnixNano()) }

// RecentlyRequested reports whether other nodes follow this copy or asked for it within
// requestWindow.
func (m *Mirror) RecentlyRequested() bool {
	return m.Followers() > 0 || time.Since(time.Unix(0, m.requestedAt.Load())) < requestWindow
}

// recordRemoval remembers a removed key; the caller holds m.mu.
func (m *Mirror) recordRemoval(key string, revision int64) {
	m.removals = append(m.removals, removal{key, revision})
	if excess := len(m.removals) - maxRemovals; excess > 0 {
		m.historyFrom = max(m.historyFrom, m.removals[excess-1].revision)
		m.removals = slices.Delete(m.removals, 0, excess)
	}
}

// Follow implements feed.Source.
func (m *Mirror) Follow(ctx context.Context, since int64) (*feed.Batch, <-chan *feed.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if since < m.historyFrom || !m.loaded {
		return nil, nil
	}
	missed := store.WatchBatch{Revision: max(m.revision, since)}
	for _, r := range m.removals {
		if r.revision > since {
			missed.Events = append(missed.Events, store.Event{Type: store.EventDelete, KV: store.KV{Key: r.key, ModRevision: r.revision}})
		}
	}
	for key, kv := range m.entries {
		if _, expired := m.expired[key]; kv.ModRevision > since && !expired {
			missed.Events = append(missed.Events, store.Event{KV: kv})
		}
	}
	changes := make(chan *feed.Batch, followerQueueSize)
	m.followers[changes] = struct{}{}
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.followers, changes)
	})
	return feed.NewBatch(missed), changes
}

// Snapshot implements feed.Source. It holds the entries that the store has confirmed.
func (m *Mirror) Snapshot() *feed.Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snapshot != nil && m.snapshot.Revision >= m.historyFrom && time.Since(m.snapshotAt) < snapshotLifetime {
		return m.snapshot
	}
	all := store.WatchBatch{Revision: m.revision}
	for key, kv := range m.entries {
		if _, expired := m.expired[key]; !expired {
			all.Events = append(all.Events, store.Event{KV: kv})
		}
	}
	m.snapshot, m.snapshotAt = feed.NewBatch(all), time.Now()
	return m.snapshot
}

// notifyFollowers passes changes, and confirmations without any, on to the followers; the caller
// holds m.mu. A follower whose queue is full is dropped and follows again.
func (m *Mirror) notifyFollowers(batch *feed.Batch) {
	if len(batch.Events) == 0 && batch.Revision <= m.revision && time.Since(m.forwardedAt) < confirmInterval {
		return
	}
	m.forwardedAt = time.Now()
	for changes := range m.followers {
		select {
		case changes <- batch:
		default:
			delete(m.followers, changes)
			close(changes)
		}
	}
}

// notifyDifference passes the difference between the current entries and a new read on to the
// followers; the caller holds m.mu.
func (m *Mirror) notifyDifference(fresh map[string]store.KV, revision int64) {
	batch := store.WatchBatch{Revision: revision}
	for _, key := range changedKeys(m.entries, fresh) {
		ev := store.Event{KV: fresh[key]}
		if _, found := fresh[key]; !found {
			ev = store.Event{Type: store.EventDelete, KV: store.KV{Key: key, ModRevision: revision}}
		}
		batch.Events = append(batch.Events, ev)
	}
	m.notifyFollowers(feed.NewBatch(batch))
}

// Followers returns the number of nodes that follow this copy.
func (m *Mirror) Followers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.followers)
}
