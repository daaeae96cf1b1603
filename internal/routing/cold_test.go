package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// firstReplica is a policy that picks the first replica whatever its state.
type firstReplica struct{}

func (firstReplica) Pick(v View, _ Request, _ *Random) Pick {
	if v.Len() == 0 {
		return Pick{}
	}
	return Pick{Candidate: v.At(0), Found: true}
}

// Guards against more requests than a cold replica takes, whatever the policy saw before.
func TestColdRateIsKeptWhateverThePolicy(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, policy := range []Policy{firstReplica{}, Naive{}, DefaultPolicy()} {
		table := NewTable(Options{Policy: policy, Now: func() time.Time { return now }})
		replica := cluster.Replica{ID: "m/1.1", Group: "m", Generation: 1}
		table.SetReplicas("", []Entry{{Replica: replica, Addr: "192.0.2.1:1", Slots: 4, ColdUntil: now.Add(3 * time.Second), ColdRate: 2}})
		table.SetHealthy(replica.ID, replica.Generation, true)
		require.InDelta(t, 2*3, countChosen(table, now, 3), 1)
		require.Equal(t, 10, countChosen(table, now.Add(3*time.Second), 1))
	}
}
