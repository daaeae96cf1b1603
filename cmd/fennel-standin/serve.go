package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/httpserver"
)

const (
	readHeaderTimeout = 10 * time.Second
	// stopTimeout limits the wait for requests in progress during shutdown.
	stopTimeout = 5 * time.Second
)

// serve serves h on the address until ctx is canceled, then waits up to stopTimeout
// for requests in progress. Finally it calls closeBackend, which ends those that
// still run.
func serve(ctx context.Context, log *slog.Logger, addr string, h http.Handler, closeBackend func()) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := httpserver.New(ln, httpserver.Options{Name: "standin", Handler: h, ReadHeaderTimeout: readHeaderTimeout, Log: log})
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve() }()
	log.Info("listening", "addr", ln.Addr().String())
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		log.Warn("shutdown incomplete, aborting requests", "error", err)
	}
	closeBackend()
	_ = srv.Close() // closes the connections that are still open after the timeout
	log.Info("stopped")
	return nil
}
