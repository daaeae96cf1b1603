// Command fennel-standin simulates one of the systems that fennelcourse works with: a
// model engine, a plain service, the platform, or the managed platform. It is for
// tests and the quick start only.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// crashExitCode is the exit status of an injected crash. It differs from those of a
// normal stop and of an error.
const crashExitCode = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	log := slog.New(slog.NewTextHandler(os.Stdout, nil))
	root := &ff.Command{
		Name:        "fennel-standin",
		Usage:       "fennel-standin <engine|service|platform|managed> [FLAGS]",
		ShortHelp:   "simulate an engine, a service or the platform for tests and the quick start",
		Subcommands: []*ff.Command{engineCommand(log), serviceCommand(log), platformCommand(log), managedCommand(log)},
	}
	err := root.ParseAndRun(ctx, args)
	if errors.Is(err, ff.ErrHelp) || errors.Is(err, ff.ErrNoExec) {
		fmt.Fprintln(os.Stderr, ffhelp.Command(root))
		return nil
	}
	return err
}
