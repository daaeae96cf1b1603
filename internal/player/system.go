package player

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/entry"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Simulation is a run of a scenario.
type Simulation struct {
	scenario *Scenario
	world    *world
	callers  *callers
	rng      *rand.Rand
	set      *rules.Set
	opts     Options

	mu        sync.Mutex
	nodes     []*node
	nodesDone sync.WaitGroup
	// oneNode is set while all first attempts arrive at one node.
	oneNode atomic.Bool
	// handOvers counts by call how often it was offered to other nodes.
	handOvers map[string]int
}

// Options configures a simulation.
type Options struct {
	Seed uint64
	// Policies override the nodes' default policies; the zero value overrides none.
	Policies entry.Policies
	// Log receives the nodes' log lines; it may be nil.
	Log *slog.Logger
	// Network has the nodes run their own membership and exchange their reports by it. If it is nil,
	// they know each other, and report to one other after the other.
	Network Network
}

// node is one entry node.
type node struct {
	sys  *Simulation
	id   cluster.NodeID
	zone cluster.ZoneID

	mu     sync.Mutex
	core   *entry.Core
	cancel context.CancelFunc
	// members is unused without a network.
	members members
}

const region = "region"

// Simulate runs a scenario and returns the results.
func Simulate(s *Scenario, opts Options) *Result {
	rng := rand.New(rand.NewPCG(opts.Seed, 1))
	sys := &Simulation{scenario: s, world: newWorld(s, rand.New(rand.NewPCG(opts.Seed, 2))), rng: rng, opts: opts}
	sys.callers = &callers{sys: sys, rng: rand.New(rand.NewPCG(opts.Seed, 3)), tokens: make(map[string]int), routes: make(map[string]*rules.Route)}
	sys.set = sys.rules()
	sys.writeConfig()
	for _, z := range s.Zones {
		for i := range z.Nodes {
			n := &node{sys: sys, id: cluster.NodeID(fmt.Sprintf("%s-%d", z.Name, i)), zone: z.Name}
			sys.nodes = append(sys.nodes, n)
		}
	}
	if opts.Network != nil {
		sys.connectMembers()
	}
	for _, n := range sys.nodes {
		n.start(true)
	}
	time.Sleep(s.Warmup)
	sys.world.startServing()
	ctx, stopSampling := context.WithCancel(context.Background())
	res := &Result{Scenario: s, Start: time.Now()}
	var background sync.WaitGroup
	background.Go(func() { sys.sampleVMs(ctx, res) })
	if opts.Network == nil {
		background.Go(func() { sys.gossip(ctx) })
	}
	sys.scheduleFaults()
	sys.callers.run()
	stopSampling()
	background.Wait()
	for _, n := range sys.nodes {
		n.kill()
	}
	sys.nodesDone.Wait()
	sys.world.close()
	res.collect(sys)
	return res
}

// rules returns the operator's configuration for the scenario.
func (sys *Simulation) rules() *rules.Set {
	s := sys.scenario
	set := rules.Set{Revision: 1, Weights: rules.WeightStore{LoadsPerSecond: s.Engine.LoadsPerSecond, LoadsAtOnce: s.Engine.LoadsAtOnce}}
	set.Services = []rules.ServiceDecl{{Name: engineService, ColdRate: s.Engine.ColdRate}}
	for _, m := range s.Models {
		set.Groups = append(set.Groups, rules.Group{Name: cluster.GroupName(m.Name), Model: m.Name, VMs: m.VMs, SameDomain: true, Weigh: rules.WeighDowntime,
			Servers: engineService, Demand: m.Share, Slots: s.Engine.Slots, ColdLoad: m.ColdLoad, WarmLoad: m.WarmLoad, Engine: s.figures(m)})
	}
	for _, k := range s.Kinds {
		set.Routes = append(set.Routes, rules.Route{Path: "/" + k.Name + "/", Model: "*", Team: "*", Prefer: rules.PreferLocal, Policy: &rules.RoutePolicy{
			Name: k.Name, Host: "played", Kind: rules.CallStream, Resumable: true, Timeout: k.Deadline, Target: k.Target, TargetGap: k.TargetGap,
			MaxAttempts: 2, Priority: k.Priority, Public: true, Split: []rules.WeightedService{{Service: engineService, Weight: 1}}}})
	}
	out := rules.Assemble(set)
	for i := range out.Routes {
		sys.callers.routes[out.Routes[i].Policy.Name] = &out.Routes[i]
	}
	return out
}

// writeConfig stores the key at which nodes look for their configuration.
func (sys *Simulation) writeConfig() {
	_, err := sys.world.store.Txn(context.Background(), store.Txn{Then: []store.Op{store.Put(configKey, []byte("1"), 0)}})
	if err != nil {
		panic(err) // a write to a new in-memory store cannot fail
	}
}

// start runs the node's core until kill.
func (n *node) start(first bool) {
	sys := n.sys
	log := slog.New(slog.DiscardHandler)
	if sys.opts.Log != nil {
		log = sys.opts.Log.With("self", n.id)
	}
	set := &settings.Settings{Node: n.id, Zone: n.zone, Region: region,
		Retries: settings.Retries{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, Nodes: settings.DefaultRetryNodes}}
	set.Process.FirstStart = first
	opts := entry.CoreOptions{Policies: sys.opts.Policies, Rank: n.rank, Standing: func(key string) (int, int) { return n.rank(key), len(sys.nodes) }, Nodes: n.others, Log: log, SinceBoot: sys.world.uptime, Broadcast: func(section membership.Section) { sys.broadcast(n, section) }}
	if sys.opts.Network != nil {
		n.useMembership(&opts)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.cancel = cancel
	n.core = entry.NewCore(set, entry.Platform{
		Store: &partitionedStore{Store: sys.world.store, partitioned: func() bool { return sys.world.isPartitioned(n.zone) }}, Orders: orders{sys.world, n.zone},
		Backend:       func(*conns.Pool) relay.Backend { return &backend{sys.world, n.id, n.zone, sys.callers.answerTokens} },
		NodeClient:    func(*conns.Pool, entry.SignHandOver) relay.NodeClient { return nodeClient{n} },
		ServersPrefix: serversPrefix, DecodeServer: decodeServer,
		ConfigKey: configKey, DecodeConfig: func(store.KV) (*rules.Set, error) { return sys.set, nil },
	}, opts)
	core := n.core
	if sys.opts.Network == nil {
		core.SetPeers(func() int { return len(sys.nodes) - 1 })
	}
	n.mu.Unlock()
	if sys.opts.Network != nil {
		sys.nodesDone.Go(func() { n.runMembership(ctx, core, sys.seeds()) })
	}
	sys.nodesDone.Go(func() {
		core.Run(ctx)
		core.Close()
	})
}

// memberRandom returns the source of a membership service's random choices.
func (sys *Simulation) memberRandom(n *node) *rand.Rand {
	return rand.New(rand.NewPCG(sys.opts.Seed, xxhash.Sum64String(string(n.id))))
}

// kill stops the node's core at once.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cancel != nil {
		n.cancel()
	}
	n.core, n.cancel = nil, nil
}

// serve passes a call to the node. A node that is down does not respond.
func (n *node) serve(ctx context.Context, c *call.Call, s *sink) {
	if core := n.currentCore(); core != nil {
		core.Serve(ctx, c, s)
	}
}

// pickNode returns the node to which the platform's load balancer sends a caller.
func (sys *Simulation) pickNode(rng *rand.Rand) *node {
	remaining := rng.Float64()
	if sys.oneNode.Load() {
		return sys.nodes[0]
	}
	for i, z := range sys.scenario.Zones {
		if remaining -= z.Share; remaining >= 0 && i < len(sys.scenario.Zones)-1 {
			continue
		}
		return sys.nodeInZone(z.Name, rng)
	}
	return sys.nodes[0]
}

// nodeInZone returns a random node of the zone.
func (sys *Simulation) nodeInZone(zone cluster.ZoneID, rng *rand.Rand) *node {
	var candidates []*node
	for _, n := range sys.nodes {
		if n.zone == zone {
			candidates = append(candidates, n)
		}
	}
	return candidates[rng.IntN(len(candidates))]
}

// retryNode returns the node that a caller retries at, a random one of the same zone.
func (sys *Simulation) retryNode(n *node, rng *rand.Rand) *node {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	return sys.nodeInZone(n.zone, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 7)))
}
