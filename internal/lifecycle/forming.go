package lifecycle

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// formingReplica tracks a replica whose members were ordered to join.
type formingReplica struct {
	replica  cluster.Replica
	name     string
	epoch    int64
	deadline time.Time
	sentAt   map[cluster.VMID]time.Time
	joined   map[cluster.VMID]bool
	// processStarts distinguishes the members' processes from later ones under the same id.
	processStarts map[cluster.VMID]time.Time
	openSentAt    time.Time
}

func newFormingReplica(name string, epoch int64, replica cluster.Replica, deadline time.Time) *formingReplica {
	return &formingReplica{name: name, epoch: epoch, replica: replica, deadline: deadline, sentAt: make(map[cluster.VMID]time.Time),
		joined: make(map[cluster.VMID]bool), processStarts: make(map[cluster.VMID]time.Time)}
}

// countInheritedLoads counts, once, the loads that earlier holders started: those of VMs that
// are joining a replica and do not have its weights staged.
func (m *Machine) countInheritedLoads(set *rules.Set, list fleet.List, now time.Time) {
	if m.inheritedLoadsCounted {
		return
	}
	m.inheritedLoadsCounted = true
	for _, s := range list.Servers {
		if s.Membership == nil || s.Membership.State != fleet.Joining {
			continue
		}
		model := fleet.ModelOf(s.Membership.Replica)
		if g := rules.ModelGroup(set.Groups, s.Service, model); g != nil && !slices.Contains(s.Staged, model) {
			m.loads.addInherited(s.ID, now.Add(g.ColdLoad))
		}
	}
}

// loadFinished reports whether the VM's load has finished or the VM has left the list.
func (m *Machine) loadFinished(list fleet.List, vm cluster.VMID) bool {
	s := list.Find(vm)
	if s == nil {
		return true
	}
	if model := m.staging[vm]; model != "" {
		return slices.Contains(s.Staged, model)
	}
	if f := m.formingByVM[vm]; f != nil {
		return slices.Contains(s.Staged, f.replica.Model)
	}
	return len(s.Staged) > 0
}

// updateForming advances or abandons a forming replica according to the list.
func (m *Machine) updateForming(list fleet.List, id cluster.ReplicaID, r *fleet.Replica, now time.Time) {
	f := m.formingOf(id)
	switch {
	case r != nil && r.State() == fleet.Open:
		m.setPhase(id, record{phase: phaseListed})
	case now.After(f.deadline):
		m.opts.Log.Warn("replica formation timed out", "replica", id, "reason", "members not ready in time")
		m.abandon(id, f, "not-ready-in-time", now)
	case m.hasLostMember(list, f):
		m.abandon(id, f, "member-lost", now)
	}
}

// hasLostMember reports whether a member has left the list, is draining or was restarted.
func (m *Machine) hasLostMember(list fleet.List, f *formingReplica) bool {
	for _, id := range f.replica.Members {
		s := list.Find(id)
		if s == nil || s.Draining || !s.StartedAt.Equal(f.processStarts[id]) {
			return true
		}
	}
	return false
}

// abandon ends a replica that is not known to serve. One that may have received an open order,
// from this holder or an earlier one, is shut down like any other. Otherwise no member can be
// serving, and all are released at once.
func (m *Machine) abandon(id cluster.ReplicaID, f *formingReplica, reason string, now time.Time) {
	if m.phaseOf(id) == phaseJoining {
		m.setPhase(id, record{phase: phaseEnded, ended: &endedReplica{evidence: evidence{kind: evidenceNeverOpened, at: now}}})
		return
	}
	m.setPhase(id, record{phase: phaseEnding, ending: newEndingReplica(reason, f.replica.Serving, f.replica.Members, now)})
}

// stagingModel returns the model that a VM is staging; empty if none.
func (m *Machine) stagingModel(vm cluster.VMID) string {
	if _, loading := m.loads.deadlines[vm]; !loading {
		delete(m.staging, vm)
		return ""
	}
	return m.staging[vm]
}

// startForming forms a replica from the VMs that the policy chose.
func (m *Machine) startForming(g *rules.Group, list fleet.List, a placement.Action, now time.Time) {
	var cold []cluster.VMID
	expectedLoad := g.WarmLoad
	processStarts := make(map[cluster.VMID]time.Time)
	for _, id := range a.Members {
		s := list.Find(id)
		if s == nil || m.inFlight[id] {
			return
		}
		processStarts[id] = s.StartedAt
		if s.Model != g.Model && !slices.Contains(s.Staged, g.Model) {
			cold = append(cold, id)
			expectedLoad = g.ColdLoad
		}
	}
	if !m.loads.tryStart(now, cold, g.ColdLoad, 0) {
		return
	}
	for _, id := range cold {
		delete(m.staging, id) // the join loads its own model's weights
	}
	m.replicaSequence++
	epoch := int64(m.opts.Fence)<<epochSequenceBits + m.replicaSequence
	name := fleet.ReplicaName(g.Model, epoch)
	id := fleet.ReplicaID(name, epoch)
	f := newFormingReplica(name, epoch, cluster.Replica{ID: id, Group: g.Name, Model: g.Model, Zone: m.opts.Scope,
		Generation: epoch, Fence: m.opts.Fence, Members: a.Members, Serving: a.Members[0]}, now.Add(loadTimeoutFactor*expectedLoad+joinGrace))
	f.processStarts = processStarts
	m.setPhase(id, record{phase: phaseJoining, forming: f})
	m.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "replica", id, "members", a.Members,
		"cold", len(cold), "fence", m.opts.Fence, "list_revision", list.Revision, "reason", a.Reason)
	m.sendJoins(list, f, now)
}

// sendJoins sends the join order to the members that have not confirmed it.
func (m *Machine) sendJoins(list fleet.List, f *formingReplica, now time.Time) {
	order := Order{Kind: Join, Fence: m.opts.Fence, Replica: f.name, Epoch: f.epoch, Model: f.replica.Model, Members: f.replica.Members}
	for _, id := range f.replica.Members {
		if f.joined[id] || now.Sub(f.sentAt[id]) < resendInterval {
			continue
		}
		if s := list.Find(id); s != nil && m.send(*s, order) {
			f.sentAt[id] = now
		}
	}
}

// startStaging orders a VM to stage the group's model on its host.
func (m *Machine) startStaging(g *rules.Group, list fleet.List, a placement.Action, now time.Time) {
	s := list.Find(a.VM)
	if s == nil || m.inFlight[a.VM] {
		return
	}
	if _, loading := m.loads.deadlines[a.VM]; loading {
		return
	}
	reserve := spareLoadReserve
	if a.CompletesReplica || m.unmeteredLoads {
		reserve = 0
	}
	if !m.loads.tryStart(now, []cluster.VMID{a.VM}, g.ColdLoad, reserve) {
		return
	}
	m.staging[a.VM] = g.Model
	m.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "vm", a.VM, "fence", m.opts.Fence, "list_revision", list.Revision, "reason", a.Reason)
	m.send(*s, Order{Kind: Stage, Fence: m.opts.Fence, Model: g.Model})
}

// markJoinedFromList marks members as joined whose list entry shows it, in case the response
// to the join order was lost.
func (m *Machine) markJoinedFromList(list fleet.List, f *formingReplica) {
	for _, id := range f.replica.Members {
		if s := list.Find(id); s != nil && s.IsMemberOf(f.replica.ID) {
			f.joined[id] = true
		}
	}
}

// sendOpen orders the head of a replica whose members are all ready to open it.
func (m *Machine) sendOpen(r *fleet.Replica, now time.Time) {
	id := r.ID()
	if m.phaseOf(id) == phaseListed {
		m.adoptReplica(r, now)
	}
	f := m.formingOf(id)
	if now.Sub(f.openSentAt) < resendInterval {
		return
	}
	if m.send(*r.Head(), Order{Kind: Open, Fence: m.opts.Fence, Replica: r.Name, Epoch: r.Epoch}) {
		f.openSentAt = now
		if m.phaseOf(id) == phaseJoining {
			m.setPhase(id, record{phase: phaseOpening, forming: f})
		}
		m.opts.Log.Info("placement", "action", "open", "group", r.Model, "replica", id, "head", r.Head().ID, "fence", m.opts.Fence, "reason", "all-members-ready")
	}
}

// adoptReplica takes over a ready replica that an earlier holder formed or that was closed.
func (m *Machine) adoptReplica(r *fleet.Replica, now time.Time) {
	f := newFormingReplica(r.Name, r.Epoch, policyReplica(r, nil, m.opts.Scope), now.Add(joinGrace))
	for _, member := range r.Members {
		f.processStarts[member.ID] = member.StartedAt
		f.joined[member.ID] = true
	}
	m.setPhase(r.ID(), record{phase: phaseOpening, forming: f})
}
