// Package httpserver runs an HTTP server that ends a connection only while no part of a
// request has arrived on it. http.Server.Shutdown closes connections on which a request is
// arriving, and drops requests that it reads while it is under way.
package httpserver

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Options configure a Server.
type Options struct {
	// Name is the server's name in log lines and metrics.
	Name    string
	Handler http.Handler
	// ReadHeaderTimeout limits the time from the first byte of a request to the end of its
	// header, and the time that a new connection may wait for its first byte.
	ReadHeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may wait for its next request; 0 for no limit.
	// SetLimits changes both timeouts for HTTP/1 without TLS.
	IdleTimeout time.Duration
	// ShutdownIdleTimeout is how long a connection must have waited for a request to be closed
	// by a shutdown; 0 for the default.
	ShutdownIdleTimeout time.Duration
	// MaxHeaderBytes limits the header of a request; 0 for the default of net/http.
	MaxHeaderBytes int
	// Protocols are the protocols to serve; nil for HTTP/1.
	Protocols *http.Protocols
	// TLSConfig has the certificate; nil for no TLS.
	TLSConfig *tls.Config
	Log       *slog.Logger
	// ErrorLevel is the level of net/http's own messages, such as failed handshakes.
	ErrorLevel slog.Level
}

// DefaultShutdownIdleTimeout exceeds the time in which a caller sends a request on a
// connection that it has opened for it, or on which it has just had an answer.
const DefaultShutdownIdleTimeout = 500 * time.Millisecond

// Server is an HTTP server with its socket. All methods are safe for concurrent use.
type Server struct {
	socket net.Listener
	opts   Options
	http   *http.Server
	limits atomic.Pointer[appliedLimits]
	// plainHTTP1 is set if the server serves HTTP/1 without TLS only.
	plainHTTP1 bool
	// last is true once every answer ends its connection.
	last atomic.Bool
	// stopping is true once the listener closes.
	stopping atomic.Bool
	// changed wakes awaitHTTP1, its only receiver, after a change of conns.
	changed chan struct{}

	mu    sync.Mutex
	conns map[*conn]struct{}
	// serving is closed when Serve accepts no more connections; nil before Serve.
	serving chan struct{}
}

// New returns a server that will accept connections from the socket, which it owns.
func New(socket net.Listener, opts Options) *Server {
	if opts.ShutdownIdleTimeout == 0 {
		opts.ShutdownIdleTimeout = DefaultShutdownIdleTimeout
	}
	s := &Server{socket: socket, opts: opts, changed: make(chan struct{}, 1), conns: make(map[*conn]struct{})}
	s.plainHTTP1 = opts.TLSConfig == nil && opts.Protocols == nil
	s.SetLimits(Limits{ReadHeader: opts.ReadHeaderTimeout, Idle: opts.IdleTimeout})
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: opts.ReadHeaderTimeout, IdleTimeout: opts.IdleTimeout,
		MaxHeaderBytes: opts.MaxHeaderBytes, Protocols: opts.Protocols, TLSConfig: opts.TLSConfig,
		ConnState: s.connState, ErrorLog: slog.NewLogLogger(opts.Log.Handler(), opts.ErrorLevel),
	}
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.socket.Addr() }

// Serve accepts and serves connections until Shutdown or Close.
func (s *Server) Serve() error {
	// http.Server.Serve speaks plain HTTP even with a TLSConfig.
	serve := s.http.Serve
	if s.opts.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.http.ServeTLS(l, "", "") }
	}
	done := make(chan struct{})
	defer close(done)
	s.mu.Lock()
	s.serving = done
	s.mu.Unlock()
	err := serve(listener{s.socket, s})
	if s.stopping.Load() {
		return nil
	}
	return err
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	res := &response{ResponseWriter: w, last: &s.last}
	s.opts.Handler.ServeHTTP(res, r)
	res.begin() // an empty answer begins after its handler
}

// LastRequests makes every answer from now on end its connection, so that callers open no
// request on a connection that a shutdown is about to close.
func (s *Server) LastRequests() { s.last.Store(true) }

// Shutdown stops accepting connections and answers what arrives on the open ones. Each ends
// with its next answer, or when nothing arrives on it. Shutdown returns when all have ended,
// or with the error of ctx. It is called at most once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.LastRequests()
	s.stopping.Store(true)
	s.logConnections("shutdown")
	err := s.closeSocket()
	s.awaitLastAccept()
	for _, c := range s.connections() {
		c.wake()
	}
	if waitErr := s.awaitHTTP1(ctx); waitErr != nil {
		s.logConnections("shutdown timed out")
		s.logEachConnection()
		return errors.Join(err, waitErr)
	}
	// Only HTTP/2 is left, where the server says which requests it no longer takes.
	return errors.Join(err, s.http.Shutdown(ctx))
}

// awaitLastAccept waits until no connection can be added any more.
func (s *Server) awaitLastAccept() {
	s.mu.Lock()
	serving := s.serving
	s.mu.Unlock()
	if serving != nil {
		<-serving
	}
}

// awaitHTTP1 waits until no HTTP/1 connection is left.
func (s *Server) awaitHTTP1(ctx context.Context) error {
	for s.hasHTTP1() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
		}
	}
	return nil
}

// Close closes the listener and all connections, also those with requests in progress.
func (s *Server) Close() error {
	s.stopping.Store(true)
	return errors.Join(s.http.Close(), s.closeSocket())
}

// closeSocket closes the listener, which may be closed already.
func (s *Server) closeSocket() error {
	if err := s.socket.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
