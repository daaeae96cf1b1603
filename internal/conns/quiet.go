package conns

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// errNoSocket is the error of SyscallConn of a connection that is none of the operating system.
var errNoSocket = errors.New("the connection has no socket")

// States of a socket, as far as net/http reads from it.
const (
	// socketBusy: a response is being read, or bytes that were received have yet to be looked at.
	socketBusy int32 = iota
	// socketWaiting: all bytes received were used, and a read waits for more.
	socketWaiting
	socketClosed
)

// socket is a connection that knows whether bytes have arrived which belong to no response.
type socket struct {
	net.Conn
	state atomic.Int32
}

// Read implements net.Conn. Between two responses net/http reads only if its buffer is empty.
func (s *socket) Read(p []byte) (int, error) {
	s.state.CompareAndSwap(socketBusy, socketWaiting)
	n, err := s.Conn.Read(p)
	s.state.CompareAndSwap(socketWaiting, socketBusy)
	return n, err
}

// Close implements net.Conn.
func (s *socket) Close() error {
	s.state.Store(socketClosed)
	return s.Conn.Close()
}

// Bounds of the wait for a connection that was just returned to the pool: net/http takes microseconds
// to look for further bytes, and longer without a processor.
const (
	settleYields   = 20
	settlePause    = 50 * time.Microsecond
	maxSettleTries = 60
)

// isReusable reports whether an idle connection is open and nothing has arrived on it since its last
// response. What has would be taken for the response to the next request.
func (c *Conn) isReusable() bool {
	s := c.socket.Load()
	if s == nil {
		return true // without a connection nothing can be sent
	}
	for try := 0; try < maxSettleTries && s.state.Load() == socketBusy; try++ {
		if try < settleYields {
			runtime.Gosched()
		} else {
			time.Sleep(settlePause)
		}
	}
	return s.state.Load() == socketWaiting && s.isEmpty()
}

// SyscallConn implements syscall.Conn. It returns errNoSocket for a connection without one.
func (s *socket) SyscallConn() (syscall.RawConn, error) {
	inner, ok := s.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return inner.SyscallConn()
}

// isEmpty reports whether the connection is open and no byte waits in its receive buffer.
func (s *socket) isEmpty() (empty bool) {
	raw, err := s.SyscallConn()
	if err != nil {
		return errors.Is(err, errNoSocket)
	}
	err = raw.Control(func(fd uintptr) { // not Read, which would wait for the read in progress
		var p [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), p[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = peekErr == unix.EAGAIN
	})
	return empty && err == nil
}
