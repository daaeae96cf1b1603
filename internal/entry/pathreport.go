package entry

import (
	"math"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/reach"
)

// pathLogInterval is the shortest time between two log lines of reports that cannot be used.
const pathLogInterval = 10 * time.Second

// directPeers is the number of other nodes up to which each hears the others itself often enough.
const directPeers = 8

// addRelayedPaths adds what a few other nodes reported to this one of their paths to the backend servers, if
// it fits into the budget.
func (n *Core) addRelayedPaths(out *membership.Section, budget int) {
	if n.livePeers() <= directPeers {
		return
	}
	relayed := n.paths.Relay(time.Now())
	with := *out
	with.PathIDs, with.PathReports, with.PathAgesMs = relayed.IDs, relayed.Reports, relayed.AgesMs
	if membership.SectionSize(with) <= budget {
		*out = with
	}
}

// ownPath returns what this node says of its own path. Without a list of servers it says nothing.
func (n *Core) ownPath() reach.Report {
	list, known := n.currentList()
	switch {
	case n.reach.Unreachable():
		return reach.Report{State: reach.None}
	case !known || len(list.Servers) == 0:
		return reach.Report{}
	}
	return reach.Report{State: reach.Some, Room: int(math.Round(n.relay.Room() * reach.MaxRoom))}
}

// ReceivePathReport applies what another node says of paths to the backend servers.
func (n *Core) ReceivePathReport(node cluster.NodeID, report membership.Section, sentAt time.Time) {
	relayed := reach.Relayed{IDs: report.PathIDs, Reports: report.PathReports, AgesMs: report.PathAgesMs}
	err := n.paths.Observe(node, report.Path, relayed, sentAt, time.Now())
	if err == nil {
		return
	}
	n.pathLog.Do(func() { n.log.Warn("report of a path ignored", "from", node, "err", err.Error()) })
}
