package relay

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/reach"
)

func TestNodeThatTakesACallOver(t *testing.T) {
	some := func(room int) reach.Report { return reach.Report{State: reach.Some, Room: room} }
	none := reach.Report{State: reach.None}
	candidate := func(id cluster.NodeID, report reach.Report, rank int) nodeCandidate {
		return nodeCandidate{node: &Node{ID: id}, report: report, rank: rank}
	}
	backedOff := func(c nodeCandidate) nodeCandidate { c.backedOff = true; return c }
	for name, c := range map[string]struct {
		choice nodeChoice
		want   cluster.NodeID
		reason choiceReason
	}{
		"no other node": {},
		"the one that says that it reaches servers": {
			nodeChoice{candidates: []nodeCandidate{candidate("a", none, 0), candidate("b", reach.Report{}, 0), candidate("c", some(0), 7)}}, "c", chosenByReport,
		},
		"the one with the most room": {
			nodeChoice{candidates: []nodeCandidate{candidate("a", some(1), 0), candidate("b", some(8), 5), candidate("c", some(7), 0)}}, "b", chosenByReport,
		},
		"of equal room the better zone": {
			nodeChoice{candidates: []nodeCandidate{candidate("a", some(3), 4), candidate("b", some(3), 1), candidate("c", some(3), 1)}}, "b", chosenByReport,
		},
		"not the one that has just refused": {
			nodeChoice{candidates: []nodeCandidate{backedOff(candidate("a", some(8), 0)), candidate("b", some(1), 4)}}, "b", chosenByReport,
		},
		"nothing known: the best zone, by chance": {
			nodeChoice{candidates: []nodeCandidate{candidate("a", reach.Report{}, 2), candidate("b", reach.Report{}, 1), backedOff(candidate("c", reach.Report{}, 0))}}, "b", chosenByChance,
		},
		"unknown rather than cut off": {
			nodeChoice{candidates: []nodeCandidate{candidate("a", none, 0), candidate("b", reach.Report{}, 7)}, trial: true}, "b", chosenByChance,
		},
		"none once all say that they are cut off": {
			nodeChoice{candidates: []nodeCandidate{candidate("a", none, 0), candidate("b", none, 0)}}, "", "",
		},
		"one all the same for a trial": {
			nodeChoice{candidates: []nodeCandidate{backedOff(candidate("a", none, 0)), candidate("b", none, 0)}, trial: true}, "b", chosenForTrial,
		},
		"no unknown one after many that took no call": {
			nodeChoice{candidates: []nodeCandidate{candidate("a", reach.Report{}, 0)}, exhausted: true}, "", "",
		},
		"one that reaches servers after many that took no call": {
			nodeChoice{candidates: []nodeCandidate{candidate("a", reach.Report{}, 0), candidate("b", some(1), 0)}, exhausted: true}, "b", chosenByReport,
		},
	} {
		t.Run(name, func(t *testing.T) {
			node, reason := c.choice.choose()
			require.Equal(t, c.reason, reason)
			if c.want == "" {
				require.Nil(t, node)
				return
			}
			require.Equal(t, c.want, node.ID)
		})
	}
}

// Guards against a node that says that it has room while its limits are used up.
func TestRoomIsTheFreeShareOfTheLimits(t *testing.T) {
	limits := newConcurrencyLimits()
	require.InDelta(t, 1, limits.room(), 0)
	limits.groups["m"] = &concurrencyLimit{limit: 8, inFlight: 6}
	require.InDelta(t, 0.25, limits.room(), 1e-9)
	limits.groups["unlimited"] = &concurrencyLimit{limit: math.Inf(1), inFlight: 2}
	require.InDelta(t, (6*0.25+2)/8, limits.room(), 1e-9)
	limits.groups["unlimited"].inFlight = 0
	limits.groups["m"].inFlight = 10
	require.InDelta(t, 0, limits.room(), 0)
}
