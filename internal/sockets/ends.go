package sockets

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// DetectResets returns a DialFunc whose connections are those of CheckEnd.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return CheckEnd(conn), nil
	}
}

// CheckEnd returns a connection whose Read returns io.EOF only if the peer has ended its data. The
// kernel reports a reset to a single operation: after a Write has returned it, further reads find the
// end of the data, and an answer that ends with its connection would look complete. conn must not
// have been read from. A connection without a TCP socket is returned as it is.
func CheckEnd(conn net.Conn) net.Conn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn
	}
	return &endCheckedConn{Conn: conn, socket: socket}
}

type endCheckedConn struct {
	net.Conn
	socket syscall.Conn
	// received is the number of bytes that Read has returned.
	received atomic.Uint64
}

// Read implements net.Conn.
func (c *endCheckedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	received := c.received.Add(uint64(n))
	if errors.Is(err, io.EOF) && !endedByPeer(c.socket, received) {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *endCheckedConn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

// endedByPeer reports whether a connection at the end of its data was ended by the peer's FIN, as opposed
// to a reset, a timeout or a Close on this side. It returns true if the kernel does not tell.
func endedByPeer(socket syscall.Conn, received uint64) bool {
	info, err := tcpInfo(socket)
	switch {
	case errors.Is(err, net.ErrClosed):
		return false
	case err != nil || info.State != unix.BPF_TCP_CLOSE:
		return true
	}
	return info.Bytes_received > received // a FIN is counted as a byte
}
