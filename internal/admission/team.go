package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// teamState holds one team's counters on this node.
type teamState struct {
	name     cluster.TeamID
	inFlight atomic.Int64
	waiting  atomic.Int64
	// refused counts refusals since the demand was last sampled. They are part of the
	// demand: a node that has no part of a limit runs nothing, so without them its
	// demand would stay at zero.
	refused atomic.Int64
	// allowance is this node's part of the team's in-flight limit.
	allowance atomic.Int64

	// mu is the lock of the team's shard. It guards the fields below.
	mu          *sync.Mutex
	refreshedAt time.Time
	demand      movingAverage
	published   float64
	publishedAt time.Time
	retries     retryBudget
}

// unlimited is the allowance of a team without an in-flight limit.
const unlimited = 1 << 30

func (t *teamState) available() int { return int(t.allowance.Load() - t.inFlight.Load()) }

// tryAcquire counts one more request in flight, unless the allowance is used up.
func (t *teamState) tryAcquire() bool {
	for {
		n := t.inFlight.Load()
		if n >= t.allowance.Load() {
			return false
		}
		if t.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// movingAverage is an exponential moving average with time constant demandWindow.
type movingAverage struct {
	value float64
	at    time.Time
}

const (
	demandWindow = 2 * time.Second
	// publishInterval is how long a published demand stays unchanged, so that all nodes
	// split by the same numbers.
	publishInterval = time.Second
)

func (a *movingAverage) add(sample float64, now time.Time) float64 {
	if a.at.IsZero() {
		a.value = sample
	} else {
		old := math.Exp(-float64(now.Sub(a.at)) / float64(demandWindow))
		a.value = a.value*old + sample*(1-old)
	}
	a.at = now
	return a.value
}

// publishedDemand returns the team's demand, sampled at most once per publishInterval.
// The caller holds t.mu.
func (t *teamState) publishedDemand(now time.Time) float64 {
	if t.publishedAt.IsZero() || now.Sub(t.publishedAt) >= publishInterval {
		t.published = t.demand.add(float64(t.waiting.Load()+t.inFlight.Load()+t.refused.Swap(0)), now)
		t.publishedAt = now
	}
	return t.published
}

// retryBudget limits retries to a fraction of the successful requests, so that retries
// cannot multiply the load on a system that is failing from load. A small constant
// refill allows retries for teams with little traffic.
type retryBudget struct {
	credit float64
	at     time.Time
}

const (
	// retryCost is the credit taken by one retry; a success adds 1.
	retryCost = 10
	// retryCreditPerSecond is the credit added per second regardless of successes.
	retryCreditPerSecond = 2
	// retryBurst is the maximum number of retries that can accumulate. The initial half
	// covers the calls of two replicas that crash at once.
	retryBurst = 20
)

func (b *retryBudget) refill(now time.Time) {
	if b.at.IsZero() {
		b.credit = retryCost * retryBurst / 2
	} else {
		b.add(retryCreditPerSecond * now.Sub(b.at).Seconds())
	}
	b.at = now
}

func (b *retryBudget) add(credit float64) { b.credit = min(b.credit+credit, retryCost*retryBurst) }

func (b *retryBudget) recordSuccess(now time.Time) {
	b.refill(now)
	b.add(1)
}

func (b *retryBudget) spend(now time.Time) bool {
	b.refill(now)
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}
