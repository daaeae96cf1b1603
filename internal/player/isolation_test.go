package player_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/player"
)

// servedFirst returns the share of the calls sent between two moments whose first attempt was
// answered, at the nodes in the set and at the others.
func servedFirst(res *player.Result, from, until time.Duration, nodes map[cluster.NodeID]bool) (inside, outside float64) {
	var sent, served [2]float64
	for _, c := range res.Calls {
		if c.SentAt < from || c.SentAt >= until {
			continue
		}
		group := 0
		if nodes[c.Node] {
			group = 1
		}
		sent[group]++
		if c.FirstServed {
			served[group]++
		}
	}
	return served[1] / max(sent[1], 1), served[0] / max(sent[0], 1)
}

// Guards against nodes that refuse their callers because they reach no backend server, while
// other nodes do.
func TestCallersOfIsolatedNodesAreServed(t *testing.T) {
	const begin, length, settled = 4 * time.Second, 8 * time.Second, 3 * time.Second
	zone := make([]cluster.NodeID, 12) // a whole zone of 12 nodes of 36
	for i := range zone {
		zone[i] = cluster.NodeID(fmt.Sprint("a-", i))
	}
	for _, c := range []struct {
		scenario string
		isolated []cluster.NodeID
	}{
		{"overload", []cluster.NodeID{"a-0"}},
		{"overload", []cluster.NodeID{"a-0", "a-1"}},
		{"overload", []cluster.NodeID{"a-0", "a-1", "b-0"}},
		{"many-nodes", zone},
	} {
		for _, refuse := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%d/refuse=%t", c.scenario, len(c.isolated), refuse), func(t *testing.T) {
				s := load(t, c.scenario)
				s.Bursts, s.Length = nil, 14*time.Second
				s.Faults = []player.Fault{{Kind: player.IsolateNodes, At: begin, Duration: length, Count: len(c.isolated), Refuse: refuse}}
				res := simulate(t, s, player.Options{Seed: 1})
				nodes := make(map[cluster.NodeID]bool)
				for _, id := range c.isolated {
					nodes[id] = true
				}
				inside, outside := servedFirst(res, begin+settled, begin+length, nodes)
				t.Logf("first attempts served: %.3f at isolated nodes, %.3f at the others", inside, outside)
				require.GreaterOrEqual(t, inside, outside*2/3)
				after, others := servedFirst(res, begin+length+time.Second, s.Length, nodes)
				require.GreaterOrEqual(t, after, others*2/3, "after the path is back")
			})
		}
	}
}

// Guards against callers who wait for a refusal that all nodes know of, and calls passed from node to node, while no node reaches a server.
func TestCallersAreRefusedAtOnceWhenNoNodeReachesServers(t *testing.T) {
	const begin, length, settled, known = 4 * time.Second, 8 * time.Second, 3 * time.Second, 100 * time.Millisecond
	for name, nodes := range map[string]int{"overload": 4, "few-large-many-small": 28} {
		for _, refuse := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/refuse=%t", name, refuse), func(t *testing.T) {
				t.Parallel()
				s := load(t, name)
				s.Bursts, s.Length = nil, 18*time.Second
				s.Faults = []player.Fault{{Kind: player.IsolateNodes, At: begin, Duration: length, Count: nodes, Refuse: refuse}}
				res := simulate(t, s, player.Options{Seed: 1})
				calls, slowest := 0, time.Duration(0)
				for _, c := range res.Calls {
					if c.SentAt < begin+settled || c.SentAt >= begin+length-settled {
						continue
					}
					calls++
					slowest = max(slowest, c.RefusedAfter)
					require.NotEqual(t, player.Failed, c.Outcome, "%+v", c)
				}
				_, served := servedFirst(res, begin+length+2*time.Second, s.Length, nil)
				t.Logf("%d calls, slowest refusal %v, %d hand-overs, %.3f served afterwards", calls, slowest, res.HandOvers, served)
				require.LessOrEqual(t, slowest, known)
				require.LessOrEqual(t, float64(res.HandOvers), 1.2*float64(len(res.Calls)))
				require.GreaterOrEqual(t, served, 0.9)
			})
		}
	}
}
