// Package entry assembles a node for a platform that keeps the list of backend servers,
// the operator's configuration and the placement lease in one key-value service. The
// decisions are made by the packages that it connects.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/httpserver"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/memory"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/sockets"
)

// Node is one running node: a Core and its listeners.
type Node struct {
	*Core
	// peers exchanges datagrams with the other nodes; it is unused on a node without an
	// address for datagrams.
	peers                        *regionPeers
	callers, ready, admin, feeds *httpserver.Server
	stopping                     atomic.Bool
	// planned is nil until a planned stop begins.
	planned atomic.Pointer[plannedStop]
	// exiting ends shortly before the process does, and ends the calls still running; endCalls ends it.
	exiting  context.Context
	endCalls context.CancelFunc
	// uploads ends a little earlier, and refuses the requests whose body is still arriving; endUploads ends it.
	uploads    context.Context
	endUploads context.CancelFunc
	// open holds the calls in progress, as keys of the type *call.Call.
	open sync.Map
}

// New builds the node's components and opens its listeners. Nothing runs before Run.
func New(cfg *settings.Settings, p Platform, log *slog.Logger) (*Node, error) {
	n := &Node{}
	n.exiting, n.endCalls = context.WithCancel(context.Background())
	n.uploads, n.endUploads = context.WithCancel(context.Background())
	opts := CoreOptions{OnRules: n.applyBounds, Log: log}
	if cfg.Listen.Datagrams != "" {
		opts.OnDatagramKey = func(c fleet.Change) { n.peers.keyChanged(c) }
		opts.Broadcast = func(section membership.Section) { n.peers.broadcast(section) }
		opts.SignHandOver = func(callID string, attempts int, to string) string { return n.peers.signHandOver(callID, attempts, to) }
		opts.Nodes = func() []relay.Node { return n.peers.nodes() }
		opts.Standing = func(key string) (rank, nodes int) { return n.peers.standing(key) }
		opts.Rank = func(key string) int { return n.peers.rank(key) }
		opts.TriggerHeartbeat = func() { n.peers.triggerHeartbeat() }
		opts.ReportWork = func() { n.peers.triggerGossip() }
	}
	n.Core = NewCore(cfg, p, opts)
	n.peers = newRegionPeers(n.Core, cfg, log)
	return n, n.listen()
}

func (n *Node) listen() error {
	handler := n.platform.NewHandler(HandlerOptions{Rules: n.currentRules, Serve: n.serveCall, IsHandOver: n.peers.isHandOver,
		Memory: memory.New(memory.Limit(n.cfg.Process.MemoryMB)), Uploads: n.uploads, Log: n.log})
	for _, l := range []struct {
		name    string
		dest    **httpserver.Server
		addr    string
		listen  listenFunc
		handler http.Handler
		header  int // maximum size
	}{
		{"callers", &n.callers, n.cfg.Listen.Callers, sockets.ListenWatched, handler, maxCallerHeader},
		{"ready", &n.ready, n.cfg.Listen.Ready, sockets.Listen, http.HandlerFunc(n.serveReady), maxHeader},
		{"admin", &n.admin, n.cfg.Listen.Metrics, sockets.Listen, n.adminHandler(), maxHeader},
		{"feeds", &n.feeds, n.cfg.Feeds.Listen, sockets.Listen, n.feedHandler(), maxHeader},
	} {
		if l.addr == "" {
			continue
		}
		s, err := newServer(l.name, l.addr, l.listen, l.handler, l.header, n.log)
		if err != nil {
			return errors.Wrap(err, l.addr)
		}
		*l.dest = s
	}
	n.applyBounds(&rules.Set{})
	return nil
}

// Run serves until ctx ends, then shuts down gracefully. The end of force cuts the
// shutdown short.
func (n *Node) Run(ctx, force context.Context) error {
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Core.Run(tasksCtx)
	}()
	failed := make(chan error, 4)
	for _, s := range []*httpserver.Server{n.callers, n.ready, n.admin, n.feeds} {
		if s != nil {
			go func() { failed <- s.Serve() }()
		}
	}
	n.log.Info("serving", "node", n.cfg.Node, "zone", n.cfg.Zone, "callers", addrOf(n.callers), "inside", addrOf(n.admin), "first_start", n.cfg.Process.FirstStart)
	var err, reason error
	select {
	case err = <-failed:
		reason = err
	case <-ctx.Done():
		reason = context.Cause(ctx)
	}
	err = errors.Join(err, n.stop(force, stopTasks, reason))
	<-done
	n.log.Info("stopped", "node", n.cfg.Node)
	return err
}

// stop shuts the node down gracefully: it reports not ready, still accepts requests until
// the load balancer has noticed, and then finishes every request.
func (n *Node) stop(force context.Context, stopTasks func(), reason error) error {
	planned := newPlannedStop(n.cfg, time.Now())
	n.planned.Store(&planned)
	n.stopping.Store(true)
	n.callers.LastRequests()
	n.log.Info("stopping", "step", "unready", "notice", n.cfg.Drain.Notice, "reason", reason)
	n.HandOver()
	clock.Pause(force, n.cfg.Drain.Notice)
	err := n.finishCalls(force, planned.exitAt)
	stopTasks()
	for _, s := range []*httpserver.Server{n.admin, n.feeds} {
		if s != nil {
			err = errors.Join(err, s.Close())
		}
	}
	n.peers.Close()
	n.Core.Close()
	return errors.Join(err, n.ready.Close())
}

// finishCalls stops accepting connections and waits until all calls have ended, which
// happens before exitAt.
func (n *Node) finishCalls(force context.Context, exitAt time.Time) error {
	defer time.AfterFunc(time.Until(exitAt.Add(-answerMargin)), n.endCalls).Stop()
	defer time.AfterFunc(time.Until(exitAt.Add(-uploadMargin)), n.endUploads).Stop()
	ctx, cancel := context.WithDeadline(force, exitAt)
	defer cancel()
	err := n.callers.Shutdown(ctx)
	if err != nil {
		n.log.Error("stopping", "step", "requests aborted", "running", n.relay.Running(), "err", err.Error())
		n.logOpenCalls()
		err = errors.Join(err, n.callers.Close())
	}
	return err
}

// maxOpenCallLines limits the lines about calls that the end of the process breaks off.
const maxOpenCallLines = 1000

// logOpenCalls logs the calls that the end of the process breaks off.
func (n *Node) logOpenCalls() {
	count := 0
	n.open.Range(func(key, _ any) bool {
		c := key.(*call.Call)
		if count++; count > maxOpenCallLines {
			return true
		}
		fields := []any{"request", c.ID, "code", fennelerr.NotReady, "held", time.Since(c.ReceivedAt)}
		if end := c.EffectiveDeadline(); !end.IsZero() {
			fields = append(fields, "left", time.Until(end))
		}
		n.log.Error("call broken off by the end of the process", fields...)
		return true
	})
	if count > maxOpenCallLines {
		n.log.Error("further calls broken off by the end of the process", "count", count-maxOpenCallLines)
	}
}

// serveCall relays a call until it ends. During a planned stop it refuses a call that might still be
// running when the process ends.
func (n *Node) serveCall(ctx context.Context, c *call.Call, sink call.Sink) {
	if planned := n.planned.Load(); planned != nil && planned.mustRefuse(c, time.Now()) {
		sink.Refuse(fennelerr.New(fennelerr.NotReady, "the node is stopping").WithRun(fennelerr.NotRun).
			WithRetryAfter(planned.retryAfter(n.isLastOfZone(), time.Now())))
		return
	}
	n.open.Store(c, nil)
	defer n.open.Delete(c)
	ctx, cancel := n.untilExit(ctx)
	defer cancel()
	n.Serve(ctx, c, sink)
}

// untilExit returns a context that ends with ctx, or with relay.ErrStopping shortly before the
// process ends.
func (n *Node) untilExit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(n.exiting, func() { cancel(relay.ErrStopping) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// AdminAddr returns the ip:port that serves metrics and operators, or nil if the settings
// name none.
func (n *Node) AdminAddr() net.Addr {
	if n.admin == nil {
		return nil
	}
	return n.admin.Addr()
}

// CallersAddr returns the ip:port that serves callers.
func (n *Node) CallersAddr() net.Addr { return n.callers.Addr() }

// Reload checks the settings file and logs that nothing changes without a restart: the
// operator's configuration comes from the store, and the platform owns the settings.
func (n *Node) Reload(path string) {
	_, err := settings.Load(path)
	if err != nil {
		n.log.Error("reload refused", "path", path, "err", err.Error())
		return
	}
	n.log.Info("reload", "path", path, "changed", false)
}
