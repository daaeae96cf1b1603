package httpbounds_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
)

// roundTrip sends a request to a server that answers with the text, and returns the end of the connection as the server sees it.
func roundTrip(t *testing.T, response string) (resp *http.Response, ended chan error, err error) {
	t.Helper()
	ours, server := net.Pipe()
	t.Cleanup(func() { _ = ours.Close() })
	ended = make(chan error, 1)
	go func() {
		_, _ = server.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(server, response)
		_, err := server.Read(make([]byte, 1))
		ended <- err
	}()
	transport := httpbounds.New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return ours, nil }})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	req, reqErr := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/", http.NoBody)
	require.NoError(t, reqErr)
	resp, err = transport.RoundTrip(req)
	return resp, ended, err
}

// Guards against responses that complete no request, or whose head has no end, being passed on or kept open.
func TestOnlyFinalStatusesPass(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		_, ended, err := roundTrip(t, fmt.Sprintf("HTTP/1.1 %03d x\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n", status))
		failure, ok := errors.Into[*httpbounds.StatusError](err)
		require.True(t, ok, "%d: %v", status, err)
		require.Equal(t, status, failure.Status)
		require.ErrorIs(t, <-ended, io.EOF)
	}
	for _, status := range []int{200, 404, 599} {
		resp, _, err := roundTrip(t, fmt.Sprintf("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status))
		require.NoError(t, err)
		require.Equal(t, status, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
	_, ended, err := roundTrip(t, strings.Repeat("HTTP/1.1 103 x\r\nX-Y: z\r\n\r\n", httpbounds.MaxHeaderBytes/20))
	require.ErrorContains(t, err, "headers exceeded")
	require.ErrorIs(t, <-ended, io.EOF)
}
