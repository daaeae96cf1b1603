package relay

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/recovery"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// session is one call on its way, a recovery.Call. Whatever ends it is told to the
// caller through the sink at once.
type session struct {
	r       *Relay
	call    *call.Call
	sink    call.Sink
	service cluster.Service
	group   cluster.GroupName
	end     time.Time

	// sent counts the backend servers that got the call.
	sent int
	// mayHaveRun is true once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// started is true once a part of the answer went to the caller.
	started bool
	// left is the time to the call's end, as of the last look.
	left time.Duration
	// choice and peer are where the attempt under way goes.
	choice  routing.Choice
	peer    conns.Peer
	exclude []cluster.ReplicaID
	lastID  string
	// kept is a server's own failure that is passed on if no attempt does better.
	kept     *keptAnswer
	attempts int
	// pieceAt is when the caller last got a piece, pause the longest time that it was
	// without one since the first.
	pieceAt time.Time
	pause   time.Duration
}

// keptAnswer is a whole answer that says the server failed.
type keptAnswer struct {
	head call.Head
	body []byte
}

// Serve takes the call to its end. ctx ends when the caller has gone.
func (r *Relay) Serve(ctx context.Context, c *call.Call, sink call.Sink) {
	s := &session{r: r, call: c, sink: sink, end: c.End(), lastID: c.ResumeAfter}
	s.service = c.Route.Terms.Pick(xxhash.Sum64String(c.ID))
	s.group = GroupOf(s.service, c.Model)
	r.opts.Budget.RecordCall(s.service, c.ReceivedAt)
	if !s.end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.end)
		defer cancel()
	}
	_ = recovery.Run(ctx, s) // the caller was told, and the log, where the error arose
}

// GroupOf names the replicas that a call may go to: those of a model, or the
// servers of a plain service.
func GroupOf(service cluster.Service, model string) cluster.GroupName {
	if model != "" {
		return cluster.GroupName(model)
	}
	return cluster.GroupName("service:" + string(service))
}

// Choose implements recovery.Call.
func (s *session) Choose(context.Context) error {
	s.attempts++
	s.left = time.Until(s.end)
	for {
		choice, err := s.pick()
		if err != nil {
			s.noReplica(err)
			return err
		}
		peer, known := s.r.opts.Peer(choice)
		if known {
			s.choice, s.peer = choice, peer
			return nil
		}
		s.r.opts.Router.End(choice, routing.Result{Canceled: true})
		s.exclude = append(s.exclude, choice.Replica.ID)
	}
}

// Attempt implements recovery.Call.
func (s *session) Attempt(ctx context.Context) error {
	a := newAttempt(ctx, s, s.choice, s.peer)
	result, err := a.run()
	if result.OK {
		s.r.returns.ended(s.group, time.Now())
	}
	s.r.opts.Router.End(s.choice, result)
	s.log(a, result, err)
	return err
}

// notePiece notes that the caller gets a piece now.
func (s *session) notePiece(now time.Time) {
	if !s.pieceAt.IsZero() {
		s.pause = max(s.pause, now.Sub(s.pieceAt))
	}
	s.pieceAt = now
}

// pick takes a replica that has room and does not stand still. Where all seem to
// stand still it is more likely this node that hears nothing, and any will do.
func (s *session) pick() (routing.Choice, error) {
	req := routing.Request{Group: s.group, Prefer: s.call.Route.Prefer, Limit: s.limit()}
	if still := s.r.stalls.stalled(time.Now()); len(still) > 0 {
		req.Exclude = append(still, s.exclude...)
		if choice, err := s.r.opts.Router.Choose(req); err == nil {
			return choice, nil
		}
	}
	req.Exclude = s.exclude
	return s.r.opts.Router.Choose(req)
}

// limit is how many requests a replica may hold with this one.
func (s *session) limit() routing.Limit {
	if s.call.Model == "" {
		return routing.Limit{PerSlot: plainPerSlot}
	}
	return routing.Limit{PerSlot: 1, Extra: s.extra()}
}

// extra is how many requests beyond its slots a replica may hold with this one.
func (s *session) extra() float64 {
	if s.attempts == 1 && s.call.Returning() {
		return returnExtra
	}
	return firstExtra
}

// Abandoned implements recovery.Call.
func (s *session) Abandoned(ctx context.Context, _ error) error {
	if !gone(ctx) {
		return nil
	}
	left := fennelerr.Wrap(context.Cause(ctx), fennelerr.Canceled, "the caller has gone")
	s.sink.Abort(left)
	return left
}

// Classify implements recovery.Call.
func (s *session) Classify(_ context.Context, err error) recovery.Failure {
	notRun, proved := errors.Into[*NotRunError](err)
	charged := !proved || notRun.Received
	if charged && !errors.Is(err, errReplicaLost) {
		s.sent++ // a replica that ended meanwhile does not count
	}
	s.mayHaveRun = s.mayHaveRun || !proved
	s.exclude = append(s.exclude, s.choice.Replica.ID)
	s.left = time.Until(s.end)
	f := recovery.Failure{
		MayHaveRun: s.mayHaveRun, Repeatable: s.call.Route.Terms.Idempotent(),
		// A stream goes on after the id of its last piece on any replica.
		ResponseStarted: s.started, CanContinue: true,
		Attempts: s.sent, MaxAttempts: s.call.Route.Terms.MaxAttempts, OutOfTime: s.left < minAttempt,
		TakeRetry: func() bool { return !charged || s.r.opts.Budget.TryRetry(s.service, time.Now()) },
	}
	if proved {
		f.Outcome = recovery.NotRun
	}
	return f
}

// minAttempt is the least time in which another attempt can be of use: a round
// trip and a short answer.
const minAttempt = 40 * time.Millisecond

// Apply implements recovery.Call.
func (s *session) Apply(_ context.Context, d recovery.Decision, err error) error {
	s.r.opts.Log.Info("after attempt", "request", s.call.ID, "next", d.Step, "reason", d.Reason, "sent", s.sent, "held", time.Since(s.call.ReceivedAt), "left", s.left)
	if d.Step != recovery.GiveUp {
		return nil
	}
	s.finish(err, func() *fennelerr.Error {
		return fennelerr.Wrap(err, fennelerr.Overloaded, "%s", d.Reason).WithRetryAfter(s.r.returns.turnAway(s.group, time.Now()))
	})
	return err
}

// finish gives the call the final answer that its progress allows. Only a call that
// certainly did not run gets the refusal, which says so and when to come back.
func (s *session) finish(cause error, refusal func() *fennelerr.Error) {
	switch {
	case s.started:
		s.sink.Abort(s.failure(cause))
	case s.kept != nil:
		_ = s.sink.Whole(s.kept.head, s.kept.body) // the caller may be gone
	case s.mayHaveRun:
		s.sink.Refuse(s.failure(cause))
	default:
		s.sink.Refuse(refusal().WithRun(fennelerr.NotRun))
	}
}

// failure is the final answer of a call that may have run.
func (s *session) failure(cause error) *fennelerr.Error {
	if s.left <= 0 {
		return fennelerr.Wrap(cause, fennelerr.Timeout, "no answer within the route's timeout").WithRun(fennelerr.Unknown)
	}
	return fennelerr.Wrap(cause, fennelerr.BackendFailed, "the backend server gave no whole answer").WithRun(fennelerr.Unknown)
}

// noReplica ends a call for which no replica is left.
func (s *session) noReplica(err error) {
	s.r.opts.Log.Info("no replica", "request", s.call.ID, "route", s.call.Route.Terms.Name, "group", s.group, "excluded", len(s.exclude),
		"held", time.Since(s.call.ReceivedAt), "err", err.Error())
	s.finish(err, func() *fennelerr.Error {
		if _, full := errors.Into[*routing.FullError](err); full {
			return fennelerr.Wrap(err, fennelerr.Overloaded, "no room for the call").WithRetryAfter(s.r.returns.turnAway(s.group, time.Now()))
		}
		return fennelerr.Wrap(err, fennelerr.NoReplica, "no replica of %s may take the call", s.group).WithRetryAfter(retryAfterNoReplica)
	})
}

// retryAfterNoReplica is when a caller may find a replica again that was formed
// anew: joining takes 0.2 to 1.6 s and opening 0.3 s.
const retryAfterNoReplica = time.Second

// gone reports whether the caller itself has left, and not merely run out of time.
func gone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

var (
	callSeconds  = metrics.NewHistogram("fennel_relay_attempt_seconds")
	firstSeconds = metrics.NewHistogram("fennel_relay_first_piece_seconds")
)

// log writes the line of an attempt that has ended: what was chosen and why, what the
// server said of its load, and how the caller fares against the route's targets.
func (s *session) log(a *attempt, result routing.Result, err error) {
	callSeconds.Update(result.Duration.Seconds())
	if result.FirstToken > 0 {
		firstSeconds.Update(result.FirstToken.Seconds())
	}
	outcome := "answered"
	if err != nil {
		outcome = err.Error()
	}
	terms, choice := s.call.Route.Terms, a.choice
	fields := []any{"request", s.call.ID, "route", terms.Name, "rules", s.call.RulesRevision, "team", s.call.Team,
		"group", s.group, "attempt", s.attempts, "replica", choice.Replica.ID, "server", choice.Replica.Serving, "addr", choice.Addr,
		"reason", choice.Reason, "considered", choice.Considered, "waited", a.started.Sub(s.call.ReceivedAt),
		"first", result.FirstToken, "target", terms.Target, "took", result.Duration}
	if s.streams() {
		fields = append(fields, "prompt", s.call.PromptTokens, "expected", s.call.ExpectedAnswer(), "work", s.call.Work, "pieces", result.Tokens, "pause", s.pause, "pause_target", terms.TargetGap)
	}
	if a.load != nil {
		fields = append(fields, "running", a.load.Running, "waiting", a.load.Waiting, "slots", a.load.Slots)
	}
	s.r.opts.Log.Info("attempt", append(fields, "outcome", outcome)...)
}

// Kinds with pieces.
func (s *session) streams() bool { return s.call.Route.Terms.Kind == rules.CallStream }
