package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Feed streams another node's copy of the store; *feed.Follower implements it.
type Feed interface {
	// Follow passes batches to apply until the feed fails, with the time since the store
	// confirmed each. The first batch holds all entries. Follow reports whether any batch was
	// received.
	Follow(ctx context.Context, apply feed.Handler) (served bool)
}

// applyFeed applies a batch of the feed; the first one holds all entries.
func (m *Mirror) applyFeed(batch store.WatchBatch, age time.Duration, first bool) {
	confirmedAt := time.Now().Add(-age)
	m.recordFeedContact(batch.Revision, confirmedAt) // before there is a copy, which would count as not confirmed
	if !first {
		m.apply(batch, confirmedAt)
		return
	}
	fresh := make(map[string]store.KV, len(batch.Events))
	for _, ev := range batch.Events {
		fresh[ev.KV.Key] = ev.KV
	}
	if !m.replace(fresh, batch.Revision, confirmedAt) {
		m.log.Info("the feed is behind this node", "revision", batch.Revision, "copy", m.currentRevision())
	}
}

// recordFeedContact records when the store confirmed the feed's copy at a revision. A feed that is
// behind this node confirms nothing.
func (m *Mirror) recordFeedContact(revision int64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision || !at.After(m.feedContact) {
		return
	}
	m.feedContact = at
	select {
	case m.feedConfirmed <- struct{}{}:
	default:
	}
}

// followerQueueSize is the number of batches queued for a follower before it is dropped.
const followerQueueSize = 256

// requestWindow is how long the copy is kept fresh after another node's last request for it.
const requestWindow = 5 * time.Second

// MarkRequested records that another node follows this copy or asks to follow it.
func (m *Mirror) MarkRequested() { m.requestedAt.Store(time.Now().UnixNano()) }

// RecentlyRequested reports whether another node asked for this copy within requestWindow.
func (m *Mirror) RecentlyRequested() bool {
	return time.Since(time.Unix(0, m.requestedAt.Load())) < requestWindow
}

// Follow returns all entries below the prefixes that the store has confirmed, and a channel
// that receives each later change until ctx ends. The channel is closed if the reader falls
// behind.
func (m *Mirror) Follow(ctx context.Context, prefixes []string) (store.WatchBatch, <-chan store.WatchBatch) {
	changes := make(chan store.WatchBatch, followerQueueSize)
	m.mu.Lock()
	defer m.mu.Unlock()
	first := store.WatchBatch{Revision: m.revision}
	for key, kv := range m.entries {
		if _, expired := m.grace.expired[key]; !expired && hasAnyPrefix(key, prefixes) {
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

// minContactStep is the shortest time between two confirmations that are forwarded without
// changes. A feed repeats the last one in its heartbeats, and these vary by their latency.
const minContactStep = 50 * time.Millisecond

// notifyFollowers sends changes and confirmations to the followers at once, so that the age of a
// copy does not grow with its distance from the store; the caller holds m.mu. A follower whose queue
// is full is dropped: it then watches the store itself or follows again from a new snapshot.
func (m *Mirror) notifyFollowers(batch store.WatchBatch) {
	if len(batch.Events) == 0 && batch.Revision <= m.revision && m.lastContact.Sub(m.forwardedContact) < minContactStep {
		return
	}
	m.forwardedContact = m.lastContact
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

// notifyDifference sends the followers the changes between the current entries and a new read;
// the caller holds m.mu.
func (m *Mirror) notifyDifference(fresh map[string]store.KV, revision int64) {
	batch := store.WatchBatch{Revision: revision}
	for key, kv := range fresh {
		if kv.ModRevision != m.entries[key].ModRevision {
			batch.Events = append(batch.Events, store.Event{KV: kv})
		}
	}
	for key := range m.entries {
		if _, ok := fresh[key]; !ok {
			batch.Events = append(batch.Events, store.Event{Type: store.EventDelete, KV: store.KV{Key: key, ModRevision: revision}})
		}
	}
	m.notifyFollowers(batch)
}

// Followers returns the number of nodes that follow this copy.
func (m *Mirror) Followers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.followers)
}
