package grouping

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// pollQuiet is how often the holder asks an engine that is as it should be.
const pollQuiet = 5 * time.Second

// due returns the VMs to ask now, ordered by id: at once those that are not as
// the table wants them or do not answer, and every pollQuiet the free ones and
// the serving VMs, whose digest covers their members. Members whose last sign
// of life is old are asked themselves. Replicas that the zone's health checks
// hold to be whole are not asked at all.
func (c *Controller) due(t *tenure, set *rules.Set, now time.Time) []cluster.VMID {
	replicas := t.commit.book.Replicas()
	want := desired(replicas, set, t.fleet.addr)
	byID := make(map[cluster.ReplicaID]cluster.Replica, len(replicas))
	for _, r := range replicas {
		byID[r.ID] = r
	}
	var out []cluster.VMID
	for id, view := range t.fleet.views {
		r, assigned := byID[want[id].Replica]
		if assigned && c.wholeAsWanted(view, r, want[id]) {
			view.lastSeen, view.failing = now, time.Time{}
			continue
		}
		if c.isDue(view, want[id], assigned, now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (c *Controller) wholeAsWanted(view *engineView, r cluster.Replica, want engine.Assignment) bool {
	return c.opts.Wholeness != nil && c.opts.Wholeness.Whole(r.ID, r.Generation) &&
		view.known && orderFor(view.state.Assignment, want, true) == ""
}

func (c *Controller) isDue(view *engineView, want engine.Assignment, assigned bool, now time.Time) bool {
	if !view.known || !view.failing.IsZero() || orderFor(view.state.Assignment, want, assigned) != "" {
		return true
	}
	quiet := now.Sub(view.asked) >= pollQuiet
	if assigned && c.opts.Wholeness != nil {
		return true
	}
	if assigned && view.vm.ID != want.Serving {
		return quiet && now.Sub(view.lastSeen) >= pollQuiet+c.opts.DownAfter
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
func (c *Controller) orders(t *tenure, set *rules.Set) []addressedOrder {
	want := desired(t.commit.book.Replicas(), set, t.fleet.addr)
	ids := make([]cluster.VMID, 0, len(t.fleet.views))
	for id := range t.fleet.views {
		ids = append(ids, id)
	}
	// In order of replicas, so that the weight store's rate goes to whole
	// replicas one after the other instead of to parts of many.
	slices.SortFunc(ids, func(a, b cluster.VMID) int {
		if ra, rb := want[a].Replica, want[b].Replica; ra != rb {
			return compareIDs(ra, rb)
		}
		return compareIDs(a, b)
	})
	var out []addressedOrder
	for _, id := range ids {
		view := t.fleet.views[id]
		assignment, assigned := want[id]
		if !view.known || !view.failing.IsZero() {
			continue
		}
		kind := orderFor(view.state.Assignment, assignment, assigned)
		if kind == "" {
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

func compareIDs[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
