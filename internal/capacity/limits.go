package capacity

// Limit is the size at which one part of the system reaches a bound, with all other
// parts disregarded.
type Limit struct {
	Condition string

	Value float64
	Unit  string
	Bound string

	PlannedMechanism string
}

// Limits lists the limits; those of the same unit are in ascending order of their size.
func Limits() []Limit {
	budget := ControlBudget()
	bytes := budget.BytesPerSec
	return []Limit{
		{"VM list: the whole list read every 5 s", bytes * listReadInterval / listBytes.Value, "VMs in all zones", "6 KB/s of a reader", listNext},
		{"VM list: a list from a peer, bytes as in a read", maxPeerMessage / listMessage.Value, "VMs in all zones", "2 MiB a message", listNext},
		{"VM list: processor", budget.CoreShare * listReadInterval / ((listCPU.Value + listSumCPU.Value) * micro), "VMs in all zones", "1.7% of a core", listNext},
		{"VM list: memory while one list replaces another", budget.MemoryBytes / (2 * listMemory.Value), "VMs in all zones", "256 MB", listNext},
		{"health check: a peer's turn comes too late for polls to be split", maxNodesSharingPolls(), "nodes a zone", "5.3 s", healthRole.PlannedMechanism},
		{"health check: three states in a heartbeat, told to 24 peers in time", Plan().maxReportableReplicas(), "replicas a node", "membership's 2,800 B/s", healthRole.PlannedMechanism},
		{"health check: each node polls for itself", bytes / (pollsNode.Value * pollBrief.Value), "replicas a zone", "6 KB/s", healthRole.PlannedMechanism},
		{"health check: processor, asking for each duty four times a second", budget.CoreShare / (healthTicksPerSecond * dutyTime.Value * micro), "replicas a zone", "1.7% of a core", healthRole.PlannedMechanism},
		{"claims: 24 h in 1 GB of the store", 1e9 / claimBytes.Value / secondsPerDay, "bookings/s", "1 GB", claimsRole.PlannedMechanism},
	}
}

// maxNodesSharingPolls returns the largest number of nodes in a zone at which each node
// receives a heartbeat directly from every other node before the newest confirmation in
// that heartbeat would be too old to replace a poll of its own.
func maxNodesSharingPolls() float64 { return 1 + zoneFanout*(ownPollDelay-quietPollInterval) }

func limitTable() table {
	t := table{head: []string{"what breaks", "at", "bound", "today", "B", "A", "mechanism to come"}}
	for _, l := range Limits() {
		t.add(l.Condition, formatNumber(l.Value)+" "+l.Unit, l.Bound, sizeFor(l.Unit, Today()), sizeFor(l.Unit, ReadingB()), sizeFor(l.Unit, Plan()), l.PlannedMechanism)
	}
	return t
}

// sizeFor formats the part of s that is measured in the given unit, or a dash if there is none.
func sizeFor(unit string, s Size) string {
	if unit == "replicas a node" && s == Today() {
		return "-" // a node has at most one peer in its zone at this size
	}
	switch unit {
	case "VMs in all zones":
		return formatNumber(s.VMs())
	case "replicas a zone":
		return formatNumber(s.ReplicasPerZone())
	case "nodes a zone":
		return formatNumber(s.NodesPerZone())
	case "replicas a node":
		return formatNumber(float64(s.Replicas) / float64(s.Nodes))
	default:
		return "-"
	}
}

// storeTable returns the table of the load on the platform store.
func storeTable() table {
	t := table{head: []string{"store", "A and B"}}
	s := Plan()
	zones := float64(s.Zones)
	t.add("calls/s, idle, all zones, as measured with 16 nodes a zone", formatNumber(storeCalls.Value*zones))
	t.add("reads/s of the VM list, all zones", formatNumber(listReaders/listReadInterval*zones))
	t.add("writes/s for regroupings, all zones", formatNumber(s.Regroupings()*zones))
	t.add("writes/s for changes of the rules", formatNumber(s.ChangesPerDay/secondsPerDay))
	t.add("writes/s of ledger windows, at most", formatNumber(2*zones/60))
	t.add("calls/s for 10 bookings a second, far apart, with settlement", formatNumber(2*10))
	t.add("bytes of tables, reading A", formatNumber(float64(s.Replicas)*tableStored.Value))
	t.add("bytes of claims for 1 booking a second, kept 24 h", formatNumber(claimBytes.Value*secondsPerDay))
	t.add("bytes of ledger a day, at most", formatNumber(2*zones*ledgerBytes.Value*1440/370))
	return t
}
