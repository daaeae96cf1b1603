package admission

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Options configures a Controller. Zero fields take the defaults below.
type Options struct {
	// Self identifies this node.
	Self Node
	// LimitOf returns the limit currently configured for a team; nil gives every team
	// the default share and no in-flight limit.
	LimitOf func(cluster.TeamID) rules.Limit
	// MaxWait bounds the queueing time of requests without a deadline.
	MaxWait time.Duration
	// Overcommit is the ratio of dispatched requests to the engines' batch slots. The
	// nodes cannot balance load over the replicas exactly, so a few requests waiting in
	// each engine keep its batch full.
	Overcommit float64
	// PeerExpiry is the time without a message after which a node counts as unseen.
	PeerExpiry time.Duration
	// SharesCapacity reports whether the nodes of a zone send to the same replicas as
	// this node and therefore need a part of their capacity; nil means that all zones
	// do.
	SharesCapacity func(cluster.ZoneID) bool
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

// Defaults of Options.
const (
	DefaultMaxWait    = 30 * time.Second
	DefaultOvercommit = 1.2
	DefaultPeerExpiry = 4 * time.Second
)

func (o Options) withDefaults() Options {
	if o.LimitOf == nil {
		o.LimitOf = func(team cluster.TeamID) rules.Limit { return rules.Limit{Team: team, Share: rules.DefaultShare} }
	}
	if o.MaxWait == 0 {
		o.MaxWait = DefaultMaxWait
	}
	if o.Overcommit == 0 {
		o.Overcommit = DefaultOvercommit
	}
	if o.PeerExpiry == 0 {
		o.PeerExpiry = DefaultPeerExpiry
	}
	if o.SharesCapacity == nil {
		o.SharesCapacity = func(cluster.ZoneID) bool { return true }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

const (
	shardCount = 16
	// refreshInterval is how often this node's parts of limits and capacities are
	// recomputed.
	refreshInterval = 200 * time.Millisecond
)

// Controller grants slots to requests. All methods are safe for concurrent use.
type Controller struct {
	opts   Options
	peers  peerTable
	groups [shardCount]groupShard
	teams  [shardCount]teamShard
}

type groupShard struct {
	mu     sync.Mutex
	queues map[cluster.GroupName]*groupQueue
}

// groupQueue is a group's queue together with the capacity shared by all nodes.
type groupQueue struct {
	*queue
	capacity    int
	refreshedAt time.Time
}

type teamShard struct {
	mu sync.Mutex
	m  map[cluster.TeamID]*teamState
}

// New returns a controller without capacities: until SetCapacity is called for a group,
// only the teams' limits bound its requests.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	c := &Controller{opts: opts, peers: peerTable{self: opts.Self, expiry: opts.PeerExpiry, sharesCapacity: opts.SharesCapacity, demands: map[cluster.NodeID]peerDemand{}}}
	for i := range shardCount {
		c.groups[i].queues = map[cluster.GroupName]*groupQueue{}
		c.teams[i].m = map[cluster.TeamID]*teamState{}
	}
	return c
}

// SetNodes sets the nodes that may be serving, including those not heard from recently.
func (c *Controller) SetNodes(nodes []Node) { c.peers.setNodes(nodes) }

// ObservePeer replaces the demands known of another node. An empty list still marks the
// node as seen.
func (c *Controller) ObservePeer(node cluster.NodeID, demands []Demand, now time.Time) {
	c.peers.observe(node, demands, now)
}

// Demands returns this node's demands for publication to the other nodes.
func (c *Controller) Demands(now time.Time) []Demand {
	var out []Demand
	c.forEachTeam(func(t *teamState) {
		if d := t.publishedDemand(now); d > negligibleDemand || t.inFlight.Load() > 0 {
			out = append(out, Demand{Team: t.name, Demand: d, InFlight: int(t.inFlight.Load())})
		}
	})
	return out
}

// negligibleDemand is the demand up to which a team without requests in flight is left
// out of datagrams.
const negligibleDemand = 0.01

func (c *Controller) forEachTeam(f func(*teamState)) {
	for i := range c.teams {
		s := &c.teams[i]
		s.mu.Lock()
		for _, t := range s.m {
			f(t)
		}
		s.mu.Unlock()
	}
}

// SetCapacity sets the number of requests that the group's ready replicas can batch,
// summed over all nodes. This node uses its part of it. Zero refuses all requests.
func (c *Controller) SetCapacity(group cluster.GroupName, slots int) {
	now := c.opts.Now()
	nodes := c.peers.totalDemands(c.localDemand(now), now)
	s := c.groupShard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := c.groupLocked(s, group)
	g.capacity, g.limited = slots, true
	c.updateSlots(group, g, nodes, now)
}

// refreshGroup recomputes this node's part of the group's capacity once per
// refreshInterval.
func (c *Controller) refreshGroup(group cluster.GroupName, now time.Time) {
	s := c.groupShard(group)
	s.mu.Lock()
	g := c.groupLocked(s, group)
	due := g.limited && now.Sub(g.refreshedAt) >= refreshInterval
	s.mu.Unlock()
	if !due {
		return
	}
	nodes := c.peers.totalDemands(c.localDemand(now), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.updateSlots(group, g, nodes, now)
}

// updateSlots sets this node's part of the capacity: at least one slot unless the
// capacity is zero. The caller holds the group's shard lock.
func (c *Controller) updateSlots(group cluster.GroupName, g *groupQueue, nodes []nodeDemand, now time.Time) {
	g.refreshedAt = now
	part := 0
	if g.capacity > 0 {
		total := int(float64(g.capacity) * c.opts.Overcommit)
		part = max(split(total, nodes, c.opts.Self.ID, string(group)), 1)
	}
	g.setSlots(now, part)
	notifyStarted(g.dispatch(now))
}

func (c *Controller) localDemand(now time.Time) (total float64) {
	c.forEachTeam(func(t *teamState) { total += t.publishedDemand(now) })
	return total
}

func (c *Controller) groupShard(group cluster.GroupName) *groupShard {
	return &c.groups[xxhash.Sum64String(string(group))%shardCount]
}

func (c *Controller) groupLocked(s *groupShard, group cluster.GroupName) *groupQueue {
	g := s.queues[group]
	if g == nil {
		g = &groupQueue{queue: newQueue(c.opts.MaxWait)}
		s.queues[group] = g
	}
	return g
}

func (c *Controller) team(name cluster.TeamID) *teamState {
	s := &c.teams[xxhash.Sum64String(string(name))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.m[name]
	if t == nil {
		t = &teamState{name: name, mu: &s.mu}
		s.m[name] = t
	}
	return t
}

// refreshTeam recomputes this node's part of the team's limit once per refreshInterval
// and returns the limit.
func (c *Controller) refreshTeam(t *teamState, now time.Time) rules.Limit {
	limit := c.opts.LimitOf(t.name)
	t.mu.Lock()
	due := t.refreshedAt.IsZero() || now.Sub(t.refreshedAt) >= refreshInterval
	own := 0.0
	if due {
		t.refreshedAt = now
		own = t.publishedDemand(now)
	}
	t.mu.Unlock()
	switch {
	case limit.InFlight == 0:
		t.allowance.Store(unlimited)
	case due:
		t.allowance.Store(int64(split(limit.InFlight, c.peers.teamDemands(t.name, own, now), c.opts.Self.ID, string(t.name))))
	}
	return limit
}

var (
	admittedTotal       = metrics.NewCounter("fennel_admission_admitted_total")
	refusedTotal        = metrics.NewCounter("fennel_admission_refused_total")
	retriesRefusedTotal = metrics.NewCounter("fennel_admission_retries_refused_total")
	waitSeconds         = metrics.NewHistogram("fennel_admission_wait_seconds")
	tokensTotal         = metrics.NewCounter("fennel_admission_tokens_total")
)

// Acquire waits for a slot. It fails with Overloaded, LimitExceeded or
// DeadlineTooShort, each with Retry-After and Run NotRun, or with Canceled if ctx ends
// first.
func (c *Controller) Acquire(ctx context.Context, req Request) (Slot, error) {
	now := c.opts.Now()
	team := c.team(req.Team)
	limit := c.refreshTeam(team, now)
	t := &ticket{
		team: req.Team, cost: float64(max(req.Cost, 1)), deadline: req.Deadline,
		hasDeadline: !req.Deadline.IsZero(), decided: make(chan struct{}),
	}
	team.waiting.Add(1)
	defer team.waiting.Add(-1)
	if refusal := c.enqueue(req.Group, team, t, limit, now); refusal != nil {
		refusedTotal.Inc()
		team.refused.Add(1)
		return nil, refusal
	}
	if err := c.waitForSlot(ctx, req.Group, t); err != nil {
		refusedTotal.Inc()
		return nil, err
	}
	admittedTotal.Inc()
	waitSeconds.Update(c.opts.Now().Sub(now).Seconds())
	return &slot{c: c, group: req.Group, team: team, ticket: t}, nil
}

func (c *Controller) enqueue(group cluster.GroupName, team *teamState, t *ticket, limit rules.Limit, now time.Time) *fennelerr.Error {
	c.refreshGroup(group, now)
	s := c.groupShard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := c.groupLocked(s, group)
	if refusal := g.enqueue(now, t, float64(max(limit.Share, 1)), team); refusal != nil {
		return refusal
	}
	notifyStarted(g.dispatch(now))
	return nil
}

// notifyStarted wakes the callers of tickets that were dispatched.
func notifyStarted(run []*ticket) {
	for _, t := range run {
		close(t.decided)
	}
}

func (c *Controller) waitForSlot(ctx context.Context, group cluster.GroupName, t *ticket) error {
	timer := time.NewTimer(t.startBy.Sub(c.opts.Now()))
	defer timer.Stop()
	select {
	case <-t.decided:
	case <-ctx.Done():
		if c.cancelWait(group, t) {
			return fennelerr.Wrap(ctx.Err(), fennelerr.Canceled, "canceled while waiting for a slot").WithRun(fennelerr.NotRun)
		}
		<-t.decided
	case <-timer.C:
		c.expire(group, t)
		<-t.decided
	}
	if t.refusal != nil {
		return t.refusal
	}
	return nil
}

// cancelWait removes the ticket from the queue. It returns false if the ticket has
// already been dispatched or refused.
func (c *Controller) cancelWait(group cluster.GroupName, t *ticket) bool {
	s := c.groupShard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queues[group].remove(t)
}

func (c *Controller) expire(group cluster.GroupName, t *ticket) {
	s := c.groupShard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queues[group].expire(c.opts.Now(), t)
}

// slot implements Slot.
type slot struct {
	c              *Controller
	group          cluster.GroupName
	team           *teamState
	ticket         *ticket
	firstTokenSeen atomic.Bool
	released       atomic.Bool
}

// FirstToken implements Slot; only the first call has an effect.
func (s *slot) FirstToken() {
	if s.firstTokenSeen.Swap(true) {
		return
	}
	shard := s.c.groupShard(s.group)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.queues[s.group].observeFirstToken(s.c.opts.Now(), s.ticket)
}

// Release implements Slot; only the first call has an effect.
func (s *slot) Release(tokens int) {
	if s.released.Swap(true) {
		return
	}
	now := s.c.opts.Now()
	if tokens > 0 {
		tokensTotal.Add(tokens)
		s.team.mu.Lock()
		s.team.retries.recordSuccess(now)
		s.team.mu.Unlock()
	}
	s.team.inFlight.Add(-1)
	s.c.refreshTeam(s.team, now)
	s.c.release(s, now, tokens > 0)
}

func (c *Controller) release(s *slot, now time.Time, answered bool) {
	shard := c.groupShard(s.group)
	shard.mu.Lock()
	g := shard.queues[s.group]
	g.finish(now, s.ticket, answered)
	notifyStarted(g.dispatch(now))
	shard.mu.Unlock()
	if s.team.waiting.Load() > 0 {
		c.dispatchAll(now)
	}
}

// dispatchAll dispatches from the queues of all groups, holding one lock at a time. A
// team that was blocked by its limit in one group can continue when one of its requests
// in another group ends.
func (c *Controller) dispatchAll(now time.Time) {
	for i := range c.groups {
		s := &c.groups[i]
		s.mu.Lock()
		for _, g := range s.queues {
			if g.waitingCount() > 0 {
				notifyStarted(g.dispatch(now))
			}
		}
		s.mu.Unlock()
	}
}

// AllowRetry takes one retry from the team's budget. It returns false if the budget is
// used up.
func (c *Controller) AllowRetry(name cluster.TeamID) bool {
	now := c.opts.Now()
	t := c.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	ok := t.retries.spend(now)
	if !ok {
		retriesRefusedTotal.Inc()
	}
	return ok
}

// TeamStatus holds one team's request counts on this node, for operators.
type TeamStatus struct {
	Team             cluster.TeamID
	Running, Waiting int
}

// Statuses returns the teams seen since the process started, sorted by name.
func (c *Controller) Statuses() []TeamStatus {
	var out []TeamStatus
	c.forEachTeam(func(t *teamState) {
		out = append(out, TeamStatus{Team: t.name, Running: int(t.inFlight.Load()), Waiting: int(t.waiting.Load())})
	})
	slices.SortFunc(out, func(a, b TeamStatus) int { return cmp.Compare(a.Team, b.Team) })
	return out
}
