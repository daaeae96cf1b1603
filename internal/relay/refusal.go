package relay

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// failNotAdmitted ends a call that the tracker of suspects does not let run.
func (s *session) failNotAdmitted(err error) error {
	s.r.opts.Log.Info("request not admitted", "request", s.call.ID, "fingerprint", s.suspect.Fingerprint.Short(), "code", fennelerr.CodeOf(err), "sent", s.sent)
	s.finish(err, func() *fennelerr.Error {
		if refusal, ok := errors.Into[*fennelerr.Error](err); ok {
			return refusal
		}
		return fennelerr.Wrap(err, fennelerr.Overloaded, "not admitted")
	})
	return err
}

// finish reports the final result to the caller, depending on how far the call got. Only
// a call that certainly did not run is refused with NotRun and a time after which to retry.
func (s *session) finish(cause error, refusal func() *fennelerr.Error) {
	s.logUnanswered()
	switch {
	case s.started:
		s.sink.Abort(s.failure(cause))
	case s.failedAnswer != nil:
		_ = s.sink.Respond(s.failedAnswer.head, s.failedAnswer.body) // the caller may have disconnected
	case s.mayHaveRun:
		s.sink.Refuse(s.failure(cause))
	default:
		s.sink.Refuse(refusal().WithRun(fennelerr.NotRun))
	}
}

// logUnanswered logs how a call ended that gets no whole answer of a server.
func (s *session) logUnanswered() {
	fields := []any{"request", s.call.ID, "begun", s.started, "may_have_run", s.mayHaveRun, "sent", s.sent, "held", time.Since(s.call.ReceivedAt), "left", time.Until(s.end)}
	if s.silence.took > 0 {
		fields = append(fields, "silent", s.silence.took, "silent_replica", s.silence.replica)
	}
	s.r.opts.Log.Info("call not answered", fields...)
}

// failure returns the error reported for a call that may have run.
func (s *session) failure(cause error) *fennelerr.Error {
	if s.remaining <= 0 {
		return fennelerr.Wrap(cause, fennelerr.Timeout, "no answer within the route's timeout").WithRun(fennelerr.Unknown)
	}
	return fennelerr.Wrap(cause, fennelerr.BackendFailed, "the backend server gave no whole answer").WithRun(fennelerr.Unknown)
}

// failNoReplica ends a call for which no replica is left.
func (s *session) failNoReplica(err error) {
	s.r.opts.Log.Info("no replica", "request", s.call.ID, "route", s.call.Route.Policy.Name, "group", s.target.Group, "excluded", len(s.excluded()),
		"held", time.Since(s.call.ReceivedAt), "err", err.Error())
	s.finish(err, func() *fennelerr.Error {
		if full, ok := errors.Into[*routing.FullError](err); ok {
			return fennelerr.Wrap(err, fennelerr.Overloaded, "no room for the call").WithRetryAfter(s.retryAfterFull(full))
		}
		return fennelerr.Wrap(err, fennelerr.NoReplica, "no replica of %s may take the call", s.target.Group).WithRetryAfter(retryAfterNoReplica)
	})
}

// retryAfterFull returns when a caller refused for want of room should retry. While all replicas
// want no requests, that is when the first one takes them again.
func (s *session) retryAfterFull(full *routing.FullError) time.Duration {
	if full.OnlyPushback {
		return full.Pushback.Left + time.Duration(rand.Float64()*float64(pushbackRetrySpread))
	}
	return s.r.advisor.refuse(s.target.Group, time.Now())
}

// pushbackRetrySpread is the time over which the callers return that were refused because of
// pushbacks.
const pushbackRetrySpread = 500 * time.Millisecond

// retryAfterNoReplica is the retry time when a group has no replica. Forming a new one
// takes 0.2 to 1.6 s for joining and 0.3 s for opening.
const retryAfterNoReplica = time.Second
