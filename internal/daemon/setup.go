package daemon

import (
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/admission"
	"github.com/fennelcourse/fennelcourse/internal/claims"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/gateway"
	"github.com/fennelcourse/fennelcourse/internal/grouping"
	"github.com/fennelcourse/fennelcourse/internal/health"
	"github.com/fennelcourse/fennelcourse/internal/httpserver"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/openai"
	"github.com/fennelcourse/fennelcourse/internal/peer"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/reach"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/rulestore"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdgw"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
	"github.com/fennelcourse/fennelcourse/internal/vmlist"
	"github.com/fennelcourse/fennelcourse/internal/wire"
)

const (
	// storeWatchersPerZone is how many nodes of a zone watch the store: two, so that the
	// death of one leaves no gap. The store counts each watch.
	storeWatchersPerZone = 2
	// placementCandidates is how many nodes of a zone try to acquire the placement lease.
	placementCandidates = 2
	// loadBurst is how many VMs may start to load weights at once.
	loadBurst         = 8
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

func (n *Node) setupPlatform() error {
	p := n.cfg.Platform
	n.store = etcdgw.New(etcdgw.Options{Endpoints: p.Store, Timeout: p.Timeout})
	n.vms = vmlist.NewWatcher(vmlist.Options{Fetcher: n.newVMFetcher(), Zone: n.cfg.Zone,
		Interval: p.VMListEvery, OnChange: n.vmsChanged, Log: n.log})
	return nil
}

func (n *Node) setupPeers() error {
	keys, err := datagramKeys(n.cfg)
	if err != nil {
		return err
	}
	ring, err := wire.NewKeyring(keys...)
	if err != nil {
		return err
	}
	n.keyring = ring
	if n.transport, err = wire.Listen(wire.Options{Addr: n.cfg.Listen.Datagrams, Keys: ring, System: n.cfg.Peers.System, Log: n.log}); err != nil {
		return err
	}
	if n.controlSocket, err = net.Listen("tcp", n.cfg.Listen.Control); err != nil {
		return err
	}
	if !n.cfg.TLS.Off {
		t := n.cfg.TLS
		if n.tls, err = wire.NewTLSConfig(wire.TLSFiles{Cert: t.Cert, Key: t.Key, CA: t.CA}, n.log); err != nil {
			return err
		}
	}
	if n.peers, err = peer.NewClient(peer.ClientOptions{TLS: n.tls, Plaintext: n.cfg.TLS.Off}); err != nil {
		return err
	}
	n.members = membership.New(membership.Options{
		Node: n.cfg.Node, Zone: n.cfg.Zone, Incarnation: n.incarnation, Seeds: n.cfg.Peers.Seeds, PeerAddr: n.ControlAddr(),
		Transport: n.transport, Interval: n.cfg.Peers.Heartbeat, CheckDuplicate: n.findDuplicateNode, Log: n.log,
	})
	n.rules = rulestore.New(rulestore.Options{Store: n.store, Peers: peerFetcher{n}, Log: n.log,
		IsWatcher: func() bool { return n.members.Responsible("watch-rules", storeWatchersPerZone) }})
	return nil
}

func datagramKeys(cfg *settings.Settings) ([]wire.Key, error) {
	keys := make([]wire.Key, len(cfg.Peers.Keys))
	for i, k := range cfg.Peers.Keys {
		secret, err := k.Bytes()
		if err != nil {
			return nil, err
		}
		keys[i] = wire.Key{ID: k.ID, Secret: secret}
	}
	return keys, nil
}

func (n *Node) setupReplicas() error {
	zone := n.cfg.Zone
	n.engines = engine.NewClient(n.cfg.Platform.Timeout)
	n.prober = engine.NewProber(gateway.DefaultProbeTimeout)
	n.grouping = grouping.NewTable(grouping.TableOptions{Zone: zone, Store: n.store, Log: n.log, Peers: peerFetcher{n},
		ShouldWatch: func() bool { return n.members.Responsible("watch-grouping", storeWatchersPerZone) }})
	for _, neighbor := range n.cfg.Control.NeighborZones {
		n.neighborGroupings = append(n.neighborGroupings, grouping.NewTable(grouping.TableOptions{Zone: neighbor, Store: n.store, Log: n.log,
			Peers: peerFetcher{n}, ShouldWatch: func() bool { return false }}))
	}
	n.health = health.New(health.Options{Engines: n.engines, Log: n.log, Bounds: health.BoundsFor(n.cfg.Control.ConfirmWithin),
		Responsible: func(id cluster.ReplicaID) bool { return n.members.Responsible("poll/"+string(id), 1) }})
	n.controller = grouping.NewController(grouping.Options{
		Zone: zone, Node: n.cfg.Node, Store: n.store, VMs: n.vms, Rules: n.rules, Engines: n.engines, Policy: placement.Weighted{},
		Log: n.log, Health: n.health, LeaseTTL: n.cfg.Control.PlacementLease,
		Candidate:      func() bool { return n.members.Responsible("place", placementCandidates) },
		LoadsPerSecond: n.cfg.Control.LoadsPerMinute / time.Minute.Seconds(), LoadBurst: loadBurst,
	})
	n.outages = newOutageObserver(n)
	n.routing = routing.NewTable(routing.Options{Zone: zone, Seed: n.incarnation})
	return nil
}

func (n *Node) setupRequests() error {
	req := n.cfg.Requests
	n.admission = admission.New(admission.Options{Self: admission.Node{ID: n.cfg.Node, Zone: n.cfg.Zone}, LimitOf: n.limitOf, MaxWait: req.Deadline,
		SharesCapacity: n.sharesReplicasWith})
	n.claims = claims.New(claims.Options{Store: n.store, Node: n.cfg.Node, Incarnation: n.incarnation, Retention: req.ClaimRetention, Log: n.log})
	n.suspects = suspect.New(suspect.Options{Node: n.cfg.Node, Log: n.log, TriggerHeartbeat: n.members.TriggerHeartbeat, Peers: n.livePeerCount, Rank: n.members.Rank})
	n.pools = engine.NewPools(engine.PoolOptions{})
	n.gateway = gateway.New(gateway.Options{
		Node: n.cfg.Node, Protocol: openai.Protocol{}, Rules: n.rules, Router: confirmingRouter{n.routing, n.health}, Services: n.vms, Admitter: n.admission, Claimer: gateway.StoreClaimer{Manager: n.claims},
		Quarantine: n.suspects, Pools: n.pools, Streamer: engine.NewStreamer(n.pools, 0), Prober: n.prober, Log: n.log,
		OnReplicaFailed: func(r cluster.Replica, _ string) { n.health.RequestPoll(r.ID) },
		Reachable:       reach.NewDetector(reach.Options{Servers: n.listedEngines, Accepts: acceptsConnection, Log: n.log}).Probe,
		NewRequestID:    newRequestID, Uploads: n.uploads,
		MaxBody: req.MaxBody, FirstTokenTimeout: req.Deadline, CallTimeout: req.CallTimeout,
	})
	return nil
}

// sharesReplicasWith reports whether this node and the zone's nodes send to the same
// replicas.
func (n *Node) sharesReplicasWith(zone cluster.ZoneID) bool {
	return zone == n.cfg.Zone || slices.Contains(n.cfg.Control.NeighborZones, zone)
}

func (n *Node) limitOf(team cluster.TeamID) rules.Limit {
	if set := n.rules.Current(); set != nil {
		return set.LimitOf(team)
	}
	return rules.Limit{Team: team, Share: rules.DefaultShare}
}

func (n *Node) setupListeners() error {
	socket, err := net.Listen("tcp", n.cfg.Listen.Callers)
	if err != nil {
		return err
	}
	n.callers = httpserver.New(socket, httpserver.Options{Name: "callers", Handler: n.callersHandler(), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, Protocols: allProtocols(), Log: n.log, ErrorLevel: slog.LevelWarn})
	var tlsConfig *tls.Config
	if n.tls != nil {
		tlsConfig = n.tls.Server(true)
	}
	n.control = httpserver.New(n.controlSocket, httpserver.Options{Name: "control", Handler: n.controlHandler(), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, Protocols: allProtocols(), TLSConfig: tlsConfig, Log: n.log, ErrorLevel: slog.LevelWarn})
	return nil
}

// allProtocols returns HTTP/1 and HTTP/2, with and without TLS.
func allProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
