// Package entry puts together a node whose platform keeps the list of backend
// servers, the operator's configuration and the placement lease in one key-value
// service. All decisions are those of the packages it joins.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Node is one running node: a Core and its sockets.
type Node struct {
	*Core
	// region is the other nodes; it is silent on a node without an address for datagrams.
	region                         *region
	callers, ready, metrics, feeds *server
	leaving                        atomic.Bool
}

// New opens the node's sockets and puts its parts together. Nothing runs before Run.
func New(set *settings.Settings, p Platform, log *slog.Logger) (*Node, error) {
	n := &Node{}
	opts := CoreOptions{OnRules: n.applyLimits, Log: log}
	if set.Listen.Datagrams != "" {
		opts.OnDatagramKey = func(entries map[string]store.KV) { n.region.keyChanged(entries) }
		opts.Broadcast = func(section membership.Section) { n.region.announce(section) }
	}
	n.Core = NewCore(set, p, opts)
	n.region = newRegion(n.Core, set, log)
	return n, n.listen()
}

func (n *Node) listen() error {
	front := n.platform.NewHandler(HandlerOptions{Rules: n.currentRules, Serve: n.Serve, Leaving: n.leaving.Load, Log: n.log})
	for _, l := range []struct {
		to      **server
		addr    string
		handler http.Handler
	}{
		{&n.callers, n.set.Listen.Callers, front},
		{&n.ready, n.set.Listen.Ready, http.HandlerFunc(n.serveReady)},
		{&n.metrics, n.set.Listen.Metrics, n.insideHandler()},
		{&n.feeds, n.set.Feeds.Listen, n.feedHandler()},
	} {
		if l.addr == "" {
			continue
		}
		s, err := newServer(l.addr, l.handler, n.log)
		if err != nil {
			return errors.Wrap(err, l.addr)
		}
		*l.to = s
	}
	return nil
}

// Run serves until ctx ends, then stops as planned; now cuts that short.
func (n *Node) Run(ctx, now context.Context) error {
	dutyCtx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Core.Run(dutyCtx)
	}()
	failed := make(chan error, 4)
	for _, s := range []*server{n.callers, n.ready, n.metrics, n.feeds} {
		if s != nil {
			go func() { failed <- s.serve() }()
		}
	}
	n.log.Info("serving", "node", n.set.Node, "zone", n.set.Zone, "callers", n.callers.addr(), "inside", n.metrics.addr(), "first_start", n.set.Process.FirstStart)
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	err = errors.Join(err, n.stop(now, stop))
	<-done
	n.log.Info("stopped", "node", n.set.Node)
	return err
}

// stopMargin is what a planned stop leaves of its grace, to end by itself.
const stopMargin = 700 * time.Millisecond

// stop is the planned stop: unready first, accepting while the balancer notices,
// then every request to its end.
func (n *Node) stop(now context.Context, stopDuties func()) error {
	began := time.Now()
	n.leaving.Store(true)
	n.log.Info("stopping", "step", "unready", "notice", n.set.Drain.Notice)
	stopDuties() // another node takes the placement lease over meanwhile
	clock.Pause(now, n.set.Drain.Notice)
	ctx, cancel := context.WithDeadline(now, began.Add(n.set.Process.Grace-stopMargin))
	defer cancel()
	err := n.callers.http.Shutdown(ctx)
	if err != nil {
		n.log.Error("stopping", "step", "requests cut", "running", n.relay.Running(), "err", err.Error())
		err = errors.Join(err, n.callers.http.Close())
	}
	for _, s := range []*server{n.metrics, n.feeds} {
		if s != nil {
			err = errors.Join(err, s.http.Close())
		}
	}
	n.region.Close()
	n.Core.Close()
	return errors.Join(err, n.ready.http.Close())
}

// AdminAddr is the ip:port of metrics and operators; nil where the settings name none.
func (n *Node) AdminAddr() net.Addr {
	if n.metrics == nil {
		return nil
	}
	return n.metrics.socket.Addr()
}

// CallersAddr is the ip:port that callers are served on.
func (n *Node) CallersAddr() net.Addr { return n.callers.socket.Addr() }

// Reload says that nothing is taken over without a restart: the operator's
// configuration comes from the store, and the settings are the platform's own.
func (n *Node) Reload(path string) {
	_, err := settings.Load(path)
	if err != nil {
		n.log.Error("reload refused", "path", path, "err", err.Error())
		return
	}
	n.log.Info("reload", "path", path, "changed", false)
}
