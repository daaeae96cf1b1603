package entry

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/settings"
)

// shutdownMargin is the part of the grace period that a graceful shutdown leaves unused,
// so that the process exits before the platform kills it.
const shutdownMargin = 700 * time.Millisecond

// answerMargin is the time in which the calls still running at the end are answered.
const answerMargin = 200 * time.Millisecond

// uploadMargin is the same for requests whose body is still arriving. After the refusal, net/http keeps their
// connections open for half a second, so that the caller, which is still sending, can read it.
const uploadMargin = answerMargin + 600*time.Millisecond

// RetryElsewhere is the retry time of a call that any other node can take at once.
const RetryElsewhere = 10 * time.Millisecond

// plannedStop holds the times of a planned stop.
type plannedStop struct {
	// noticeEnd is when the load balancer has noticed that the node is not ready.
	noticeEnd time.Time
	// exitAt is when the process ends at the latest.
	exitAt time.Time
}

func newPlannedStop(cfg *settings.Settings, began time.Time) plannedStop {
	return plannedStop{noticeEnd: began.Add(cfg.Drain.Notice), exitAt: began.Add(cfg.Process.Grace - shutdownMargin)}
}

// mustRefuse reports whether a call that might still be running when the process ends is to be refused. Until
// the end of the notice, callers may have no other node to turn to, and a call that may be repeated is taken:
// few need all of their time, and one that is cut off is not lost.
func (p *plannedStop) mustRefuse(c *call.Call, now time.Time) bool {
	deadline := c.EffectiveDeadline()
	if !deadline.IsZero() && deadline.Before(p.exitAt.Add(-answerMargin)) {
		return false
	}
	return !now.Before(p.noticeEnd) || !c.Route.Policy.Idempotent()
}

// retryAfter returns when a refused call may be sent again. The load balancer sends the callers of the last
// node of a zone back to it until it has noticed that the node is not ready.
func (p *plannedStop) retryAfter(lastOfZone bool, now time.Time) time.Duration {
	if !lastOfZone {
		return RetryElsewhere
	}
	return max(p.noticeEnd.Sub(now), RetryElsewhere)
}

// isLastOfZone reports whether this node knows no other node of its zone that is alive and does not leave.
func (n *Node) isLastOfZone() bool {
	for _, other := range n.peers.nodes() {
		if other.Zone == n.cfg.Zone && other.ID != n.cfg.Node {
			return false
		}
	}
	return true
}
