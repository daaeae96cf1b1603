package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/stoptest"
)

const watchdogTimeout = 400 * time.Millisecond

func TestWatchdogFiresAfterItsTimeoutSinceReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, firedAt := time.Now(), make(chan time.Time, 2)
		w := clock.NewWatchdog(watchdogTimeout, func() { firedAt <- time.Now() })
		time.Sleep(watchdogTimeout / 2)
		w.Reset()
		require.Equal(t, watchdogTimeout*3/2, (<-firedAt).Sub(began))
		w.Reset()
		time.Sleep(10 * watchdogTimeout)
		require.Empty(t, firedAt, "it fires once")
	})
}

func TestStoppedWatchdogDoesNotFire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := clock.NewWatchdog(watchdogTimeout, func() { t.Error("fired") })
		time.Sleep(watchdogTimeout / 2)
		w.Stop()
		w.Reset()
		time.Sleep(10 * watchdogTimeout)
	})
}

func TestRunningTimeoutEndsAsADeadlineDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := clock.WithRunningTimeout(t.Context(), watchdogTimeout)
		defer cancel()
		<-ctx.Done()
		require.Equal(t, watchdogTimeout, time.Since(began))
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

// Guards against a timeout that counts a pause of the process itself as waiting.
func TestWatchdogLeavesOutAPauseOfTheProcess(t *testing.T) {
	stoptest.Run(t, time.Second, func(c *stoptest.Child) {
		began, firedAt := time.Now(), make(chan time.Time, 1)
		clock.NewWatchdog(watchdogTimeout, func() { firedAt <- time.Now() })
		c.Stop()
		_, err := c.Answers.Read(make([]byte, 1)) // arrives during the stop
		require.NoError(t, err)
		require.Greater(t, (<-firedAt).Sub(began), time.Second+watchdogTimeout/2)
	})
}
