package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/peterbourgon/ff/v4"

	standinservice "github.com/fennelcourse/fennelcourse/internal/standin/service"
)

func serviceCommand(log *slog.Logger) *ff.Command {
	fs := ff.NewFlagSet("service")
	listen := fs.StringLong("listen", "127.0.0.1:0", "ip:port to serve on")
	return &ff.Command{
		Name: "service", Usage: "fennel-standin service [FLAGS]", ShortHelp: "simulate a plain service (deposits, bookings)", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			s := standinservice.New(func() {
				log.Error("service crash")
				os.Exit(crashExitCode)
			})
			return serve(ctx, log.With("standin", "service"), *listen, s.Handler(), func() {})
		},
	}
}
