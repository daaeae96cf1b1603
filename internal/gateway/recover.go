package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// recover decides what follows a failed attempt and prepares it. It returns an
// error when the request is given up.
func (s *session) recover(ctx context.Context, err error) error {
	now := s.classify(ctx, err)
	st := nextStep(now)
	t := s.target.choice
	s.g.opts.Log.Warn("attempt failed", "request", s.c.id, "replica", t.Replica.ID, "addr", t.Addr,
		"after_event", s.prog.lastID, "next", st.reason, "err", err.Error())
	if st.kind == stepResume {
		resumesSame.Inc()
		s.resume = true
		return nil
	}
	s.noteReplicaFailure(now, err)
	// A replica that does not know the request may get it again at once: a cancel
	// on its way there would end the new attempt, which has the same request id.
	if now.fate != fateCrashed && !now.lostByReplica {
		s.cancelAtReplica()
	}
	s.leave(routing.Result{}, now.fate == fateCrashed)
	if st.kind == stepGiveUp {
		return s.giveUp(st, err)
	}
	if !s.g.opts.Admitter.AllowRetry(s.c.team.Name) {
		return fennelerr.Wrap(err, fennelerr.Overloaded, "the team's retry budget is spent").
			WithRun(s.run).WithRetryAfter(retryBudgetWait)
	}
	if !now.lostByReplica {
		s.exclude = append(s.exclude, t.Replica.ID)
	}
	s.moveOn(st)
	return nil
}

// retryBudgetWait is when a caller without retry budget may come back.
const retryBudgetWait = 2 * time.Second

func (s *session) moveOn(st step) {
	s.carryOn = st.kind == stepContinue
	if s.carryOn {
		resumesOther.Inc()
		return
	}
	restarts.Inc()
	s.sink.restart()
	s.prog = newProgress()
}

// classify turns an attempt's error, and a probe where it matters, into a situation.
func (s *session) classify(ctx context.Context, err error) situation {
	now := situation{
		mayHaveRun: s.run != fennelerr.NotRun, committed: s.sink.committed(), repeatable: s.route.Once != rules.OnceRequired,
		canContinue: s.info.CanContinue && s.req.choices == 1 && s.prog.plain,
		fruitless:   s.fruitless, maxFruitless: s.g.opts.MaxAttempts,
	}
	if _, ok := errors.Into[*engine.NotStartedError](err); ok {
		now.failure = failedNotStarted
		if s.resume {
			now.fate = fateCrashed // it had the request and cannot be reached any more
		}
		return now
	}
	if _, ok := errors.Into[*engine.RejectedError](err); ok {
		now.failure = failedRejected
		now.lostByReplica = s.resume || s.carryOn
		return now
	}
	now.failure = failedInterrupted
	countInterruption(err)
	now.fate = s.probe(ctx)
	return now
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
func (s *session) probe(ctx context.Context) fate {
	ctx, cancel := context.WithTimeout(ctx, s.g.opts.ProbeTimeout)
	defer cancel()
	state, err := s.g.opts.Prober.State(ctx, s.target.choice.Addr)
	replica := s.target.choice.Replica
	if err != nil || state.Assignment.Replica != replica.ID || state.Assignment.Generation != replica.Generation {
		return fateCrashed
	}
	return fateAlive
}

func (s *session) noteReplicaFailure(now situation, err error) {
	t := s.target.choice
	if now.fate == fateCrashed {
		replicaCrashes.Inc()
	}
	if now.fate == fateCrashed || now.failure == failedNotStarted {
		s.g.opts.OnReplicaFailed(t.Replica, err.Error())
	}
}

// giveUp turns the last failure into the caller's final answer.
func (s *session) giveUp(st step, err error) error {
	if r, ok := errors.Into[*engine.RejectedError](err); ok && !s.resume && !s.carryOn {
		return s.rejected(r)
	}
	return fennelerr.Wrap(err, st.code, "%s", st.reason).WithRun(s.run).WithRetryAfter(time.Second)
}

// rejected passes on an engine's word about the request itself.
func (s *session) rejected(r *engine.RejectedError) error {
	var doc errorBody
	message := "the model engine rejected the request"
	if json.Unmarshal(r.Body, &doc) == nil && doc.Error.Message != "" {
		message = doc.Error.Message
	}
	return fennelerr.New(fennelerr.InvalidRequest, "%s", message).WithField(doc.Error.Param).WithRun(s.run)
}
