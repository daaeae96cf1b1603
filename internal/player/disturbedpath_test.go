package player_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/player"
)

const (
	disturbedFrom, disturbedFor = 3 * time.Second, 6 * time.Second
	// noticed is the time after which nodes know that their path is lost, or back.
	noticed = 2500 * time.Millisecond
	// roomUsed is how many of the calls must be served if any node reaches the servers: they have room
	// for all. refusedWithin is how long a caller may wait for a refusal that is known.
	roomUsed      = 0.95
	refusedWithin = 100 * time.Millisecond
	// handOversPerCall is how often a call may be offered to other nodes.
	handOversPerCall = 1.2
)

// disturbedPath is what callers get while some nodes' path to the servers is disturbed.
type disturbedPath struct {
	// cut, others and all are the shares of calls that are served at nodes whose path is disturbed, at
	// the others and at all; back is that of all once the path is back.
	cut, others, all, back float64
	// handOvers is how often a call at a disturbed node was offered to others, slowest the longest
	// time until a refusal.
	handOvers float64
	slowest   time.Duration
}

// disturb plays a scenario in which the first count nodes have a disturbed path.
func disturb(t *testing.T, scenario string, count int, f player.Fault) (got disturbedPath) {
	s := load(t, scenario)
	s.Bursts, s.Length = nil, disturbedFrom+disturbedFor+noticed+time.Second
	f.Kind, f.At, f.Duration, f.Count = player.IsolateNodes, disturbedFrom, disturbedFor, count
	s.Faults = []player.Fault{f}
	disturbed := make(map[cluster.NodeID]bool)
	for _, z := range s.Zones {
		for i := range z.Nodes {
			if len(disturbed) < count {
				disturbed[cluster.NodeID(fmt.Sprintf("%s-%d", z.Name, i))] = true
			}
		}
	}
	res := simulate(t, s, player.Options{Seed: 1})
	got.cut, got.others = served(res, disturbedFrom+noticed, disturbedFrom+disturbedFor, func(c player.CallResult) bool { return disturbed[c.Node] }),
		served(res, disturbedFrom+noticed, disturbedFrom+disturbedFor, func(c player.CallResult) bool { return !disturbed[c.Node] })
	got.all = served(res, disturbedFrom+noticed, disturbedFrom+disturbedFor, func(player.CallResult) bool { return true })
	got.back = served(res, disturbedFrom+disturbedFor+noticed, s.Length, func(player.CallResult) bool { return true })
	arrived := 0
	for _, c := range res.Calls {
		if disturbed[c.Node] && c.SentAt >= disturbedFrom && c.SentAt < disturbedFrom+disturbedFor {
			arrived++
		}
		if c.SentAt >= disturbedFrom+noticed && c.SentAt < disturbedFrom+disturbedFor-noticed {
			got.slowest = max(got.slowest, c.RefusedAfter)
		}
	}
	got.handOvers = float64(res.HandOvers) / float64(max(res.HandedOver, arrived))
	return got
}

// served returns the share of the calls sent between two moments that were answered.
func served(res *player.Result, from, until time.Duration, counts func(player.CallResult) bool) float64 {
	calls, answered := 0.0, 0.0
	for _, c := range res.Calls {
		if c.SentAt < from || c.SentAt >= until || !counts(c) {
			continue
		}
		calls++
		if c.Outcome == player.OnTime || c.Outcome == player.Late {
			answered++
		}
	}
	return answered / max(calls, 1)
}

// requireServed checks what holds whatever the share of the nodes and the disturbance.
func (got disturbedPath) requireServed(t *testing.T, reached bool, f player.Fault) {
	t.Logf("%+v", got)
	require.GreaterOrEqual(t, got.back, roomUsed, "once the path is back")
	if reached {
		require.GreaterOrEqual(t, got.all, roomUsed)
	}
	if f.Factor == 0 {
		require.LessOrEqual(t, got.slowest, refusedWithin)
	}
}

// Guards against nodes that serve less than the others' room allows, pass calls around or refuse late, whatever share of the nodes loses its path and however.
func TestCallersOfNodesWithADisturbedPath(t *testing.T) {
	hang, refuse, oneWay, lossy := player.Fault{}, player.Fault{Refuse: true}, player.Fault{OneWay: true}, player.Fault{Factor: 1. / 3}
	for _, c := range []struct {
		scenario string
		nodes    int
		counts   []int
		faults   []player.Fault
	}{
		{"overload", 4, []int{1, 2, 3, 4}, []player.Fault{hang, refuse, oneWay, lossy}},
		{"few-large-many-small", 28, []int{1, 14}, []player.Fault{hang}},
		{"few-large-many-small", 28, []int{14}, []player.Fault{oneWay, lossy}},
	} {
		for _, f := range c.faults {
			for _, count := range c.counts {
				t.Run(fmt.Sprintf("%d of %d/refuse=%t one way=%t loss=%.2f", count, c.nodes, f.Refuse, f.OneWay, f.Factor), func(t *testing.T) {
					t.Parallel()
					got := disturb(t, c.scenario, count, f)
					got.requireServed(t, count < c.nodes, f)
					require.LessOrEqual(t, got.handOvers, handOversPerCall)
				})
			}
		}
	}
}

// Guards against calls that are passed from node to node until they meet the only one of many that reaches servers.
func TestCallsFindTheOnlyNodeThatReachesServers(t *testing.T) {
	got := disturb(t, "few-large-many-small", 27, player.Fault{})
	got.requireServed(t, true, player.Fault{})
	require.LessOrEqual(t, got.handOvers, handOversPerCall)
}
