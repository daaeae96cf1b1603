package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// signalEntry is the entry of a replica whose server started at a Unix second.
func signalEntry(id cluster.ReplicaID, server cluster.VMID, startedAt int64) Entry {
	return Entry{Replica: cluster.Replica{ID: id, Group: "m", Generation: 1, Serving: server}, Addr: string(server) + ":1", Slots: 4, StartedAt: time.Unix(startedAt, 0)}
}

// setSignalReplicas sets the healthy replicas of the table.
func setSignalReplicas(table *Table, entries ...Entry) {
	table.SetReplicas("", entries)
	for _, e := range entries {
		table.SetHealthy(e.Replica.ID, e.Replica.Generation, true)
	}
}

// chooseServer returns the server that a request is sent to, or "" if none takes it.
func chooseServer(table *Table, now time.Time) (Choice, cluster.VMID) {
	choice, err := table.ChooseAt(now, Request{Group: "m"})
	if err != nil {
		return Choice{}, ""
	}
	table.EndAt(now, choice, Result{OK: true})
	return choice, choice.Replica.Serving
}

// Guards against requests in a pushback, whatever the policy, and against none after it.
func TestPushbackIsKeptWhateverThePolicy(t *testing.T) {
	for _, policy := range []Policy{firstReplica{}, Naive{}, DefaultPolicy()} {
		table, now := NewTable(Options{Policy: policy}), time.Unix(1000, 0)
		setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
		choice, _ := chooseServer(table, now)
		require.True(t, table.ReportPushback(choice, 3*time.Second, now))
		require.False(t, table.ReportPushback(choice, time.Second, now.Add(time.Second)), "it had asked before")
		require.Zero(t, countChosen(table, now, 3))
		require.NotZero(t, countChosen(table, now.Add(3*time.Second+maxPushbackJitter), 1))
	}
}

// Guards against a server that gets no requests for days because of a mistaken number.
func TestPushbackIsBounded(t *testing.T) {
	table, now := NewTable(Options{}), time.Unix(1000, 0)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
	choice, _ := chooseServer(table, now)
	table.ReportPushback(choice, 24*time.Hour, now)
	require.Zero(t, countChosen(table, now.Add(maxPushback-time.Second), 1))
	require.NotZero(t, countChosen(table, now.Add(maxPushback+maxPushbackJitter), 1))
}

// Guards against a suspect that is retried on a replica which wants no requests, or on none while another takes them.
func TestSuspectIsNotRetriedInAPushback(t *testing.T) {
	table, now := NewTable(Options{}), time.Unix(1000, 0)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1), signalEntry("m/2.1", "b", 1))
	alone := Request{Group: "m", Alone: true}
	choice, err := table.ChooseAt(now, alone)
	require.NoError(t, err)
	table.EndAt(now, choice, Result{})
	table.ReportPushback(choice, 3*time.Second, now)
	other, err := table.ChooseAt(now.Add(time.Second), alone)
	require.NoError(t, err)
	require.NotEqual(t, choice.Replica.ID, other.Replica.ID)
}

// Guards against all callers that return to a replica at once when its pushback ends.
func TestOneRequestTestsAReplicaAfterItsPushback(t *testing.T) {
	table, now := NewTable(Options{}), time.Unix(1000, 0)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1), signalEntry("m/2.1", "b", 1))
	choice, _ := chooseServer(table, now)
	table.ReportPushback(choice, time.Second, now)
	after, sent := now.Add(time.Second+maxPushbackJitter), 0
	for range 6 {
		other, err := table.ChooseAt(after, Request{Group: "m"})
		require.NoError(t, err)
		if other.Replica.ID == choice.Replica.ID {
			sent++
		}
	}
	require.Equal(t, 1, sent)
}

// Guards against a pushback that ends as its server becomes the head of another replica, or that holds for its successor.
func TestPushbackBelongsToOneStartOfAServer(t *testing.T) {
	table, now := NewTable(Options{Now: func() time.Time { return time.Unix(1001, 0) }}), time.Unix(1000, 0)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
	choice, _ := chooseServer(table, now)
	table.ReportPushback(choice, 3*time.Second, now)
	setSignalReplicas(table, signalEntry("m/2.2", "a", 1))
	_, server := chooseServer(table, now.Add(time.Second))
	require.Empty(t, server, "the same process in another replica")
	setSignalReplicas(table, signalEntry("m/2.2", "a", 2))
	_, server = chooseServer(table, now.Add(time.Second))
	require.Equal(t, cluster.VMID("a"), server, "another start of the server")
	choice, _ = chooseServer(table, now.Add(time.Second))
	setSignalReplicas(table, signalEntry("m/2.2", "a", 3))
	table.ReportPushback(choice, 3*time.Second, now.Add(time.Second))
	_, server = chooseServer(table, now.Add(2*time.Second))
	require.Equal(t, cluster.VMID("a"), server, "a late answer of the earlier start")
}

// Guards against requests in a pushback that was asked for while the server became the head of another replica.
func TestPushbackFollowsItsServerToAnotherReplica(t *testing.T) {
	table, now := NewTable(Options{Now: func() time.Time { return time.Unix(1000, 0) }}), time.Unix(1000, 0)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
	choice, _ := chooseServer(table, now)
	setSignalReplicas(table, signalEntry("m/2.2", "a", 1))
	table.ReportPushback(choice, 3*time.Second, now)
	require.GreaterOrEqual(t, table.PushbackLeft(choice, now), 3*time.Second)
	require.Zero(t, table.PushbackLeft(choice, now.Add(3*time.Second+maxPushbackJitter)))
	_, server := chooseServer(table, now.Add(time.Second))
	require.Empty(t, server)
}

// Guards against a refusal that does not know when a replica takes requests again, or who asked for none.
func TestFullErrorTellsTheFirstEndOfAPushback(t *testing.T) {
	table, now := NewTable(Options{Seed: 1}), time.Unix(1000, 0)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1), signalEntry("m/2.1", "b", 1))
	pushbacks := map[cluster.VMID]time.Duration{"a": 20 * time.Second, "b": 4 * time.Second}
	for range pushbacks {
		choice, server := chooseServer(table, now)
		table.ReportPushback(choice, pushbacks[server], now)
	}
	_, err := table.ChooseAt(now.Add(time.Second), Request{Group: "m"})
	full, ok := errors.Into[*FullError](err)
	require.True(t, ok, "%v", err)
	require.True(t, full.OnlyPushback)
	require.Equal(t, 2, full.Pushback.Replicas)
	require.Equal(t, cluster.ReplicaID("m/2.1"), full.Pushback.First)
	require.Equal(t, time.Second, full.Pushback.Age)
	require.InDelta(t, 3, full.Pushback.Left.Seconds(), maxPushbackJitter.Seconds())
}

// Guards against a wrong time to return for a request that the only replica has just refused.
func TestReplicaThatRefusedTheRequestTellsWhenItTakesItAgain(t *testing.T) {
	table, now := NewTable(Options{}), time.Unix(1000, 0)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
	choice, _ := chooseServer(table, now)
	table.ReportPushback(choice, 4*time.Second, now)
	_, err := table.ChooseAt(now, Request{Group: "m", Exclude: []cluster.ReplicaID{choice.Replica.ID}})
	full, ok := errors.Into[*FullError](err)
	require.True(t, ok, "%v", err)
	require.True(t, full.OnlyPushback)
	require.InDelta(t, 4, full.Pushback.Left.Seconds(), maxPushbackJitter.Seconds())
}

// Guards against nodes that all return to a server at the moment at which its pushback ends.
func TestNodesReturnAtDifferentTimesAfterAPushback(t *testing.T) {
	const nodes, named = 984, 4 * time.Second
	now := time.Unix(1000, 0)
	var ends []time.Duration
	for i := range uint64(nodes) {
		table := NewTable(Options{Seed: i, PrefixEntries: 16})
		setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
		choice, _ := chooseServer(table, now)
		table.ReportPushback(choice, named, now)
		ends = append(ends, table.signals.get(choice.process).pushback.left(now))
	}
	slices.Sort(ends)
	require.GreaterOrEqual(t, ends[0], named)
	require.LessOrEqual(t, ends[nodes-1], named+maxPushbackJitter)
	most := 0
	for i, end := range ends {
		within := 0
		for ; i+within < nodes && ends[i+within] < end+maxPushbackJitter/10; within++ {
		}
		most = max(most, within)
	}
	require.Less(t, most, nodes/5, "within a tenth of the jitter")
}

// Guards against signals of ended processes that fill the memory.
func TestExpiredSignalsAreDropped(t *testing.T) {
	table, now := NewTable(Options{}), time.Unix(1000, 0)
	for i := range 100 {
		setSignalReplicas(table, signalEntry("m/1.1", "a", int64(i)))
		choice, _ := chooseServer(table, now)
		table.ReportPushback(choice, time.Second, now)
		table.ReportLeaving(choice, now)
		now = now.Add(leavingTTL / 10)
	}
	require.Len(t, table.signals.byProcess, 11)
}
