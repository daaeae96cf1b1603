package formation

import (
	"context"
	"fmt"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
)

// SendError is an order without an answer.
type SendError struct {
	VM cluster.VMID
	// NotSent is true when the VM certainly did not get the order: nothing listened at
	// its address. It says nothing of the VM's process, which may be back.
	NotSent bool
	Err     error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("order to %s: not_sent=%t: %v", e.VM, e.NotSent, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// OrderClient sends orders. An order without an answer may be carried out seconds later.
type OrderClient interface {
	Send(ctx context.Context, to fleet.Server, order lifecycle.Order) (lifecycle.Response, error)
	// Probe asks a VM whether it is there; it fails with a *SendError if not.
	Probe(ctx context.Context, vm fleet.Server) error
}
