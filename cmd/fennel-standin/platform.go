package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"os"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
)

func platformCommand(log *slog.Logger) *ff.Command {
	fs := ff.NewFlagSet("platform")
	listen := fs.StringLong("listen", "127.0.0.1:0", "ip:port to serve on")
	vmFile := fs.StringLong("vms", "", "file with the VM list as a JSON array; it can also be set by PUT "+platform.PathVMs)
	return &ff.Command{
		Name: "platform", Usage: "fennel-standin platform [FLAGS]", ShortHelp: "simulate the platform: key-value service and VM list", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			vms, err := readVMs(*vmFile)
			if err != nil {
				return err
			}
			p := platform.New(platform.Options{VMs: vms})
			return serve(ctx, log.With("standin", "platform"), *listen, cancelRequestsWith(ctx, p.Handler()), p.Store().Close)
		},
	}
}

func readVMs(file string) ([]cluster.VM, error) {
	if file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	var vms []cluster.VM
	if err := json.Unmarshal(raw, &vms); err != nil {
		return nil, errors.Wrap(err, "parse VM list")
	}
	return vms, nil
}

// cancelRequestsWith cancels all requests when ctx is canceled. Otherwise an open
// watch would delay the shutdown until stopTimeout.
func cancelRequestsWith(ctx context.Context, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reqCtx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(ctx, cancel)
		defer stop()
		h.ServeHTTP(w, r.WithContext(reqCtx))
	})
}
