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

// verdict is what a failed attempt tells of its replica.
type verdict struct {
	// crashed: the replica does not answer, or no longer is what it was.
	crashed bool
	// unreachable: the request did not get there.
	unreachable bool
	// forgot: the replica does not know the request that was to be resumed.
	forgot bool
}

// Classify implements recovery.Call. It asks the replica over a new connection where that
// matters.
func (s *session) Classify(ctx context.Context, err error) recovery.Failure {
	f := recovery.Failure{
		Outcome: recovery.Interrupted, MayHaveRun: s.run != fennelerr.NotRun, Repeatable: s.route.Once != rules.OnceRequired,
		ResponseStarted: s.exchange.ResponseStarted(), CanContinue: s.info.CanContinue && s.exchange.CanContinue(),
		Attempts: s.fruitless, MaxAttempts: s.g.opts.MaxAttempts,
		TakeRetry: func() bool { return s.g.opts.Admitter.AllowRetry(s.c.team.Name) },
	}
	s.verdict = verdict{}
	_, notStarted := errors.Into[*engine.NotStartedError](err)
	_, rejected := errors.Into[*engine.RejectedError](err)
	switch {
	case notStarted:
		f.Outcome = recovery.NotRun
		s.verdict.unreachable = true
		s.verdict.crashed = s.resume // it had the request and cannot be reached any more
	case rejected && (s.resume || s.carryOn):
		s.verdict.forgot = true
	case rejected:
		f.Outcome = recovery.Rejected
	default:
		countInterruption(err)
		f.CanResume = s.probe(ctx)
		s.verdict.crashed = !f.CanResume
	}
	return f
}

// Apply implements recovery.Call.
func (s *session) Apply(_ context.Context, d recovery.Decision, err error) error {
	t := s.target.choice
	s.g.opts.Log.Warn("attempt failed", "request", s.c.id, "replica", t.Replica.ID, "addr", t.Addr,
		"after_event", s.exchange.LastEventID(), "next", d.Step, "reason", d.Reason, "err", err.Error())
	if d.Step == recovery.Resume {
		resumesSame.Inc()
		s.resume = true
		return nil
	}
	s.noteReplicaFailure(err)
	// A replica that does not know the request may get it again at once: a cancel
	// on its way there would end the new attempt, which has the same request id.
	if !s.verdict.crashed && !s.verdict.forgot {
		s.cancelAtReplica()
	}
	s.leave(routing.Result{}, s.verdict.crashed)
	if d.Step == recovery.GiveUp {
		return s.giveUp(d.Reason, err)
	}
	if !s.verdict.forgot {
		s.exclude = append(s.exclude, t.Replica.ID)
	}
	s.moveOn(d.Step)
	return nil
}

// retryBudgetWait is when a caller without retry budget may come back.
const retryBudgetWait = 2 * time.Second

func (s *session) moveOn(step recovery.Step) {
	s.carryOn = step == recovery.Continue
	if s.carryOn {
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

// probe asks the target over a new connection whether it is still what it was.
func (s *session) probe(ctx context.Context) (alive bool) {
	ctx, cancel := context.WithTimeout(ctx, s.g.opts.ProbeTimeout)
	defer cancel()
	state, err := s.g.opts.Prober.State(ctx, s.target.choice.Addr)
	replica := s.target.choice.Replica
	return err == nil && state.Assignment.Replica == replica.ID && state.Assignment.Generation == replica.Generation
}

func (s *session) noteReplicaFailure(err error) {
	if s.verdict.crashed {
		replicaCrashes.Inc()
	}
	if s.verdict.crashed || s.verdict.unreachable {
		s.g.opts.OnReplicaFailed(s.target.choice.Replica, err.Error())
	}
}

// giveUpCodes are the codes of a request that is given up, by reason.
var giveUpCodes = map[recovery.Reason]fennelerr.Code{
	recovery.RejectedByServer:  fennelerr.InvalidRequest,
	recovery.AttemptsExhausted: fennelerr.BackendFailed,
	recovery.MayHaveRun:        fennelerr.OutcomeUnknown,
	recovery.NotContinuable:    fennelerr.StreamTruncated,
	recovery.BudgetExhausted:   fennelerr.Overloaded,
}

// giveUp turns the last failure into the caller's final answer.
func (s *session) giveUp(reason recovery.Reason, err error) error {
	if r, ok := errors.Into[*engine.RejectedError](err); ok && reason == recovery.RejectedByServer {
		return s.rejected(r)
	}
	wait := time.Second
	if reason == recovery.BudgetExhausted {
		wait = retryBudgetWait
	}
	return fennelerr.Wrap(err, giveUpCodes[reason], "%s", reason).WithRun(s.run).WithRetryAfter(wait)
}

// rejected passes on an engine's word about the request itself.
func (s *session) rejected(r *engine.RejectedError) error {
	message, field := s.g.opts.Protocol.ParseRejection(r.Body)
	if message == "" {
		message = "the model engine rejected the request"
	}
	return fennelerr.New(fennelerr.InvalidRequest, "%s", message).WithField(field).WithRun(s.run)
}
