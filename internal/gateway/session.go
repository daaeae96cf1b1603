package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/recovery"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// errFirstTokenTimeout cancels a request whose first token did not arrive before the deadline.
var errFirstTokenTimeout = fennelerr.New(fennelerr.Timeout, "no token was received before the deadline")

// callerGoneError means that the caller disconnected or that writing to it failed.
type callerGoneError struct{ err error }

// Error implements error.
func (e *callerGoneError) Error() string { return "caller gone: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.err }

// session handles one request to a model over all its attempts. It implements recovery.Call.
type session struct {
	g         *Gateway
	c         caller
	modelCall *call.ModelCall
	path      string
	body      []byte // unchanged from the caller
	route     *rules.Route
	suspect   suspect.Request
	run       fennelerr.RunState
	// exchange translates the engines' events into the caller's answer.
	exchange call.Exchange
	info     engine.StreamInfo
	target   *target
	// left is a silent replica that the request has not been taken from yet; nil for none.
	left *target
	// admission is that of the last replica chosen.
	admission suspect.Admission
	// resume is set if the next attempt resumes the request at the same replica.
	resume bool
	// continuation is set if the next attempt continues the answer at another replica.
	continuation bool
	// failure describes the replica of the last failed attempt.
	failure                 replicaFailure
	excluded                []cluster.ReplicaID
	attemptsWithoutProgress int
	tokens                  int
	slot                    Slot
	// claim is nil for a call that needs none.
	claim        Claim
	progress     progress
	firstTokenAt time.Time
	// firstTokenState decides the race between the first token and its deadline. Without it, a
	// token that arrived at the deadline was sent to the caller and the stream then aborted.
	firstTokenState atomic.Int32
}

// Values of session.firstTokenState.
const (
	firstTokenPending int32 = iota
	firstTokenReceived
	firstTokenTimedOut
)

// target is the replica that a session runs on and the state to release afterwards.
type target struct {
	choice       routing.Choice
	run          suspect.Run
	startedAt    time.Time
	firstTokenAt time.Time
	tokens       int
}

// serve runs the request. It returns nil once the caller has received the complete answer.
func (s *session) serve(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(deadline), func() {
		if s.firstTokenState.CompareAndSwap(firstTokenPending, firstTokenTimedOut) {
			cancel(errFirstTokenTimeout)
		}
	})
	defer timer.Stop()

	if err := recovery.Run(ctx, s); err != nil {
		return err
	}
	s.endTarget(routing.Result{OK: true}, false)
	return s.exchange.Finish()
}

// Choose implements recovery.Call. It chooses the replica for the next attempt.
func (s *session) Choose(ctx context.Context) error {
	if s.left != nil {
		return s.chooseOther(ctx)
	}
	return s.choose(ctx)
}

func (s *session) choose(ctx context.Context) error {
	admission, err := s.g.opts.Quarantine.AdmitRequest(ctx, s.suspect)
	if err != nil {
		if canceled := s.cancelError(ctx, err); canceled != nil {
			return canceled
		}
		return s.withRunState(err)
	}
	s.admission = admission
	choice, err := s.chooseReplica(ctx, admission.Alone)
	if err != nil {
		if canceled := s.cancelError(ctx, err); canceled != nil {
			return canceled
		}
		return s.withRunState(err)
	}
	run := s.g.opts.Quarantine.BeginRequest(s.suspect, choice.Replica.ID, choice.Replica.Generation, admission)
	s.progress.lastActivity = time.Now()
	s.target = &target{choice: choice, run: run, startedAt: time.Now()}
	s.resume = false
	s.g.opts.Log.Info("route", "request", s.c.requestID, "team", s.c.team.Name, "group", s.route.Group, "rule_line", s.route.Line,
		"replica", choice.Replica.ID, "generation", choice.Replica.Generation, "addr", choice.Addr, "reason", choice.Reason,
		"considered", choice.Considered, "alone", admission.Alone, "after_event", s.exchange.LastEventID())
	return nil
}

// retryPollInterval is how often a request that waits for a replica asks for one.
const retryPollInterval = 50 * time.Millisecond

// chooseReplica gets a replica from the router. A request whose answer has begun waits for one. So does
// a suspect: for a replica on which no other suspect runs and which it is this node's turn to use.
func (s *session) chooseReplica(ctx context.Context, alone bool) (routing.Choice, error) {
	req := routing.Request{
		Group: s.route.Group, Prefer: s.route.Prefer, PrefixHashes: s.modelCall.PrefixHashes, Exclude: s.excluded,
		Alone: alone, MayRetryOn: s.g.opts.Quarantine.MayRetryOn,
	}
	mayWait := alone || s.exchange.ResponseStarted()
	waitEnd := time.Now().Add(s.g.opts.MaxReplicaWait)
	for {
		choice, err := s.g.opts.Router.Choose(req)
		full, isFull := errors.Into[*routing.FullError](err)
		if isFull {
			err = fennelerr.Wrap(err, fennelerr.Overloaded, "the model's replicas want no requests").WithRetryAfter(full.Pushback.Left)
		}
		if err == nil || !mayWait || !isFull && !fennelerr.Is(err, fennelerr.NoReplica) || time.Now().After(waitEnd) {
			return choice, err
		}
		select {
		case <-ctx.Done():
			return choice, err
		case <-time.After(retryPollInterval):
		}
	}
}

// Attempt implements recovery.Call. It sends the request to the target and forwards the events.
func (s *session) Attempt(ctx context.Context) error {
	continuation := s.continuation && !s.resume // a resumed replica already has the first part
	body, err := s.exchange.RequestBody(continuation)
	if err != nil {
		return err
	}
	replica := s.target.choice.Replica
	lastEventID := s.exchange.LastEventID()
	err = s.g.opts.Streamer.Stream(ctx, engine.StreamRequest{
		Addr: s.target.choice.Addr, Path: s.path, RequestID: s.c.requestID, Replica: replica.ID, Generation: replica.Generation,
		Priority: s.c.team.Priority, Body: body, ResumeAfter: lastEventID, Resume: s.resume, Continue: continuation,
	}, func(info engine.StreamInfo) { s.info = info }, s.handleEvent)
	if s.run == fennelerr.NotRun && !provesNotStarted(err) {
		s.run = fennelerr.Unknown
	}
	s.reportPushback(err)
	if s.exchange.LastEventID() > lastEventID {
		s.attemptsWithoutProgress = 0
	} else {
		s.attemptsWithoutProgress++
	}
	return err
}

// reportPushback passes on for how long an engine that refused the request wants none, if it said so.
func (s *session) reportPushback(err error) {
	refused, ok := errors.Into[*engine.NotStartedError](err)
	if !ok || refused.RetryAfter <= 0 {
		return
	}
	if s.g.opts.Router.ReportPushback(s.target.choice, refused.RetryAfter, time.Now()) {
		s.g.opts.Log.Info("server wants no requests", "replica", s.target.choice.Replica.ID, "addr", refused.Addr, "for", refused.RetryAfter, "request", s.c.requestID)
	}
}

// provesNotStarted reports whether err proves that this attempt did not start the request.
// Earlier attempts may have started it.
func provesNotStarted(err error) bool {
	if r, ok := errors.Into[*engine.RejectedError](err); ok {
		return r.NotStarted
	}
	_, ok := errors.Into[*engine.NotStartedError](err)
	return ok
}

// handleEvent validates one event and forwards it to the caller.
func (s *session) handleEvent(ev engine.Event) error {
	if err := s.exchange.Check(s.target.choice.Addr, ev); err != nil || ev.Done {
		return err
	}
	s.run = fennelerr.Ran
	if s.firstTokenState.Load() != firstTokenReceived && !s.firstTokenState.CompareAndSwap(firstTokenPending, firstTokenReceived) {
		return errFirstTokenTimeout
	}
	s.recordToken()
	if err := s.exchange.Forward(ev); err != nil {
		return &callerGoneError{err}
	}
	return nil
}

func (s *session) recordToken() {
	s.progress.lastActivity = time.Now()
	s.tokens++
	s.target.tokens++
	s.target.run.Piece()
	if s.target.firstTokenAt.IsZero() {
		s.target.firstTokenAt = time.Now()
	}
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = s.target.firstTokenAt
		s.progress.deadline = time.Time{}
		s.slot.FirstToken()
		firstTokenSeconds.Update(s.firstTokenAt.Sub(s.progress.started).Seconds())
	}
}

// Abandoned implements recovery.Call.
func (s *session) Abandoned(ctx context.Context, err error) error {
	s.recordSilence(s.target)
	canceled := s.cancelError(ctx, err)
	if canceled != nil {
		s.cancelAtReplica()
		s.endTarget(routing.Result{Canceled: true}, false)
	}
	return canceled
}

func (s *session) recordSilence(t *target) {
	s.progress.recordSilence("silent_replica", string(t.choice.Replica.ID))
}

// cancelError returns an error if the caller disconnected or the first token is late, else
// nil.
func (s *session) cancelError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errFirstTokenTimeout) || errors.Is(err, errFirstTokenTimeout) {
		timeout := *errFirstTokenTimeout
		return timeout.WithRun(s.run).WithRetryAfter(time.Second)
	}
	if cause != nil {
		return &callerGoneError{cause}
	}
	if g, ok := errors.Into[*callerGoneError](err); ok {
		return g
	}
	return nil
}

// suspectOutcome returns the outcome that is reported to the quarantine.
func suspectOutcome(res routing.Result, crashed bool) suspect.Outcome {
	switch {
	case crashed:
		return suspect.Crashed
	case res.OK:
		return suspect.Finished
	default:
		return suspect.Abandoned
	}
}

// endTarget ends the use of the current target and reports the result to the router and the
// quarantine.
func (s *session) endTarget(res routing.Result, crashed bool) {
	t := s.target
	if t == nil {
		return
	}
	s.target = nil
	t.run.End(suspectOutcome(res, crashed))
	s.releaseTarget(t, res)
}

// releaseTarget reports the result of the use of a replica to the router.
func (s *session) releaseTarget(t *target, res routing.Result) {
	res.Tokens = t.tokens
	res.Duration = time.Since(t.startedAt)
	if !t.firstTokenAt.IsZero() {
		res.FirstToken = t.firstTokenAt.Sub(t.startedAt)
	}
	s.g.opts.Router.End(t.choice, res)
}

// cancelAtReplica cancels the request at the target's engine, if there is a target.
func (s *session) cancelAtReplica() {
	if s.target != nil {
		s.cancelAt(s.target.choice.Addr)
	}
}

// cancelAt cancels the request at an engine, in the background.
func (s *session) cancelAt(addr string) {
	id := s.c.requestID
	s.g.background.Go(func() {
		defer s.recoverPanic()
		ctx, cancel := context.WithTimeout(context.Background(), engineCancelTimeout)
		defer cancel()
		if err := s.g.opts.Prober.Cancel(ctx, addr, id); err != nil {
			s.g.opts.Log.Warn("cancel not delivered", "request", id, "addr", addr, "err", err.Error())
		}
	})
}

// withRunState sets the session's run state on an error of the admitter, the router or the
// quarantine. Such an error does not change that an earlier attempt may have run.
func (s *session) withRunState(err error) error {
	return normalizeError(err).WithRun(s.run)
}
