package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/reach"
)

// Paths tells what other nodes say of their paths to the backend servers. *reach.Reports implements
// it.
type Paths interface {
	Of(node cluster.NodeID, now time.Time) reach.Report
	// Withdraw records that a node refused a call although it had said that it reaches servers.
	Withdraw(node cluster.NodeID, now time.Time)
}

// trialEvery is the number of calls of which one is offered to a node that said that it reaches no
// server, while all say so.
const trialEvery = 256

// choiceReason is why one node and not another takes a call over, as logged.
type choiceReason string

const (
	// chosenByReport is that of a node that says that it reaches servers, chosenByChance that of one
	// of which nothing is known, and chosenForTrial that of one that says that it reaches none.
	chosenByReport choiceReason = "report"
	chosenByChance choiceReason = "chance"
	chosenForTrial choiceReason = "trial"
)

// nodeCandidate is a node that may take a call over.
type nodeCandidate struct {
	node *Node
	// report counts at the time of the choice. rank is lower for a better zone.
	report reach.Report
	rank   int
	// backedOff is set if the node has lately not taken a call.
	backedOff bool
}

// nodeChoice is the state in which a node is chosen. The candidates are in random order.
type nodeChoice struct {
	candidates []nodeCandidate
	// exhausted is set once so many nodes took no call that no further unknown one is asked, and trial
	// if the call may go to a node that says that it reaches no server.
	exhausted, trial bool
}

// choose returns the node that takes a call over, and why, or nil: one that says that it reaches
// servers, the one with the most room first, or else one of which nothing is known, of the best zone.
func (c nodeChoice) choose() (*Node, choiceReason) {
	var reported, unknown, lost *nodeCandidate
	for i := range c.candidates {
		n := &c.candidates[i]
		switch {
		case n.backedOff:
		case n.report.State == reach.Some:
			if reported == nil || n.report.Room > reported.report.Room || n.report.Room == reported.report.Room && n.rank < reported.rank {
				reported = n
			}
		case n.report.State == reach.None:
			if lost == nil {
				lost = n
			}
		case unknown == nil || n.rank < unknown.rank:
			unknown = n
		}
	}
	switch {
	case reported != nil:
		return reported.node, chosenByReport
	case unknown != nil && !c.exhausted:
		return unknown.node, chosenByChance
	case lost != nil && c.trial:
		return lost.node, chosenForTrial
	}
	return nil, ""
}

// candidates returns the nodes that were not offered the call, in random order. Nodes of zones that were
// not tried rank first, as a cut often affects a whole zone, then those of zones without a node that
// was backed off, then those of this node's zone.
func (s *session) candidates(now time.Time) []nodeCandidate {
	nodes := s.r.opts.Nodes()
	out := make([]nodeCandidate, 0, len(nodes))
	for _, i := range rand.Perm(len(nodes)) {
		node := &nodes[i]
		if slices.ContainsFunc(s.nodesTried, func(other Node) bool { return other.ID == node.ID }) {
			continue
		}
		c := nodeCandidate{node: node, backedOff: s.r.nodeBackoffs.contains(now, backoffKey{node: node.ID})}
		if s.r.opts.Paths != nil {
			c.report = s.r.opts.Paths.Of(node.ID, now)
		}
		if slices.ContainsFunc(s.nodesTried, func(other Node) bool { return other.Zone == node.Zone }) {
			c.rank += 4
		}
		if s.r.nodeBackoffs.contains(now, backoffKey{zone: node.Zone}, backoffKey{node: node.ID, group: s.target.Group}) {
			c.rank += 2
		}
		if node.Zone != s.r.opts.Zone {
			c.rank++
		}
		out = append(out, c)
	}
	return out
}

// isTrial reports whether the call, if no node should take it, is offered to one all the same.
func (s *session) isTrial() bool {
	return len(s.nodesTried) == 0 && s.r.handOvers.Add(1)%trialEvery == 0
}
