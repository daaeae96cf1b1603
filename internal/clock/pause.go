package clock

import (
	"context"
	"time"
)

// Pause waits for d or until ctx is done, and reports whether ctx is still active.
// It returns at once if d is zero or negative.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
