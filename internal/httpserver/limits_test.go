package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against open connections that keep the timeouts of earlier limits.
func TestRaisedTimeoutsSpareOpenConnections(t *testing.T) {
	const short = time.Second
	r := start(t, Options{ReadHeaderTimeout: short, IdleTimeout: short})
	receivingConn, idleConn := r.dial(), r.dial()
	idleConn.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	idleConn.requireAnswer("/a")
	receivingConn.send("GET /b HTTP/1.1\r\n")
	r.awaitActivity(receivingConn, receiving)
	r.SetLimits(Limits{ReadHeader: waitTimeout, Idle: waitTimeout})
	time.Sleep(short + short/2)
	receivingConn.send("Host: h\r\n\r\n")
	receivingConn.requireAnswer("/b")
	idleConn.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n")
	idleConn.requireAnswer("/c")
}

// Guards against lowered timeouts that never apply to open connections, or end all of them at once.
func TestLoweredTimeoutsCountFromTheChange(t *testing.T) {
	const short = time.Second
	r := start(t, Options{IdleTimeout: waitTimeout})
	receivingConn, idleConn, used := r.dial(), r.dial(), r.dial()
	for _, c := range []*client{idleConn, used} {
		c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		c.requireAnswer("/a")
	}
	receivingConn.send("GET /b HTTP/1.1\r\n")
	r.awaitActivity(receivingConn, receiving)
	time.Sleep(short + short/2)
	r.SetLimits(Limits{ReadHeader: short, Idle: short})
	time.Sleep(short / 10)
	used.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n")
	used.requireAnswer("/c")
	for _, c := range []*client{receivingConn, idleConn} {
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against headers of any length that are read into memory, and against a limit that also counts bodies.
func TestHeaderAboveTheLimitIsRefused(t *testing.T) {
	r := start(t, Options{MaxHeaderBytes: 1 << 20})
	r.SetLimits(Limits{ReadHeader: waitTimeout, MaxHeader: 16 << 10})
	c, endless := r.dial(), r.dial()
	for range 2 {
		c.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("a", 15<<10), 200<<10, strings.Repeat("b", 200<<10)))
		c.requireAnswer("/a")
	}
	endless.send("GET /a HTTP/1.1\r\nHost: h\r\nX-Fill: ")
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(endless, strings.Repeat("a", 1<<10))
		}
	}()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, endless.requireAnswer("").StatusCode)
	require.NoError(t, endless.Close())
	r.SetLimits(Limits{ReadHeader: waitTimeout, MaxHeader: 64 << 10})
	c.send(fmt.Sprintf("GET /a HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\n\r\n", strings.Repeat("a", 60<<10)))
	c.requireAnswer("/a")
}
