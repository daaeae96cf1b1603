package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
)

// loadReportTTL is how long another node's report counts: about as long as a request.
// With many nodes, reports are rare, and requests that have ended since would make
// replicas look full.
const loadReportTTL = time.Second

// loadEntrySize is the size in bytes of one replica's count in a datagram: a 4-byte id
// and a small number.
const loadEntrySize = 5

// LoadReport returns this node's report to the other nodes of its region, in at most
// budget bytes: whether it has seen a request, and how many requests it runs on each
// replica. It is sent again each round, as datagrams can be lost.
func (n *Core) LoadReport(budget int) membership.Section {
	out := membership.Section{Asked: n.requestSeen.Load()}
	remaining := (budget - membership.SectionSize(out) - 2*loadEntrySize) / loadEntrySize
	for id, count := range n.table.Outstanding() {
		if remaining--; remaining < 0 {
			break // map order varies, so that other replicas are reported in other rounds
		}
		out.LoadIDs = append(out.LoadIDs, replicaHash(id))
		out.LoadCounts = append(out.LoadCounts, uint32(count))
	}
	return out
}

// replicaHash identifies a replica in four bytes. On a collision, two replicas share one
// count; for a hundred replicas the probability is about one in a million.
func replicaHash(id cluster.ReplicaID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// ReceiveLoadReport applies another node's load report.
func (n *Core) ReceiveLoadReport(node cluster.NodeID, report membership.Section) {
	now := time.Now()
	if report.Asked {
		n.requestSeen.Store(true)
	}
	n.applyLoads(node, report, now)
}

// applyLoads records another node's counts of requests. A replica that the report does
// not name has none of that node's requests.
func (n *Core) applyLoads(node cluster.NodeID, report membership.Section, now time.Time) {
	counts := make(map[uint32]int, len(report.LoadIDs))
	for i := range min(len(report.LoadIDs), len(report.LoadCounts)) {
		counts[report.LoadIDs[i]] = int(report.LoadCounts[i])
	}
	n.servingMu.Lock()
	serving := n.serving
	n.servingMu.Unlock()
	for id := range serving {
		n.table.ObservePeerOutstanding(node, id, counts[replicaHash(id)], now)
	}
}
