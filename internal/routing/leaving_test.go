package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Guards against a zone that gets more than it can serve keeping its requests while others have room,
// against traffic between zones that gains nothing, and against neighbours that become late for it.
func TestRequestsLeaveACrowdedZone(t *testing.T) {
	load := play{nodes: 27, size: 27, profile: smallEngine, target: 250 * time.Millisecond, utilization: 0.8, zones: 3, delay: 4400 * time.Microsecond,
		reportBytes: reportBudget, policy: byPredicted, leave: true, skew: 1.0001}
	even := load.run(1)
	load.skew = 2
	uneven := load.run(1)
	load.policy, load.leave, load.periodic = byLoad, false, true
	before := load.run(1)
	t.Log(even, uneven, before)
	require.Greater(t, even.local, before.local)
	require.Greater(t, uneven.onTime, before.onTime-0.01)
	require.Greater(t, uneven.local, before.local+0.1)
	require.Less(t, uneven.zoneLocal[0], 0.85, "the crowded zone cannot serve all")
	for _, zone := range []int{1, 2} {
		require.Greater(t, uneven.zoneOnTime[zone], 0.97, "neighbours")
	}
}

// Guards against a flow that starts for small gains, swings, or ignores the price.
func TestLeavingPays(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		home, away, target time.Duration
		crowded, flowing   bool
		want               bool
	}{
		{home: 90 * ms, away: 20 * ms, target: 500 * ms},
		{home: 300 * ms, away: 280 * ms, target: 500 * ms},
		{home: 300 * ms, away: 200 * ms, target: 500 * ms, want: true},
		{home: 150 * ms, away: 110 * ms, target: 500 * ms},
		{home: 150 * ms, away: 110 * ms, target: 500 * ms, flowing: true, want: true},
		{home: 90 * ms, away: 80 * ms, target: 500 * ms, crowded: true, want: true},
		{home: 90 * ms, away: 100 * ms, target: 500 * ms, crowded: true},
		{home: 300 * ms, away: 200 * ms, want: true},
	} {
		require.Equal(t, c.want, pays(c.home, c.away, c.target, c.crowded, c.flowing), "%+v", c)
	}
	l := Leaving{Delay: func(cluster.ZoneID) (time.Duration, bool) { return 4 * ms, true }, Price: 2, Nodes: func() int { return 3 }}
	require.Equal(t, 108*ms, l.cost("b", Request{Bytes: 50_000}))
}

// Guards against nodes that together fill the room of a zone many times over, or each send many
// requests to a zone whose load they do not know.
func TestNodesShareTheRoomOfAZone(t *testing.T) {
	candidate := func(own int, load float64, known bool) Candidate {
		return Candidate{Zone: "b", Healthy: true, Own: own, Load: load, Capacity: 20, LoadKnown: known}
	}
	l := Leaving{Nodes: func() int { return 12 }}
	for _, c := range []struct {
		others []Candidate
		want   bool
	}{
		{[]Candidate{candidate(0, 0, false)}, true},
		{[]Candidate{candidate(1, 1, false)}, false},
		{[]Candidate{candidate(1, 7, true)}, true}, // 12 for 6 nodes
		{[]Candidate{candidate(2, 8, true)}, false},
		{[]Candidate{candidate(0, 18, true)}, false},
		{[]Candidate{candidate(2, 8, true), candidate(0, 0, false)}, true}, // the second one like the first
	} {
		require.Equal(t, c.want, l.flows(c.others)[0].mayGrow(), "%+v", c.others)
	}
}

// Guards against requests that fail or wait because their own zone is evacuated, cut off or cold.
func TestWithoutReplicasAtHomeRequestsLeave(t *testing.T) {
	table := newEngineFleet()
	table.opts.Zone = "b"
	policy := byPredicted
	policy.Leaving = &Leaving{Delay: func(cluster.ZoneID) (time.Duration, bool) { return time.Millisecond, true }, Nodes: func() int { return 30 }}
	table.opts.Policy = policy
	for range 20 {
		c := choose(t, table, start, Request{Group: "g", PromptTokens: 100, OutputTokens: 100, Target: time.Second})
		require.Equal(t, ReasonNoHome, c.Reason)
	}
}
