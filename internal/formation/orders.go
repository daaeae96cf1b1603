package formation

import (
	"context"
	"fmt"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
)

// SendError reports an order or probe that got no response.
type SendError struct {
	VM cluster.VMID
	// NotSent is true if the VM certainly did not receive the order, because nothing listened at
	// its address. It proves nothing about the VM's process, which may accept connections again.
	NotSent bool
	Err     error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("order to %s: not_sent=%t: %v", e.VM, e.NotSent, e.Err)
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// OrderClient sends orders and probes to VMs. An order without a response may still be
// executed seconds later.
type OrderClient interface {
	Send(ctx context.Context, to fleet.Server, order lifecycle.Order) (lifecycle.Response, error)
	// Probe checks that a VM responds; otherwise it returns a *SendError.
	Probe(ctx context.Context, vm fleet.Server) error
}
