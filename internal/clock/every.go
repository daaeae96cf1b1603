package clock

import (
	"context"
	"time"
)

// Every calls f each period until ctx ends. A call that takes longer than the period
// delays the next one; none is made up for.
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
