package membership

import (
	"math"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

const (
	// maxRankedNodes is the number of nodes of a zone up to which they know each other well enough,
	// within the budget of heartbeats, to agree which of them ranks first for a key.
	maxRankedNodes = 80
	// knownShare is the part of the zone's nodes that a node must know to rank itself, and
	// newShare the largest part of those that it may have got to know within settleTime.
	knownShare = 15.0 / 16
	newShare   = 1.0 / 32
	// standingTime is how long after it was last heard or added a member keeps its rank.
	standingTime = 30 * time.Second
)

// Standing returns this node's rank for the key among the nodes of its zone, and their number; 0 nodes
// while it learns which ones there are. Nodes that are silent for a moment or not yet heard
// count, so that fewer nodes than with Rank take themselves for the first one. In a zone of more
// than maxRankedNodes the seeds, which all nodes know, rank before all others, whether they run or
// not. A node that has heard no other does not know whether it is one of many, unless it is a seed.
func (s *State) Standing(key string, now time.Time) (rank, nodes int) {
	if s.self.Leaving || s.duplicate.superseded {
		return 0, 0
	}
	nodes, added := 1, 0
	for _, m := range s.order {
		if !s.mayRun(m, now) {
			continue
		}
		nodes++
		if now.Sub(m.added) < settleTime {
			added++
		}
		if outranks(m.node, s.self.Node, key) {
			rank++
		}
	}
	large := s.zonePeak(now) > maxRankedNodes
	switch age := now.Sub(s.started); {
	case len(s.seeds) == 0:
		return rank, nodes
	case age < settleTime, nodes == 1 && age < s.timing.SuspectAfter:
		return 0, 0
	case nodes == 1 && s.isSeed: // all others would have sent it their heartbeats
		return 0, 1
	case nodes == 1:
		return maxMembers - 1, maxMembers
	case large && s.isSeed:
		return s.seedsBefore(s.self.DatagramAddr, key), maxMembers
	case large:
		return min(len(s.seeds)+rank, maxMembers-1), maxMembers
	case added > max(1, int(newShare*float64(nodes))), float64(nodes) < knownShare*float64(s.said.nodes(now)):
		return 0, 0
	}
	return rank, nodes
}

// mayRun reports whether a member of this zone is running as far as this node knows.
func (s *State) mayRun(m *member, now time.Time) bool {
	return s.inOwnZone(m) && !m.leaving && now.Sub(m.lastSeen()) < standingTime
}

// runningNodes returns the number of nodes of this zone that may be running, this one included.
func (s *State) runningNodes(now time.Time) (count int) {
	count = 1
	for _, m := range s.order {
		if s.mayRun(m, now) {
			count++
		}
	}
	return count
}

// zonePeak returns the largest number of nodes of this zone that is known of lately, those that have gone
// since included.
func (s *State) zonePeak(now time.Time) int {
	known := 1
	for _, m := range s.order {
		if s.inOwnZone(m) {
			known++
		}
	}
	return max(known, s.said.peak(now))
}

// seedsBefore returns how many other seeds come before the one with the address for the key.
func (s *State) seedsBefore(addr, key string) (before int) {
	for _, seed := range s.seeds {
		if outranks(cluster.NodeID(seed), cluster.NodeID(addr), key) {
			before++
		}
	}
	return before
}

const (
	// zoneSizeTime is how long the number counts that another node says it knows.
	zoneSizeTime = 8 * time.Second
	// peakHalfLife is the time in which the largest known number falls by half. It is passed on from
	// node to node and would otherwise never fall.
	peakHalfLife = 10 * time.Minute
)

// zoneSize is the size of a zone as other nodes say: how many nodes they know themselves, and the
// largest number that any of them knows of.
type zoneSize struct {
	recent, before int
	periodFrom     time.Time
	largest        float64
	largestAt      time.Time
}

func (z *zoneSize) observe(nodes, peak int, now time.Time) {
	z.advance(now)
	z.recent = max(z.recent, min(nodes, maxMembers))
	if known := min(max(nodes, peak), maxMembers); known > z.peak(now) {
		z.largest, z.largestAt = float64(known), now
	}
}

// advance begins a new period if the current one is over.
func (z *zoneSize) advance(now time.Time) {
	switch age := now.Sub(z.periodFrom); {
	case age >= 2*zoneSizeTime:
		z.recent, z.before, z.periodFrom = 0, 0, now
	case age >= zoneSizeTime:
		z.recent, z.before, z.periodFrom = 0, z.recent, now
	}
}

// nodes returns the largest number of nodes that another node said within zoneSizeTime that it knows.
func (z *zoneSize) nodes(now time.Time) int {
	z.advance(now)
	return max(z.recent, z.before)
}

// peak returns the largest number known of lately.
func (z *zoneSize) peak(now time.Time) int {
	halvings := now.Sub(z.largestAt).Seconds() / peakHalfLife.Seconds()
	return int(z.largest * math.Exp2(-halvings))
}
