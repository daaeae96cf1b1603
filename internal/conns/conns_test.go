package conns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/conns"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts a server that answers every request and counts its connections.
func serve(t *testing.T, header http.Header) (conns.Peer, *atomic.Int64, *httptest.Server) {
	t.Helper()
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return conns.Peer{Server: "i-1", Addr: strings.TrimPrefix(server.URL, "http://")}, &opened, server
}

// exchange sends one request on a connection and reads the response.
func exchange(t *testing.T, c *conns.Conn, peer conns.Peer) error {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+peer.Addr+"/", http.NoBody)
	require.NoError(t, err)
	resp, err := c.RoundTrip(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.Body.Close()
}

func TestIdleConnectionIsReused(t *testing.T) {
	peer, opened, _ := serve(t, http.Header{"Keep-Alive": {"timeout=10"}})
	pool := conns.NewPool()
	defer pool.Close()
	now := time.Now()
	for range 3 {
		c := pool.Get(peer, time.Minute, now)
		require.NoError(t, exchange(t, c, peer))
		pool.Put(c, now)
	}
	require.EqualValues(t, 1, opened.Load())

	for name, get := range map[string]func() *conns.Conn{
		"idle for longer than the caller allows":          func() *conns.Conn { return pool.Get(peer, time.Second, now.Add(2*time.Second)) },
		"idle for nearly the server's Keep-Alive timeout": func() *conns.Conn { return pool.Get(peer, time.Minute, now.Add(9500*time.Millisecond)) },
		"another process at the same address": func() *conns.Conn {
			return pool.Get(conns.Peer{Server: "i-1", Addr: peer.Addr, StartedUnixMs: 2}, time.Minute, now)
		},
	} {
		before := opened.Load()
		c := get()
		require.False(t, c.Reused(), name)
		require.NoError(t, exchange(t, c, peer), name)
		require.Equal(t, before+1, opened.Load(), name)
		pool.Put(c, now)
	}
}

// The server has closed an idle connection. The sender must learn that the request was
// not sent, and that it can use another connection.
func TestSendOnClosedIdleConnectionIsNotSent(t *testing.T) {
	peer, _, server := serve(t, nil)
	pool := conns.NewPool()
	defer pool.Close()
	c := pool.Get(peer, time.Minute, time.Now())
	require.NoError(t, exchange(t, c, peer))
	server.CloseClientConnections()
	require.Eventually(t, func() bool {
		err := exchange(t, c, peer)
		_, notSent := errors.Into[*conns.NotSentError](err)
		return notSent && conns.IsClosed(err)
	}, 5*time.Second, time.Millisecond)
}

func TestRefusedConnectionIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	peer := conns.Peer{Addr: listener.Addr().String()}
	err = exchange(t, conns.NewPool().Get(peer, 0, time.Now()), peer)
	notSent, ok := errors.Into[*conns.NotSentError](err)
	require.True(t, ok, "%v", err)
	require.True(t, notSent.Refused)
}

func TestSweepClosesConnectionsToUnknownPeers(t *testing.T) {
	peer, opened, _ := serve(t, nil)
	pool := conns.NewPool()
	defer pool.Close()
	now := time.Now()
	c := pool.Get(peer, time.Minute, now)
	require.NoError(t, exchange(t, c, peer))
	pool.Put(c, now)
	pool.Sweep(func(conns.Peer) bool { return false }, now)
	require.NoError(t, exchange(t, pool.Get(peer, time.Minute, now), peer))
	require.EqualValues(t, 2, opened.Load())
}

// Guards against requests that get the bytes which a server sent after an earlier response.
func TestConnectionWithFurtherBytesIsNotReused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var served sync.WaitGroup
	defer served.Wait()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
				}
			})
		}
	}()
	peer, pool := conns.Peer{Addr: listener.Addr().String()}, conns.NewPool()
	defer pool.Close()
	for range 200 {
		c := pool.Get(peer, time.Minute, time.Now())
		require.False(t, c.Reused())
		require.NoError(t, exchange(t, c, peer))
		pool.Put(c, time.Now())
	}
}
