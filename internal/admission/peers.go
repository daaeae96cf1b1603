package admission

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Node is one fenneld of the system.
type Node struct {
	ID   cluster.NodeID
	Zone cluster.ZoneID
}

// Demand is one team's demand at one node, as nodes tell each other.
type Demand struct {
	Team cluster.TeamID
	// Demand is waiting plus running requests, averaged over seconds.
	Demand   float64
	InFlight int
}

// peerBook is what this node knows of the others. It is touched by gossip and by
// refreshes a few times a second, not by each request.
type peerBook struct {
	self   Node
	expiry time.Duration
	// sharesCapacity reports whether a zone's nodes send to the same replicas.
	sharesCapacity func(cluster.ZoneID) bool

	mu    sync.Mutex
	nodes []Node // all others
	heard map[cluster.NodeID]peerDemand
}

type peerDemand struct {
	at    time.Time
	teams map[cluster.TeamID]float64
	total float64
}

func (b *peerBook) setNodes(nodes []Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = b.nodes[:0]
	known := map[cluster.NodeID]bool{}
	for _, n := range nodes {
		known[n.ID] = true
		if n.ID != b.self.ID {
			b.nodes = append(b.nodes, n)
		}
	}
	for id := range b.heard {
		if !known[id] {
			delete(b.heard, id)
		}
	}
}

func (b *peerBook) observe(node cluster.NodeID, demands []Demand, now time.Time) {
	p := peerDemand{at: now, teams: make(map[cluster.TeamID]float64, len(demands))}
	for _, d := range demands {
		p.teams[d.Team] = d.Demand
		p.total += d.Demand
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[node] = p
}

// ofTeam lists all nodes' demand of one team; every node that is not seen keeps a part.
func (b *peerBook) ofTeam(team cluster.TeamID, own float64, now time.Time) []nodeDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]nodeDemand, 0, len(b.nodes)+1)
	out = append(out, nodeDemand{id: b.self.ID, demand: own, seen: true})
	for _, n := range b.nodes {
		p := b.heard[n.ID]
		out = append(out, nodeDemand{id: n.ID, demand: p.teams[team], seen: b.fresh(p, now)})
	}
	return out
}

// ofAll lists the whole demand of the nodes that send to the same replicas. An availability zone of which no node is
// seen is taken to be cut off: it cannot reach the replicas that this node
// still finds whole, and a part kept for it would idle exactly when capacity is
// short. Should it reach them after all, the engines refuse what is too much.
func (b *peerBook) ofAll(own float64, now time.Time) []nodeDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	seenZones := map[cluster.ZoneID]bool{b.self.Zone: true}
	for _, n := range b.nodes {
		if b.fresh(b.heard[n.ID], now) {
			seenZones[n.Zone] = true
		}
	}
	out := []nodeDemand{{id: b.self.ID, demand: own, seen: true}}
	for _, n := range b.nodes {
		if p := b.heard[n.ID]; seenZones[n.Zone] && b.sharesCapacity(n.Zone) {
			out = append(out, nodeDemand{id: n.ID, demand: p.total, seen: b.fresh(p, now)})
		}
	}
	return out
}

func (b *peerBook) fresh(p peerDemand, now time.Time) bool {
	return !p.at.IsZero() && now.Sub(p.at) < b.expiry
}
