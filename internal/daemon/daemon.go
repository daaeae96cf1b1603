// Package daemon assembles a node from the platform's services, the rules in force,
// membership, placement, health checks, routing and the gateway for callers. It owns the
// goroutines and sockets around their decisions.
package daemon

import (
	"context"
	"log/slog"
	"net"
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
	"github.com/fennelcourse/fennelcourse/internal/httpserver"
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
	cfg     *settings.Settings
	log     *slog.Logger
	version string
	// incarnation distinguishes this process from earlier ones of the same node.
	incarnation uint64

	store     store.Store
	vms       *vmlist.Watcher
	rules     *rulestore.Holder
	transport *wire.Transport
	members   *membership.Service
	keyring   *wire.Keyring
	tls       *wire.TLSConfig
	peers     *peer.Client
	// nextPeerIndex distributes requests to peers in round-robin order.
	nextPeerIndex atomic.Uint64
	// grouping is the grouping of this node's zone, neighborGroupings those of the other
	// zones whose replicas it uses.
	grouping          *grouping.Table
	neighborGroupings []*grouping.Table
	controller        *grouping.Controller
	engines           *engine.Client
	prober            *engine.Client
	pools             *engine.Pools
	health            *health.Checker
	routing           *routing.Table
	admission         *admission.Controller
	claims            *claims.Manager
	suspects          *suspect.Tracker
	outages           *outageObserver
	// capacityChanged holds a token while a replica's change has not been passed on to
	// admission.
	capacityChanged chan struct{}
	gateway         *gateway.Gateway

	callers *httpserver.Server
	control *httpserver.Server
	// controlSocket is open before control exists, as peers need its address.
	controlSocket net.Listener
	stopping      atomic.Bool
	// uploads ends towards the end of the grace period of a planned stop, and refuses the requests whose body
	// is still arriving; endUploads ends it.
	uploads    context.Context
	endUploads context.CancelFunc
	tasks      sync.WaitGroup
	stopTasks  context.CancelFunc
}

// New builds the node's components and opens its sockets. Nothing runs before Run.
func New(cfg *settings.Settings, version string, log *slog.Logger) (*Node, error) {
	n := &Node{cfg: cfg, log: log.With("self", cfg.Node), version: version, incarnation: uint64(time.Now().UnixNano()),
		capacityChanged: make(chan struct{}, 1)}
	n.uploads, n.endUploads = context.WithCancel(context.Background())
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
	n.registerCallbacks()
	return n, nil
}

// Run serves until ctx ends, then shuts down gracefully: it reports not ready, still
// accepts requests until the load balancer has noticed, and finishes every stream. The end
// of force cuts the shutdown short.
func (n *Node) Run(ctx, force context.Context) error {
	tasksCtx, stop := context.WithCancel(context.Background())
	n.stopTasks = stop
	n.startTasks(tasksCtx)
	failed := make(chan error, 2)
	for _, serve := range []func() error{n.callers.Serve, n.control.Serve} {
		go func() { failed <- serve() }()
	}
	n.log.Info("serving", "zone", n.cfg.Zone, "version", n.version, "callers", n.CallersAddr(), "control", n.ControlAddr(), "datagrams", n.transport.Addr())
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	return errors.Join(err, n.stop(force))
}

// CallersAddr returns the ip:port that serves callers.
func (n *Node) CallersAddr() string { return n.callers.Addr().String() }

// ControlAddr returns the ip:port that serves peers and operators.
func (n *Node) ControlAddr() string { return n.controlSocket.Addr().String() }

// uploadMargin is how long before the end of the grace period requests are refused whose body is still arriving.
// Without a limit, a body that never ends would keep the node until it is killed, together with calls that run.
const uploadMargin = 1500 * time.Millisecond

// stop shuts the node down gracefully, as Run describes.
func (n *Node) stop(force context.Context) error {
	defer time.AfterFunc(n.cfg.Process.Grace-uploadMargin, n.endUploads).Stop()
	n.log.Info("stopping", "step", "unready", "notice", n.cfg.Drain.Notice)
	n.stopping.Store(true)
	n.callers.LastRequests()
	n.members.Leave()
	clock.Pause(force, n.cfg.Drain.Notice)
	n.log.Info("stopping", "step", "finish requests")
	err := n.callers.Shutdown(force)
	if err != nil {
		n.log.Error("stopping", "step", "requests aborted", "err", err.Error())
		err = errors.Join(err, n.callers.Close())
	}
	n.gateway.Wait()
	n.stopTasks()
	n.tasks.Wait()
	n.closeClaims(force)
	n.stopControl(force)
	n.closeSockets()
	n.log.Info("stopped")
	return err
}

// controlStopTimeout bounds how long a graceful shutdown waits for requests of operators and
// peers. Peers wait longer than that for changes, and ask another node when cut.
const controlStopTimeout = time.Second

// stopControl finishes the requests of operators, who otherwise could not tell whether a
// change was made.
func (n *Node) stopControl(force context.Context) {
	ctx, cancel := context.WithTimeout(force, controlStopTimeout)
	defer cancel()
	if err := n.control.Shutdown(ctx); err != nil {
		n.log.Info("stopping", "step", "control requests aborted", "err", err.Error())
	}
}

// claimsCloseTimeout bounds how long a graceful shutdown waits for the store.
const claimsCloseTimeout = 10 * time.Second

// closeClaims writes the last outcomes to the store. The wait is bounded, because with the
// store down it would never end and the VM could not be replaced. Calls whose outcome is
// not recorded by then are reported as unknown, which is correct and never reruns them.
func (n *Node) closeClaims(force context.Context) {
	ctx, cancel := context.WithTimeout(force, claimsCloseTimeout)
	defer cancel()
	n.claims.Close(ctx)
}

func (n *Node) closeSockets() {
	if n.transport != nil {
		_ = n.transport.Close() // the process ends
	}
	if n.controlSocket != nil {
		_ = n.controlSocket.Close() // the process ends
	}
	for _, s := range []*httpserver.Server{n.callers, n.control} {
		if s != nil {
			_ = s.Close() // the process ends
		}
	}
	if n.pools != nil {
		n.pools.Close()
	}
}

// notReadyReason returns why this node should get no calls, or "" if it is ready.
func (n *Node) notReadyReason() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.members.Superseded():
		return "a newer process runs under this node's name"
	case n.rules.Current() == nil:
		return "no rules known yet"
	case n.vms.List().AsOf.IsZero():
		return "no VM list known yet"
	}
	select {
	case <-n.grouping.Ready():
		return ""
	default:
		// Without the grouping, this node would refuse every request to a model, while
		// other nodes could serve it.
		return "no grouping known yet"
	}
}
