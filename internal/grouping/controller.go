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

// VMSource provides the platform's VM list as last read; a zero AsOf means that it was never
// read.
type VMSource interface {
	List() cluster.VMList
}

// Rules provides the rules in force; nil until the first revision is loaded.
type Rules interface {
	Current() *rules.Set
}

// HealthChecks provides the results of the health checks run by the zone's nodes. With them,
// the holder does not poll the engines of healthy replicas itself.
type HealthChecks interface {
	Healthy(id cluster.ReplicaID, generation int64) bool
}

// Options configures a Controller. Zone, Node, Store, VMs, Rules, Engines, Policy and Log are
// required.
type Options struct {
	Zone    cluster.ZoneID
	Node    cluster.NodeID
	Store   store.Store
	VMs     VMSource
	Rules   Rules
	Engines Engines
	Policy  placement.Policy
	Log     *slog.Logger
	Health  HealthChecks // may be nil
	// Candidate reports whether this node should try to acquire the lease. Each attempt costs a
	// store call, so only a few nodes of a zone should; nil means always.
	Candidate func() bool
	// LeaseTTL is the TTL of the placement lease; zero means DefaultLeaseTTL.
	LeaseTTL time.Duration
	// StepInterval is the pause between two iterations of the reconcile loop; zero means DefaultStepInterval.
	StepInterval time.Duration
	// OrderTimeout bounds one order from its lease check to its answer. It is also how long a
	// new holder waits before its first order. Zero means DefaultOrderTimeout or a fifth of
	// LeaseTTL, whichever is less.
	OrderTimeout time.Duration
	// DownAfter is how long an engine must fail to answer before its VM counts as down; zero
	// means DefaultDownAfter.
	DownAfter time.Duration
	// PollInterval is the time between polls of an engine that is in its desired state. It
	// bounds how long an engine that ignores fencing tokens can act on a stale order. Zero
	// means DefaultPollInterval.
	PollInterval time.Duration
	// LoadsPerSecond limits how many VMs per second start to load weights; zero means no limit.
	// LoadBurst is how many may start at once.
	LoadsPerSecond float64
	LoadBurst      int
}

// Defaults of a Controller.
const (
	DefaultLeaseTTL     = 10 * time.Second
	DefaultStepInterval = time.Second
	DefaultOrderTimeout = 2 * time.Second
	DefaultDownAfter    = 3 * time.Second
	DefaultPollInterval = 5 * time.Second
)

var (
	ordersAcceptedTotal = metrics.NewCounter("fennel_grouping_orders_accepted_total")
	ordersRefusedTotal  = metrics.NewCounter("fennel_grouping_orders_refused_total")
	ordersFailedTotal   = metrics.NewCounter("fennel_grouping_orders_failed_total")
	commitsTotal        = metrics.NewCounter("fennel_grouping_commits_total")
	commitsFailedTotal  = metrics.NewCounter("fennel_grouping_commits_failed_total")
	termsTotal          = metrics.NewCounter("fennel_grouping_lease_acquired_total")
)

// Controller competes for the zone's placement lease. While it holds the lease, it commits the
// policy's plans and reconciles the engines with the committed grouping.
type Controller struct {
	opts        Options
	loadLimiter *rate.Limiter
	// orderTimeout is Options.OrderTimeout, or less with a short lease: an order is sent only
	// if the lease outlasts it, so with a timeout as long as the lease no order might ever be
	// sent. A new holder always waits for the full Options.OrderTimeout.
	orderTimeout time.Duration
}

// NewController returns a Controller; Run starts it.
func NewController(opts Options) *Controller {
	setDefault(&opts.LeaseTTL, DefaultLeaseTTL)
	setDefault(&opts.StepInterval, DefaultStepInterval)
	// With a longer timeout, some orders would not be sent, because the lease has too little
	// time left for them towards the end of each renewal interval.
	setDefault(&opts.OrderTimeout, min(DefaultOrderTimeout, opts.LeaseTTL/5))
	setDefault(&opts.DownAfter, DefaultDownAfter)
	setDefault(&opts.PollInterval, DefaultPollInterval)
	if opts.Candidate == nil {
		opts.Candidate = func() bool { return true }
	}
	limit := rate.Inf
	if opts.LoadsPerSecond > 0 {
		limit = rate.Limit(opts.LoadsPerSecond)
	}
	return &Controller{opts: opts, orderTimeout: min(opts.OrderTimeout, opts.LeaseTTL/4), loadLimiter: rate.NewLimiter(limit, max(1, opts.LoadBurst))}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run competes for the lease and acts as its holder until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.opts.Candidate() {
			c.tryAcquire(ctx)
		}
		pauseWithJitter(ctx, c.opts.LeaseTTL/4)
	}
}

func (c *Controller) tryAcquire(ctx context.Context) {
	tryCtx, cancel := context.WithTimeout(ctx, c.opts.LeaseTTL/2)
	defer cancel()
	lease, err := AcquireLease(tryCtx, LeaseOptions{Store: c.opts.Store, Zone: c.opts.Zone, Node: c.opts.Node, TTL: c.opts.LeaseTTL})
	if err != nil {
		c.opts.Log.Warn("placement lease acquisition failed", "zone", c.opts.Zone, "error", err)
		return
	}
	if lease == nil {
		return
	}
	termsTotal.Inc()
	c.opts.Log.Info("placement lease acquired", "zone", c.opts.Zone, "node", c.opts.Node, "fence", lease.Fence())
	c.runTerm(ctx, lease)
	lease.Revoke(ctx)
	c.opts.Log.Info("placement lease given up", "zone", c.opts.Zone, "node", c.opts.Node, "fence", lease.Fence())
}

// term is the state of one period of holding the lease.
type term struct {
	lease     *Lease
	committer *committer
	engines   *engineTracker
	ids       idSequence
	// spareGroups maps the spares of the last plan to the groups whose model they load.
	spareGroups map[cluster.VMID]cluster.GroupName
	// drainedSince is when this holder first saw each replica as draining.
	drainedSince map[cluster.ReplicaID]time.Time
	// tableLoaded is false when the table must be read again before the next write.
	tableLoaded bool
}

// runTerm acts as the holder until the lease is lost or ctx ends.
func (c *Controller) runTerm(ctx context.Context, lease *Lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewalDone := make(chan struct{})
	go func() {
		defer close(renewalDone)
		defer cancel()
		c.renewLease(ctx, lease)
	}()
	t := &term{
		lease:     lease,
		committer: &committer{store: c.opts.Store, zone: c.opts.Zone, lease: lease},
		engines:   newEngineTracker(c.opts.Zone, c.opts.Engines, c.opts.DownAfter),
		ids:       idSequence{zone: c.opts.Zone, fence: lease.Fence()},

		drainedSince: make(map[cluster.ReplicaID]time.Time),
	}
	// The previous holder may have sent its last order just before its lease expired. Without
	// this wait, an engine that ignores fencing tokens could apply that order after ours.
	sleep(ctx, c.opts.OrderTimeout)
	for ctx.Err() == nil && lease.Remaining(time.Now()) > 0 {
		c.reconcile(ctx, t)
		sleep(ctx, c.opts.StepInterval)
	}
	cancel()
	<-renewalDone
}

// renewLease extends the lease until it is lost or ctx ends.
func (c *Controller) renewLease(ctx context.Context, lease *Lease) {
	for ctx.Err() == nil && lease.Remaining(time.Now()) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, min(c.opts.LeaseTTL/4, lease.Remaining(time.Now())))
		err := lease.Extend(callCtx)
		cancel()
		if err != nil && ctx.Err() == nil {
			c.opts.Log.Warn("placement lease not extended", "zone", c.opts.Zone, "left", lease.Remaining(time.Now()), "error", err)
		}
		sleep(ctx, min(c.opts.LeaseTTL/5, lease.Remaining(time.Now())))
	}
}

// reconcile runs one iteration: it polls engines, commits the policy's plan and sends the
// orders that the engines need.
func (c *Controller) reconcile(ctx context.Context, t *term) {
	set, list := c.opts.Rules.Current(), c.opts.VMs.List()
	if set == nil || list.AsOf.IsZero() {
		return
	}
	if !t.tableLoaded {
		if err := t.committer.load(ctx); err != nil {
			c.opts.Log.Warn("grouping not loaded", "zone", c.opts.Zone, "error", err)
			return
		}
		t.tableLoaded = true
	}
	assignments := t.committer.assignments
	t.engines.update(list, func(vm cluster.VMID) bool { return assignments.ReplicaOf(vm) != "" }, time.Now())
	t.engines.poll(ctx, c.enginesToPoll(t, set, time.Now()))
	if err := c.applyPlan(ctx, t, set); err != nil {
		commitsFailedTotal.Inc()
		t.tableLoaded = false
		c.opts.Log.Warn("grouping not committed", "zone", c.opts.Zone, "fence", t.lease.Fence(), "error", err)
		if e, ok := errors.Into[*CommitError](err); ok && e.Kind == CommitLeaseLost {
			t.lease.MarkLost()
		}
		return
	}
	c.sendOrders(ctx, t, c.pendingOrders(t, set))
}

// applyPlan requests a plan from the policy and commits its changes in batches.
func (c *Controller) applyPlan(ctx context.Context, t *term, set *rules.Set) error {
	now := time.Now()
	replicas := t.committer.assignments.Replicas()
	in := placement.Input{
		Zone: c.opts.Zone, Groups: set.Groups, Replicas: replicas,
		VMs: t.engines.placementVMs(replicas, now), Load: t.replicaLoad(replicas, now),
	}
	plan := c.opts.Policy.Plan(in, now)
	t.spareGroups = make(map[cluster.VMID]cluster.GroupName)
	var batch []placement.Change
	for _, action := range plan.Actions {
		if action.Kind == placement.Preload {
			t.spareGroups[action.VM] = action.Group
		}
		if !action.ChangesTable() {
			c.opts.Log.Debug("placement", "zone", c.opts.Zone, "action", action.Kind, "group", action.Group, "vm", action.VM, "reason", action.Reason)
			continue
		}
		if len(batch) == maxBatch || batchContains(batch, action.Replica) {
			if err := c.commitBatch(ctx, t, batch); err != nil {
				return err
			}
			batch = nil
		}
		change, err := t.committer.assignments.Apply(action, c.stamp(t, set, action))
		if err != nil {
			return err
		}
		c.logAction(t, action, change)
		batch = append(batch, change)
	}
	return c.commitBatch(ctx, t, batch)
}

// batchContains reports whether the batch already changes the replica. A store accepts only one
// write per key in a transaction.
func batchContains(batch []placement.Change, id cluster.ReplicaID) bool {
	return slices.ContainsFunc(batch, func(c placement.Change) bool { return c.Replica.ID == id })
}

// drainGracePeriod is how long after a drain an engine's report may still miss work: nodes keep
// sending requests until they learn of the drain, and reports lag.
const drainGracePeriod = 5 * time.Second

// replicaLoad returns the replicas that may have running streams: all but those whose serving
// VM reported no work at least drainGracePeriod after the drain.
func (t *term) replicaLoad(replicas []cluster.Replica, now time.Time) map[cluster.ReplicaID]placement.Load {
	out := make(map[cluster.ReplicaID]placement.Load, len(replicas))
	draining := make(map[cluster.ReplicaID]time.Time)
	for _, r := range replicas {
		if !r.Leaving {
			out[r.ID] = placement.Load{Running: 1}
			continue
		}
		since, known := t.drainedSince[r.ID]
		if !known {
			since = now
		}
		draining[r.ID] = since
		view := t.engines.views[r.Serving]
		if view == nil || view.stateSentAt.Before(since.Add(drainGracePeriod)) || view.state.Load.Running+view.state.Load.Waiting > 0 {
			out[r.ID] = placement.Load{Running: 1}
		}
	}
	t.drainedSince = draining
	return out
}

func (c *Controller) commitBatch(ctx context.Context, t *term, batch []placement.Change) error {
	if len(batch) == 0 {
		return nil
	}
	if t.lease.Remaining(time.Now()) == 0 {
		return &CommitError{Kind: CommitLeaseLost, Err: context.DeadlineExceeded}
	}
	if err := t.committer.commit(ctx, batch); err != nil {
		return err
	}
	commitsTotal.Inc()
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
