package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// teamState is one team's counts on this node.
type teamState struct {
	name     cluster.TeamID
	inFlight atomic.Int64
	waiting  atomic.Int64
	// refused counts refusals since the demand was last published. They are
	// demand too: a node without a part of a limit would never show any else.
	refused atomic.Int64
	// allowance is this node's part of the team's in-flight limit.
	allowance atomic.Int64

	// mu guards what follows; it is the lock of the team's shard.
	mu          *sync.Mutex
	refreshedAt time.Time
	demand      average
	published   float64
	publishedAt time.Time
	retries     retryBudget
}

// unlimited is the allowance of a team without an in-flight limit.
const unlimited = 1 << 30

func (t *teamState) room() int { return int(t.allowance.Load() - t.inFlight.Load()) }

// take counts one more request in flight, unless the allowance is used up.
func (t *teamState) take() bool {
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

// average is a moving average over demandWindow.
type average struct {
	value float64
	at    time.Time
}

const (
	demandWindow = 2 * time.Second
	// publishEvery is how long one published demand stands, so that all nodes
	// split by the same numbers.
	publishEvery = time.Second
)

func (a *average) add(sample float64, now time.Time) float64 {
	if a.at.IsZero() {
		a.value = sample
	} else {
		old := math.Exp(-float64(now.Sub(a.at)) / float64(demandWindow))
		a.value = a.value*old + sample*(1-old)
	}
	a.at = now
	return a.value
}

// publish returns the team's demand; the caller holds t.mu.
func (t *teamState) publish(now time.Time) float64 {
	if t.publishedAt.IsZero() || now.Sub(t.publishedAt) >= publishEvery {
		t.published = t.demand.add(float64(t.waiting.Load()+t.inFlight.Load()+t.refused.Swap(0)), now)
		t.publishedAt = now
	}
	return t.published
}

// retryBudget bounds retries to a part of the successes, so that retries cannot
// multiply the load of a system that fails because of load. A small floor lets
// a team that sends little retry at all.
type retryBudget struct {
	credit float64
	at     time.Time
}

const (
	// retryCost is the credit that one retry takes; a success gives 1.
	retryCost = 10
	// retryFloor is the credit that each second gives, whatever succeeds.
	retryFloor = 2
	// retryBurst is the most retries that can be saved up.
	retryBurst = 10
)

func (b *retryBudget) refill(now time.Time) {
	if b.at.IsZero() {
		b.credit = retryCost * retryBurst / 2
	} else {
		b.add(retryFloor * now.Sub(b.at).Seconds())
	}
	b.at = now
}

func (b *retryBudget) add(credit float64) { b.credit = min(b.credit+credit, retryCost*retryBurst) }

func (b *retryBudget) success(now time.Time) {
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
