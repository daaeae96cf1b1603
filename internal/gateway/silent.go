package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/recovery"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// probeResult is what the query of a replica's state over a new connection shows.
type probeResult int

const (
	// replicaLost: nothing listens there any more, or the assignment changed.
	replicaLost probeResult = iota
	// replicaUnchanged: the replica still holds the requests that it was sent.
	replicaUnchanged
	// replicaSilent: no answer came in time. The replica may only stand still: that is no crash.
	replicaSilent
)

// maxProbeDelay is how late a probe may end. One that ends later shows that this node had no
// processor, and nothing about the replica.
const maxProbeDelay = 50 * time.Millisecond

// probe queries the state of a replica over a new connection.
func (s *session) probe(ctx context.Context, choice routing.Choice) probeResult {
	started := time.Now()
	result := s.probeOnce(ctx, choice)
	if result == replicaSilent && time.Since(started) > s.g.opts.ProbeTimeout+maxProbeDelay {
		result = s.probeOnce(ctx, choice)
	}
	return result
}

func (s *session) probeOnce(ctx context.Context, choice routing.Choice) probeResult {
	ctx, cancel := context.WithTimeout(ctx, s.g.opts.ProbeTimeout)
	defer cancel()
	state, err := s.g.opts.Prober.State(ctx, choice.Addr)
	if netErr, ok := errors.Into[net.Error](err); ok && netErr.Timeout() {
		return replicaSilent
	}
	if err != nil || state.Assignment.Replica != choice.Replica.ID || state.Assignment.Generation != choice.Replica.Generation {
		return replicaLost
	}
	return replicaUnchanged
}

// awaitReplica queries a silent replica until it answers or is lost, for at most MaxReplicaWait.
func (s *session) awaitReplica(ctx context.Context, choice routing.Choice) probeResult {
	ctx, cancel := context.WithTimeout(ctx, s.g.opts.MaxReplicaWait)
	defer cancel()
	for {
		if result := s.probe(ctx, choice); result != replicaSilent {
			return result
		}
		select {
		case <-ctx.Done():
			return replicaSilent
		case <-time.After(retryPollInterval):
		}
	}
}

// classifyInterruption completes the failure of an attempt that the replica did not refuse. A silent
// replica is waited for if the request can't be sent elsewhere.
func (s *session) classifyInterruption(ctx context.Context, f recovery.Failure) recovery.Failure {
	result := s.probe(ctx, s.target.choice)
	if result == replicaSilent && f.Attempts < f.MaxAttempts {
		f.TakeRetry = sync.OnceValue(f.TakeRetry) // the decision is made once more on the result
		if recovery.Decide(f).Step == recovery.GiveUp {
			result = s.awaitReplica(ctx, s.target.choice)
		}
	}
	f.CanResume = result == replicaUnchanged
	s.failure.crashed, s.failure.silent = result == replicaLost, result == replicaSilent
	return f
}

// leaveSilentTarget ends the run on a silent replica, which stays the request's replica until
// another one is chosen.
func (s *session) leaveSilentTarget() {
	s.target.run.End(suspect.Abandoned)
	s.left, s.target = s.target, nil
}

// chooseOther chooses a replica in place of the silent one, or the silent one again if it answers
// before another is to be had.
func (s *session) chooseOther(ctx context.Context) error {
	left := s.left
	s.left = nil
	s.excluded = append(s.excluded, left.choice.Replica.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var returned bool
	var probes sync.WaitGroup
	probes.Go(func() {
		defer s.recoverPanic()
		returned = s.awaitReplica(ctx, left.choice) == replicaUnchanged
		if returned {
			cancel()
		}
	})
	err := s.choose(ctx)
	if err == nil {
		cancel()
	}
	probes.Wait()
	if err != nil && returned {
		s.returnTo(left)
		return nil
	}
	if err != nil {
		s.recordSilence(left)
	}
	s.cancelAt(left.choice.Addr)
	s.releaseTarget(left, routing.Result{})
	return err
}

// returnTo resumes the request at a replica that was silent.
func (s *session) returnTo(left *target) {
	s.g.opts.Log.Info("replica answers again", "request", s.c.requestID, "replica", left.choice.Replica.ID, "after_event", s.exchange.LastEventID())
	resumesSame.Inc()
	s.excluded = s.excluded[:len(s.excluded)-1]
	left.run = s.g.opts.Quarantine.BeginRequest(s.suspect, left.choice.Replica.ID, left.choice.Replica.Generation, s.admission)
	s.target, s.resume = left, true
}
