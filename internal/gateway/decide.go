package gateway

import "github.com/fennelcourse/fennelcourse/internal/fennelerr"

// failure classifies how an attempt at a replica ended.
type failure int

const (
	// failedNotStarted: proved that the replica did not run the request.
	failedNotStarted failure = iota
	// failedRejected: the engine's final word on the request itself.
	failedRejected
	// failedInterrupted: silent, broken off, out of order or another's answer.
	failedInterrupted
)

// fate is what a probe over a new connection says of the replica.
type fate int

const (
	// Zero: it was not asked.
	_ fate = iota
	// fateAlive: it answers and still belongs to the same replica and generation.
	fateAlive
	// fateCrashed: it does not answer, or no longer is what it was.
	fateCrashed
)

// situation is all that the next step after a failed attempt depends on.
type situation struct {
	failure failure
	fate    fate
	// mayHaveRun is true when this attempt or an earlier one may have started the
	// request on a replica. A resume whose dial fails did not start it, but the
	// attempt that it resumes did.
	mayHaveRun bool
	// committed is true once the caller has received bytes.
	committed bool
	// canContinue is true when another replica can go on after these events.
	canContinue bool
	// repeatable is false for a call that may run at most once.
	repeatable bool
	// lostByReplica is true when a resume was answered with "unknown request".
	lostByReplica bool
	// fruitless counts attempts in a row that brought no event.
	fruitless, maxFruitless int
}

// stepKind is what to do next.
type stepKind int

const (
	stepResume   stepKind = iota // same replica, new connection, after the last event
	stepContinue                 // another replica, after the last event
	stepRestart                  // another replica, from the start
	stepGiveUp
)

// step is the decision with its reason for the log; code is set when giving up.
type step struct {
	kind   stepKind
	reason string
	code   fennelerr.Code
}

// nextStep decides how a request goes on after a failed attempt. It never lets
// a caller's answer be stitched from two runs that could differ: once the caller
// has bytes, only a resume or an engine's own continuation may follow.
func nextStep(s situation) step {
	switch {
	case s.failure == failedRejected && !s.lostByReplica:
		return step{stepGiveUp, "rejected", fennelerr.InvalidRequest}
	case s.fruitless >= s.maxFruitless:
		return step{stepGiveUp, "no progress", fennelerr.BackendFailed}
	case s.failure == failedInterrupted && s.fate == fateAlive:
		return step{kind: stepResume, reason: "connection failed, replica alive"}
	case s.failure == failedNotStarted && !s.mayHaveRun:
		return step{kind: stepRestart, reason: "not started"}
	case !s.repeatable:
		return step{stepGiveUp, "may not run again", fennelerr.OutcomeUnknown}
	case !s.committed:
		return step{kind: stepRestart, reason: "replica lost, nothing sent to the caller"}
	case s.canContinue:
		return step{kind: stepContinue, reason: "replica lost, another can continue"}
	default:
		return step{stepGiveUp, "replica lost, answer cannot be continued", fennelerr.StreamTruncated}
	}
}
