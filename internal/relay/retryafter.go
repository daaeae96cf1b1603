package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Limits on the requests sent to one replica.
//
// An engine runs as many requests at once as it has slots. An additional request waits a
// second or more until another one ends: its answer is late, and the engine's throughput
// does not increase. Calls that no replica has room for are therefore refused at once
// with a time after which to retry.
const (
	// extraRequests is the number of requests beyond its slots that a model replica
	// accepts, so that the next one is present when a request ends. At twice the usual
	// load the replicas of the two models answer 0.75 and 0.86 of their maximum on time;
	// with 2 here, 0.66 and 0.76 (load player, overload, 8 seeds).
	extraRequests = 1
	// extraForReturning is the same for callers that were refused before and retry: they
	// only get capacity that new callers leave unused, because their answers are late
	// already. If they displaced new callers while the load is slightly above capacity,
	// those would be refused, retry late and displace others in turn, until nearly every
	// answer is late: with 4 the replicas answered 0.36 and 0.43 of their maximum on time
	// under the same load, while the nodes exchanged their load once a second.
	extraForReturning = -3
	// requestsPerPlainSlot is the number of requests per slot of a plain service. Its
	// calls take some tens of ms, with a target of hundreds.
	requestsPerPlainSlot = 3
)

// Limits on the retry time given to a refused caller. A caller that retries during the
// overload is refused again or displaces a new one: with 0.3 s to 1.5 s the replicas
// answer 0.62 and 0.71 of their maximum on time under the load above.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Second
	// retryAfterJitter is the largest random addition, as a fraction of the retry time.
	retryAfterJitter = 0.5
	// throughputWindow is the time over which completed requests are counted as a rate.
	throughputWindow = 2 * time.Second
)

// retryAdvisor computes the time after which refused callers should retry.
type retryAdvisor struct {
	mu     sync.Mutex
	groups map[cluster.GroupName]*refusals
}

// refusals tracks the recently refused callers of a group.
type refusals struct {
	// backlog is the number of refused callers that have not retried yet.
	backlog float64
	// rate is the number of requests of the group that this node completes per second.
	rate      float64
	updatedAt time.Time
}

func newRetryAdvisor() *retryAdvisor {
	return &retryAdvisor{groups: make(map[cluster.GroupName]*refusals)}
}

// recordCompleted counts an answered request towards the group's throughput.
func (r *retryAdvisor) recordCompleted(group cluster.GroupName, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(group, now).rate += 1 / throughputWindow.Seconds()
}

// group returns the group's counts, decayed to now. The caller holds r.mu.
func (r *retryAdvisor) group(name cluster.GroupName, now time.Time) *refusals {
	g := r.groups[name]
	if g == nil {
		g = &refusals{updatedAt: now}
		r.groups[name] = g
	}
	elapsed := now.Sub(g.updatedAt).Seconds()
	g.updatedAt = now
	g.rate -= g.rate * min(elapsed/throughputWindow.Seconds(), 1)
	g.backlog = max(0, g.backlog-elapsed*g.rate)
	return g
}

// refuse counts a refusal and returns the time after which the caller should retry: once
// the callers refused before it can have been served at the group's throughput, plus
// jitter.
func (r *retryAdvisor) refuse(group cluster.GroupName, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(group, now)
	g.backlog++
	wait := maxRetryAfter
	if g.rate > 0 {
		wait = time.Duration(g.backlog / g.rate * float64(time.Second))
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rand.Float64()*retryAfterJitter*float64(wait))
}
