package entry

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// refresh derives from list and rules what may take requests.
func (n *Core) refresh() {
	n.deriving.Lock()
	defer n.deriving.Unlock()
	list, set := n.list.Load(), n.rules.Load()
	if list == nil || set == nil {
		return
	}
	replicas := fleet.Replicas(*list, set.Groups)
	entries := routes(*list, replicas, set, n.serving)
	serving := make(map[cluster.ReplicaID]bool, len(entries))
	for _, e := range entries {
		serving[e.Replica.ID] = true
	}
	n.table.SetReplicas("", entries)
	for _, e := range entries {
		n.table.SetHealthy(e.Replica.ID, e.Replica.Generation, true)
	}
	n.noteChanges(serving, replicas, list.Revision)
	n.serving = serving
}

// noteChanges logs which replicas began and ceased to take requests, and moves
// requests away from those that lost a member.
func (n *Core) noteChanges(serving map[cluster.ReplicaID]bool, replicas []fleet.Replica, revision int64) {
	for id := range serving {
		if !n.serving[id] {
			n.logServing(id, true, false, revision)
			if groupOf(id) != "" {
				n.outages.began(id, time.Now())
			}
		}
	}
	for id := range n.serving {
		if serving[id] {
			continue
		}
		lost := lostMember(id, replicas)
		n.logServing(id, false, lost, revision)
		if groupOf(id) != "" {
			n.outages.lost(id, lost, time.Now())
		}
		if lost {
			n.relay.ReplicaLost(id)
		}
	}
}

// servingChanges are the replicas that began and ceased to take requests since a
// follower's last line about them.
type servingChanges struct {
	began, ceased, lost []cluster.ReplicaID
	// from and to are the revisions of the first and the last change.
	from, to int64
}

// logServing logs that a replica began or ceased to take requests here. All nodes derive
// that alike: those that watch the store write a line for each replica, and the many that
// follow them one a second.
func (n *Core) logServing(id cluster.ReplicaID, serving, lostMember bool, revision int64) {
	if n.feed == nil {
		n.log.Info("replica", "replica", id, "serving", serving, "lost_member", lostMember, "list_revision", revision)
		return
	}
	c := &n.changes
	if c.from == 0 {
		c.from = revision
	}
	c.to = revision
	switch {
	case serving:
		c.began = append(c.began, id)
	case lostMember:
		c.lost = append(c.lost, id)
	default:
		c.ceased = append(c.ceased, id)
	}
}

// logChanges writes what logServing has gathered.
func (n *Core) logChanges() {
	n.deriving.Lock()
	c, serving := n.changes, len(n.serving)
	n.changes = servingChanges{}
	n.deriving.Unlock()
	if c.to == 0 {
		return
	}
	n.log.Info("replicas", "serving", serving, "began", c.began, "ceased", c.ceased, "lost_member", c.lost, "from_revision", c.from, "list_revision", c.to)
}

// lostMember reports whether a replica of a model has a member that is not listed
// as its member any more. A server of a plain service that is not listed any more may be
// leaving, and ends the calls that it has.
func lostMember(id cluster.ReplicaID, replicas []fleet.Replica) bool {
	if groupOf(id) == "" {
		return false
	}
	for i := range replicas {
		if replicas[i].ID() == id {
			return len(replicas[i].Members) < replicas[i].Size
		}
	}
	return true
}

// routes lists what may take requests: replicas that serve, those of the ones
// before that may go on, and each server of a plain service as a replica of its own.
func routes(list fleet.List, replicas []fleet.Replica, set *rules.Set, before map[cluster.ReplicaID]bool) []routing.Entry {
	var out []routing.Entry
	for i := range replicas {
		r := &replicas[i]
		if !r.Serves() && !(before[r.ID()] && r.MayKeepServing()) {
			continue
		}
		head := r.Head()
		out = append(out, routing.Entry{Addr: head.Addr, Slots: head.Slots, Replica: cluster.Replica{
			ID: r.ID(), Group: cluster.GroupName(r.Model), Model: r.Model, Zone: head.Zone, Generation: r.Epoch, Serving: head.ID}})
	}
	engines := make(map[cluster.Service]bool)
	for _, g := range set.Groups {
		engines[g.Servers] = true
	}
	for _, s := range list.Servers {
		if engines[s.Service] || s.Draining {
			continue
		}
		out = append(out, routing.Entry{Addr: s.Addr, Slots: s.Slots, Replica: cluster.Replica{
			ID: cluster.ReplicaID(s.ID), Group: relay.GroupOf(s.Service, ""), Zone: s.Zone, Generation: s.StartedAt.UnixMilli(), Serving: s.ID}})
	}
	return out
}
