package capacity

import "math"

// Limit is the size at which one part breaks its bound, with everything else
// left out.
type Limit struct {
	What string
	// Value is the size, in Unit.
	Value float64
	Unit  string
	Bound string
	Next  string
}

// Limits lists what breaks, the smallest sizes first where they compare.
func Limits() []Limit {
	budget := ControlBudget()
	split := 2 * budget.BytesPerSec // one poll in 2 s for each replica
	return []Limit{
		{"VM list: whole list read every 5 s", budget.BytesPerSec * listEvery / listBytes.Value, "VMs in all zones", "6 KB/s", listRole.Next},
		{"health check: every node polls every replica, 4 VMs each", budget.BytesPerSec / (pollsPerNode.Value * pollBytes4.Value), "replicas a zone", "6 KB/s", healthRole.Next},
		{"health check: the same, 32 VMs each", budget.BytesPerSec / (pollsPerNode.Value * pollBytes32.Value), "replicas a zone", "6 KB/s", healthRole.Next},
		{"health check: each replica polled by one node in 2 s, 32 VMs each", split / pollBytes32.Value, "replicas a node", "6 KB/s", healthRole.Next},
		{"grouping table: whole table from three peers a second, 32 VMs each", tableLimit(budget.BytesPerSec), "replicas a zone", "6 KB/s", watcherRole.Next},
		{"VM list: processor", budget.CoreShare * listEvery / (listCPU.Value * micro), "VMs in all zones", "1.7% of a core", listRole.Next},
		{"VM list: memory while one list replaces another", budget.MemoryBytes / (2 * listMemory.Value), "VMs in all zones", "256 MB", listRole.Next},
		{"claims: 24 h in 1 GB of the store", 1e9 / claimBytes.Value / secondsPerDay, "bookings/s", "1 GB", claimsRole.Next},
	}
}

// tableLimit is the number of replicas a zone at which fetches fill the bytes.
func tableLimit(bytes float64) float64 {
	slope := (tableFetch265.Value - tableFetch8.Value) / (265 - 8)
	perFetch := bytes / (2 * tableFetchPeers / tableFetchEvery)
	return math.Max(0, 8+(perFetch-tableFetch8.Value)/slope)
}

func limitTable() table {
	t := table{head: []string{"what breaks", "at", "bound", "today", "B", "A", "mechanism to come"}}
	for _, l := range Limits() {
		t.add(l.What, number(l.Value)+" "+l.Unit, l.Bound, sizeFor(l.Unit, Today()), sizeFor(l.Unit, ReadingB()), sizeFor(l.Unit, Plan()), l.Next)
	}
	return t
}

// sizeFor is the size that a limit's unit is compared with.
func sizeFor(unit string, s Size) string {
	switch unit {
	case "VMs in all zones":
		return number(s.VMs())
	case "replicas a zone":
		return number(s.ReplicasPerZone())
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
	t.add("calls/s, idle, all zones", number(storeCalls.Value*zones))
	t.add("writes/s for regroupings, all zones", number(s.Regroupings()*zones))
	t.add("writes/s for changes of the rules", number(s.ChangesPerDay/secondsPerDay))
	t.add("writes/s of ledger windows, at most", number(2*zones/60))
	t.add("calls/s for 10 bookings a second, far apart, with settlement", number(2*10))
	t.add("bytes of tables, reading A", number(float64(s.Replicas)*tableStored.Value))
	t.add("bytes of claims for 1 booking a second, kept 24 h", number(claimBytes.Value*secondsPerDay))
	t.add("bytes of ledger a day, at most", number(2*zones*ledgerBytes.Value*1440/370))
	return t
}
