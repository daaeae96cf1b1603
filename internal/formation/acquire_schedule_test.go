package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulateAcquisition simulates nodes that compete for a free lease. The nodes learn that it is held
// with a delay of propagation. It returns the number of attempts and the time of the first.
func simulateAcquisition(watchers, standbys int, propagation time.Duration) (attempts int, acquiredAfter time.Duration) {
	start := time.Unix(1000, 0)
	var schedules []*acquireSchedule
	for i := range watchers + standbys {
		schedules = append(schedules, newAcquireSchedule(i >= watchers))
	}
	var heldAt time.Time
	for now := start; now.Sub(start) < 5*time.Second; now = now.Add(10 * time.Millisecond) {
		free := heldAt.IsZero() || now.Sub(heldAt) < propagation
		for _, s := range schedules {
			if !s.due(free, now) {
				continue
			}
			attempts++
			s.recordAttempt(true, now)
			if heldAt.IsZero() {
				heldAt = now
			}
		}
	}
	return attempts, heldAt.Sub(start)
}

// Guards against calls from every node to the store at the same moment when a lease expires.
func TestFewNodesCompeteForFreeLease(t *testing.T) {
	for _, nodes := range []int{117, 420} {
		for range 50 {
			attempts, acquiredAfter := simulateAcquisition(3, nodes-3, 100*time.Millisecond)
			require.LessOrEqual(t, attempts, 3)
			require.LessOrEqual(t, acquiredAfter, watcherSpread+10*time.Millisecond)
		}
	}
}

// Guards against a lease without a holder when every node that watches the store directly is lost.
func TestStandbysAcquireLeaseWhenWatchersAreLost(t *testing.T) {
	for range 50 {
		attempts, acquiredAfter := simulateAcquisition(0, 114, 100*time.Millisecond)
		require.Less(t, attempts, 114/2)
		require.Less(t, acquiredAfter, standbyDelay+standbySpread)
	}
}

// Guards against attempts at a constant rate on a store that does not respond.
func TestAttemptsBackOffWhileStoreDoesNotRespond(t *testing.T) {
	now := time.Unix(1000, 0)
	schedule, attempts := newAcquireSchedule(false), 0
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		if schedule.due(true, now) {
			attempts++
			schedule.recordAttempt(false, now)
		}
	}
	require.Less(t, attempts, 40, "in 30 s")
}

// Guards against a lease that stays without a holder for the delay that grew during an outage of the store, and against a short delay while only attempts fail.
func TestAttemptFollowsTheRecoveryOfTheStore(t *testing.T) {
	for range 50 {
		for _, outage := range []bool{true, false} {
			now := time.Unix(1000, 0)
			recovery := now.Add(20 * time.Second)
			schedule := newAcquireSchedule(false)
			contact, shortest := now, time.Hour
			var failed, next time.Time
			for next.IsZero() {
				now = now.Add(10 * time.Millisecond)
				if !outage || now.After(recovery) {
					contact = now
				}
				schedule.recordContact(contact, now)
				if !schedule.due(true, now) {
					continue
				}
				if now.After(recovery) {
					next = now
				}
				if now.Sub(recovery) > -10*time.Second {
					shortest = min(shortest, now.Sub(failed))
				}
				failed = now
				schedule.recordAttempt(false, now)
			}
			if outage {
				require.LessOrEqual(t, next.Sub(recovery), watcherSpread+20*time.Millisecond)
			} else {
				require.Greater(t, shortest, maxRetryDelay/2-20*time.Millisecond)
			}
		}
	}
}
