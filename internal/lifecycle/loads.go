package lifecycle

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Limits on loads from the weight store.
const (
	// rateFraction is the fraction of the weight store's rate that is used, and loadBurst the
	// number of loads that may start at once. A new holder does not know which loads its
	// predecessor started, so it begins without a burst: together they stay below the store's
	// rate over its window of 5 s plus its allowance of 3.
	rateFraction = 0.9
	loadBurst    = 3
	// loadTimeoutFactor is the multiple of the expected load time after which a load counts as
	// finished whatever the list says: otherwise a VM that died while loading would occupy its
	// slot forever.
	loadTimeoutFactor = 3
	// spareLoadReserve is the number of slots that loads of spares leave free for the one load
	// that completes a replica: a load started now occupies its slot for 12 to 16 s.
	spareLoadReserve = 2
	// unmeteredLimitPeriod is how long the concurrency limit still applies while loads are
	// unmetered. After that all remaining loads start together, since the cost of a load is
	// fixed when it starts. Starting them earlier would delay the replicas that could serve the
	// first requests.
	unmeteredLimitPeriod = 4 * time.Second
)

// loadLimiter limits the rate and the number of concurrent loads from the weight store.
type loadLimiter struct {
	limiter       *rate.Limiter
	maxConcurrent int
	// unmeteredSince is when loads were first known to be unmetered; zero while they are metered.
	unmeteredSince time.Time
	// deadlines maps each loading VM to the time at which its load counts as finished at the
	// latest.
	deadlines map[cluster.VMID]time.Time
	// configured is set by the first call of configure.
	configured bool
}

func newLoadLimiter() *loadLimiter {
	return &loadLimiter{limiter: rate.NewLimiter(rate.Inf, loadBurst), deadlines: make(map[cluster.VMID]time.Time)}
}

// configure applies the weight store's limits. Before the first request of a deployment,
// loads are cheap and unmetered: the store's rate does not apply.
func (l *loadLimiter) configure(w rules.WeightStore, unmetered bool, now time.Time) {
	limit := rate.Inf
	if w.LoadsPerSecond > 0 && !unmetered {
		limit = rate.Limit(w.LoadsPerSecond * rateFraction)
	}
	if l.limiter.Limit() != limit {
		l.limiter.SetLimitAt(now, limit)
	}
	if !l.configured && limit != rate.Inf {
		// The previous holder may just have used the burst.
		l.limiter.AllowN(now, loadBurst)
	}
	l.configured = true
	l.maxConcurrent = w.LoadsAtOnce
	if l.concurrencyUnlimited(unmetered, now) {
		l.maxConcurrent = 0
	}
}

// concurrencyUnlimited reports whether loads have been unmetered for unmeteredLimitPeriod and
// still are.
func (l *loadLimiter) concurrencyUnlimited(unmetered bool, now time.Time) bool {
	if !unmetered {
		l.unmeteredSince = time.Time{}
		return false
	}
	if l.unmeteredSince.IsZero() {
		l.unmeteredSince = now
	}
	return now.Sub(l.unmeteredSince) >= unmeteredLimitPeriod
}

// addInherited counts a load that an earlier holder started.
func (l *loadLimiter) addInherited(vm cluster.VMID, deadline time.Time) { l.deadlines[vm] = deadline }

// removeFinished removes the loads that have finished or reached their deadline.
func (l *loadLimiter) removeFinished(now time.Time, finished func(cluster.VMID) bool) {
	for vm, deadline := range l.deadlines {
		if now.After(deadline) || finished(vm) {
			delete(l.deadlines, vm)
		}
	}
}

// tryStart reserves slots for loads on all the VMs, or on none, if more than reserve slots are
// free. A set of loads may exceed the concurrency limit: slots that wait until a whole set
// fits would stay idle.
func (l *loadLimiter) tryStart(now time.Time, vms []cluster.VMID, expected time.Duration, reserve int) bool {
	if len(vms) == 0 {
		return true
	}
	if l.maxConcurrent > 0 && len(l.deadlines) >= l.maxConcurrent-reserve {
		return false
	}
	if l.limiter.Limit() != rate.Inf && !l.limiter.AllowN(now, min(len(vms), loadBurst)) {
		return false
	}
	for _, vm := range vms {
		l.deadlines[vm] = now.Add(loadTimeoutFactor * expected)
	}
	return true
}
