package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/formation"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/memory"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/reach"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// Platform holds what a node needs from the platform it runs on.
type Platform struct {
	Store store.Store
	// PaceWatch sets how the store is watched: wait is the long-poll timeout while
	// nothing changes, pause the delay after changes before the next poll. May be nil.
	PaceWatch func(pace func() (wait, pause time.Duration))
	Orders    formation.OrderClient
	Backend   func(pool *conns.Pool) relay.Backend
	// NodeClient hands calls over to other nodes; nil if the nodes do not do that. sign returns the
	// proof that this node hands a call over to the one at an address.
	NodeClient func(pool *conns.Pool, sign SignHandOver) relay.NodeClient
	// NewHandler returns the HTTP handler for callers.
	NewHandler func(f HandlerOptions) http.Handler
	// ServersPrefix is the key prefix of the backend servers' entries; DecodeServer
	// parses one of them.
	ServersPrefix string
	DecodeServer  fleet.Decoder
	// ConfigKey is the key of the operator's configuration; DecodeConfig parses it.
	ConfigKey    string
	DecodeConfig func(store.KV) (*rules.Set, error)
	// EvacuationsPrefix is the key prefix of the operator's evacuations, each followed by
	// the name of a zone; empty if the platform has none.
	EvacuationsPrefix string
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
}

// SignHandOver returns the proof that a node hands a call over, with the number of backend servers
// that may receive it, to the node at an address; empty if it has none.
type SignHandOver func(callID string, attempts int, to string) string

// HandlerOptions are the parts of a node that the handler for callers uses.
type HandlerOptions struct {
	// Rules returns the rules in force.
	Rules func() rules.InForce
	Serve func(ctx context.Context, c *call.Call, sink call.Sink)
	// IsHandOver reports whether a proof shows that another node has handed a call over.
	IsHandOver func(callID string, attempts int, proof string) bool
	// Memory accounts for what the calls hold.
	Memory *memory.Account
	// Uploads ends when bodies that are still arriving are refused, as the node is about to exit.
	Uploads context.Context
	Log     *slog.Logger
}

// Core is a node without its listeners: its state, its decisions and the serving of
// calls that are passed to Serve. A Node adds the listeners.
type Core struct {
	cfg      *settings.Settings
	platform Platform
	log      *slog.Logger

	mirror *fleet.Mirror
	// servers is used only while the mirror notifies its views.
	servers    *fleet.Tracker
	feed       *feed.Follower
	rules      atomic.Pointer[rules.Set]
	serverList atomic.Pointer[fleet.List]
	departures departures
	// confirmed is used only by sweepLoop.
	confirmed confirmation
	leaseHeld atomic.Bool
	// handover ends when other nodes are to take over this node's tasks for the region.
	handover    context.Context
	endHandover context.CancelFunc
	requestSeen atomic.Bool
	// onRules is called with each set of rules that comes into force.
	onRules func(*rules.Set)
	// broadcast sends a section to all other nodes at once; may be nil.
	broadcast func(membership.Section)

	// servingMu serialises updates that follow from changes of the server list, the evacuated
	// zones and the rules. It guards the fields down to reopenedAt.
	servingMu      sync.Mutex
	serving        map[cluster.ReplicaID]bool
	pendingChanges servingChanges
	evacuated      []cluster.ZoneID
	// reopenedAt is when the evacuation of a zone ended.
	reopenedAt map[cluster.ZoneID]time.Time

	// work measures the work that arrives by model; peerCount returns the number of other
	// live nodes and is nil while the node knows none.
	work      *workload.Meter
	peerCount atomic.Pointer[func() int]

	table *routing.Table
	// pool holds the connections to backend servers, nodePool those to other nodes.
	pool, nodePool *conns.Pool
	relay          *relay.Relay
	reach          *reach.Detector
	// paths holds what other nodes say of their paths to the servers, and pathLog limits the log of
	// what cannot be used of it.
	paths   *reach.Reports
	pathLog rate.Sometimes
	// suspects tracks the requests that crash servers; quarantines stores those found.
	suspects    *suspect.Tracker
	quarantines *quarantineWriter
	// standing is CoreOptions.Standing, reportSoon is ReportWork, which is not nil here.
	standing   func(key string) (rank, nodes int)
	reportSoon func()
	control    *formation.Controller
	outages    *outageRecorder
}

// defaultRouting samples enough replicas to compare all replicas of a model in a
// deployment of a few dozen VMs. Zones are a millisecond apart, so a replica of another
// zone is chosen when the share of its slots in use is lower by a tenth, or its predicted first
// piece earlier by ZonePenalty. A longer one makes requests late while other zones have room.
var defaultRouting = routing.Predictive{
	Otherwise:   routing.Weighted{SampleLocal: 8, SampleOther: 8, ZonePenalty: 0.1},
	ZonePenalty: 5 * time.Millisecond,
}

// Policies replace a node's default policies; a nil field keeps the default.
type Policies struct {
	Route routing.Policy
	Place placement.Policy
}

// CoreOptions configure a Core beyond its settings and its platform.
type CoreOptions struct {
	// OnRules is called with each set of rules that comes into force; may be nil.
	OnRules func(*rules.Set)
	// OnDatagramKey is called with the changes of the store's entry of the datagram key;
	// may be nil.
	OnDatagramKey func(fleet.Change)
	// Broadcast sends a section to all other nodes at once; may be nil.
	Broadcast func(membership.Section)
	// TriggerHeartbeat requests an early heartbeat to the other nodes; may be nil. It must
	// not block.
	TriggerHeartbeat func()
	// ReportWork requests that this node's work is reported to other nodes soon; may be nil. It must
	// not block.
	ReportWork func()
	// Standing returns this node's rank for a key among the nodes that may be running, and their number,
	// as membership defines it; nil if nothing is known of other nodes.
	Standing func(key string) (rank, nodes int)
	// Rank returns this node's rank among the live nodes for a key, as membership defines it;
	// nil means 0.
	Rank func(key string) int
	// Nodes returns the other live nodes, to which calls are handed over while this node reaches
	// no backend server; nil if nothing is known of other nodes.
	Nodes func() []relay.Node
	// SignHandOver signs the calls that are handed over; may be nil.
	SignHandOver SignHandOver
	// SinceBoot is the clock that measures the placement lease while the VM is suspended;
	// nil means clock.SinceBoot.
	SinceBoot func() time.Duration
	Policies  Policies
	Log       *slog.Logger
}

// NewCore builds a node's components. Nothing runs before Run.
func NewCore(cfg *settings.Settings, p Platform, opts CoreOptions) *Core {
	log := opts.Log
	if opts.ReportWork == nil {
		opts.ReportWork = func() {}
	}
	n := &Core{onRules: opts.OnRules, broadcast: opts.Broadcast, standing: opts.Standing, reportSoon: opts.ReportWork, cfg: cfg, platform: p, log: log, pool: conns.NewPool(), nodePool: conns.NewPoolWithTimeout(nodeDialTimeout), work: workload.NewMeter(), serving: make(map[cluster.ReplicaID]bool),
		reopenedAt: make(map[cluster.ZoneID]time.Time)}
	if opts.Policies.Route == nil {
		route := defaultRouting
		route.Leaving = &routing.Leaving{Delay: n.zoneDelay, Price: cfg.Zones.Price, Nodes: func() int { return n.livePeers() + 1 }}
		opts.Policies.Route = route
	}
	if opts.Policies.Place == nil {
		opts.Policies.Place = placement.Mix{}
	}
	n.handover, n.endHandover = context.WithCancel(context.Background())
	n.outages = newOutageRecorder(cfg.Node, cluster.ZoneID(cfg.Region), time.Now())
	n.paths = reach.NewReports(cfg.Node)
	n.pathLog.Interval = pathLogInterval
	n.table = routing.NewTable(routing.Options{Zone: cfg.Zone, Seed: uint64(time.Now().UnixNano()), Policy: opts.Policies.Route, PeerExpiry: loadReportTTL, Shares: nodeShares{n}, OnAssigned: opts.ReportWork})
	scope := cluster.ZoneID(cfg.Region)
	n.quarantines = newQuarantineWriter(p.Store, scope, cfg.Node, log)
	n.suspects = suspect.New(suspect.Options{Node: cfg.Node, TriggerHeartbeat: opts.TriggerHeartbeat, Peers: n.livePeers, Rank: opts.Rank,
		OnQuarantined: n.quarantines.add, Timing: suspect.Timing{QuarantineFor: quarantineTime, MaxTurnWait: maxTurnWait}, Log: log})
	relayOptions := relay.Options{
		Router: n.table, Backend: p.Backend(n.pool), Peer: n.findPeer, Log: log,
		Rules: n.rules.Load, Suspects: n.suspects, Departure: n.departure, OnLeaving: n.onLeaving, OnRateLimit: n.reportLimitChange,
		OnStall: n.onStall,
		Budget:  relay.NewBudget(relay.BudgetOptions{Ratio: cfg.Retries.Ratio, Slack: cfg.Retries.Slack, Window: cfg.Retries.Window, Nodes: cfg.Retries.Nodes}),
	}
	n.enableHandOver(&relayOptions, opts)
	n.relay = relay.New(relayOptions)
	leaseKey, datagramKey := store.PlacementLeaseKey(scope), store.DatagramKey(scope)
	n.servers = fleet.NewTracker(p.DecodeServer, log)
	views := []fleet.View{{Prefix: p.ConfigKey, OnChange: n.configChanged}}
	if p.EvacuationsPrefix != "" { // before the servers, so that none of an evacuated zone is used
		views = append(views, fleet.View{Prefix: p.EvacuationsPrefix, OnChange: n.evacuationsChanged})
	}
	views = append(views,
		fleet.View{Prefix: store.QuarantinesPrefix(scope), OnChange: n.quarantinesChanged},
		fleet.View{Prefix: p.ServersPrefix, OnChange: n.serversChanged, Renewed: true},
		fleet.View{Prefix: leaseKey, OnChange: func(c fleet.Change) {
			if len(c.Written)+len(c.Removed) > 0 {
				n.leaseHeld.Store(len(c.Written) > 0)
			}
		}},
		fleet.View{Prefix: datagramKey, OnChange: func(c fleet.Change) {
			if opts.OnDatagramKey != nil {
				opts.OnDatagramKey(c)
			}
		}},
	)
	n.mirror = fleet.NewMirror(p.Store, n.newFollower(views), log, views...)
	if n.feed == nil {
		n.outages.persist(p.Store, cfg.Node, log)
	}
	if p.PaceWatch != nil {
		p.PaceWatch(n.watchPacing)
	}
	n.control = formation.NewController(formation.Options{
		Scope: scope, Node: cfg.Node, Store: p.Store, List: n.currentList, Rules: n.rules.Load,
		Refresh:             n.mirror.Refresh,
		StoreContact:        n.mirror.LastContact,
		LeaseHeld:           func() bool { return n.leaseHeld.Load() || !n.mirror.Loaded() },
		Standby:             n.feed != nil,
		ServersUnreachable:  n.reach.Unreachable,
		UnmeteredLoads:      func() bool { return cfg.Process.FirstStart && !n.requestSeen.Load() },
		OnMembersResponsive: n.onReplicaWorking,
		Client:              p.Orders, SinceBoot: opts.SinceBoot, Work: n.totalWork, Policy: opts.Policies.Place, Log: log,
	})
	return n
}

// Run runs the node's background tasks until ctx ends.
func (n *Core) Run(ctx context.Context) {
	regionCtx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(n.handover, stop)()
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){n.control.Run, n.strandedLoop, n.outages.run} {
		tasks.Go(func() { run(regionCtx) })
	}
	for _, run := range []func(context.Context){n.mirror.Run, n.relay.Run, n.sweepLoop, n.quarantines.run, n.reach.Run} {
		tasks.Go(func() { run(ctx) })
	}
	tasks.Wait()
}

// HandOver ends the tasks that another node can take over: the placement lease and the
// record of outages. Calls are served as before.
func (n *Core) HandOver() { n.endHandover() }

// Close closes the connections that Run and Serve left open.
func (n *Core) Close() {
	if n.feed != nil {
		n.feed.Close()
	}
	n.pool.Close()
	n.nodePool.Close()
}

const (
	// idleWatchTimeout is the long-poll timeout of the store watch on a node without
	// followers.
	idleWatchTimeout = time.Second
	// idleWatchPause is how long such a node waits after changes, to batch them, unless
	// it forms replicas. When all feeds are lost, hundreds of nodes watch the store.
	idleWatchPause = 400 * time.Millisecond
)

// watchPacing returns the long-poll timeout of the store watch and the pause after
// changes. There is no pause while other nodes follow this one, or while it forms
// replicas.
func (n *Core) watchPacing() (wait, pause time.Duration) {
	switch {
	case n.mirror.RecentlyRequested():
		return feed.WatchTimeout, 0
	case n.control.HoldsLease() || n.feed == nil:
		return idleWatchTimeout, 0
	}
	return idleWatchTimeout, idleWatchPause
}

// newFollower returns the feed that this node follows in place of the store. It returns
// nil on a node that feeds others and where the settings name no feeds.
func (n *Core) newFollower(views []fleet.View) fleet.Feed {
	if len(n.cfg.Feeds.Seeds) == 0 || slices.Contains(n.cfg.Feeds.Seeds, n.cfg.Feeds.Listen) {
		return nil
	}
	prefixes := make([]string, len(views))
	for i, v := range views {
		prefixes[i] = v.Prefix
	}
	n.feed = feed.NewFollower(n.cfg.Feeds.Listen, n.cfg.Feeds.Seeds, prefixes, n.log)
	return n.feed
}

// Serve relays a call until it ends. It also records that the node has seen a request.
func (n *Core) Serve(ctx context.Context, c *call.Call, sink call.Sink) {
	n.requestSeen.Store(true)
	g := n.groupOfCall(c)
	c.EstimatedWork = estimateWork(c, g)
	if c.EstimatedWork > 0 && !c.LikelyRetry() && c.ResumeAfter == "" && !c.HandedOver {
		n.work.Record(g.Name, c.EstimatedWork, time.Now())
	}
	n.relay.Serve(ctx, c, sink)
}

// groupOfCall returns the group of the model that serves the call; nil for a plain service.
func (n *Core) groupOfCall(c *call.Call) *rules.Group {
	set := n.rules.Load()
	if set == nil || c.Model == "" {
		return nil
	}
	return placement.FindGroup(set.Groups, relay.TargetOf(set, c, "").Group)
}

// estimateWork returns how much of a replica's time the call takes, by the published
// figures of its model's engines. It returns zero for a plain service.
func estimateWork(c *call.Call, g *rules.Group) time.Duration {
	if g == nil || !g.Engine.IsSet() {
		return 0
	}
	return g.Engine.RequestCost(c.PromptTokens, c.ExpectedOutputTokens())
}

// maxConfigAge is how long the configuration counts as the newest after the store's last
// answer. It is shorter than the time in which a change must be in force, and longer than the
// time between two answers of a watch.
const maxConfigAge = 1800 * time.Millisecond

func (n *Core) currentRules() rules.InForce {
	age := time.Since(n.mirror.LastContact())
	return rules.InForce{Set: n.rules.Load(), Age: age, Fresh: age < maxConfigAge}
}

func (n *Core) currentList() (fleet.List, bool) {
	list := n.serverList.Load()
	if list == nil {
		return fleet.List{}, false
	}
	current := *list
	current.Revision = max(current.Revision, n.mirror.Revision())
	return current, true
}

// findPeer returns the process that serves the chosen replica, and false when its server
// is not listed.
func (n *Core) findPeer(choice routing.Choice) (conns.Peer, bool) {
	list, _ := n.currentList()
	s := list.Find(choice.Replica.Serving)
	if s == nil {
		return conns.Peer{}, false
	}
	return peerOf(s), true
}

// configChanged adopts a newer configuration. It ignores an older one, which a read that
// was overtaken by a later one can return.
func (n *Core) configChanged(c fleet.Change) {
	at := slices.IndexFunc(c.Written, func(kv store.KV) bool { return kv.Key == n.platform.ConfigKey })
	if at < 0 {
		return
	}
	set, err := n.platform.DecodeConfig(c.Written[at])
	if err != nil {
		n.log.Error("configuration refused", "revision", c.Revision, "err", err.Error())
		return
	}
	if old := n.rules.Load(); old != nil && set.Revision <= old.Revision {
		return
	}
	n.rules.Store(set)
	n.log.Info("configuration in force", "version", set.Revision, "revision", c.Revision, "routes", len(set.Routes), "teams", len(set.Teams))
	if n.onRules != nil {
		n.onRules(set)
	}
	n.updateRoutes()
}

func (n *Core) serversChanged(c fleet.Change) {
	delta := n.servers.Apply(c)
	n.departures.update(delta, n.serverList.Load(), n.servers.List(), time.Now())
	n.publishList(c.Revision, !delta.Empty())
	if !delta.Empty() {
		n.updateChangedRoutes(delta)
	}
}

// publishList publishes the list of servers and the evacuated zones as of the revision.
func (n *Core) publishList(revision int64, changed bool) {
	list := n.servers.List()
	list.Revision, list.Evacuated = revision, n.currentEvacuated()
	previous := n.serverList.Load()
	switch {
	case previous == nil:
		list.Version = 1
	case changed:
		list.Version = previous.Version + 1
	default:
		list.Version = previous.Version
	}
	n.serverList.Store(&list)
}

// sweepInterval is how often stale connections are closed and pending changes logged.
const sweepInterval = time.Second

// sweepLoop closes connections to processes that are no longer listed, logs pending changes of the
// serving replicas, and corrects servers that mistakenly said that they leave.
func (n *Core) sweepLoop(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func(now time.Time) {
		n.flushServingChanges()
		n.withdrawLeaving(now)
		list, _ := n.currentList()
		n.pool.Sweep(func(p conns.Peer) bool {
			s := list.Find(p.Server)
			return s != nil && peerOf(s) == p
		}, now)
		n.nodePool.Sweep(func(conns.Peer) bool { return true }, now)
	})
}
