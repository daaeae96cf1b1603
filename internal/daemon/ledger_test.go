package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
)

// A replica is down, is broken up, and another is formed of its VMs. An operator
// who reads the ledger for the shareholders' report must find the outage's end:
// an interval left open would go on being reported for as long as the node runs.
func TestOutageEndsWhenItsReplicaIsReplaced(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	rec := ledger.NewRecorder(ledger.RecorderOptions{Observer: "n1", Zone: "serra-a"}, begin)
	told := map[cluster.ReplicaID]seenReplica{}
	for second, seen := range []map[cluster.ReplicaID]seenReplica{
		{"fit/missing-1": {group: "fit", down: true, cause: causeNotFormed}},
		{"fit.1": {group: "fit", down: true, cause: causeNotWhole}},
		{"fit.1": {group: "fit"}},
		{"fit.1": {group: "fit", down: true, cause: causeNotWhole}},
		{"fit.2": {group: "fit"}},
		{"fit.2": {group: "fit"}},
	} {
		now := begin.Add(time.Duration(second) * time.Second)
		rec.Tick(now)
		for _, ev := range replicaEvents(told, seen, now) {
			rec.Apply(ev)
		}
		told = seen
	}
	window, ok := rec.CloseWindow()
	require.True(t, ok)
	length := map[cluster.ReplicaID]time.Duration{}
	for _, i := range window.Intervals {
		require.True(t, i.To.Before(begin.Add(5*time.Second)), "%+v is still open", i)
		length[i.Replica] += i.To.Sub(i.From)
	}
	require.Equal(t, map[cluster.ReplicaID]time.Duration{"fit/missing-1": time.Second, "fit.1": 2 * time.Second}, length)
}
