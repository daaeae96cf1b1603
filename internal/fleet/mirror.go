package fleet

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// readTimeout bounds one read. A healthy store answers within milliseconds, a slow one within a few
// hundred.
const readTimeout = 2 * time.Second

// Source reads and watches keys of the store by prefix.
type Source interface {
	Range(ctx context.Context, prefix string, opts store.RangeOptions) (store.RangeResult, error)
	Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error)
}

// View selects the part of the store below Prefix. OnChange receives the changes of its entries,
// in order and never concurrently, and an empty change after a reload that found none. Its work
// should grow with the changes and not with the entries: in a large system something changes all
// the time.
type View struct {
	Prefix   string
	OnChange func(Change)
	// Renewed is set if each entry has a writer that renews it and writes it again after an outage. Such
	// entries are kept for a while when they have expired in one.
	Renewed bool
}

// Change holds the changes of a view's entries since its last notification.
type Change struct {
	// Revision is the store revision up to which the view is now complete.
	Revision int64
	// Written holds the entries that were written, in no order, and Removed the keys of those
	// that were removed.
	Written []store.KV
	Removed []string
}

// Mirror keeps a copy of the keys below the prefixes of its views and notifies the views of
// changes. One watch covers all views, because the store counts calls: a watch on three
// prefixes costs as much as a watch on one.
//
// During a store outage the Mirror keeps its entries. Renewed ones that are missing after recovery may
// have expired only because their leases could not be renewed. Dropping them at once would empty the
// list of servers that are alive, so they are kept for a grace period.
type Mirror struct {
	views  []View
	source Source
	feed   Feed // may be nil
	// feedConfirmed receives a value when the feed has confirmed the copy.
	feedConfirmed chan struct{}
	// requestedAt is when another node last asked for this copy, in Unix nanoseconds.
	requestedAt atomic.Int64
	log         *slog.Logger
	notifyMu    sync.Mutex
	mu          sync.Mutex
	entries     map[string]store.KV
	revision    int64
	loaded      bool
	// lastContact is when the store last confirmed the copy, and feedContact when it last
	// confirmed the one that the feed sent.
	lastContact, feedContact time.Time
	// grace holds the entries that are kept after an outage.
	grace expiryGrace
	// pending holds the changed keys of which the views have not been notified, and
	// viewRevision the revision up to which they have.
	pending         map[string]struct{}
	viewRevision    int64
	notifyScheduled bool
	notifiedAt      time.Time
	// forwardedContact is the value of lastContact that the followers were last sent.
	forwardedContact time.Time
	// followers maps the channels of the nodes that follow this copy to the prefixes they
	// follow.
	followers map[chan store.WatchBatch][]string
}

// NewMirror returns a Mirror with the given views. Run fills it from the feed, and from the
// source while the feed does not confirm the copy. The feed may be nil.
func NewMirror(source Source, feed Feed, log *slog.Logger, views ...View) *Mirror {
	return &Mirror{views: views, source: source, feed: feed, feedConfirmed: make(chan struct{}, 1), log: log, followers: make(map[chan store.WatchBatch][]string), entries: make(map[string]store.KV), grace: expiryGrace{expired: make(map[string]int64)}, pending: make(map[string]struct{})}
}

// commonPrefix returns the longest prefix that all views share.
func (m *Mirror) commonPrefix() string {
	prefix := m.views[0].Prefix
	for _, v := range m.views[1:] {
		for !strings.HasPrefix(v.Prefix, prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	return prefix
}

// covers reports whether the key belongs to a view.
func (m *Mirror) covers(key string) bool {
	return slices.ContainsFunc(m.views, func(v View) bool { return strings.HasPrefix(key, v.Prefix) })
}

var mirrorReloads = metrics.NewCounter("fennel_mirror_reloads_total")

// Refresh reloads all entries, regardless of the watch.
func (m *Mirror) Refresh(ctx context.Context) error { return m.reload(ctx) }

// reload reads all entries again.
func (m *Mirror) reload(ctx context.Context) error {
	mirrorReloads.Inc()
	fresh := make(map[string]store.KV)
	revision := int64(0)
	for _, v := range m.views {
		read, err := m.readView(ctx, v.Prefix, fresh)
		if err != nil {
			return err
		}
		// The reads are not one snapshot: the watch starts at the first read's revision and
		// repeats changes made since. An older read could lack some of those made before.
		if revision == 0 {
			revision = read
		}
		if read < revision {
			return errors.Wrapf(errStaleRead, "%s at revision %d after %d", v.Prefix, read, revision)
		}
	}
	if !m.replace(fresh, revision, time.Now()) {
		m.log.Info("read is older than the copy; ignored", "revision", revision, "copy", m.currentRevision())
	}
	return nil
}

// errStaleRead is returned for a read that is older than an earlier one.
var errStaleRead = errors.New("stale read")

// readView reads the entries below a prefix into fresh, page by page, and returns the store
// revision of the first page.
func (m *Mirror) readView(ctx context.Context, prefix string, fresh map[string]store.KV) (revision int64, err error) {
	opts := store.RangeOptions{}
	for {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := m.source.Range(callCtx, prefix, opts)
		cancel()
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, kv := range page.KVs {
			fresh[kv.Key] = kv
		}
		if !page.More || len(page.KVs) == 0 {
			return revision, nil
		}
		opts.StartAfter = page.KVs[len(page.KVs)-1].Key
	}
}

// replace adopts a new read of all entries, which the store confirmed at confirmedAt. It reports
// false for one that is older than the copy.
func (m *Mirror) replace(fresh map[string]store.KV, revision int64, confirmedAt time.Time) bool {
	m.mu.Lock()
	now := time.Now()
	if m.loaded && revision < m.revision {
		m.mu.Unlock()
		return false
	}
	recovered := m.recordContact(confirmedAt)
	m.notifyDifference(fresh, revision)
	before := m.entries
	for key, kv := range m.entries {
		if _, ok := fresh[key]; ok {
			continue
		}
		if m.keepsRemoved(key, now) {
			fresh[key] = kv
			m.grace.expired[key] = revision
		}
	}
	for key := range m.grace.expired {
		if kv, ok := fresh[key]; !ok || kv.ModRevision > m.entries[key].ModRevision {
			delete(m.grace.expired, key)
		}
	}
	m.entries, m.revision, m.loaded = fresh, revision, true
	m.continueGrace(recovered)
	m.mu.Unlock()
	m.notifyViews(changedKeys(before, fresh), revision, true)
	return true
}

// changedKeys returns the keys whose entries differ.
func changedKeys(before, after map[string]store.KV) (keys []string) {
	for key, kv := range after {
		if old, found := before[key]; !found || old.ModRevision != kv.ModRevision {
			keys = append(keys, key)
		}
	}
	for key := range before {
		if _, found := after[key]; !found {
			keys = append(keys, key)
		}
	}
	return keys
}

// watchIdleInterval is the longest time between batches of an idle watch; drivers send an empty
// batch at least that often.
const watchIdleInterval = 2 * time.Second

// apply applies changes that the store confirmed at confirmedAt.
func (m *Mirror) apply(batch store.WatchBatch, confirmedAt time.Time) {
	m.mu.Lock()
	now := time.Now()
	if batch.Revision < m.revision { // another source has delivered all of it, and more
		m.mu.Unlock()
		return
	}
	recovered := m.recordContact(confirmedAt)
	m.notifyFollowers(batch)
	var changed []string
	for _, ev := range batch.Events {
		if ev.KV.ModRevision <= m.revision || !m.covers(ev.KV.Key) {
			continue // already applied, or outside all views
		}
		if ev.KV.ModRevision <= m.entries[ev.KV.Key].ModRevision {
			continue // the entry was read after this change
		}
		changed = append(changed, ev.KV.Key)
		if ev.Type == store.EventPut {
			m.entries[ev.KV.Key] = ev.KV
			delete(m.grace.expired, ev.KV.Key)
			continue
		}
		if _, ok := m.entries[ev.KV.Key]; ok && m.keepsRemoved(ev.KV.Key, now) {
			m.grace.expired[ev.KV.Key] = ev.KV.ModRevision
			continue
		}
		delete(m.entries, ev.KV.Key)
	}
	m.revision = max(m.revision, batch.Revision)
	m.continueGrace(recovered)
	if len(changed) == 0 && len(m.pending) == 0 {
		m.viewRevision = m.revision
	}
	m.mu.Unlock()
	if len(changed) > 0 {
		m.notifySoon(changed)
	}
}

// notifyIntervalPerEntry is the minimum time between two notifications of the views, per entry.
// A notification costs work in proportion to the entries, and a larger system changes more
// often. Waits shorter than minNotifyWait are not worth a timer.
const (
	notifyIntervalPerEntry = 20 * time.Microsecond
	minNotifyWait          = time.Millisecond
)

// notifySoon notifies the views of the changed keys, at once unless they were notified just
// before.
func (m *Mirror) notifySoon(changed []string) {
	m.mu.Lock()
	for _, key := range changed {
		m.pending[key] = struct{}{}
	}
	wait := time.Until(m.notifiedAt.Add(time.Duration(len(m.entries)) * notifyIntervalPerEntry))
	scheduled := m.notifyScheduled
	m.notifyScheduled = scheduled || wait >= minNotifyWait
	m.mu.Unlock()
	switch {
	case scheduled:
	case wait >= minNotifyWait:
		time.AfterFunc(wait, m.notifyPending)
	default:
		m.notifyPending()
	}
}

// notifyPending notifies the views of the changes that wait for it.
func (m *Mirror) notifyPending() {
	m.mu.Lock()
	changed := slices.Collect(maps.Keys(m.pending))
	clear(m.pending)
	m.notifyScheduled, m.notifiedAt = false, time.Now()
	revision := m.revision
	m.mu.Unlock()
	m.notifyViews(changed, revision, false)
}

// notifyViews notifies the views that hold one of the keys, or all views if all is set. The keys
// are all that changed up to the revision.
func (m *Mirror) notifyViews(keys []string, upTo int64, all bool) {
	m.notifyMu.Lock() // keeps an older change from overtaking a newer one
	defer m.notifyMu.Unlock()
	for _, v := range m.views {
		change := m.changeOf(v, keys)
		if all || len(change.Written)+len(change.Removed) > 0 {
			v.OnChange(change)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.viewRevision = max(m.viewRevision, upTo)
}

// changeOf returns the current state of those of the keys that the view holds.
func (m *Mirror) changeOf(v View, keys []string) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	change := Change{Revision: m.revision}
	for _, key := range keys {
		if !strings.HasPrefix(key, v.Prefix) {
			continue
		}
		if kv, found := m.entries[key]; found {
			change.Written = append(change.Written, kv)
		} else {
			change.Removed = append(change.Removed, key)
		}
	}
	return change
}

// Revision returns the store revision up to which the views know all changes.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.viewRevision
}

// currentRevision returns the store revision up to which the copy is complete.
func (m *Mirror) currentRevision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Loaded reports whether the entries were read at least once.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// LastContact returns the time of the store's last answer.
func (m *Mirror) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// copyAge returns the age of the copy for logs; "none" while there is none.
func (m *Mirror) copyAge() string {
	last := m.LastContact()
	if last.IsZero() {
		return "none"
	}
	return time.Since(last).String()
}
