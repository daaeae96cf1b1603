package player

import (
	"context"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/entry"
)

const (
	// newsEvery is the time between two datagrams of news of a node, each to one other
	// node: what their bytes allow.
	newsEvery = 110 * time.Millisecond
	// newsBudget is the bytes of one.
	newsBudget = 400
)

// gossip has the nodes tell each other their news in turn, but across a cut.
func (sys *System) gossip(ctx context.Context) {
	turn := 0
	clock.Every(ctx, newsEvery, func(time.Time) {
		turn++
		for i, from := range sys.nodes {
			sys.tell(from, sys.peerInTurn(i, turn))
		}
	})
}

// peerInTurn is the node that the i-th one tells at its turn.
func (sys *System) peerInTurn(i, turn int) *node {
	n := len(sys.nodes)
	if n < 2 {
		return sys.nodes[i]
	}
	return sys.nodes[(i+1+turn%(n-1))%n]
}

func (sys *System) tell(from, to *node) {
	teller, hearer := from.running(), to.running()
	if teller == nil || hearer == nil || from == to || !sys.world.reachesNode(from.zone, to.zone) {
		return
	}
	hearer.Hear(from.id, teller.News(newsBudget))
}

// running is the node's process; nil while it is dead.
func (n *node) running() *entry.Core {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core
}
