package routing

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// group is the replicas of one group. Choosing reads an immutable snapshot of
// the whole ones; it is rebuilt when one changes and at each review.
type group struct {
	members  atomic.Pointer[[]*entry] // ordered by replica id, so that picks repeat
	snapshot atomic.Pointer[snapshot]
	dirty    atomic.Bool
	building atomic.Bool
}

// snapshot lists the whole replicas, those of the own zone first.
type snapshot struct {
	entries  []*entry
	local    int
	capacity float64 // median of the claimed capacities
	// usual is the mean of what others run on one unit of capacity.
	usual   float64
	takenAt time.Time
}

func (g *group) setMembers(list []*entry) {
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.replica.ID, b.replica.ID) })
	g.members.Store(&list)
	g.dirty.Store(true)
}

// current returns the snapshot, renewed when it is due. While one goroutine
// renews it the others go on with the old one: whether a replica is still whole
// is checked again under its lock.
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
	next := g.review(o, now)
	g.snapshot.Store(next)
	g.building.Store(false)
	return next
}

// memberView is one replica's part of a review.
type memberView struct {
	entry    *entry
	zone     cluster.ZoneID
	capacity int
	others   float64
	speed    speed
	eligible bool
}

// review takes the group's medians, judges the stragglers and lists the whole replicas.
func (g *group) review(o Options, now time.Time) *snapshot {
	members := *g.members.Load()
	views := make([]memberView, 0, len(members))
	for _, e := range members {
		e.lock.Lock()
		v := memberView{
			entry: e, zone: e.replica.Zone, capacity: e.claimed(),
			others: e.others(now, o), speed: e.speed, eligible: e.eligible(),
		}
		e.lock.Unlock()
		if v.eligible {
			views = append(views, v)
		}
	}
	judgeStragglers(views, now)
	out := &snapshot{takenAt: now, entries: make([]*entry, 0, len(views)), capacity: medianCapacity(views)}
	out.usual = usualOthers(views, out.capacity)
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

// avoidedShare is the largest part of a group that is avoided as stragglers.
const avoidedShare = 3

func judgeStragglers(views []memberView, now time.Time) {
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
		e.speed.judge(speeds, (avoided+1)*avoidedShare <= len(views), now)
		if e.speed.avoided(now) && !v.speed.avoided(now) {
			avoided++
			avoidedTotal.Inc()
		}
		e.lock.Unlock()
	}
}

// medianSpeed needs three judged replicas: of two, neither is the straggler.
func medianSpeed(views []memberView) groupSpeed {
	var first, per []time.Duration
	for _, v := range views {
		if v.speed.samples >= speedSamples {
			first = append(first, v.speed.firstToken)
			per = append(per, v.speed.perToken)
		}
	}
	if len(per) < 3 {
		return groupSpeed{}
	}
	slices.Sort(first)
	slices.Sort(per)
	return groupSpeed{firstToken: first[len(first)/2], perToken: per[len(per)/2]}
}

func medianCapacity(views []memberView) float64 {
	var claims []int
	for _, v := range views {
		if v.capacity > 0 {
			claims = append(claims, v.capacity)
		}
	}
	if len(claims) == 0 {
		return 0
	}
	slices.Sort(claims)
	return float64(claims[len(claims)/2])
}

func usualOthers(views []memberView, median float64) float64 {
	others, capacity := 0.0, 0.0
	for _, v := range views {
		others += v.others
		capacity += believedCapacity(v.capacity, median)
	}
	if capacity == 0 {
		return 0
	}
	return others / capacity
}

// view is one decision's View of the table.
type view struct {
	table *Table
	snap  *snapshot
	group cluster.GroupName
	now   time.Time
}

func (v view) Len() int      { return len(v.snap.entries) }
func (v view) LocalLen() int { return v.snap.local }

func (v view) At(i int) Candidate {
	e := v.snap.entries[i]
	e.lock.Lock()
	defer e.lock.Unlock()
	return v.candidate(e)
}

// candidate reads the entry under its lock, which the caller holds.
func (v view) candidate(e *entry) Candidate {
	o := v.table.opts
	capacity := believedCapacity(e.claimed(), v.snap.capacity)
	return Candidate{
		ID: e.replica.ID, Local: e.replica.Zone == o.Zone, Healthy: e.eligible(),
		InFlight: e.inFlight(v.now, o, capacity, v.snap.usual), Capacity: capacity,
		Load:    float64(e.outstanding) + e.others(v.now, o),
		Avoided: e.speed.avoided(v.now) || e.speed.closedForTrial(),
		Trial:   e.speed.onTrial, Suspects: e.suspects, entry: e,
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
