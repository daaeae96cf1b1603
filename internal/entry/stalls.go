package entry

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
)

// onStall has the holder of the placement lease probe replicas that seem stalled, and
// notifies the other nodes if other replicas make progress. With many nodes, each has few
// requests on a replica: if each had to detect the stall itself, callers of each would wait
// for it. A node with a single request can't tell a stalled replica from a slow one, but the
// holder can.
func (n *Core) onStall(ids []cluster.ReplicaID, othersWorking bool) {
	var report membership.Section
	for _, id := range ids {
		n.control.ReportStalled(id)
		report.StalledIDs = append(report.StalledIDs, replicaHash(id))
	}
	if addr := n.holderAddr.Load(); addr != nil && *addr != "" && n.send != nil && !n.control.HoldsLease() {
		n.send(*addr, report)
	}
	if othersWorking && n.broadcast != nil {
		n.broadcast(report)
	}
}

// onReplicaWorking notifies all nodes, this one included, that a replica's members answer.
func (n *Core) onReplicaWorking(id cluster.ReplicaID) {
	n.relay.MarkHealthy(id, time.Now())
	if n.broadcast != nil {
		n.broadcast(membership.Section{WorkingIDs: []uint32{replicaHash(id)}})
	}
}

// ReceiveStallReport applies another node's report of replicas that seem stalled or were
// found working. The holder of the placement lease probes stalled ones itself.
func (n *Core) ReceiveStallReport(node cluster.NodeID, report membership.Section) {
	if len(report.StalledIDs)+len(report.WorkingIDs) == 0 {
		return
	}
	now := time.Now()
	n.servingMu.Lock()
	serving := n.serving
	n.servingMu.Unlock()
	for id := range serving {
		if slices.Contains(report.StalledIDs, replicaHash(id)) {
			n.control.ReportStalled(id)
			n.relay.ReportStall(id, node, now)
		}
		if slices.Contains(report.WorkingIDs, replicaHash(id)) {
			n.relay.MarkHealthy(id, now)
		}
	}
}
