package grouping

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// VMSource gives the platform's VM list as last read; a zero AsOf means never.
type VMSource interface {
	List() cluster.VMList
}

// Rules gives the rules in force; nil before the first are known.
type Rules interface {
	Current() *rules.Set
}

// Wholeness is what the health checks of the zone's nodes know. The holder then
// need not ask the engines of whole replicas itself.
type Wholeness interface {
	Whole(id cluster.ReplicaID, generation int64) bool
}

// Options sets up a Controller. Zone, Node, Store, VMs, Rules, Engines, Policy
// and Log are required.
type Options struct {
	Zone      cluster.ZoneID
	Node      cluster.NodeID
	Store     store.Store
	VMs       VMSource
	Rules     Rules
	Engines   Engines
	Policy    placement.Policy
	Log       *slog.Logger
	Wholeness Wholeness // may be nil
	// Candidate reports whether this node should try for the lease. Each try
	// costs the store a call, so only a few nodes of a zone should; nil means yes.
	Candidate func() bool
	// LeaseTTL is the life of the placement lease; zero means DefaultLeaseTTL.
	LeaseTTL time.Duration
	// Tick is the time between two looks at the zone; zero means DefaultTick.
	Tick time.Duration
	// OrderLife bounds one order from its check to its answer, and is how long
	// a new holder waits before its first order; zero means
	// DefaultOrderLife or a fifth of LeaseTTL, whichever is less.
	OrderLife time.Duration
	// DownAfter is how long an engine must fail to answer before its VM counts
	// as down; zero means DefaultDownAfter.
	DownAfter time.Duration
	// PollQuiet is how often an engine that is as it should be is asked; it bounds
	// how long one that ignores fencing numbers can be misled. Zero means
	// DefaultPollQuiet.
	PollQuiet time.Duration
	// LoadsPerSecond is how many VMs a second may start to read weights;
	// zero means no bound. LoadBurst is how many may start at once.
	LoadsPerSecond float64
	LoadBurst      int
}

// Defaults of a Controller.
const (
	DefaultLeaseTTL  = 10 * time.Second
	DefaultTick      = time.Second
	DefaultOrderLife = 2 * time.Second
	DefaultDownAfter = 3 * time.Second
	DefaultPollQuiet = 5 * time.Second
)

var (
	ordersAccepted = metrics.NewCounter("fennel_grouping_orders_accepted_total")
	ordersRefused  = metrics.NewCounter("fennel_grouping_orders_refused_total")
	ordersFailed   = metrics.NewCounter("fennel_grouping_orders_failed_total")
	commitsDone    = metrics.NewCounter("fennel_grouping_commits_total")
	commitsFailed  = metrics.NewCounter("fennel_grouping_commits_failed_total")
	termsTotal     = metrics.NewCounter("fennel_grouping_lease_acquired_total")
)

// Controller tries for the zone's placement lease and, while it holds it, keeps
// the committed grouping and the engines as the policy plans.
type Controller struct {
	opts    Options
	weights *rate.Limiter
	// orderLife is Options.OrderLife, or less with a short lease: an order is
	// sent only if the lease outlasts it, and with as long a life as the lease it
	// might never be. A new holder waits out Options.OrderLife all the same.
	orderLife time.Duration
}

// NewController returns a Controller; Run starts it.
func NewController(opts Options) *Controller {
	setDefault(&opts.LeaseTTL, DefaultLeaseTTL)
	setDefault(&opts.Tick, DefaultTick)
	// With a longer life than this, part of the orders would fall into the time
	// between two extensions when the lease has too little left for them.
	setDefault(&opts.OrderLife, min(DefaultOrderLife, opts.LeaseTTL/5))
	setDefault(&opts.DownAfter, DefaultDownAfter)
	setDefault(&opts.PollQuiet, DefaultPollQuiet)
	if opts.Candidate == nil {
		opts.Candidate = func() bool { return true }
	}
	limit := rate.Inf
	if opts.LoadsPerSecond > 0 {
		limit = rate.Limit(opts.LoadsPerSecond)
	}
	return &Controller{opts: opts, orderLife: min(opts.OrderLife, opts.LeaseTTL/4), weights: rate.NewLimiter(limit, max(1, opts.LoadBurst))}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run tries for the lease and acts as its holder until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.opts.Candidate() {
			c.tryHold(ctx)
		}
		pause(ctx, c.opts.LeaseTTL/4)
	}
}

func (c *Controller) tryHold(ctx context.Context) {
	tryCtx, cancel := context.WithTimeout(ctx, c.opts.LeaseTTL/2)
	defer cancel()
	lease, err := AcquireLease(tryCtx, c.opts.Store, c.opts.Zone, c.opts.Node, c.opts.LeaseTTL)
	if err != nil {
		c.opts.Log.Warn("placement lease not tried", "zone", c.opts.Zone, "error", err)
		return
	}
	if lease == nil {
		return
	}
	termsTotal.Inc()
	c.opts.Log.Info("placement lease acquired", "zone", c.opts.Zone, "node", c.opts.Node, "fence", lease.Fence())
	c.hold(ctx, lease)
	lease.Revoke(ctx)
	c.opts.Log.Info("placement lease given up", "zone", c.opts.Zone, "node", c.opts.Node, "fence", lease.Fence())
}

// term is one time of holding the lease.
type term struct {
	lease  *Lease
	commit *committer
	fleet  *fleet
	ids    idSequence
	// holds has the spares of the last plan and the groups whose model they load.
	holds map[cluster.VMID]cluster.GroupName
	// drained is since when this holder has known a replica to be drained.
	drained map[cluster.ReplicaID]time.Time
	// loaded is false when the table must be read anew before the next write.
	loaded bool
}

// hold acts as the holder until the lease is lost or ctx ends.
func (c *Controller) hold(ctx context.Context, lease *Lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		defer cancel()
		c.keep(ctx, lease)
	}()
	t := &term{
		lease:  lease,
		commit: &committer{store: c.opts.Store, zone: c.opts.Zone, lease: lease},
		fleet:  newFleet(c.opts.Zone, c.opts.Engines, c.opts.DownAfter),
		ids:    idSequence{zone: c.opts.Zone, fence: lease.Fence()},

		drained: make(map[cluster.ReplicaID]time.Time),
	}
	// The former holder may have sent its last order just before its lease
	// lapsed; an engine that ignores fencing numbers would take it after ours.
	wait(ctx, c.opts.OrderLife)
	for ctx.Err() == nil && lease.Left(time.Now()) > 0 {
		c.step(ctx, t)
		wait(ctx, c.opts.Tick)
	}
	cancel()
	<-kept
}

// keep extends the lease until it is lost or ctx ends.
func (c *Controller) keep(ctx context.Context, lease *Lease) {
	for ctx.Err() == nil && lease.Left(time.Now()) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, min(c.opts.LeaseTTL/4, lease.Left(time.Now())))
		err := lease.Extend(callCtx)
		cancel()
		if err != nil && ctx.Err() == nil {
			c.opts.Log.Warn("placement lease not extended", "zone", c.opts.Zone, "left", lease.Left(time.Now()), "error", err)
		}
		wait(ctx, min(c.opts.LeaseTTL/5, lease.Left(time.Now())))
	}
}

// step looks at the zone once: it reads what must be read, commits the policy's
// plan and sends the orders that the engines need.
func (c *Controller) step(ctx context.Context, t *term) {
	set, list := c.opts.Rules.Current(), c.opts.VMs.List()
	if set == nil || list.AsOf.IsZero() {
		return
	}
	if !t.loaded {
		if err := t.commit.load(ctx); err != nil {
			c.opts.Log.Warn("grouping not loaded", "zone", c.opts.Zone, "error", err)
			return
		}
		t.loaded = true
	}
	assignments := t.commit.assignments
	t.fleet.update(list, func(vm cluster.VMID) bool { return assignments.ReplicaOf(vm) != "" }, time.Now())
	t.fleet.poll(ctx, c.due(t, set, time.Now()))
	if err := c.place(ctx, t, set); err != nil {
		commitsFailed.Inc()
		t.loaded = false
		c.opts.Log.Warn("grouping not committed", "zone", c.opts.Zone, "fence", t.lease.Fence(), "error", err)
		if e, ok := errors.Into[*CommitError](err); ok && e.Kind == CommitLeaseLost {
			t.lease.Lose()
		}
		return
	}
	c.sendOrders(ctx, t, c.orders(t, set))
}

// place asks the policy for a plan and commits it.
func (c *Controller) place(ctx context.Context, t *term, set *rules.Set) error {
	now := time.Now()
	replicas := t.commit.assignments.Replicas()
	in := placement.Input{
		Zone: c.opts.Zone, Groups: set.Groups, Replicas: replicas,
		VMs: t.fleet.placementVMs(replicas, now), Load: t.work(replicas, now),
	}
	plan := c.opts.Policy.Plan(in, now)
	t.holds = make(map[cluster.VMID]cluster.GroupName)
	var batch []placement.Change
	for _, action := range plan.Actions {
		if action.Kind == placement.Preload {
			t.holds[action.VM] = action.Group
		}
		if !action.ChangesTable() {
			c.opts.Log.Debug("placement", "zone", c.opts.Zone, "action", action.Kind, "group", action.Group, "vm", action.VM, "reason", action.Reason)
			continue
		}
		if len(batch) == maxBatch || holds(batch, action.Replica) {
			if err := c.commitBatch(ctx, t, batch); err != nil {
				return err
			}
			batch = nil
		}
		change, err := t.commit.assignments.Apply(action, c.stamp(t, set, action))
		if err != nil {
			return err
		}
		c.logAction(t, action, change)
		batch = append(batch, change)
	}
	return c.commitBatch(ctx, t, batch)
}

// holds reports whether the batch changes the replica already; a store takes
// only one write of a key in a transaction.
func holds(batch []placement.Change, id cluster.ReplicaID) bool {
	return slices.ContainsFunc(batch, func(c placement.Change) bool { return c.Replica.ID == id })
}

// drainGrace is how long after a drain an engine's report may still miss work:
// nodes go on sending until they know of the drain, and reports lag.
const drainGrace = 5 * time.Second

// work returns the replicas that may have streams running: all but those that
// were drained a while ago and say since that they are idle.
func (t *term) work(replicas []cluster.Replica, now time.Time) map[cluster.ReplicaID]placement.Load {
	out := make(map[cluster.ReplicaID]placement.Load, len(replicas))
	draining := make(map[cluster.ReplicaID]time.Time)
	for _, r := range replicas {
		if !r.Leaving {
			out[r.ID] = placement.Load{Running: 1}
			continue
		}
		since, known := t.drained[r.ID]
		if !known {
			since = now
		}
		draining[r.ID] = since
		view := t.fleet.views[r.Serving]
		if view == nil || view.stateAt.Before(since.Add(drainGrace)) || view.state.Load.Running+view.state.Load.Waiting > 0 {
			out[r.ID] = placement.Load{Running: 1}
		}
	}
	t.drained = draining
	return out
}

func (c *Controller) commitBatch(ctx context.Context, t *term, batch []placement.Change) error {
	if len(batch) == 0 {
		return nil
	}
	if t.lease.Left(time.Now()) == 0 {
		return &CommitError{Kind: CommitLeaseLost, Err: context.DeadlineExceeded}
	}
	if err := t.commit.commit(ctx, batch); err != nil {
		return err
	}
	commitsDone.Inc()
	return nil
}

func (c *Controller) stamp(t *term, set *rules.Set, a placement.Action) placement.CommitMetadata {
	stamp := placement.CommitMetadata{Fence: t.lease.Fence()}
	if a.Kind == placement.Form {
		stamp.NewID = cluster.ReplicaID(t.ids.next(string(a.Group)))
		if g := placement.FindGroup(set.Groups, a.Group); g != nil {
			stamp.Model = g.Model
		}
	}
	return stamp
}

func (c *Controller) logAction(t *term, a placement.Action, change placement.Change) {
	c.opts.Log.Info("placement", "zone", c.opts.Zone, "policy", c.opts.Policy.Name(), "action", a.Kind, "group", a.Group,
		"replica", change.Replica.ID, "generation", change.Replica.Generation, "members", change.Replica.Members,
		"fence", t.lease.Fence(), "reason", a.Reason)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
