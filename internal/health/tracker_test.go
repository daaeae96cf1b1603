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

// stateOf is the state of a replica that is as committed.
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

func answer(state engine.State, at time.Time) PollResult {
	return PollResult{Replica: testReplica.ID, Generation: testReplica.Generation, Sent: at, State: state}
}

// wholeTracker returns a tracker whose one replica was confirmed at testStart.
func wholeTracker(t *testing.T) *Tracker {
	tracker := NewTracker(testBounds)
	require.Empty(t, tracker.SetReplicas([]cluster.Replica{testReplica}, testStart))
	got := tracker.HandlePollResult(answer(stateOf(testReplica), testStart), testStart)
	require.Equal(t, []Transition{{Replica: testReplica, Healthy: true, Reason: "all members confirm"}}, got)
	return tracker
}

// A replica of three VMs is serving when one of them is lost, comes back from a
// pause with an old assignment, is taken away, or simply is not heard of. The
// caller whose request went there would wait for tokens that never come, so the
// replica must stop counting as whole with the first evidence.
func TestOneMissingOrDisagreeingMemberEndsWholeness(t *testing.T) {
	at := testStart.Add(time.Second)
	edit := func(change func(s *engine.State)) engine.State {
		s := stateOf(testReplica)
		change(&s)
		return s
	}
	answers := map[string]PollResult{
		"serving VM silent":          {Replica: "r1", Generation: 2, Sent: at, Err: errors.New("timeout")},
		"another VM at the address":  answer(edit(func(s *engine.State) { s.VM = "x" }), at),
		"serving VM restarted":       answer(edit(func(s *engine.State) { s.Assignment = engine.Assignment{Role: engine.RoleIdle} }), at),
		"serving VM in old state":    answer(edit(func(s *engine.State) { s.Assignment.Generation = 1 }), at),
		"serving VM still loading":   answer(edit(func(s *engine.State) { s.Loaded = false }), at),
		"member missing":             answer(edit(func(s *engine.State) { s.Members = s.Members[:2] }), at),
		"member in old generation":   answer(edit(func(s *engine.State) { s.Members[1].Generation = 1 }), at),
		"member in another replica":  answer(edit(func(s *engine.State) { s.Members[2].Replica = "r9" }), at),
		"member not heard for long":  answer(edit(func(s *engine.State) { s.Members[2].SeenAgoMs = 3001 }), at),
		"nonsense age of the member": answer(edit(func(s *engine.State) { s.Members[2].SeenAgoMs = -1 }), at),
	}
	for name, a := range maps.Clone(answers) {
		if a.Err == nil {
			brief := a
			brief.State = a.State.Brief()
			answers["brief: "+name] = brief
		}
	}
	delete(answers, "brief: nonsense age of the member") // the largest age is what a summary has
	for name, a := range answers {
		t.Run(name, func(t *testing.T) {
			tracker := wholeTracker(t)
			got := tracker.HandlePollResult(a, at)
			require.Len(t, got, 1)
			require.False(t, got[0].Healthy, got[0].Reason)
			require.False(t, tracker.Healthy("r1", 2, at))
			// Presence alone does not mend it; a newer digest of all members does.
			require.Empty(t, tracker.ConfirmServing("r1", 2, at, at))
			again := at.Add(time.Second)
			require.Len(t, tracker.HandlePollResult(answer(stateOf(testReplica), again), again), 1)
			require.True(t, tracker.Healthy("r1", 2, again))
		})
	}
}

// The platform announces that a VM will be taken away, or the holder drains or
// regroups the replica. New requests must stop within seconds although all VMs
// still answer as before.
func TestLeavingDrainedOrRegroupedReplicaIsNotWhole(t *testing.T) {
	at := testStart.Add(time.Second)
	t.Run("member leaving", func(t *testing.T) {
		tracker := wholeTracker(t)
		got := tracker.SetVMs(cluster.VMList{AsOf: at, VMs: []cluster.VM{{ID: "b", State: cluster.VMLeaving}}}, at)
		require.Equal(t, []Transition{{Replica: testReplica, Reason: "VM b is leaving"}}, got)
		require.Empty(t, tracker.HandlePollResult(answer(stateOf(testReplica), at), at))
	})
	t.Run("drained", func(t *testing.T) {
		tracker := wholeTracker(t)
		r := testReplica
		r.Leaving = true
		require.Len(t, tracker.SetReplicas([]cluster.Replica{r}, at), 1)
	})
	t.Run("new generation", func(t *testing.T) {
		tracker := wholeTracker(t)
		r := testReplica
		r.Generation = 3
		require.Len(t, tracker.SetReplicas([]cluster.Replica{r}, at), 1)
		// A poll sent before the change, a late answer and a peer's old news
		// all speak of generation 2 and must not confirm generation 3.
		require.Empty(t, tracker.HandlePollResult(answer(stateOf(testReplica), at), at))
		require.Empty(t, tracker.ConfirmServing("r1", 2, at, at))
		require.Empty(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: at}}, at))
		late := PollResult{Replica: "r1", Generation: 3, Sent: at, State: stateOf(testReplica)}
		require.Empty(t, tracker.HandlePollResult(late, at))
		require.False(t, tracker.Healthy("r1", 3, at))
	})
	t.Run("broken up", func(t *testing.T) {
		tracker := wholeTracker(t)
		require.Equal(t, []Transition{{Replica: testReplica, Reason: "broken up"}}, tracker.SetReplicas(nil, at))
	})
}

// Every source falls silent: the poller died, peers are cut off. A replica that
// nobody has heard of for MaxAge must not get requests on the strength of the past.
func TestConfirmationGrowsTooOld(t *testing.T) {
	tracker := wholeTracker(t)
	confirmed := testStart.Add(-100 * time.Millisecond)
	require.Empty(t, tracker.Expire(confirmed.Add(testBounds.MaxAge)))
	require.Len(t, tracker.Expire(confirmed.Add(testBounds.MaxAge+1)), 1)

	// Ordinary answers carry presence, but not beyond the age of the last digest.
	tracker = wholeTracker(t)
	for at := testStart; at.Before(confirmed.Add(testBounds.MaxDigestAge)); at = at.Add(time.Second) {
		require.Empty(t, tracker.ConfirmServing("r1", 2, at, at))
	}
	end := confirmed.Add(testBounds.MaxDigestAge + 1)
	got := tracker.ConfirmServing("r1", 2, end, end)
	require.Len(t, got, 1)
	require.Equal(t, "members not confirmed for too long", got[0].Reason)
}

// A busy engine answers a poll too late while its tokens flow: the replica is at
// work and must not be taken out for it.
func TestSlowPollOfWorkingReplica(t *testing.T) {
	tracker := wholeTracker(t)
	sent, now := testStart.Add(time.Second), testStart.Add(3*time.Second)
	tracker.ConfirmServing("r1", 2, now, now)
	require.Empty(t, tracker.HandlePollResult(PollResult{Replica: "r1", Generation: 2, Sent: sent, Err: errors.New("timeout")}, now))
	require.True(t, tracker.Healthy("r1", 2, now))
}

// Peers split the polls. A break seen by one is news to all at once, and is not
// passed on as own news; a confirmation that a peer made before does not undo it.
func TestPeersObservations(t *testing.T) {
	tracker := wholeTracker(t)
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

// A node saw a replica broken while it formed, and polls it no more since that is
// another node's duty. It goes on telling its old news: the replica must not be
// taken out for it again and again, or callers find no capacity for minutes.
func TestOldBreakToldAgainBreaksNothing(t *testing.T) {
	tracker := wholeTracker(t)
	old := testStart.Add(-time.Second)
	for i := range 5 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		require.Empty(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, BrokenAt: old}}, now))
	}

	teller := NewTracker(testBounds)
	teller.SetReplicas([]cluster.Replica{testReplica}, testStart)
	partial := stateOf(testReplica)
	partial.Members = partial.Members[:2]
	teller.HandlePollResult(answer(partial, testStart), testStart)
	require.Equal(t, testStart, teller.appendStatus(nil, testStart)[0].OwnBrokenAt)
	newer := testStart.Add(time.Second)
	teller.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: newer}}, newer)
	require.True(t, teller.appendStatus(nil, newer)[0].OwnBrokenAt.IsZero(), "no news any more")
}

// The same break, and a confirmation that a peer made no later than it: that must
// not keep the peers from hearing of the break.
func TestBreakIsToldUntilANewerConfirmation(t *testing.T) {
	tracker := wholeTracker(t)
	broken, at := stateOf(testReplica), testStart.Add(time.Second)
	broken.Loaded = false
	require.Len(t, tracker.HandlePollResult(answer(broken, at), at), 1)
	require.Equal(t, at, tracker.appendStatus(nil, at)[0].OwnBrokenAt)
	require.Empty(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: at}}, at))
	require.Equal(t, at, tracker.appendStatus(nil, at)[0].OwnBrokenAt, "the confirmation is not newer")
	newer := at.Add(time.Second)
	require.Len(t, tracker.Observe([]Observation{{Replica: "r1", Generation: 2, ConfirmedAt: newer}}, newer), 1)
	require.True(t, tracker.appendStatus(nil, newer)[0].OwnBrokenAt.IsZero())
}

// The holder regroups a replica while a poll of it is on its way. The answer speaks
// of the old generation; taken for the new one, it would tell all nodes of a break
// that nobody saw.
func TestAnswerOfAnOldGenerationSaysNothing(t *testing.T) {
	tracker := wholeTracker(t)
	regrouped := testReplica
	regrouped.Generation = 3
	tracker.SetReplicas([]cluster.Replica{regrouped}, testStart)
	late := answer(stateOf(testReplica), testStart.Add(time.Second))
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
	tracker.HandlePollResult(answer(stateOf(testReplica), testStart), testStart)

	require.Empty(t, tracker.Due(yes, testStart.Add(testBounds.PollIdle-1)))
	require.Empty(t, tracker.Due(no, testStart.Add(testBounds.PollIdle)), "another node's duty")
	tracker.RequestPoll("r1")
	require.Len(t, tracker.Due(no, testStart.Add(1)), 1, "a request failed")
	tracker.HandlePollResult(answer(stateOf(testReplica), testStart.Add(1)), testStart.Add(1))
	require.Len(t, tracker.Due(no, testStart.Add(testBounds.MaxAge-time.Second)), 1, "the node on duty is gone")
}
