// Package httpserver runs an HTTP server whose connections it tracks: a shutdown logs what
// each of them waits for.
package httpserver

import (
	"context"
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
	// Name is the server's name in log lines.
	Name    string
	Handler http.Handler
	// ReadHeaderTimeout limits the time from the first byte of a request to the end of its
	// header, and the time that a new connection may wait for its first byte.
	ReadHeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may wait for its next request; 0 for no limit.
	// SetIdleTimeout can set a shorter limit later.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the header of a request; 0 for the default of net/http.
	MaxHeaderBytes int
	// Protocols are the protocols to serve; nil for HTTP/1.
	Protocols *http.Protocols
	Log       *slog.Logger
	// ErrorLevel is the level of net/http's own messages, such as failed handshakes.
	ErrorLevel slog.Level
}

// Server is an HTTP server with its socket. All methods are safe for concurrent use.
type Server struct {
	socket net.Listener
	opts   Options
	http   *http.Server
	// idleTimeout is a time.Duration; 0 for none.
	idleTimeout atomic.Int64
	stopping    atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that will accept connections from the socket, which it owns.
func New(socket net.Listener, opts Options) *Server {
	s := &Server{socket: socket, opts: opts, conns: make(map[*conn]struct{})}
	s.http = &http.Server{
		Handler: opts.Handler, ReadHeaderTimeout: opts.ReadHeaderTimeout, IdleTimeout: opts.IdleTimeout,
		MaxHeaderBytes: opts.MaxHeaderBytes, Protocols: opts.Protocols, ConnState: s.connState, ErrorLog: slog.NewLogLogger(opts.Log.Handler(), opts.ErrorLevel),
	}
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.socket.Addr() }

// SetIdleTimeout sets how long a connection may wait for its next request; 0 for no limit.
// It applies to connections that become idle from now on.
func (s *Server) SetIdleTimeout(d time.Duration) { s.idleTimeout.Store(int64(d)) }

// Serve accepts and serves connections until Shutdown or Close.
func (s *Server) Serve() error {
	err := s.http.Serve(listener{s.socket, s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits until all requests have been answered or
// ctx ends. It returns the error of ctx if connections are left then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.logConnections("shutdown")
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.logConnections("shutdown timed out")
		s.logEachConnection()
	}
	return err
}

// Close closes the listener and all connections, also those with requests in progress.
func (s *Server) Close() error {
	s.stopping.Store(true)
	err := s.http.Close()
	if closeErr := s.socket.Close(); !errors.Is(closeErr, net.ErrClosed) { // Serve may not have run
		err = errors.Join(err, closeErr)
	}
	return err
}
