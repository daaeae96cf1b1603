package feed_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/stoptest"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Guards against a node that was stopped for longer than a feed may be silent, and drops the feed.
func TestStoppedFollowerKeepsItsFeed(t *testing.T) {
	stoptest.Run(t, 1500*time.Millisecond, func(c *stoptest.Child) {
		source := &fakeSource{heardAt: time.Now().Add(time.Hour), changes: make(chan store.WatchBatch, 1)}
		f, _ := serve(t, source)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		batches := 0
		f.Follow(ctx, func(store.WatchBatch, time.Duration, bool) {
			if batches++; batches == 1 {
				go func() {
					c.Stop()
					_, _ = c.Answers.Read(make([]byte, 1)) // arrives during the stop
					source.changes <- store.WatchBatch{Revision: 9}
				}()
			}
			if batches > 10 {
				cancel()
			}
		})
		require.Greater(t, batches, 10)
	})
}
