package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// Options configure a Table. Zero fields take the defaults below.
type Options struct {
	// Zone is this node's availability zone.
	Zone cluster.ZoneID
	// Policy picks the replica; default DefaultPolicy.
	Policy Policy
	// Seed seeds the random generator of the policy.
	Seed uint64
	// ReportExpiry is the age from which a load report is ignored.
	ReportExpiry time.Duration
	// PeerExpiry is the age from which a peer's outstanding count is ignored.
	PeerExpiry time.Duration
	// RemoteLoadWeight is the weight, above 0 and up to 1, of a replica's deviation from
	// the mean remote load of its group (see entry.inFlight).
	RemoteLoadWeight float64
	// MaxReportLag limits the lag assumed for a load report.
	MaxReportLag time.Duration
	// PrefixEntries is the size of the prefix index. Entries that are not renewed expire
	// after PrefixExpiry.
	PrefixEntries int
	PrefixExpiry  time.Duration
	// ReviewInterval is the time between two reviews of a group, which compute its medians
	// and detect its stragglers.
	ReviewInterval time.Duration
	// Shares splits the limits that servers name between the nodes; default SingleNode.
	Shares Shares
	// OnAssigned is called after a request is assigned to a replica whose engine figures are
	// known. It must not block; may be nil.
	OnAssigned func()
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
	if o.Shares == nil {
		o.Shares = SingleNode{}
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
	// Slots is the batch size of the replica as listed; 0 if it is not listed.
	Slots int
	// StartedAt is when the process of the serving VM started; may be zero.
	StartedAt time.Time
	// ColdUntil is until when the replica's server is cold; may be zero. Until then it takes
	// ColdRate requests per second from all nodes together.
	ColdUntil time.Time
	ColdRate  float64
	// Engine holds the published figures of the replica's engine; nil if there are none.
	Engine *enginemodel.Profile
}

// Table holds the replicas of all groups and their load. All methods are safe for
// concurrent use.
type Table struct {
	opts   Options
	shards [tableShards]tableShard
	prefix *prefixIndex
	// signals and limits outlast the entries of the replicas.
	signals signalTable
	limits  limitTable
	picks   atomic.Uint64 // number of picks so far, for the seed of the next one

	// updateMu serializes SetReplicas. The map in groups is replaced, never modified.
	updateMu sync.Mutex
	zones    map[cluster.ZoneID]map[cluster.ReplicaID]bool
	groups   atomic.Pointer[map[cluster.GroupName]*group]
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
		zones:  map[cluster.ZoneID]map[cluster.ReplicaID]bool{},
		limits: limitTable{byProcess: make(map[process]*rateLimit), byID: make(map[uint32]*rateLimit)},
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

// withEntry calls f with the replica's entry under its shard's lock. It returns false if the
// replica is unknown.
func (t *Table) withEntry(id cluster.ReplicaID, f func(*entry)) bool {
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

// SetReplicas replaces the committed replicas of one availability zone. The counts of
// requests in flight are kept across generations of the same replica.
func (t *Table) SetReplicas(zone cluster.ZoneID, entries []Entry) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	current := make(map[cluster.ReplicaID]bool, len(entries))
	for _, in := range entries {
		current[in.Replica.ID] = true
		t.upsert(in)
	}
	for id := range t.zones[zone] {
		if !current[id] {
			t.remove(id)
		}
	}
	t.zones[zone] = current
	t.rebuildGroups()
}

// UpdateReplicas replaces some of the committed replicas of one availability zone and removes
// others. Its work grows with their number.
func (t *Table) UpdateReplicas(zone cluster.ZoneID, changed []Entry, removed []cluster.ReplicaID) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	if t.zones[zone] == nil {
		t.zones[zone] = make(map[cluster.ReplicaID]bool)
	}
	regroup := false
	for _, in := range changed {
		t.zones[zone][in.Replica.ID] = true
		regroup = t.upsert(in) || regroup
	}
	for _, id := range removed {
		if t.zones[zone][id] {
			delete(t.zones[zone], id)
			t.remove(id)
			regroup = true
		}
	}
	if regroup {
		t.rebuildGroups()
		return
	}
	for _, in := range changed {
		if g := (*t.groups.Load())[in.Replica.Group]; g != nil {
			g.dirty.Store(true)
		}
	}
}

// upsert sets a replica and reports whether it is new in its group.
func (t *Table) upsert(in Entry) (regroup bool) {
	s := t.shard(in.Replica.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[in.Replica.ID]
	if e == nil {
		e = &entry{lock: &s.mu}
		s.entries[in.Replica.ID] = e
	}
	regroup = e.replica.Group != in.Replica.Group
	if e.addr != in.Addr || e.replica.Serving != in.Replica.Serving {
		// Another engine process now serves the replica, so the data about the old one
		// is discarded.
		e.cacheEpoch++
		e.speed = speed{}
		e.report = loadReport{}
	}
	if p := in.process(); e.process != p || e.limit == nil {
		if e.limit != nil {
			t.limits.release(e.limit)
		}
		e.process, e.limit = p, t.limits.acquire(p, t.opts.Now())
		e.setSignals(t.signals.get(p), t.opts.Now())
	}
	e.replica, e.addr, e.slots, e.coldUntil, e.coldRate = in.Replica, in.Addr, in.Slots, in.ColdUntil, in.ColdRate
	e.engine = in.Engine
	return regroup
}

func (t *Table) remove(id cluster.ReplicaID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil {
		e.removed = true
		t.limits.release(e.limit)
		delete(s.entries, id)
	}
}

// rebuildGroups rebuilds the member lists of all groups. The caller holds t.updateMu.
func (t *Table) rebuildGroups() {
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
			g = &group{accuracy: newAccuracy(name)}
		}
		g.setMembers(list)
		next[name] = g
	}
	t.groups.Store(&next)
}

// SetHealthy records whether the health check confirms every member of the replica's
// generation. The replica is eligible only if its committed generation is healthy.
func (t *Table) SetHealthy(id cluster.ReplicaID, generation int64, healthy bool) {
	var changed cluster.GroupName
	t.withEntry(id, func(e *entry) {
		before := e.eligible()
		switch {
		case healthy:
			e.healthyGeneration = generation
		case e.healthyGeneration == generation || e.replica.Generation == generation:
			e.healthyGeneration = 0
		}
		if e.eligible() != before {
			changed = e.replica.Group
		}
	})
	if g := (*t.groups.Load())[changed]; g != nil {
		g.dirty.Store(true)
	}
}

// ReportLoad records an engine's load report, which lags by receivedAt - load.AsOf.
func (t *Table) ReportLoad(id cluster.ReplicaID, load engine.Load, receivedAt time.Time) {
	t.withEntry(id, func(e *entry) {
		last := e.report
		expired := receivedAt.Sub(last.receivedAt) >= t.opts.ReportExpiry
		clockSetBack := expired && load.AsOf.Before(last.load.AsOf)
		if !load.AsOf.After(last.load.AsOf) && !clockSetBack {
			// The report is older than the last one, or the engine repeats an old report,
			// which must keep ageing. An earlier time after the last report has expired
			// means that the engine's clock was set back.
			return
		}
		lag := min(max(receivedAt.Sub(load.AsOf), 0), t.opts.MaxReportLag)
		e.report = loadReport{
			load: load, receivedAt: receivedAt,
			ownAtReport: e.history.countAt(receivedAt.Add(-lag), e.outstanding),
		}
	})
}

// ObservePeerOutstanding records another node's count of its requests on the replica.
func (t *Table) ObservePeerOutstanding(node cluster.NodeID, id cluster.ReplicaID, n int, now time.Time) {
	t.withEntry(id, func(e *entry) { e.setPeer(peerCount{node: node, n: n, at: now}, t.opts.PeerExpiry) })
}

// Outstanding returns the number of this node's own requests on each replica that has any.
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

// CacheEvents records an engine's cache events. A new Boot invalidates all data about the
// replica's cache. A gap in Seq may hide evictions, which is why entries also expire.
func (t *Table) CacheEvents(id cluster.ReplicaID, events engine.CacheEvents, now time.Time) {
	var target *entry
	var epoch uint32
	t.withEntry(id, func(e *entry) {
		switch e.cacheBoot {
		case events.Boot:
			e.cacheSeq = max(e.cacheSeq, events.Next)
		case "":
			e.cacheBoot, e.cacheSeq = events.Boot, events.Next
		default:
			// The poll asked for events after the old process's last one. Resetting the
			// number makes the next poll ask for the events of the new process that were
			// skipped.
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

// CacheSeq returns the number of the last recorded cache event, for the next poll.
func (t *Table) CacheSeq(id cluster.ReplicaID) (seq int64) {
	t.withEntry(id, func(e *entry) { seq = e.cacheSeq })
	return seq
}

var (
	chosenTotal  = metrics.NewCounter("fennel_routing_chosen_total")
	refusedTotal = metrics.NewCounter("fennel_routing_refused_total")
	fullTotal    = metrics.NewCounter("fennel_routing_full_total")
	avoidedTotal = metrics.NewCounter("fennel_routing_straggler_avoided_total")
)

// Capacities returns the total batch size of each group's healthy replicas, 0 if it has
// none.
func (t *Table) Capacities(now time.Time) map[cluster.GroupName]int {
	groups := *t.groups.Load()
	out := make(map[cluster.GroupName]int, len(groups))
	for name, g := range groups {
		snap := g.current(t.opts, now)
		total := 0.0
		for _, e := range snap.entries {
			e.lock.Lock()
			if e.eligible() {
				total += boundedCapacity(e.capacity(), snap.capacity)
			}
			e.lock.Unlock()
		}
		out[name] = int(total)
	}
	return out
}

// Status is the state of one replica, for operators and for gossip.
type Status struct {
	Replica     cluster.Replica
	Healthy     bool
	Load        engine.Load
	LoadAt      time.Time // zero if there was no report
	Outstanding int
	// InFlight is the number of all known requests on the replica, own and remote.
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
				Outstanding: e.outstanding, InFlight: float64(e.outstanding) + e.remoteLoad(now, t.opts), Avoided: e.speed.avoided(now),
			})
		}
		s.mu.Unlock()
	}
	return out
}
