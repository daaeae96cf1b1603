package lifecycle

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
)

// ending is a replica that is taken apart.
type ending struct {
	reason string
	head   cluster.VMID
	// members are all that were known; each is held until the head is known to have
	// stopped, or it has left itself.
	members []cluster.VMID
	left    map[cluster.VMID]evidence
	since   time.Time
	// sentAt is when an order was last sent to a VM.
	sentAt map[cluster.VMID]time.Time
	// headSilent is true once an order to the head got no answer from its process.
	headSilent bool
}

func newEnding(reason string, head cluster.VMID, members []cluster.VMID, now time.Time) *ending {
	return &ending{reason: reason, head: head, members: members, since: now,
		left: make(map[cluster.VMID]evidence), sentAt: make(map[cluster.VMID]time.Time)}
}

// hold adds a member that the list shows later than others.
func (e *ending) hold(vm cluster.VMID) {
	if !slices.Contains(e.members, vm) {
		e.members = append(e.members, vm)
	}
}

// held are the members that no other replica may take yet.
func (e *ending) held() (out []cluster.VMID) {
	for _, vm := range e.members {
		if _, left := e.left[vm]; !left {
			out = append(out, vm)
		}
	}
	return out
}

// settle frees the members of a replica that serves no more.
func (m *Machine) settle(id cluster.ReplicaID, e *ending, why evidence, now time.Time) {
	m.opts.Log.Info("replica ended", "replica", id, "head", e.head, "head_born", m.seen[e.head].Born, "reason", e.reason, "held", e.held(),
		why.attrs(now), "took", now.Sub(e.since))
	m.move(id, record{phase: phaseEnded, ended: &ended{why: why}})
}

// ended is a replica that serves no more while some members still name it.
type ended struct {
	why evidence
	// shown is true once the list shows the head as not serving it. Until then the list
	// may lag behind the head's own answer.
	shown bool
}

// reviewEnded forgets a replica that no member names any more, and one whose head
// serves again: a delayed join or open order may take effect after the head has left.
func (m *Machine) reviewEnded(id cluster.ReplicaID, r *fleet.Replica, now time.Time) {
	e := m.records[id].ended
	if r == nil {
		m.move(id, record{phase: phaseListed})
		return
	}
	if state := r.State(); state != fleet.Open && state != fleet.Closing {
		e.shown = true
		return
	}
	if e.shown {
		m.opts.Log.Warn("replica serves again", "replica", id, "head", r.Head().ID, "head_born", r.Head().Born, e.why.attrs(now))
		m.move(id, record{phase: phaseListed})
	}
}

// release frees one member of a replica whose head may serve on.
func (m *Machine) release(id cluster.ReplicaID, e *ending, vm cluster.VMID, why evidence, now time.Time) {
	m.opts.Log.Info("member released", "replica", id, "head", e.head, "vm", vm, why.attrs(now))
	e.left[vm] = why
}

// headStopped is the evidence of the list that the replica's serving member takes no
// more requests for it. One that is not listed may be cut off from the store and serve
// on.
func (m *Machine) headStopped(list fleet.List, id cluster.ReplicaID, e *ending) (evidence, bool) {
	s := list.Find(e.head)
	if s == nil {
		return evidence{}, false
	}
	stopped := !s.In(id) || s.Membership.State == fleet.Broken
	return evidence{kind: headStopped, vm: s.ID, born: s.Born, at: list.ReadAt}, stopped
}

// reviewEnding settles a replica whose head has stopped, and forgets one without a
// member in the list.
func (m *Machine) reviewEnding(list fleet.List, id cluster.ReplicaID, r *fleet.Replica, now time.Time) {
	e := m.endingOf(id)
	if r != nil {
		for _, member := range r.Members {
			e.hold(member.ID)
		}
	}
	if why, stopped := m.headStopped(list, id, e); stopped {
		m.settle(id, e, why, now)
		return
	}
	if r == nil && now.Sub(e.since) > forgetAfter {
		m.opts.Log.Info("replica forgotten", "replica", id, "head", e.head, "held", e.held(), "reason", "no member is listed", "took", now.Sub(e.since))
		m.move(id, record{phase: phaseListed})
	}
}

// forgetAfter is how long a replica is remembered of which no member is listed: a
// zone that was cut off comes back with its members as they were.
const forgetAfter = 30 * time.Second

// breakUp begins to end a replica; progress goes on with it.
func (m *Machine) breakUp(list fleet.List, a placement.Action, now time.Time) {
	switch m.phaseOf(a.Replica) {
	case phaseJoining, phaseOpening:
		m.giveUp(a.Replica, m.formingOf(a.Replica), a.Reason, now)
		return
	case phaseEnding, phaseEnded:
		return
	}
	head, members := m.membersOf(list, a.Replica)
	if head == "" && len(members) == 0 {
		return
	}
	m.move(a.Replica, record{phase: phaseEnding, ending: newEnding(a.Reason, head, members, now)})
	m.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "replica", a.Replica, "head", head,
		"head_listed", list.Find(head) != nil, "head_born", m.seen[head].Born, "members", members, "fence", m.opts.Fence, "list_revision", list.Revision, "reason", a.Reason)
}

// membersOf finds the members of a replica among the listed VMs, and its serving
// one also among those that were listed before.
func (m *Machine) membersOf(list fleet.List, id cluster.ReplicaID) (head cluster.VMID, members []cluster.VMID) {
	for i := range list.Servers {
		s := &list.Servers[i]
		if !s.In(id) {
			continue
		}
		members = append(members, s.ID)
		if s.Membership.Rank == 0 {
			head = s.ID
		}
	}
	for vm, s := range m.seen {
		if head == "" && s.In(id) && s.Membership.Rank == 0 {
			head = vm
		}
	}
	return head, members
}

// end has the serving member of a broken replica stop. One that lost a member
// stands still: it leaves at once, and its requests go elsewhere. One whose member
// is about to leave still works: it finishes first. Where the head does not
// answer, each other member leaves by itself: only then may another replica have
// it, for the head may be alive and serve others.
func (m *Machine) end(list fleet.List, id cluster.ReplicaID, e *ending, now time.Time) {
	m.stopHead(list, id, e, now)
	if !e.headSilent && list.Find(e.head) != nil && m.down[e.head].since.IsZero() {
		return
	}
	for _, vm := range e.held() {
		s := list.Find(vm)
		if vm == e.head || s == nil || now.Sub(e.sentAt[vm]) < resendAfter {
			continue
		}
		if !s.In(id) {
			m.release(id, e, vm, evidence{kind: memberElsewhere, vm: vm, born: s.Born, at: list.ReadAt}, now)
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

// stopHead sends the head what ends its part.
func (m *Machine) stopHead(list fleet.List, id cluster.ReplicaID, e *ending, now time.Time) {
	head, known := m.seen[e.head]
	if !known || !head.In(id) || now.Sub(e.sentAt[e.head]) < resendAfter {
		return
	}
	order := m.leaveOrder(head.Membership)
	if e.reason == reasonLeaving && list.Find(e.head) != nil {
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

// reasonLeaving is the policy's reason to break up a replica that still works.
const reasonLeaving = "member-leaving"

// takeLeave notes that the head or another member has left. Misfit says that the VM is
// not in the replica any more. The answer of another VM at the address says nothing of
// this one.
func (m *Machine) takeLeave(id cluster.ReplicaID, e *ending, a OrderResult, now time.Time) {
	switch a.Response {
	case Accepted, Done, Conflict:
	default:
		e.headSilent = e.headSilent || a.To.ID == e.head
		return
	}
	why := evidence{kind: memberLeft, vm: a.To.ID, born: a.To.Born, at: a.At}
	if a.To.ID == e.head {
		why.kind = headLeft
		m.settle(id, e, why, now)
		return
	}
	m.release(id, e, a.To.ID, why, now)
}
