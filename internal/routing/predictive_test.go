package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

var (
	largeEngine = enginemodel.Profile{Slots: 48, StepsPerPass: 5, PrefillChunk: 512, BaseStep: 6450 * time.Microsecond, StepPerSequence: 94700 * time.Nanosecond,
		StepPerContext: 9600 * time.Nanosecond, PrefillPerSecond: 56100, AttentionPerPairs: 433 * time.Microsecond, TimeFactor: 2, MeanPromptTokens: 1500, MeanOutputTokens: 170}
	smallEngine = enginemodel.Profile{Slots: 20, StepsPerPass: 5, PrefillChunk: 512, BaseStep: 7800 * time.Microsecond, StepPerSequence: 94700 * time.Nanosecond,
		StepPerContext: 9600 * time.Nanosecond, PrefillPerSecond: 45900, AttentionPerPairs: 433 * time.Microsecond, MeanPromptTokens: 750, MeanOutputTokens: 170}
	byLoad      = Weighted{SampleLocal: 8, SampleOther: 8, ZonePenalty: 0.1}
	byPredicted = Predictive{Otherwise: byLoad, ZonePenalty: 5 * time.Millisecond}
)

const reportBudget = 1900

// Guards against choices by requests in flight that are reported late: prompts queue at some replicas
// while others have none to prefill.
func TestPredictedChoicesAreMoreOftenOnTime(t *testing.T) {
	for name, c := range map[string]struct {
		load                play
		gain, behindPerfect float64
	}{
		"75 nodes, 6 replicas":  {play{nodes: 75, size: 6, profile: largeEngine, target: 500 * time.Millisecond, utilization: 0.85}, 0.08, 0.18},
		"28 nodes, 28 replicas": {play{nodes: 28, size: 28, profile: smallEngine, target: 250 * time.Millisecond, utilization: 0.95}, 0.02, 0.3},
	} {
		load, exact := c.load, c.load
		load.policy, load.reportBytes, load.periodic = byLoad, reportBudget, true
		before := load.run(1).onTime
		load.policy, load.periodic = byPredicted, false
		now := load.run(1).onTime
		exact.perfect = true
		best := exact.run(1).onTime
		t.Log(name, before, now, best)
		require.Greater(t, now, before+c.gain, name)
		require.Greater(t, now, best-c.behindPerfect, name)
	}
}

// Guards against reports that are missing or false making more requests late than choices without
// predictions do.
func TestMissingAndFalseReportsDoNoHarm(t *testing.T) {
	load := play{nodes: 75, size: 6, profile: largeEngine, target: 500 * time.Millisecond, utilization: 0.7, policy: byLoad, reportBytes: reportBudget, periodic: true}
	before := load.run(1).onTime
	load.policy, load.periodic = byPredicted, false
	for name, falsify := range map[string]func(int, enginemodel.Work) enginemodel.Work{
		"missing": func(int, enginemodel.Work) enginemodel.Work { return enginemodel.Work{} },
		"huge from a third": func(node int, w enginemodel.Work) enginemodel.Work {
			if node%3 == 0 {
				return enginemodel.Work{Requests: 1 << 30, UnreadTokens: 1 << 40}
			}
			return w
		},
		"negative from a third": func(node int, w enginemodel.Work) enginemodel.Work {
			if node%3 == 0 {
				return enginemodel.Work{Requests: -5, UnreadTokens: -1 << 40}
			}
			return w
		},
	} {
		load.falsify = falsify
		got := load.run(1).onTime
		t.Log(name, before, got)
		require.Greater(t, got, before-0.02, name)
	}
}

// newEngineFleet returns a table with two replicas whose engine figures are known.
func newEngineFleet() *Table {
	table := NewTable(Options{Zone: "a", Policy: byPredicted, PeerExpiry: time.Second, Now: func() time.Time { return start }})
	var entries []Entry
	for _, id := range []cluster.ReplicaID{"r0", "r1"} {
		entries = append(entries, Entry{Replica: cluster.Replica{ID: id, Group: "g", Zone: "a", Generation: 1}, Addr: string(id), Slots: 48, Engine: &largeEngine})
	}
	table.SetReplicas("a", entries)
	table.SetHealthy("r0", 1, true)
	table.SetHealthy("r1", 1, true)
	return table
}

// Guards against the work of a node that fell silent counting for ever, and against unread tokens
// that have been prefilled since they were reported.
func TestOldReportsExpire(t *testing.T) {
	table := newEngineFleet()
	table.ObservePeerWork("n2", "r0", enginemodel.Work{Requests: 10, UnreadTokens: 20_000}, start)
	req := Request{Group: "g", PromptTokens: 1000, OutputTokens: 100}
	first := choose(t, table, start, req)
	require.EqualValues(t, "r1", first.Replica.ID)
	require.EqualValues(t, "r0", choose(t, table, start.Add(peerUnreadExpiry), req).Replica.ID, "r1 has a request, and r0's prompts are read")
	require.Zero(t, table.shard("r0").entries["r0"].peerTotal(start.Add(time.Second), time.Second))
}

// Guards against a false report that keeps requests away from a replica for more than a bounded
// prediction, or attracts them by negative numbers.
func TestReportedWorkIsBounded(t *testing.T) {
	table := newEngineFleet()
	e := table.shard("r0").entries["r0"]
	table.ObservePeerWork("n2", "r0", enginemodel.Work{Requests: 1 << 30, UnreadTokens: 1 << 40}, start)
	require.Equal(t, enginemodel.Work{Requests: maxReportedRequests, UnreadTokens: maxReportedUnread, OutputTokens: maxReportedRequests * 85}, e.totalWork(start, table.opts))
	table.ObservePeerWork("n2", "r0", enginemodel.Work{Requests: -3, UnreadTokens: -9}, start)
	require.Zero(t, e.totalWork(start, table.opts))
}

// Guards against work that stays counted on a replica after its request has ended, in whatever order
// first piece and end are recorded.
func TestOwnWorkEndsWithTheRequest(t *testing.T) {
	table := newEngineFleet()
	req := Request{Group: "g", PromptTokens: 1000, OutputTokens: 100}
	c := choose(t, table, start, req)
	require.Equal(t, enginemodel.Work{Requests: 1, UnreadTokens: 1000, OutputTokens: 100}, table.OwnWork()[c.Replica.ID])
	c.RecordFirstPiece(time.Second)
	c.RecordFirstPiece(time.Second)
	require.Zero(t, table.OwnWork()[c.Replica.ID].UnreadTokens)
	table.EndAt(start, c, Result{OK: true})
	require.Empty(t, table.OwnWork())
	table.EndAt(start, choose(t, table, start, req), Result{})
	for _, id := range []cluster.ReplicaID{"r0", "r1"} {
		require.Zero(t, table.shard(id).entries[id].work)
	}
}

// Guards against engine figures that are wrong by any factor leading to a correction without bounds.
func TestCorrectionIsBounded(t *testing.T) {
	for ratio, want := range map[time.Duration]float64{100: maxCorrection, 1: 1} {
		a := newAccuracy("g")
		for range 1000 {
			a.record(10*time.Millisecond, 10*ratio*time.Millisecond)
		}
		require.InDelta(t, want, a.correction(), 0.01)
		for range 1000 {
			a.record(time.Second, time.Millisecond)
		}
		require.InDelta(t, minCorrection, a.correction(), 0.01)
	}
}
