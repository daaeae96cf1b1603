package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
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
	// SomeReachable reports whether any server has lately accepted a connection.
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
	case fennelerr.ServersUnreachable, fennelerr.NotReady:
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
	// nodeBackoff is how long a node that did not take a call is offered none, unless all are
	// backed off.
	nodeBackoff = 500 * time.Millisecond
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

// nodeBackoffs holds until when nodes that did not take a call are offered none: none at all, or
// none of a group.
type nodeBackoffs struct {
	mu    sync.Mutex
	until map[nodeGroup]time.Time
}

// nodeGroup is a node and a group of replicas; the group is empty for all groups.
type nodeGroup struct {
	node  cluster.NodeID
	group cluster.GroupName
}

func (b *nodeBackoffs) add(key nodeGroup, d time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, until := range b.until {
		if now.After(until) {
			delete(b.until, key)
		}
	}
	if b.until == nil {
		b.until = make(map[nodeGroup]time.Time)
	}
	b.until[key] = now.Add(d)
}

// contains reports whether the node is backed off for the group.
func (b *nodeBackoffs) contains(key nodeGroup, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[nodeGroup{node: key.node}]) || now.Before(b.until[key])
}

// pickNode returns a random one of the nodes that were not offered the call. Nodes of zones that
// were not tried come first, as a cut often affects a whole zone, then those that are not backed
// off, then those of this node's zone.
func (s *session) pickNode(now time.Time) (best *Node) {
	bestRank := 0
	nodes := s.r.opts.Nodes()
	for _, i := range rand.Perm(len(nodes)) {
		node := &nodes[i]
		tried := func(other Node) bool { return other.ID == node.ID }
		if slices.ContainsFunc(s.nodesTried, tried) {
			continue
		}
		rank := 0
		if slices.ContainsFunc(s.nodesTried, func(other Node) bool { return other.Zone == node.Zone }) {
			rank += 4
		}
		if s.r.nodeBackoffs.contains(nodeGroup{node.ID, s.group}, now) {
			rank += 2
		}
		if node.Zone != s.r.opts.Zone {
			rank++
		}
		if best == nil || rank < bestRank {
			best, bestRank = node, rank
		}
	}
	return best
}

// LostServers cancels the attempts that can be made at another node, once this node reaches no
// backend server.
func (r *Relay) LostServers() (canceled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, attempts := range r.running {
		for a := range attempts {
			if a.canRetry && a.idleFor(now) > minIdleToCancel {
				a.cancel(errUnreachable)
				canceled++
			}
		}
	}
	return canceled
}

// chooseNode chooses the node that takes the call over, if another node should. Otherwise it
// returns false, and an error if the call ends here. A call is handed over once at most.
func (s *session) chooseNode() (chosen bool, err error) {
	s.node = nil
	reach := s.r.opts.Reach
	if reach == nil {
		return false, nil
	}
	unreachable := reach.Unreachable()
	switch {
	case s.call.HandedOver() && unreachable:
		return false, s.failUnreachable()
	case s.call.HandedOver(), !unreachable && s.refusedBy < maxRefused:
		return false, nil
	}
	if len(s.nodesTried) < maxNodes {
		if s.node = s.pickNode(time.Now()); s.node != nil {
			s.handOverReason = handOverUnreachable
			return true, nil
		}
	}
	if unreachable && !reach.SomeReachable() {
		return false, s.failUnreachable()
	}
	return false, nil
}

// chooseNodeInPushback chooses the node that takes the call over if all replicas want no requests
// from this one: they may take those of another node. A call is handed over once at most, and none
// goes to a node that has just refused one.
func (s *session) chooseNodeInPushback(err error) bool {
	full, ok := errors.Into[*routing.FullError](err)
	if !ok || !full.OnlyPushback || s.r.opts.NodeClient == nil || s.call.HandedOver() || len(s.nodesTried) > 0 {
		return false
	}
	now := time.Now()
	s.node = s.pickNode(now)
	if s.node != nil && s.r.nodeBackoffs.contains(nodeGroup{s.node.ID, s.group}, now) {
		s.node = nil
	}
	s.handOverReason = handOverPushback
	return s.node != nil
}

// attemptsLeft returns how many more backend servers may receive the call.
func (s *session) attemptsLeft() int { return max(s.call.MaxAttempts()-s.sent, 1) }

// attemptNode hands the call over to s.node and forwards the answer.
func (s *session) attemptNode(ctx context.Context) error {
	node := *s.node
	s.nodesTried = append(s.nodesTried, node)
	a := newAttempt(ctx, s, routing.Choice{}, conns.Peer{Addr: node.Addr})
	a.node, a.canRetry = &node, false // that node watches over the call
	result, err := a.run()
	s.r.opts.Log.Info("handed over", "request", s.call.ID, "fingerprint", s.suspect.Fingerprint.Short(), "route", s.call.Route.Policy.Name, "rules", s.call.RulesRevision, "rules_age", s.call.RulesAge,
		"attempt", s.attempts, "node", node.ID, "addr", node.Addr, "reason", s.handOverReason, "refused_by", s.refusedBy, "unreachable", s.r.opts.Reach.Unreachable(), "sent", s.sent,
		"waited", a.started.Sub(s.call.ReceivedAt), "first", result.FirstToken, "took", result.Duration, "outcome", outcomeOf(err))
	refusal, refused := errors.Into[*NodeRefusalError](err)
	switch {
	case err == nil:
		handedOverTotal.Inc()
		return nil
	case refused && refusal.retriable():
		s.r.nodeBackoffs.add(nodeGroup{node: node.ID}, nodeBackoff, time.Now())
		return &NotRunError{Reason: "refused by another node", Err: err}
	case refused:
		handOverRefused.Inc()
		s.r.nodeBackoffs.add(nodeGroup{node.ID, s.group}, max(refusal.Refusal.RetryAfter, nodeBackoff), time.Now())
		s.mayHaveRun = s.mayHaveRun || refusal.Refusal.Run != fennelerr.NotRun
		s.remaining = time.Until(s.end)
		s.finish(err, func() *fennelerr.Error { return refusal.Refusal })
		return nil
	}
	handOverFailed.Inc()
	if _, notRun := errors.Into[*NotRunError](err); notRun {
		s.r.nodeBackoffs.add(nodeGroup{node: node.ID}, nodeBackoff, time.Now())
		return err
	}
	s.sent = s.call.MaxAttempts() // the node may have used all that were left
	return err
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
