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
	// tickInterval is the time between two checks for expired confirmations and due polls.
	tickInterval = 250 * time.Millisecond
	// maxParallelPolls limits the number of polls in flight.
	maxParallelPolls = 32
)

var (
	pollsSent       = metrics.NewCounter("fennel_health_polls_total")
	pollsFailed     = metrics.NewCounter("fennel_health_polls_failed_total")
	becameHealthy   = metrics.NewCounter("fennel_health_whole_total")
	becameUnhealthy = metrics.NewCounter("fennel_health_not_whole_total")
)

// Engines fetches a serving VM's state, in full or in brief. engine.Client implements it.
type Engines interface {
	State(ctx context.Context, addr string) (engine.State, error)
	BriefState(ctx context.Context, addr string) (engine.State, error)
}

// Options configures a Checker. Engines and Log are required.
type Options struct {
	Engines Engines
	Log     *slog.Logger
	Bounds  Bounds
	// Responsible reports whether this node polls the replica; the zone's nodes divide
	// the replicas among themselves. nil means all replicas.
	Responsible func(cluster.ReplicaID) bool
}

// Checker tracks the committed replicas and decides which of them are healthy.
type Checker struct {
	opts      Options
	seed      maphash.Seed
	shards    [shardCount]shard
	pollSlots chan struct{}
	polls     sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	addrs    map[cluster.VMID]string
	replicas map[cluster.ZoneID][]cluster.Replica
	onChange []func(cluster.Replica, bool, string)
	onLoad   []func(cluster.Replica, engine.Load)
}

// shard tracks a part of the replicas. notifyMu is held while transitions are computed
// and listeners are notified, so that listeners see them in order; mu guards the Tracker.
type shard struct {
	notifyMu sync.Mutex
	mu       sync.Mutex
	tracker  *Tracker
}

// New returns a Checker. Run starts the polls.
func New(opts Options) *Checker {
	if opts.Bounds == (Bounds{}) {
		opts.Bounds = DefaultBounds()
	}
	if opts.Responsible == nil {
		opts.Responsible = func(cluster.ReplicaID) bool { return true }
	}
	c := &Checker{
		opts: opts, seed: maphash.MakeSeed(), pollSlots: make(chan struct{}, maxParallelPolls),
		addrs: make(map[cluster.VMID]string), replicas: make(map[cluster.ZoneID][]cluster.Replica),
	}
	for i := range c.shards {
		c.shards[i].tracker = NewTracker(opts.Bounds)
	}
	return c
}

// OnChange registers fn to be called when a replica becomes healthy or unhealthy, in
// order for each replica. Register before Run; fn must not block.
func (c *Checker) OnChange(fn func(replica cluster.Replica, healthy bool, reason string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, fn)
}

// OnLoad registers fn to be called with each load report. Register before Run; fn must
// not block.
func (c *Checker) OnLoad(fn func(replica cluster.Replica, load engine.Load)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onLoad = append(c.onLoad, fn)
}

// SetGrouping sets the committed replicas of one zone.
func (c *Checker) SetGrouping(g cluster.Grouping) {
	c.mu.Lock()
	c.replicas[g.Zone] = g.Replicas
	var parts [shardCount][]cluster.Replica
	for _, replicas := range c.replicas {
		for _, r := range replicas {
			i := c.shardIndex(r.ID)
			parts[i] = append(parts[i], r)
		}
	}
	c.mu.Unlock()
	for i := range c.shards {
		c.update(&c.shards[i], func(t *Tracker, now time.Time) []Transition { return t.SetReplicas(parts[i], now) })
	}
}

// SetVMs sets the platform's VM list, which covers all zones.
func (c *Checker) SetVMs(list cluster.VMList) {
	c.mu.Lock()
	for _, vm := range list.VMs {
		c.addrs[vm.ID] = vm.Addr
	}
	c.mu.Unlock()
	for i := range c.shards {
		c.update(&c.shards[i], func(t *Tracker, now time.Time) []Transition { return t.SetVMs(list, now) })
	}
}

// ConfirmServing records that the replica's serving VM answered an ordinary request in
// the given generation, with a token generated at the given time.
func (c *Checker) ConfirmServing(id cluster.ReplicaID, generation int64, at time.Time) {
	c.update(c.shardOf(id), func(t *Tracker, now time.Time) []Transition { return t.ConfirmServing(id, generation, at, now) })
}

// Observe records another node's reports about replicas.
func (c *Checker) Observe(observations []Observation) {
	for _, o := range observations {
		c.update(c.shardOf(o.Replica), func(t *Tracker, now time.Time) []Transition {
			return t.Observe([]Observation{o}, now)
		})
	}
}

// RequestPoll requests a poll of the replica at the next tick, because a request on it
// failed.
func (c *Checker) RequestPoll(id cluster.ReplicaID) {
	c.update(c.shardOf(id), func(t *Tracker, _ time.Time) []Transition { t.RequestPoll(id); return nil })
}

// Healthy reports whether the replica is healthy in the given generation.
func (c *Checker) Healthy(id cluster.ReplicaID, generation int64) bool {
	s := c.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Healthy(id, generation, time.Now())
}

// Status returns the status of all committed replicas, ordered by id.
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

// Run polls replicas and expires confirmations until ctx is done. It returns when all
// polls have ended.
func (c *Checker) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.polls.Wait()
	for {
		c.runOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Checker) runOnce(ctx context.Context) {
	for i := range c.shards {
		s := &c.shards[i]
		c.update(s, func(t *Tracker, now time.Time) []Transition { return t.Expire(now) })
		s.mu.Lock()
		due := s.tracker.Due(c.opts.Responsible, time.Now())
		s.mu.Unlock()
		for _, r := range due {
			c.polls.Go(func() { c.poll(ctx, r) })
		}
	}
}

func (c *Checker) poll(ctx context.Context, r cluster.Replica) {
	c.pollSlots <- struct{}{}
	defer func() { <-c.pollSlots }()
	c.mu.Lock()
	addr := c.addrs[r.Serving]
	loadListeners := c.onLoad
	c.mu.Unlock()
	result := PollResult{Replica: r.ID, Generation: r.Generation, Sent: time.Now()}
	pollsSent.Inc()
	result.State, result.Err = c.fetchState(ctx, r, addr)
	if result.Err != nil {
		pollsFailed.Inc()
	}
	c.update(c.shardOf(r.ID), func(t *Tracker, now time.Time) []Transition { return t.HandlePollResult(result, now) })
	if result.Err == nil && result.State.Assignment.Replica == r.ID {
		for _, fn := range loadListeners {
			fn(r, result.State.Load)
		}
	}
}

func (c *Checker) fetchState(ctx context.Context, r cluster.Replica, addr string) (engine.State, error) {
	if addr == "" {
		return engine.State{}, &engine.CallError{Kind: engine.CallNotSent, Op: "state", Addr: string(r.Serving), Err: errNoAddr}
	}
	state, err := c.opts.Engines.BriefState(ctx, addr)
	if err != nil || state.Summary == nil || state.Summary.Hash == engine.ReplicaHash(r) {
		return state, err
	}
	// A member is missing or in another generation: the full state shows which.
	return c.opts.Engines.State(ctx, addr)
}

// update runs fn on a shard's Tracker and notifies the listeners of its transitions.
func (c *Checker) update(s *shard, fn func(t *Tracker, now time.Time) []Transition) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	transitions := fn(s.tracker, time.Now())
	s.mu.Unlock()
	if len(transitions) == 0 {
		return
	}
	c.mu.Lock()
	listeners := c.onChange
	c.mu.Unlock()
	for _, tr := range transitions {
		c.notify(tr, listeners)
	}
}

func (c *Checker) notify(tr Transition, listeners []func(cluster.Replica, bool, string)) {
	if tr.Healthy {
		becameHealthy.Inc()
	} else {
		becameUnhealthy.Inc()
	}
	for _, fn := range listeners {
		fn(tr.Replica, tr.Healthy, tr.Reason)
	}
}

func (c *Checker) shardIndex(id cluster.ReplicaID) int {
	return int(maphash.String(c.seed, string(id)) % shardCount)
}

func (c *Checker) shardOf(id cluster.ReplicaID) *shard { return &c.shards[c.shardIndex(id)] }
