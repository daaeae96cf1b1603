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
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Times of a Mirror.
const (
	// retryPause is between two tries while the store does not answer. A store
	// that is down is not helped by more.
	retryPause = 300 * time.Millisecond
	// retryMost bounds it for nodes that have a feed. They are many, and find the feed
	// again once the nodes that feed them reach the store.
	retryMost = 1500 * time.Millisecond
	// readTimeout bounds one read: a healthy store answers in milliseconds, a slow
	// one in a few hundred.
	readTimeout = 2 * time.Second
	// lapseGrace is how long after the store's return an entry may still be
	// missing that lapsed meanwhile; the users' letter gives about two seconds.
	lapseGrace = 2500 * time.Millisecond
	// awayAfter is how long the store must have been silent for entries to lapse:
	// less than the shortest heartbeat interval in use.
	awayAfter = time.Second
)

// Source reads a prefix of the store.
type Source interface {
	Range(ctx context.Context, prefix string, opts store.RangeOptions) (store.RangeResult, error)
	Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error)
}

// View is a part of the store that a Mirror tells of. OnChange gets a copy of the
// entries below Prefix after each change of one of them, in order, from one
// goroutine at a time.
type View struct {
	Prefix   string
	OnChange func(entries map[string]store.KV, revision int64)
}

// Mirror keeps a copy of the keys below the prefixes of its views and tells of each
// change. It follows all of them by one watch: the store counts each call, and one
// that waits for three prefixes costs as much as one that waits for one.
//
// While the store is away it keeps what it has. Entries that are missing when the
// store returns may have lapsed only because nobody could renew them; dropping
// them at once would empty the list of servers that are alive. So they are kept
// for lapseGrace after the return.
type Mirror struct {
	views  []View
	source Source
	feed   Feed // may be nil
	// wantedAt is when another node last asked for this copy, in Unix nanoseconds.
	wantedAt atomic.Int64
	log      *slog.Logger
	// away is true while the store does not answer this node; used by Run's goroutine.
	away bool

	telling  sync.Mutex
	mu       sync.Mutex
	entries  map[string]store.KV
	lapsed   map[string]struct{}
	revision int64
	loaded   bool
	// heardAt is the last answer of the store.
	heardAt time.Time
	// returnedAt is when the store came back from its last absence.
	returnedAt time.Time
	// followers are the other nodes that this copy is passed on to, with what they
	// asked for.
	followers map[chan store.WatchBatch][]string
}

// NewMirror returns a Mirror with the views; Run fills it, from the feed while that
// serves, else from the source. The feed may be nil.
func NewMirror(source Source, feed Feed, log *slog.Logger, views ...View) *Mirror {
	return &Mirror{views: views, source: source, feed: feed, log: log, followers: make(map[chan store.WatchBatch][]string), entries: make(map[string]store.KV), lapsed: make(map[string]struct{})}
}

// common is the longest prefix that all views share.
func (m *Mirror) common() string {
	prefix := m.views[0].Prefix
	for _, v := range m.views[1:] {
		for !strings.HasPrefix(v.Prefix, prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	return prefix
}

// viewed reports whether a view holds the key.
func (m *Mirror) viewed(key string) bool {
	return slices.ContainsFunc(m.views, func(v View) bool { return strings.HasPrefix(key, v.Prefix) })
}

var mirrorReloads = metrics.NewCounter("fennel_mirror_reloads_total")

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	retry := clock.Backoff{Least: retryPause, Most: retryPause}
	if m.feed != nil {
		retry.Most = retryMost
	}
	started := time.Now()
	var readAt time.Time // when the store is read next
	for ctx.Err() == nil {
		if m.feed != nil && m.feed.Follow(ctx, m.takeFeed) {
			continue
		}
		if m.feed != nil && time.Since(started) < feedStart {
			clock.Pause(ctx, retryPause)
			continue
		}
		if wait := time.Until(readAt); wait > 0 {
			clock.Pause(ctx, min(retryPause, wait))
			continue
		}
		err := m.follow(ctx, &retry)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errFeedIsBack) {
			continue
		}
		if e, ok := errors.Into[*store.Error](err); ok && e.Kind == store.Compacted {
			m.log.Info("store history gone", "revision", m.Revision())
			continue
		}
		if !m.away {
			m.log.Warn("dependency lost", "dependency", "store", "err", err.Error())
		}
		m.away = true
		readAt = time.Now().Add(retry.Next())
	}
}

// follow reads the entries and applies changes until the watch fails.
func (m *Mirror) follow(ctx context.Context, retry *clock.Backoff) error {
	if err := m.reload(ctx); err != nil {
		return err
	}
	if m.away {
		m.away = false
		m.log.Info("dependency regained", "dependency", "store")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := m.source.Watch(ctx, m.common(), m.Revision()+1)
	if err != nil {
		return err
	}
	grace := time.NewTimer(lapseGrace)
	defer grace.Stop()
	feedAgain := m.feedTimer()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-grace.C:
			m.dropLapsed()
		case <-feedAgain:
			return errFeedIsBack
		case batch, ok := <-batches:
			if !ok {
				return errors.New("watch ended")
			}
			if batch.Err != nil {
				return batch.Err
			}
			retry.Reset()
			m.apply(batch)
			if wait, held := m.lapseWait(); held {
				grace.Reset(wait)
			}
		}
	}
}

// lapseWait is how long entries that may have lapsed are still kept; held is
// false when there are none.
func (m *Mirror) lapseWait() (wait time.Duration, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Until(m.returnedAt.Add(lapseGrace)), len(m.lapsed) > 0
}

// Refresh reads all entries anew, whatever the watch has told so far.
func (m *Mirror) Refresh(ctx context.Context) error { return m.reload(ctx) }

// reload reads all entries anew.
func (m *Mirror) reload(ctx context.Context) error {
	mirrorReloads.Inc()
	fresh := make(map[string]store.KV)
	revision := int64(0)
	for _, v := range m.views {
		read, err := m.readView(ctx, v.Prefix, fresh)
		if err != nil {
			return err
		}
		// Reads are not a snapshot: what changed after the first one comes again
		// through the watch, which starts there.
		if revision == 0 {
			revision = read
		}
	}
	m.replace(fresh, revision)
	return nil
}

// readView reads the entries below a prefix into fresh, page by page, and returns
// the store's revision at the first.
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

func (m *Mirror) replace(fresh map[string]store.KV, revision int64) {
	m.mu.Lock()
	now := time.Now()
	if m.loaded && revision < m.revision {
		m.mu.Unlock()
		return // an answer that was overtaken
	}
	m.noteHeard(now)
	m.tellDifference(fresh, revision)
	for key, kv := range m.entries {
		if _, there := fresh[key]; there {
			continue
		}
		if now.Sub(m.returnedAt) < lapseGrace {
			fresh[key] = kv
			m.lapsed[key] = struct{}{}
		}
	}
	for key := range m.lapsed {
		if kv, there := fresh[key]; !there || kv.ModRevision > m.entries[key].ModRevision {
			delete(m.lapsed, key)
		}
	}
	m.entries, m.revision, m.loaded = fresh, revision, true
	m.mu.Unlock()
	m.changed(nil)
}

// noteHeard records an answer of the store; the caller holds m.mu.
func (m *Mirror) noteHeard(now time.Time) {
	if m.loaded && now.Sub(m.heardAt) > awayAfter+watchWait {
		m.returnedAt = now
	}
	m.heardAt = now
}

// watchWait is how long a watch may be without an answer while nothing happens;
// the driver's batches come at least that often.
const watchWait = 2 * time.Second

func (m *Mirror) apply(batch store.WatchBatch) {
	m.mu.Lock()
	now := time.Now()
	m.noteHeard(now)
	m.tellFollowers(batch)
	var changed []string
	for _, ev := range batch.Events {
		if ev.KV.ModRevision <= m.revision || !m.viewed(ev.KV.Key) {
			continue // seen before, or of no concern
		}
		if ev.KV.ModRevision <= m.entries[ev.KV.Key].ModRevision {
			continue // the entry was read after this change
		}
		changed = append(changed, ev.KV.Key)
		if ev.Type == store.EventPut {
			m.entries[ev.KV.Key] = ev.KV
			delete(m.lapsed, ev.KV.Key)
			continue
		}
		if _, there := m.entries[ev.KV.Key]; there && now.Sub(m.returnedAt) < lapseGrace {
			m.lapsed[ev.KV.Key] = struct{}{}
			continue
		}
		delete(m.entries, ev.KV.Key)
	}
	m.revision = max(m.revision, batch.Revision)
	m.mu.Unlock()
	if len(changed) > 0 {
		m.changed(changed)
	}
}

// dropLapsed removes the entries that did not come back.
func (m *Mirror) dropLapsed() {
	m.mu.Lock()
	gone := slices.Collect(maps.Keys(m.lapsed))
	for _, key := range gone {
		delete(m.entries, key)
	}
	clear(m.lapsed)
	m.mu.Unlock()
	if count := len(gone); count > 0 {
		m.log.Info("entries gone", "count", count, "reason", "not back after the store's return")
		m.changed(gone)
	}
}

// changed tells the views that hold one of the keys, or all for none.
func (m *Mirror) changed(keys []string) {
	m.telling.Lock() // a later copy is never overtaken by an earlier one
	defer m.telling.Unlock()
	for _, v := range m.views {
		holds := func(key string) bool { return strings.HasPrefix(key, v.Prefix) }
		if keys != nil && !slices.ContainsFunc(keys, holds) {
			continue
		}
		entries, revision := m.copyOf(holds)
		v.OnChange(entries, revision)
	}
}

func (m *Mirror) copyOf(holds func(key string) bool) (map[string]store.KV, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make(map[string]store.KV)
	for key, kv := range m.entries {
		if holds(key) {
			entries[key] = kv
		}
	}
	return entries, m.revision
}

// Revision is the store's revision up to which the copy is complete.
func (m *Mirror) Revision() int64 {
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

// LastContact is when the store last answered.
func (m *Mirror) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heardAt
}
