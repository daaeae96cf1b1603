// Package capacity computes the cost of each role of the system at the planned size,
// from unit costs (slopes) that were measured on one machine.
//
// docs/CAPACITY.md contains the tables that this package prints. A test compares them, so
// that the page always agrees with the computation.
package capacity

// Size describes the size and the load of a system.
type Size struct {
	Nodes, Regions, Zones int
	Replicas              int
	VMsPerReplica         int
	RequestsPerSecond     float64
	TokensPerSecond       float64

	TokenGap, FirstToken float64
	ChangesPerDay        float64
	VMFailuresPerDay     float64
	VMRestartsPerDay     float64
}

// Budget limits the resources that one node may use for control.
type Budget struct {
	CoreShare   float64
	MemoryBytes float64
	BytesPerSec float64
}

// Plan returns the size planned for the next two years, in reading A of its numbers:
// 4,500 replicas of 32 VMs each.
func Plan() Size {
	return Size{
		Nodes: 420, Regions: 8, Zones: 17,
		Replicas: 4500, VMsPerReplica: 32,
		RequestsPerSecond: 3100, TokensPerSecond: 740_000,
		TokenGap: 0.075, FirstToken: 0.86,
		ChangesPerDay:    3600,
		VMFailuresPerDay: 48, VMRestartsPerDay: 1200,
	}
}

// accelerators is the planned number of accelerators, the number of VMs in reading B.
const accelerators = 4500

// ReadingB returns the planned size in reading B of its numbers: 4,500 VMs with one
// accelerator each, in replicas of 32 VMs.
func ReadingB() Size {
	s := Plan()
	s.Replicas = accelerators / s.VMsPerReplica
	return s
}

// Today returns the size of one user's system: 53 replicas in 3 zones with 4 nodes. The
// 4 VMs of a replica are an assumption.
func Today() Size {
	return Size{Nodes: 4, Regions: 1, Zones: 3, Replicas: 53, VMsPerReplica: 4}
}

// ControlBudget returns the budget of one node in the plan.
func ControlBudget() Budget {
	return Budget{CoreShare: 0.017, MemoryBytes: 256e6, BytesPerSec: 6000}
}

const secondsPerDay = 86_400

// VMs returns the number of backend server VMs.
func (s Size) VMs() float64 { return float64(s.Replicas * s.VMsPerReplica) }

// NodesPerZone returns the mean number of nodes in a zone.
func (s Size) NodesPerZone() float64 { return float64(s.Nodes) / float64(s.Zones) }

// ReplicasPerZone returns the mean number of replicas in a zone.
func (s Size) ReplicasPerZone() float64 { return float64(s.Replicas) / float64(s.Zones) }

// VMsPerZone returns the mean number of backend server VMs in a zone.
func (s Size) VMsPerZone() float64 { return s.VMs() / float64(s.Zones) }

// OpenStreams returns an upper bound of the streams open at once: the request rate times
// the duration of a response of mean length at the 95th percentile of token times.
func (s Size) OpenStreams() float64 {
	tokens := s.TokensPerSecond / s.RequestsPerSecond
	return s.RequestsPerSecond * (s.FirstToken + tokens*s.TokenGap)
}

// Regroupings returns the number of replicas of one zone that change per second, if each
// failure or restart of a VM changes its replica once.
func (s Size) Regroupings() float64 {
	return (s.VMFailuresPerDay + s.VMRestartsPerDay) / float64(s.Zones) / secondsPerDay
}
