package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// Options shape a Table. Zero fields take the defaults below.
type Options struct {
	// Zone is this node's availability zone.
	Zone cluster.ZoneID
	// Policy picks among replicas; default DefaultPolicy.
	Policy Policy
	// Seed makes the picks repeatable.
	Seed uint64
	// ReportExpiry is the age at which a load report says nothing any more.
	ReportExpiry time.Duration
	// PeerExpiry is the age at which a peer's outstanding count is dropped.
	PeerExpiry time.Duration
	// RemoteLoadWeight is the part that counts of a replica's difference from the
	// group in what others run on it, above 0 and up to 1.
	RemoteLoadWeight float64
	// MaxReportLag bounds how late a report is believed to be.
	MaxReportLag time.Duration
	// PrefixEntries bounds the prefix index; PrefixExpiry ends an entry nobody renews.
	PrefixEntries int
	PrefixExpiry  time.Duration
	// ReviewInterval is how often a group's medians are taken and stragglers judged.
	ReviewInterval time.Duration
	// Now is the clock of Choose and End; default time.Now.
	Now func() time.Time
}

// Defaults of Options.
const (
	DefaultReportExpiry     = 5 * time.Second
	DefaultPeerExpiry       = 5 * time.Second
	DefaultRemoteLoadWeight = 0.25
	DefaultMaxReportLag     = 2 * time.Second
	DefaultPrefixEntries    = 1 << 16
	DefaultPrefixExpiry     = 10 * time.Minute
	DefaultReviewInterval   = time.Second
)

func (o Options) withDefaults() Options {
	if o.Policy == nil {
		o.Policy = DefaultPolicy()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.ReportExpiry, DefaultReportExpiry)
	setDefault(&o.PeerExpiry, DefaultPeerExpiry)
	setDefault(&o.RemoteLoadWeight, DefaultRemoteLoadWeight)
	setDefault(&o.MaxReportLag, DefaultMaxReportLag)
	setDefault(&o.PrefixEntries, DefaultPrefixEntries)
	setDefault(&o.PrefixExpiry, DefaultPrefixExpiry)
	setDefault(&o.ReviewInterval, DefaultReviewInterval)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Entry is one committed replica with the address of its serving VM.
type Entry struct {
	Replica cluster.Replica
	// Addr is empty while the serving VM is not in the VM list.
	Addr string
	// Slots is how many requests the replica batches, as listed; 0 where it is not.
	Slots int
}

// Table knows the replicas of all groups and what runs on them. All methods are
// safe for concurrent use.
type Table struct {
	opts   Options
	shards [tableShards]tableShard
	prefix *prefixIndex
	draws  atomic.Uint64

	// feed serializes SetReplicas; groups is replaced, never changed.
	feed   sync.Mutex
	zones  map[cluster.ZoneID]map[cluster.ReplicaID]bool
	groups atomic.Pointer[map[cluster.GroupName]*group]
}

const tableShards = 64

type tableShard struct {
	mu      sync.Mutex
	entries map[cluster.ReplicaID]*entry
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	opts = opts.withDefaults()
	t := &Table{
		opts: opts, prefix: newPrefixIndex(opts.PrefixEntries, opts.PrefixExpiry),
		zones: map[cluster.ZoneID]map[cluster.ReplicaID]bool{},
	}
	for i := range t.shards {
		t.shards[i].entries = map[cluster.ReplicaID]*entry{}
	}
	t.groups.Store(&map[cluster.GroupName]*group{})
	return t
}

func (t *Table) shard(id cluster.ReplicaID) *tableShard {
	return &t.shards[xxhash.Sum64String(string(id))%tableShards]
}

// with runs f on the replica's entry under its shard's lock; false when unknown.
func (t *Table) with(id cluster.ReplicaID, f func(*entry)) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil {
		return false
	}
	f(e)
	return true
}

// SetReplicas replaces the committed replicas of one availability zone. Counts
// of requests in flight survive a new generation of the same replica.
func (t *Table) SetReplicas(zone cluster.ZoneID, entries []Entry) {
	t.feed.Lock()
	defer t.feed.Unlock()
	now := make(map[cluster.ReplicaID]bool, len(entries))
	for _, in := range entries {
		now[in.Replica.ID] = true
		t.put(in)
	}
	for id := range t.zones[zone] {
		if !now[id] {
			t.drop(id)
		}
	}
	t.zones[zone] = now
	t.regroup()
}

func (t *Table) put(in Entry) {
	s := t.shard(in.Replica.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[in.Replica.ID]
	if e == nil {
		e = &entry{lock: &s.mu}
		s.entries[in.Replica.ID] = e
	}
	if e.addr != in.Addr || e.replica.Serving != in.Replica.Serving {
		// Another engine process serves now: what was learnt of the old one is void.
		e.cacheEpoch++
		e.speed = speed{}
		e.report = report{}
	}
	e.replica, e.addr, e.slots = in.Replica, in.Addr, in.Slots
}

func (t *Table) drop(id cluster.ReplicaID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil {
		e.removed = true
		delete(s.entries, id)
	}
}

// regroup rebuilds the lists of members; the caller holds t.feed.
func (t *Table) regroup() {
	members := map[cluster.GroupName][]*entry{}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			members[e.replica.Group] = append(members[e.replica.Group], e)
		}
		s.mu.Unlock()
	}
	old := *t.groups.Load()
	next := make(map[cluster.GroupName]*group, len(members))
	for name, list := range members {
		g := old[name]
		if g == nil {
			g = &group{}
		}
		g.setMembers(list)
		next[name] = g
	}
	t.groups.Store(&next)
}

// SetHealthy says whether the health check confirms every member of the replica's
// generation. Only the committed generation counts.
func (t *Table) SetHealthy(id cluster.ReplicaID, generation int64, whole bool) {
	var changed cluster.GroupName
	t.with(id, func(e *entry) {
		before := e.eligible()
		switch {
		case whole:
			e.wholeGeneration = generation
		case e.wholeGeneration == generation || e.replica.Generation == generation:
			e.wholeGeneration = 0
		}
		if e.eligible() != before {
			changed = e.replica.Group
		}
	})
	if g := (*t.groups.Load())[changed]; g != nil {
		g.dirty.Store(true)
	}
}

// ReportLoad takes an engine's load report, which lags by receivedAt - load.AsOf.
func (t *Table) ReportLoad(id cluster.ReplicaID, load engine.Load, receivedAt time.Time) {
	t.with(id, func(e *entry) {
		last := e.report
		expired := receivedAt.Sub(last.receivedAt) >= t.opts.ReportExpiry
		setBack := expired && load.AsOf.Before(last.load.AsOf)
		if !load.AsOf.After(last.load.AsOf) && !setBack {
			// Overtaken by a newer report, or the engine repeats an old one, which
			// must go on ageing. An earlier time after a long silence is a clock
			// that was set back.
			return
		}
		lag := min(max(receivedAt.Sub(load.AsOf), 0), t.opts.MaxReportLag)
		e.report = report{
			load: load, receivedAt: receivedAt,
			ownThen: e.history.countAt(receivedAt.Add(-lag), e.outstanding),
		}
	})
}

// ObservePeerOutstanding takes another node's count of its requests on the replica.
func (t *Table) ObservePeerOutstanding(node cluster.NodeID, id cluster.ReplicaID, n int, now time.Time) {
	t.with(id, func(e *entry) { e.setPeer(node, n, now, t.opts.PeerExpiry) })
}

// Outstanding is this node's own requests by replica, without those that have none.
func (t *Table) Outstanding() map[cluster.ReplicaID]int {
	out := make(map[cluster.ReplicaID]int)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if e.outstanding > 0 {
				out[id] = e.outstanding
			}
		}
		s.mu.Unlock()
	}
	return out
}

// CacheEvents takes an engine's cache events. A new Boot voids all that was
// known of the replica's cache; a gap in Seq may hide evictions, which is why
// entries also expire.
func (t *Table) CacheEvents(id cluster.ReplicaID, events engine.CacheEvents, now time.Time) {
	var target *entry
	var epoch uint32
	t.with(id, func(e *entry) {
		switch e.cacheBoot {
		case events.Boot:
			e.cacheSeq = max(e.cacheSeq, events.Next)
		case "":
			e.cacheBoot, e.cacheSeq = events.Boot, events.Next
		default:
			// The poll went on after the old process's last event, so what the
			// new one published up to that number is asked for once more.
			e.cacheEpoch++
			e.cacheBoot, e.cacheSeq = events.Boot, 0
		}
		target, epoch = e, e.cacheEpoch
	})
	if target == nil {
		return
	}
	for _, ev := range events.Events {
		if ev.Evicted {
			t.prefix.remove(ev.PrefixHash, target)
		} else {
			t.prefix.add(ev.PrefixHash, target, epoch, now)
		}
	}
}

// CacheSeq is the number of the last cache event taken, for the next poll.
func (t *Table) CacheSeq(id cluster.ReplicaID) (seq int64) {
	t.with(id, func(e *entry) { seq = e.cacheSeq })
	return seq
}

var (
	chosenTotal  = metrics.NewCounter("fennel_routing_chosen_total")
	refusedTotal = metrics.NewCounter("fennel_routing_refused_total")
	fullTotal    = metrics.NewCounter("fennel_routing_full_total")
	avoidedTotal = metrics.NewCounter("fennel_routing_straggler_avoided_total")
)

// Capacities returns how many requests the whole replicas of each group batch.
// A group without a whole replica has none.
func (t *Table) Capacities(now time.Time) map[cluster.GroupName]int {
	groups := *t.groups.Load()
	out := make(map[cluster.GroupName]int, len(groups))
	for name, g := range groups {
		snap := g.current(t.opts, now)
		total := 0.0
		for _, e := range snap.entries {
			e.lock.Lock()
			if e.eligible() {
				total += believedCapacity(e.claimed(), snap.capacity)
			}
			e.lock.Unlock()
		}
		out[name] = int(total)
	}
	return out
}

// Status is what the table knows of one replica, for operators and for gossip.
type Status struct {
	Replica     cluster.Replica
	Healthy     bool
	Load        engine.Load
	LoadAt      time.Time // zero when no report came
	Outstanding int
	// InFlight is the own and all known other requests on it.
	InFlight float64
	Avoided  bool
}

// Statuses returns all replicas, in no particular order.
func (t *Table) Statuses(now time.Time) []Status {
	var out []Status
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			out = append(out, Status{
				Replica: e.replica, Healthy: e.eligible(), Load: e.report.load, LoadAt: e.report.receivedAt,
				Outstanding: e.outstanding, InFlight: float64(e.outstanding) + e.others(now, t.opts), Avoided: e.speed.avoided(now),
			})
		}
		s.mu.Unlock()
	}
	return out
}
