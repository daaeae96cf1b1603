package httpserver

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout limits every wait of these tests; it is far above the usual times.
const waitTimeout = 20 * time.Second

// running is a server under test whose handler answers the request's path. A request to
// /wait is answered only when the test releases it.
type running struct {
	*Server
	t       *testing.T
	arrived chan struct{} // receives one value for each request to /wait
	release chan struct{}
	served  chan error
}

func start(t *testing.T, opts Options) *running {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startOn(t, socket, opts)
}

func startOn(t *testing.T, socket net.Listener, opts Options) *running {
	t.Helper()
	r := &running{t: t, arrived: make(chan struct{}, 1), release: make(chan struct{}), served: make(chan error, 1)}
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
	if req.URL.Path == "/wait" {
		r.arrived <- struct{}{}
		<-r.release
	}
	_, _ = io.WriteString(w, req.URL.Path) // the caller may be gone
}

// shutdown starts a shutdown that takes until the test calls finish, because a request is
// in progress meanwhile. finish returns the result of Shutdown.
func (r *running) shutdown() (finish func() error) {
	r.t.Helper()
	waiting := r.dial()
	waiting.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-r.arrived
	result := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	go func() { result <- r.Shutdown(ctx) }()
	require.Eventually(r.t, func() bool { // the listener is closed
		probe, err := net.Dial("tcp", r.Addr().String())
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	}, waitTimeout, time.Millisecond)
	return func() error {
		defer cancel()
		close(r.release)
		require.True(r.t, waiting.requireAnswer("/wait").Close, "the caller would use the connection again")
		return <-result
	}
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

func TestRequestOnUnusedConnectionIsAnsweredDuringShutdown(t *testing.T) {
	r := start(t, Options{ShutdownIdleTimeout: waitTimeout})
	unused := r.dial()
	finish := r.shutdown()
	unused.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	require.True(t, unused.requireAnswer("/a").Close)
	require.NoError(t, finish())
}

func TestRequestWhoseHeaderArrivesAcrossShutdownIsAnswered(t *testing.T) {
	r := start(t, Options{ShutdownIdleTimeout: time.Millisecond})
	fresh, kept := r.dial(), r.dial()
	kept.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	kept.requireAnswer("/a")
	for _, c := range []*client{fresh, kept} {
		c.send("GET /b HTTP/1.1\r\n")
		r.awaitActivity(c, receiving)
	}
	finish := r.shutdown()
	for _, c := range []*client{fresh, kept} {
		c.send("Host: h\r\n\r\n")
		require.True(t, c.requireAnswer("/b").Close)
	}
	require.NoError(t, finish())
}

// lateListener returns a connection some time after it was accepted.
type lateListener struct {
	net.Listener
	accepted chan struct{}
	release  chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.release
	}
	return c, err
}

func TestShutdownAnswersRequestOnConnectionBeingAccepted(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	late := lateListener{socket, make(chan struct{}), make(chan struct{})}
	r := startOn(t, late, Options{})
	conn, err := net.Dial("tcp", r.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	c := &client{t, conn, bufio.NewReader(conn)}
	c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	<-late.accepted
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- r.Shutdown(ctx) }()
	require.Eventually(t, r.stopping.Load, waitTimeout, time.Millisecond)
	close(late.release)
	c.requireAnswer("/a")
	require.NoError(t, <-result)
}

func TestShutdownWithoutConnectionsSucceeds(t *testing.T) {
	for range 300 {
		r := start(t, Options{})
		require.NoError(t, r.Shutdown(t.Context()))
	}
}

func TestShutdownUnderLoadDropsNoRequestThatWasRead(t *testing.T) {
	for range 10 {
		r := start(t, Options{ShutdownIdleTimeout: time.Millisecond})
		unanswered := r.unanswered(true).Get()
		var callers sync.WaitGroup
		for range 32 {
			c := r.dial()
			callers.Go(func() {
				for {
					if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						return
					}
					res, err := http.ReadResponse(c.in, nil)
					if err != nil {
						return
					}
					_, err = io.Copy(io.Discard, res.Body)
					if !assert.NoError(t, err) || res.Close {
						return
					}
				}
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		require.NoError(t, r.Shutdown(ctx))
		cancel()
		callers.Wait()
		require.Equal(t, unanswered, r.unanswered(true).Get())
	}
}

func TestShutdownClosesUnusedAndIdleConnectionsSoon(t *testing.T) {
	r := start(t, Options{})
	unused, idleConn := r.dial(), r.dial()
	idleConn.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	idleConn.requireAnswer("/a")
	r.awaitActivity(idleConn, idle)
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, r.Shutdown(ctx))
	require.Less(t, time.Since(began), 2*time.Second)
	for _, c := range []*client{unused, idleConn} {
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// The deadline has passed when the read is made, which then returns no bytes by itself.
func TestRequestThatArrivesAsWaitEndsIsRead(t *testing.T) {
	for name, prepare := range map[string]func(*Server){
		"shutdown":     func(s *Server) { s.stopping.Store(true) },
		"idle timeout": func(*Server) {},
	} {
		t.Run(name, func(t *testing.T) {
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := New(socket, Options{Log: slog.New(slog.DiscardHandler), ShutdownIdleTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond})
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
		r := start(t, Options{ReadHeaderTimeout: time.Second})
		c := r.dial()
		c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		c.requireAnswer("/a")
		c.send(sent)
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF, sent)
	}
}

func TestHeaderTimeoutOfNewConnectionCountsFromItsFirstByte(t *testing.T) {
	const limit = 2 * time.Second
	r := start(t, Options{ReadHeaderTimeout: limit})
	c, unused := r.dial(), r.dial()
	time.Sleep(limit / 2)
	c.send("GET /a HTTP/1.1\r\n")
	_, err := unused.in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the limit has passed since both were opened")
	c.send("Host: h\r\n\r\n")
	c.requireAnswer("/a")
}

func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	trusted := certified.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	for _, c := range []struct {
		name, scheme string
		http2        bool
	}{{"http1", "http", false}, {"http2", "http", true}, {"http1 with TLS", "https", false}, {"http2 with TLS", "https", true}} {
		t.Run(c.name, func(t *testing.T) {
			opts := Options{Protocols: &http.Protocols{}}
			opts.Protocols.SetHTTP1(true)
			opts.Protocols.SetHTTP2(true)
			opts.Protocols.SetUnencryptedHTTP2(true)
			if c.scheme == "https" {
				opts.TLSConfig = &tls.Config{Certificates: certified.TLS.Certificates}
			}
			r := start(t, opts)
			spoken := &http.Protocols{}
			spoken.SetHTTP1(!c.http2)
			spoken.SetHTTP2(c.http2)
			spoken.SetUnencryptedHTTP2(c.http2)
			transport := &http.Transport{Protocols: spoken, TLSClientConfig: &tls.Config{RootCAs: trusted}}
			defer transport.CloseIdleConnections()
			answer := make(chan error, 1)
			go func() {
				res, err := (&http.Client{Transport: transport}).Get(c.scheme + "://" + r.Addr().String() + "/wait")
				if err == nil {
					err = res.Body.Close()
				}
				answer <- err
			}()
			<-r.arrived
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			result := make(chan error, 1)
			go func() { result <- r.Shutdown(ctx) }()
			require.Eventually(t, r.stopping.Load, waitTimeout, time.Millisecond)
			close(r.release)
			require.NoError(t, <-answer)
			require.NoError(t, <-result)
		})
	}
}

func TestIdleTimeoutSparesConnectionOnWhichRequestArrives(t *testing.T) {
	const timeout = time.Second
	r := start(t, Options{})
	r.SetLimits(Limits{ReadHeader: waitTimeout, Idle: timeout})
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
