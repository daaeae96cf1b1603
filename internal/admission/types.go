// Package admission decides when a request may be dispatched: per-team fair
// sharing, queues with deadlines, in-flight limits and retry budgets. A request
// that cannot make its deadline is refused at once with a computed Retry-After.
package admission

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Request asks for a slot.
type Request struct {
	Team  cluster.TeamID
	Group cluster.GroupName
	// Deadline is when the caller stops waiting for the first token; zero means none given.
	Deadline time.Time
	// Cost is the expected work in tokens, prompt plus answer; at least 1.
	Cost int
}

// Slot is held while a request runs. Release must be called exactly once.
type Slot interface {
	// FirstToken says that the answer's first token came. From the time since
	// the dispatch is learnt how early requests must leave the queue.
	FirstToken()
	// Release returns the slot; tokens is the work done, for cost estimates, and
	// zero for a request that gave no answer.
	Release(tokens int)
}
