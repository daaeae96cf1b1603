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

// desired returns what each VM's engine should believe, by the committed table.
// Spares in holds should be idle with their group's model loaded. VMs without an
// entry should be idle.
func desired(replicas []cluster.Replica, holds map[cluster.VMID]cluster.GroupName, groups []rules.Group, addr func(cluster.VMID) string) map[cluster.VMID]engine.Assignment {
	out := make(map[cluster.VMID]engine.Assignment)
	for id, name := range holds {
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

// orderFor returns the order that takes an engine from have to want, or "" when
// none is needed. An engine that is not wanted may keep its weights, but not its
// place in a replica.
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

// needsWeights reports whether the order makes the engine read the weight store.
func needsWeights(have engine.State, order engine.Order) bool {
	if order.Kind == engine.OrderRelease {
		return false
	}
	a := order.Assignment
	same := have.Assignment.Model == a.Model && have.Assignment.Version == a.Version &&
		slices.Equal(have.Assignment.Adapters, a.Adapters)
	return !same || !have.Loaded
}

// sendOrders sends each order if the lease still has orderLife left at that
// moment. An engine that ignores fencing numbers has no other protection from a
// holder that was paused: the check stands right before the call, and the call
// itself ends with the order's life.
func (c *Controller) sendOrders(ctx context.Context, t *term, orders []addressedOrder) {
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	results := make([]orderAnswer, len(orders))
	for i, o := range orders {
		group.Go(func() error {
			results[i] = c.sendOrder(ctx, t, o)
			return nil
		})
	}
	_ = group.Wait()
	for i, o := range orders {
		c.orderDone(t, o, results[i])
	}
}

type addressedOrder struct {
	addr  string
	order engine.Order
}

type orderAnswer struct {
	sent   time.Time
	result engine.OrderResult
	err    error
}

func (c *Controller) sendOrder(ctx context.Context, t *term, o addressedOrder) orderAnswer {
	ctx, cancel := context.WithTimeout(ctx, c.orderLife)
	defer cancel()
	sent := time.Now()
	if t.lease.Remaining(sent) < c.orderLife {
		return orderAnswer{sent: sent, err: &CommitError{Kind: CommitLeaseLost, Err: context.DeadlineExceeded}}
	}
	result, err := c.opts.Engines.Order(ctx, o.addr, o.order)
	return orderAnswer{sent: sent, result: result, err: err}
}

func (c *Controller) orderDone(t *term, o addressedOrder, a orderAnswer) {
	log := c.opts.Log.With("zone", c.opts.Zone, "order", o.order.ID, "kind", o.order.Kind, "vm", o.order.VM,
		"replica", o.order.Assignment.Replica, "generation", o.order.Assignment.Generation, "fence", o.order.Fence)
	switch {
	case a.err != nil:
		ordersFailed.Inc()
		log.Warn("order failed", "error", a.err)
	case !a.result.Accepted:
		ordersRefused.Inc()
		log.Warn("order refused", "reason", a.result.Reason)
	default:
		ordersAccepted.Inc()
		log.Info("order accepted")
	}
	view := t.fleet.views[o.order.VM]
	if a.err == nil && view != nil && a.result.State.VM == o.order.VM {
		t.fleet.answered(view, a.result.State, a.sent)
	}
}
