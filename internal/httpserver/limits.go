package httpserver

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Limits bound callers' requests on a server for HTTP/1 without TLS.
type Limits struct {
	// ReadHeader and Idle are as Options.ReadHeaderTimeout and Options.IdleTimeout.
	ReadHeader, Idle time.Duration
	// MaxHeader is the number of bytes of a request's header above which its connection ends with
	// status 431; 0 for none beside Options.MaxHeaderBytes. Up to headerSlop more bytes may pass.
	MaxHeader int64
}

// headerSlop is the largest number of bytes of a body that net/http reads with the end of a header.
const headerSlop = 4 << 10

// appliedLimits are limits with the time from which on they apply.
type appliedLimits struct {
	Limits
	// headerLowered and idleLowered are when the timeouts were last lowered.
	headerLowered, idleLowered time.Time
}

// SetLimits replaces the limits, also for open connections. A lowered timeout counts from now on, so
// that not all idle connections end at once.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	old, now := s.limits.Load(), time.Now()
	if old != nil && old.Limits == l {
		s.mu.Unlock()
		return
	}
	next := &appliedLimits{Limits: l}
	if old != nil {
		next.headerLowered, next.idleLowered = old.headerLowered, old.idleLowered
		if isLower(l.ReadHeader, old.ReadHeader) {
			next.headerLowered = now
		}
		if isLower(l.Idle, old.Idle) {
			next.idleLowered = now
		}
	}
	s.limits.Store(next)
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.wake()
	}
}

// isLower reports whether a timeout is shorter than another one; 0 is none.
func isLower(timeout, other time.Duration) bool {
	return timeout > 0 && (other <= 0 || timeout < other)
}

// headerEnd returns until when the rest of a header that began at the time may arrive, and idleEnd
// until when a connection that is idle since the time may be; zero for no limit.
func (l *appliedLimits) headerEnd(begin time.Time) time.Time {
	return after(latest(begin, l.headerLowered), l.ReadHeader)
}

func (l *appliedLimits) idleEnd(begin time.Time) time.Time {
	return after(latest(begin, l.idleLowered), l.Idle)
}

// after returns the end of a timeout, or zero if there is none.
func after(begin time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return begin.Add(timeout)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// errHeaderTooLarge ends a connection whose request's header exceeds the limit.
var errHeaderTooLarge = errors.New("the header of the request is too large")

// lingerTime and lingerBytes limit what is read after the refusal of a header. If the connection
// were closed with bytes unread, the caller might lose the refusal.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// exceedsMaxHeader reports whether more bytes have arrived than the header of a request may have.
func (c *conn) exceedsMaxHeader() bool {
	if !c.server.plainHTTP1 {
		return false
	}
	limit := c.server.limits.Load().MaxHeader
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.state == http.StateNew || c.state == http.StateIdle
	return limit > 0 && waiting && c.headerBytes > limit+headerSlop
}

// refuseHeader answers a request whose header is too large. The connection is then to be closed.
func (c *conn) refuseHeader() error {
	c.server.opts.Log.Info("refuse", "server", c.server.opts.Name, "remote", c.RemoteAddr().String(), "status", http.StatusRequestHeaderFieldsTooLarge, "err", errHeaderTooLarge.Error())
	refusal := http.Response{StatusCode: http.StatusRequestHeaderFieldsTooLarge, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	if refusal.Write(c) == nil && c.CloseWrite() == nil {
		buf := make([]byte, headerSlop)
		for read := 0; read < lingerBytes; {
			n, err := c.Conn.Read(buf)
			if err != nil {
				break
			}
			read += n
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeaderTooLarge} // net/http answers none of these
}
