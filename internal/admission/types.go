// Package admission decides when a request may be dispatched: fair sharing between
// teams, queues with deadlines, in-flight limits and retry budgets. A request that
// cannot meet its deadline is refused immediately with a computed Retry-After.
package admission

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Request asks for a slot.
type Request struct {
	Team  cluster.TeamID
	Group cluster.GroupName
	// Deadline is when the caller stops waiting for the first token; zero means none.
	Deadline time.Time
	// Cost is the expected work in tokens, prompt plus answer; at least 1.
	Cost int
}

// Slot is held while a request runs. Release must be called exactly once.
type Slot interface {
	// FirstToken reports that the first token of the answer arrived. The time since
	// dispatch determines how long before its deadline a request must leave the queue.
	FirstToken()
	// Release returns the slot. tokens is the number of tokens processed; zero means
	// that the request produced no answer, which then counts neither as a success for
	// the retry budget nor towards the service time estimate.
	Release(tokens int)
}
