package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that stood still and takes that for a silent connection.
func TestWatchdogOfAProcessThatStoodStillWaitsForARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchdog(func() {})
		w.arm(time.Hour)
		w.due = time.Now().Add(-time.Second)
		w.expire()
		require.False(t, w.fired.Load(), "what has arrived is not read yet")
		time.Sleep(lateReadGrace + time.Millisecond)
		synctest.Wait()
		require.True(t, w.fired.Load(), "nothing had arrived")
	})
}
