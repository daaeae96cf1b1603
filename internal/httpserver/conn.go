package httpserver

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/sockets"
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

// Close implements net.Listener. Both Shutdown and net/http close the listener.
func (l listener) Close() error { return l.server.closeSocket() }

// conn is an accepted connection.
//
// net/http reports a connection as new or idle until it has read the whole header of a
// request. Closing it from outside in these states can drop a request that is arriving.
// Limits on waiting therefore end a connection by failing a read that found nothing.
type conn struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	state http.ConnState
	since time.Time // of state
	// received is the number of bytes read since the last write: the part of a request that
	// has not been answered.
	received int
	// receivedAt is when the first of these bytes was read.
	receivedAt time.Time
	// headerBytes is the number of bytes read since the last change of the state.
	headerBytes int64
	// readDeadline is the one that net/http has set. It applies while a request is answered.
	readDeadline time.Time
	http2        bool
	closed       bool
}

// http2Preface begins every HTTP/2 connection without TLS, and no HTTP/1 request.
const http2Preface = "PRI "

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.exceedsMaxHeader() {
		return 0, c.refuseHeader()
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readAfterDeadline(p, err)
	}
	if n > 0 {
		c.recordReceived(p[:n])
	}
	return n, err
}

// readAfterDeadline reads what arrived until a deadline of this package passed, which a
// read does not return after the deadline. If nothing arrived, it returns err.
func (c *conn) readAfterDeadline(p []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, reason, waiting := c.waitLimit()
	if !waiting || limit.IsZero() || time.Now().Before(limit) {
		return 0, err // net/http has set this deadline, or canceled its own read
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, and so does the read
	n, availableErr := sockets.ReadAvailable(c.Conn, p)
	_ = c.applyDeadline() // net/http may read once more after an error
	if errors.Is(availableErr, sockets.ErrNothingAvailable) {
		c.server.opts.Log.Debug("wait ended", "server", c.server.opts.Name, "remote", c.RemoteAddr().String(), "reason", reason, "for", time.Since(c.since))
		return 0, err
	}
	return n, availableErr
}

func (c *conn) recordReceived(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateNew && c.received == 0 {
		c.http2 = bytes.HasPrefix(data, []byte(http2Preface))
	}
	if c.http2 {
		c.server.signalChange()
	}
	if c.received == 0 {
		c.receivedAt = time.Now()
	}
	c.received += len(data)
	c.headerBytes += int64(len(data))
	_ = c.applyDeadline() // fails only on a closed connection
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.received = 0
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyDeadline()
}

// applyDeadline sets the deadline in force; mu is held. While the connection waits for a
// request it is waitLimit alone: net/http counts the time for a header from the accept.
func (c *conn) applyDeadline() error {
	if limit, _, waiting := c.waitLimit(); waiting {
		return c.Conn.SetReadDeadline(limit)
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// waitLimit reports whether the connection waits for a request, and if so until when and
// why; limit is zero for no limit. mu is held.
func (c *conn) waitLimit() (limit time.Time, reason string, waiting bool) {
	limits := c.server.limits.Load()
	switch {
	case c.http2 || c.state != http.StateNew && c.state != http.StateIdle:
		return time.Time{}, "", false
	case c.received > 0:
		return limits.headerEnd(c.receivedAt), "header timeout", true
	case c.server.stopping.Load():
		return after(c.since, c.server.opts.ShutdownIdleTimeout), "shutdown", true
	case c.state == http.StateNew:
		return limits.headerEnd(c.since), "unused", true
	}
	return limits.idleEnd(c.since), "idle timeout", true
}

func (c *conn) setHTTP2() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2 = true
	c.server.signalChange()
}

func (c *conn) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2
}

// wake applies the deadlines of changed limits or of a shutdown that has begun.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.applyDeadline() // fails only on a closed connection
}

// CloseWrite closes the sending direction, where the connection has one.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It logs a connection that ends after part of a request arrived
// and before any of its answer was sent.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	state, since, received := c.state, c.since, c.received
	c.mu.Unlock()
	if first {
		c.server.forget(c)
		if received > 0 {
			c.server.unanswered(c.server.stopping.Load()).Inc()
			c.server.opts.Log.Info("connection closed unanswered", "server", c.server.opts.Name, "remote", c.RemoteAddr().String(), "state", state,
				"for", time.Since(since), "received", received, "stopping", c.server.stopping.Load())
		}
	}
	return c.Conn.Close()
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.headerBytes = state, time.Now(), 0
	if state == http.StateIdle {
		c.receivedAt = c.since                   // of a request whose first bytes came before the answer was complete
		_ = c.Conn.SetWriteDeadline(time.Time{}) // that of the last answer; fails only on a closed connection
	}
	_ = c.applyDeadline() // fails only on a closed connection
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
