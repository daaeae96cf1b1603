package player

import (
	"context"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/entry"
	"github.com/fennelcourse/fennelcourse/internal/membership"
)

const (
	// gossipEvery is the time between two load reports of a node, each to one other
	// node: what their bytes allow.
	gossipEvery = 110 * time.Millisecond
	// reportBudget is the bytes of one.
	reportBudget = 400
)

// gossip has the nodes send each other load reports in turn, but across a cut.
func (sys *Simulation) gossip(ctx context.Context) {
	turn := 0
	clock.Every(ctx, gossipEvery, func(time.Time) {
		turn++
		for i, from := range sys.nodes {
			sys.sendLoadReport(from, sys.peerInTurn(i, turn))
		}
	})
}

// peerInTurn is the node that the i-th one sends to at its turn.
func (sys *Simulation) peerInTurn(i, turn int) *node {
	n := len(sys.nodes)
	if n < 2 {
		return sys.nodes[i]
	}
	return sys.nodes[(i+1+turn%(n-1))%n]
}

func (sys *Simulation) sendLoadReport(from, to *node) {
	sender, receiver := from.running(), to.running()
	if sender == nil || receiver == nil || from == to || !sys.world.reachesNode(from.zone, to.zone) {
		return
	}
	receiver.ReceiveLoadReport(from.id, sender.LoadReport(reportBudget))
}

// announce brings a section from one node to all that it reaches.
func (sys *Simulation) announce(from *node, section membership.Section) {
	for _, to := range sys.nodes {
		if receiver := to.running(); receiver != nil && to != from && sys.world.reachesNode(from.zone, to.zone) {
			receiver.ReceiveStallReport(from.id, section)
		}
	}
}

// running is the node's process; nil while it is dead.
func (n *node) running() *entry.Core {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core
}
