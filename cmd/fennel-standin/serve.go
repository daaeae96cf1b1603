package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	readHeaderTimeout = 10 * time.Second
	// stopTimeout bounds the wait for calls in progress after a stop signal.
	stopTimeout = 5 * time.Second
)

// serve answers on the address until ctx ends, then lets calls in progress
// finish for stopTimeout. closeBackend ends what still runs after that.
func serve(ctx context.Context, log *slog.Logger, addr string, h http.Handler, closeBackend func()) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	log.Info("listening", "addr", ln.Addr().String())
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		log.Warn("calls cut by stop", "error", err)
	}
	closeBackend()
	_ = srv.Close() // only connections that outlasted the timeout are left
	log.Info("stopped")
	return nil
}
