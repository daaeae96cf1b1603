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

// server is one HTTP server with its socket. How long a connection may idle can
// change while it serves, which http.Server does not offer: so it closes idle
// connections itself.
type server struct {
	socket net.Listener
	http   *http.Server
	idle   atomic.Int64 // time.Duration; 0 for no bound

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// Bounds until the configuration names others.
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

// addr is where the server listens; empty for one that the settings do not name.
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

// connState closes connections that have idled for longer than the bound.
func (s *server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if timer := s.timers[conn]; timer != nil {
		timer.Stop()
		delete(s.timers, conn)
	}
	if bound := time.Duration(s.idle.Load()); state == http.StateIdle && bound > 0 {
		s.timers[conn] = time.AfterFunc(bound, func() { _ = conn.Close() }) // idle: nothing is lost
	}
}

// applyLimits takes over how long callers' connections may idle.
func (n *Node) applyLimits(set *rules.Set) {
	n.callers.idle.Store(int64(set.Bounds.IdleTimeout))
}

// notReady says why this node should get no callers; empty when it should.
func (n *Node) notReady() string {
	switch {
	case n.leaving.Load():
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
	if reason := n.notReady(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, reason) // the asker may be gone
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

// insideHandler serves the metrics' scraper and operators, inside the network.
func (n *Node) insideHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wirepbconnect.NewOperatorServiceHandler(operator.New(operators{n}.parts())))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
