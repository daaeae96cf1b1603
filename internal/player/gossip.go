package player

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/entry"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

const (
	// gossipInterval is the time between two load reports of a node, each to one other
	// node. It follows from the byte budget of the reports.
	gossipInterval = 110 * time.Millisecond
	// maxReportBytes is the size limit of one load report.
	maxReportBytes = 400
)

// gossip sends load reports from every node to one peer after the other, except across a
// partition.
func (sys *Simulation) gossip(ctx context.Context) {
	round := 0
	clock.Every(ctx, gossipInterval, func(time.Time) {
		round++
		for i, from := range sys.nodes {
			sys.sendLoadReport(from, sys.gossipPeer(i, round))
		}
	})
}

// gossipPeer returns the node that the i-th one sends its load report to in a round.
func (sys *Simulation) gossipPeer(i, round int) *node {
	n := len(sys.nodes)
	if n < 2 {
		return sys.nodes[i]
	}
	return sys.nodes[(i+1+round%(n-1))%n]
}

func (sys *Simulation) sendLoadReport(from, to *node) {
	sender, receiver := from.currentCore(), to.currentCore()
	if sender == nil || receiver == nil || from == to || !sys.world.nodesReach(from.zone, to.zone) {
		return
	}
	load := sender.LoadReport(maxReportBytes)
	receiver.ReceiveLoadReport(from.id, load)
	receiver.ReceivePathReport(from.id, load, time.Now())
	receiver.ReceiveLimitReport(from.id, sender.LimitReport(maxReportBytes), time.Now())
	report := sender.UrgentSuspectReport(maxReportBytes)
	receiver.ReceiveSuspectReport(&wirepb.Datagram{Crashes: report.Crashes, Quarantines: report.Quarantines, Suspects: report.Suspects})
}

// broadcast delivers a section to all nodes that the sender reaches.
func (sys *Simulation) broadcast(from *node, section membership.Section) {
	for _, to := range sys.nodes {
		if receiver := to.currentCore(); receiver != nil && to != from && sys.world.nodesReach(from.zone, to.zone) {
			receiver.ReceiveStallReport(from.id, section)
		}
	}
}

// currentCore returns the node's running core, nil while the node is down.
func (n *node) currentCore() *entry.Core {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core
}

// rank returns the node's rank among all nodes for a key.
func (n *node) rank(key string) (rank int) {
	weight := func(id cluster.NodeID) uint64 { return xxhash.Sum64String(key + "/" + string(id)) }
	for _, other := range n.sys.nodes {
		if weight(other.id) > weight(n.id) {
			rank++
		}
	}
	return rank
}
