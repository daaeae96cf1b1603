package relay

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/recovery"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// hedgeReason is why an attempt that is still in progress gets a second one beside it, as logged.
type hedgeReason string

const (
	hedgeNone hedgeReason = ""
	// hedgeStalled: nothing comes from the replica to any stream of this node.
	hedgeStalled hedgeReason = "replica stalled"
	// hedgeIdle: nothing comes over the attempt's connection.
	hedgeIdle hedgeReason = "connection idle"
	// hedgeReplicaLost: a member of the replica is not listed any more.
	hedgeReplicaLost hedgeReason = "replica lost"
	// hedgeUnreachable: this node reaches no backend server.
	hedgeUnreachable hedgeReason = "servers unreachable"
)

const (
	// severalStalledDelay is how long an attempt on a stalled replica must have been idle to be hedged
	// if other replicas are silent too. Replicas that pause together mostly go on before that, while
	// hedges of all their streams read each prompt once more on the others.
	severalStalledDelay = minPieceTimeout
	// hedgeRetryInterval is the time until a hedge is tried again that was not possible.
	hedgeRetryInterval = 200 * time.Millisecond
	// maxPostponed is how often in a row a hedge is put off as this node stood still, so that a node that
	// is always late hedges all the same.
	maxPostponed = 5
	// earlyHedgeRoom is the share of its slots that a replica may have in use to take the hedge of an
	// attempt that may soon go on.
	earlyHedgeRoom = 0.5
	// minIdleToHedge is how long an attempt must have received nothing to be hedged. A member that
	// left the list may still work until it has drained: its streams receive a piece in every pass
	// and complete there.
	minIdleToHedge = 200 * time.Millisecond
	// maxUncountedRefusals is the number of refusals by servers that do not count as attempts, for
	// a call that may have run.
	maxUncountedRefusals = 4
	// refusalPause is the first pause of a begun answer that servers refuse to go on with. It doubles.
	refusalPause = 100 * time.Millisecond
	// refusalBackoff is how long a call is not sent to a replica again whose refusal did not count.
	refusalBackoff = 300 * time.Millisecond
)

var (
	hedgesTotal    = metrics.NewCounter("fennel_relay_hedges_total")
	hedgesWonTotal = metrics.NewCounter("fennel_relay_hedges_won_total")
)

// errSuperseded cancels the attempts of a call that were slower than another one.
var errSuperseded = errors.New("another attempt was faster")

// errSupersededLost is an errSuperseded of an attempt whose replica is not to blame: it lost a member, or
// this node reached no server.
var errSupersededLost = errors.Wrap(errSuperseded, "lost")

// Reasons for which a silent attempt gets no hedge.
var (
	errMustRunAlone = errors.New("the request must run alone")
	// errMostSilent: most replicas that run streams are silent. It says nothing of a plain service.
	errMostSilent = errors.New("most replicas are silent")
	// errNotListed: a replica was chosen whose server has just left the list.
	errNotListed = errors.New("the server is not listed")
)

// hedgeAttempts hedges the attempts on a replica once they have been idle for the delay, and returns
// the number of hedges that have begun.
func (r *Relay) hedgeAttempts(id cluster.ReplicaID, reason hedgeReason, delay time.Duration) (hedged int) {
	for _, a := range r.attemptsOn(id) {
		if a.suspectSilence(reason, delay) {
			hedged++
		}
	}
	return hedged
}

func (r *Relay) attemptsOn(id cluster.ReplicaID) (attempts []*attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.running[id] {
		attempts = append(attempts, a)
	}
	return attempts
}

// suspectSilence hedges the attempt if it may be repeated, once it has been idle for the delay.
func (a *attempt) suspectSilence(reason hedgeReason, delay time.Duration) (hedged bool) {
	if !a.idempotent {
		return false
	}
	defer a.recoverHedge()
	if !a.s.mu.TryLock() { // a piece is being written to the caller
		if reason == hedgeReplicaLost {
			a.lostDuringWrite.Store(true)
		}
		return false
	}
	defer a.s.mu.Unlock()
	if a.hedgeReason != hedgeReplicaLost {
		a.hedgeReason, a.hedgeDelay = reason, delay
	}
	return a.hedge()
}

// applyLoss has the attempt hedged if its replica lost a member while a piece was written. The caller
// holds s.mu.
func (a *attempt) applyLoss() {
	if a.lostDuringWrite.Swap(false) {
		a.hedgeReason, a.hedgeDelay = hedgeReplicaLost, minIdleToHedge
		a.idleTimer.Reset(minIdleToHedge)
	}
}

// checkIdle is called when the idle timeout may have passed, and again and again while a hedge that
// is due has not begun.
func (a *attempt) checkIdle() {
	defer a.recoverHedge()
	if !a.s.mu.TryLock() {
		a.idleTimer.Reset(hedgeRetryInterval) // a piece is being written to the caller
		return
	}
	defer a.s.mu.Unlock()
	if a.ended {
		return
	}
	a.applyLoss()
	now := time.Now()
	if a.postponed < maxPostponed && a.s.r.stoodStill(now) {
		a.postponed++
		a.idleTimer.Reset(hedgeRetryInterval) // what has arrived is not read yet
		return
	}
	if left := a.idleTimeout - a.idleFor(now); a.hedgeReason == hedgeNone && left > 0 {
		a.idleTimer.Reset(left)
		return
	}
	if a.hedgeReason == hedgeNone {
		a.hedgeReason, a.hedgeDelay = hedgeIdle, 0
	}
	a.hedge()
}

// hedge starts a second attempt of the call if one is to be had. The first attempt goes on: whichever
// delivers first answers the call. The caller holds s.mu.
func (a *attempt) hedge() (started bool) {
	s := a.s
	if a.ended || s.answered || a.ctx.Err() != nil {
		return false
	}
	a.idleTimer.Reset(hedgeRetryInterval)
	if s.anotherMayDeliver(a) || a.idleFor(time.Now()) < a.hedgeDelay {
		return false
	}
	possible := s.hedgeFailure()
	possible.TakeRetry = func() bool { return s.r.opts.Budget.MayRetry(s.target.Service, s.started, time.Now()) }
	if d := recovery.Decide(possible); d.Step == recovery.GiveUp {
		s.logNoHedge(a, string(d.Reason)) // before a choice, which uses up part of a replica's rate
		return false
	}
	to, err := s.chooseHedge(a)
	if err != nil {
		s.logNoHedge(a, err.Error())
		return false
	}
	if d := recovery.Decide(s.hedgeFailure()); d.Step == recovery.GiveUp {
		to.release()
		s.logNoHedge(a, string(d.Reason))
		return false
	}
	h := newAttempt(a.parent, s, to)
	h.isHedge = true
	s.begin(h)
	s.leader = nil
	hedgesTotal.Inc()
	s.r.opts.Log.Info("hedge", "request", s.call.ID, "reason", a.hedgeReason, "replica", a.to.choice.Replica.ID, "silent", a.idleFor(h.started), "by", to.name(), "left", s.end.Sub(h.started))
	s.hedges.Go(func() { _ = s.run(h) }) // its error is recorded in the session
	return true
}

// logNoHedge logs once for each silence why there is no hedge.
func (s *session) logNoHedge(a *attempt, reason string) {
	if a.noHedgeReason == reason {
		return
	}
	a.noHedgeReason = reason
	s.r.opts.Log.Info("no hedge", "request", s.call.ID, "reason", a.hedgeReason, "replica", a.to.choice.Replica.ID, "silent", a.idleFor(time.Now()), "err", reason, "left", time.Until(s.end))
}

// hedgeFailure describes the silence of the attempts in progress, as if they had failed. The caller
// holds s.mu.
func (s *session) hedgeFailure() recovery.Failure {
	f := s.failureState(true)
	f.MayHaveRun = true
	for _, inFlight := range s.inFlight {
		// The server of a replica that lost a member may run the call until the replica ends. Beside
		// servers that were counted it is one more.
		if inFlight.hedgeReason != hedgeReplicaLost || s.sent > 0 {
			f.Attempts++
		}
	}
	return f
}

// anotherMayDeliver reports whether an attempt beside a is in progress and not silent. The caller
// holds s.mu.
func (s *session) anotherMayDeliver(a *attempt) bool {
	return slices.ContainsFunc(s.inFlight, func(other *attempt) bool { return other != a && other.hedgeReason == hedgeNone })
}

// chooseHedge chooses where the hedge of an attempt is sent. The caller holds s.mu.
func (s *session) chooseHedge(a *attempt) (destination, error) {
	if s.admission.Alone || s.r.opts.Suspects.IsSuspect(s.suspect) {
		return destination{}, errMustRunAlone
	}
	if s.unreachable() && !s.call.HandedOver {
		if node, why := s.nextNode(time.Now()); node != nil {
			return destination{node: node, peer: peerOfNode(node), target: s.target, reason: handOverUnreachable, chosen: why}, nil
		}
	}
	s.retarget()
	now := time.Now()
	if s.target.OfModel && a.isSilent() && s.r.stalls.silenceSpread(now) == commonSilence {
		return destination{}, errMostSilent
	}
	reserved, err := s.reserve(unlimitedShare, func() (routing.Choice, error) { return s.r.opts.Router.Choose(s.hedgeRequest(a, now)) })
	if err != nil {
		return destination{}, err
	}
	peer, listed := s.r.opts.Peer(reserved.choice)
	to := destination{choice: reserved.choice, peer: peer, target: reserved.target, reserved: reserved}
	if !listed {
		to.release()
		return destination{}, errNotListed
	}
	return to, nil
}

// hedgeRequest asks for a replica that is not silent. Unless the first attempt is lost, it must have a
// free slot: a hedge that waits in a queue delays other calls.
func (s *session) hedgeRequest(a *attempt, now time.Time) routing.Request {
	req := s.routingRequest()
	req.Exclude = append(s.r.stalls.silent(now), s.excluded()...)
	for _, other := range s.inFlight {
		req.Exclude = append(req.Exclude, other.to.choice.Replica.ID)
	}
	if s.target.OfModel && a.isSilent() {
		req.Limit = routing.Limit{PerSlot: 1}
		if a.idleFor(now) < severalStalledDelay {
			req.Limit.PerSlot = earlyHedgeRoom
		}
	}
	return req
}

// isSilent reports whether the attempt is to be hedged for its silence alone. The caller holds s.mu.
func (a *attempt) isSilent() bool {
	return a.hedgeReason == hedgeStalled || a.hedgeReason == hedgeIdle
}

// begin records that an attempt is in progress. The caller holds s.mu.
func (s *session) begin(a *attempt) { s.inFlight = append(s.inFlight, a) }

// finishAttempt records that an attempt has ended, and what its failure means for further ones.
func (s *session) finishAttempt(a *attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.ended = true
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other *attempt) bool { return other == a })
	if s.leader == a {
		s.leader = nil
	}
	if err == nil {
		s.answered = true
		return
	}
	if !errors.Is(err, errSuperseded) {
		s.lastErr = err
	}
	s.recordFailure(a, err)
}

// recordFailure counts a failed attempt and excludes its replica. The caller holds s.mu.
func (s *session) recordFailure(a *attempt, err error) {
	notRun, isNotRun := errors.Into[*NotRunError](err)
	refused := isNotRun && notRun.Received
	// A refusal of a server that runs nothing uses up no attempt of a call that another one may run.
	uncounted := refused && (s.mayHaveRun || len(s.inFlight) > 0) && s.uncountedRefusals < maxUncountedRefusals
	switch {
	case uncounted:
		s.uncountedRefusals++
	case isNotRun && !refused, a.hedgeReason == hedgeReplicaLost:
	case a.to.node != nil:
		s.sent = s.call.MaxAttempts() // the node may have used all that were left
	default:
		s.sent++
	}
	s.mayHaveRun = s.mayHaveRun || !isNotRun
	if a.to.node != nil || s.mayReturn(err) {
		return
	}
	s.excludeAfter(a.to.choice.Replica.ID, uncounted)
	if isNotRun && notRun.Refused {
		s.refusedBy++
	}
	if silent := a.idleFor(time.Now()); silent > minIdleToHedge {
		s.silence = silence{a.to.choice.Replica.ID, silent}
	}
}

// excludeAfter excludes a replica that failed the call; if it only refused the call, for a time. The caller
// holds s.mu.
func (s *session) excludeAfter(id cluster.ReplicaID, onlyRefused bool) {
	if !onlyRefused {
		s.exclude = append(s.exclude, id)
		return
	}
	if s.refusedAt == nil {
		s.refusedAt = make(map[cluster.ReplicaID]time.Time)
	}
	s.refusedAt[id] = time.Now()
}

// supersededCause returns the cause with which a slower attempt is canceled. The caller holds s.mu.
func (a *attempt) supersededCause() error {
	if a.hedgeReason == hedgeReplicaLost || a.hedgeReason == hedgeUnreachable {
		return errSupersededLost
	}
	return errSuperseded
}

// claim reports whether the attempt answers the call, and cancels the others if it does. The caller
// holds s.mu.
func (s *session) claim(a *attempt) bool {
	if s.leader == a {
		return true
	}
	if s.leader != nil || s.answered || a.ctx.Err() != nil {
		return false
	}
	s.leader = a
	for _, other := range s.inFlight {
		if other != a {
			other.cancel(other.supersededCause())
		}
	}
	if a.isHedge {
		hedgesWonTotal.Inc()
	}
	return true
}
