// Package formation acquires the placement lease of a scope (the zones of a deployment) and
// forms its replicas while holding it. One node at a time holds the lease. A
// lifecycle.Machine makes the decisions; this package sends the orders and probes, reads the
// clock and extends the lease.
package formation

import (
	"context"
	"log/slog"
	"maps"
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
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// Options configures a Controller. All fields are required unless stated otherwise.
type Options struct {
	// Scope identifies the zones whose VMs are formed into replicas together; the placement
	// lease is stored under it.
	Scope cluster.ZoneID
	Node  cluster.NodeID
	Store store.Store
	// List returns the current server list and whether it has been read at all.
	List func() (fleet.List, bool)
	// Rules returns the rules in force, or nil before any are known.
	Rules func() *rules.Set
	// Refresh rereads the list from the store. A holder acts only on a list that is newer than
	// its lease, which then reflects everything its predecessor may have done.
	Refresh func(context.Context) error
	// LeaseHeld reports whether, as far as this node knows, the store holds a lease key. It
	// avoids attempts that would cost store calls.
	LeaseHeld func() bool
	// StoreContact returns when the store last confirmed the list; may be nil.
	StoreContact func() time.Time
	// Standby is set on nodes that learn of the lease through other nodes. They leave the first
	// attempts to the nodes that watch the store directly.
	Standby bool
	// UnmeteredLoads reports whether no request has been sent yet, so that loads do not count
	// against the weight store's limits.
	UnmeteredLoads func() bool
	// Work estimates the work that arrives at all nodes by model; it returns nil if too little
	// is known. May be nil.
	Work   func() workload.Rates
	Client OrderClient
	// OnMembersResponsive is called for a replica that was reported as stalled and whose members
	// all respond to probes; may be nil.
	OnMembersResponsive func(cluster.ReplicaID)
	Policy              placement.Policy
	Log                 *slog.Logger
	// LeaseTTL is the time to live of the placement lease; zero means DefaultLeaseTTL.
	LeaseTTL time.Duration
	// ServersUnreachable reports whether this node reaches no server; it then leaves the lease
	// to the others. May be nil.
	ServersUnreachable func() bool
	// SinceBoot is the clock that measures the lease while the VM is suspended; nil means
	// clock.SinceBoot.
	SinceBoot func() time.Duration
	// StepInterval is the maximum time between two steps; zero means DefaultStepInterval.
	StepInterval time.Duration
}

// Defaults of Options, and intervals of the controller.
const (
	// DefaultLeaseTTL bounds how long a scope has no holder after the holder's node died.
	DefaultLeaseTTL = 2500 * time.Millisecond
	// DefaultStepInterval is half of the shortest state change of a VM (rejoining takes 0.2 s).
	DefaultStepInterval = 100 * time.Millisecond
	// acquireInterval is the time between two checks whether the lease is free.
	acquireInterval = 100 * time.Millisecond
	// refreshDelay is how long a new holder waits for the watch to deliver its predecessor's
	// changes before it rereads the whole list.
	refreshDelay = 300 * time.Millisecond
)

var (
	termsTotal   = metrics.NewCounter("fennel_formation_terms_total")
	ordersSent   = metrics.NewCounter("fennel_formation_orders_sent_total")
	ordersFailed = metrics.NewCounter("fennel_formation_orders_failed_total")
)

// Controller competes for the placement lease and forms replicas while it holds it.
type Controller struct {
	opts       Options
	stalled    stallReports
	holdsLease atomic.Bool
	// listed is the last list seen, and departed holds the VMs that have left it. Only Run's
	// goroutine uses them.
	listed   fleet.List
	departed map[cluster.VMID]departedVM
}

// departedVM is the last list entry of a VM that has left the list.
type departedVM struct {
	server fleet.Server
	at     time.Time
}

// departedRetention is how long a VM that has left the list is remembered.
const departedRetention = 10 * time.Minute

// NewController returns a Controller, which Run starts.
func NewController(opts Options) *Controller {
	if opts.LeaseTTL <= 0 {
		opts.LeaseTTL = DefaultLeaseTTL
	}
	if opts.StepInterval <= 0 {
		opts.StepInterval = DefaultStepInterval
	}
	return &Controller{opts: opts, departed: make(map[cluster.VMID]departedVM)}
}

// Run competes for the lease and acts as the holder until ctx is done. It then revokes the
// lease, so that another node need not wait for it to expire.
func (c *Controller) Run(ctx context.Context) {
	schedule := newAcquireSchedule(c.opts.Standby)
	for ctx.Err() == nil {
		list, listed := c.opts.List()
		c.recordListed(list, time.Now())
		free := listed && c.opts.Rules() != nil && !c.opts.LeaseHeld() && !c.serversUnreachable()
		if c.opts.StoreContact != nil {
			schedule.recordContact(c.opts.StoreContact(), time.Now())
		}
		if schedule.due(free, time.Now()) {
			schedule.recordAttempt(c.tryAcquire(ctx), time.Now())
		}
		clock.Pause(ctx, acquireInterval)
	}
}

// tryAcquire attempts once to acquire the lease and, on success, acts as the holder until the
// term ends. It reports whether the store responded to the attempt.
func (c *Controller) tryAcquire(ctx context.Context) (responded bool) {
	acquireCtx, cancel := context.WithTimeout(ctx, c.opts.LeaseTTL/2)
	defer cancel()
	lease, err := grouping.AcquireLease(acquireCtx, grouping.LeaseOptions{Store: c.opts.Store, Zone: c.opts.Scope, Node: c.opts.Node,
		TTL: c.opts.LeaseTTL, SinceBoot: c.opts.SinceBoot})
	if err != nil {
		c.opts.Log.Warn("placement lease acquisition failed", "scope", c.opts.Scope, "err", err.Error())
		return false
	}
	if lease == nil {
		return true
	}
	termsTotal.Inc()
	c.opts.Log.Info("placement lease acquired", "scope", c.opts.Scope, "fence", lease.Fence())
	termStart := time.Now()
	c.holdsLease.Store(true)
	reason := c.runTerm(ctx, lease)
	c.holdsLease.Store(false)
	lease.Revoke(ctx)
	c.opts.Log.Info("placement lease given up", "scope", c.opts.Scope, "fence", lease.Fence(), "reason", reason, "held", time.Since(termStart))
	return true
}

// Reasons for the end of a term, as logged.
const (
	reasonNodeStopping = "node-stopping"
	reasonFenced       = "superseded-by-later-holder"
	reasonLeaseLost    = "lease-not-found"
	reasonLeaseExpired = "lease-not-extended"
	reasonUnreachable  = "servers-unreachable"
)

// serversUnreachable reports whether this node cannot give orders to servers.
func (c *Controller) serversUnreachable() bool {
	return c.opts.ServersUnreachable != nil && c.opts.ServersUnreachable()
}

// HoldsLease reports whether this node holds the lease.
func (c *Controller) HoldsLease() bool { return c.holdsLease.Load() }

// recordListed records the VMs that have left the list, also while another node holds the lease:
// a new holder must know the heads of replicas that are no longer listed. All nodes do this for
// each change of the list, so it only compares the two lists' IDs.
func (c *Controller) recordListed(list fleet.List, now time.Time) {
	if list.Version != 0 && list.Version == c.listed.Version {
		return
	}
	next := 0
	for i := range c.listed.Servers {
		s := &c.listed.Servers[i]
		for next < len(list.Servers) && list.Servers[next].ID < s.ID {
			next++
		}
		if next == len(list.Servers) || list.Servers[next].ID != s.ID {
			c.departed[s.ID] = departedVM{*s, now}
		}
	}
	maps.DeleteFunc(c.departed, func(id cluster.VMID, d departedVM) bool {
		return now.Sub(d.at) > departedRetention || list.Find(id) != nil
	})
	c.listed = list
}

// lastListed returns the last list entry of each VM.
func (c *Controller) lastListed() map[cluster.VMID]fleet.Server {
	entries := make(map[cluster.VMID]fleet.Server, len(c.listed.Servers)+len(c.departed))
	for id, d := range c.departed {
		entries[id] = d.server
	}
	for _, s := range c.listed.Servers {
		entries[s.ID] = s
	}
	return entries
}

// runTerm acts as the holder until the lease is lost or ctx is done, and returns the reason.
func (c *Controller) runTerm(ctx context.Context, lease *grouping.Lease) (reason string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	extenderDone := make(chan struct{})
	go func() {
		defer close(extenderDone)
		c.extendLease(ctx, lease)
	}()
	lastListed := c.lastListed()
	t := newTerm(c.opts, lease, lastListed)
	defer t.waitInFlight()
	termStart := time.Now()
	for ctx.Err() == nil && lease.Remaining(time.Now()) > 0 && !c.serversUnreachable() {
		list, _ := c.opts.List()
		now := time.Now()
		if list.Version != c.listed.Version {
			for _, s := range list.Servers {
				lastListed[s.ID] = s
			}
		}
		c.recordListed(list, now)
		switch {
		case list.Revision >= int64(lease.Fence()):
			t.step(ctx, list, lease.Remaining(now), c.stalled.take(), now)
		case now.Sub(termStart) >= refreshDelay:
			c.refresh(ctx)
		}
		if t.machine.Fenced() {
			break
		}
		t.waitForNextStep(ctx, c.opts.StepInterval, stepGap(time.Since(now), c.opts.StepInterval))
	}
	reason = c.termEndReason(ctx, t, lease)
	lease.MarkLost()
	cancel()
	<-extenderDone
	return reason
}

func (c *Controller) termEndReason(ctx context.Context, t *term, lease *grouping.Lease) string {
	switch {
	case ctx.Err() != nil:
		return reasonNodeStopping
	case t.machine.Fenced():
		return reasonFenced
	case lease.Lost():
		return reasonLeaseLost
	case c.serversUnreachable():
		return reasonUnreachable
	}
	return reasonLeaseExpired
}

func (c *Controller) refresh(ctx context.Context) {
	if err := c.opts.Refresh(ctx); err != nil && ctx.Err() == nil {
		c.opts.Log.Warn("server list refresh failed", "scope", c.opts.Scope, "err", err.Error())
	}
}

// extendLease extends the lease periodically until it is lost or ctx is done. After a failure
// it retries soon: two intervals without an extension use up most of the lease's TTL.
func (c *Controller) extendLease(ctx context.Context, lease *grouping.Lease) {
	interval := c.opts.LeaseTTL / 4
	retry := clock.Backoff{Min: interval / 8, Max: interval}
	pause := interval
	for clock.Pause(ctx, pause) && lease.Remaining(time.Now()) > 0 {
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
			c.opts.Log.Warn("placement lease not extended", "scope", c.opts.Scope, "fence", lease.Fence(), "left", lease.Remaining(time.Now()), "err", err.Error())
		}
	}
}
