package clock

import (
	"math/rand/v2"
	"time"
)

// Backoff chooses the pauses between tries that fail. Each is about twice the one
// before, and random, so that many callers of one service spread.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// Next is the pause before the next try.
func (b *Backoff) Next() time.Duration {
	mean := min(max(b.next, b.Min), b.Max)
	b.next = 2 * mean
	return mean/2 + rand.N(mean)
}

// Reset begins anew, after a try that succeeded.
func (b *Backoff) Reset() { b.next = 0 }
