package relay

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// destination is where an attempt is sent: a replica, or another node that takes the call over.
type destination struct {
	choice routing.Choice
	peer   conns.Peer
	target Target
	// reserved holds the counts of an attempt on a replica; nil for a node.
	reserved *reservation
	// node is nil for a replica. reason is why the call is handed over to the node.
	node   *Node
	reason handOverReason
	chosen choiceReason
}

// name returns the destination as logged.
func (d destination) name() string {
	if d.node != nil {
		return string(d.node.ID)
	}
	return string(d.choice.Replica.ID)
}

// release gives up a destination that gets no attempt.
func (d destination) release() {
	if d.reserved != nil {
		d.reserved.cancel()
	}
}

// attempt sends a session's call to one destination and forwards the answer.
type attempt struct {
	s  *session
	to destination
	// parent is the call's context, ctx the attempt's own.
	parent, ctx context.Context
	cancel      context.CancelCauseFunc
	started     time.Time
	// number counts the attempts of the call from 1 on. A hedge runs beside another attempt.
	number  int
	isHedge bool
	// idempotent attempts are hedged if their replica loses a member, stalls, or the connection is
	// idle for too long. Another node watches over the attempts that it takes over.
	idempotent  bool
	idleTimer   *time.Timer
	idleTimeout time.Duration
	// resumeAfter and maxAttempts are those of the request.
	resumeAfter string
	maxAttempts int
	// gate keeps the request from being sent during a pushback; nil for an attempt on a node.
	gate *Gate
	// state is what the server said of itself.
	state ServerState
	// suspect identifies the request at the attempt's target. suspectRun records the run for the tracker of
	// suspects; nil for an attempt on a node.
	suspect    suspect.Request
	suspectRun suspect.Run
	// lossCause is why the attempt lost its connection, if it did.
	lossCause lossCause
	// lastActivity is when the attempt last received anything, in nanoseconds since its start.
	lastActivity atomic.Int64
	// lostDuringWrite is set if the replica lost a member while s.mu was held for a write.
	lostDuringWrite atomic.Bool

	// The fields below are guarded by s.mu. hedgeReason is why the attempt is to be hedged once it has
	// been idle for hedgeDelay, and noHedgeReason why it last could not be.
	ended         bool
	hedgeReason   hedgeReason
	hedgeDelay    time.Duration
	noHedgeReason string
	// postponed is how often a hedge was put off since the last piece as this node stood still.
	postponed int
}

// newAttempt returns an attempt to be run at once. The caller holds s.mu.
func newAttempt(ctx context.Context, s *session, to destination) *attempt {
	s.attempts++
	a := &attempt{s: s, to: to, suspect: s.suspect, parent: ctx, started: time.Now(), number: s.attempts, resumeAfter: s.lastID, maxAttempts: s.attemptsLeft(), gate: s.newGate(to),
		idempotent: to.node == nil && s.call.Route.Policy.Idempotent() && !s.end.IsZero()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if a.idempotent {
		a.idleTimeout = time.Duration(firstPieceShare * float64(s.end.Sub(a.started)))
		a.idleTimer = time.AfterFunc(math.MaxInt64, a.checkIdle)
		a.idleTimer.Reset(a.idleTimeout) // checkIdle uses the timer
	}
	return a
}

// run sends the call and forwards the answer. A nil error means that a complete answer
// was received.
func (a *attempt) run() (result routing.Result, err error) {
	defer func() {
		if v := recover(); v != nil {
			result, err = a.result(false, 0, 0), a.panicked(v)
		}
	}()
	if a.to.node == nil {
		a.s.r.register(a.to.choice.Replica.ID, a)
		defer a.s.r.unregister(a.to.choice.Replica.ID, a)
	}
	if a.to.node == nil && a.s.streams() {
		a.s.r.stalls.begin(a.to.choice.Replica.ID, a.started)
		defer a.s.r.stalls.end(a.to.choice.Replica.ID)
	}
	defer a.cancel(nil)
	defer a.stopIdleTimer()

	reply, err := a.send()
	if err != nil {
		a.reportFailure(err)
		return a.result(false, 0, 0), a.withCancelCause(err)
	}
	defer reply.Body.Close()
	a.reportState(reply.State)
	switch {
	case a.s.streams() && reply.Head.Status < http.StatusBadRequest:
		return a.forwardStream(reply)
	case a.s.streams() && (a.isHedge || a.s.hasStarted()):
		// This server was to continue a stream and failed. The caller already has the
		// head and pieces from the first server, or may yet get them: appending the text of
		// the failure would end the answer as if it were complete.
		return a.result(false, 0, 0), serverFailure(reply)
	}
	return a.forwardUnary(reply)
}

// send sends the call to the replica's server, or to the node that is to take it over.
func (a *attempt) send() (*Reply, error) {
	attempt := Attempt{
		Call: a.s.call, Peer: a.to.peer, Replica: a.to.choice.Replica.ID, Timeout: time.Until(a.s.end),
		ResumeAfter: a.resumeAfter, MaxIdle: a.maxIdle(), MaxAttempts: a.maxAttempts, Gate: a.gate,
	}
	if a.to.node != nil {
		return a.s.r.opts.NodeClient.Send(a.ctx, attempt)
	}
	if !a.gate.check() {
		return nil, a.withdrawn()
	}
	unanswered := time.AfterFunc(unansweredTimeout, func() { a.s.r.recordFailure(a.to.peer.Addr) })
	defer unanswered.Stop()
	reply, err := a.s.r.opts.Backend.Send(a.ctx, attempt)
	if a.gate.finish() && err != nil {
		return nil, a.withdrawn()
	}
	switch notRun, isNotRun := errors.Into[*NotRunError](err); {
	case err == nil || isNotRun && notRun.Received:
		a.s.r.recordAnswer()
	case isNotRun && a.ctx.Err() == nil:
		a.s.r.recordFailure(a.to.peer.Addr)
	}
	return reply, err
}

// unansweredTimeout is how long a server may take to begin its answer before it may be out of
// reach.
const unansweredTimeout = 700 * time.Millisecond

// serverFailure is the error of an attempt that the server answered with a failure.
func serverFailure(reply *Reply) *BrokenError {
	return &BrokenError{Reason: "the server failed", Err: errors.Errorf("status %d", reply.Head.Status)}
}

func (a *attempt) maxIdle() time.Duration {
	if a.s.call.Route.Policy.Idempotent() {
		return maxIdleIdempotent
	}
	return maxIdleNonIdempotent
}

// reportFailure passes on what the server said of itself as it failed or refused the call. Another
// node's failure says nothing of a server to this one.
func (a *attempt) reportFailure(err error) {
	if a.to.node != nil {
		return
	}
	if broken, ok := errors.Into[*BrokenError](err); ok {
		a.state = broken.State
		if broken.State.RateLimit > 0 { // an answer that breaks off shows no end
			a.reportRateLimit(broken.State.RateLimit)
		}
		a.reportPushback(broken.State.Pushback)
		a.reportLeaving(broken.State.Leaving)
	}
	notRun, ok := errors.Into[*NotRunError](err)
	if !ok {
		return
	}
	if notRun.Received {
		a.reportState(notRun.State)
	} else {
		a.reportLoad(notRun.State.Load)
	}
	a.judgeQueue(notRun.State.Load, true)
}

// reportState passes what the server said of itself on to the router.
func (a *attempt) reportState(state ServerState) {
	a.state = state
	if a.to.node != nil || state.OtherProcess {
		return
	}
	a.reportRateLimit(state.RateLimit)
	a.reportPushback(state.Pushback)
	a.reportLeaving(state.Leaving)
	a.reportLoad(state.Load)
}

// reportLeaving passes on that the server is about to shut down, if it said so.
func (a *attempt) reportLeaving(leaving bool) {
	if !leaving || !a.s.r.opts.Router.ReportLeaving(a.to.choice, time.Now()) {
		return
	}
	a.s.r.opts.Log.Info("server leaves", "replica", a.to.choice.Replica.ID, "server", a.to.choice.Replica.Serving, "request", a.s.call.ID)
	if a.s.r.opts.OnLeaving != nil {
		a.s.r.opts.OnLeaving(a.to.peer)
	}
}

// reportPushback passes on for how long the server wants no requests from this node, if it said so.
func (a *attempt) reportPushback(d time.Duration) {
	if d <= 0 {
		return
	}
	if a.s.r.opts.Router.ReportPushback(a.to.choice, d, time.Now()) {
		withdrawn := a.s.r.withdrawWaiting(a.to.peer)
		a.s.r.opts.Log.Info("server wants no requests", "replica", a.to.choice.Replica.ID, "server", a.to.choice.Replica.Serving, "for", d, "request", a.s.call.ID, "withdrawn", withdrawn)
	}
}

// reportLoad passes the load reported by the server on to the router.
func (a *attempt) reportLoad(load *Load) {
	if load == nil {
		return
	}
	now := time.Now()
	a.s.r.opts.Router.ReportLoad(a.to.choice.Replica.ID, engine.Load{AsOf: now, Running: load.Running, Waiting: load.Waiting, MaxRunning: load.Slots}, now)
}

// reportRateLimit passes the limit that the server named, or 0 for none, on to the router.
func (a *attempt) reportRateLimit(perSecond float64) {
	if a.s.r.opts.Router.ReportRateLimit(a.to.choice, perSecond, a.started, time.Now()) && a.s.r.opts.OnRateLimit != nil {
		a.s.r.opts.OnRateLimit(a.to.choice.Replica.Serving, perSecond, a.s.call.ID)
	}
}

// judgeQueue records whether the call was late because its replica had more requests than
// slots.
func (a *attempt) judgeQueue(load *Load, late bool) {
	if load == nil || load.Slots < 1 || !a.to.target.OfModel {
		return
	}
	a.s.r.limits.record(a.to.target.Group, float64(load.Running+load.Waiting)/float64(load.Slots), late, time.Now())
}

// forwardUnary reads an answer that is not streamed and forwards it once it is complete.
func (a *attempt) forwardUnary(reply *Reply) (routing.Result, error) {
	body, err := reply.Body.ReadAll(maxUnaryBytes)
	if err != nil {
		return a.result(false, 0, 0), a.withCancelCause(err)
	}
	if err := a.checkUnframedEnd(reply); err != nil {
		return a.result(false, 0, 0), err
	}
	first := time.Since(a.started)
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	mayBeAnswered := a.s.call.Route.Policy.Kind == rules.CallSafe || len(a.s.inFlight) > 1
	if reply.Head.Status >= http.StatusInternalServerError && mayBeAnswered {
		a.s.failedAnswer = &storedAnswer{reply.Head, body}
		return a.result(false, first, 0), serverFailure(reply)
	}
	if !a.s.claim(a) {
		return a.result(false, first, 0), a.superseded()
	}
	a.s.answered = true
	if err := a.s.sink.Respond(reply.Head, body); err != nil {
		a.s.r.opts.Log.Info("caller gone", "request", a.s.call.ID, "err", err.Error())
	}
	return a.result(true, first, 1), nil
}

// checkUnframedEnd returns an error if an unframed answer ended because the server's process did:
// it may be incomplete.
func (a *attempt) checkUnframedEnd(reply *Reply) error {
	if !reply.Unframed || a.to.node != nil || !a.s.r.crashes.endedWith(a.ctx, a.to.peer) {
		return nil
	}
	return &BrokenError{Reason: "the server ended as its answer did", ConnectionLost: true, Err: io.ErrUnexpectedEOF}
}

// forwardStream forwards pieces as they arrive.
func (a *attempt) forwardStream(reply *Reply) (routing.Result, error) {
	pieces := 0
	first := time.Duration(0)
	for {
		data, id, err := reply.Body.Next()
		if errors.Is(err, io.EOF) {
			if err = a.checkUnframedEnd(reply); err == nil {
				return a.endStream(reply, first, pieces)
			}
		}
		if err != nil {
			return a.result(false, first, pieces), a.withCancelCause(err)
		}
		if pieces == 0 {
			first = time.Since(a.started)
			a.to.choice.RecordFirstPiece(first)
			a.judgeQueue(reply.State.Load, first > a.s.call.Route.Policy.Target)
		}
		pieces++
		if a.suspectRun != nil {
			a.suspectRun.Piece()
		}
		a.recordActivity(time.Now())
		if err := a.forwardPiece(reply, data, id); err != nil {
			return a.result(false, first, pieces), err
		}
	}
}

// forwardPiece sends one piece to the caller, preceded by the head if this is the first
// piece of the answer.
func (a *attempt) forwardPiece(reply *Reply, data []byte, id string) error {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	if !a.s.claim(a) {
		return a.superseded()
	}
	a.hedgeReason, a.noHedgeReason, a.postponed = hedgeNone, "", 0
	err := a.startAnswer(reply)
	if err == nil {
		a.s.recordPiece(time.Now())
		err = a.s.sink.WritePiece(data)
	}
	if err != nil {
		a.cancel(err)
		return &BrokenError{Reason: "the caller takes nothing", Err: err}
	}
	a.s.lastID = id
	a.resetIdleTimer(a.pieceTimeout())
	a.applyLoss()
	return nil
}

// startAnswer sends the head of a stream to the caller unless that has been done. The caller holds s.mu.
func (a *attempt) startAnswer(reply *Reply) error {
	if a.s.started {
		return nil
	}
	a.s.started = true
	return a.s.sink.Start(reply.Head)
}

func (a *attempt) endStream(reply *Reply, first time.Duration, pieces int) (routing.Result, error) {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	if !a.s.claim(a) {
		return a.result(false, first, pieces), a.superseded()
	}
	a.s.answered = true
	if err := a.startAnswer(reply); err != nil {
		return a.result(true, first, pieces), nil // the caller has disconnected
	}
	if err := a.s.sink.End(); err != nil {
		a.s.r.opts.Log.Info("caller gone", "request", a.s.call.ID, "err", err.Error())
	}
	return a.result(true, first, pieces), nil
}

// superseded returns the error of an attempt that was slower than another one.
func (a *attempt) superseded() error {
	return a.withCancelCause(&BrokenError{Reason: errSuperseded.Error(), Err: errSuperseded})
}

// withCancelCause returns the reason for which this node canceled the attempt, or err if
// it did not.
func (a *attempt) withCancelCause(err error) error {
	cause := context.Cause(a.ctx)
	if cause == nil || errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded) {
		return err
	}
	if _, notRun := errors.Into[*NotRunError](err); notRun {
		return err
	}
	return &BrokenError{Reason: cause.Error(), Err: cause}
}

func (a *attempt) result(ok bool, first time.Duration, pieces int) routing.Result {
	pushedBack := a.state.Pushback > 0 // no failure: the replica is left alone for as long as it asked
	cause := context.Cause(a.ctx)
	blamed := !a.isHedge && errors.Is(cause, errSuperseded) && !errors.Is(cause, errSupersededLost)
	canceled := !ok && (pushedBack || cause != nil && !blamed)
	return routing.Result{OK: ok, Canceled: canceled, FirstToken: first, Tokens: pieces, Duration: time.Since(a.started)}
}

// resetIdleTimer has the attempt hedged after the timeout unless the timer is reset before.
func (a *attempt) resetIdleTimer(timeout time.Duration) {
	if a.idleTimer != nil {
		a.idleTimeout = timeout
		a.idleTimer.Reset(timeout)
	}
}

func (a *attempt) stopIdleTimer() {
	if a.idleTimer != nil {
		a.idleTimer.Stop()
	}
}

// recordActivity records the arrival of a piece.
func (a *attempt) recordActivity(now time.Time) {
	a.lastActivity.Store(int64(now.Sub(a.started)))
	if a.to.node != nil {
		return
	}
	a.s.r.recordAnswer()
	a.s.r.stalls.recordActivity(a.to.choice.Replica.ID, now)
}

func (a *attempt) idleFor(now time.Time) time.Duration {
	return now.Sub(a.started) - time.Duration(a.lastActivity.Load())
}

func (a *attempt) pieceTimeout() time.Duration {
	return max(pieceTimeoutFactor*a.s.call.Route.Policy.TargetGap, minPieceTimeout)
}
