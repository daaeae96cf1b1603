// Package formation holds the placement lease of a scope (the zones of a deployment) and
// forms its replicas. One node at a time holds it; what it does is decided by a
// lifecycle.Machine, and this package sends, reads the clock and keeps the lease.
package formation

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/grouping"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Options sets up a Controller; all but the durations are required.
type Options struct {
	// Scope names the zones whose VMs are formed together; the placement lease is
	// kept under it.
	Scope cluster.ZoneID
	Node  cluster.NodeID
	Store store.Store
	// List gives the servers as last read and whether any were read; Rules the rules
	// in force, nil before the first are known.
	List  func() (fleet.List, bool)
	Rules func() *rules.Set
	// Refresh reads the list anew. A holder acts only on a list that is newer than
	// its lease: it then has all that its predecessor could do.
	Refresh func(context.Context) error
	// LeaseHeld reports whether a holder's key is in the store as far as this node
	// knows; a try costs the store calls.
	LeaseHeld func() bool
	// Standby is true for a node that learns of the lease through other nodes: it
	// leaves the first tries to those that watch the store themselves.
	Standby bool
	// UnmeteredLoads reports whether loads do not count yet: nobody has sent a request.
	UnmeteredLoads func() bool
	Client         OrderClient
	// OnMembersResponsive is told of a replica that was suspected to stand still and whose members
	// all answer; may be nil.
	OnMembersResponsive func(cluster.ReplicaID)
	Policy              placement.Policy
	Log                 *slog.Logger
	// LeaseTTL is the life of the placement lease; zero means DefaultLeaseTTL.
	LeaseTTL time.Duration
	// StepInterval is the time between two looks; zero means DefaultTick.
	StepInterval time.Duration
}

// Defaults of Options.
const (
	// DefaultLeaseTTL is how long a scope is without a holder after its node died.
	DefaultLeaseTTL = 2500 * time.Millisecond
	// DefaultStepInterval is a fraction of the shortest step of a VM (0.2 s to join again).
	DefaultStepInterval = 100 * time.Millisecond
	// tryEvery is the time between two looks whether the lease is free.
	tryEvery = 100 * time.Millisecond
	// refreshAfter is how long a new holder waits for the watch to bring what its
	// predecessor did before it reads the whole list.
	refreshAfter = 300 * time.Millisecond
)

var (
	termsTotal   = metrics.NewCounter("fennel_formation_terms_total")
	ordersSent   = metrics.NewCounter("fennel_formation_orders_sent_total")
	ordersFailed = metrics.NewCounter("fennel_formation_orders_failed_total")
)

// Controller tries for the placement lease and forms replicas while it holds it.
type Controller struct {
	opts     Options
	suspects suspects
	holding  atomic.Bool
	// seen is each VM as last listed, up to the list's change noted; used by Run's
	// goroutine.
	seen  map[cluster.VMID]fleet.Server
	noted int64
}

// NewController returns a Controller; Run starts it.
func NewController(opts Options) *Controller {
	if opts.LeaseTTL <= 0 {
		opts.LeaseTTL = DefaultLeaseTTL
	}
	if opts.StepInterval <= 0 {
		opts.StepInterval = DefaultStepInterval
	}
	return &Controller{opts: opts, seen: make(map[cluster.VMID]fleet.Server)}
}

// Run acts until ctx ends; the lease is given up then, so that another node need
// not wait for it to lapse.
func (c *Controller) Run(ctx context.Context) {
	tries := newTries(c.opts.Standby)
	for ctx.Err() == nil {
		list, listed := c.opts.List()
		c.note(list)
		free := listed && c.opts.Rules() != nil && !c.opts.LeaseHeld()
		if tries.due(free, time.Now()) {
			tries.done(c.tryHold(ctx), time.Now())
		}
		clock.Pause(ctx, tryEvery)
	}
}

// tryHold tries once for the lease, and holds it if that succeeds. It reports whether
// the store answered.
func (c *Controller) tryHold(ctx context.Context) (answered bool) {
	tryCtx, cancel := context.WithTimeout(ctx, c.opts.LeaseTTL/2)
	defer cancel()
	lease, err := grouping.AcquireLease(tryCtx, c.opts.Store, c.opts.Scope, c.opts.Node, c.opts.LeaseTTL)
	if err != nil {
		c.opts.Log.Warn("placement lease not tried", "scope", c.opts.Scope, "err", err.Error())
		return false
	}
	if lease == nil {
		return true
	}
	termsTotal.Inc()
	c.opts.Log.Info("placement lease acquired", "scope", c.opts.Scope, "fence", lease.Fence())
	began := time.Now()
	c.holding.Store(true)
	reason := c.hold(ctx, lease)
	c.holding.Store(false)
	lease.Revoke(ctx)
	c.opts.Log.Info("placement lease given up", "scope", c.opts.Scope, "fence", lease.Fence(), "reason", reason, "held", time.Since(began))
	return true
}

// Reasons why a term ends.
const (
	endStopping = "node-stopping"
	endFenced   = "vm-knows-later-holder"
	endLost     = "store-knows-lease-no-more"
	endLapsed   = "not-extended-in-time"
)

// HoldsLease reports whether this node holds the lease.
func (c *Controller) HoldsLease() bool { return c.holding.Load() }

// note remembers the servers as last listed, also while another node holds the
// lease: a new holder must know the heads of replicas that are not listed any more.
func (c *Controller) note(list fleet.List) {
	if list.Changed != 0 && list.Changed == c.noted {
		return
	}
	c.noted = list.Changed
	for _, s := range list.Servers {
		c.seen[s.ID] = s
	}
}

// hold acts as the holder until the lease is lost or ctx ends, and says why.
func (c *Controller) hold(ctx context.Context, lease *grouping.Lease) (reason string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		c.keep(ctx, lease)
	}()
	t := newTerm(c.opts, lease, c.seen)
	defer t.wait()
	began := time.Now()
	for ctx.Err() == nil && lease.Left(time.Now()) > 0 {
		list, _ := c.opts.List()
		c.note(list)
		now := time.Now()
		switch {
		case list.Revision >= int64(lease.Fence()):
			t.step(ctx, list, lease.Left(now), c.suspects.take(), now)
		case now.Sub(began) >= refreshAfter:
			c.refresh(ctx)
		}
		if t.machine.Fenced() {
			break
		}
		t.sleep(ctx, c.opts.StepInterval, stepGap(time.Since(now), c.opts.StepInterval))
	}
	reason = endReason(ctx, t, lease)
	lease.Lose()
	cancel()
	<-kept
	return reason
}

func endReason(ctx context.Context, t *term, lease *grouping.Lease) string {
	switch {
	case ctx.Err() != nil:
		return endStopping
	case t.machine.Fenced():
		return endFenced
	case lease.Lost():
		return endLost
	}
	return endLapsed
}

func (c *Controller) refresh(ctx context.Context) {
	if err := c.opts.Refresh(ctx); err != nil && ctx.Err() == nil {
		c.opts.Log.Warn("list not read anew", "scope", c.opts.Scope, "err", err.Error())
	}
}

// keep extends the lease until it is lost or ctx ends. After a failure it tries again
// soon: two intervals without an extension use up most of the lease's life.
func (c *Controller) keep(ctx context.Context, lease *grouping.Lease) {
	interval := c.opts.LeaseTTL / 4
	retry := clock.Backoff{Least: interval / 8, Most: interval}
	pause := interval
	for clock.Pause(ctx, pause) && lease.Left(time.Now()) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, interval)
		err := lease.Extend(callCtx)
		cancel()
		if err == nil {
			retry.Reset()
			pause = interval
			continue
		}
		pause = retry.Next()
		if ctx.Err() == nil {
			c.opts.Log.Warn("placement lease not extended", "scope", c.opts.Scope, "fence", lease.Fence(), "left", lease.Left(time.Now()), "err", err.Error())
		}
	}
}
