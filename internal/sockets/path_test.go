package sockets_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/fennelcourse/fennelcourse/internal/sockets"
)

// connect returns both ends of a watched connection.
func connect(t *testing.T) (dialed, accepted net.Conn) {
	listener, err := sockets.ListenWatched(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err = sockets.DialWatched(context.Background(), time.Second, "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed, accepted
}

// directions runs a test with each end of a connection as the writer.
func directions(t *testing.T, test func(t *testing.T, writer, peer net.Conn)) {
	for _, name := range []string{"dialed", "accepted"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dialed, accepted := connect(t)
			if name == "dialed" {
				test(t, dialed, accepted)
			} else {
				test(t, accepted, dialed)
			}
		})
	}
}

// Guards against ending the connection of a peer that reads nothing for longer than UserTimeout.
func TestSlowReaderKeepsItsConnection(t *testing.T) {
	t.Parallel()
	directions(t, func(t *testing.T, writer, peer net.Conn) {
		const size = 16 << 20 // more than the kernel's largest buffers hold
		written := make(chan error, 1)
		go func() {
			_, err := writer.Write(make([]byte, size))
			written <- err
		}()
		time.Sleep(sockets.UserTimeout + 2*time.Second)
		select {
		case err := <-written:
			require.Fail(t, "the kernel holds all data of a peer that reads nothing", "%v", err)
		default:
		}
		n, err := io.CopyN(io.Discard, peer, size)
		require.NoError(t, err)
		require.EqualValues(t, size, n)
		require.NoError(t, <-written)
	})
}

// Guards against connections over dead paths that hang for minutes, whether a write blocks or the
// writer waits for an answer.
func TestDeadPathEndsItsConnection(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]int{"blocked write": 4 << 20, "no answer": 1} {
		t.Run(name, func(t *testing.T) {
			directions(t, func(t *testing.T, writer, peer net.Conn) {
				dropAll(t, peer)
				began := time.Now()
				ended := make(chan error, 1)
				go func() {
					_, err := writer.Write(make([]byte, size))
					if err == nil {
						_, err = writer.Read(make([]byte, 1))
					}
					ended <- err
				}()
				select {
				case err := <-ended:
					require.Error(t, err)
					require.GreaterOrEqual(t, time.Since(began), sockets.UserTimeout)
				case <-time.After(3 * sockets.UserTimeout):
					require.Fail(t, "the connection hangs")
				}
			})
		})
	}
}

// dropAll makes the socket drop all packets that arrive, as if its path were cut. Without
// keep-alive the socket itself sends nothing that would end the connection.
func dropAll(t *testing.T, conn net.Conn) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var attachErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		attachErr = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 0),
			unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]}))
	}))
	require.NoError(t, attachErr)
}
