package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// score ranks a node for a key by rendezvous hashing: when a node leaves, only its own
// keys move.
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

// rank returns how many of the nodes come before self for the key, or the number of nodes
// if self is not among them.
func rank(nodes []cluster.NodeID, self cluster.NodeID, key string) int {
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

// eligibleNodes returns the nodes of this zone that can be responsible for a task.
func (s *State) eligibleNodes() []cluster.NodeID {
	var nodes []cluster.NodeID
	if !s.self.Leaving && !s.duplicate.superseded {
		nodes = append(nodes, s.self.Node)
	}
	for _, m := range s.order {
		if m.zone == s.self.Zone && m.status == Alive && !m.leaving {
			nodes = append(nodes, m.node)
		}
	}
	return nodes
}

// Joined reports whether the node has heard a peer of its zone or waited long enough to
// assume that there is none. Until then it is responsible for no task: after an outage all
// nodes start at once, and each would otherwise take every task of its zone and overload
// the platform.
func (s *State) Joined(now time.Time) bool {
	if now.Sub(s.started) >= s.timing.SuspectAfter || len(s.seeds) == 0 {
		return true
	}
	return slices.ContainsFunc(s.order, func(m *member) bool { return m.zone == s.self.Zone && m.status == Alive })
}

// Responsible reports whether this node is one of the n nodes of its zone responsible for
// the named task. Nodes with different views may temporarily exceed n or fall short of it.
func (s *State) Responsible(name string, n int, now time.Time) bool {
	if !s.Joined(now) {
		return false
	}
	nodes := s.eligibleNodes()
	return rank(nodes, s.self.Node, name) < min(n, len(nodes))
}

// Owner returns the node of this zone that ranks highest for the key; empty if no node is
// eligible.
func (s *State) Owner(key string) cluster.NodeID {
	var owner cluster.NodeID
	for _, n := range s.eligibleNodes() {
		if owner == "" || outranks(n, owner, key) {
			owner = n
		}
	}
	return owner
}

// Rank returns this node's rank among the eligible nodes of its zone for the key; 0 is the
// owner. A node that is not eligible comes after all others.
func (s *State) Rank(key string) int { return rank(s.eligibleNodes(), s.self.Node, key) }
