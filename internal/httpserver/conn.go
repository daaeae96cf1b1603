package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// listener wraps accepted connections for tracking.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server, state: http.StateNew, since: time.Now()}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	state http.ConnState
	since time.Time // of state
	// received is the number of bytes read since the last write: the part of a request that
	// has not been answered.
	received int
	timer    *time.Timer // closes the connection at the end of the idle timeout
	closed   bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.received += n
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.received = 0
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite closes the sending direction, where the connection has one.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

var (
	unansweredServing  = metrics.NewCounter(`fennel_connections_closed_unanswered_total{while="serving"}`)
	unansweredStopping = metrics.NewCounter(`fennel_connections_closed_unanswered_total{while="stopping"}`)
)

// Close implements net.Conn. It logs a connection that ends after part of a request arrived
// and before any of its answer was sent.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	state, since, received := c.state, c.since, c.received
	c.stopTimer()
	c.mu.Unlock()
	if first {
		c.server.forget(c)
		if received > 0 {
			counter := unansweredServing
			if c.server.stopping.Load() {
				counter = unansweredStopping
			}
			counter.Inc()
			c.server.opts.Log.Info("connection closed unanswered", "server", c.server.opts.Name, "remote", c.RemoteAddr().String(), "state", state,
				"for", time.Since(since), "received", received, "stopping", c.server.stopping.Load())
		}
	}
	return c.Conn.Close()
}

func (c *conn) setState(state http.ConnState, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = state, time.Now()
	c.stopTimer()
	if state == http.StateIdle && idleTimeout > 0 && !c.closed {
		c.timer = time.AfterFunc(idleTimeout, func() { _ = c.Close() }) // the connection is idle: no request is cut
	}
}

// stopTimer stops the idle timer; mu is held.
func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// activity names what a connection is doing.
type activity string

const (
	unused    activity = "unused"    // opened, nothing received
	receiving activity = "receiving" // part of a request's header has arrived
	answering activity = "answering" // a request is being read or answered
	idle      activity = "idle"      // between requests
)

func (c *conn) activity() (what activity, since time.Time, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == http.StateActive:
		what = answering
	case c.received > 0:
		what = receiving
	case c.state == http.StateNew:
		what = unused
	default:
		what = idle
	}
	return what, c.since, c.received
}
