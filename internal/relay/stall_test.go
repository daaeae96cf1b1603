package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// play gives a replica with ten streams signs at one rhythm after the other, two
// seconds each. It reports whether it was ever taken to stand still, and how long
// after its last sign it is.
func play(rhythms ...time.Duration) (falseAlarm bool, foundAfter time.Duration) {
	const id = cluster.ReplicaID("r")
	const streams = 10
	v := newStallDetector()
	now := time.Unix(1000, 0)
	for range streams {
		v.begin(id, now)
	}
	last := now
	for _, rhythm := range rhythms {
		for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 10 * time.Millisecond {
			now = now.Add(10 * time.Millisecond)
			if now.Sub(last) >= rhythm {
				for range streams {
					v.sign(id, now) // all streams of a batch get their piece in the same pass
				}
				last = now
			}
			falseAlarm = falseAlarm || len(v.review(now)) > 0
		}
	}
	for len(v.review(now)) == 0 {
		now = now.Add(10 * time.Millisecond)
	}
	return falseAlarm, now.Sub(last)
}

// A member of a replica turns slow, and with it the whole replica. Its streams
// still get their pieces, a few times later. Taken for a replica that stands
// still, it would lose all of them, each with half its answer.
func TestSlowReplicaDoesNotStandStill(t *testing.T) {
	alarm, after := play(80*time.Millisecond, 180*time.Millisecond, 480*time.Millisecond)
	require.False(t, alarm)
	require.LessOrEqual(t, after, stallMost)
}

// A replica at its usual pace loses a member. That shows within half a second.
func TestStandstillShowsSoon(t *testing.T) {
	alarm, after := play(80 * time.Millisecond)
	require.False(t, alarm)
	require.LessOrEqual(t, after, 500*time.Millisecond)
}
