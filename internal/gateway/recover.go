package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/recovery"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// replicaFailure describes the state of a replica after a failed attempt.
type replicaFailure struct {
	// crashed: nothing listens at the replica's address or its assignment changed.
	crashed bool
	// silent: the replica did not answer in time. It may only stand still.
	silent bool
	// unreachable: the request did not reach the replica.
	unreachable bool
	// resumeRejected: the replica rejected a resume or a continuation, usually because it does
	// not know the request.
	resumeRejected bool
}

// Classify implements recovery.Call. After an interruption, it queries the replica's state over
// a new connection.
func (s *session) Classify(ctx context.Context, err error) recovery.Failure {
	f := recovery.Failure{
		Outcome: recovery.Interrupted, MayHaveRun: s.run != fennelerr.NotRun, Repeatable: s.route.Once != rules.OnceRequired,
		ResponseStarted: s.exchange.ResponseStarted(), CanContinue: s.info.CanContinue && s.exchange.CanContinue(),
		Attempts: s.attemptsWithoutProgress, MaxAttempts: s.g.opts.MaxAttempts,
		TakeRetry: func() bool { return s.g.opts.Admitter.AllowRetry(s.c.team.Name) },
	}
	s.failure = replicaFailure{}
	refused, notStarted := errors.Into[*engine.NotStartedError](err)
	_, rejected := errors.Into[*engine.RejectedError](err)
	switch {
	case notStarted && (!s.resume || refused.Status != 0):
		f.Outcome = recovery.NotRun
		s.failure.unreachable = true
		s.failure.crashed = s.resume // it had received the request and has become unreachable
	case rejected && (s.resume || s.continuation):
		s.failure.resumeRejected = true
	case rejected:
		f.Outcome = recovery.Rejected
	default:
		countInterruption(err)
		return s.classifyInterruption(ctx, f)
	}
	return f
}

// Apply implements recovery.Call.
func (s *session) Apply(ctx context.Context, d recovery.Decision, err error) error {
	if abandoned := s.Abandoned(ctx, err); abandoned != nil {
		return abandoned // while the replica was queried, which shows nothing then
	}
	choice := s.target.choice
	s.g.opts.Log.Warn("attempt failed", "request", s.c.requestID, "replica", choice.Replica.ID, "addr", choice.Addr,
		"after_event", s.exchange.LastEventID(), "next", d.Step, "reason", d.Reason, "err", err.Error())
	if d.Step == recovery.Resume {
		resumesSame.Inc()
		s.resume = true
		return nil
	}
	s.reportReplicaFailure(err)
	if s.failure.silent && d.Step != recovery.GiveUp {
		s.leaveSilentTarget()
		s.prepareNextReplica(d.Step)
		return nil
	}
	// A replica that rejected a resume may be sent the request again immediately. A cancel in
	// flight would then end the new attempt, which has the same request ID.
	if !s.failure.crashed && !s.failure.resumeRejected {
		s.cancelAtReplica()
	}
	s.endTarget(routing.Result{}, s.failure.crashed && s.g.reachesEngines(ctx))
	if d.Step == recovery.GiveUp {
		return s.giveUp(d.Reason, err)
	}
	if !s.failure.resumeRejected {
		s.excluded = append(s.excluded, choice.Replica.ID)
	}
	s.prepareNextReplica(d.Step)
	return nil
}

// retryLaterDelay is the Retry-After of errors after which an immediate retry would probably fail
// too: no retry budget, no live or working backend server, an expired claim.
const retryLaterDelay = 2 * time.Second

// prepareNextReplica prepares the session for an attempt at another replica: it continues the
// answer or restarts it.
func (s *session) prepareNextReplica(step recovery.Step) {
	s.continuation = step == recovery.Continue
	if s.continuation {
		resumesOther.Inc()
		return
	}
	restarts.Inc()
	s.exchange.Reset()
}

func countInterruption(err error) {
	if _, ok := errors.Into[*engine.MismatchError](err); ok {
		mismatches.Inc()
	}
	if _, ok := errors.Into[*engine.SilentError](err); ok {
		silentStreams.Inc()
	}
}

// reachesEngines reports whether this node reaches the engines at all. It does not depend on the
// caller's presence.
func (g *Gateway) reachesEngines(ctx context.Context) bool {
	return g.opts.Reachable == nil || g.opts.Reachable(context.WithoutCancel(ctx))
}

func (s *session) reportReplicaFailure(err error) {
	if s.failure.crashed {
		replicaCrashes.Inc()
	}
	if s.failure.crashed || s.failure.silent || s.failure.unreachable {
		s.g.opts.OnReplicaFailed(s.target.choice.Replica, err.Error())
	}
}

// giveUpCodes maps the reason for giving up a request to its error code.
var giveUpCodes = map[recovery.Reason]fennelerr.Code{
	recovery.RejectedByServer:  fennelerr.InvalidRequest,
	recovery.AttemptsExhausted: fennelerr.BackendFailed,
	recovery.MayHaveRun:        fennelerr.OutcomeUnknown,
	recovery.NotContinuable:    fennelerr.StreamTruncated,
	recovery.BudgetExhausted:   fennelerr.Overloaded,
}

// giveUp converts the last failure into the error that the caller receives.
func (s *session) giveUp(reason recovery.Reason, err error) error {
	if r, ok := errors.Into[*engine.RejectedError](err); ok && reason == recovery.RejectedByServer {
		return s.rejectionError(r)
	}
	wait := time.Second
	if reason == recovery.BudgetExhausted {
		wait = retryLaterDelay
	}
	return fennelerr.Wrap(err, giveUpCodes[reason], "%s", reason).WithRun(s.run).WithRetryAfter(wait)
}

// rejectionError returns the error for a request that an engine rejected as invalid.
func (s *session) rejectionError(r *engine.RejectedError) error {
	message, field := s.g.opts.Protocol.ParseRejection(r.Body)
	if message == "" {
		message = "the model engine rejected the request"
	}
	return fennelerr.New(fennelerr.InvalidRequest, "%s", message).WithField(field).WithRun(s.run)
}
