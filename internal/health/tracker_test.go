package health

import (
	"maps"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

var (
	testBounds  = DefaultBounds()
	testStart   = time.Unix(1_000_000, 0)
	testReplica = cluster.Replica{
		ID: "r1", Group: "g", Zone: "z", Generation: 2,
		Members: []cluster.VMID{"a", "b", "c"}, Serving: "a",
	}
)

// stateOf returns the engine state of a replica whose members all confirm it.
func stateOf(r cluster.Replica) engine.State {
	state := engine.State{
		VM: r.Serving, Loaded: true,
		Assignment: engine.Assignment{Replica: r.ID, Generation: r.Generation, Role: engine.RoleServing},
	}
	for _, vm := range r.Members {
		state.Members = append(state.Members, engine.MemberDigest{VM: vm, Replica: r.ID, Generation: r.Generation, SeenAgoMs: 100})
	}
	return state
}

func pollResult(state engine.State, at time.Time) PollResult {
	return PollResult{Replica: testReplica.ID, Generation: testReplica.Generation, Sent: at, State: state}
}

// healthyTracker returns a tracker with one replica, confirmed at testStart.
func healthyTracker(t *testing.T) *Tracker {
	tracker := NewTracker(testBounds)
	require.Empty(t, tracker.SetReplicas([]cluster.Replica{testReplica}, testStart))
	got := tracker.HandlePollResult(pollResult(stateOf(testReplica), testStart), testStart)
	require.Equal(t, []Transition{{Replica: testReplica, Healthy: true, Reason: "all members confirm"}}, got)
	return tracker
}

// A member of a serving replica is lost, resumes after a pause with an old assignment, is
// removed or is not heard from. A request sent there would wait for tokens that never
// come, so the replica must become unhealthy with the first evidence.
func TestMissingOrDisagreeingMemberMakesReplicaUnhealthy(t *testing.T) {
	at := testStart.Add(time.Second)
	edit := func(change func(s *engine.State)) engine.State {
		s := stateOf(testReplica)
		change(&s)
		return s
	}
	results := map[string]PollResult{
		"serving VM silent":          {Replica: "r1", Generation: 2, Sent: at, Err: errors.New("timeout")},
		"another VM at the address":  pollResult(edit(func(s *engine.State) { s.VM = "x" }), at),
		"serving VM restarted":       pollResult(edit(func(s *engine.State) { s.Assignment = engine.Assignment{Role: engine.RoleIdle} }), at),
		"serving VM in old state":    pollResult(edit(func(s *engine.State) { s.Assignment.Generation = 1 }), at),
		"serving VM still loading":   pollResult(edit(func(s *engine.State) { s.Loaded = false }), at),
		"member missing":             pollResult(edit(func(s *engine.State) { s.Members = s.Members[:2] }), at),
		"member in old generation":   pollResult(edit(func(s *engine.State) { s.Members[1].Generation = 1 }), at),
		"member in another replica":  pollResult(edit(func(s *engine.State) { s.Members[2].Replica = "r9" }), at),
		"member not heard for long":  pollResult(edit(func(s *engine.State) { s.Members[2].SeenAgoMs = 3001 }), at),
		"negative age of the member": pollResult(edit(func(s *engine.State) { s.Members[2].SeenAgoMs = -1 }), at),
	}
	for name, a := range maps.Clone(results) {
		if a.Err == nil {
			brief := a
			brief.State = a.State.Brief()
			results["brief: "+name] = brief
		}
	}
	delete(results, "brief: negative age of the member") // a summary holds only the largest age
	for name, a := range results {
		t.Run(name, func(t *testing.T) {
			tracker := healthyTracker(t)
			got := tracker.HandlePollResult(a, at)
			require.Len(t, got, 1)
			require.False(t, got[0].Healthy, got[0].Reason)
			require.False(t, tracker.Healthy("r1", 2, at))
			// A response to a request does not make it healthy; a newer digest of all members does.
			require.Empty(t, tracker.ConfirmServing("r1", 2, at, at))
			again := at.Add(time.Second)
			require.Len(t, tracker.HandlePollResult(pollResult(stateOf(testReplica), again), again), 1)
			require.True(t, tracker.Healthy("r1", 2, again))
		})
	}
}

// The platform announces the removal of a VM, or the lease holder drains or regroups the
// replica. New requests must stop within seconds although all VMs still respond.
func TestLeavingDrainedOrRegroupedReplicaIsUnhealthy(t *testing.T) {
	at := testStart.Add(time.Second)
	t.Run("member leaving", func(t *testing.T) {
		tracker := healthyTracker(t)
		got := tracker.SetVMs(cluster.VMList{AsOf: at, VMs: []cluster.VM{{ID: "b", State: cluster.VMLeaving}}}, at)
		require.Equal(t, []Transition{{Replica: testReplica, Reason: "VM b is leaving"}}, got)
		require.Empty(t, tracker.HandlePollResult(pollResult(stateOf(testReplica), at), at))
	})
	t.Run("drained", func(t *testing.T) {
		tracker := healthyTracker(t)
		r := testReplica
		r.Leaving = true
		require.Len(t, tracker.SetReplicas([]cluster.Replica{r}, at), 1)
	})
	t.Run("new generation", func(t *testing.T) {
		tracker := healthyTracker(t)
		r := testReplica
		r.Generation = 3
		require.Len(t, tracker.SetReplicas([]cluster.Replica{r}, at), 1)
		// A poll sent before the change, a late response and a peer's old report
		// refer to generation 2 and must not confirm generation 3.
		require.Empty(t, tracker.HandlePollResult(pollResult(stateOf(testReplica), at), at))
		require.Empty(t, tracker.ConfirmServing("r1", 2, at, at))
		require.Empty(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: at}}, at))
		late := PollResult{Replica: "r1", Generation: 3, Sent: at, State: stateOf(testReplica)}
		require.Empty(t, tracker.HandlePollResult(late, at))
		require.False(t, tracker.Healthy("r1", 3, at))
	})
	t.Run("broken up", func(t *testing.T) {
		tracker := healthyTracker(t)
		require.Equal(t, []Transition{{Replica: testReplica, Reason: "broken up"}}, tracker.SetReplicas(nil, at))
	})
}

// No source reports any more: the polling node failed and peers are partitioned. A replica
// without a confirmation within MaxAge must not get requests.
func TestConfirmationExpires(t *testing.T) {
	tracker := healthyTracker(t)
	confirmed := testStart.Add(-100 * time.Millisecond)
	require.Empty(t, tracker.Expire(confirmed.Add(testBounds.MaxAge)))
	require.Len(t, tracker.Expire(confirmed.Add(testBounds.MaxAge+1)), 1)

	// Responses to requests confirm the replica, but only up to the maximum digest age.
	tracker = healthyTracker(t)
	for at := testStart; at.Before(confirmed.Add(testBounds.MaxDigestAge)); at = at.Add(time.Second) {
		require.Empty(t, tracker.ConfirmServing("r1", 2, at, at))
	}
	end := confirmed.Add(testBounds.MaxDigestAge + 1)
	got := tracker.ConfirmServing("r1", 2, end, end)
	require.Len(t, got, 1)
	require.Equal(t, "members not confirmed for too long", got[0].Reason)
}

// A busy engine answers a poll too late while it generates tokens. The replica works and
// must stay healthy.
func TestSlowPollOfWorkingReplica(t *testing.T) {
	tracker := healthyTracker(t)
	sent, now := testStart.Add(time.Second), testStart.Add(3*time.Second)
	tracker.ConfirmServing("r1", 2, now, now)
	require.Empty(t, tracker.HandlePollResult(PollResult{Replica: "r1", Generation: 2, Sent: sent, Err: errors.New("timeout")}, now))
	require.True(t, tracker.Healthy("r1", 2, now))
}

// Peers divide the polls among themselves. A failure reported by one peer counts
// immediately and is not reported further as this node's own; an older confirmation does
// not cancel it.
func TestPeerObservations(t *testing.T) {
	tracker := healthyTracker(t)
	at := testStart.Add(time.Second)
	got := tracker.Observe([]Observation{{Replica: "r1", Generation: 2, BrokenAt: at}}, at)
	require.Len(t, got, 1)
	require.True(t, tracker.appendStatus(nil, at)[0].OwnBrokenAt.IsZero())
	require.Empty(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: at}}, at.Add(1)))
	newer := at.Add(time.Millisecond)
	load := &engine.Load{AsOf: newer, Running: 3}
	require.Len(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: newer, Load: load}}, newer), 1)
	require.Equal(t, 3, tracker.appendStatus(nil, newer)[0].Load.Running)
}

// A node saw a replica fail while it was forming, and another node is responsible for its
// polls since. The first node repeats its old report, which must not make the replica
// unhealthy each time, or callers find no capacity for minutes.
func TestRepeatedReportOfOldBreakIsIgnored(t *testing.T) {
	tracker := healthyTracker(t)
	old := testStart.Add(-time.Second)
	for i := range 5 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		require.Empty(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, BrokenAt: old}}, now))
	}

	reporter := NewTracker(testBounds)
	reporter.SetReplicas([]cluster.Replica{testReplica}, testStart)
	partial := stateOf(testReplica)
	partial.Members = partial.Members[:2]
	reporter.HandlePollResult(pollResult(partial, testStart), testStart)
	require.Equal(t, testStart, reporter.appendStatus(nil, testStart)[0].OwnBrokenAt)
	newer := testStart.Add(time.Second)
	reporter.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: newer}}, newer)
	require.True(t, reporter.appendStatus(nil, newer)[0].OwnBrokenAt.IsZero(), "the report is obsolete")
}

// A peer's confirmation that is not newer than a failure must not keep this node from
// reporting the failure to its peers.
func TestBreakIsReportedUntilNewerConfirmation(t *testing.T) {
	tracker := healthyTracker(t)
	broken, at := stateOf(testReplica), testStart.Add(time.Second)
	broken.Loaded = false
	require.Len(t, tracker.HandlePollResult(pollResult(broken, at), at), 1)
	require.Equal(t, at, tracker.appendStatus(nil, at)[0].OwnBrokenAt)
	require.Empty(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: at}}, at))
	require.Equal(t, at, tracker.appendStatus(nil, at)[0].OwnBrokenAt, "the confirmation is not newer")
	newer := at.Add(time.Second)
	require.Len(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: newer}}, newer), 1)
	require.True(t, tracker.appendStatus(nil, newer)[0].OwnBrokenAt.IsZero())
}

// The lease holder regroups a replica while a poll is in flight. The result refers to the
// old generation; if it were applied to the new one, this node would report a failure
// that did not occur.
func TestPollResultOfOldGenerationIsIgnored(t *testing.T) {
	tracker := healthyTracker(t)
	regrouped := testReplica
	regrouped.Generation = 3
	tracker.SetReplicas([]cluster.Replica{regrouped}, testStart)
	late := pollResult(stateOf(testReplica), testStart.Add(time.Second))
	require.Empty(t, tracker.HandlePollResult(late, testStart.Add(2*time.Second)))
	status := tracker.appendStatus(nil, testStart.Add(2*time.Second))[0]
	require.False(t, status.Healthy)
	require.True(t, status.OwnBrokenAt.IsZero())
	require.Equal(t, reasonUnconfirmed, status.Reason)
}

func TestDue(t *testing.T) {
	yes := func(cluster.ReplicaID) bool { return true }
	no := func(cluster.ReplicaID) bool { return false }
	tracker := NewTracker(testBounds)
	tracker.SetReplicas([]cluster.Replica{testReplica}, testStart)
	require.Len(t, tracker.Due(yes, testStart), 1, "unconfirmed")
	require.Empty(t, tracker.Due(yes, testStart.Add(time.Hour)), "one poll at a time")
	tracker.HandlePollResult(pollResult(stateOf(testReplica), testStart), testStart)

	require.Empty(t, tracker.Due(yes, testStart.Add(testBounds.PollIdle-1)))
	require.Empty(t, tracker.Due(no, testStart.Add(testBounds.PollIdle)), "another node is responsible")
	tracker.RequestPoll("r1")
	require.Len(t, tracker.Due(no, testStart.Add(1)), 1, "a request failed")
	tracker.HandlePollResult(pollResult(stateOf(testReplica), testStart.Add(1)), testStart.Add(1))
	require.Len(t, tracker.Due(no, testStart.Add(testBounds.MaxAge-time.Second)), 1, "the responsible node has failed")
}
