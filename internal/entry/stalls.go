package entry

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
)

// stalled has the holder of the placement lease look after replicas that stand still, and
// tells the other nodes. Of many nodes each has few requests on a replica: were each to
// find out by itself, callers of each would wait for it.
func (n *Core) stalled(ids []cluster.ReplicaID, othersWork bool) {
	var report membership.Section
	for _, id := range ids {
		n.control.Suspect(id)
		report.StalledIDs = append(report.StalledIDs, loadID(id))
	}
	if othersWork && n.announce != nil {
		n.announce(report)
	}
}

// replicaWorks tells all nodes, this one too, that the members of a replica answer.
func (n *Core) replicaWorks(id cluster.ReplicaID) {
	n.relay.ReplicaWorks(id, time.Now())
	if n.announce != nil {
		n.announce(membership.Section{WorkingIDs: []uint32{loadID(id)}})
	}
}

// ReceiveStallReport takes what another node found of replicas that seem to stand still. The
// holder asks the members itself.
func (n *Core) ReceiveStallReport(node cluster.NodeID, report membership.Section) {
	if len(report.StalledIDs)+len(report.WorkingIDs) == 0 {
		return
	}
	now := time.Now()
	n.deriving.Lock()
	serving := n.serving
	n.deriving.Unlock()
	for id := range serving {
		if slices.Contains(report.StalledIDs, loadID(id)) {
			n.control.Suspect(id)
			n.relay.ReportStall(id, node, now)
		}
		if slices.Contains(report.WorkingIDs, loadID(id)) {
			n.relay.ReplicaWorks(id, now)
		}
	}
}
