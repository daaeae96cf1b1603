package grouping

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// desiredAssignments returns the assignment that each VM's engine should have according to the
// committed table. The spares in spareGroups should be idle with their group's model loaded;
// VMs without an entry should be idle.
func desiredAssignments(replicas []cluster.Replica, spareGroups map[cluster.VMID]cluster.GroupName, groups []rules.Group, addr func(cluster.VMID) string) map[cluster.VMID]engine.Assignment {
	out := make(map[cluster.VMID]engine.Assignment)
	for id, name := range spareGroups {
		if g := placement.FindGroup(groups, name); g != nil {
			out[id] = engine.Assignment{Role: engine.RoleIdle, Model: g.Model, Version: g.Version, Adapters: g.Adapters}
		}
	}
	for _, r := range replicas {
		base := engine.Assignment{
			Replica: r.ID, Generation: r.Generation, Members: r.Members, Serving: r.Serving,
			Model: r.Model, Addrs: make(map[cluster.VMID]string, len(r.Members)),
		}
		if g := placement.FindGroup(groups, r.Group); g != nil {
			base.Version, base.Adapters = g.Version, g.Adapters
		}
		for _, id := range r.Members {
			base.Addrs[id] = addr(id)
		}
		for _, id := range r.Members {
			a := base
			a.Role = engine.RoleWorker
			if id == r.Serving {
				a.Role = engine.RoleServing
			}
			out[id] = a
		}
	}
	return out
}

// orderFor returns the kind of order that takes an engine from have to want, or "" if none is
// needed. An engine that is not wanted may keep its weights but not its membership in a
// replica.
func orderFor(have, want engine.Assignment, wanted bool) engine.OrderKind {
	switch {
	case !wanted && have.Replica != "":
		return engine.OrderRelease
	case !wanted:
		return ""
	case have.Replica != want.Replica || have.Generation != want.Generation ||
		have.Role != want.Role || have.Model != want.Model:
		return engine.OrderAssign
	case have.Version != want.Version || !slices.Equal(have.Adapters, want.Adapters):
		return engine.OrderLoad
	default:
		return ""
	}
}

// needsWeightLoad reports whether the order makes the engine read from the weight store.
func needsWeightLoad(have engine.State, order engine.Order) bool {
	if order.Kind == engine.OrderRelease {
		return false
	}
	a := order.Assignment
	sameWeights := have.Assignment.Model == a.Model && have.Assignment.Version == a.Version &&
		slices.Equal(have.Assignment.Adapters, a.Adapters)
	return !sameWeights || !have.Loaded
}

// sendOrders sends each order if the lease still outlasts orderTimeout at that moment. This
// check is the only protection of an engine that ignores fencing tokens from a holder that was
// paused, so it directly precedes the call, and the call is bounded by the same timeout.
func (c *Controller) sendOrders(ctx context.Context, t *term, orders []addressedOrder) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	results := make([]orderResult, len(orders))
	for i, o := range orders {
		group.Go(func() error {
			results[i] = c.sendOrder(ctx, t, o)
			return nil
		})
	}
	_ = group.Wait()
	for i, o := range orders {
		c.recordOrder(t, o, results[i])
	}
}

type addressedOrder struct {
	addr  string
	order engine.Order
}

type orderResult struct {
	sent   time.Time
	result engine.OrderResult
	err    error
}

func (c *Controller) sendOrder(ctx context.Context, t *term, o addressedOrder) orderResult {
	ctx, cancel := context.WithTimeout(ctx, c.orderTimeout)
	defer cancel()
	sent := time.Now()
	if t.lease.Remaining(sent) < c.orderTimeout {
		return orderResult{sent: sent, err: &CommitError{Kind: CommitLeaseLost, Err: context.DeadlineExceeded}}
	}
	result, err := c.opts.Engines.Order(ctx, o.addr, o.order)
	return orderResult{sent: sent, result: result, err: err}
}

func (c *Controller) recordOrder(t *term, o addressedOrder, r orderResult) {
	log := c.opts.Log.With("zone", c.opts.Zone, "order", o.order.ID, "kind", o.order.Kind, "vm", o.order.VM,
		"replica", o.order.Assignment.Replica, "generation", o.order.Assignment.Generation, "fence", o.order.Fence)
	switch {
	case r.err != nil:
		ordersFailedTotal.Inc()
		log.Warn("order failed", "error", r.err)
	case !r.result.Accepted:
		ordersRefusedTotal.Inc()
		log.Warn("order refused", "reason", r.result.Reason)
	default:
		ordersAcceptedTotal.Inc()
		log.Info("order accepted")
	}
	view := t.engines.views[o.order.VM]
	if r.err == nil && view != nil && r.result.State.VM == o.order.VM {
		t.engines.recordState(view, r.result.State, r.sent)
	}
}
