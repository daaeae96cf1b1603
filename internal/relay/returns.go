package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Limits of what is sent to one replica.
//
// An engine runs as many requests at once as it has slots. One beyond that waits
// until another ends, which takes a second or more, and its caller gets a late
// answer in place of one on time; the engine serves no more requests for it. So
// what no replica has room for is refused at once, and the caller is told when to
// come back.
const (
	// firstExtra are the requests beyond its slots that a model replica gets, so that
	// the next one is there when a request ends. With twice the usual calls the replicas
	// do 0.75 and 0.86 of what they can on time, by model; with 2 here 0.66 and 0.76 (load
	// player, overload, 8 seeds).
	firstExtra = 1
	// returnExtra is the same for callers that were turned away and have come back: they
	// get what fresh ones leave. Their answers are late already. Where they take the
	// places of fresh ones under a load that is a little more than the replicas bear,
	// these are turned away in their stead and come back late in turn, until nearly
	// everybody is late: with 4 the replicas did 0.36 and 0.43 of what they can on time
	// under the same load, while news came once a second.
	returnExtra = -3
	// plainPerSlot is the number of requests a slot of a plain service gets. Its calls
	// take some tens of ms and have a target of hundreds.
	plainPerSlot = 3
)

// Limits of what a refused caller is told. One that comes back while the load still lasts
// is refused again or pushes aside a fresh one: with 0.3 s to 1.5 s the replicas do 0.62
// and 0.71 under the load above.
const (
	minReturn = time.Second
	maxReturn = 2 * time.Second
	// returnSpread spreads callers who return, as a part of the time they were told.
	returnSpread = 0.5
	// endsWindow is the time over which ended requests are counted as a rate.
	endsWindow = 2 * time.Second
)

// returns says when callers that are turned away may come back.
type returns struct {
	mu     sync.Mutex
	groups map[cluster.GroupName]*turned
}

// turned is a group's callers that were turned away lately.
type turned struct {
	// backlog is the number of refused callers who have yet to return.
	backlog float64
	// rate is how many requests of the group end here a second.
	rate float64
	at   time.Time
}

func newReturns() *returns { return &returns{groups: make(map[cluster.GroupName]*turned)} }

// ended counts an answered request: these show how fast the group serves.
func (r *returns) ended(group cluster.GroupName, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(group, now).rate += 1 / endsWindow.Seconds()
}

// group returns the group's counts, aged to now. The caller holds r.mu.
func (r *returns) group(name cluster.GroupName, now time.Time) *turned {
	g := r.groups[name]
	if g == nil {
		g = &turned{at: now}
		r.groups[name] = g
	}
	passed := now.Sub(g.at).Seconds()
	g.at = now
	g.rate -= g.rate * min(passed/endsWindow.Seconds(), 1)
	g.backlog = max(0, g.backlog-passed*g.rate)
	return g
}

// turnAway counts a refusal and says when to come back: after those who were
// refused before, at the rate at which the group serves, and spread.
func (r *returns) turnAway(group cluster.GroupName, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(group, now)
	g.backlog++
	wait := maxReturn
	if g.rate > 0 {
		wait = time.Duration(g.backlog / g.rate * float64(time.Second))
	}
	wait = min(max(wait, minReturn), maxReturn)
	return wait + time.Duration(rand.Float64()*returnSpread*float64(wait))
}
