package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/httpserver"
	"github.com/fennelcourse/fennelcourse/internal/operator"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

// Limits on the header of a request where the rules have none.
const (
	headerTimeout = 3 * time.Second
	maxHeader     = 16 << 10
)

// maxCallerHeader bounds what the rules may allow for the header of a request.
const maxCallerHeader = 16 << 20

// listenFunc opens a listener.
type listenFunc func(ctx context.Context, addr string) (net.Listener, error)

func newServer(name, addr string, listen listenFunc, handler http.Handler, maxHeader int, log *slog.Logger) (*httpserver.Server, error) {
	socket, err := listen(context.Background(), addr)
	if err != nil {
		return nil, err
	}
	return httpserver.New(socket, httpserver.Options{Name: name, Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		Log: log, ErrorLevel: slog.LevelDebug}), nil
}

// addrOf returns a server's address, or "" for a listener that the settings do not name.
func addrOf(s *httpserver.Server) string {
	if s == nil {
		return ""
	}
	return s.Addr().String()
}

// applyBounds adopts the limits of callers' requests from the rules. The handler refuses a header by
// the exact limit.
func (n *Node) applyBounds(set *rules.Set) {
	limits := httpserver.Limits{ReadHeader: set.Bounds.HeaderTimeout, Idle: set.Bounds.IdleTimeout, MaxHeader: set.Bounds.MaxHeader}
	if limits.ReadHeader <= 0 {
		limits.ReadHeader = headerTimeout
	}
	if limits.MaxHeader <= 0 {
		limits.MaxHeader = maxHeader
	}
	n.callers.SetLimits(limits)
}

// notReadyReason returns why this node should get no calls, or "" if it is ready.
func (n *Node) notReadyReason() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.rules.Load() == nil:
		return "no configuration known yet"
	case !n.mirror.Loaded():
		return "no list of servers known yet"
	}
	return ""
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if reason := n.notReadyReason(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, reason) // the client may be gone
		return
	}
	w.WriteHeader(http.StatusOK)
}

// feedHandler serves this node's copy of the store to other nodes.
func (n *Node) feedHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wirepbconnect.NewFeedServiceHandler(&feed.Server{Source: n.mirror}, feed.HandlerOptions()...))
	return mux
}

// adminHandler serves metrics and the operator service inside the network.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wirepbconnect.NewOperatorServiceHandler(operator.New(operatorAPI{n}.parts())))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.writeGauges(w)
		metrics.WritePrometheus(w, true)
	})
	return mux
}
