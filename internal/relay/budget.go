package relay

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// BudgetOptions limit the retries of all nodes together. A retry is every delivery of a
// call to a server beyond the first.
type BudgetOptions struct {
	// Ratio is the allowed ratio of retries to calls in each Window, and Slack the
	// number of retries allowed in addition.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes is the largest number of nodes that may share the slack.
	Nodes int
}

const (
	// ratioMargin is the fraction of the ratio that is used. Calls are counted where they
	// arrive, in windows that may not be aligned with those of the operators.
	ratioMargin = 0.8
	// begunReserve is the fraction of the budget that only calls whose answer has begun may use.
	begunReserve = 0.3
	// windowBuckets is the number of buckets of the sliding window.
	windowBuckets = 20
)

// Budget limits retries per service. Each node may spend a fraction of its own calls and
// an equal share of the slack, so that all nodes together stay within the limit without
// coordination.
type Budget struct {
	opts     BudgetOptions
	mu       sync.Mutex
	services map[cluster.Service]*retryWindow
}

// retryWindow is a ring buffer that counts calls and retries in a sliding window.
type retryWindow struct {
	calls, retries [windowBuckets]int
	bucket         int64
}

// NewBudget returns a budget with no calls counted.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{opts: opts, services: make(map[cluster.Service]*retryWindow)}
}

// RecordCall counts a caller's request for the service.
func (b *Budget) RecordCall(service cluster.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.calls[w.bucket%windowBuckets]++
}

// TryRetry takes one retry from the service's budget, or returns false if it is exhausted. Calls whose
// answer has not begun leave a part of the budget to those whose answer has: these cannot be refused.
func (b *Budget) TryRetry(service cluster.Service, begun bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if !b.allows(w, begun) {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// MayRetry reports whether TryRetry would take a retry.
func (b *Budget) MayRetry(service cluster.Service, begun bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(service, now), begun)
}

// allows reports whether the window has room for one more retry. The caller holds b.mu.
func (b *Budget) allows(w *retryWindow, begun bool) bool {
	calls, retries := 0, 0
	for i := range windowBuckets {
		calls += w.calls[i]
		retries += w.retries[i]
	}
	allowed := b.opts.Ratio*ratioMargin*float64(calls) + b.opts.Slack/float64(max(b.opts.Nodes, 1))
	if !begun {
		allowed *= 1 - begunReserve
	}
	return float64(retries+1) <= allowed
}

// window returns the service's window, advanced to now. The caller holds b.mu.
func (b *Budget) window(service cluster.Service, now time.Time) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	bucket := now.UnixNano() / int64(b.opts.Window/windowBuckets)
	for i := max(w.bucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		w.calls[i%windowBuckets], w.retries[i%windowBuckets] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}
