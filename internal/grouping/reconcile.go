package grouping

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// enginesToPoll returns the VMs to poll now, ordered by ID. Engines that are not in their
// desired state or do not answer are polled every time. Free VMs and serving VMs, whose digest
// covers their members, are polled every PollInterval. Members last seen too long ago are
// polled themselves. Replicas that the zone's health checks report as healthy are not polled.
func (c *Controller) enginesToPoll(t *term, set *rules.Set, now time.Time) []cluster.VMID {
	replicas := t.committer.assignments.Replicas()
	want := desiredAssignments(replicas, t.spareGroups, set.Groups, t.engines.addr)
	byID := make(map[cluster.ReplicaID]cluster.Replica, len(replicas))
	for _, r := range replicas {
		byID[r.ID] = r
	}
	var out []cluster.VMID
	for id, view := range t.engines.views {
		assignment, wanted := want[id]
		r, assigned := byID[assignment.Replica]
		if assigned && !r.Leaving && c.confirmedHealthy(view, r, assignment) {
			view.lastSeen, view.failingSince = now, time.Time{}
			continue
		}
		if c.needsPoll(view, assignment, wanted, now) || r.Leaving && id == r.Serving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (c *Controller) confirmedHealthy(view *engineView, r cluster.Replica, want engine.Assignment) bool {
	return c.opts.Health != nil && c.opts.Health.Healthy(r.ID, r.Generation) &&
		view.hasState && view.state.Loaded && orderFor(view.state.Assignment, want, true) == ""
}

func (c *Controller) needsPoll(view *engineView, want engine.Assignment, wanted bool, now time.Time) bool {
	if !view.hasState || !view.failingSince.IsZero() || orderFor(view.state.Assignment, want, wanted) != "" {
		return true
	}
	if wanted && !view.state.Loaded {
		return true // no digest shows when the load completes
	}
	assigned := want.Replica != ""
	idle := now.Sub(view.polledAt) >= c.opts.PollInterval
	if assigned && c.opts.Health != nil {
		return true
	}
	if assigned && view.vm.ID != want.Serving {
		return idle && now.Sub(view.lastSeen) >= c.opts.PollInterval+c.opts.DownAfter
	}
	return idle
}

func (t *engineTracker) addr(id cluster.VMID) string {
	if view := t.views[id]; view != nil {
		return view.vm.Addr
	}
	return ""
}

// pendingOrders compares the engines' states with the committed table and returns the orders to
// send. It relies on the engines' own answers, so a lost order is sent again and a VM that
// comes back with an old assignment is corrected.
func (c *Controller) pendingOrders(t *term, set *rules.Set) []addressedOrder {
	want := desiredAssignments(t.committer.assignments.Replicas(), t.spareGroups, set.Groups, t.engines.addr)
	ids := make([]cluster.VMID, 0, len(t.engines.views))
	for id := range t.engines.views {
		ids = append(ids, id)
	}
	// Order the VMs by replica, with spares last, so that the limited rate of the weight store
	// completes one replica after another instead of parts of many.
	slices.SortFunc(ids, func(a, b cluster.VMID) int {
		replicaA, replicaB := want[a].Replica, want[b].Replica
		if (replicaA == "") != (replicaB == "") {
			return cmp.Compare(replicaB, replicaA)
		}
		return cmp.Or(cmp.Compare(replicaA, replicaB), cmp.Compare(a, b))
	})
	updating := t.rollout(want)
	var out []addressedOrder
	for _, id := range ids {
		view := t.engines.views[id]
		assignment, wanted := want[id]
		if !view.hasState || !view.failingSince.IsZero() {
			continue
		}
		kind := orderFor(view.state.Assignment, assignment, wanted)
		if kind == "" {
			continue
		}
		if kind == engine.OrderLoad && !updating[assignment.Replica] {
			continue
		}
		order := engine.Order{ID: t.ids.next("order"), Kind: kind, VM: id, Fence: t.lease.Fence(), Assignment: assignment}
		if needsWeightLoad(view.state, order) && !c.loadLimiter.Allow() {
			continue
		}
		out = append(out, addressedOrder{addr: view.vm.Addr, order: order})
	}
	return out
}

// rolloutDivisor sets the share of a group's replicas that load a new version or adapters at
// the same time: a tenth, but at least one. A replica does not serve while it loads, so
// updating all of them at once would be an outage of the whole group.
const rolloutDivisor = 10

// rollout returns the replicas that may load a new version now: those that have started, and
// further ones up to the group's share.
func (t *term) rollout(want map[cluster.VMID]engine.Assignment) map[cluster.ReplicaID]bool {
	started := make(map[cluster.GroupName]int)
	total := make(map[cluster.GroupName]int)
	var waiting []cluster.Replica
	out := make(map[cluster.ReplicaID]bool)
	for _, r := range t.committer.assignments.Replicas() {
		total[r.Group]++
		loaded, outdated := t.rolloutState(r, want)
		switch {
		case !loaded:
			started[r.Group]++
			out[r.ID] = true
		case outdated:
			waiting = append(waiting, r)
		}
	}
	for _, r := range waiting {
		if started[r.Group] < max(1, total[r.Group]/rolloutDivisor) {
			started[r.Group]++
			out[r.ID] = true
		}
	}
	return out
}

// rolloutState reports whether all known members have loaded the same assignment, the one they
// were last ordered to load, and whether any of them is outdated. A replica with a member that
// does not answer is left out, because it would occupy its place in the rollout until the VM is
// back.
func (t *term) rolloutState(r cluster.Replica, want map[cluster.VMID]engine.Assignment) (loaded, outdated bool) {
	loaded = true
	updated := false
	for _, id := range r.Members {
		view := t.engines.views[id]
		if view == nil || !view.hasState {
			continue
		}
		if !view.failingSince.IsZero() {
			return true, false
		}
		loaded = loaded && view.state.Loaded
		if orderFor(view.state.Assignment, want[id], true) == "" {
			updated = true
		} else {
			outdated = true
		}
	}
	return loaded && (!outdated || !updated), outdated
}
