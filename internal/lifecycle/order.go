// Package lifecycle decides how replicas of VMs that say their own state in a list
// come and go: which VMs join one, when it opens, when it is ended, and what proves
// that a VM is free for another. A Machine is one holder's view; it takes what was seen
// and the time, and returns the orders and probes to send. It reads no clock and sends
// nothing itself.
package lifecycle

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// OrderKind says what an order asks of a VM.
type OrderKind string

// Kinds of orders. Stage loads weights onto the VM's host. Join makes it a member
// of a replica. Open has a ready serving member take requests; Close ends that
// and returns it to ready. Leave takes a member out at once.
const (
	Stage OrderKind = "stage"
	Join  OrderKind = "join"
	Open  OrderKind = "open"
	Close OrderKind = "close"
	Leave OrderKind = "leave"
)

// Order is one order to one VM.
type Order struct {
	Kind  OrderKind
	Fence cluster.Fence
	// Replica and Epoch name the replica of all kinds but Stage.
	Replica string
	Epoch   int64
	// Model is what Stage and Join load; Members are the VMs of a Join, the
	// serving one first.
	Model   string
	Members []cluster.VMID
	// Graceful has a Close let running requests end; without it they are cut.
	Graceful bool
}

// Response is what a VM said to an order.
type Response string

// Answers. Conflict: the order does not fit the VM's state. Fenced: the VM has seen
// a higher fencing number or epoch. WrongVM: another VM has the address.
const (
	Accepted Response = "begun"
	Done     Response = "done"
	Conflict Response = "misfit"
	Fenced   Response = "fenced"
	WrongVM  Response = "elsewhere"
	Invalid  Response = "invalid"
)

// Input is what a Machine looks at in one step.
type Input struct {
	Now   time.Time
	List  fleet.List
	Rules *rules.Set
	// UnmeteredLoads is true while loads do not count yet: nobody has sent a request.
	UnmeteredLoads bool
	// LeaseRemaining is how long this holder may still act.
	LeaseRemaining time.Duration
	// Stalled are replicas that stand still as callers' requests show.
	Stalled map[cluster.ReplicaID]bool
	// OrderResults are the orders whose outcome came since the last step.
	OrderResults []OrderResult
	// Unresponsive are listed VMs that probes found not to answer, Answering those that the
	// list lacks and that answered.
	Unresponsive       []fleet.Server
	RespondingUnlisted []cluster.VMID
}

// OrderResult is an order with what came of it.
type OrderResult struct {
	// To is the VM as it was listed when the order was sent.
	To     fleet.Server
	Order  Order
	Response Response
	// Err is set when no answer came; the order may still be carried out.
	Err error
	// NotSent is true when the order did not leave this node.
	NotSent bool
	// At is when the answer came.
	At time.Time
}

// Output is what a step asks to be done.
type Output struct {
	SendOrders []OutgoingOrder
	// ProbeReplicas are replicas whose members are to be probed.
	ProbeReplicas []ReplicaProbe
	// ProbeUnlisted are VMs that the list lacks, to be probed.
	ProbeUnlisted []fleet.Server
}

// OutgoingOrder is an order with its VM.
type OutgoingOrder struct {
	To    fleet.Server
	Order Order
}

// ReplicaProbe is a replica with the members to probe.
type ReplicaProbe struct {
	Replica cluster.ReplicaID
	Members []fleet.Server
}
