package player

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Bounds on the requests to a server that names a rate limit: from limitNotice after it first
// named it, it may get in each limitWindow limitTolerance times what the limit allows and
// limitSlack more, from the nodes that got such an answer limitReaction before or earlier.
const (
	limitNotice    = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	limitReaction  = 500 * time.Millisecond
)

// limitRecord records the requests to a VM while it names a rate limit.
type limitRecord struct {
	limit   float64
	namedAt time.Time
	// informedAt is when each node first got an answer that names the limit.
	informedAt map[cluster.NodeID]time.Time
	arrivals   []time.Time
}

// limitHeads has the heads of some replicas name a rate limit, those first that named one before.
func (w *world) limitHeads(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	serving := w.servingMembers(f.Zone, f.Model)
	slices.SortStableFunc(serving, func(a, b *vm) int {
		return cmp.Compare(len(w.limits[b.entry.ID]), len(w.limits[a.entry.ID]))
	})
	limited := 0
	for _, v := range serving {
		if v.head != nil && limited < f.Count {
			limited++
			v.rateLimit = f.Factor
			w.limits[v.entry.ID] = append(w.limits[v.entry.ID], &limitRecord{limit: f.Factor, informedAt: make(map[cluster.NodeID]time.Time)})
		}
	}
}

// limitOf returns the record of the limit that the VM names, nil if it names none. The caller holds
// w.mu.
func (w *world) limitOf(v *vm) *limitRecord {
	records := w.limits[v.entry.ID]
	if v.rateLimit <= 0 || len(records) == 0 {
		return nil
	}
	return records[len(records)-1]
}

// nameLimit returns the limit that an answer to the node names. The caller holds w.mu.
func (w *world) nameLimit(v *vm, to cluster.NodeID) float64 {
	rec := w.limitOf(v)
	if rec == nil {
		return 0
	}
	now := time.Now()
	if rec.namedAt.IsZero() {
		rec.namedAt = now
	}
	if rec.informedAt[to].IsZero() {
		rec.informedAt[to] = now
	}
	return v.rateLimit
}

// recordArrival records a request of a node that knows the VM's limit, or of any node to a VM that is
// cold or gives signals. The caller holds w.mu.
func (w *world) recordArrival(v *vm, from cluster.NodeID) {
	now := time.Now()
	if now.Before(v.entry.ColdUntil) {
		w.coldArrivals[v.entry.ID] = append(w.coldArrivals[v.entry.ID], now)
	}
	if _, given := w.signals[v.entry.ID]; given {
		rec := w.signalRecord(v, from)
		rec.arrivals = append(rec.arrivals, now)
	}
	rec := w.limitOf(v)
	if rec == nil {
		return
	}
	if at := rec.informedAt[from]; !at.IsZero() && now.Sub(at) >= limitReaction {
		rec.arrivals = append(rec.arrivals, now)
	}
}

// limitExcess returns the number of VMs that named a limit, and by how many requests the most
// loaded of them exceeded its bound.
func (w *world) limitExcess() (servers, excess int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	excess = math.MinInt
	for _, records := range w.limits {
		named := 0
		for _, rec := range records {
			if rec.namedAt.IsZero() {
				continue
			}
			named++
			allowed := int(limitTolerance*rec.limit*limitWindow.Seconds()) + limitSlack
			excess = max(excess, rec.mostInWindow()-allowed)
		}
		servers += min(named, 1)
	}
	return servers, excess
}

// mostInWindow returns the largest number of arrivals in a window after the notice.
func (r *limitRecord) mostInWindow() int {
	return mostWithin(limitWindow, r.arrivals, r.namedAt.Add(limitNotice))
}

// mostWithin returns the largest number of the times in a window that ends at from or later.
func mostWithin(window time.Duration, times []time.Time, from time.Time) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// coolHeads has the heads of some replicas be cold.
func (w *world) coolHeads(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cooled := 0
	for _, v := range w.servingMembers(f.Zone, f.Model) {
		if v.head != nil && cooled < f.Count {
			cooled++
			v.entry.ColdUntil = time.Now().Add(f.Duration)
			v.publish()
		}
	}
}

// coldNotice is how long after a VM's first request while cold the nodes may not know it yet.
const coldNotice = time.Second

// mostOnColdVM returns the number of VMs that got requests while they were cold, and the largest
// number that one of them got within a second.
func (w *world) mostOnColdVM() (servers, most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, arrivals := range w.coldArrivals {
		most = max(most, mostWithin(time.Second, arrivals, arrivals[0].Add(coldNotice)))
	}
	return len(w.coldArrivals), most
}
