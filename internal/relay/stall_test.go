package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// simulate sends pieces to ten streams of a replica at each of the gaps in turn, for two
// seconds each, and then stops. It returns whether the replica was considered stalled
// before that, and the time from the last piece to its detection.
func simulate(gaps ...time.Duration) (falseAlarm bool, detectedAfter time.Duration) {
	const id = cluster.ReplicaID("r")
	const streams = 10
	d := newStallDetector()
	now := time.Unix(1000, 0)
	for range streams {
		d.begin(id, now)
	}
	last := now
	for _, gap := range gaps {
		for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 10 * time.Millisecond {
			now = now.Add(10 * time.Millisecond)
			if now.Sub(last) >= gap {
				for range streams {
					d.recordActivity(id, now) // all streams of a batch receive a piece in the same pass
				}
				last = now
			}
			found, _ := d.check(now)
			falseAlarm = falseAlarm || len(found) > 0
		}
	}
	for found, _ := d.check(now); len(found) == 0; found, _ = d.check(now) {
		now = now.Add(10 * time.Millisecond)
	}
	return falseAlarm, now.Sub(last)
}

// A slow member slows down its replica: pieces arrive at several times the usual gap. If
// the replica were considered stalled, all its streams would be interrupted midway.
func TestSlowReplicaIsNotStalled(t *testing.T) {
	alarm, after := simulate(80*time.Millisecond, 180*time.Millisecond, 480*time.Millisecond)
	require.False(t, alarm)
	require.LessOrEqual(t, after, maxStallTimeout)
}

// A replica that loses a member while it sends pieces at the usual gap must be detected as
// stalled within half a second.
func TestStallIsDetectedWithinHalfASecond(t *testing.T) {
	alarm, after := simulate(80 * time.Millisecond)
	require.False(t, alarm)
	require.LessOrEqual(t, after, 500*time.Millisecond)
}

// Without reports from other nodes, every node would have to lose requests of its own
// before it avoids a stalled replica.
func TestStallReportsFromTwoNodesCount(t *testing.T) {
	const id = cluster.ReplicaID("r")
	start := time.Unix(1000, 0)
	d := newStallDetector()
	require.False(t, d.report(id, "a", start), "one node may be cut off")
	require.False(t, d.report(id, "a", start.Add(time.Millisecond)), "the same node again")
	require.True(t, d.report(id, "b", start.Add(2*time.Millisecond)))
	require.Equal(t, []cluster.ReplicaID{id}, d.stalled(start.Add(time.Second)))
	require.False(t, d.report(id, "c", start.Add(3*time.Millisecond)), "known already")
	require.Empty(t, d.stalled(start.Add(stallQuarantine+time.Second)), "the replica is used again")
}

// A replica that other nodes report as stalled may only be overloaded. A node with requests
// of its own on the replica must ignore the reports.
func TestOwnRequestsOverrideStallReports(t *testing.T) {
	const id = cluster.ReplicaID("r")
	start := time.Unix(1000, 0)
	d := newStallDetector()
	d.begin(id, start)
	for _, by := range []cluster.NodeID{"a", "b", "c"} {
		require.False(t, d.report(id, by, start.Add(stallTimeout)))
	}
	found, _ := d.check(start.Add(stallTimeoutFirst + time.Millisecond))
	require.Equal(t, []cluster.ReplicaID{id}, found, "its own timeout has passed")
}

// A replica that processes prompts of many nodes looks stalled to each node, which only sees
// its own few requests wait. As long as its members respond, the requests must stay.
func TestReplicaWithRespondingMembersIsNotStalled(t *testing.T) {
	const id = cluster.ReplicaID("r")
	start := time.Unix(1000, 0)
	d := newStallDetector()
	require.False(t, d.report(id, "a", start))
	require.True(t, d.report(id, "b", start))
	d.markHealthy(id, start)
	require.Empty(t, d.stalled(start.Add(time.Millisecond)))
	require.False(t, d.report(id, "c", start.Add(time.Millisecond)))
	d.begin(id, start)
	found, _ := d.check(start.Add(healthyLifetime - time.Millisecond))
	require.Empty(t, found)
	found, _ = d.check(start.Add(maxStallTimeout + time.Millisecond))
	require.Equal(t, []cluster.ReplicaID{id}, found)
}

// To a node that is cut off every replica looks stalled. It must not make other nodes avoid
// them.
func TestCutOffNodeReportsNoWorkingReplicas(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newStallDetector()
	for _, id := range []cluster.ReplicaID{"a", "b", "c"} {
		d.begin(id, now)
		d.recordActivity(id, now)
	}
	d.recordActivity("c", now.Add(stallTimeout))
	found, othersWork := d.check(now.Add(stallTimeout + time.Millisecond))
	require.Len(t, found, 2)
	require.False(t, othersWork)
}

// Guards against a node without a processor for a second that takes its own pause for that of all replicas.
func TestNodeThatStoodStillFindsNoStall(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newStallDetector()
	for _, id := range []cluster.ReplicaID{"a", "b"} {
		d.begin(id, now)
		d.recordActivity(id, now)
	}
	const stoodStill = time.Second
	now = now.Add(stoodStill)
	d.excuse(stoodStill, now)
	found, _ := d.check(now)
	require.Empty(t, found)
	found, _ = d.check(now.Add(stallTimeout + time.Millisecond))
	require.Len(t, found, 2, "a silence after the pause counts")
}

// Guards against a replica that is found stalled too late because a pause of this node, which it was used in, is left out whole.
func TestPauseOfTheNodeEndsWithItsLateCheck(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newStallDetector()
	d.begin("r", now)
	d.recordActivity("r", now)
	now = now.Add(100 * time.Millisecond)
	d.excuse(time.Second, now)
	found, _ := d.check(now.Add(stallTimeout + time.Millisecond))
	require.Equal(t, []cluster.ReplicaID{"r"}, found)
}
