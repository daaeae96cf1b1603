package httpserver

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout limits every wait of these tests; it is far above the usual times.
const waitTimeout = 20 * time.Second

// running is a server under test whose handler answers the request's path.
type running struct {
	*Server
	t      *testing.T
	served chan error
}

func start(t *testing.T, opts Options) *running {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &running{t: t, served: make(chan error, 1)}
	opts.Name, opts.Handler, opts.Log = "test", http.HandlerFunc(r.serve), slog.New(slog.DiscardHandler)
	if opts.ReadHeaderTimeout == 0 {
		opts.ReadHeaderTimeout = waitTimeout
	}
	r.Server = New(socket, opts)
	go func() { r.served <- r.Serve() }()
	t.Cleanup(func() {
		require.NoError(t, r.Close())
		require.NoError(t, <-r.served)
	})
	return r
}

func (r *running) serve(w http.ResponseWriter, req *http.Request) {
	_, _ = io.WriteString(w, req.URL.Path) // the caller may be gone
}

// client is one connection of a caller.
type client struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func (r *running) dial() *client {
	r.t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	require.NoError(r.t, err)
	require.NoError(r.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	r.t.Cleanup(func() { _ = c.Close() })
	require.Eventually(r.t, func() bool { // the server has accepted it
		for _, tracked := range r.connections() {
			if tracked.RemoteAddr().String() == c.LocalAddr().String() {
				return true
			}
		}
		return false
	}, waitTimeout, time.Millisecond)
	return &client{r.t, c, bufio.NewReader(c)}
}

// awaitActivity waits until the server has seen what the connection is doing.
func (r *running) awaitActivity(c *client, want activity) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		for _, tracked := range r.connections() {
			what, _, _ := tracked.activity()
			if tracked.RemoteAddr().String() == c.LocalAddr().String() && what == want {
				return true
			}
		}
		return false
	}, waitTimeout, time.Millisecond)
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c *client) requireAnswer(body string) *http.Response {
	c.t.Helper()
	res, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	got, err := io.ReadAll(res.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, res.Body.Close())
	require.Equal(c.t, body, string(got))
	return res
}

// The deadline has passed when the read is made, which then returns no bytes by itself.
func TestRequestThatArrivesAsWaitEndsIsRead(t *testing.T) {
	for name, prepare := range map[string]func(*Server){
		"idle timeout": func(s *Server) { s.SetIdleTimeout(time.Nanosecond) },
	} {
		t.Run(name, func(t *testing.T) {
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := New(socket, Options{Log: slog.New(slog.DiscardHandler)})
			defer s.Close()
			caller, err := net.Dial("tcp", s.Addr().String())
			require.NoError(t, err)
			defer caller.Close()
			accepted, err := listener{socket, s}.Accept()
			require.NoError(t, err)
			defer accepted.Close()
			prepare(s)
			s.connState(accepted, http.StateIdle)
			buf := make([]byte, 16)
			_, err = accepted.Read(buf)
			require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing has arrived")
			_, err = io.WriteString(caller, "GET ")
			require.NoError(t, err)
			var n int
			require.Eventually(t, func() bool {
				s.connState(accepted, http.StateIdle)
				n, err = accepted.Read(buf)
				return n > 0
			}, waitTimeout, time.Millisecond)
			require.NoError(t, err)
			require.Equal(t, "GET ", string(buf[:n]))
		})
	}
}

func TestHeaderThatNeverCompletesEndsItsConnection(t *testing.T) {
	for _, sent := range []string{"G", "GET /b HTTP/1.1\r\n"} {
		r := start(t, Options{ReadHeaderTimeout: 100 * time.Millisecond})
		c := r.dial()
		c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		c.requireAnswer("/a")
		c.send(sent)
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF, sent)
	}
}

func TestIdleTimeoutSparesConnectionOnWhichRequestArrives(t *testing.T) {
	const timeout = 100 * time.Millisecond
	r := start(t, Options{})
	r.SetIdleTimeout(timeout)
	c := r.dial()
	c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	c.requireAnswer("/a")
	r.awaitActivity(c, idle)
	c.send("GET /b HTTP/1.1\r\n")
	r.awaitActivity(c, receiving)
	other := r.dial() // times out later, so that the first one's timeout has passed for certain
	other.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	other.requireAnswer("/a")
	_, err := other.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	c.send("Host: h\r\n\r\n")
	c.requireAnswer("/b")
}
