package relay

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// BudgetOptions bound the arrivals beyond the first of each call, over all nodes.
type BudgetOptions struct {
	// Ratio of repeats to calls, and Slack beside it, in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes is the most nodes that may share the slack.
	Nodes int
}

const (
	// ratioMargin is the part of the ratio that is used: calls are counted where
	// they arrive, in windows that need not be the operators'.
	ratioMargin = 0.8
	// budgetSteps is how finely the sliding window is counted.
	budgetSteps = 20
)

// Budget bounds repeats by service. Each node spends a part of its own calls and an
// even part of the slack, so that all of them together keep the bound without
// talking to each other.
type Budget struct {
	opts BudgetOptions
	mu   sync.Mutex
	by   map[cluster.Service]*tally
}

// tally counts calls and repeats in steps of the window.
type tally struct {
	calls, repeats [budgetSteps]int
	step           int64
}

// NewBudget returns a budget without a past.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{opts: opts, by: make(map[cluster.Service]*tally)}
}

// RecordCall counts a caller's request for the service.
func (b *Budget) RecordCall(service cluster.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.at(service, now)
	t.calls[t.step%budgetSteps]++
}

// TryRetry takes the right to send a call of the service once more, or reports false.
func (b *Budget) TryRetry(service cluster.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.at(service, now)
	calls, repeats := 0, 0
	for i := range budgetSteps {
		calls += t.calls[i]
		repeats += t.repeats[i]
	}
	if float64(repeats+1) > b.opts.Ratio*ratioMargin*float64(calls)+b.opts.Slack/float64(max(b.opts.Nodes, 1)) {
		return false
	}
	t.repeats[t.step%budgetSteps]++
	return true
}

// at returns the service's tally, moved on to now.
func (b *Budget) at(service cluster.Service, now time.Time) *tally {
	t := b.by[service]
	if t == nil {
		t = &tally{}
		b.by[service] = t
	}
	step := now.UnixNano() / int64(b.opts.Window/budgetSteps)
	for i := max(t.step+1, step-budgetSteps+1); i <= step; i++ {
		t.calls[i%budgetSteps], t.repeats[i%budgetSteps] = 0, 0
	}
	t.step = max(t.step, step)
	return t
}
