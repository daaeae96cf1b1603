package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// fixedShares gives this node the same share of each rate.
type fixedShares struct {
	share float64
	nodes int
}

func (s fixedShares) Share(cluster.ReplicaID, float64) float64 { return s.share }
func (s fixedShares) Nodes() int                               { return s.nodes }

const limitedReplica cluster.ReplicaID = "m/1.1"

// newLimitTable returns a table with one replica.
func newLimitTable(policy Policy, shares Shares) *Table {
	table := NewTable(Options{Policy: policy, Shares: shares})
	table.SetReplicas("", []Entry{{Replica: cluster.Replica{ID: limitedReplica, Group: "m", Generation: 1}, Addr: "192.0.2.1:1", Slots: 4}})
	table.SetHealthy(limitedReplica, 1, true)
	return table
}

// countChosen counts the requests that are sent to the replica when there are many each second.
func countChosen(table *Table, from time.Time, seconds int) (chosen int) {
	for i := range 10 * seconds {
		if _, err := table.ChooseAt(from.Add(time.Duration(i)*100*time.Millisecond), Request{Group: "m"}); err == nil {
			chosen++
		}
	}
	return chosen
}

// Guards against more requests than a replica takes, whatever the policy.
func TestNamedLimitIsKeptWhateverThePolicy(t *testing.T) {
	for _, policy := range []Policy{firstReplica{}, Naive{}, DefaultPolicy()} {
		table, now := newLimitTable(policy, SingleNode{}), time.Unix(1000, 0)
		require.True(t, table.ReportRateLimit(limitedReplica, 0.5, now, now))
		require.InDelta(t, 5, countChosen(table, now, 10), 1)
	}
}

// Guards against a limit that an answer to an earlier request ends.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	table, now := newLimitTable(DefaultPolicy(), SingleNode{}), time.Unix(1000, 0)
	table.ReportRateLimit(limitedReplica, 0.5, now, now)
	require.False(t, table.ReportRateLimit(limitedReplica, 0, now.Add(-time.Second), now.Add(time.Second)), "sent before")
	require.Zero(t, countChosen(table, now, 1))
	require.True(t, table.ReportRateLimit(limitedReplica, 0, now.Add(time.Second), now.Add(2*time.Second)))
	require.Equal(t, 10, countChosen(table, now.Add(2*time.Second), 1))
}

// Guards against a node that sends nothing to a replica and never learns that its limit is over.
func TestNodeWithoutShareLearnsTheEndOfALimit(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		event func(*Table)
		after time.Duration
	}{
		"nobody reports it any more": {func(*Table) {}, 30 * limitTTLPerNode},
		"another node reports its end": {func(table *Table) {
			table.ObservePeerRateLimit(limitedReplica, 0, now.Add(minLimitAge))
		}, minLimitAge},
		"another node stops reporting it": {func(table *Table) {
			table.ObservePeerRateLimit(limitedReplica, 0.5, now.Add(minLimitAge))
		}, minLimitAge + peerLimitTTL},
	} {
		t.Run(name, func(t *testing.T) {
			table := newLimitTable(DefaultPolicy(), fixedShares{0, 30})
			table.ReportRateLimit(limitedReplica, 0.5, now, now)
			require.Zero(t, countChosen(table, now, 1))
			c.event(table)
			require.NotZero(t, countChosen(table, now.Add(c.after), 1))
		})
	}
}

// Guards against a node that exceeds a limit that was named only to others.
func TestLimitReportedByAnotherNodeIsKept(t *testing.T) {
	table, now := newLimitTable(DefaultPolicy(), fixedShares{0, 3}), time.Unix(1000, 0)
	table.ObservePeerRateLimit(limitedReplica, 0.5, now)
	require.Zero(t, countChosen(table, now, 2))
	require.Empty(t, table.RateLimits(now), "it reports only what was named to itself")
}

// Guards against a replica with free places that refuses calls which arrive together, although its
// limit is far above them.
func TestHighLimitTakesCallsThatArriveTogether(t *testing.T) {
	table, now := newLimitTable(DefaultPolicy(), SingleNode{}), time.Unix(1000, 0)
	table.ReportRateLimit(limitedReplica, 100, now, now)
	_, _ = table.ChooseAt(now, Request{Group: "m"}) // the bucket is empty at first
	for range 10 {
		_, err := table.ChooseAt(now.Add(time.Second), Request{Group: "m"})
		require.NoError(t, err)
	}
}
