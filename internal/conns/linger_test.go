package conns_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/conns"
)

// Guards against a server that answers early and gets only part of the body, or bytes of another
// request after it.
func TestServerThatAnswersEarlyGetsTheWholeBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	const size = 4 << 20
	got := make(chan int64, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				time.Sleep(400 * time.Millisecond) // longer than the transport waits for the rest of a request
				body, _ := io.Copy(io.Discard, req.Body)
				further, _ := io.Copy(io.Discard, in)
				got <- size - body + further
			}()
		}
	}()
	pool := conns.NewPool()
	defer pool.Close()
	peer := conns.Peer{Addr: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	first := pool.Get(peer, time.Minute, time.Now())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+peer.Addr, io.NopCloser(bytes.NewReader(make([]byte, size))))
	require.NoError(t, err)
	req.ContentLength = size
	resp, err := first.RoundTrip(req)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	pool.Put(first, time.Now())
	cancel() // the call has ended
	require.NotSame(t, first, pool.Get(peer, time.Minute, time.Now()))
	select {
	case difference := <-got:
		require.Zero(t, difference)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the connection was not closed after the body")
	}
}
