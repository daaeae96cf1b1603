// Package cluster defines the types that the other packages share: VMs,
// availability zones, replicas, the grouping of a zone, and their identifiers.
package cluster

import "time"

// VMID identifies a VM.
type VMID string

// ZoneID identifies an availability zone.
type ZoneID string

// DomainID identifies a fabric domain: VMs joined by a fast interconnect.
type DomainID string

// ReplicaID identifies a replica.
type ReplicaID string

// GroupName is the value of name= in a group rule.
type GroupName string

// Service is the name of a plain service, as opposed to a model engine.
type Service string

// TeamID identifies the team to which requests are charged.
type TeamID string

// NodeID identifies a fenneld process.
type NodeID string

// Fence is a fencing token: the create revision of the lease
// key under which an order or a write was issued. The higher number wins; zero
// means none.
type Fence int64

// VMState is the state of a VM in the platform's VM list.
type VMState string

// VM states. The list lags behind the VMs, so VMLive does not prove that a VM is up.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list. It hosts a model engine, or a plain
// service if Service is set.
type VM struct {
	ID     VMID     `json:"id"`
	Zone   ZoneID   `json:"zone"`
	Domain DomainID `json:"domain"`
	// Addr is the ip:port of the engine or service.
	Addr    string  `json:"addr"`
	Service Service `json:"service,omitempty"`
	State   VMState `json:"state"`
}

// VMList is the platform's VM list as of AsOf.
type VMList struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// Replica is the committed assignment of VMs to a model replica. Values are
// immutable: reassigning a replica commits a new Generation.
type Replica struct {
	ID    ReplicaID `json:"id"`
	Group GroupName `json:"group"`
	Model string    `json:"model"`
	Zone  ZoneID    `json:"zone"`
	// Generation is incremented by every commit that reassigns the replica; draining
	// keeps it. A member counts as present only if it confirms exactly this generation.
	Generation int64 `json:"generation"`
	// Fence is the fencing token of the placement lease under which the replica
	// was committed.
	Fence   Fence  `json:"fence"`
	Members []VMID `json:"members"`
	// Serving is the member that accepts requests: rank 0 of the engine.
	Serving VMID `json:"serving"`
	// Leaving marks a replica that drains, for instance because a member leaves: it
	// gets no new requests, and its streams run to the end.
	Leaving bool `json:"leaving,omitempty"`
}

// Grouping is the committed table of replicas of one availability zone, as read
// at Revision.
type Grouping struct {
	Zone     ZoneID    `json:"zone"`
	Revision int64     `json:"revision"`
	Replicas []Replica `json:"replicas"`
}
