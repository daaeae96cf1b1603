package capacity

// Limit is the size at which one part breaks its bound, with everything else
// left out.
type Limit struct {
	Condition string
	// Value is the size, in Unit.
	Value float64
	Unit  string
	Bound string
	PlannedMechanism  string
}

// Limits lists what breaks, the smallest sizes first where they compare.
func Limits() []Limit {
	budget := ControlBudget()
	bytes := budget.BytesPerSec
	return []Limit{
		{"VM list: the whole list read every 5 s", bytes * listEvery / listBytes.Value, "VMs in all zones", "6 KB/s of a reader", listNext},
		{"VM list: a list from a peer, bytes as in a read", maxPeerMessage / listMessage.Value, "VMs in all zones", "2 MiB a message", listNext},
		{"VM list: processor", budget.CoreShare * listEvery / ((listCPU.Value + listSumCPU.Value) * micro), "VMs in all zones", "1.7% of a core", listNext},
		{"VM list: memory while one list replaces another", budget.MemoryBytes / (2 * listMemory.Value), "VMs in all zones", "256 MB", listNext},
		{"health check: a peer's turn comes too late for polls to be split", splitUpTo(), "nodes a zone", "5.3 s", healthRole.PlannedMechanism},
		{"health check: three states in a heartbeat, told to 24 peers in time", Plan().tellable(), "replicas a node", "membership's 2,800 B/s", healthRole.PlannedMechanism},
		{"health check: each node polls for itself", bytes / (pollsNode.Value * pollBrief.Value), "replicas a zone", "6 KB/s", healthRole.PlannedMechanism},
		{"health check: processor, asking for each duty four times a second", budget.CoreShare / (healthRounds * dutyTime.Value * micro), "replicas a zone", "1.7% of a core", healthRole.PlannedMechanism},
		{"claims: 24 h in 1 GB of the store", 1e9 / claimBytes.Value / secondsPerDay, "bookings/s", "1 GB", claimsRole.PlannedMechanism},
	}
}

// splitUpTo is the number of nodes a zone up to which each node hears each other
// directly before the newest confirmation that the other can tell is nearly old.
func splitUpTo() float64 { return 1 + zoneTargets*(ownPollAfter-quietPollEvery) }

func limitTable() table {
	t := table{head: []string{"what breaks", "at", "bound", "today", "B", "A", "mechanism to come"}}
	for _, l := range Limits() {
		t.add(l.Condition, number(l.Value)+" "+l.Unit, l.Bound, sizeFor(l.Unit, Today()), sizeFor(l.Unit, ReadingB()), sizeFor(l.Unit, Plan()), l.PlannedMechanism)
	}
	return t
}

// sizeFor is the size that a limit's unit is compared with.
func sizeFor(unit string, s Size) string {
	if unit == "replicas a node" && s == Today() {
		return "-" // a node of today has one peer in its zone, if any
	}
	switch unit {
	case "VMs in all zones":
		return number(s.VMs())
	case "replicas a zone":
		return number(s.ReplicasPerZone())
	case "nodes a zone":
		return number(s.NodesPerZone())
	case "replicas a node":
		return number(float64(s.Replicas) / float64(s.Nodes))
	default:
		return "-"
	}
}

// storeTable is the platform store's load.
func storeTable() table {
	t := table{head: []string{"store", "A and B"}}
	s := Plan()
	zones := float64(s.Zones)
	t.add("calls/s, idle, all zones, as measured with 16 nodes a zone", number(storeCalls.Value*zones))
	t.add("reads/s of the VM list, all zones", number(listReaders/listEvery*zones))
	t.add("writes/s for regroupings, all zones", number(s.Regroupings()*zones))
	t.add("writes/s for changes of the rules", number(s.ChangesPerDay/secondsPerDay))
	t.add("writes/s of ledger windows, at most", number(2*zones/60))
	t.add("calls/s for 10 bookings a second, far apart, with settlement", number(2*10))
	t.add("bytes of tables, reading A", number(float64(s.Replicas)*tableStored.Value))
	t.add("bytes of claims for 1 booking a second, kept 24 h", number(claimBytes.Value*secondsPerDay))
	t.add("bytes of ledger a day, at most", number(2*zones*ledgerBytes.Value*1440/370))
	return t
}
