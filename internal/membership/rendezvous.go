package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// score ranks a node for a key: rendezvous hashing. When a node goes, only the
// keys it held move.
func score(node cluster.NodeID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(node))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// holders returns the n nodes of the list that rank highest for the key.
func holders(nodes []cluster.NodeID, key string, n int) []cluster.NodeID {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b cluster.NodeID) int {
		sa, sb := score(a, key), score(b, key)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return strings.Compare(string(a), string(b))
		}
	})
	return ranked[:min(n, len(ranked))]
}

// dutyNodes are the nodes of the own zone that may hold duties.
func (s *State) dutyNodes() []cluster.NodeID {
	var nodes []cluster.NodeID
	if !s.self.Leaving && !s.superseded {
		nodes = append(nodes, s.self.Node)
	}
	for _, m := range s.order {
		if m.zone == s.self.Zone && m.status == Alive && !m.leaving {
			nodes = append(nodes, m.node)
		}
	}
	return nodes
}

// Settled reports whether the node has heard a peer of its zone or waited long
// enough to take itself for alone. Before that it holds no duty: after an outage
// all nodes return at once, and each would otherwise take every duty of its zone
// and press on the platform.
func (s *State) Settled(now time.Time) bool {
	if now.Sub(s.started) >= s.timing.SuspectAfter || len(s.seeds) == 0 {
		return true
	}
	return slices.ContainsFunc(s.order, func(m *member) bool { return m.zone == s.self.Zone && m.status == Alive })
}

// Duty reports whether this node is among the n holders of a duty in its zone.
// Two nodes with different views may both hold it, or for a moment none.
func (s *State) Duty(name string, n int, now time.Time) bool {
	if !s.Settled(now) {
		return false
	}
	return slices.Contains(holders(s.dutyNodes(), name, n), s.self.Node)
}

// Owner returns the node of this zone that ranks highest for the key; empty when
// none may hold it.
func (s *State) Owner(key string) cluster.NodeID {
	owner := holders(s.dutyNodes(), key, 1)
	if len(owner) == 0 {
		return ""
	}
	return owner[0]
}

// Rank returns this node's place among the live nodes of its zone for the key, 0
// being the owner. A node that may hold no duty comes after all others.
func (s *State) Rank(key string) int {
	nodes := s.dutyNodes()
	if at := slices.Index(holders(nodes, key, len(nodes)), s.self.Node); at >= 0 {
		return at
	}
	return len(nodes)
}
