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

// errFirstTokenLate cancels a request whose first token missed its deadline.
var errFirstTokenLate = fennelerr.New(fennelerr.Timeout, "no token came before the deadline")

// callerGoneError says that the caller left or takes no bytes any more.
type callerGoneError struct{ err error }

// Error implements error.
func (e *callerGoneError) Error() string { return "caller gone: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.err }

// session sees one request to a model through to its end, over as many attempts as
// it takes. It is a recovery.Call.
type session struct {
	g     *Gateway
	c     caller
	asked *call.ModelCall
	path  string
	body  []byte // as the caller sent it
	route *rules.Route
	fp    suspect.Fingerprint
	run   fennelerr.RunState
	// exchange makes the caller's answer of the engines' events.
	exchange call.Exchange
	info     engine.StreamInfo
	target   *target
	// resume is set when the next attempt goes to the same replica again.
	resume bool
	// carryOn is set when the next attempt goes on at another replica.
	carryOn bool
	// verdict is what the last failed attempt told of its replica.
	verdict   verdict
	exclude   []cluster.ReplicaID
	fruitless int
	tokens    int
	slot      Slot
	// right is the claim of a call with an idempotency key, else nil.
	right     Claim
	started   time.Time
	firstSeen time.Time
	// first settles whether the first token or its deadline came first. Without
	// it a token at the very deadline reached the caller, whose stream was then cut.
	first atomic.Int32
}

// States of session.first.
const (
	firstAwaited int32 = iota
	firstCame
	firstLate
)

// target is the replica that a session runs on, with what must be undone after.
type target struct {
	choice  routing.Choice
	endMark func(suspect.Outcome)
	began   time.Time
	first   time.Time
	tokens  int
}

// serve runs the request. It returns nil once the caller has its whole answer.
func (s *session) serve(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	clock := time.AfterFunc(time.Until(deadline), func() {
		if s.first.CompareAndSwap(firstAwaited, firstLate) {
			cancel(errFirstTokenLate)
		}
	})
	defer clock.Stop()

	if err := recovery.Run(ctx, s); err != nil {
		return err
	}
	s.leave(routing.Result{OK: true}, false)
	return s.exchange.Finish()
}

// Choose implements recovery.Call: it takes the next replica.
func (s *session) Choose(ctx context.Context) error {
	alone, err := s.g.opts.Quarantine.Admit(ctx, s.fp)
	if err != nil {
		if gone := s.gone(ctx, err); gone != nil {
			return gone
		}
		return s.withRun(err)
	}
	choice, err := s.chooseReplica(ctx, alone)
	if err != nil {
		if gone := s.gone(ctx, err); gone != nil {
			return gone
		}
		return s.withRun(err)
	}
	end := s.g.opts.Quarantine.Begin(s.fp, choice.Replica.ID, choice.Replica.Generation, alone)
	s.target = &target{choice: choice, endMark: end, began: time.Now()}
	s.resume = false
	s.g.opts.Log.Info("route", "request", s.c.id, "team", s.c.team.Name, "group", s.route.Group, "rule_line", s.route.Line,
		"replica", choice.Replica.ID, "generation", choice.Replica.Generation, "addr", choice.Addr, "reason", choice.Reason,
		"considered", choice.Considered, "alone", alone, "after_event", s.exchange.LastEventID())
	return nil
}

const (
	// retryTurnPoll is how often a suspect looks for a replica to run on alone.
	retryTurnPoll = 50 * time.Millisecond
	// maxRetryTurnWait bounds that wait.
	maxRetryTurnWait = 10 * time.Second
)

// chooseReplica asks the router. A suspect waits for a replica that no other
// suspect runs on and that is this node's to take.
func (s *session) chooseReplica(ctx context.Context, alone bool) (routing.Choice, error) {
	req := routing.Request{
		Group: s.route.Group, Prefer: s.route.Prefer, PrefixHashes: s.asked.PrefixHashes, Exclude: s.exclude,
		Isolated: alone, MayRetryOn: s.g.opts.Quarantine.MayRetryOn,
	}
	giveUp := time.Now().Add(maxRetryTurnWait)
	for {
		choice, err := s.g.opts.Router.Choose(req)
		if err == nil || !alone || !fennelerr.Is(err, fennelerr.NoReplica) || time.Now().After(giveUp) {
			return choice, err
		}
		select {
		case <-ctx.Done():
			return choice, err
		case <-time.After(retryTurnPoll):
		}
	}
}

// Attempt implements recovery.Call: it runs one exchange with the target.
func (s *session) Attempt(ctx context.Context) error {
	goOn := s.carryOn && !s.resume // a replica that is asked again has the beginning already
	body, err := s.exchange.RequestBody(goOn)
	if err != nil {
		return err
	}
	replica := s.target.choice.Replica
	before := s.exchange.LastEventID()
	err = s.g.opts.Streamer.Stream(ctx, engine.StreamRequest{
		Addr: s.target.choice.Addr, Path: s.path, RequestID: s.c.id, Replica: replica.ID, Generation: replica.Generation,
		Priority: s.c.team.Priority, Body: body, ResumeAfter: before, Resume: s.resume, Continue: goOn,
	}, func(info engine.StreamInfo) { s.info = info }, s.take)
	if s.run == fennelerr.NotRun && !provesNotStarted(err) {
		s.run = fennelerr.Unknown
	}
	if s.exchange.LastEventID() > before {
		s.fruitless = 0
	} else {
		s.fruitless++
	}
	return err
}

// provesNotStarted reports whether the attempt that ended with err certainly did
// not start the request. It says nothing about earlier attempts.
func provesNotStarted(err error) bool {
	if r, ok := errors.Into[*engine.RejectedError](err); ok {
		return r.NotStarted
	}
	_, ok := errors.Into[*engine.NotStartedError](err)
	return ok
}

// take checks one event and passes it on.
func (s *session) take(ev engine.Event) error {
	if err := s.exchange.Check(s.target.choice.Addr, ev); err != nil || ev.Done {
		return err
	}
	s.run = fennelerr.Ran
	if s.first.Load() != firstCame && !s.first.CompareAndSwap(firstAwaited, firstCame) {
		return errFirstTokenLate
	}
	s.noteToken()
	if err := s.exchange.Forward(ev); err != nil {
		return &callerGoneError{err}
	}
	return nil
}

func (s *session) noteToken() {
	s.tokens++
	s.target.tokens++
	if s.target.first.IsZero() {
		s.target.first = time.Now()
	}
	if s.firstSeen.IsZero() {
		s.firstSeen = s.target.first
		s.slot.FirstToken()
		firstByteSeconds.Update(s.firstSeen.Sub(s.started).Seconds())
	}
}

// Abandoned implements recovery.Call.
func (s *session) Abandoned(ctx context.Context, err error) error {
	gone := s.gone(ctx, err)
	if gone != nil {
		s.cancelAtReplica()
		s.leave(routing.Result{Canceled: true}, false)
	}
	return gone
}

// gone returns an error when the caller left or the first token is too late.
func (s *session) gone(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errFirstTokenLate) || errors.Is(err, errFirstTokenLate) {
		late := *errFirstTokenLate
		return late.WithRun(s.run).WithRetryAfter(time.Second)
	}
	if cause != nil {
		return &callerGoneError{cause}
	}
	if g, ok := errors.Into[*callerGoneError](err); ok {
		return g
	}
	return nil
}

func ending(res routing.Result, crashed bool) suspect.Outcome {
	switch {
	case crashed:
		return suspect.Crashed
	case res.OK:
		return suspect.Finished
	default:
		return suspect.Abandoned
	}
}

// leave ends the session's stay on its target.
func (s *session) leave(res routing.Result, crashed bool) {
	t := s.target
	if t == nil {
		return
	}
	s.target = nil
	res.Tokens = t.tokens
	res.Duration = time.Since(t.began)
	if !t.first.IsZero() {
		res.FirstToken = t.first.Sub(t.began)
	}
	t.endMark(ending(res, crashed))
	s.g.opts.Router.End(t.choice, res)
}

// cancelAtReplica tells the engine to stop, in the background.
func (s *session) cancelAtReplica() {
	if s.target == nil {
		return
	}
	addr, id := s.target.choice.Addr, s.c.id
	s.g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.g.opts.Prober.Cancel(ctx, addr, id); err != nil {
			s.g.opts.Log.Warn("cancel not delivered", "request", id, "addr", addr, "err", err.Error())
		}
	})
}

// withRun puts the session's run state on a refusal by a neighbour: a refusal to
// go on does not undo that an earlier attempt may have run.
func (s *session) withRun(err error) error {
	return typed(err).WithRun(s.run)
}
