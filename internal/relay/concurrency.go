package relay

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Limits of a node's own requests in flight for a model.
const (
	// limitWindow is the time over which answers are judged before the limit changes.
	limitWindow = 300 * time.Millisecond
	// minLimitSamples is the smallest number of answers to judge.
	minLimitSamples = 8
	// The limit rises while at most queuedLow of the answers waited in a queue and were late for
	// it: by limitIncrease, or by fastIncrease if the replicas' load is at most lowLoad. Otherwise it follows the replicas' load, but changes by at most
	// maxDecrease at a time.
	queuedLow     = 0.3
	limitIncrease = 1.05
	fastIncrease  = 1.5
	lowLoad       = 0.5
	maxDecrease   = 0.8
	// returningShare is the part of the limit that callers who were refused before may fill.
	returningShare = 0.8
	// unlimitedShare exempts a request from the limit.
	unlimitedShare = 2
	// minLimit is the lowest limit: with fewer requests, chance decides what is late.
	minLimit = 4
	// maxLimitWindow is how long answers count when there are too few to judge.
	maxLimitWindow = time.Second
	// loadTarget is the load per slot that the limit aims at: requests spread unevenly over replicas.
	loadTarget = 0.9
)

var limitedTotal = metrics.NewCounter("fennel_relay_limited_total")

// concurrencyLimits limits the requests that this node has in flight for each model.
//
// Dozens of nodes that send to the same replicas learn of each other's requests too late, and
// under overload the replicas' queues make every answer late. Each node therefore judges its
// own answers: while too many waited in a queue and were late for it, its limit follows the
// replicas' load, and calls beyond it are refused at once. Otherwise the limit rises again.
type concurrencyLimits struct {
	mu     sync.Mutex
	groups map[cluster.GroupName]*concurrencyLimit
}

func newConcurrencyLimits() *concurrencyLimits {
	return &concurrencyLimits{groups: make(map[cluster.GroupName]*concurrencyLimit)}
}

// begin counts a new request and returns true, or returns false if it exceeds its share of the
// limit.
func (l *concurrencyLimits) begin(group cluster.GroupName, share float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[group]
	if g == nil {
		g = newConcurrencyLimit(now)
		l.groups[group] = g
	}
	if !g.begin(share, now) {
		limitedTotal.Inc()
		return false
	}
	return true
}

// end removes a request from the count.
func (l *concurrencyLimits) end(group cluster.GroupName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[group].inFlight--
}

// record records an answer or a rejection: its replica's load per slot, and whether it was late.
func (l *concurrencyLimits) record(group cluster.GroupName, load float64, late bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.groups[group]; g != nil {
		g.record(load, late, now)
	}
}

// room returns the free share of the limit that a request in flight has on average: 1 without requests.
func (l *concurrencyLimits) room() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	free, inFlight := 0., 0.
	for _, g := range l.groups {
		requests := float64(g.inFlight)
		free += requests * max(1-requests/g.limit, 0)
		inFlight += requests
	}
	if inFlight == 0 {
		return 1
	}
	return free / inFlight
}

// Limited returns the number of requests in flight that count against the limits of models.
func (r *Relay) Limited() (count int) {
	r.limits.mu.Lock()
	defer r.limits.mu.Unlock()
	for _, g := range r.limits.groups {
		count += g.inFlight
	}
	return count
}

// Room returns the share of this node's room for calls that is free.
func (r *Relay) Room() float64 { return r.limits.room() }

// concurrencyLimit is the limit of one model.
type concurrencyLimit struct {
	limit    float64
	inFlight int
	// peak is the largest inFlight of the window.
	peak            int
	windowStart     time.Time
	samples, queued int
	// load is the sum of the samples' loads per slot.
	load float64
}

func newConcurrencyLimit(now time.Time) *concurrencyLimit {
	return &concurrencyLimit{limit: math.Inf(1), windowStart: now}
}

// begin counts a request that may fill up to a share of the limit; any share above 1 is not
// limited.
func (g *concurrencyLimit) begin(share float64, now time.Time) bool {
	g.review(now)
	if share <= 1 && float64(g.inFlight+1) > share*g.limit {
		return false
	}
	g.inFlight++
	g.peak = max(g.peak, g.inFlight)
	return true
}

func (g *concurrencyLimit) record(load float64, late bool, now time.Time) {
	g.samples++
	g.load += load
	if late && load > 1 {
		g.queued++
	}
	g.review(now)
}

// review adjusts the limit at the end of a window.
func (g *concurrencyLimit) review(now time.Time) {
	window := now.Sub(g.windowStart)
	if window < limitWindow || g.samples < minLimitSamples && window < maxLimitWindow {
		return
	}
	switch mean := g.load / float64(max(g.samples, 1)); {
	case g.samples >= minLimitSamples && g.queued == 0 && mean <= lowLoad:
		g.limit *= fastIncrease
	case g.samples < minLimitSamples, float64(g.queued) <= queuedLow*float64(g.samples):
		g.limit *= limitIncrease
	default:
		current := min(g.limit, float64(g.peak))
		g.limit = max(minLimit, min(max(loadTarget*float64(g.peak)/mean, maxDecrease*current), limitIncrease*current))
	}
	g.windowStart, g.samples, g.queued, g.load, g.peak = now, 0, 0, 0, g.inFlight
}
