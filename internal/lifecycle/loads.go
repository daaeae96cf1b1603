package lifecycle

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Limits of loads from the weight store.
const (
	// rateMargin is the part of the weight store's rate that is used, and loadBurst
	// how many loads may begin at once. A holder knows nothing of the loads that its
	// predecessor began and has no burst at its start: both together stay below the
	// rate times the store's window of 5 s plus its allowance of 3.
	rateMargin = 0.9
	loadBurst  = 3
	// lateLoad is when a load counts as ended whatever the list says, as a multiple
	// of its usual time: a VM that died while loading would hold its place for ever.
	lateLoad = 3
	// spareReserve is the number of places that loads of spares leave free for the
	// one load that makes a replica whole: one begun now holds its place for 12 to 16 s.
	spareReserve = 2
	// rushAfter is how long loads keep to the number at once while they are cheap; after
	// that all that are left begin together, since a load's price is set when it begins.
	// Sooner, they would delay the replicas that could serve the first requests.
	rushAfter = 4 * time.Second
)

// loads bounds the VMs that read weights at the same time and their rate.
type loads struct {
	limiter *rate.Limiter
	atOnce  int
	// freeSince is when loads were first known to be cheap; zero once they are not.
	freeSince time.Time
	// until has the VMs that load, with when they count as ended at the latest.
	until map[cluster.VMID]time.Time
	// started is true once the bounds were set.
	started bool
}

func newLoads() *loads {
	return &loads{limiter: rate.NewLimiter(rate.Inf, loadBurst), until: make(map[cluster.VMID]time.Time)}
}

// set takes the weight store's bounds. Before the first request of a deployment
// loads are cheap and its rate does not bind (free).
func (l *loads) set(w rules.WeightStore, free bool, now time.Time) {
	limit := rate.Inf
	if w.LoadsPerSecond > 0 && !free {
		limit = rate.Limit(w.LoadsPerSecond * rateMargin)
	}
	if l.limiter.Limit() != limit {
		l.limiter.SetLimitAt(now, limit)
	}
	if !l.started && limit != rate.Inf {
		// An earlier holder may have used up the burst a moment ago.
		l.limiter.AllowN(now, loadBurst)
	}
	l.started = true
	l.atOnce = w.LoadsAtOnce
	if l.rush(free, now) {
		l.atOnce = 0
	}
}

// rush reports whether loads have been cheap for rushAfter and still are.
func (l *loads) rush(free bool, now time.Time) bool {
	if !free {
		l.freeSince = time.Time{}
		return false
	}
	if l.freeSince.IsZero() {
		l.freeSince = now
	}
	return now.Sub(l.freeSince) >= rushAfter
}

// adopt counts a load that an earlier holder began.
func (l *loads) adopt(vm cluster.VMID, until time.Time) { l.until[vm] = until }

// review drops the loads that have ended.
func (l *loads) review(now time.Time, ended func(cluster.VMID) bool) {
	for vm, until := range l.until {
		if now.After(until) || ended(vm) {
			delete(l.until, vm)
		}
	}
}

// begin takes the right to start loads on the VMs, all or none, if more than
// reserve places are free. A set may exceed the number at once: places that wait
// for a whole set to fit would be idle.
func (l *loads) begin(now time.Time, vms []cluster.VMID, usual time.Duration, reserve int) bool {
	if len(vms) == 0 {
		return true
	}
	if l.atOnce > 0 && len(l.until) >= l.atOnce-reserve {
		return false
	}
	if l.limiter.Limit() != rate.Inf && !l.limiter.AllowN(now, min(len(vms), loadBurst)) {
		return false
	}
	for _, vm := range vms {
		l.until[vm] = now.Add(lateLoad * usual)
	}
	return true
}
