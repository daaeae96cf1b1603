package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
)

// A replica is down, is dissolved, and another one is formed from its VMs. The ledger must
// record the end of the outage: an interval that stays open would be reported as an ongoing
// outage for as long as the node runs.
func TestOutageEndsWhenReplicaIsReplaced(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	rec := ledger.NewRecorder(ledger.RecorderOptions{Observer: "n1", Zone: "serra-a"}, start)
	reported := map[cluster.ReplicaID]replicaState{}
	for second, current := range []map[cluster.ReplicaID]replicaState{
		{"fit/missing-1": {group: "fit", down: true, cause: causeNotFormed}},
		{"fit.1": {group: "fit", down: true, cause: causeUnhealthy}},
		{"fit.1": {group: "fit"}},
		{"fit.1": {group: "fit", down: true, cause: causeUnhealthy}},
		{"fit.2": {group: "fit"}},
		{"fit.2": {group: "fit"}},
	} {
		now := start.Add(time.Duration(second) * time.Second)
		rec.Tick(now)
		for _, ev := range replicaEvents(reported, current, now) {
			rec.Apply(ev)
		}
		reported = current
	}
	window, ok := rec.CloseWindow()
	require.True(t, ok)
	length := map[cluster.ReplicaID]time.Duration{}
	for _, i := range window.Intervals {
		require.True(t, i.To.Before(start.Add(5*time.Second)), "%+v is still open", i)
		length[i.Replica] += i.To.Sub(i.From)
	}
	require.Equal(t, map[cluster.ReplicaID]time.Duration{"fit/missing-1": time.Second, "fit.1": 2 * time.Second}, length)
}
