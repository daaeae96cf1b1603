package health

import (
	"context"
	"hash/maphash"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

const (
	shardCount = 16
	// tick is how often ages are looked at and due polls are sent.
	tick = 250 * time.Millisecond
	// parallelPolls bounds the polls in flight.
	parallelPolls = 32
)

var (
	pollsSent     = metrics.NewCounter("fennel_health_polls_total")
	pollsFailed   = metrics.NewCounter("fennel_health_polls_failed_total")
	turnedWhole   = metrics.NewCounter("fennel_health_whole_total")
	turnedUnwhole = metrics.NewCounter("fennel_health_not_whole_total")
)

// Engines asks a serving VM for its state, whole or in brief; engine.Client is one.
type Engines interface {
	State(ctx context.Context, addr string) (engine.State, error)
	BriefState(ctx context.Context, addr string) (engine.State, error)
}

// Options sets up a Check. Engines and Log are required.
type Options struct {
	Engines Engines
	Log     *slog.Logger
	Bounds  Bounds
	// Responsible reports whether this node polls the replica; the zone's nodes split
	// the replicas among them. nil means all.
	Responsible func(cluster.ReplicaID) bool
}

// Checker follows all committed replicas that it is given and says which are whole.
type Checker struct {
	opts   Options
	seed   maphash.Seed
	shards [shardCount]shard
	slots  chan struct{}
	polls  sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	addrs   map[cluster.VMID]string
	tables  map[cluster.ZoneID][]cluster.Replica
	onWhole []func(cluster.Replica, bool, string)
	onLoad  []func(cluster.Replica, engine.Load)
}

// shard is a Tracker of some of the replicas. emit is held while transitions are
// worked out and told, so that listeners see them in order; mu guards the Tracker.
type shard struct {
	emit    sync.Mutex
	mu      sync.Mutex
	tracker *Tracker
}

// New returns a Check; Run starts its polls.
func New(opts Options) *Checker {
	if opts.Bounds == (Bounds{}) {
		opts.Bounds = DefaultBounds()
	}
	if opts.Responsible == nil {
		opts.Responsible = func(cluster.ReplicaID) bool { return true }
	}
	c := &Checker{
		opts: opts, seed: maphash.MakeSeed(), slots: make(chan struct{}, parallelPolls),
		addrs: make(map[cluster.VMID]string), tables: make(map[cluster.ZoneID][]cluster.Replica),
	}
	for i := range c.shards {
		c.shards[i].tracker = NewTracker(opts.Bounds)
	}
	return c
}

// OnChange registers fn to be told when a replica becomes whole or ceases to be,
// in order for each replica. Register before Run; fn must not block.
func (c *Checker) OnChange(fn func(replica cluster.Replica, whole bool, reason string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onWhole = append(c.onWhole, fn)
}

// OnLoad registers fn to be told each load report. Register before Run; fn must not block.
func (c *Checker) OnLoad(fn func(replica cluster.Replica, load engine.Load)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onLoad = append(c.onLoad, fn)
}

// SetGrouping takes the committed table of one zone.
func (c *Checker) SetGrouping(g cluster.Grouping) {
	c.mu.Lock()
	c.tables[g.Zone] = g.Replicas
	var parts [shardCount][]cluster.Replica
	for _, replicas := range c.tables {
		for _, r := range replicas {
			i := c.shardIndex(r.ID)
			parts[i] = append(parts[i], r)
		}
	}
	c.mu.Unlock()
	for i := range c.shards {
		c.with(&c.shards[i], func(t *Tracker, now time.Time) []Transition { return t.SetReplicas(parts[i], now) })
	}
}

// SetVMs takes the platform's VM list of all zones.
func (c *Checker) SetVMs(list cluster.VMList) {
	c.mu.Lock()
	for _, vm := range list.VMs {
		c.addrs[vm.ID] = vm.Addr
	}
	c.mu.Unlock()
	for i := range c.shards {
		c.with(&c.shards[i], func(t *Tracker, now time.Time) []Transition { return t.SetVMs(list, now) })
	}
}

// ConfirmServing notes that the replica's serving VM answered an ordinary
// request for the given generation, with a token generated at the given time.
func (c *Checker) ConfirmServing(id cluster.ReplicaID, generation int64, at time.Time) {
	c.with(c.shardOf(id), func(t *Tracker, now time.Time) []Transition { return t.ConfirmServing(id, generation, at, now) })
}

// Observe takes what another node saw of replicas.
func (c *Checker) Observe(observations []Observation) {
	for _, o := range observations {
		c.with(c.shardOf(o.Replica), func(t *Tracker, now time.Time) []Transition {
			return t.Observe([]Observation{o}, now)
		})
	}
}

// RequestPoll asks for a poll at once, because a request on the replica failed.
func (c *Checker) RequestPoll(id cluster.ReplicaID) {
	c.with(c.shardOf(id), func(t *Tracker, _ time.Time) []Transition { t.RequestPoll(id); return nil })
}

// Healthy reports whether the replica is whole at the given generation.
func (c *Checker) Healthy(id cluster.ReplicaID, generation int64) bool {
	s := c.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Healthy(id, generation, time.Now())
}

// Status returns all committed replicas ordered by id.
func (c *Checker) Status() []ReplicaStatus {
	var out []ReplicaStatus
	now := time.Now()
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		out = s.tracker.appendStatus(out, now)
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b ReplicaStatus) int {
		if a.Replica.ID < b.Replica.ID {
			return -1
		}
		return 1
	})
	return out
}

// Run polls and expires until ctx ends, and returns when all polls have ended.
func (c *Checker) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer c.polls.Wait()
	for {
		c.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Checker) round(ctx context.Context) {
	for i := range c.shards {
		s := &c.shards[i]
		c.with(s, func(t *Tracker, now time.Time) []Transition { return t.Expire(now) })
		s.mu.Lock()
		due := s.tracker.Due(c.opts.Responsible, time.Now())
		s.mu.Unlock()
		for _, r := range due {
			c.polls.Go(func() { c.poll(ctx, r) })
		}
	}
}

func (c *Checker) poll(ctx context.Context, r cluster.Replica) {
	c.slots <- struct{}{}
	defer func() { <-c.slots }()
	c.mu.Lock()
	addr := c.addrs[r.Serving]
	loadListeners := c.onLoad
	c.mu.Unlock()
	answer := PollResult{Replica: r.ID, Generation: r.Generation, Sent: time.Now()}
	pollsSent.Inc()
	answer.State, answer.Err = c.ask(ctx, r, addr)
	if answer.Err != nil {
		pollsFailed.Inc()
	}
	c.with(c.shardOf(r.ID), func(t *Tracker, now time.Time) []Transition { return t.HandlePollResult(answer, now) })
	if answer.Err == nil && answer.State.Assignment.Replica == r.ID {
		for _, fn := range loadListeners {
			fn(r, answer.State.Load)
		}
	}
}

func (c *Checker) ask(ctx context.Context, r cluster.Replica, addr string) (engine.State, error) {
	if addr == "" {
		return engine.State{}, &engine.CallError{Kind: engine.CallNotSent, Op: "state", Addr: string(r.Serving), Err: errNoAddr}
	}
	state, err := c.opts.Engines.BriefState(ctx, addr)
	if err != nil || state.Summary == nil || state.Summary.Hash == engine.ReplicaHash(r) {
		return state, err
	}
	// Somebody disagrees: the whole state says who.
	return c.opts.Engines.State(ctx, addr)
}

// with runs fn on a shard's Tracker and tells the transitions.
func (c *Checker) with(s *shard, fn func(t *Tracker, now time.Time) []Transition) {
	s.emit.Lock()
	defer s.emit.Unlock()
	s.mu.Lock()
	transitions := fn(s.tracker, time.Now())
	s.mu.Unlock()
	if len(transitions) == 0 {
		return
	}
	c.mu.Lock()
	listeners := c.onWhole
	c.mu.Unlock()
	for _, tr := range transitions {
		c.tell(tr, listeners)
	}
}

func (c *Checker) tell(tr Transition, listeners []func(cluster.Replica, bool, string)) {
	if tr.Healthy {
		turnedWhole.Inc()
	} else {
		turnedUnwhole.Inc()
	}
	for _, fn := range listeners {
		fn(tr.Replica, tr.Healthy, tr.Reason)
	}
}

func (c *Checker) shardIndex(id cluster.ReplicaID) int {
	return int(maphash.String(c.seed, string(id)) % shardCount)
}

func (c *Checker) shardOf(id cluster.ReplicaID) *shard { return &c.shards[c.shardIndex(id)] }
