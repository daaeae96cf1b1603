package lifecycle

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
)

// endingReplica tracks a replica that is being shut down.
type endingReplica struct {
	reason string
	head   cluster.VMID
	// members are all known members. Each stays reserved until the head is known to have
	// stopped serving, or until the member itself has left.
	members   []cluster.VMID
	released  map[cluster.VMID]evidence
	startedAt time.Time
	// sentAt is when an order was last sent to each VM.
	sentAt map[cluster.VMID]time.Time
	// headUnresponsive is set once an order to the head got no response from its process.
	headUnresponsive bool
}

func newEndingReplica(reason string, head cluster.VMID, members []cluster.VMID, now time.Time) *endingReplica {
	return &endingReplica{reason: reason, head: head, members: members, startedAt: now,
		released: make(map[cluster.VMID]evidence), sentAt: make(map[cluster.VMID]time.Time)}
}

// addMember adds a member that appeared in the list after the shutdown began.
func (e *endingReplica) addMember(vm cluster.VMID) {
	if !slices.Contains(e.members, vm) {
		e.members = append(e.members, vm)
	}
}

// unreleased returns the members that must not join another replica yet.
func (e *endingReplica) unreleased() (out []cluster.VMID) {
	for _, vm := range e.members {
		if _, released := e.released[vm]; !released {
			out = append(out, vm)
		}
	}
	return out
}

// markEnded releases all members of a replica that has stopped serving.
func (m *Machine) markEnded(id cluster.ReplicaID, e *endingReplica, ev evidence, now time.Time) {
	m.opts.Log.Info("replica ended", "replica", id, "head", e.head, "head_born", m.lastListed[e.head].StartedAt, "reason", e.reason, "held", e.unreleased(),
		ev.attrs(now), "took", now.Sub(e.startedAt))
	m.setPhase(id, record{phase: phaseEnded, ended: &endedReplica{evidence: ev}})
}

// endedReplica tracks a replica that has stopped serving but that some members still report
// as theirs.
type endedReplica struct {
	evidence evidence
	// listConfirmed is set once the list shows that the head does not serve the replica. Until
	// then the list may lag behind the head's own response.
	listConfirmed bool
}

// updateEnded drops the record of a replica that no member reports any longer, or whose head
// serves again: a delayed join or open order may take effect after the head has left.
func (m *Machine) updateEnded(id cluster.ReplicaID, r *fleet.Replica, now time.Time) {
	e := m.records[id].ended
	if r == nil {
		m.setPhase(id, record{phase: phaseListed})
		return
	}
	if state := r.State(); state != fleet.Open && state != fleet.Closing {
		e.listConfirmed = true
		return
	}
	if e.listConfirmed {
		m.opts.Log.Warn("replica serves again", "replica", id, "head", r.Head().ID, "head_born", r.Head().StartedAt, e.evidence.attrs(now))
		m.setPhase(id, record{phase: phaseListed})
	}
}

// releaseMember releases one member of a replica whose head may still be serving.
func (m *Machine) releaseMember(id cluster.ReplicaID, e *endingReplica, vm cluster.VMID, ev evidence, now time.Time) {
	m.opts.Log.Info("member released", "replica", id, "head", e.head, "vm", vm, ev.attrs(now))
	e.released[vm] = ev
}

// findHeadStopped looks in the list for evidence that the head no longer takes requests for
// the replica. An unlisted head proves nothing: it may be partitioned from the store and
// still be serving.
func (m *Machine) findHeadStopped(list fleet.List, id cluster.ReplicaID, e *endingReplica) (evidence, bool) {
	s := list.Find(e.head)
	if s == nil {
		return evidence{}, false
	}
	stopped := !s.IsMemberOf(id) || s.Membership.State == fleet.Broken
	return evidence{kind: evidenceHeadStopped, vm: s.ID, processStart: s.StartedAt, at: list.ReadAt}, stopped
}

// updateEnding ends a replica whose head has stopped serving, and drops the record of one
// without any listed member.
func (m *Machine) updateEnding(list fleet.List, id cluster.ReplicaID, r *fleet.Replica, now time.Time) {
	e := m.endingOf(id)
	if r != nil {
		for _, member := range r.Members {
			e.addMember(member.ID)
		}
	}
	if ev, stopped := m.findHeadStopped(list, id, e); stopped {
		m.markEnded(id, e, ev, now)
		return
	}
	if r == nil && now.Sub(e.startedAt) > unlistedRetention {
		m.opts.Log.Info("replica record dropped", "replica", id, "head", e.head, "held", e.unreleased(), "reason", "no member is listed", "took", now.Sub(e.startedAt))
		m.setPhase(id, record{phase: phaseListed})
	}
}

// unlistedRetention is how long the record of a replica without a listed member is kept: the
// members of a partitioned zone come back in the state they were in.
const unlistedRetention = 30 * time.Second

// startEnding begins to shut down a replica; advanceEnding sends the orders.
func (m *Machine) startEnding(list fleet.List, a placement.Action, now time.Time) {
	switch m.phaseOf(a.Replica) {
	case phaseJoining, phaseOpening:
		m.abandon(a.Replica, m.formingOf(a.Replica), a.Reason, now)
		return
	case phaseEnding, phaseEnded:
		return
	}
	head, members := m.findMembers(list, a.Replica)
	if head == "" && len(members) == 0 {
		return
	}
	m.setPhase(a.Replica, record{phase: phaseEnding, ending: newEndingReplica(a.Reason, head, members, now)})
	m.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "replica", a.Replica, "head", head,
		"head_listed", list.Find(head) != nil, "head_born", m.lastListed[head].StartedAt, "members", members, "fence", m.opts.Fence, "list_revision", list.Revision, "reason", a.Reason)
}

// findMembers returns the listed members of a replica, and its head even if that was only
// listed earlier.
func (m *Machine) findMembers(list fleet.List, id cluster.ReplicaID) (head cluster.VMID, members []cluster.VMID) {
	for i := range list.Servers {
		s := &list.Servers[i]
		if !s.IsMemberOf(id) {
			continue
		}
		members = append(members, s.ID)
		if s.Membership.Rank == 0 {
			head = s.ID
		}
	}
	for vm, s := range m.lastListed {
		if head == "" && s.IsMemberOf(id) && s.Membership.Rank == 0 {
			head = vm
		}
	}
	return head, members
}

// advanceEnding orders the head to stop serving. A replica that lost a member is stalled: its
// head leaves at once, and its requests are retried on other replicas. A replica with a
// draining member still works: it finishes running requests first. If the head does not
// respond, every other member is ordered to leave, and may join another replica only after
// it has left, because the head may be alive and serving.
func (m *Machine) advanceEnding(list fleet.List, id cluster.ReplicaID, e *endingReplica, now time.Time) {
	m.stopHead(list, id, e, now)
	if !e.headUnresponsive && list.Find(e.head) != nil && m.down[e.head].since.IsZero() {
		return
	}
	for _, vm := range e.unreleased() {
		s := list.Find(vm)
		if vm == e.head || s == nil || now.Sub(e.sentAt[vm]) < resendInterval {
			continue
		}
		if !s.IsMemberOf(id) {
			m.releaseMember(id, e, vm, evidence{kind: evidenceMemberElsewhere, vm: vm, processStart: s.StartedAt, at: list.ReadAt}, now)
			continue
		}
		if m.send(*s, m.leaveOrder(s.Membership)) {
			e.sentAt[vm] = now
		}
	}
}

func (m *Machine) leaveOrder(of *fleet.Membership) Order {
	return Order{Kind: Leave, Fence: m.opts.Fence, Replica: of.Replica, Epoch: of.Epoch}
}

// stopHead orders the head to close, if the replica still works, or to leave.
func (m *Machine) stopHead(list fleet.List, id cluster.ReplicaID, e *endingReplica, now time.Time) {
	head, known := m.lastListed[e.head]
	if !known || !head.IsMemberOf(id) || now.Sub(e.sentAt[e.head]) < resendInterval {
		return
	}
	order := m.leaveOrder(head.Membership)
	if endsGracefully(e.reason) && list.Find(e.head) != nil {
		switch head.Membership.State {
		case fleet.Open:
			order.Kind, order.Graceful = Close, true
		case fleet.Closing:
			return
		}
	}
	if m.send(head, order) {
		e.sentAt[e.head] = now
	}
}

// endsGracefully reports whether a replica that is shut down for this reason still works and
// finishes its running requests first.
func endsGracefully(reason string) bool {
	return reason == placement.ReasonMemberLeaving || reason == placement.ReasonMoved
}

// handleLeaveResponse records that the head or another member has left. Conflict means that
// the VM is no longer in the replica. A response from another VM at the same address proves
// nothing about this one.
func (m *Machine) handleLeaveResponse(id cluster.ReplicaID, e *endingReplica, result OrderResult, now time.Time) {
	switch result.Response {
	case Accepted, Done, Conflict:
	default:
		e.headUnresponsive = e.headUnresponsive || result.To.ID == e.head
		return
	}
	ev := evidence{kind: evidenceMemberLeft, vm: result.To.ID, processStart: result.To.StartedAt, at: result.At}
	if result.To.ID == e.head {
		ev.kind = evidenceHeadLeft
		m.markEnded(id, e, ev, now)
		return
	}
	m.releaseMember(id, e, result.To.ID, ev, now)
}
