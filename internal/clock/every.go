package clock

import (
	"context"
	"time"
)

// Every calls f once per period until ctx is done. A call that takes longer than the
// period delays the next one; missed ticks are dropped.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
