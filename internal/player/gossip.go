package player

import (
	"context"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/entry"
	"github.com/fennelcourse/fennelcourse/internal/membership"
)

const (
	// gossipInterval is the time between two load reports of a node, each to one other
	// node: what their bytes allow.
	gossipInterval = 110 * time.Millisecond
	// maxReportBytes is the bytes of one.
	maxReportBytes = 400
)

// gossip has the nodes send each other load reports in turn, but across a cut.
func (sys *Simulation) gossip(ctx context.Context) {
	turn := 0
	clock.Every(ctx, gossipInterval, func(time.Time) {
		turn++
		for i, from := range sys.nodes {
			sys.sendLoadReport(from, sys.gossipPeer(i, turn))
		}
	})
}

// gossipPeer is the node that the i-th one sends to at its turn.
func (sys *Simulation) gossipPeer(i, turn int) *node {
	n := len(sys.nodes)
	if n < 2 {
		return sys.nodes[i]
	}
	return sys.nodes[(i+1+turn%(n-1))%n]
}

func (sys *Simulation) sendLoadReport(from, to *node) {
	sender, receiver := from.currentCore(), to.currentCore()
	if sender == nil || receiver == nil || from == to || !sys.world.nodesReach(from.zone, to.zone) {
		return
	}
	receiver.ReceiveLoadReport(from.id, sender.LoadReport(maxReportBytes))
}

// broadcast brings a section from one node to all that it reaches.
func (sys *Simulation) broadcast(from *node, section membership.Section) {
	for _, to := range sys.nodes {
		if receiver := to.currentCore(); receiver != nil && to != from && sys.world.nodesReach(from.zone, to.zone) {
			receiver.ReceiveStallReport(from.id, section)
		}
	}
}

// currentCore is the node's process; nil while it is dead.
func (n *node) currentCore() *entry.Core {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core
}
