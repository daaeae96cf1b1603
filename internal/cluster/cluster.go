// Package cluster holds the vocabulary that the other packages share: VMs,
// availability zones, replicas, teams and the identifiers that name them.
// It has no behaviour beyond small helpers on its own values.
package cluster

import "time"

// VMID names a VM.
type VMID string

// ZoneID names an availability zone.
type ZoneID string

// DomainID names a fabric domain.
type DomainID string

// ReplicaID names a replica.
type ReplicaID string

// GroupName is the name= of a group rule.
type GroupName string

// Service names a plain service beside the model engines.
type Service string

// TeamID names a team.
type TeamID string

// NodeID names one fenneld.
type NodeID string

// Fence is a fencing number: the store's create revision of the lease key under
// which an order or write was made. Higher wins; zero means none.
type Fence int64

// VMState is a VM's state in the platform's VM list.
type VMState string

// The list lags, so "live" is a claim and not a proof.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list: a backend server VM that hosts a
// model engine, or one that hosts a plain service (Service set).
type VM struct {
	ID     VMID     `json:"id"`
	Zone   ZoneID   `json:"zone"`
	Domain DomainID `json:"domain"`
	// Addr is the ip:port of the engine or service on this VM.
	Addr    string  `json:"addr"`
	Service Service `json:"service,omitempty"`
	State   VMState `json:"state"`
}

// VMList is the platform's answer: what it believed at AsOf.
type VMList struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// Replica is one committed assignment of VMs to a model replica. Its value is
// immutable: regrouping commits a new Generation.
type Replica struct {
	ID    ReplicaID `json:"id"`
	Group GroupName `json:"group"`
	Model string    `json:"model"`
	Zone  ZoneID    `json:"zone"`
	// Generation is the grouping revision: it rises with every commit that
	// changes this replica, and every member must confirm exactly this number.
	Generation int64 `json:"generation"`
	// Fence is the fencing number of the placement lease that committed it.
	Fence   Fence  `json:"fence"`
	Members []VMID `json:"members"`
	// Serving is the member that accepts requests (rank 0 of the engine).
	Serving VMID `json:"serving"`
	// Leaving marks a replica with a leaving member: no new work, streams finish.
	Leaving bool `json:"leaving,omitempty"`
}

// Grouping is the committed table of one availability zone as read at Revision.
type Grouping struct {
	Zone     ZoneID    `json:"zone"`
	Revision int64     `json:"revision"`
	Replicas []Replica `json:"replicas"`
}
