package capacity

// planned is the traffic that a role would cause on each node with its planned
// mechanism. None of these mechanisms is implemented; only the sizes of single messages
// are measured.
type planned struct {
	role      string
	bytes     func(Size) float64
	mechanism string
}

const (
	plannedHeartbeatBytes = 1600 // bytes/s in each direction, headers included
	plannedPollInterval   = 5.0  // seconds between polls of a quiet replica
	plannedListInterval   = 60.0 // seconds between a node's reads of its page of the VM list
	plannedCacheBytes     = 500  // bytes/s
)

func plannedTraffic() []planned {
	return []planned{
		{"membership", func(Size) float64 { return 2 * plannedHeartbeatBytes }, "1,600 B/s each way in place of 2,186"},
		{"health check and polls", func(s Size) float64 {
			return float64(s.Replicas) / float64(s.Nodes) / plannedPollInterval * pollBrief.Value
		}, "each replica polled by one node only, every 5 s"},
		{"VM list", func(s Size) float64 {
			return s.VMs() / float64(s.Nodes) * listBytes.Value / plannedListInterval
		}, "each node reads a page of its zone's VMs every 60 s; changes sooner"},
		{"routing table", func(Size) float64 { return plannedCacheBytes }, "cache events of the node's share of replicas"},
		{"grouping table", func(s Size) float64 {
			return 2 * s.Regroupings() * (tableUnchangedFetch.Value + tableStored.Value)
		}, "asked after a change only, changed replicas only"},
		{"placement lease holder", func(s Size) float64 { return placementRole.Cost(s).BytesPerSec }, "as today"},
		{"rules holder", func(s Size) float64 { return rulesRole.Cost(s).BytesPerSec }, "as today"},
		{"ledger", func(s Size) float64 { return ledgerRole.Cost(s).BytesPerSec }, "as today"},
	}
}
