package main

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// naiveNode is the design to compare with: each node tells all others everything
// it has each second, and passes each event on to all others at once.
type naiveNode struct {
	node       *node
	name       string
	peers      []string
	statuses   []*wirepb.ReplicaStatus
	quarantine atomic.Int64
	news       chan int64
}

func newNaive(n *node, i int, addrs []string) *naiveNode {
	naive := &naiveNode{node: n, name: nodeName(i), statuses: statusesOf(i), news: make(chan int64, 64)}
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
		case <-n.news:
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

// tell takes in an event and has it passed on to all.
func (n *naiveNode) tell(event int64) {
	n.node.revision.Store(event)
	n.quarantine.Store(event)
	select {
	case n.news <- event:
	default:
	}
}

func (n *naiveNode) receive(d *wirepb.Datagram) {
	if d.RulesRevision > n.node.revision.Load() {
		n.tell(d.RulesRevision)
	}
}
