package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
)

// loadReportLife is how long another node's report counts: about as long as a request.
// With many nodes reports come seldom, and requests that ended would make replicas look full.
const loadReportLife = time.Second

// loadBytes is what one replica's count takes in a datagram: its id and a small number.
const loadBytes = 5

// LoadReport is what this node reports to the others of its region, within budget bytes:
// whether it was asked for anything, and what it runs on each replica. It is sent again each
// round, as datagrams are lost.
func (n *Core) LoadReport(budget int) membership.Section {
	out := membership.Section{Asked: n.asked.Load()}
	room := (budget - membership.SectionSize(out) - 2*loadBytes) / loadBytes
	for id, count := range n.table.Outstanding() {
		if room--; room < 0 {
			break // another round tells others: the order differs each time
		}
		out.LoadIDs = append(out.LoadIDs, loadID(id))
		out.LoadCounts = append(out.LoadCounts, uint32(count))
	}
	return out
}

// loadID names a replica in four bytes. Two with one id would be told apart wrongly: at
// a hundred replicas that is one chance in a million.
func loadID(id cluster.ReplicaID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// ReceiveLoadReport takes what another node reported.
func (n *Core) ReceiveLoadReport(node cluster.NodeID, report membership.Section) {
	now := time.Now()
	if report.Asked {
		n.asked.Store(true)
	}
	n.takeLoads(node, report, now)
}

// takeLoads takes another node's counts. A replica that it does not name has none of its
// requests.
func (n *Core) takeLoads(node cluster.NodeID, report membership.Section, now time.Time) {
	counts := make(map[uint32]int, len(report.LoadIDs))
	for i := range min(len(report.LoadIDs), len(report.LoadCounts)) {
		counts[report.LoadIDs[i]] = int(report.LoadCounts[i])
	}
	n.deriving.Lock()
	serving := n.serving
	n.deriving.Unlock()
	for id := range serving {
		n.table.ObservePeerOutstanding(node, id, counts[loadID(id)], now)
	}
}
