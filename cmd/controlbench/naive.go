package main

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// naiveNode is a node of the naive design, the baseline of the comparison: each node sends
// its complete state to all others every second, and at once after each event.
type naiveNode struct {
	node       *node
	name       string
	peers      []string
	statuses   []*wirepb.ReplicaStatus
	quarantine atomic.Int64
	pending    chan int64
}

func newNaiveNode(n *node, i int, addrs []string) *naiveNode {
	naive := &naiveNode{node: n, name: nodeName(i), statuses: replicaStatuses(i), pending: make(chan int64, 64)}
	for j, addr := range addrs {
		if j != i {
			naive.peers = append(naive.peers, addr)
		}
	}
	n.transport.Handle(naive.receive)
	return naive
}

func (n *naiveNode) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.send()
		case <-n.pending:
			n.send()
		}
	}
}

func (n *naiveNode) send() {
	d := &wirepb.Datagram{
		Node: n.name, Zone: "serra-0", Incarnation: 1, RulesRevision: n.node.revision.Load(),
		DatagramAddr: n.node.transport.Addr(), PeerAddr: n.node.transport.Addr(), Replicas: n.statuses,
	}
	if event := n.quarantine.Load(); event > 0 {
		fp := fingerprint(uint64(event))
		d.Quarantines = []*wirepb.QuarantineMark{{Fingerprint: fp[:8], ExpiresInMs: 900_000, Crashes: 2}}
	}
	_ = n.node.transport.SendAll(n.peers, d)
}

// apply stores an event and triggers a datagram to all other nodes.
func (n *naiveNode) apply(event int64) {
	n.node.revision.Store(event)
	n.quarantine.Store(event)
	select {
	case n.pending <- event:
	default:
	}
}

func (n *naiveNode) receive(d *wirepb.Datagram) {
	if d.RulesRevision > n.node.revision.Load() {
		n.apply(d.RulesRevision)
	}
}
