package sockets

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// pathCheckInterval is how often a connection with unacknowledged or unsent data is checked.
	pathCheckInterval = 500 * time.Millisecond
	// maxUnsent limits the data that waits in the kernel for the peer to read, so that a write
	// to a slow reader blocks. It is about the product of bandwidth and delay between zones.
	maxUnsent = 64 << 10
	// receiveBuffer limits the data that waits in the kernel for this process to read. The
	// kernel doubles it for its own overhead. A window of this size carries 200 Mbit/s over a
	// round trip of 5 ms.
	receiveBuffer = 128 << 10
)

// MaxUnread is the most data of one watched connection that waits in the kernel to be read.
const MaxUnread = 2 * receiveBuffer

// DialWatched dials a connection that ends if its path is dead, like those of Dialer, but
// not if its peer reads slowly. TCP_USER_TIMEOUT does not distinguish the two.
func DialWatched(ctx context.Context, timeout time.Duration, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setBuffers}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return watch(conn), nil
}

// ListenWatched opens a TCP listener whose connections are like those of DialWatched.
func ListenWatched(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setBuffers}
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return watchedListener{listener}, nil
}

type watchedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return watch(conn), nil
}

// setBuffers limits the memory of a connection in the kernel. Accepted connections inherit
// the options from the listening socket.
func setBuffers(_, _ string, conn syscall.RawConn) error {
	var sockErr error
	err := conn.Control(func(fd uintptr) {
		sockErr = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// watchedConn closes itself if its peer acknowledges neither data nor window probes for
// UserTimeout. A peer whose receive window is closed acknowledges the probes.
type watchedConn struct {
	net.Conn
	timer *time.Timer
	// armed is true while the timer runs.
	armed  atomic.Bool
	closed atomic.Bool

	mu sync.Mutex
	// unansweredSince is when the peer was first found not to respond; zero if it responds.
	unansweredSince time.Time
}

func watch(conn net.Conn) *watchedConn {
	c := &watchedConn{Conn: conn}
	c.timer = time.AfterFunc(time.Hour, c.check)
	c.timer.Stop()
	return c
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.arm()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	c.timer.Stop()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction.
func (c *watchedConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// SyscallConn implements syscall.Conn.
func (c *watchedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c *watchedConn) arm() {
	if !c.closed.Load() && !c.armed.Swap(true) {
		c.timer.Reset(pathCheckInterval)
	}
}

// check closes the connection if its path is dead, and repeats itself while data is outstanding.
func (c *watchedConn) check() {
	c.armed.Store(false) // before the look at the socket, so that a later write starts the timer again
	info, err := tcpInfo(c)
	if err != nil || c.closed.Load() {
		return
	}
	if info.Unacked == 0 && info.Notsent_bytes == 0 {
		c.unanswered(false, time.Time{})
		return
	}
	now := time.Now()
	lastAck := now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	if since := c.unanswered(info.Retransmits > 0 || info.Probes > 0, lastAck); !since.IsZero() && now.Sub(since) >= UserTimeout {
		_ = c.Conn.(*net.TCPConn).SetLinger(0) // the kernel need not try any longer
		_ = c.Close()
		return
	}
	c.arm()
}

// unanswered records whether the peer owes an acknowledgement, and returns since when it has
// been found to owe one without a break; zero if it does not.
func (c *watchedConn) unanswered(owed bool, lastAck time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !owed:
		c.unansweredSince = time.Time{}
	case c.unansweredSince.Before(lastAck): // also if it is zero
		c.unansweredSince = time.Now()
	}
	return c.unansweredSince
}

func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(controlErr, err)
}
