package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// loadReportTTL is how long another node's report counts: about as long as a request.
// With many nodes, reports are rare, and requests that have ended since would make
// replicas look full.
const loadReportTTL = time.Second

const (
	// loadEntrySize is the size in bytes of one replica's work in a datagram: a 4-byte id, a small
	// number and up to two bytes of unread tokens.
	loadEntrySize = 7
	// unreadUnit is the number of tokens in a unit of reported unread tokens.
	unreadUnit = 32
)

// LoadReport returns this node's report to the other nodes of its region, in at most
// budget bytes: whether it has seen a request, whether it reaches the servers, and how many requests it runs on each
// replica. It is sent again each round, as datagrams can be lost.
func (n *Core) LoadReport(budget int) membership.Section {
	out := membership.Section{Asked: n.requestSeen.Load(), Path: n.ownPath().Encode()}
	set := n.rules.Load()
	for group, rate := range n.work.Own(time.Now()) {
		out.WorkIDs = append(out.WorkIDs, groupHash(set.SharedName(group)))
		out.WorkRates = append(out.WorkRates, uint32(rate*workUnit))
	}
	if membership.SectionSize(out) > budget {
		return membership.Section{Asked: out.Asked, Path: out.Path}
	}
	n.addRelayedPaths(&out, budget)
	remaining := (budget - membership.SectionSize(out) - 4*loadEntrySize) / loadEntrySize
	n.addWork(&out, remaining)
	return out
}

// WorkReport returns the part of LoadReport that changes with each request, in at most budget bytes.
func (n *Core) WorkReport(budget int) membership.Section {
	out := membership.Section{Asked: n.requestSeen.Load(), Path: n.ownPath().Encode()}
	n.addWork(&out, (budget-membership.SectionSize(out)-4*loadEntrySize)/loadEntrySize)
	return out
}

// workUnit is the number of units of reported work in a replica kept fully busy.
const workUnit = 1000

// groupHash identifies a group by its shared name in four bytes.
func groupHash(group cluster.GroupName) uint32 { return uint32(xxhash.Sum64String(string(group))) }

// receiveWork applies another node's report of the work that arrives there.
func (n *Core) receiveWork(node cluster.NodeID, report membership.Section, now time.Time) {
	set := n.rules.Load()
	if set == nil || len(report.WorkIDs) == 0 || len(report.WorkIDs) != len(report.WorkRates) {
		return
	}
	rates := make(workload.Rates)
	for i := range set.Groups {
		if at := slices.Index(report.WorkIDs, groupHash(set.SharedName(set.Groups[i].Name))); at >= 0 {
			rates[set.Groups[i].Name] = float64(report.WorkRates[at]) / workUnit
		}
	}
	n.work.Observe(node, rates, now)
}

// totalWork estimates the work that arrives at all nodes; nil if too little is known.
func (n *Core) totalWork() workload.Rates {
	return n.work.Total(n.livePeers(), time.Now())
}

// livePeers returns the number of other live nodes that this node knows.
func (n *Core) livePeers() int {
	if count := n.peerCount.Load(); count != nil {
		return (*count)()
	}
	return 0
}

// SetPeers sets the function that returns the number of other live nodes.
func (n *Core) SetPeers(count func() int) { n.peerCount.Store(&count) }

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
	n.receiveWork(node, report, now)
}

// addWork adds this node's work on at most limit replicas, those with the most unread tokens first:
// what the others do not know of these makes the most requests late.
func (n *Core) addWork(out *membership.Section, limit int) {
	work := n.table.OwnWork()
	ids := slices.Collect(maps.Keys(work)) // map order varies, so that other replicas without unread tokens are reported in other rounds
	slices.SortStableFunc(ids, func(a, b cluster.ReplicaID) int { return work[b].UnreadTokens - work[a].UnreadTokens })
	for _, id := range ids[:min(max(limit, 0), len(ids))] {
		w := work[id]
		out.LoadIDs = append(out.LoadIDs, replicaHash(id))
		out.LoadCounts = append(out.LoadCounts, uint32(w.Requests))
		out.LoadUnread = append(out.LoadUnread, uint32((w.UnreadTokens+unreadUnit-1)/unreadUnit))
	}
}

// applyLoads records another node's work. A replica that the report does not name has none of that
// node's requests. A report of unread tokens that does not fit its counts is ignored.
func (n *Core) applyLoads(node cluster.NodeID, report membership.Section, now time.Time) {
	reported := make(map[uint32]enginemodel.Work, len(report.LoadIDs))
	for i := range min(len(report.LoadIDs), len(report.LoadCounts)) {
		w := enginemodel.Work{Requests: int(report.LoadCounts[i])}
		if len(report.LoadUnread) == len(report.LoadIDs) {
			w.UnreadTokens = int(report.LoadUnread[i]) * unreadUnit
		}
		reported[report.LoadIDs[i]] = w
	}
	n.servingMu.Lock()
	serving := n.serving
	n.servingMu.Unlock()
	for id := range serving {
		n.table.ObservePeerWork(node, id, reported[replicaHash(id)], now)
	}
}
