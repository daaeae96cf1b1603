package daemon

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/health"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// presenceRouter tells the health check of every whole answer: all members of
// the replica worked for it, so that a busy replica needs fewer polls.
type presenceRouter struct {
	*routing.Table
	health *health.Checker
}

// End implements gateway.Router.
func (p presenceRouter) End(choice routing.Choice, res routing.Result) {
	p.Table.End(choice, res)
	if res.OK {
		p.health.ConfirmServing(choice.Replica.ID, choice.Replica.Generation, time.Now())
	}
}
