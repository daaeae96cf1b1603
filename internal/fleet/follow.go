package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Feed brings another node's copy of the store; it is a *feed.Follower.
type Feed interface {
	// Follow passes batches on, the first with all entries, until the feed fails. It
	// reports whether any came.
	Follow(ctx context.Context, take func(batch store.WatchBatch, first bool)) (served bool)
}

// feedStart is how long a node that starts waits for its feed: all nodes may have
// started together, and each would read the whole store.
const feedStart = 1500 * time.Millisecond

// errFeedIsBack ends a node's own watch for another try of its feed.
var errFeedIsBack = errors.New("the feed is tried again")

// ownWatchFor is how long a node that has a feed watches the store itself before
// it tries the feed again.
const ownWatchFor = 4 * time.Second

func (m *Mirror) feedTimer() <-chan time.Time {
	if m.feed == nil {
		return nil
	}
	return time.After(ownWatchFor)
}

// takeFeed applies a batch of the feed; the first has all entries.
func (m *Mirror) takeFeed(batch store.WatchBatch, first bool) {
	if !first {
		m.apply(batch)
		if wait, held := m.lapseWait(); held && wait <= 0 {
			m.dropLapsed()
		}
		return
	}
	fresh := make(map[string]store.KV, len(batch.Events))
	for _, ev := range batch.Events {
		fresh[ev.KV.Key] = ev.KV
	}
	m.replace(fresh, batch.Revision)
}

// followerQueue is how many batches wait for a follower before it is given up.
const followerQueue = 256

// wantedFor is how long after another node asked the copy is kept fresh for it.
const wantedFor = 5 * time.Second

// MarkRequested says that another node follows this copy, or would.
func (m *Mirror) MarkRequested() { m.wantedAt.Store(time.Now().UnixNano()) }

// RecentlyRequested reports whether another node has asked for this copy lately.
func (m *Mirror) RecentlyRequested() bool {
	return time.Since(time.Unix(0, m.wantedAt.Load())) < wantedFor
}

// Follow returns all entries below the prefixes that the store has confirmed, and a
// channel that gets each change after them until ctx ends or the reader falls behind.
func (m *Mirror) Follow(ctx context.Context, prefixes []string) (store.WatchBatch, <-chan store.WatchBatch) {
	changes := make(chan store.WatchBatch, followerQueue)
	m.mu.Lock()
	defer m.mu.Unlock()
	first := store.WatchBatch{Revision: m.revision}
	for key, kv := range m.entries {
		if _, lapsed := m.lapsed[key]; !lapsed && hasAnyPrefix(key, prefixes) {
			first.Events = append(first.Events, store.Event{KV: kv})
		}
	}
	m.followers[changes] = prefixes
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.followers, changes)
	})
	return first, changes
}

// tellFollowers passes changes on; the caller holds m.mu. A follower whose queue is
// full is given up: it watches the store itself, or starts anew.
func (m *Mirror) tellFollowers(batch store.WatchBatch) {
	for changes, prefixes := range m.followers {
		part := store.WatchBatch{Revision: batch.Revision}
		for _, ev := range batch.Events {
			if hasAnyPrefix(ev.KV.Key, prefixes) {
				part.Events = append(part.Events, ev)
			}
		}
		select {
		case changes <- part:
		default:
			delete(m.followers, changes)
			close(changes)
		}
	}
}

func hasAnyPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
}

// tellDifference passes on what a new reading brings; the caller holds m.mu.
func (m *Mirror) tellDifference(fresh map[string]store.KV, revision int64) {
	batch := store.WatchBatch{Revision: revision}
	for key, kv := range fresh {
		if kv.ModRevision != m.entries[key].ModRevision {
			batch.Events = append(batch.Events, store.Event{KV: kv})
		}
	}
	for key := range m.entries {
		if _, there := fresh[key]; !there {
			batch.Events = append(batch.Events, store.Event{Type: store.EventDelete, KV: store.KV{Key: key, ModRevision: revision}})
		}
	}
	m.tellFollowers(batch)
}
