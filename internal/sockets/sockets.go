// Package sockets opens TCP connections that detect a broken network path, and tell a reset from an end.
package sockets

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout is the TCP_USER_TIMEOUT of all connections: how long sent data may stay
// unacknowledged before the connection fails. After a network partition or the loss
// of a VM no packet is answered, and without this timeout a write would block until
// the kernel gives up after about 15 minutes. Round trips within a deployment take
// milliseconds, or a few hundred milliseconds when packets are lost.
const UserTimeout = 3 * time.Second

// keepAlive makes an idle connection over a broken path fail within
// Idle + Count*Interval instead of two hours.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Dialer returns a dialer whose connections have UserTimeout and keep-alive set.
// timeout limits the time to connect.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen opens a TCP listener whose connections have UserTimeout and keep-alive set.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", addr)
}

// setUserTimeout sets TCP_USER_TIMEOUT before the socket connects or listens.
// Accepted connections inherit it from the listening socket.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockErr error
	err := conn.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// ErrNothingAvailable is returned by ReadAvailable if nothing has arrived.
var ErrNothingAvailable = errors.New("nothing has arrived on the connection")

// ReadAvailable reads what has arrived on a connection without waiting for more.
func ReadAvailable(conn net.Conn, p []byte) (n int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.Errorf("%T has no socket", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		for {
			n, readErr = unix.Read(int(fd), p)
			if !errors.Is(readErr, unix.EINTR) {
				return true
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, unix.EAGAIN):
		return 0, ErrNothingAvailable
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
