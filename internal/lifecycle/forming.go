package lifecycle

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// forming is a replica whose members were ordered to join.
type forming struct {
	replica  cluster.Replica
	name     string
	epoch    int64
	deadline time.Time
	sentAt   map[cluster.VMID]time.Time
	joined   map[cluster.VMID]bool
	// born tells the members' processes from later ones under the same id.
	born   map[cluster.VMID]time.Time
	openAt time.Time
}

func newForming(name string, epoch int64, replica cluster.Replica, deadline time.Time) *forming {
	return &forming{name: name, epoch: epoch, replica: replica, deadline: deadline, sentAt: make(map[cluster.VMID]time.Time),
		joined: make(map[cluster.VMID]bool), born: make(map[cluster.VMID]time.Time)}
}

// adoptLoads counts, once, the loads that an earlier holder began: VMs that join a
// replica whose weights their hosts don't have.
func (m *Machine) adoptLoads(set *rules.Set, list fleet.List, now time.Time) {
	if m.adopted {
		return
	}
	m.adopted = true
	for _, s := range list.Servers {
		if s.Membership == nil || s.Membership.State != fleet.Joining {
			continue
		}
		model := fleet.ModelOf(s.Membership.Replica)
		if g := placement.FindGroup(set.Groups, cluster.GroupName(model)); g != nil && !slices.Contains(s.Staged, model) {
			m.loads.adopt(s.ID, now.Add(g.ColdLoad))
		}
	}
}

// loaded reports whether the VM's load has ended, or the VM is gone.
func (m *Machine) loaded(list fleet.List, vm cluster.VMID) bool {
	s := list.Find(vm)
	if s == nil {
		return true
	}
	if f := m.formingOfVM[vm]; f != nil {
		return slices.Contains(s.Staged, f.replica.Model)
	}
	return len(s.Staged) > 0
}

// reviewForming takes note of what the list says of a replica that is being formed.
func (m *Machine) reviewForming(list fleet.List, id cluster.ReplicaID, r *fleet.Replica, now time.Time) {
	f := m.formingOf(id)
	switch {
	case r != nil && r.State() == fleet.Open:
		m.move(id, record{phase: phaseListed})
	case now.After(f.deadline):
		m.opts.Log.Warn("replica given up", "replica", id, "reason", "members not ready in time")
		m.giveUp(id, f, "not-ready-in-time", now)
	case m.lostMember(list, f):
		m.giveUp(id, f, "member-lost", now)
	}
}

func (m *Machine) lostMember(list fleet.List, f *forming) bool {
	for _, id := range f.replica.Members {
		s := list.Find(id)
		if s == nil || s.Draining || !s.StartedAt.Equal(f.born[id]) {
			return true
		}
	}
	return false
}

// giveUp ends a replica that is not known to serve. One that may have been told to
// open, by this holder or by an earlier one, is ended like any other; of the others no
// member ever serves.
func (m *Machine) giveUp(id cluster.ReplicaID, f *forming, reason string, now time.Time) {
	if m.phaseOf(id) == phaseJoining {
		m.move(id, record{phase: phaseEnded, ended: &ended{why: evidence{kind: neverOpened, at: now}}})
		return
	}
	m.move(id, record{phase: phaseEnding, ending: newEnding(reason, f.replica.Serving, f.replica.Members, now)})
}

// loading is the model that a VM reads ahead; empty if none.
func (m *Machine) loading(vm cluster.VMID) string {
	if _, loads := m.loads.until[vm]; !loads {
		delete(m.staging, vm)
		return ""
	}
	return m.staging[vm]
}

// form begins a replica of the VMs that the policy chose.
func (m *Machine) form(g *rules.Group, list fleet.List, a placement.Action, now time.Time) {
	var cold []cluster.VMID
	usual := g.WarmLoad
	born := make(map[cluster.VMID]time.Time)
	for _, id := range a.Members {
		s := list.Find(id)
		if s == nil || m.inFlight[id] {
			return
		}
		born[id] = s.StartedAt
		if s.Model != g.Model && !slices.Contains(s.Staged, g.Model) {
			cold = append(cold, id)
			usual = g.ColdLoad
		}
	}
	if !m.loads.begin(now, cold, g.ColdLoad, 0) {
		return
	}
	m.seq++
	epoch := int64(m.opts.Fence)<<epochBits + m.seq
	name := fleet.ReplicaName(g.Model, epoch)
	id := fleet.ReplicaID(name, epoch)
	f := newForming(name, epoch, cluster.Replica{ID: id, Group: g.Name, Model: g.Model, Zone: m.opts.Scope,
		Generation: epoch, Fence: m.opts.Fence, Members: a.Members, Serving: a.Members[0]}, now.Add(lateLoad*usual+joinGrace))
	f.born = born
	m.move(id, record{phase: phaseJoining, forming: f})
	m.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "replica", id, "members", a.Members,
		"cold", len(cold), "fence", m.opts.Fence, "list_revision", list.Revision, "reason", a.Reason)
	m.join(list, f, now)
}

// join sends the join order to the members that have not taken it.
func (m *Machine) join(list fleet.List, f *forming, now time.Time) {
	order := Order{Kind: Join, Fence: m.opts.Fence, Replica: f.name, Epoch: f.epoch, Model: f.replica.Model, Members: f.replica.Members}
	for _, id := range f.replica.Members {
		if f.joined[id] || now.Sub(f.sentAt[id]) < resendAfter {
			continue
		}
		if s := list.Find(id); s != nil && m.send(*s, order) {
			f.sentAt[id] = now
		}
	}
}

// stage has a VM's host read weights ahead.
func (m *Machine) stage(g *rules.Group, list fleet.List, a placement.Action, now time.Time) {
	s := list.Find(a.VM)
	if s == nil || m.inFlight[a.VM] {
		return
	}
	if _, loading := m.loads.until[a.VM]; loading {
		return
	}
	reserve := spareReserve
	if a.CompletesReplica || m.freeLoad {
		reserve = 0
	}
	if !m.loads.begin(now, []cluster.VMID{a.VM}, g.ColdLoad, reserve) {
		return
	}
	m.staging[a.VM] = g.Model
	m.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "vm", a.VM, "fence", m.opts.Fence, "list_revision", list.Revision, "reason", a.Reason)
	m.send(*s, Order{Kind: Stage, Fence: m.opts.Fence, Model: g.Model})
}

// noteJoined takes a membership in the list for the answer that did not come.
func (m *Machine) noteJoined(list fleet.List, f *forming) {
	for _, id := range f.replica.Members {
		if s := list.Find(id); s != nil && s.IsMemberOf(f.replica.ID) {
			f.joined[id] = true
		}
	}
}

// open has a replica serve once every member was seen ready.
func (m *Machine) open(r *fleet.Replica, now time.Time) {
	id := r.ID()
	if m.phaseOf(id) == phaseListed {
		m.adopt(r, now)
	}
	f := m.formingOf(id)
	if now.Sub(f.openAt) < resendAfter {
		return
	}
	if m.send(*r.Head(), Order{Kind: Open, Fence: m.opts.Fence, Replica: r.Name, Epoch: r.Epoch}) {
		f.openAt = now
		if m.phaseOf(id) == phaseJoining {
			m.move(id, record{phase: phaseOpening, forming: f})
		}
		m.opts.Log.Info("placement", "action", "open", "group", r.Model, "replica", id, "head", r.Head().ID, "fence", m.opts.Fence, "reason", "all-members-ready")
	}
}

// adopt takes over a ready replica of an earlier holder, or one that was closed.
func (m *Machine) adopt(r *fleet.Replica, now time.Time) {
	f := newForming(r.Name, r.Epoch, placementReplica(r, nil, m.opts.Scope), now.Add(joinGrace))
	for _, member := range r.Members {
		f.born[member.ID] = member.StartedAt
		f.joined[member.ID] = true
	}
	m.move(r.ID(), record{phase: phaseOpening, forming: f})
}
