package capacity

// planned is what a role would send and receive on each node with the mechanism
// to come. None of it is built; only the bytes of single messages are measured.
type planned struct {
	role  string
	bytes func(Size) float64
	how   string
}

const (
	plannedHeartbeats = 1600 // bytes a second each way, headers included
	plannedPollEvery  = 5.0  // seconds between polls of a quiet replica
	plannedListEvery  = 60.0 // seconds in which a node reads its page of the VM list
	plannedCache      = 500  // bytes a second
)

func plannedTraffic() []planned {
	return []planned{
		{"membership", func(Size) float64 { return 2 * plannedHeartbeats }, "1,600 B/s each way in place of 2,186"},
		{"health check and polls", func(s Size) float64 {
			return float64(s.Replicas) / float64(s.Nodes) / plannedPollEvery * pollBrief.Value
		}, "each replica polled by one node only, every 5 s"},
		{"VM list", func(s Size) float64 {
			return s.VMs() / float64(s.Nodes) * listBytes.Value / plannedListEvery
		}, "each node reads a page of its zone's VMs every 60 s; changes sooner"},
		{"routing table", func(Size) float64 { return plannedCache }, "cache events of the node's share of replicas"},
		{"grouping table", func(s Size) float64 {
			return 2 * s.Regroupings() * (tableNoNews.Value + tableStored.Value)
		}, "asked after a change only, changed replicas only"},
		{"placement lease holder", func(s Size) float64 { return placementRole.Cost(s).BytesPerSec }, "as today"},
		{"rules holder", func(s Size) float64 { return rulesRole.Cost(s).BytesPerSec }, "as today"},
		{"ledger", func(s Size) float64 { return ledgerRole.Cost(s).BytesPerSec }, "as today"},
	}
}
