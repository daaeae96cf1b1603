package relay

import (
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// stepClock returns at as time.Now would after the time of day was set forward by d, or back if d is
// negative: its monotonic part stays.
func stepClock(t *testing.T, at time.Time, d time.Duration) time.Time {
	t.Helper()
	const secondsShift = 30 // above the nanoseconds, in the first word of a time.Time with a monotonic part
	stepped := at
	word := (*uint64)(unsafe.Pointer(&stepped))
	*word += uint64(int64(d/time.Second)) << secondsShift
	require.Equal(t, d, stepped.Round(0).Sub(at.Round(0)), "the time of day")
	require.Zero(t, stepped.Sub(at), "the monotonic part")
	return stepped
}

// Guards against idle timers that are put off, or a pause of the node that is seen, because the time of day was set.
func TestSilenceDoesNotFollowTheTimeOfDay(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		now := time.Now()
		r := New(Options{})
		a := &attempt{s: &session{r: r}, started: now}
		require.Equal(t, time.Second, a.idleFor(stepClock(t, now.Add(time.Second), step)))
		a.recordActivity(stepClock(t, now.Add(time.Second), step))
		require.Equal(t, time.Second, a.idleFor(now.Add(2*time.Second)))
		require.Equal(t, time.Second, a.idleFor(stepClock(t, now.Add(2*time.Second), step)))

		for _, at := range []*atomic.Pointer[time.Time]{&r.lastCheck, &r.lastLateCheck} {
			require.False(t, r.stoodStill(now))
			at.Store(&now)
			justAfter := stepClock(t, now.Add(maxCheckDelay), step)
			require.Equal(t, r.stoodStill(now.Add(maxCheckDelay)), r.stoodStill(justAfter))
			longAfter := stepClock(t, now.Add(time.Second), step)
			require.Equal(t, r.stoodStill(now.Add(time.Second)), r.stoodStill(longAfter))
			at.Store(nil)
		}
	}
}
