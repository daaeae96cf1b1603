package admission

import (
	"math"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// serviceTimeEstimate is a moving average of how long requests hold their slots.
type serviceTimeEstimate struct {
	known   bool
	mean    float64 // seconds
	perCost float64 // seconds per unit of Request.Cost
}

const (
	estimateAlpha = 0.1
	// defaultServiceTime is in seconds. It applies until the first measurement; no
	// request is refused for its expected wait before that.
	defaultServiceTime = 1.0
)

func (e *serviceTimeEstimate) observe(seconds, cost float64) {
	if !e.known {
		e.known, e.mean, e.perCost = true, seconds, seconds/cost
		return
	}
	e.mean += estimateAlpha * (seconds - e.mean)
	e.perCost += estimateAlpha * (seconds/cost - e.perCost)
}

func (e *serviceTimeEstimate) estimate(cost float64) float64 {
	if !e.known {
		return defaultServiceTime
	}
	// The cost is derived from the caller's own bound on the answer length, and most
	// answers end before it. The cap keeps one very costly request from dominating.
	return min(e.perCost*cost, maxServiceTimeRatio*e.mean)
}

// maxServiceTimeRatio caps the expected service time of one request as a multiple of
// the group's mean.
const maxServiceTimeRatio = 4

// firstTokenEstimate is a moving average of the time from dispatch to the first token:
// dialing, waiting in the engine and prefill. A caller's deadline applies to the first
// token, so a request must leave the queue that much earlier. One dispatched at its
// deadline would take a slot for an answer that arrives too late.
type firstTokenEstimate struct {
	known     bool
	mean, dev float64 // seconds; dev is the mean deviation
}

func (e *firstTokenEstimate) observe(seconds float64) {
	if !e.known {
		e.known, e.mean, e.dev = true, seconds, seconds/2
		return
	}
	diff := seconds - e.mean
	e.mean += estimateAlpha * diff
	e.dev += estimateAlpha * (math.Abs(diff) - e.dev)
}

// margin returns an upper bound that covers nearly all requests.
func (e *firstTokenEstimate) margin() float64 { return e.mean + marginDeviations*e.dev }

const marginDeviations = 3

// refusedBacklog is the work of recently refused requests whose callers were told to
// retry. Each refusal gets a Retry-After behind the earlier ones, so that retries do
// not arrive all at once.
type refusedBacklog struct {
	work float64
	at   time.Time
}

// add adds work to the backlog and returns the backlog before it. The backlog drains at
// rate, in slot-seconds per second.
func (b *refusedBacklog) add(work, rate float64, now time.Time) (ahead float64) {
	b.work = max(0, b.work-rate*now.Sub(b.at).Seconds())
	b.at = now
	ahead = b.work
	b.work = min(b.work+work, rate*maxRetryAfter)
	return ahead
}

func (e *serviceTimeEstimate) meanOr(seconds float64) float64 {
	if e.known {
		return e.mean
	}
	return seconds
}

// newRefusal returns an error for a request that was not run. retryAfter is in seconds
// and is clamped to the bounds of Retry-After.
func newRefusal(code fennelerr.Code, retryAfter float64, message string) *fennelerr.Error {
	seconds := min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return fennelerr.New(code, "%s", message).WithOp("admission.acquire").WithRun(fennelerr.NotRun).
		WithRetryAfter(time.Duration(seconds * float64(time.Second)))
}

// Bounds of Retry-After, and its value for a group without capacity, in seconds.
const (
	minRetryAfter        = 1.0
	maxRetryAfter        = 60.0
	noCapacityRetryAfter = 5.0
)
