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

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Timing parameters of a Mirror.
const (
	// retryInterval is the pause between attempts while the store does not answer. More
	// frequent attempts would only add load to a failing store.
	retryInterval = 300 * time.Millisecond
	// maxFeedRetryInterval bounds the backoff on nodes that have a feed. There are many of
	// them, and they recover through the feed as soon as the nodes that serve it reach the
	// store.
	maxFeedRetryInterval = 1500 * time.Millisecond
	// readTimeout bounds one read. A healthy store answers within milliseconds, a slow one
	// within a few hundred.
	readTimeout = 2 * time.Second
	// expiryGracePeriod is how long an entry that expired during a store outage is kept after
	// the store recovers. Live servers are required to be listed again within about two seconds.
	expiryGracePeriod = 2500 * time.Millisecond
	// outageThreshold is the silence of the store, beyond watchIdleInterval, after which
	// entries may have expired because they could not be renewed. It is shorter than the
	// shortest heartbeat interval in use.
	outageThreshold = time.Second
)

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
// During a store outage the Mirror keeps its entries. Entries missing after recovery may have
// expired only because their leases could not be renewed. Dropping them at once would empty the
// list of servers that are alive, so they are kept for expiryGracePeriod.
type Mirror struct {
	views  []View
	source Source
	feed   Feed // may be nil
	// requestedAt is when another node last asked for this copy, in Unix nanoseconds.
	requestedAt atomic.Int64
	log         *slog.Logger
	// eager is set on a node that other nodes depend on: it watches the store as soon as its feed
	// does not serve. Other nodes without followers try to find a feed for up to fallback.
	eager    bool
	fallback time.Duration
	// disconnected is true while the store does not answer this node, and mustReload while the
	// copy can't be continued by a watch. Only Run's goroutine uses them.
	disconnected, mustReload bool

	notifyMu sync.Mutex
	mu       sync.Mutex
	entries  map[string]store.KV
	expired  map[string]struct{}
	revision int64
	loaded   bool
	// lastContact is the time of the store's last answer.
	lastContact time.Time
	// recoveredAt is when the store last recovered from an outage.
	recoveredAt time.Time
	// pending holds the changed keys of which the views have not been notified, and
	// viewRevision the revision up to which they have.
	pending         map[string]struct{}
	viewRevision    int64
	notifyScheduled bool
	notifiedAt      time.Time
	// followers holds the channels of the nodes that follow this copy; forwardedAt is when a batch
	// was last passed on to them.
	followers   map[chan *feed.Batch]struct{}
	forwardedAt time.Time
	// removals holds keys removed after historyFrom, from which revision on all changes are known.
	removals    []removal
	historyFrom int64
	// snapshot holds all entries as of snapshotAt; nil if there is none.
	snapshot   *feed.Batch
	snapshotAt time.Time
}

// NewMirror returns a Mirror with the given views. Run fills it from the upstream feed while that
// is available, and from the source otherwise. The feed may be nil.
func NewMirror(source Source, upstream Feed, log *slog.Logger, views ...View) *Mirror {
	return &Mirror{views: views, source: source, feed: upstream, log: log, followers: make(map[chan *feed.Batch]struct{}), entries: make(map[string]store.KV), expired: make(map[string]struct{}), pending: make(map[string]struct{})}
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

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	retry := clock.Backoff{Min: retryInterval, Max: retryInterval}
	if m.feed != nil && !m.eager {
		retry.Max = maxFeedRetryInterval
	}
	patience := feedPatience{until: time.Now().Add(feedStartTimeout)}
	var nextRead time.Time // earliest time of the next read of the store
	for ctx.Err() == nil {
		if m.feed != nil && m.feed.Follow(ctx, m.completeUpTo, m.applyFeed) {
			patience = m.newPatience()
			continue
		}
		if m.feed != nil && !m.eager && time.Now().Before(patience.until) {
			clock.Pause(ctx, feedRetryPause)
			continue
		}
		if wait := time.Until(nextRead); wait > 0 {
			clock.Pause(ctx, min(retryInterval, wait))
			continue
		}
		err := m.followStore(ctx, &retry)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRetryFeed) {
			continue
		}
		if e, ok := errors.Into[*store.Error](err); ok && e.Kind == store.Compacted {
			m.log.Info("store history compacted; reloading", "revision", m.currentRevision())
			m.mustReload = true
			continue
		}
		if !m.disconnected {
			m.log.Warn("dependency lost", "dependency", "store", "err", err.Error())
		}
		m.disconnected = true
		nextRead = time.Now().Add(retry.Next())
	}
}

// followStore applies changes until the watch fails. It reads all entries first unless the watch
// can continue from those that it has: hundreds of nodes may lose their feeds at once.
func (m *Mirror) followStore(ctx context.Context, retry *clock.Backoff) error {
	if m.mustReload || !m.Loaded() {
		if err := m.reload(ctx); err != nil {
			return err
		}
		m.mustReload = false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := m.source.Watch(ctx, m.commonPrefix(), m.currentRevision()+1)
	if err != nil {
		return err
	}
	grace := time.NewTimer(expiryGracePeriod)
	defer grace.Stop()
	retryFeed := m.feedRetryTimer()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-grace.C:
			m.dropExpired()
		case <-retryFeed:
			return errRetryFeed
		case batch, ok := <-batches:
			if !ok {
				return errors.New("store watch closed")
			}
			if batch.Err != nil {
				return batch.Err
			}
			retry.Reset()
			if m.disconnected {
				m.disconnected = false
				m.log.Info("dependency regained", "dependency", "store")
			}
			m.apply(m.restrict(batch), time.Now())
			if wait, pending := m.graceRemaining(); pending {
				grace.Reset(wait)
			}
		}
	}
}

// graceRemaining returns how much longer expired entries are kept; pending is false if there
// are none.
func (m *Mirror) graceRemaining() (wait time.Duration, pending bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Until(m.recoveredAt.Add(expiryGracePeriod)), len(m.expired) > 0
}

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
		// repeats changes made since.
		if revision == 0 {
			revision = read
		}
	}
	m.replace(fresh, revision, time.Now())
	return nil
}

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

// replace adopts a new read of all entries, which the store confirmed at confirmedAt.
func (m *Mirror) replace(fresh map[string]store.KV, revision int64, confirmedAt time.Time) {
	m.mu.Lock()
	now := time.Now()
	if m.loaded && revision < m.revision {
		m.mu.Unlock()
		return // a newer read or event was applied first
	}
	m.recordContact(confirmedAt)
	m.notifyDifference(fresh, revision)
	before := m.entries
	for key, kv := range m.entries {
		if _, ok := fresh[key]; ok {
			continue
		}
		if now.Sub(m.recoveredAt) < expiryGracePeriod {
			fresh[key] = kv
			m.expired[key] = struct{}{}
		}
	}
	for key := range m.expired {
		if kv, ok := fresh[key]; !ok || kv.ModRevision > m.entries[key].ModRevision {
			delete(m.expired, key)
		}
	}
	m.entries, m.revision, m.loaded = fresh, revision, true
	m.removals, m.historyFrom = nil, revision
	m.mu.Unlock()
	m.notifyViews(changedKeys(before, fresh), revision, true)
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

// recordContact records when the store last answered; the caller holds m.mu.
func (m *Mirror) recordContact(at time.Time) {
	if m.loaded && at.Sub(m.lastContact) > outageThreshold+watchIdleInterval {
		m.recoveredAt = time.Now()
	}
	if at.After(m.lastContact) {
		m.lastContact = at
	}
}

// watchIdleInterval is the longest time between batches of an idle watch; drivers send an empty
// batch at least that often.
const watchIdleInterval = 2 * time.Second

// restrict returns the batch without the events outside all views.
func (m *Mirror) restrict(batch store.WatchBatch) *feed.Batch {
	batch.Events = slices.DeleteFunc(batch.Events, func(ev store.Event) bool { return !m.covers(ev.KV.Key) })
	return feed.NewBatch(batch)
}

// apply applies changes that the store confirmed at confirmedAt.
func (m *Mirror) apply(batch *feed.Batch, confirmedAt time.Time) {
	m.mu.Lock()
	now := time.Now()
	m.recordContact(confirmedAt)
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
			delete(m.expired, ev.KV.Key)
			continue
		}
		m.recordRemoval(ev.KV.Key, ev.KV.ModRevision)
		if _, ok := m.entries[ev.KV.Key]; ok && now.Sub(m.recoveredAt) < expiryGracePeriod {
			m.expired[ev.KV.Key] = struct{}{}
			continue
		}
		delete(m.entries, ev.KV.Key)
	}
	m.revision = max(m.revision, batch.Revision)
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

// dropExpired removes the expired entries that were not written again.
func (m *Mirror) dropExpired() {
	m.mu.Lock()
	expired := slices.Collect(maps.Keys(m.expired))
	for _, key := range expired {
		delete(m.entries, key)
	}
	clear(m.expired)
	m.mu.Unlock()
	if count := len(expired); count > 0 {
		m.log.Info("expired entries removed", "count", count, "reason", "not renewed after the store recovered")
		m.notifySoon(expired)
	}
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

// completeUpTo returns the revision up to which the copy has all changes; 0 if it has no entries.
func (m *Mirror) completeUpTo() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return 0
	}
	return m.revision
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
