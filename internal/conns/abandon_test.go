package conns_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/conns"
)

// countingReader counts the bytes that were read from r.
type countingReader struct {
	r    io.Reader
	read atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a request that reaches its server seconds after it was given up, when the path to it is back.
func TestRequestThatWasGivenUpIsNotSentLater(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	pool := conns.NewPool()
	defer pool.Close()
	peer := conns.Peer{Addr: listener.Addr().String()}
	ctx, cancel := context.WithCancel(t.Context())
	const size = 32 << 20 // more than the kernel keeps
	body := &countingReader{r: bytes.NewReader(make([]byte, size))}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Addr, body)
	require.NoError(t, err)
	req.ContentLength = size
	c := pool.Get(peer, time.Minute, time.Now())
	done := make(chan error, 1)
	go func() {
		_, err := c.RoundTrip(req)
		done <- err
	}()
	server, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	var last int64
	require.Eventually(t, func() bool { // the server reads nothing, so that the kernel takes no more
		read := body.read.Load()
		defer func() { last = read }()
		return read > 0 && read == last
	}, 10*time.Second, 50*time.Millisecond)
	cancel()
	require.Error(t, <-done)
	c.Close()
	_, err = io.Copy(io.Discard, server)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
