package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Guards against requests to a server that is about to shut down, whatever the policy, and against none to its successor.
func TestServerThatLeavesGetsNoRequestsWhateverThePolicy(t *testing.T) {
	for _, policy := range []Policy{firstReplica{}, Naive{}, DefaultPolicy()} {
		now := time.Unix(1000, 0)
		table := NewTable(Options{Policy: policy, Now: func() time.Time { return now }})
		setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
		choice, _ := chooseServer(table, now)
		require.True(t, table.ReportLeaving(choice, now))
		require.False(t, table.ReportLeaving(choice, now.Add(time.Second)))
		require.Zero(t, countChosen(table, now, 5))
		_, err := table.ChooseAt(now.Add(2*time.Second), Request{Group: "m"})
		require.ErrorContains(t, err, "1 leave, the last said so 1s ago")
		setSignalReplicas(table, signalEntry("m/2.2", "a", 1))
		require.Zero(t, countChosen(table, now, 1), "as the head of another replica")
		setSignalReplicas(table, signalEntry("m/2.2", "a", 2))
		require.NotZero(t, countChosen(table, now, 1), "another start of the server")
	}
}

// Guards against a server that stays without requests for ever because it said by mistake that it leaves.
func TestLeavingIsWithdrawnOnlyIfItWasNotSaidAgain(t *testing.T) {
	table, now := NewTable(Options{}), time.Unix(1000, 0)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
	choice, _ := chooseServer(table, now)
	table.ReportLeaving(choice, now)
	table.ReportLeaving(choice, now.Add(10*time.Second))
	require.Empty(t, table.WithdrawLeaving(now.Add(10*time.Second), now.Add(30*time.Second)))
	require.Zero(t, countChosen(table, now.Add(30*time.Second), 1))
	require.Equal(t, []cluster.VMID{"a"}, table.WithdrawLeaving(now.Add(11*time.Second), now.Add(30*time.Second)))
	require.NotZero(t, countChosen(table, now.Add(30*time.Second), 1))
	setSignalReplicas(table)
	setSignalReplicas(table, signalEntry("m/1.1", "a", 1))
	require.NotZero(t, countChosen(table, now.Add(31*time.Second), 1), "listed anew")
}
