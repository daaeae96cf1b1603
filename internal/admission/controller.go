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

// Options shape a Controller. Zero fields take the defaults below.
type Options struct {
	// Self is this node.
	Self Node
	// LimitOf gives a team's limit in force; nil means defaults for all.
	LimitOf func(cluster.TeamID) rules.Limit
	// MaxWait bounds the wait of requests that name no deadline.
	MaxWait time.Duration
	// Overcommit is how many requests are dispatched for one that the engines
	// batch. The nodes cannot balance the replicas exactly, and a few requests
	// waiting in each engine keep its batch full meanwhile.
	Overcommit float64
	// PeerExpiry is the silence after which a node counts as unseen.
	PeerExpiry time.Duration
	// SharesCapacity reports whether the nodes of a zone send to the same replicas
	// as this one and so need a part of their capacity; nil means all do.
	SharesCapacity func(cluster.ZoneID) bool
	// Now is the clock; default time.Now.
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
	shards = 16
	// refreshEvery is how often this node's parts of limits and capacities are split anew.
	refreshEvery = 200 * time.Millisecond
)

// Controller hands out slots. All methods are safe for concurrent use.
type Controller struct {
	opts   Options
	peers  peerBook
	groups [shards]groupShard
	teams  [shards]teamShard
}

type groupShard struct {
	mu     sync.Mutex
	queues map[cluster.GroupName]*groupQueue
}

// groupQueue is a group's queue with the capacity that all nodes share.
type groupQueue struct {
	*queue
	capacity    int
	refreshedAt time.Time
}

type teamShard struct {
	mu sync.Mutex
	m  map[cluster.TeamID]*teamState
}

// New returns a controller that knows no capacities: until SetCapacity is
// called for a group, its requests are bounded by the teams' limits only.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	c := &Controller{opts: opts, peers: peerBook{self: opts.Self, expiry: opts.PeerExpiry, sharesCapacity: opts.SharesCapacity, heard: map[cluster.NodeID]peerDemand{}}}
	for i := range shards {
		c.groups[i].queues = map[cluster.GroupName]*groupQueue{}
		c.teams[i].m = map[cluster.TeamID]*teamState{}
	}
	return c
}

// SetNodes names all nodes that may be serving, also those not heard lately.
func (c *Controller) SetNodes(nodes []Node) { c.peers.setNodes(nodes) }

// ObservePeer takes another node's demands, which replace its earlier ones. Also
// an empty list says that the node is alive.
func (c *Controller) ObservePeer(node cluster.NodeID, demands []Demand, now time.Time) {
	c.peers.observe(node, demands, now)
}

// Demands returns this node's demands, to be told to the others.
func (c *Controller) Demands(now time.Time) []Demand {
	var out []Demand
	c.eachTeam(func(t *teamState) {
		if d := t.publish(now); d > negligibleDemand || t.inFlight.Load() > 0 {
			out = append(out, Demand{Team: t.name, Demand: d, InFlight: int(t.inFlight.Load())})
		}
	})
	return out
}

// negligibleDemand is not worth a place in a datagram.
const negligibleDemand = 0.01

func (c *Controller) eachTeam(f func(*teamState)) {
	for i := range c.teams {
		s := &c.teams[i]
		s.mu.Lock()
		for _, t := range s.m {
			f(t)
		}
		s.mu.Unlock()
	}
}

// SetCapacity says how many requests the whole replicas of the group batch,
// over all nodes; this node uses its part. Zero refuses all.
func (c *Controller) SetCapacity(group cluster.GroupName, slots int) {
	now := c.opts.Now()
	nodes := c.peers.ofAll(c.ownDemand(now), now)
	s := c.groupShard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := c.groupLocked(s, group)
	g.capacity, g.limited = slots, true
	c.resplit(group, g, nodes, now)
}

// refreshGroup splits the group's capacity anew when it is due.
func (c *Controller) refreshGroup(group cluster.GroupName, now time.Time) {
	s := c.groupShard(group)
	s.mu.Lock()
	g := c.groupLocked(s, group)
	due := g.limited && now.Sub(g.refreshedAt) >= refreshEvery
	s.mu.Unlock()
	if !due {
		return
	}
	nodes := c.peers.ofAll(c.ownDemand(now), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.resplit(group, g, nodes, now)
}

// resplit sets this node's part of the capacity, at least one slot of any. The
// caller holds the group's shard.
func (c *Controller) resplit(group cluster.GroupName, g *groupQueue, nodes []nodeDemand, now time.Time) {
	g.refreshedAt = now
	part := 0
	if g.capacity > 0 {
		total := int(float64(g.capacity) * c.opts.Overcommit)
		part = max(split(total, nodes, c.opts.Self.ID, string(group)), 1)
	}
	g.setSlots(now, part)
	settle(g.dispatch(now))
}

func (c *Controller) ownDemand(now time.Time) (total float64) {
	c.eachTeam(func(t *teamState) { total += t.publish(now) })
	return total
}

func (c *Controller) groupShard(group cluster.GroupName) *groupShard {
	return &c.groups[xxhash.Sum64String(string(group))%shards]
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
	s := &c.teams[xxhash.Sum64String(string(name))%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.m[name]
	if t == nil {
		t = &teamState{name: name, mu: &s.mu}
		s.m[name] = t
	}
	return t
}

// refreshTeam splits the team's limit anew when it is due and returns the limit.
func (c *Controller) refreshTeam(t *teamState, now time.Time) rules.Limit {
	limit := c.opts.LimitOf(t.name)
	t.mu.Lock()
	due := t.refreshedAt.IsZero() || now.Sub(t.refreshedAt) >= refreshEvery
	own := 0.0
	if due {
		t.refreshedAt = now
		own = t.publish(now)
	}
	t.mu.Unlock()
	switch {
	case limit.InFlight == 0:
		t.allowance.Store(unlimited)
	case due:
		t.allowance.Store(int64(split(limit.InFlight, c.peers.ofTeam(t.name, own, now), c.opts.Self.ID, string(t.name))))
	}
	return limit
}

var (
	admittedTotal = metrics.NewCounter("fennel_admission_admitted_total")
	refusedTotal  = metrics.NewCounter("fennel_admission_refused_total")
	retriesTotal  = metrics.NewCounter("fennel_admission_retries_refused_total")
	waitSeconds   = metrics.NewHistogram("fennel_admission_wait_seconds")
	tokensTotal   = metrics.NewCounter("fennel_admission_tokens_total")
)

// Acquire waits for a slot or refuses with Overloaded, LimitExceeded or
// DeadlineTooShort, each with Retry-After and Run NotRun; or with Canceled when
// ctx ends first.
func (c *Controller) Acquire(ctx context.Context, req Request) (Slot, error) {
	now := c.opts.Now()
	team := c.team(req.Team)
	limit := c.refreshTeam(team, now)
	t := &ticket{
		team: req.Team, cost: float64(max(req.Cost, 1)), deadline: req.Deadline,
		given: !req.Deadline.IsZero(), settled: make(chan struct{}),
	}
	team.waiting.Add(1)
	defer team.waiting.Add(-1)
	if refusal := c.enqueue(req.Group, team, t, limit, now); refusal != nil {
		refusedTotal.Inc()
		team.refused.Add(1)
		return nil, refusal
	}
	if err := c.await(ctx, req.Group, t); err != nil {
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
	if refusal := g.arrive(now, t, float64(max(limit.Share, 1)), team); refusal != nil {
		return refusal
	}
	settle(g.dispatch(now))
	return nil
}

// settle tells the tickets' owners that they run.
func settle(run []*ticket) {
	for _, t := range run {
		close(t.settled)
	}
}

func (c *Controller) await(ctx context.Context, group cluster.GroupName, t *ticket) error {
	timer := time.NewTimer(t.startBy.Sub(c.opts.Now()))
	defer timer.Stop()
	select {
	case <-t.settled:
	case <-ctx.Done():
		if c.abandon(group, t) {
			return fennelerr.Wrap(ctx.Err(), fennelerr.Canceled, "gave up waiting for a slot").WithRun(fennelerr.NotRun)
		}
		<-t.settled
	case <-timer.C:
		c.expire(group, t)
		<-t.settled
	}
	if t.refusal != nil {
		return t.refusal
	}
	return nil
}

// abandon takes the ticket out of the queue; false when it was settled before.
func (c *Controller) abandon(group cluster.GroupName, t *ticket) bool {
	s := c.groupShard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queues[group].leave(t)
}

func (c *Controller) expire(group cluster.GroupName, t *ticket) {
	s := c.groupShard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queues[group].expire(c.opts.Now(), t)
}

// slot implements Slot.
type slot struct {
	c        *Controller
	group    cluster.GroupName
	team     *teamState
	ticket   *ticket
	began    atomic.Bool
	released atomic.Bool
}

// FirstToken implements Slot; only the first call counts.
func (s *slot) FirstToken() {
	if s.began.Swap(true) {
		return
	}
	sh := s.c.groupShard(s.group)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.queues[s.group].firstToken(s.c.opts.Now(), s.ticket)
}

// Release implements Slot; a second call does nothing.
func (s *slot) Release(tokens int) {
	if s.released.Swap(true) {
		return
	}
	now := s.c.opts.Now()
	if tokens > 0 {
		tokensTotal.Add(tokens)
		s.team.mu.Lock()
		s.team.retries.success(now)
		s.team.mu.Unlock()
	}
	s.team.inFlight.Add(-1)
	s.c.refreshTeam(s.team, now)
	s.c.release(s, now, tokens > 0)
}

func (c *Controller) release(sl *slot, now time.Time, answered bool) {
	s := c.groupShard(sl.group)
	s.mu.Lock()
	g := s.queues[sl.group]
	g.finish(now, sl.ticket, answered)
	settle(g.dispatch(now))
	s.mu.Unlock()
	if sl.team.waiting.Load() > 0 {
		c.dispatchAll(now)
	}
}

// dispatchAll serves the queues of all groups, one lock at a time: a team that
// was held back by its limit in one group gets its turn when it ends a request
// in another.
func (c *Controller) dispatchAll(now time.Time) {
	for i := range c.groups {
		s := &c.groups[i]
		s.mu.Lock()
		for _, g := range s.queues {
			if g.waitingCount() > 0 {
				settle(g.dispatch(now))
			}
		}
		s.mu.Unlock()
	}
}

// AllowRetry spends one retry of the team's budget, or reports false.
func (c *Controller) AllowRetry(name cluster.TeamID) bool {
	now := c.opts.Now()
	t := c.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	ok := t.retries.spend(now)
	if !ok {
		retriesTotal.Inc()
	}
	return ok
}

// TeamStatus is one team's counts on this node, for operators.
type TeamStatus struct {
	Team             cluster.TeamID
	Running, Waiting int
}

// Statuses returns the teams that were seen since the start, by name.
func (c *Controller) Statuses() []TeamStatus {
	var out []TeamStatus
	c.eachTeam(func(t *teamState) {
		out = append(out, TeamStatus{Team: t.name, Running: int(t.inFlight.Load()), Waiting: int(t.waiting.Load())})
	})
	slices.SortFunc(out, func(a, b TeamStatus) int { return cmp.Compare(a.Team, b.Team) })
	return out
}
