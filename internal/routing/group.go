package routing

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// group holds the replicas of one group. Picks read an immutable snapshot of the healthy
// ones, which is rebuilt when a replica changes and at each review.
type group struct {
	members  atomic.Pointer[[]*entry] // ordered by replica id, so that picks are reproducible
	snapshot atomic.Pointer[snapshot]
	dirty    atomic.Bool
	building atomic.Bool
	accuracy *accuracy
}

// snapshot lists the eligible replicas, those of the own zone first.
type snapshot struct {
	entries  []*entry
	local    int
	capacity float64 // median of the reported capacities
	// meanRemote is the mean remote load per unit of capacity.
	meanRemote float64
	takenAt    time.Time
}

func (g *group) setMembers(list []*entry) {
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.replica.ID, b.replica.ID) })
	g.members.Store(&list)
	g.dirty.Store(true)
}

// current returns the snapshot and rebuilds it when due. While one goroutine rebuilds it,
// the others use the old one: whether a replica is still eligible is checked again under
// its lock.
func (g *group) current(o Options, now time.Time) *snapshot {
	old := g.snapshot.Load()
	due := old == nil || g.dirty.Load() || now.Sub(old.takenAt) >= o.ReviewInterval
	if !due {
		return old
	}
	if !g.building.CompareAndSwap(false, true) && old != nil {
		return old
	}
	g.dirty.Store(false)
	next := g.buildSnapshot(o, now)
	g.snapshot.Store(next)
	g.building.Store(false)
	return next
}

// memberView is a copy of a replica's state, taken for a review.
type memberView struct {
	entry    *entry
	zone     cluster.ZoneID
	capacity int
	remote   float64
	speed    speed
	eligible bool
}

// buildSnapshot computes the group's medians, detects its stragglers and lists its eligible
// replicas.
func (g *group) buildSnapshot(o Options, now time.Time) *snapshot {
	members := *g.members.Load()
	views := make([]memberView, 0, len(members))
	for _, e := range members {
		e.lock.Lock()
		v := memberView{
			entry: e, zone: e.replica.Zone, capacity: e.capacity(),
			remote: e.remoteLoad(now, o), speed: e.speed, eligible: e.eligible(),
		}
		e.lock.Unlock()
		if v.eligible {
			views = append(views, v)
		}
	}
	detectStragglers(views, now)
	out := &snapshot{takenAt: now, entries: make([]*entry, 0, len(views)), capacity: medianCapacity(views)}
	out.meanRemote = meanRemoteLoad(views, out.capacity)
	for _, v := range views {
		if v.zone == o.Zone {
			out.entries = append(out.entries, v.entry)
		}
	}
	out.local = len(out.entries)
	for _, v := range views {
		if v.zone != o.Zone {
			out.entries = append(out.entries, v.entry)
		}
	}
	return out
}

// maxAvoidedDivisor limits the stragglers avoided at a time to this part of their group,
// one in three.
const maxAvoidedDivisor = 3

func detectStragglers(views []memberView, now time.Time) {
	speeds := medianSpeed(views)
	avoided := 0
	for _, v := range views {
		if v.speed.avoided(now) {
			avoided++
		}
	}
	for _, v := range views {
		if v.speed.samples == 0 && !v.speed.onTrial {
			continue
		}
		e := v.entry
		e.lock.Lock()
		e.speed.evaluate(speeds, (avoided+1)*maxAvoidedDivisor <= len(views), now)
		if e.speed.avoided(now) && !v.speed.avoided(now) {
			avoided++
			avoidedTotal.Inc()
		}
		e.lock.Unlock()
	}
}

// medianSpeed returns the medians over the replicas with enough samples. It needs three of
// them: of two replicas, neither can be called the straggler.
func medianSpeed(views []memberView) groupSpeed {
	var firstToken, perToken []time.Duration
	for _, v := range views {
		if v.speed.samples >= minSamples {
			firstToken = append(firstToken, v.speed.firstToken)
			perToken = append(perToken, v.speed.perToken)
		}
	}
	if len(perToken) < 3 {
		return groupSpeed{}
	}
	slices.Sort(firstToken)
	slices.Sort(perToken)
	return groupSpeed{firstToken: firstToken[len(firstToken)/2], perToken: perToken[len(perToken)/2]}
}

func medianCapacity(views []memberView) float64 {
	var capacities []int
	for _, v := range views {
		if v.capacity > 0 {
			capacities = append(capacities, v.capacity)
		}
	}
	if len(capacities) == 0 {
		return 0
	}
	slices.Sort(capacities)
	return float64(capacities[len(capacities)/2])
}

// meanRemoteLoad returns the mean remote load per unit of capacity.
func meanRemoteLoad(views []memberView, median float64) float64 {
	remote, capacity := 0.0, 0.0
	for _, v := range views {
		remote += v.remote
		capacity += boundedCapacity(v.capacity, median)
	}
	if capacity == 0 {
		return 0
	}
	return remote / capacity
}

// view is the View of the table for one pick.
type view struct {
	table *Table
	snap  *snapshot
	group cluster.GroupName
	now   time.Time
	// correction is the factor on predictions for the group.
	correction float64
}

func (v view) Len() int      { return len(v.snap.entries) }
func (v view) LocalLen() int { return v.snap.local }

func (v view) At(i int) Candidate {
	e := v.snap.entries[i]
	e.lock.Lock()
	defer e.lock.Unlock()
	return v.candidate(e)
}

// candidate returns the entry as a Candidate. The caller holds the entry's lock.
func (v view) candidate(e *entry) Candidate {
	o := v.table.opts
	capacity := boundedCapacity(e.capacity(), v.snap.capacity)
	return Candidate{
		ID: e.replica.ID, Addr: e.addr, Zone: e.replica.Zone, Own: e.outstanding, LoadKnown: e.loadKnown(v.now, o), Local: e.replica.Zone == o.Zone, Healthy: e.eligible(),
		InFlight: e.inFlight(v.now, o, capacity, v.snap.meanRemote), Capacity: capacity,
		Load:    float64(e.outstanding) + e.remoteLoad(v.now, o),
		Avoided: e.speed.avoided(v.now) || e.speed.trialRunning(),
		Trial:   e.speed.onTrial, Suspects: e.suspects, Limited: e.limited(v.now, v.table.opts.Shares),
		PushbackLeft: e.signals.pushback.left(v.now), PushbackAge: v.now.Sub(e.signals.pushback.askedAt), entry: e,
		Work: e.totalWork(v.now, o), Engine: e.engine, Correction: v.correction,
	}
}

func (v view) Holders(prefixHash uint64) []Candidate {
	var out []Candidate
	for _, h := range v.table.prefix.holders(prefixHash, v.now) {
		if h.entry == nil {
			continue
		}
		if c, ok := v.holderCandidate(h); ok {
			out = append(out, c)
		}
	}
	return out
}

func (v view) holderCandidate(h holder) (Candidate, bool) {
	h.entry.lock.Lock()
	defer h.entry.lock.Unlock()
	if h.entry.cacheEpoch != h.epoch || h.entry.replica.Group != v.group || !h.entry.eligible() {
		return Candidate{}, false
	}
	return v.candidate(h.entry), true
}
