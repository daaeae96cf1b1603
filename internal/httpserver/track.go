package httpserver

import (
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// connState records the state that net/http reports for a connection.
func (s *Server) connState(inner net.Conn, state http.ConnState) {
	if secured, ok := inner.(*tls.Conn); ok {
		inner = secured.NetConn()
		if secured.ConnectionState().NegotiatedProtocol == "h2" {
			inner.(*conn).setHTTP2()
		}
	}
	if c, ok := inner.(*conn); ok {
		c.setState(state)
	}
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalChange()
}

func (s *Server) signalChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Server) hasHTTP1() bool {
	return slices.ContainsFunc(s.connections(), func(c *conn) bool { return !c.isHTTP2() })
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// unanswered counts connections that ended after part of a request had been read and before
// any of its answer was sent.
func (s *Server) unanswered(stopping bool) *metrics.Counter {
	while := "serving"
	if stopping {
		while = "stopping"
	}
	return metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_connections_closed_unanswered_total{server=%q,while=%q}`, s.opts.Name, while))
}

// logConnections logs how many connections do what.
func (s *Server) logConnections(step string) {
	counts := make(map[activity]int)
	for _, c := range s.connections() {
		what, _, _ := c.activity()
		counts[what]++
	}
	s.opts.Log.Info("connections", "server", s.opts.Name, "step", step,
		"unused", counts[unused], "receiving", counts[receiving], "answering", counts[answering], "idle", counts[idle])
}

// logEachConnection logs what each open connection is doing and for how long.
func (s *Server) logEachConnection() {
	for _, c := range s.connections() {
		what, since, received := c.activity()
		s.opts.Log.Info("connection open", "server", s.opts.Name, "remote", c.RemoteAddr().String(), "activity", what, "for", time.Since(since), "received", received)
	}
}
