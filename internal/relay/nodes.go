package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// Reachability tells whether this node reaches the backend servers. *reach.Detector implements
// it.
type Reachability interface {
	// Failed records that a server, named by any unique text, could not be reached or did not
	// answer, and Answered that one did.
	Failed(server string)
	Answered()
	// Unreachable reports whether this node reaches so few servers that other nodes should
	// serve its callers.
	Unreachable() bool
	// Probe opens connections to a few servers and reports whether this node reaches them.
	Probe(ctx context.Context) bool
	// Reachable reports whether the server at an address has lately accepted a connection, and
	// SomeReachable whether any has.
	Reachable(addr string) bool
	SomeReachable() bool
}

// Node is another node that may take calls over.
type Node struct {
	ID   cluster.NodeID
	Zone cluster.ZoneID
	Addr string // where it takes callers' requests
}

// NodeClient passes calls to other nodes, which handle them as their own callers' requests. Send
// fails with a *NotRunError if the node cannot be reached, with a *NodeRefusalError if it refuses
// the call, and with a *BrokenError otherwise. Of the attempt, Call, Peer.Addr, Timeout,
// ResumeAfter, MaxIdle and MaxAttempts count.
type NodeClient interface {
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// NodeRefusalError is another node's refusal of a call.
type NodeRefusalError struct{ Refusal *fennelerr.Error }

// Error implements error.
func (e *NodeRefusalError) Error() string { return "another node: " + e.Refusal.Error() }

// Unwrap returns the refusal.
func (e *NodeRefusalError) Unwrap() error { return e.Refusal }

// retriable reports whether yet another node may take the call.
func (e *NodeRefusalError) retriable() bool {
	if e.Refusal.Run != fennelerr.NotRun {
		return false
	}
	switch e.Refusal.Code {
	case fennelerr.ServersUnreachable, fennelerr.NotReady, fennelerr.MemoryFull:
		return true
	}
	return false
}

const (
	// maxRefused is the number of servers that may refuse a connection for a call before another
	// node takes it over.
	maxRefused = 2
	// maxNodes is the number of nodes that a call is offered to.
	maxNodes = 5
	// nodeBackoff is how long a node that did not take a call is offered none at first, and
	// maxNodeBackoff how long at most if it goes on like that.
	nodeBackoff    = 500 * time.Millisecond
	maxNodeBackoff = 4 * time.Second
	// maxBackedOffNodes is the number of nodes that may be backed off, while none takes a call,
	// before no further ones are asked.
	maxBackedOffNodes = 32
	// retryAfterUnreachable is the retry time of a call that no node takes over. Callers retry
	// at another node.
	retryAfterUnreachable = time.Second
)

var (
	handedOverTotal    = metrics.NewCounter(`fennel_relay_handed_over_calls_total{outcome="answered"}`)
	handOverRefused    = metrics.NewCounter(`fennel_relay_handed_over_calls_total{outcome="refused"}`)
	handOverFailed     = metrics.NewCounter(`fennel_relay_handed_over_calls_total{outcome="failed"}`)
	takenOverTotal     = metrics.NewCounter("fennel_relay_taken_over_calls_total")
	unreachableRefused = metrics.NewCounter("fennel_relay_unreachable_refusals_total")
)

// handOverReason is why a call is handed over, as logged.
type handOverReason string

const (
	handOverUnreachable handOverReason = "unreachable"
	handOverPushback    handOverReason = "pushback"
)

// errUnreachable cancels attempts on servers that this node does not reach any more.
var errUnreachable = errors.New("no backend server is reachable")

// LostServers hedges the idle attempts, once this node reaches no backend server, and returns the
// number of hedges.
func (r *Relay) LostServers() (hedged int) {
	r.mu.Lock()
	ids := slices.Collect(maps.Keys(r.running))
	r.mu.Unlock()
	for _, id := range ids {
		hedged += r.hedgeAttempts(id, hedgeUnreachable, minIdleToHedge)
	}
	return hedged
}

// unreachable reports whether this node reaches so few servers that other nodes should serve its
// callers.
func (s *session) unreachable() bool { return s.r.opts.Reach != nil && s.r.opts.Reach.Unreachable() }

// chooseNode chooses the node that takes the call over, if another node should. Otherwise it
// returns false, and an error if the call ends here. A call is handed over once at most.
func (s *session) chooseNode() (chosen bool, err error) {
	reach := s.r.opts.Reach
	if reach == nil {
		return false, nil
	}
	unreachable := reach.Unreachable()
	switch {
	case s.call.HandedOver && unreachable && !s.started:
		return false, s.failUnreachable()
	case s.call.HandedOver, !unreachable && s.refusedBy < maxRefused:
		return false, nil
	}
	if node, why := s.nextNode(time.Now()); node != nil {
		s.next = destination{node: node, peer: peerOfNode(node), target: s.target, reason: handOverUnreachable, chosen: why}
		return true, nil
	}
	if unreachable && !reach.SomeReachable() && !s.started { // a begun answer waits for a server
		return false, s.failUnreachable()
	}
	return false, nil
}

// nextNode returns the node to be offered the call next because this one reaches no server, and why
// that one, or nil.
func (s *session) nextNode(now time.Time) (*Node, choiceReason) {
	if s.r.opts.NodeClient == nil || len(s.nodesTried) >= maxNodes {
		return nil, ""
	}
	return nodeChoice{candidates: s.candidates(now), exhausted: s.r.nodeBackoffs.exhausted(now), trial: s.isTrial()}.choose()
}

func peerOfNode(node *Node) conns.Peer { return conns.Peer{Addr: node.Addr} }

// chooseNodeInPushback chooses the node that takes the call over if all replicas want no requests
// from this one: they may take those of another node. A call is handed over once at most, and none
// goes to a node that has just refused one.
func (s *session) chooseNodeInPushback(err error) bool {
	node, why := s.nodeInPushback(err)
	if node == nil {
		return false
	}
	s.next = destination{node: node, peer: peerOfNode(node), target: s.target, reason: handOverPushback, chosen: why}
	return true
}

// nodeInPushback returns the node that may take the call over in a pushback, or nil.
func (s *session) nodeInPushback(err error) (*Node, choiceReason) {
	full, ok := errors.Into[*routing.FullError](err)
	if !ok || !full.OnlyPushback || s.r.opts.NodeClient == nil || s.call.HandedOver || len(s.nodesTried) > 0 {
		return nil, ""
	}
	now := time.Now()
	candidates := s.candidates(now)
	for i := range candidates {
		c := &candidates[i]
		c.backedOff = c.backedOff || s.r.nodeBackoffs.contains(now, backoffKey{node: c.node.ID, group: s.target.Group})
	}
	return nodeChoice{candidates: candidates}.choose()
}

// attemptsLeft returns how many more backend servers may receive the call. The caller holds s.mu.
func (s *session) attemptsLeft() int {
	return max(s.call.MaxAttempts()-s.sent-len(s.inFlight), 1)
}

// runOnNode hands the call over to a node and forwards the answer. The refusal of a node ends the
// call, unless another attempt is in progress or the answer has begun.
func (s *session) runOnNode(a *attempt) error {
	node := *a.to.node
	s.mu.Lock()
	s.nodesTried = append(s.nodesTried, node)
	refusedBy, sent := s.refusedBy, s.sent
	s.mu.Unlock()
	result, err := a.run()
	s.r.opts.Log.Info("handed over", "request", s.call.ID, "fingerprint", a.suspect.Fingerprint.Short(), "route", s.call.Route.Policy.Name, "rules", s.call.RulesRevision, "rules_age", s.call.RulesAge,
		"attempt", a.number, "hedge", a.isHedge, "node", node.ID, "addr", node.Addr, "reason", a.to.reason, "chosen", a.to.chosen, "refused_by", refusedBy, "unreachable", s.r.opts.Reach.Unreachable(), "sent", sent,
		"waited", a.started.Sub(s.call.ReceivedAt), "first", result.FirstToken, "took", result.Duration, "outcome", outcomeOf(err))
	refusal, refused := errors.Into[*NodeRefusalError](err)
	_, notRun := errors.Into[*NotRunError](err)
	switch {
	case err == nil:
		handedOverTotal.Inc()
		s.r.nodeBackoffs.taken(time.Now())
	case refused && refusal.retriable():
		s.r.nodeBackoffs.add(nodeBackoff, time.Now(), backoffKey{node: node.ID}, backoffKey{zone: node.Zone})
		if s.r.opts.Paths != nil {
			s.r.opts.Paths.Withdraw(node.ID, time.Now())
		}
		err = &NotRunError{Reason: "refused by another node", Err: err}
	case refused:
		err = s.refusedByNode(a, refusal)
	case notRun:
		handOverFailed.Inc()
		s.r.nodeBackoffs.add(nodeBackoff, time.Now(), backoffKey{node: node.ID})
	default:
		handOverFailed.Inc()
	}
	return err
}

// refusedByNode passes a node's refusal on to the caller, unless another attempt is in progress or the
// answer has begun: then there is no refusal that the caller would get.
func (s *session) refusedByNode(a *attempt, refusal *NodeRefusalError) error {
	handOverRefused.Inc()
	s.r.nodeBackoffs.taken(time.Now())
	if a.to.reason == handOverPushback {
		s.r.nodeBackoffs.add(max(refusal.Refusal.RetryAfter, nodeBackoff), time.Now(), backoffKey{node: a.to.node.ID, group: a.to.target.Group})
	}
	ran := refusal.Refusal.Run != fennelerr.NotRun
	switch mustGoOn := a.isHedge || s.started; {
	case mustGoOn && ran:
		return &BrokenError{Reason: "refused by another node", Err: refusal}
	case mustGoOn:
		return &NotRunError{Reason: "refused by another node", Err: refusal}
	}
	s.mayHaveRun = s.mayHaveRun || ran
	s.remaining = time.Until(s.end)
	s.finish(refusal, func() *fennelerr.Error { return refusal.Refusal })
	return nil
}

// failUnreachable ends a call that no server and no node takes.
func (s *session) failUnreachable() error {
	unreachableRefused.Inc()
	err := fennelerr.Wrap(errUnreachable, fennelerr.ServersUnreachable, "this node reaches no backend server").WithRetryAfter(retryAfterUnreachable)
	s.r.opts.Log.Info("no node", "request", s.call.ID, "route", s.call.Route.Policy.Name, "tried", len(s.nodesTried), "held", time.Since(s.call.ReceivedAt))
	s.finish(err, func() *fennelerr.Error { return err })
	return err
}

// outcomeOf returns the outcome of an attempt as logged.
func outcomeOf(err error) string {
	if err == nil {
		return "answered"
	}
	return err.Error()
}
