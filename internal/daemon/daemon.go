// Package daemon puts one node together: the platform's services, the rules in
// force, membership, placement duty, health check, routing and the callers'
// gateway, with the threads and sockets around their decisions.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/admission"
	"github.com/fennelcourse/fennelcourse/internal/claims"
	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/gateway"
	"github.com/fennelcourse/fennelcourse/internal/grouping"
	"github.com/fennelcourse/fennelcourse/internal/health"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/peer"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rulestore"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
	"github.com/fennelcourse/fennelcourse/internal/vmlist"
	"github.com/fennelcourse/fennelcourse/internal/wire"
)

// Node is one running fenneld.
type Node struct {
	set     *settings.Settings
	log     *slog.Logger
	version string
	// incarnation tells this process from earlier ones of the same node.
	incarnation uint64

	store     store.Store
	vms       *vmlist.Watcher
	rules     *rulestore.Holder
	transport *wire.Transport
	members   *membership.Service
	keyring   *wire.Keyring
	tls       *wire.TLSConfig
	peers     *peer.Client
	// peerTurn spreads questions over the peers.
	peerTurn atomic.Uint64
	// table is the own zone's grouping, neighbors those of other zones in use.
	table      *grouping.Table
	neighbors  []*grouping.Table
	controller *grouping.Controller
	engines    *engine.Client
	prober     *engine.Client
	pools      *engine.Pools
	health     *health.Checker
	routing    *routing.Table
	admission  *admission.Controller
	claims     *claims.Manager
	suspects   *suspect.Tracker
	ledger     *ledgerDuty
	// capacityChanged holds a token while a replica's change waits for a review.
	capacityChanged chan struct{}
	gateway         *gateway.Gateway

	callers  listener
	control  listener
	leaving  atomic.Bool
	duties   sync.WaitGroup
	stopDuty context.CancelFunc
}

// listener is one HTTP server with its socket.
type listener struct {
	socket net.Listener
	server *http.Server
}

// serve takes connections until the server is closed. Serve alone would speak
// plain HTTP on a server that has TLS settings, without a word: anyone could
// then read and replace the rules.
func (l listener) serve() error {
	if l.server.TLSConfig != nil {
		return l.server.ServeTLS(l.socket, "", "") // the certificate comes from TLSConfig
	}
	return l.server.Serve(l.socket)
}

// New opens the node's sockets and puts its parts together. Nothing runs before Run.
func New(set *settings.Settings, version string, log *slog.Logger) (*Node, error) {
	n := &Node{set: set, log: log.With("self", set.Node), version: version, incarnation: uint64(time.Now().UnixNano()),
		capacityChanged: make(chan struct{}, 1)}
	steps := []struct {
		name string
		do   func() error
	}{
		{"platform", n.setupPlatform},
		{"peers", n.setupPeers},
		{"replicas", n.setupReplicas},
		{"requests", n.setupRequests},
		{"listeners", n.setupListeners},
	}
	for _, s := range steps {
		if err := s.do(); err != nil {
			n.closeSockets()
			return nil, errors.Wrap(err, s.name)
		}
	}
	n.connect()
	return n, nil
}

// Run serves until ctx ends, then stops as planned: unready first, accepting
// while the balancer notices, then every stream to its end. A second ctx, now,
// cuts that short.
func (n *Node) Run(ctx, now context.Context) error {
	dutyCtx, stop := context.WithCancel(context.Background())
	n.stopDuty = stop
	n.startDuties(dutyCtx)
	failed := make(chan error, 2)
	for _, l := range []listener{n.callers, n.control} {
		go func() { failed <- l.serve() }()
	}
	n.log.Info("serving", "zone", n.set.Zone, "version", n.version, "callers", n.CallersAddr(), "control", n.ControlAddr(), "datagrams", n.transport.Addr())
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	return errors.Join(err, n.stop(now))
}

// CallersAddr is the ip:port that callers are served on.
func (n *Node) CallersAddr() string { return n.callers.socket.Addr().String() }

// ControlAddr is the ip:port that peers and operators are served on.
func (n *Node) ControlAddr() string { return n.control.socket.Addr().String() }

// stop is the planned stop.
func (n *Node) stop(now context.Context) error {
	n.log.Info("stopping", "step", "unready", "notice", n.set.Drain.Notice)
	n.leaving.Store(true)
	n.members.Leave()
	clock.Pause(now, n.set.Drain.Notice)
	n.log.Info("stopping", "step", "finish requests")
	err := n.callers.server.Shutdown(now)
	if err != nil {
		n.log.Error("stopping", "step", "requests cut", "err", err.Error())
		err = errors.Join(err, n.callers.server.Close())
	}
	n.gateway.Wait()
	n.stopDuty()
	n.duties.Wait()
	n.closeClaims(now)
	err = errors.Join(err, n.control.server.Close())
	n.closeSockets()
	n.log.Info("stopped")
	return err
}

// claimsCloseTimeout bounds the wait of a planned stop for the store.
const claimsCloseTimeout = 10 * time.Second

// closeClaims brings the last outcomes to the store. While the store is down that
// could last for ever and the VM could not be replaced; calls whose outcome is not
// recorded by then read as unknown, which is true and never runs them again.
func (n *Node) closeClaims(now context.Context) {
	ctx, cancel := context.WithTimeout(now, claimsCloseTimeout)
	defer cancel()
	n.claims.Close(ctx)
}

func (n *Node) closeSockets() {
	if n.transport != nil {
		_ = n.transport.Close() // the process ends
	}
	for _, l := range []listener{n.callers, n.control} {
		if l.socket != nil {
			_ = l.socket.Close() // the process ends
		}
	}
	if n.pools != nil {
		n.pools.Close()
	}
}

// notReady says why this node should get no callers; empty when it should.
func (n *Node) notReady() string {
	switch {
	case n.leaving.Load():
		return "stopping"
	case n.members.Superseded():
		return "a newer process runs under this node's name"
	case n.rules.Current() == nil:
		return "no rules known yet"
	case n.vms.List().AsOf.IsZero():
		return "no VM list known yet"
	}
	select {
	case <-n.table.Ready():
		return ""
	default:
		// Without the grouping it would refuse every request to a model while
		// other nodes could answer it.
		return "no grouping known yet"
	}
}
