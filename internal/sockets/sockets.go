// Package sockets opens TCP connections that detect a broken network path.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

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
