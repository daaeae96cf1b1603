package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// updateRoutes recomputes from the server list and the rules which replicas may take
// requests.
func (n *Core) updateRoutes() {
	n.servingMu.Lock()
	defer n.servingMu.Unlock()
	list, set := n.serverList.Load(), n.rules.Load()
	if list == nil || set == nil {
		return
	}
	replicas := fleet.Replicas(*list, set.Groups)
	entries := n.routingEntries(*list, replicas, list.Servers, set)
	serving := make(map[cluster.ReplicaID]bool, len(entries))
	for _, e := range entries {
		serving[e.Replica.ID] = true
	}
	n.table.SetReplicas("", entries)
	n.adoptServing(entries, serving, replicas, list.Revision)
}

// updateChangedRoutes recomputes which of the changed replicas may take requests.
func (n *Core) updateChangedRoutes(delta fleet.Delta) {
	n.servingMu.Lock()
	defer n.servingMu.Unlock()
	list, set := n.serverList.Load(), n.rules.Load()
	if list == nil || set == nil {
		return
	}
	var replicas []fleet.Replica
	for _, id := range delta.Replicas {
		if r := n.servers.Replica(id, set.Groups); r != nil {
			replicas = append(replicas, *r)
		}
	}
	affected := slices.Clone(delta.Replicas)
	var servers []fleet.Server
	for _, id := range delta.Servers {
		affected = append(affected, cluster.ReplicaID(id)) // as a server of a plain service
		if s := list.Find(id); s != nil {
			servers = append(servers, *s)
		}
	}
	entries := n.routingEntries(*list, replicas, servers, set)
	serving := maps.Clone(n.serving)
	for _, id := range affected {
		delete(serving, id)
	}
	for _, e := range entries {
		serving[e.Replica.ID] = true
	}
	removed := slices.DeleteFunc(affected, func(id cluster.ReplicaID) bool { return serving[id] })
	n.table.UpdateReplicas("", entries, removed)
	n.adoptServing(entries, serving, replicas, list.Revision)
}

// adoptServing marks the replicas of the entries as healthy, and records which replicas started
// and stopped taking requests. replicas holds at least those that may have; the caller holds
// n.servingMu.
func (n *Core) adoptServing(entries []routing.Entry, serving map[cluster.ReplicaID]bool, replicas []fleet.Replica, revision int64) {
	for _, e := range entries {
		n.table.SetHealthy(e.Replica.ID, e.Replica.Generation, true)
	}
	n.recordServingChanges(serving, replicas, revision)
	n.serving = serving
}

// recordServingChanges logs and records which replicas started and stopped taking
// requests, and moves requests away from those that lost a member. One that starts replaces one that stops at
// the same time.
func (n *Core) recordServingChanges(serving map[cluster.ReplicaID]bool, replicas []fleet.Replica, revision int64) {
	for id := range n.serving {
		if serving[id] {
			continue
		}
		cause := n.downCause(id, replicas)
		n.logServingChange(id, false, cause == causeMemberLost, revision)
		if isOfModel(id) {
			n.outages.replicaDown(id, cause, time.Now())
		}
		if cause == causeMemberLost {
			n.relay.ReplicaLost(id)
		}
	}
	for id := range serving {
		if !n.serving[id] {
			n.logServingChange(id, true, false, revision)
			if isOfModel(id) {
				n.outages.replicaUp(id, n.recordedGroup(id, replicas), time.Now())
			}
		}
	}
}

// recordedGroup returns the group of one of the replicas, as the record of outages names it.
func (n *Core) recordedGroup(id cluster.ReplicaID, replicas []fleet.Replica) recordedGroup {
	at := slices.IndexFunc(replicas, func(r fleet.Replica) bool { return r.ID() == id })
	if at < 0 {
		return recordedGroup{}
	}
	group := replicas[at].Group
	return recordedGroup{group: group, name: n.rules.Load().SharedName(group)}
}

// downCause returns why a replica takes no more requests; the caller holds n.servingMu.
func (n *Core) downCause(id cluster.ReplicaID, replicas []fleet.Replica) ledger.Cause {
	if lostMember(id, replicas) {
		return causeMemberLost
	}
	at := slices.IndexFunc(replicas, func(r fleet.Replica) bool { return r.ID() == id })
	if at >= 0 && slices.Contains(n.evacuated, replicas[at].Members[0].Zone) {
		return causeEvacuated
	}
	return causeEnded
}

// servingChanges holds the replicas that started and stopped taking requests since they
// were last logged.
type servingChanges struct {
	started, stopped, lost []cluster.ReplicaID
	// from and to are the list revisions of the first and the last change.
	from, to int64
}

// logServingChange logs that a replica started or stopped taking requests on this node.
// All nodes derive the same changes, so only the few that watch the store log each one;
// the many that follow a feed collect them for one line a second.
func (n *Core) logServingChange(id cluster.ReplicaID, serving, lostMember bool, revision int64) {
	if n.feed == nil {
		n.log.Info("replica", "replica", id, "serving", serving, "lost_member", lostMember, "list_revision", revision)
		return
	}
	c := &n.pendingChanges
	if c.from == 0 {
		c.from = revision
	}
	c.to = revision
	switch {
	case serving:
		c.started = append(c.started, id)
	case lostMember:
		c.lost = append(c.lost, id)
	default:
		c.stopped = append(c.stopped, id)
	}
}

// flushServingChanges logs the changes that logServingChange has collected.
func (n *Core) flushServingChanges() {
	n.servingMu.Lock()
	c, serving := n.pendingChanges, len(n.serving)
	n.pendingChanges = servingChanges{}
	n.servingMu.Unlock()
	if c.to == 0 {
		return
	}
	n.log.Info("replicas", "serving", serving, "started", c.started, "stopped", c.stopped, "lost_member", c.lost, "from_revision", c.from, "list_revision", c.to)
}

// lostMember reports whether a replica of a model has a member that is no longer listed
// as one of its members. It is false for a server of a plain service: one that is no
// longer listed may be leaving, and finishes the calls that it has.
func lostMember(id cluster.ReplicaID, replicas []fleet.Replica) bool {
	if !isOfModel(id) {
		return false
	}
	for i := range replicas {
		if replicas[i].ID() == id {
			return len(replicas[i].Members) < replicas[i].Size
		}
	}
	return true
}

// routingEntries returns those of the replicas that may take requests, which are those that
// serve and those that did before and may continue, and each of the servers of a plain service
// as a replica of its own. The caller holds n.servingMu.
func (n *Core) routingEntries(list fleet.List, replicas []fleet.Replica, servers []fleet.Server, set *rules.Set) []routing.Entry {
	out := routingEntries(replicas, servers, set, n.serving)
	out = slices.DeleteFunc(out, func(e routing.Entry) bool { return list.IsEvacuated(e.Replica.Zone) })
	n.limitCold(out, list, set)
	setEngineFigures(out, set)
	return out
}

func routingEntries(replicas []fleet.Replica, servers []fleet.Server, set *rules.Set, previous map[cluster.ReplicaID]bool) []routing.Entry {
	var out []routing.Entry
	for i := range replicas {
		r := &replicas[i]
		if !r.Serves() && !(previous[r.ID()] && r.MayKeepServing()) {
			continue
		}
		head := r.Head()
		out = append(out, routing.Entry{Addr: head.Addr, Slots: head.Slots, StartedAt: head.StartedAt, Replica: cluster.Replica{
			ID: r.ID(), Group: r.Group, Model: r.Model, Zone: head.Zone, Generation: r.Epoch, Serving: head.ID}})
	}
	for _, s := range servers {
		if s.Draining || slices.ContainsFunc(set.Groups, func(g rules.Group) bool { return g.Servers == s.Service }) {
			continue
		}
		out = append(out, routing.Entry{Addr: s.Addr, Slots: s.Slots, StartedAt: s.StartedAt, Replica: cluster.Replica{
			ID: cluster.ReplicaID(s.ID), Group: rules.PlainGroup(s.Service), Zone: s.Zone, Generation: s.StartedAt.UnixMilli(), Serving: s.ID}})
	}
	return out
}
