package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/recovery"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// session is a call in progress. It implements recovery.Call and reports the final
// result to the caller through the sink.
type session struct {
	r      *Relay
	call   *call.Call
	sink   call.Sink
	target Target
	end    time.Time
	// suspect identifies the request over all of its caller's attempts, and the parts of its prompt at the
	// present target.
	suspect suspect.Request
	// reservations holds those of all attempts.
	reservations reservations

	// remaining is the time to the call's deadline, as of the last check.
	remaining time.Duration
	// next is the destination of the next attempt, admission says how it may run.
	next      destination
	admission suspect.Admission

	// mu guards the fields below while attempts run. It is held while a piece is written to the
	// caller.
	mu sync.Mutex
	// attempts counts all attempts, sent those that count against the route's limit.
	attempts, sent int
	// uncountedRefusals counts the refusals that do not count as attempts.
	uncountedRefusals int
	// mayHaveRun is true once an attempt failed without certainty that the call did not run.
	mayHaveRun bool
	// started is true once part of the answer was sent to the caller, answered once all of it was.
	started, answered bool
	// inFlight holds the attempts in progress: one, or more while the others are silent. leader is the one that
	// answers the caller; nil while that is open. hedges waits for those beside the first one.
	inFlight []*attempt
	leader   *attempt
	hedges   sync.WaitGroup
	// lastErr is the error of the last attempt that failed.
	lastErr error
	// exclude holds the replicas that failed the call or do not take it, refusedAt the time at which replicas
	// last refused it without using up an attempt.
	exclude   []cluster.ReplicaID
	refusedAt map[cluster.ReplicaID]time.Time
	lastID    string
	// failedAnswer is a server's error response, returned to the caller if no attempt
	// succeeds.
	failedAnswer *storedAnswer
	// withdrawals counts the attempts that were withdrawn before anything was sent.
	withdrawals int
	// refusedBy counts the servers that refused a connection for the call. nodesTried holds the nodes
	// that it was handed over to.
	refusedBy  int
	nodesTried []Node
	// lastPieceAt is when the caller was last sent a piece, and maxGap the longest time
	// between two pieces.
	lastPieceAt time.Time
	maxGap      time.Duration
	// silence is the last silence of a server that an attempt ended in.
	silence silence
}

// silence is the time for which a server sent nothing before its attempt ended.
type silence struct {
	replica cluster.ReplicaID
	took    time.Duration
}

// storedAnswer is a complete answer held back while other attempts are made.
type storedAnswer struct {
	head call.Head
	body []byte
}

// Serve handles the call until it is answered or given up. ctx ends when the caller
// disconnects.
func (r *Relay) Serve(ctx context.Context, c *call.Call, sink call.Sink) {
	s := &session{r: r, call: c, sink: sink, end: c.EffectiveDeadline(), lastID: c.ResumeAfter,
		suspect: suspect.Request{Fingerprint: suspect.FingerprintOf(c.Team, c.URI, c.Body)}}
	defer s.close()
	s.retarget()
	if c.HandedOver {
		takenOverTotal.Inc() // the node that handed it over has recorded it
	} else {
		r.opts.Budget.RecordCall(s.target.Service, c.ReceivedAt)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !s.end.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, s.end)
		defer cancel()
	}
	_ = recovery.Run(ctx, s) // the error has been logged and reported to the caller
}

// Choose implements recovery.Call.
func (s *session) Choose(ctx context.Context) error {
	s.remaining = time.Until(s.end)
	if err := s.r.opts.Suspects.Refuse(s.suspect); err != nil {
		return s.failNotAdmitted(err)
	}
	if chosen, err := s.chooseNode(); chosen || err != nil {
		return err
	}
	if err := s.admit(ctx); err != nil {
		return err
	}
	s.pauseAfterRefusals(ctx)
	for {
		reserved, err := s.awaitReplica(ctx)
		if err != nil && s.chooseNodeInPushback(err) {
			return nil
		}
		if err != nil && fennelerr.Is(err, fennelerr.NoReplica) && s.unreachable() {
			return s.failUnreachable()
		}
		if err != nil {
			s.failNoReplica(err)
			return err
		}
		peer, listed := s.r.opts.Peer(reserved.choice)
		err = s.r.opts.Suspects.Refuse(s.suspect) // a quarantine may have begun while the call waited
		if listed && err == nil {
			s.next = destination{choice: reserved.choice, peer: peer, target: reserved.target, reserved: reserved}
			return nil
		}
		reserved.cancel()
		if err != nil {
			return s.failNotAdmitted(err)
		}
		s.exclude = append(s.exclude, reserved.choice.Replica.ID)
	}
}

const (
	// choosePollInterval is how often a call that waits for a replica tries to get one.
	choosePollInterval = 50 * time.Millisecond
	// maxChooseWait limits the wait for a replica. Callers give up on a stream after two
	// seconds without a piece.
	maxChooseWait = 2 * time.Second
)

// awaitReplica chooses a replica. A suspect waits for one that runs no other suspect and that
// it is this node's turn to use. A call whose answer has begun waits for one with room: there is no
// refusal that its caller would get.
func (s *session) awaitReplica(ctx context.Context) (*reservation, error) {
	waitEnd := time.Now().Add(maxChooseWait)
	if latest := s.end.Add(-minAttemptTime); !s.end.IsZero() && latest.Before(waitEnd) {
		waitEnd = latest
	}
	for {
		reserved, err := s.chooseReplica()
		if err == nil || !s.mayWaitFor(err) || time.Now().After(waitEnd) {
			return reserved, err
		}
		clock.Pause(ctx, choosePollInterval)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// pauseAfterRefusals waits before a begun answer is sent to yet another server after some have refused it:
// it has few refusals left, and servers that are full together have room a moment later.
func (s *session) pauseAfterRefusals(ctx context.Context) {
	if s.started && s.uncountedRefusals > 1 {
		clock.Pause(ctx, refusalPause<<(s.uncountedRefusals-2))
	}
}

// mayWaitFor reports whether the call waits until a replica can be chosen.
func (s *session) mayWaitFor(err error) bool {
	if s.started {
		node, _ := s.nodeInPushback(err)
		return node == nil
	}
	return s.admission.Alone && fennelerr.Is(err, fennelerr.NoReplica)
}

// admit refuses a quarantined request. A suspect waits until no other run of it is under way.
func (s *session) admit(ctx context.Context) (err error) {
	if s.admission, err = s.r.opts.Suspects.AdmitRequest(ctx, s.suspect); err != nil {
		return s.failNotAdmitted(err)
	}
	return nil
}

// Attempt implements recovery.Call. It returns once the attempt and all hedges have ended.
func (s *session) Attempt(ctx context.Context) error {
	s.mu.Lock()
	a := newAttempt(ctx, s, s.next)
	s.begin(a)
	s.leader, s.lastErr = a, nil
	s.mu.Unlock()
	err := s.run(a)
	s.hedges.Wait()
	switch {
	case s.answered:
		return nil
	case s.lastErr != nil:
		return s.lastErr
	}
	return err
}

// hasStarted reports whether part of the answer was sent to the caller.
func (s *session) hasStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// recordPiece records that a piece is sent to the caller.
func (s *session) recordPiece(now time.Time) {
	if !s.lastPieceAt.IsZero() {
		s.maxGap = max(s.maxGap, now.Sub(s.lastPieceAt))
	}
	s.lastPieceAt = now
}

// chooseReplica chooses a replica that has room and is not stalled. If no such replica is
// left, stalled ones are allowed: when all seem stalled, this node itself is more likely
// cut off.
func (s *session) chooseReplica() (*reservation, error) {
	s.retarget()
	return s.reserve(s.limitShare(), s.chooseAnyReplica)
}

// limitShare returns the share of the limit that the call may fill. A call that was sent to a
// replica before goes on in any case.
func (s *session) limitShare() float64 {
	switch {
	case s.attempts > 0:
		return unlimitedShare
	case s.call.LikelyRetry():
		return returningShare
	}
	return 1
}

func (s *session) chooseAnyReplica() (routing.Choice, error) {
	req := s.routingRequest()
	if stalled := s.r.stalls.stalled(time.Now()); len(stalled) > 0 {
		req.Exclude = append(stalled, s.excluded()...)
		if choice, err := s.r.opts.Router.Choose(req); err == nil {
			return choice, nil
		}
	}
	req.Exclude = s.excluded()
	return s.r.opts.Router.Choose(req)
}

// excluded returns the replicas that the call is not sent to now: one that had no room may have some later.
func (s *session) excluded() []cluster.ReplicaID {
	excluded, now := slices.Clone(s.exclude), time.Now()
	for id, at := range s.refusedAt {
		if now.Sub(at) < refusalBackoff {
			excluded = append(excluded, id)
		}
	}
	return excluded
}

// bytesPerToken is the assumed length of a piece of an answer that holds one token.
const bytesPerToken = 64

// routingRequest describes the call to the router, without the replicas to exclude.
func (s *session) routingRequest() routing.Request {
	req := routing.Request{Group: s.target.Group, Prefer: s.call.Route.Prefer, PromptTokens: s.call.PromptTokens, OutputTokens: s.call.ExpectedOutputTokens(),
		Target: s.call.Route.Policy.Target, Bytes: len(s.call.Body) + s.call.ExpectedOutputTokens()*bytesPerToken, Limit: s.limit(), Alone: s.admission.Alone, MayRetryOn: s.r.opts.Suspects.MayRetryOn}
	if s.unreachable() {
		req.MayUse = s.r.opts.Reach.Reachable // the others would cost the caller a timeout each
	}
	return req
}

// limit returns the largest number of requests that a replica may hold, this one included.
func (s *session) limit() routing.Limit {
	if !s.target.OfModel {
		return routing.Limit{PerSlot: requestsPerPlainSlot}
	}
	return routing.Limit{PerSlot: 1, Extra: s.allowedExtra()}
}

// allowedExtra returns how many requests beyond its slots a replica may hold, this one
// included.
func (s *session) allowedExtra() float64 {
	if s.attempts == 0 && s.call.LikelyRetry() {
		return extraForReturning
	}
	return extraRequests
}

// Abandoned implements recovery.Call.
func (s *session) Abandoned(ctx context.Context, _ error) error {
	if !callerLeft(ctx) {
		return nil
	}
	canceled := fennelerr.Wrap(context.Cause(ctx), fennelerr.Canceled, "the caller disconnected")
	s.sink.Abort(canceled)
	return canceled
}

// Classify implements recovery.Call.
func (s *session) Classify(ctx context.Context, err error) recovery.Failure {
	notRun, isNotRun := errors.Into[*NotRunError](err)
	s.remaining = time.Until(s.end)
	f := s.failureState(!isNotRun || notRun.Received)
	f.OutOfTime = f.OutOfTime || stopping(ctx)
	if isNotRun {
		f.Outcome = recovery.NotRun
	}
	return f
}

// failureState describes the call after a failure. delivered is true if a server received the failed
// attempt.
func (s *session) failureState(delivered bool) recovery.Failure {
	return recovery.Failure{
		MayHaveRun: s.mayHaveRun, Repeatable: s.call.Route.Policy.Idempotent(),
		// Any replica can continue a stream after the id of its last piece.
		ResponseStarted: s.started, CanContinue: true,
		Attempts: s.sent, MaxAttempts: s.call.MaxAttempts(), OutOfTime: time.Until(s.end) < minAttemptTime,
		TakeRetry: func() bool { return !delivered || s.r.opts.Budget.TryRetry(s.target.Service, s.started, time.Now()) },
	}
}

// minAttemptTime is the shortest time in which another attempt can succeed: a round trip
// and a short answer.
const minAttemptTime = 40 * time.Millisecond

// Apply implements recovery.Call.
func (s *session) Apply(ctx context.Context, d recovery.Decision, err error) error {
	s.r.opts.Log.Info("recovery decision", "request", s.call.ID, "next", d.Step, "reason", d.Reason, "sent", s.sent, "held", time.Since(s.call.ReceivedAt), "left", s.remaining)
	if d.Step != recovery.GiveUp {
		return nil
	}
	s.finish(err, func() *fennelerr.Error {
		if stopping(ctx) {
			return fennelerr.Wrap(err, fennelerr.NotReady, "the node is stopping")
		}
		return fennelerr.Wrap(err, fennelerr.Overloaded, "%s", d.Reason).WithRetryAfter(s.r.advisor.refuse(s.target.Group, time.Now()))
	})
	return err
}

// ErrStopping is the cause of a canceled context whose node is about to exit. The caller is
// still connected and gets an answer.
var ErrStopping = errors.New("the node is stopping")

func stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// callerLeft reports whether the caller disconnected, as opposed to its deadline passing or
// the node stopping.
func callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) && !stopping(ctx)
}

// streams reports whether the answer is a stream of pieces.
func (s *session) streams() bool { return s.call.Route.Policy.Kind == rules.CallStream }
