package reach_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/reach"
	"github.com/fennelcourse/fennelcourse/internal/stoptest"
)

// Guards against a node that was stopped during a probe and takes its own pause for a lost path.
func TestStoppedNodeKeepsItsServers(t *testing.T) {
	stoptest.Run(t, time.Second, func(c *stoptest.Child) {
		const probed = 8
		var dials atomic.Int32
		accepts := func(ctx context.Context, _ conns.Peer) bool {
			if dials.Add(1) == probed {
				c.Stop()
			}
			return c.AwaitAnswer(ctx.Done())
		}
		d := reach.NewDetector(reach.Options{Servers: func() (local, others []conns.Peer) {
			for i := range probed {
				others = append(others, conns.Peer{Server: cluster.VMID(strconv.Itoa(i)), Addr: serverAddr(i)})
			}
			return nil, others
		}, Accepts: accepts, OnLost: func() {}, Log: slog.New(slog.DiscardHandler)})
		require.True(t, d.Probe(t.Context()))
	})
}
