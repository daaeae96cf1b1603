package clock

import (
	"context"
	"time"
)

// Every calls f once per period until ctx is done. A call that takes longer than the
// period delays the next one; missed calls are dropped.
//
// It uses no ticker: the race detector's runtime has crashed where a ticker was polled in a
// synctest bubble.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	next := time.Now().Add(period)
	for Pause(ctx, time.Until(next)) {
		f(time.Now())
		next = next.Add(period)
		if late := time.Since(next); late >= period {
			next = next.Add(late.Truncate(period))
		}
	}
}
