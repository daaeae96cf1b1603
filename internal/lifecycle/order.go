// Package lifecycle decides how replicas are formed and shut down on a platform where VMs
// report their own state in a list: which VMs join a replica, when it opens, when it ends,
// and which evidence releases a VM for another replica. A Machine holds the state of one
// holder of the placement lease. Each step takes the observations and the time and returns
// the orders and probes to send; a Machine does no I/O and reads no clock.
package lifecycle

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// OrderKind is the operation that an order requests from a VM.
type OrderKind string

// Kinds of orders. Stage loads weights onto the VM's host. Join makes the VM a member of a
// replica. Open makes a ready serving member accept requests; Close returns it to ready.
// Leave removes a member at once.
const (
	Stage OrderKind = "stage"
	Join  OrderKind = "join"
	Open  OrderKind = "open"
	Close OrderKind = "close"
	Leave OrderKind = "leave"
)

// Order is a command to one VM.
type Order struct {
	Kind  OrderKind
	Fence cluster.Fence
	// Replica and Epoch identify the replica; unset for Stage.
	Replica string
	Epoch   int64
	// Model is the model that Stage and Join load. Members lists the VMs of a Join, the
	// serving member first.
	Model   string
	Members []cluster.VMID
	// Graceful makes Close wait for running requests; otherwise they are canceled.
	Graceful bool
}

// Response is a VM's response to an order.
type Response string

// Responses to orders. Accepted: the VM has started to execute the order. Done: the order has
// been executed or was already in effect. Conflict: the order does not apply in the VM's
// state. Fenced: the VM has seen a higher fencing token or epoch. WrongVM: another VM
// responded at the address. Invalid: the VM rejected the order as malformed.
const (
	Accepted Response = "begun"
	Done     Response = "done"
	Conflict Response = "misfit"
	Fenced   Response = "fenced"
	WrongVM  Response = "elsewhere"
	Invalid  Response = "invalid"
)

// Input holds the observations for one step of a Machine.
type Input struct {
	Now   time.Time
	List  fleet.List
	Rules *rules.Set
	// UnmeteredLoads is true before the first request of a deployment, while loads do not count
	// against the weight store's limits.
	UnmeteredLoads bool
	// Work is the work that arrives by model; nil if unknown.
	Work workload.Rates
	// LeaseRemaining is how much longer this holder may act.
	LeaseRemaining time.Duration
	// Stalled holds the replicas reported as stalled because requests on them make no progress.
	Stalled map[cluster.ReplicaID]bool
	// OrderResults are the results of orders received since the last step.
	OrderResults []OrderResult
	// Unresponsive are listed VMs that did not respond to probes.
	Unresponsive []fleet.Server
	// RespondingUnlisted are VMs missing from the list that responded to probes.
	RespondingUnlisted []cluster.VMID
}

// OrderResult is the result of sending one order.
type OrderResult struct {
	// To is the VM's list entry at the time of sending.
	To       fleet.Server
	Order    Order
	Response Response
	// Err is set if there was no response; the order may still be executed.
	Err error
	// NotSent is true if the order did not leave this node.
	NotSent bool
	// At is the time of the response or error.
	At time.Time
}

// Output holds the orders and probes that a step requests.
type Output struct {
	SendOrders []OutgoingOrder
	// ProbeReplicas are stalled replicas whose members are to be probed.
	ProbeReplicas []ReplicaProbe
	// ProbeUnlisted are VMs to be probed that are missing from the list.
	ProbeUnlisted []fleet.Server
}

// OutgoingOrder is an order and the VM to send it to.
type OutgoingOrder struct {
	To    fleet.Server
	Order Order
}

// ReplicaProbe is a request to probe the listed members of a replica.
type ReplicaProbe struct {
	Replica cluster.ReplicaID
	Members []fleet.Server
}
