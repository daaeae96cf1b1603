package daemon

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/health"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// confirmingRouter reports every complete answer to the health check. All members of the
// replica took part in it, so a busy replica needs fewer polls.
type confirmingRouter struct {
	*routing.Table
	health *health.Checker
}

// End implements gateway.Router.
func (p confirmingRouter) End(choice routing.Choice, res routing.Result) {
	p.Table.End(choice, res)
	if res.OK {
		p.health.ConfirmServing(choice.Replica.ID, choice.Replica.Generation, time.Now())
	}
}
