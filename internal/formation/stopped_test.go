package formation

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
	"github.com/fennelcourse/fennelcourse/internal/stoptest"
)

// stoppedClient stops the process once all VMs are being probed.
type stoppedClient struct {
	child  *stoptest.Child
	vms    int32
	probes atomic.Int32
}

func (c *stoppedClient) Send(context.Context, fleet.Server, lifecycle.Order) (lifecycle.Response, error) {
	return "", errors.New("not expected")
}

func (c *stoppedClient) Probe(ctx context.Context, _ fleet.Server) error {
	if c.probes.Add(1) == c.vms {
		c.child.Stop()
	}
	if !c.child.AwaitAnswer(ctx.Done()) {
		return context.Cause(ctx)
	}
	return nil
}

// Guards against a holder that was stopped during its probes and takes sound VMs for lost ones.
func TestStoppedHolderFindsNoUnresponsiveVM(t *testing.T) {
	stoptest.Run(t, 800*time.Millisecond, func(c *stoptest.Child) {
		vms := make([]fleet.Server, 6)
		holder := &term{opts: Options{Client: &stoppedClient{child: c, vms: int32(len(vms))}}}
		require.Empty(t, holder.findUnresponsive(t.Context(), vms))
	})
}
