package routing

import (
	"fmt"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// pushback is a server's request for no requests from this node. Other nodes are not told: it
// concerns this node alone.
type pushback struct {
	askedAt, until time.Time
}

const (
	// pushbackJitter is the largest random addition to a pushback, as a fraction of it, and
	// maxPushbackJitter bounds it. Without it, all nodes would return to all servers at once.
	pushbackJitter    = 0.125
	maxPushbackJitter = 500 * time.Millisecond
)

// maxPushback is the longest time for which a pushback is kept. The server is tried again then, as
// a larger number is more likely a mistake.
const maxPushback = time.Minute

func (p pushback) left(now time.Time) time.Duration { return max(p.until.Sub(now), 0) }

// Pushback describes the replicas that want no requests from this node.
type Pushback struct {
	// Replicas is their number.
	Replicas int
	// First is the one whose pushback ends first, Age how long ago it asked for it, and Left the
	// time until it ends.
	First     cluster.ReplicaID
	Age, Left time.Duration
}

// add counts a replica's pushback.
func (p *Pushback) add(id cluster.ReplicaID, age, left time.Duration) {
	p.Replicas++
	if p.Replicas == 1 || left < p.Left {
		p.First, p.Age, p.Left = id, age, left
	}
}

// String describes the pushbacks for logs.
func (p Pushback) String() string {
	return fmt.Sprintf("%d want no requests, %s for another %v as of %v ago", p.Replicas, p.First, p.Left.Round(time.Millisecond), p.Age.Round(time.Millisecond))
}

// PushbackLeft returns how much longer the server of the chosen replica wants no requests from this node.
func (t *Table) PushbackLeft(choice Choice, now time.Time) time.Duration {
	return t.signals.get(choice.process).pushback.left(now)
}

// ReportPushback records that the server of the chosen replica wants no requests from this node
// for d. Then one request at a time tests it. It reports whether the server took requests before.
func (t *Table) ReportPushback(choice Choice, d time.Duration, now time.Time) (began bool) {
	d = min(d, maxPushback)
	jitter := time.Duration(NewRandom(t.opts.Seed, t.picks.Add(1)).Float64() * pushbackJitter * float64(d))
	asked := pushback{askedAt: now, until: now.Add(d + min(jitter, maxPushbackJitter))}
	t.reportSignal(choice, now, func(s *signals) {
		began = s.pushback.left(now) == 0
		if asked.until.After(s.pushback.until) {
			s.pushback = asked
		}
	})
	if began {
		pushbacksTotal.Inc()
	}
	return began
}
