package formation

import (
	"context"
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
func (t *tenure) settle(id cluster.ReplicaID, e *ending, why evidence, now time.Time) {
	t.opts.Log.Info("replica ended", "replica", id, "head", e.head, "head_born", t.seen[e.head].Born, "reason", e.reason, "held", e.held(),
		why.attrs(now), "took", now.Sub(e.since))
	delete(t.ending, id)
	t.settled[id] = &settled{why: why}
}

// settled is a replica that serves no more while some members still name it.
type settled struct {
	why evidence
	// shown is true once the list shows the head as not serving it. Until then the list
	// may lag behind the head's own answer.
	shown bool
}

// reviewSettled forgets replicas that no member names any more, and those whose head
// serves again: a delayed join or open order may take effect after the head has left.
func (t *tenure) reviewSettled(listed map[cluster.ReplicaID]*fleet.Replica, now time.Time) {
	for id, s := range t.settled {
		r := listed[id]
		if r == nil {
			delete(t.settled, id)
			continue
		}
		if state := r.State(); state != fleet.Open && state != fleet.Closing {
			s.shown = true
			continue
		}
		if s.shown {
			t.opts.Log.Warn("replica serves again", "replica", id, "head", r.Head().ID, "head_born", r.Head().Born, s.why.attrs(now))
			delete(t.settled, id)
		}
	}
}

// release frees one member of a replica whose head may serve on.
func (t *tenure) release(id cluster.ReplicaID, e *ending, vm cluster.VMID, why evidence, now time.Time) {
	t.opts.Log.Info("member released", "replica", id, "head", e.head, "vm", vm, why.attrs(now))
	e.left[vm] = why
}

// headStopped is the evidence of the list that the replica's serving member takes no
// more requests for it. One that is not listed may be cut off from the store and serve
// on.
func (t *tenure) headStopped(list fleet.List, id cluster.ReplicaID, e *ending) (evidence, bool) {
	s := list.Find(e.head)
	if s == nil {
		return evidence{}, false
	}
	m := s.Membership
	stopped := m == nil || fleet.ReplicaID(m.Replica, m.Epoch) != id || m.State == fleet.Broken
	return evidence{kind: headStopped, vm: s.ID, born: s.Born, at: list.ReadAt}, stopped
}

// reviewEnding settles replicas whose head has stopped, and forgets those without a
// member in the list.
func (t *tenure) reviewEnding(list fleet.List, shown map[cluster.ReplicaID]*fleet.Replica, now time.Time) {
	for id, e := range t.ending {
		if r := shown[id]; r != nil {
			for _, m := range r.Members {
				e.hold(m.ID)
			}
		}
		if why, stopped := t.headStopped(list, id, e); stopped {
			t.settle(id, e, why, now)
			continue
		}
		if shown[id] == nil && now.Sub(e.since) > forgetAfter {
			t.opts.Log.Info("replica forgotten", "replica", id, "head", e.head, "held", e.held(), "reason", "no member is listed", "took", now.Sub(e.since))
			delete(t.ending, id)
		}
	}
}

// forgetAfter is how long a replica is remembered of which no member is listed: a
// zone that was cut off comes back with its members as they were.
const forgetAfter = 30 * time.Second

// breakUp begins to end a replica; progress goes on with it.
func (t *tenure) breakUp(list fleet.List, a placement.Action, now time.Time) {
	if t.ending[a.Replica] != nil {
		return
	}
	if f := t.formed[a.Replica]; f != nil {
		t.giveUp(a.Replica, f, a.Reason, now)
		return
	}
	head, members := t.membersOf(list, a.Replica)
	e := newEnding(a.Reason, head, members, now)
	if e.head == "" && len(e.members) == 0 {
		return
	}
	t.ending[a.Replica] = e
	t.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "replica", a.Replica, "head", e.head,
		"head_listed", list.Find(e.head) != nil, "head_born", t.seen[e.head].Born, "members", e.members, "fence", t.fence, "list_revision", list.Revision, "reason", a.Reason)
}

// membersOf finds the members of a replica among the listed VMs, and its serving
// one also among those that were listed before.
func (t *tenure) membersOf(list fleet.List, id cluster.ReplicaID) (head cluster.VMID, members []cluster.VMID) {
	isMember := func(s *fleet.Server) bool {
		return s.Membership != nil && fleet.ReplicaID(s.Membership.Replica, s.Membership.Epoch) == id
	}
	for i := range list.Servers {
		s := &list.Servers[i]
		if !isMember(s) {
			continue
		}
		members = append(members, s.ID)
		if s.Membership.Rank == 0 {
			head = s.ID
		}
	}
	for vm, s := range t.seen {
		if head == "" && isMember(&s) && s.Membership.Rank == 0 {
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
func (t *tenure) end(ctx context.Context, list fleet.List, id cluster.ReplicaID, e *ending, now time.Time) {
	t.stopHead(ctx, list, id, e, now)
	if !e.headSilent && list.Find(e.head) != nil && t.down[e.head].since.IsZero() {
		return
	}
	for _, vm := range e.held() {
		s := list.Find(vm)
		if vm == e.head || s == nil || now.Sub(e.sentAt[vm]) < resendAfter {
			continue
		}
		if m := s.Membership; m == nil || fleet.ReplicaID(m.Replica, m.Epoch) != id {
			t.release(id, e, vm, evidence{kind: memberElsewhere, vm: vm, born: s.Born, at: list.ReadAt}, now)
			continue
		}
		if t.send(ctx, *s, t.leaveOrder(s.Membership)) {
			e.sentAt[vm] = now
		}
	}
}

func (t *tenure) leaveOrder(m *fleet.Membership) Order {
	return Order{Kind: Leave, Fence: t.fence, Replica: m.Replica, Epoch: m.Epoch}
}

// stopHead sends the head what ends its part.
func (t *tenure) stopHead(ctx context.Context, list fleet.List, id cluster.ReplicaID, e *ending, now time.Time) {
	head, known := t.seen[e.head]
	if !known || now.Sub(e.sentAt[e.head]) < resendAfter {
		return
	}
	m := head.Membership
	if m == nil || fleet.ReplicaID(m.Replica, m.Epoch) != id {
		return
	}
	order := t.leaveOrder(m)
	if e.reason == reasonLeaving && list.Find(e.head) != nil {
		switch m.State {
		case fleet.Open:
			order.Kind, order.Finish = Close, true
		case fleet.Closing:
			return
		}
	}
	if t.send(ctx, head, order) {
		e.sentAt[e.head] = now
	}
}

// reasonLeaving is the policy's reason to break up a replica that still works.
const reasonLeaving = "member-leaving"

// takeLeave notes that the head or another member has left. Misfit says that the VM is
// not in the replica any more. The answer of another VM at the address says nothing of
// this one.
func (t *tenure) takeLeave(id cluster.ReplicaID, e *ending, a answered, now time.Time) {
	switch a.answer {
	case Begun, Done, Misfit:
	default:
		e.headSilent = e.headSilent || a.vm == e.head
		return
	}
	if a.vm == e.head {
		t.settle(id, e, evidence{kind: headLeft, vm: a.vm, born: a.born, at: a.at}, now)
		return
	}
	t.release(id, e, a.vm, evidence{kind: memberLeft, vm: a.vm, born: a.born, at: a.at}, now)
}
