// Package capacity works out what each role of the system costs at the size that
// the project designs for, from slopes that were measured on one machine.
//
// docs/CAPACITY.md holds the tables that this package prints; a test compares
// them, so that the page and the computation cannot drift apart.
package capacity

// Size is the size to design for.
type Size struct {
	Nodes, Regions, Zones int
	Replicas              int
	VMsPerReplica         int
	RequestsPerSecond     float64
	TokensPerSecond       float64
	// TokenGap is the time between two tokens and FirstToken the time to the
	// first, in seconds, at the 95th percentile.
	TokenGap, FirstToken float64
	ChangesPerDay        float64
	VMFailuresPerDay     float64
	VMRestartsPerDay     float64
}

// Budget is what one node may spend on control.
type Budget struct {
	CoreShare   float64
	MemoryBytes float64
	BytesPerSec float64
}

// Plan is the size of the next two years, by reading A of its numbers: 4,500
// replicas of 32 VMs each.
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

// accelerators of the plan: the number of VMs by reading B.
const accelerators = 4500

// ReadingB is the plan read as 4,500 VMs of one accelerator each, in replicas of 32.
func ReadingB() Size {
	s := Plan()
	s.Replicas = accelerators / s.VMsPerReplica
	return s
}

// Today is one user's system: 53 replicas, of 4 VMs here, in 3 zones with 4 nodes.
func Today() Size {
	return Size{Nodes: 4, Regions: 1, Zones: 3, Replicas: 53, VMsPerReplica: 4}
}

// ControlBudget is the plan's budget of one node.
func ControlBudget() Budget {
	return Budget{CoreShare: 0.017, MemoryBytes: 256e6, BytesPerSec: 6000}
}

const secondsPerDay = 86_400

// VMs is the number of backend server VMs.
func (s Size) VMs() float64 { return float64(s.Replicas * s.VMsPerReplica) }

// NodesPerZone is the mean number of nodes in a zone.
func (s Size) NodesPerZone() float64 { return float64(s.Nodes) / float64(s.Zones) }

// ReplicasPerZone is the mean number of replicas in a zone.
func (s Size) ReplicasPerZone() float64 { return float64(s.Replicas) / float64(s.Zones) }

// VMsPerZone is the mean number of backend server VMs in a zone.
func (s Size) VMsPerZone() float64 { return s.VMs() / float64(s.Zones) }

// OpenStreams bounds the streams open at once: arrivals by the time that an
// answer of mean length takes at the 95th percentile's pace.
func (s Size) OpenStreams() float64 {
	tokens := s.TokensPerSecond / s.RequestsPerSecond
	return s.RequestsPerSecond * (s.FirstToken + tokens*s.TokenGap)
}

// Regroupings is how many replicas of one zone change in a second, if each VM
// that fails or is restarted takes its replica along once.
func (s Size) Regroupings() float64 {
	return (s.VMFailuresPerDay + s.VMRestartsPerDay) / float64(s.Zones) / secondsPerDay
}
