package membership

import (
	"slices"
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

// outranks reports whether a comes before b for the key.
func outranks(a, b cluster.NodeID, key string) bool {
	sa, sb := score(a, key), score(b, key)
	if sa != sb {
		return sa > sb
	}
	return a < b
}

// place returns how many of the nodes come before self for the key; all of them
// when self is not among them.
func place(nodes []cluster.NodeID, self cluster.NodeID, key string) int {
	before, present := 0, false
	for _, n := range nodes {
		switch {
		case n == self:
			present = true
		case outranks(n, self, key):
			before++
		}
	}
	if !present {
		return len(nodes)
	}
	return before
}

// dutyNodes are the nodes of the own zone that may hold duties.
func (s *State) dutyNodes() []cluster.NodeID {
	var nodes []cluster.NodeID
	if !s.self.Leaving && !s.namesake.superseded {
		nodes = append(nodes, s.self.Node)
	}
	for _, m := range s.order {
		if m.zone == s.self.Zone && m.status == Alive && !m.leaving {
			nodes = append(nodes, m.node)
		}
	}
	return nodes
}

// Joined reports whether the node has heard a peer of its zone or waited long
// enough to take itself for alone. Before that it holds no duty: after an outage
// all nodes return at once, and each would otherwise take every duty of its zone
// and press on the platform.
func (s *State) Joined(now time.Time) bool {
	if now.Sub(s.started) >= s.timing.SuspectAfter || len(s.seeds) == 0 {
		return true
	}
	return slices.ContainsFunc(s.order, func(m *member) bool { return m.zone == s.self.Zone && m.status == Alive })
}

// Responsible reports whether this node is among the n holders of a duty in its zone.
// Two nodes with different views may both hold it, or for a moment none.
func (s *State) Responsible(name string, n int, now time.Time) bool {
	if !s.Joined(now) {
		return false
	}
	nodes := s.dutyNodes()
	return place(nodes, s.self.Node, name) < min(n, len(nodes))
}

// Owner returns the node of this zone that ranks highest for the key; empty when
// none may hold it.
func (s *State) Owner(key string) cluster.NodeID {
	var owner cluster.NodeID
	for _, n := range s.dutyNodes() {
		if owner == "" || outranks(n, owner, key) {
			owner = n
		}
	}
	return owner
}

// Rank returns this node's place among the live nodes of its zone for the key, 0
// being the owner. A node that may hold no duty comes after all others.
func (s *State) Rank(key string) int { return place(s.dutyNodes(), s.self.Node, key) }
