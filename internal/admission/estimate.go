package admission

import (
	"math"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// holdEstimate learns how long requests hold their slots.
type holdEstimate struct {
	known   bool
	mean    float64 // seconds
	perCost float64 // seconds per unit of Request.Cost
}

const (
	holdAlpha   = 0.1
	assumedHold = 1.0 // seconds, while nothing was measured; refuses nobody
)

func (h *holdEstimate) note(seconds, cost float64) {
	if !h.known {
		h.known, h.mean, h.perCost = true, seconds, seconds/cost
		return
	}
	h.mean += holdAlpha * (seconds - h.mean)
	h.perCost += holdAlpha * (seconds/cost - h.perCost)
}

func (h *holdEstimate) expect(cost float64) float64 {
	if !h.known {
		return assumedHold
	}
	// A single very costly request is not believed beyond this, for its cost is
	// the caller's own bound on the answer, and most answers end before it.
	return min(h.perCost*cost, maxOverMean*h.mean)
}

// maxOverMean bounds the expected hold of one request against the group's mean.
const maxOverMean = 4

// startEstimate learns how long after its dispatch a request's first token comes:
// dialing, waiting in the engine and prefill. A caller's deadline is for the
// first token, so a request must leave the queue that much earlier; one that
// leaves at the deadline itself takes a slot for an answer nobody awaits.
type startEstimate struct {
	known     bool
	mean, dev float64 // seconds; dev is the mean deviation
}

func (s *startEstimate) note(seconds float64) {
	if !s.known {
		s.known, s.mean, s.dev = true, seconds, seconds/2
		return
	}
	diff := seconds - s.mean
	s.mean += holdAlpha * diff
	s.dev += holdAlpha * (math.Abs(diff) - s.dev)
}

// margin covers nearly all requests.
func (s *startEstimate) margin() float64 { return s.mean + startDeviations*s.dev }

const startDeviations = 3

// turnedAway is the work that was refused lately and told to come back. Each
// refusal is told to come back after those before it, so that they do not all
// come back at once.
type turnedAway struct {
	work float64
	at   time.Time
}

// add counts the work and returns what is ahead of it; rate is in slot-seconds a second.
func (t *turnedAway) add(work, rate float64, now time.Time) (ahead float64) {
	t.work = max(0, t.work-rate*now.Sub(t.at).Seconds())
	t.at = now
	ahead = t.work
	t.work = min(t.work+work, rate*maxRetry)
	return ahead
}

func (h *holdEstimate) expectOr(seconds float64) float64 {
	if h.known {
		return h.mean
	}
	return seconds
}

// refuse is a refusal that ran nothing, with the seconds until it makes sense to come back.
func refuse(code fennelerr.Code, retry float64, message string) *fennelerr.Error {
	seconds := min(max(retry, minRetry), maxRetry)
	return fennelerr.New(code, "%s", message).WithOp("admission.acquire").WithRun(fennelerr.NotRun).
		WithRetryAfter(time.Duration(seconds * float64(time.Second)))
}

// Bounds of Retry-After, in seconds.
const (
	minRetry        = 1.0
	maxRetry        = 60.0
	noCapacityRetry = 5.0
)
