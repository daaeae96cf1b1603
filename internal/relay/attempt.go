package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// attempt is one sending of a session's call.
type attempt struct {
	s       *session
	choice  routing.Choice
	peer    conns.Peer
	ctx     context.Context
	cancel  context.CancelCauseFunc
	started time.Time
	// movable attempts are ended when their replica is lost; those that are not the
	// last one allowed also when it is silent.
	movable, notLast bool
	silence          *time.Timer
	// load is what the server said of itself; nil where it said nothing.
	load *Load
	// lastSign is when the attempt last brought anything, in Unix nanoseconds.
	lastSign atomic.Int64
}

func newAttempt(ctx context.Context, s *session, choice routing.Choice, peer conns.Peer) *attempt {
	a := &attempt{s: s, choice: choice, peer: peer, started: time.Now(), movable: s.call.Route.Terms.Idempotent()}
	a.notLast = a.movable && s.sent+1 < s.call.Route.Terms.MaxAttempts
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// run sends the call and passes the answer on. A nil error means that the caller
// got a whole answer.
func (a *attempt) run() (routing.Result, error) {
	a.lastSign.Store(a.started.UnixNano())
	a.s.r.enter(a.choice.Replica.ID, a)
	defer a.s.r.leave(a.choice.Replica.ID, a)
	if a.s.streams() {
		a.s.r.stalls.begin(a.choice.Replica.ID, a.started)
		defer a.s.r.stalls.end(a.choice.Replica.ID)
	}
	defer a.cancel(nil)
	a.watch(a.firstTimeout())
	defer a.unwatch()

	reply, err := a.s.r.opts.Backend.Send(a.ctx, Attempt{
		Call: a.s.call, Peer: a.peer, Replica: a.choice.Replica.ID, Timeout: time.Until(a.s.end),
		ResumeAfter: a.s.lastID, MaxIdle: a.maxIdle(),
	})
	if err != nil {
		if notRun, ok := errors.Into[*NotRunError](err); ok {
			a.report(notRun.Load)
		}
		return a.result(false, 0, 0), a.explain(err)
	}
	defer reply.Body.Close()
	a.report(reply.Load)
	switch {
	case a.s.streams() && reply.Head.Status < http.StatusBadRequest:
		return a.stream(reply)
	case a.s.started:
		// A stream that was to go on here met a failure of this server. The caller has the
		// first server's head and pieces: the failure's text after them would end the
		// answer as if it were complete.
		return a.result(false, 0, 0), failedItself(reply)
	}
	return a.whole(reply)
}

// failedItself is an attempt whose server answered that it failed.
func failedItself(reply *Reply) *BrokenError {
	return &BrokenError{Reason: "the server failed", Err: errors.Errorf("status %d", reply.Head.Status)}
}

func (a *attempt) maxIdle() time.Duration {
	if a.s.call.Route.Terms.Idempotent() {
		return safeIdle
	}
	return unsafeIdle
}

// report tells the router what the server said of its load.
func (a *attempt) report(load *Load) {
	if load == nil {
		return
	}
	a.load = load
	now := time.Now()
	a.s.r.opts.Router.ReportLoad(a.choice.Replica.ID, engine.Load{AsOf: now, Running: load.Running, Waiting: load.Waiting, MaxRunning: load.Slots}, now)
}

// whole reads an answer in one piece and passes it on once it is complete.
func (a *attempt) whole(reply *Reply) (routing.Result, error) {
	body, err := reply.Body.ReadAll(maxWhole)
	if err != nil {
		return a.result(false, 0, 0), a.explain(err)
	}
	first := time.Since(a.started)
	if reply.Head.Status >= http.StatusInternalServerError && a.s.call.Route.Terms.Kind == rules.CallSafe {
		a.s.kept = &keptAnswer{reply.Head, body}
		return a.result(false, first, 0), failedItself(reply)
	}
	if err := a.s.sink.Whole(reply.Head, body); err != nil {
		a.s.r.opts.Log.Info("caller gone", "request", a.s.call.ID, "err", err.Error())
	}
	return a.result(true, first, 1), nil
}

// stream passes pieces on as they come.
func (a *attempt) stream(reply *Reply) (routing.Result, error) {
	pieces := 0
	first := time.Duration(0)
	for {
		data, id, err := reply.Body.Next()
		if errors.Is(err, io.EOF) {
			return a.endStream(reply, first, pieces)
		}
		if err != nil {
			return a.result(false, first, pieces), a.explain(err)
		}
		if pieces == 0 {
			first = time.Since(a.started)
		}
		pieces++
		a.noteSign(time.Now())
		a.watch(a.gapTimeout())
		if err := a.pass(reply, data); err != nil {
			a.cancel(err)
			return a.result(false, first, pieces), &BrokenError{Reason: "the caller takes nothing", Err: err}
		}
		a.s.lastID = id
	}
}

// pass gives one piece to the caller, after the head of the answer's first attempt.
func (a *attempt) pass(reply *Reply, data []byte) error {
	if !a.s.started {
		a.s.started = true
		if err := a.s.sink.Start(reply.Head); err != nil {
			return err
		}
	}
	a.s.notePiece(time.Now())
	return a.s.sink.Piece(data)
}

func (a *attempt) endStream(reply *Reply, first time.Duration, pieces int) (routing.Result, error) {
	if !a.s.started {
		a.s.started = true
		if err := a.s.sink.Start(reply.Head); err != nil {
			return a.result(true, first, pieces), nil // the caller has gone: there is nobody to tell
		}
	}
	if err := a.s.sink.End(); err != nil {
		a.s.r.opts.Log.Info("caller gone", "request", a.s.call.ID, "err", err.Error())
	}
	return a.result(true, first, pieces), nil
}

// explain gives the reason for which the attempt was ended, if this node ended it.
func (a *attempt) explain(err error) error {
	cause := context.Cause(a.ctx)
	if cause == nil || errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded) {
		return err
	}
	if _, proved := errors.Into[*NotRunError](err); proved {
		return err
	}
	return &BrokenError{Reason: cause.Error(), Err: cause}
}

func (a *attempt) result(ok bool, first time.Duration, pieces int) routing.Result {
	canceled := !ok && (a.ctx.Err() != nil && !errors.Is(context.Cause(a.ctx), errSilent) && !errors.Is(context.Cause(a.ctx), errStalled))
	return routing.Result{OK: ok, Canceled: canceled, FirstToken: first, Tokens: pieces, Duration: time.Since(a.started)}
}

// watch ends the attempt after so long without another call of watch.
func (a *attempt) watch(timeout time.Duration) {
	if !a.notLast {
		return
	}
	if a.silence == nil {
		a.silence = time.AfterFunc(timeout, func() { a.cancel(errSilent) })
		return
	}
	a.silence.Reset(timeout)
}

func (a *attempt) unwatch() {
	if a.silence != nil {
		a.silence.Stop()
	}
}

func (a *attempt) firstTimeout() time.Duration {
	return time.Duration(firstShare * float64(time.Until(a.s.end)))
}

// noteSign notes that a piece came.
func (a *attempt) noteSign(now time.Time) {
	a.lastSign.Store(now.UnixNano())
	a.s.r.stalls.sign(a.choice.Replica.ID, now)
}

func (a *attempt) silentFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - a.lastSign.Load())
}

func (a *attempt) gapTimeout() time.Duration {
	return max(gapFactor*a.s.call.Route.Terms.TargetGap, gapFloor)
}
