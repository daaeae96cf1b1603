package admission

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Node identifies a fenneld process and its zone.
type Node struct {
	ID   cluster.NodeID
	Zone cluster.ZoneID
}

// Demand is one team's demand at one node, as exchanged between nodes.
type Demand struct {
	Team cluster.TeamID
	// Demand is the number of waiting and running requests, averaged over a few
	// seconds.
	Demand   float64
	InFlight int
}

// peerTable holds the demands reported by the other nodes. Gossip and refreshes access
// it a few times per second; requests do not access it individually.
type peerTable struct {
	self   Node
	expiry time.Duration
	// sharesCapacity reports whether the nodes of a zone send to the same replicas as
	// self.
	sharesCapacity func(cluster.ZoneID) bool

	mu      sync.Mutex
	nodes   []Node // all nodes except self
	demands map[cluster.NodeID]peerDemand
}

type peerDemand struct {
	at    time.Time
	teams map[cluster.TeamID]float64
	total float64
}

func (t *peerTable) setNodes(nodes []Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = t.nodes[:0]
	known := map[cluster.NodeID]bool{}
	for _, n := range nodes {
		known[n.ID] = true
		if n.ID != t.self.ID {
			t.nodes = append(t.nodes, n)
		}
	}
	for id := range t.demands {
		if !known[id] {
			delete(t.demands, id)
		}
	}
}

func (t *peerTable) observe(node cluster.NodeID, demands []Demand, now time.Time) {
	reported := peerDemand{at: now, teams: make(map[cluster.TeamID]float64, len(demands))}
	for _, d := range demands {
		reported.teams[d.Team] = d.Demand
		reported.total += d.Demand
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demands[node] = reported
}

// teamDemands returns every node's demand of one team. Nodes that are not seen stay
// listed and so keep their part of the limit.
func (t *peerTable) teamDemands(team cluster.TeamID, own float64, now time.Time) []nodeDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]nodeDemand, 0, len(t.nodes)+1)
	out = append(out, nodeDemand{id: t.self.ID, demand: own, seen: true})
	for _, n := range t.nodes {
		p := t.demands[n.ID]
		out = append(out, nodeDemand{id: n.ID, demand: p.teams[team], seen: t.fresh(p, now)})
	}
	return out
}

// totalDemands returns the total demand of the nodes that send to the same replicas. A
// zone without any seen node is assumed to be partitioned: it cannot reach the replicas
// that are ready from here, and capacity reserved for it would idle exactly when
// capacity is short. If it does reach them, the engines refuse the excess.
func (t *peerTable) totalDemands(own float64, now time.Time) []nodeDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	seenZones := map[cluster.ZoneID]bool{t.self.Zone: true}
	for _, n := range t.nodes {
		if t.fresh(t.demands[n.ID], now) {
			seenZones[n.Zone] = true
		}
	}
	out := []nodeDemand{{id: t.self.ID, demand: own, seen: true}}
	for _, n := range t.nodes {
		if p := t.demands[n.ID]; seenZones[n.Zone] && t.sharesCapacity(n.Zone) {
			out = append(out, nodeDemand{id: n.ID, demand: p.total, seen: t.fresh(p, now)})
		}
	}
	return out
}

func (t *peerTable) fresh(p peerDemand, now time.Time) bool {
	return !p.at.IsZero() && now.Sub(p.at) < t.expiry
}
