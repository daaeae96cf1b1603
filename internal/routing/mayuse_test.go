package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Guards against requests sent to servers that their sender has ruled out by address.
func TestRequestsGoOnlyToServersThatTheyMayUse(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, policy := range []Policy{Naive{}, DefaultPolicy()} {
		for _, alone := range []bool{false, true} {
			table := NewTable(Options{Policy: policy})
			setSignalReplicas(table, signalEntry("m/1.1", "a", 1), signalEntry("m/2.1", "b", 1))
			for range 10 {
				choice, err := table.ChooseAt(now, Request{Group: "m", Alone: alone, MayUse: func(addr string) bool { return addr == "b:1" }})
				require.NoError(t, err)
				require.Equal(t, cluster.VMID("b"), choice.Replica.Serving)
				table.EndAt(now, choice, Result{OK: true})
			}
			_, err := table.ChooseAt(now, Request{Group: "m", Alone: alone, MayUse: func(string) bool { return false }})
			require.Error(t, err)
		}
	}
}
