package relay

import (
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

var panicsTotal = metrics.NewCounter("fennel_relay_panics_total")

// run runs an attempt to its end and records the result. A panic fails the attempt.
func (s *session) run(a *attempt) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = a.panicked(v)
		}
		s.finishAttempt(a, err)
	}()
	if a.to.node != nil {
		return s.runOnNode(a)
	}
	return s.runOnReplica(a)
}

// runOnReplica runs an attempt on a replica. If it panics, the request is no longer counted either.
func (s *session) runOnReplica(a *attempt) (err error) {
	var result routing.Result
	outcome := suspect.Abandoned
	defer func() { a.to.reserved.end(result) }()
	a.suspectRun = s.r.opts.Suspects.BeginRequest(a.suspect, a.to.choice.Replica.ID, a.to.choice.Replica.Generation, s.admission)
	defer func() { a.suspectRun.End(outcome) }()
	result, err = a.run()
	a.lossCause = s.r.crashes.lossCause(a.parent, a.to.peer, err)
	outcome = suspectOutcome(result, a.lossCause == lossCrash)
	if result.OK {
		s.r.advisor.recordCompleted(a.to.target.Group, time.Now())
	}
	s.logAttempt(a, result, err)
	return err
}

func suspectOutcome(result routing.Result, crashed bool) suspect.Outcome {
	switch {
	case crashed:
		return suspect.Crashed
	case result.OK:
		return suspect.Finished
	}
	return suspect.Abandoned
}

// panicked logs a panic of the attempt and returns the attempt's error. The server may have run the
// call.
func (a *attempt) panicked(v any) error {
	err := errors.Errorf("panic: %v", v)
	a.logPanic("attempt panicked", err)
	return &BrokenError{Reason: "the attempt panicked", Err: err}
}

// recoverHedge recovers a panic of the decision on a hedge. The attempt goes on without one.
func (a *attempt) recoverHedge() {
	if v := recover(); v != nil {
		a.logPanic("hedge panicked", errors.Errorf("panic: %v", v))
	}
}

// close ends what the call has left open. A panic between the attempts, which they do not recover, ends the
// call with an answer; its replicas count it no longer.
func (s *session) close() {
	defer func() {
		s.hedges.Wait()
		s.reservations.cancelOpen()
	}()
	if v := recover(); v != nil {
		s.failPanicked(errors.Errorf("panic: %v", v))
	}
}

// failPanicked ends the call after a panic. An attempt may have been sent that recorded nothing.
func (s *session) failPanicked(err error) {
	panicsTotal.Inc()
	s.r.opts.Log.Error("call panicked", "request", s.call.ID, "attempts", s.attempts, "err", err.Error(), "stack", string(debug.Stack()))
	if s.answered {
		return
	}
	s.mayHaveRun = s.mayHaveRun || s.attempts > 0
	s.finish(err, func() *fennelerr.Error { return fennelerr.Wrap(err, fennelerr.Internal, "the node failed") })
}

func (a *attempt) logPanic(event string, err error) {
	panicsTotal.Inc()
	a.s.r.opts.Log.Error(event, "request", a.s.call.ID, "attempt", a.number, "hedge", a.isHedge, "to", a.to.name(), "err", err.Error(), "stack", string(debug.Stack()))
}
