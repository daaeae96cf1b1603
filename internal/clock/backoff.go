package clock

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing, jittered delays between failed attempts.
// The jitter keeps the many callers of one service from retrying at the same time.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// Next returns the delay before the next attempt and doubles the mean of the one after it.
func (b *Backoff) Next() time.Duration {
	mean := min(max(b.next, b.Min), b.Max)
	b.next = 2 * mean
	return mean/2 + rand.N(mean)
}

// Reset restarts at Min, after a successful attempt.
func (b *Backoff) Reset() { b.next = 0 }
