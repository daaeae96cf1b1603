package grouping

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// due returns the VMs to ask now, ordered by id: at once those that are not as
// the table wants them or do not answer, and every PollQuiet the free ones and
// the serving VMs, whose digest covers their members. Members whose last sign
// of life is old are asked themselves. Replicas that the zone's health checks
// hold to be whole are not asked at all.
func (c *Controller) due(t *term, set *rules.Set, now time.Time) []cluster.VMID {
	replicas := t.commit.assignments.Replicas()
	want := desired(replicas, t.holds, set.Groups, t.fleet.addr)
	byID := make(map[cluster.ReplicaID]cluster.Replica, len(replicas))
	for _, r := range replicas {
		byID[r.ID] = r
	}
	var out []cluster.VMID
	for id, view := range t.fleet.views {
		assignment, wanted := want[id]
		r, assigned := byID[assignment.Replica]
		if assigned && !r.Leaving && c.wholeAsWanted(view, r, assignment) {
			view.lastSeen, view.failing = now, time.Time{}
			continue
		}
		if c.isDue(view, assignment, wanted, now) || r.Leaving && id == r.Serving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (c *Controller) wholeAsWanted(view *engineView, r cluster.Replica, want engine.Assignment) bool {
	return c.opts.Health != nil && c.opts.Health.Whole(r.ID, r.Generation) &&
		view.known && view.state.Loaded && orderFor(view.state.Assignment, want, true) == ""
}

func (c *Controller) isDue(view *engineView, want engine.Assignment, wanted bool, now time.Time) bool {
	if !view.known || !view.failing.IsZero() || orderFor(view.state.Assignment, want, wanted) != "" {
		return true
	}
	if wanted && !view.state.Loaded {
		return true // its load has to be seen to end, and no digest tells
	}
	assigned := want.Replica != ""
	quiet := now.Sub(view.asked) >= c.opts.PollInterval
	if assigned && c.opts.Health != nil {
		return true
	}
	if assigned && view.vm.ID != want.Serving {
		return quiet && now.Sub(view.lastSeen) >= c.opts.PollInterval+c.opts.DownAfter
	}
	return quiet
}

func (f *fleet) addr(id cluster.VMID) string {
	if view := f.views[id]; view != nil {
		return view.vm.Addr
	}
	return ""
}

// orders compares the engines' states with the committed table and returns what
// must be ordered. It goes by the engines' own answers, so a lost order is sent
// again and a VM that comes back with an old assignment is put right.
func (c *Controller) orders(t *term, set *rules.Set) []addressedOrder {
	want := desired(t.commit.assignments.Replicas(), t.holds, set.Groups, t.fleet.addr)
	ids := make([]cluster.VMID, 0, len(t.fleet.views))
	for id := range t.fleet.views {
		ids = append(ids, id)
	}
	// In order of replicas and spares last, so that the weight store's rate goes
	// to whole replicas one after the other instead of to parts of many.
	slices.SortFunc(ids, func(a, b cluster.VMID) int {
		ra, rb := want[a].Replica, want[b].Replica
		if (ra == "") != (rb == "") {
			return cmp.Compare(rb, ra)
		}
		return cmp.Or(cmp.Compare(ra, rb), cmp.Compare(a, b))
	})
	rolling := t.rolling(want)
	var out []addressedOrder
	for _, id := range ids {
		view := t.fleet.views[id]
		assignment, wanted := want[id]
		if !view.known || !view.failing.IsZero() {
			continue
		}
		kind := orderFor(view.state.Assignment, assignment, wanted)
		if kind == "" {
			continue
		}
		if kind == engine.OrderLoad && !rolling[assignment.Replica] {
			continue
		}
		order := engine.Order{ID: t.ids.next("order"), Kind: kind, VM: id, Fence: t.lease.Fence(), Assignment: assignment}
		if needsWeights(view.state, order) && !c.weights.Allow() {
			continue
		}
		out = append(out, addressedOrder{addr: view.vm.Addr, order: order})
	}
	return out
}

// rollingShare is the part of a group's replicas, at least one, that load a new
// version or adapters at the same time. A replica does not serve while it loads,
// so ordering all at once would be an outage of the whole group.
const rollingShare = 10

// rolling returns the replicas that may load a new version now: those that have
// begun, and more up to the group's share.
func (t *term) rolling(want map[cluster.VMID]engine.Assignment) map[cluster.ReplicaID]bool {
	begun := make(map[cluster.GroupName]int)
	total := make(map[cluster.GroupName]int)
	var waiting []cluster.Replica
	out := make(map[cluster.ReplicaID]bool)
	for _, r := range t.commit.assignments.Replicas() {
		total[r.Group]++
		loaded, old := t.progress(r, want)
		switch {
		case !loaded:
			begun[r.Group]++
			out[r.ID] = true
		case old:
			waiting = append(waiting, r)
		}
	}
	for _, r := range waiting {
		if begun[r.Group] < max(1, total[r.Group]/rollingShare) {
			begun[r.Group]++
			out[r.ID] = true
		}
	}
	return out
}

// progress reports whether all known members have loaded what they were last
// told to load, all of them the same, and whether any has yet to be told. A
// replica with a member that does not answer takes no part: it would hold its
// place in the roll until the VM is back.
func (t *term) progress(r cluster.Replica, want map[cluster.VMID]engine.Assignment) (loaded, old bool) {
	loaded = true
	updated := false
	for _, id := range r.Members {
		view := t.fleet.views[id]
		if view == nil || !view.known {
			continue
		}
		if !view.failing.IsZero() {
			return true, false
		}
		loaded = loaded && view.state.Loaded
		if orderFor(view.state.Assignment, want[id], true) == "" {
			updated = true
		} else {
			old = true
		}
	}
	return loaded && (!old || !updated), old
}
