package formation

import (
	"context"
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
	// mayServe is true once an open order may have been sent, by this holder or by an
	// earlier one, whose order may still be under way.
	mayServe bool
}

// adoptLoads counts, once, the loads that an earlier holder began: VMs that join a
// replica whose weights their hosts don't have.
func (t *tenure) adoptLoads(set *rules.Set, list fleet.List, now time.Time) {
	if t.adopted {
		return
	}
	t.adopted = true
	for _, s := range list.Servers {
		m := s.Membership
		if m == nil || m.State != fleet.Joining {
			continue
		}
		model := fleet.ModelOf(m.Replica)
		if g := placement.FindGroup(set.Groups, cluster.GroupName(model)); g != nil && !slices.Contains(s.Staged, model) {
			t.loads.adopt(s.ID, now.Add(g.ColdLoad))
		}
	}
}

// loaded reports whether the VM's load has ended, or the VM is gone.
func (t *tenure) loaded(list fleet.List, vm cluster.VMID) bool {
	s := list.Find(vm)
	if s == nil {
		return true
	}
	for _, f := range t.formed {
		if slices.Contains(f.replica.Members, vm) {
			return slices.Contains(s.Staged, f.replica.Model)
		}
	}
	return len(s.Staged) > 0
}

func (t *tenure) lostMember(list fleet.List, f *forming) bool {
	for _, id := range f.replica.Members {
		s := list.Find(id)
		if s == nil || s.Draining || !s.Born.Equal(f.born[id]) {
			return true
		}
	}
	return false
}

// giveUp ends a replica that is not known to serve. One that may have been told to
// open is ended like any other; of the others no member ever serves.
func (t *tenure) giveUp(id cluster.ReplicaID, f *forming, reason string, now time.Time) {
	delete(t.formed, id)
	if !f.mayServe {
		t.settled[id] = &settled{why: evidence{kind: neverOpened, at: now}}
		return
	}
	t.ending[id] = newEnding(reason, f.replica.Serving, f.replica.Members, now)
}

// loading is the model that a VM reads ahead; empty if none.
func (t *tenure) loading(vm cluster.VMID) string {
	if _, loads := t.loads.until[vm]; !loads {
		delete(t.staging, vm)
		return ""
	}
	return t.staging[vm]
}

func (t *tenure) form(ctx context.Context, g *rules.Group, list fleet.List, a placement.Action, now time.Time) {
	var cold []cluster.VMID
	usual := g.WarmLoad
	born := make(map[cluster.VMID]time.Time)
	for _, id := range a.Members {
		s := list.Find(id)
		if s == nil || t.busy(id) {
			return
		}
		born[id] = s.Born
		if s.Model != g.Model && !slices.Contains(s.Staged, g.Model) {
			cold = append(cold, id)
			usual = g.ColdLoad
		}
	}
	if !t.loads.begin(now, cold, g.ColdLoad, 0) {
		return
	}
	t.seq++
	epoch := int64(t.fence)<<epochBits + t.seq
	name := fleet.Name(g.Model, epoch)
	f := &forming{name: name, epoch: epoch, deadline: now.Add(lateLoad*usual + joinGrace), born: born,
		sentAt: make(map[cluster.VMID]time.Time), joined: make(map[cluster.VMID]bool),
		replica: cluster.Replica{ID: fleet.ReplicaID(name, epoch), Group: g.Name, Model: g.Model, Zone: t.opts.Scope,
			Generation: epoch, Fence: t.fence, Members: a.Members, Serving: a.Members[0]}}
	t.formed[f.replica.ID] = f
	t.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "replica", f.replica.ID, "members", a.Members,
		"cold", len(cold), "fence", t.fence, "list_revision", list.Revision, "reason", a.Reason)
	t.join(ctx, list, f, now)
}

// join sends the join order to the members that have not taken it.
func (t *tenure) join(ctx context.Context, list fleet.List, f *forming, now time.Time) {
	order := Order{Kind: Join, Fence: t.fence, Replica: f.name, Epoch: f.epoch, Model: f.replica.Model, Members: f.replica.Members}
	for _, id := range f.replica.Members {
		if f.joined[id] || now.Sub(f.sentAt[id]) < resendAfter {
			continue
		}
		if s := list.Find(id); s != nil && t.send(ctx, *s, order) {
			f.sentAt[id] = now
		}
	}
}

func (t *tenure) stage(ctx context.Context, g *rules.Group, list fleet.List, a placement.Action, now time.Time) {
	s := list.Find(a.VM)
	if s == nil || t.busy(a.VM) {
		return
	}
	if _, loading := t.loads.until[a.VM]; loading {
		return
	}
	reserve := spareReserve
	if a.Repairs || t.opts.FreeLoads() {
		reserve = 0
	}
	if !t.loads.begin(now, []cluster.VMID{a.VM}, g.ColdLoad, reserve) {
		return
	}
	t.staging[a.VM] = g.Model
	t.opts.Log.Info("placement", "action", a.Kind, "group", a.Group, "vm", a.VM, "fence", t.fence, "list_revision", list.Revision, "reason", a.Reason)
	t.send(ctx, *s, Order{Kind: Stage, Fence: t.fence, Model: g.Model})
}

// noteJoined takes a membership in the list for the answer that did not come.
func (t *tenure) noteJoined(list fleet.List, f *forming) {
	for _, id := range f.replica.Members {
		if s := list.Find(id); s != nil && s.Membership != nil && s.Membership.Replica == f.name && s.Membership.Epoch == f.epoch {
			f.joined[id] = true
		}
	}
}

// open has a replica serve once every member was seen ready.
func (t *tenure) open(ctx context.Context, r *fleet.Replica, now time.Time) {
	f := t.formed[r.ID()]
	if f == nil {
		// Formed by an earlier holder, or ready again after a close.
		f = t.adopt(r, now)
	}
	if now.Sub(f.openAt) < resendAfter {
		return
	}
	if t.send(ctx, *r.Head(), Order{Kind: Open, Fence: t.fence, Replica: r.Name, Epoch: r.Epoch}) {
		f.openAt, f.mayServe = now, true
		t.opts.Log.Info("placement", "action", "open", "group", r.Model, "replica", r.ID(), "head", r.Head().ID, "fence", t.fence, "reason", "all-members-ready")
	}
}

// adopt takes over a ready replica of an earlier holder.
func (t *tenure) adopt(r *fleet.Replica, now time.Time) *forming {
	f := &forming{name: r.Name, epoch: r.Epoch, mayServe: true, deadline: now.Add(joinGrace), born: make(map[cluster.VMID]time.Time),
		sentAt: make(map[cluster.VMID]time.Time), joined: make(map[cluster.VMID]bool), replica: placementReplica(r, nil, t.opts.Scope)}
	for _, m := range r.Members {
		f.born[m.ID] = m.Born
		f.joined[m.ID] = true
	}
	t.formed[r.ID()] = f
	return f
}
