package conns_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/conns"
)

// Guards against a request that is sent on a connection, new or idle, although it was withdrawn before.
func TestClosedGateKeepsRequestsFromBeingSent(t *testing.T) {
	peer, opened, _ := serve(t, nil)
	pool := conns.NewPool()
	defer pool.Close()
	refuse := func() bool { return false }
	c := pool.Get(peer, time.Minute, time.Now())
	c.SetGate(refuse)
	require.IsType(t, &conns.NotSentError{}, exchange(t, c, peer), "new")
	require.Eventually(t, func() bool { return opened.Load() == 1 }, time.Second, time.Millisecond, "the gate is asked once the connection is open")

	c = pool.Get(peer, time.Minute, time.Now())
	require.NoError(t, exchange(t, c, peer))
	c.SetGate(refuse)
	require.IsType(t, &conns.NotSentError{}, exchange(t, c, peer), "idle")
	c.SetGate(nil)
	require.NoError(t, exchange(t, c, peer), "nothing was sent on it")
	require.EqualValues(t, 2, opened.Load())
	pool.Put(c, time.Now())
}

// Guards against dials that go on after their request was canceled, and open connections that carry nothing.
func TestDialEndsWithItsRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	full, err := net.Dial("tcp", listener.Addr().String()) // fills the queue
	require.NoError(t, err)
	defer func() { _ = full.Close() }()

	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	peer := conns.Peer{Addr: listener.Addr().String()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Addr+"/", http.NoBody)
	require.NoError(t, err)
	_, err = conns.NewPool().Get(peer, 0, time.Now()).RoundTrip(req)
	require.IsType(t, &conns.NotSentError{}, err)

	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	require.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(1300*time.Millisecond))) // the opening packet is sent again after 1 s
	_, err = listener.Accept()
	require.Error(t, err, "the canceled dial has opened a connection")
}
