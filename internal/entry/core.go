package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/formation"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Platform is what a node needs of the platform it runs on.
type Platform struct {
	Store store.Store
	// PaceWatch has the store's watch answer at least as often as wait says, also
	// while nothing changes, and leave a pause after changes; may be nil.
	PaceWatch func(pace func() (wait, pause time.Duration))
	Orders    formation.Orders
	Backend   func(pool *conns.Pool) relay.Backend
	// Front returns the callers' handler.
	Front func(f Front) http.Handler
	// ServersPrefix and Servers say where backend servers are listed and how a
	// listing is read.
	ServersPrefix string
	Servers       func(entries map[string]store.KV, revision int64) fleet.List
	// ConfigKey and Config are the same for the operator's configuration.
	ConfigKey string
	Config    func(store.KV) (*rules.Set, error)
	// ReadyPath is where the balancer asks.
	ReadyPath string
}

// Front is what the callers' handler is made of.
type Front struct {
	Rules   func() (set *rules.Set, fresh bool)
	Serve   func(ctx context.Context, c *call.Call, sink call.Sink)
	Leaving func() bool
	Log     *slog.Logger
}

// Core is a node without its sockets: all that it knows, decides and does for callers
// who reach it by Serve. A Node puts listeners around it.
type Core struct {
	set      *settings.Settings
	platform Platform
	log      *slog.Logger

	mirror *fleet.Mirror
	feed   *feed.Follower
	rules  atomic.Pointer[rules.Set]
	list   atomic.Pointer[fleet.List]
	held   atomic.Bool
	asked  atomic.Bool
	// onRules is told of each set of rules that comes into force.
	onRules func(*rules.Set)
	// announce tells the other nodes at once; may be nil.
	announce func(membership.Section)

	// deriving serialises what follows from changes of the list and the rules.
	deriving sync.Mutex
	serving  map[cluster.ReplicaID]bool
	changes  servingChanges

	table   *routing.Table
	pool    *conns.Pool
	relay   *relay.Relay
	control *formation.Controller
	outages *outages
}

// balance compares all replicas of a model that a deployment of a few dozen VMs
// has. Zones are a millisecond apart, so a replica of another zone is taken when it
// is emptier by a tenth of its slots.
var balance = routing.Weighted{SampleLocal: 8, SampleOther: 8, ZonePenalty: 0.1}

// Decisions are policies in place of those that a node runs; a nil one replaces none.
type Decisions struct {
	Route routing.Policy
	Place placement.Policy
}

// CoreOptions are what a Core is given beside its settings and its platform.
type CoreOptions struct {
	// OnRules is told of each set of rules that comes into force; may be nil.
	OnRules func(*rules.Set)
	// OnDatagramKey is told of the key for datagrams in the store, with no entry while
	// there is none; may be nil.
	OnDatagramKey func(entries map[string]store.KV)
	// Announce tells all other nodes at once; may be nil.
	Announce  func(membership.Section)
	Decisions Decisions
	Log       *slog.Logger
}

// NewCore puts a node's parts together. Nothing runs before Run.
func NewCore(set *settings.Settings, p Platform, opts CoreOptions) *Core {
	log := opts.Log
	if opts.Decisions.Route == nil {
		opts.Decisions.Route = balance
	}
	if opts.Decisions.Place == nil {
		opts.Decisions.Place = placement.Mix{}
	}
	n := &Core{onRules: opts.OnRules, announce: opts.Announce, set: set, platform: p, log: log, pool: conns.NewPool(), serving: make(map[cluster.ReplicaID]bool)}
	n.outages = newOutages(set.Node, cluster.ZoneID(set.Region), time.Now())
	n.table = routing.NewTable(routing.Options{Zone: set.Zone, Seed: uint64(time.Now().UnixNano()), Policy: opts.Decisions.Route, PeerExpiry: loadReportLife})
	n.relay = relay.New(relay.Options{
		Router: n.table, Backend: p.Backend(n.pool), Peer: n.peer, Log: log,
		OnStall: n.stalled,
		Budget:  relay.NewBudget(relay.BudgetOptions{Ratio: set.Retries.Ratio, Slack: set.Retries.Slack, Window: set.Retries.Window, Nodes: set.Retries.Nodes}),
	})
	scope := cluster.ZoneID(set.Region)
	leaseKey, datagramKey := store.PlacementLeaseKey(scope), store.DatagramKey(scope)
	n.mirror = fleet.NewMirror(p.Store, n.follower(p.ConfigKey, p.ServersPrefix, leaseKey, datagramKey), log,
		fleet.View{Prefix: p.ConfigKey, OnChange: n.configChanged},
		fleet.View{Prefix: p.ServersPrefix, OnChange: n.serversChanged},
		fleet.View{Prefix: leaseKey, OnChange: func(entries map[string]store.KV, _ int64) { n.held.Store(len(entries) > 0) }},
		fleet.View{Prefix: datagramKey, OnChange: func(entries map[string]store.KV, _ int64) {
			if opts.OnDatagramKey != nil {
				opts.OnDatagramKey(entries)
			}
		}},
	)
	if n.feed == nil {
		n.outages.keep(p.Store, set.Node, log)
	}
	if p.PaceWatch != nil {
		p.PaceWatch(n.watchPace)
	}
	n.control = formation.NewController(formation.Options{
		Scope: scope, Node: set.Node, Store: p.Store, List: n.currentList, Rules: n.rules.Load,
		Refresh:   n.mirror.Refresh,
		LeaseHeld: func() bool { return n.held.Load() || !n.mirror.Loaded() },
		Standby:   n.feed != nil,
		FreeLoads: func() bool { return set.Process.FirstStart && !n.asked.Load() },
		OnWorking: n.replicaWorks,
		Orders:    p.Orders, Policy: opts.Decisions.Place, Log: log,
	})
	return n
}

// Run does the node's duties until ctx ends.
func (n *Core) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, run := range []func(context.Context){n.mirror.Run, n.control.Run, n.relay.Run, n.sweep, n.watchIdle, n.outages.run} {
		duties.Go(func() { run(ctx) })
	}
	duties.Wait()
}

// Close closes what Run and Serve have left open.
func (n *Core) Close() {
	if n.feed != nil {
		n.feed.Close()
	}
	n.pool.Close()
}

const (
	// quietWait is how long the store holds the watch of a node that feeds nobody.
	quietWait = 2 * time.Second
	// quietPause is how long such a node leaves changes to gather, unless it forms
	// replicas. When all feeds are lost, hundreds of nodes watch the store.
	quietPause = 400 * time.Millisecond
)

// watchPace is how the store is watched: at once for the nodes that this one feeds and
// for replicas that it forms.
func (n *Core) watchPace() (wait, pause time.Duration) {
	switch {
	case n.mirror.RecentlyRequested():
		return feed.WatchWait, 0
	case n.control.Holding() || n.feed == nil:
		return quietWait, 0
	}
	return quietWait, quietPause
}

// follower is the feed that this node follows in place of the store; nil for a node
// that feeds others, or knows nobody who does.
func (n *Core) follower(prefixes ...string) fleet.Feed {
	if len(n.set.Feeds.Seeds) == 0 || slices.Contains(n.set.Feeds.Seeds, n.set.Feeds.Listen) {
		return nil
	}
	n.feed = feed.NewFollower(n.set.Feeds.Seeds, prefixes, n.log)
	return n.feed
}

// Serve takes a call to its end; it is the relay, and also notices the first request of all.
func (n *Core) Serve(ctx context.Context, c *call.Call, sink call.Sink) {
	n.asked.Store(true)
	c.Work = n.workOf(c)
	n.relay.Serve(ctx, c, sink)
}

// workOf is the part of a replica's time that the call takes, by the published figures
// of its model's engines; zero for a plain service.
func (n *Core) workOf(c *call.Call) time.Duration {
	set := n.rules.Load()
	if set == nil || c.Model == "" {
		return 0
	}
	g := placement.FindGroup(set.Groups, cluster.GroupName(c.Model))
	if g == nil || !g.Engine.Known() {
		return 0
	}
	return g.Engine.Work(c.PromptTokens, c.ExpectedAnswer())
}

// freshFor is how long the configuration counts as the newest after the store
// last answered: a watch answers every 2 s when nothing changes.
const freshFor = 3500 * time.Millisecond

func (n *Core) currentRules() (*rules.Set, bool) {
	return n.rules.Load(), time.Since(n.mirror.LastContact()) < freshFor
}

func (n *Core) currentList() (fleet.List, bool) {
	list := n.list.Load()
	if list == nil {
		return fleet.List{}, false
	}
	current := *list
	current.Revision = max(current.Revision, n.mirror.Revision())
	return current, true
}

// peer finds the process that serves the chosen replica.
func (n *Core) peer(choice routing.Choice) (conns.Peer, bool) {
	list, _ := n.currentList()
	s := list.Find(choice.Replica.Serving)
	if s == nil {
		return conns.Peer{}, false
	}
	return conns.Peer{Server: s.ID, Addr: s.Addr, StartedUnixMs: s.StartedAt.UnixMilli()}, true
}

// configChanged takes a newer configuration over. It never goes back: a read that
// was overtaken may bring an older one.
func (n *Core) configChanged(entries map[string]store.KV, revision int64) {
	kv, there := entries[n.platform.ConfigKey]
	if !there {
		return
	}
	set, err := n.platform.Config(kv)
	if err != nil {
		n.log.Error("configuration refused", "revision", revision, "err", err.Error())
		return
	}
	if old := n.rules.Load(); old != nil && set.Revision <= old.Revision {
		return
	}
	n.rules.Store(set)
	n.log.Info("configuration in force", "version", set.Revision, "revision", revision, "routes", len(set.Routes), "teams", len(set.Teams))
	if n.onRules != nil {
		n.onRules(set)
	}
	n.refresh()
}

func (n *Core) serversChanged(entries map[string]store.KV, revision int64) {
	list := n.platform.Servers(entries, revision)
	list.ChangedRevision = revision
	before := n.list.Load()
	same := before != nil && before.SameServers(list)
	if same {
		list.ChangedRevision = before.ChangedRevision
	}
	n.list.Store(&list)
	if !same { // else a server wrote its entry again: nothing follows from it
		n.refresh()
	}
}

// sweepEvery is how often idle connections and unlogged changes are looked through.
const sweepEvery = time.Second

// sweep closes connections that nobody may use any more, and logs what changed.
func (n *Core) sweep(ctx context.Context) {
	clock.Every(ctx, sweepEvery, func(now time.Time) {
		n.logChanges()
		list, _ := n.currentList()
		n.pool.Sweep(func(p conns.Peer) bool {
			s := list.Find(p.Server)
			return s != nil && s.Addr == p.Addr && s.StartedAt.UnixMilli() == p.StartedUnixMs
		}, now)
	})
}
