package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/operator"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/sockets"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

// server is an HTTP server with its socket. It closes idle connections itself, because
// the idle timeout can change while it serves, which http.Server does not support.
type server struct {
	socket net.Listener
	http   *http.Server
	idle   atomic.Int64 // idle timeout as a time.Duration; 0 for none

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// Default limits on the header of a request.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultMaxHeader     = 16 << 10
)

func newServer(addr string, handler http.Handler, log *slog.Logger) (*server, error) {
	socket, err := sockets.Listen(context.Background(), addr)
	if err != nil {
		return nil, err
	}
	s := &server{socket: socket, timers: make(map[net.Conn]*time.Timer)}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: defaultMaxHeader,
		ConnState: s.connState, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return s, nil
}

// addr returns the server's address, or "" for a listener that the settings do not name.
func (s *server) addr() string {
	if s == nil {
		return ""
	}
	return s.socket.Addr().String()
}

func (s *server) serve() error {
	err := s.http.Serve(s.socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// connState closes connections that are idle for longer than the idle timeout.
func (s *server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if timer := s.timers[conn]; timer != nil {
		timer.Stop()
		delete(s.timers, conn)
	}
	if timeout := time.Duration(s.idle.Load()); state == http.StateIdle && timeout > 0 {
		s.timers[conn] = time.AfterFunc(timeout, func() { _ = conn.Close() }) // the connection is idle: no request is cut
	}
}

// applyIdleTimeout adopts the idle timeout of callers' connections from the rules.
func (n *Node) applyIdleTimeout(set *rules.Set) {
	n.callers.idle.Store(int64(set.Bounds.IdleTimeout))
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
	mux.Handle(wirepbconnect.NewFeedServiceHandler(&feed.Server{Source: n.mirror}))
	return mux
}

// adminHandler serves metrics and the operator service inside the network.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wirepbconnect.NewOperatorServiceHandler(operator.New(operatorAPI{n}.parts())))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
