// Command fenneld is the fennelcourse daemon. One process runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/fennelcourse/fennelcourse/internal/daemon"
	"github.com/fennelcourse/fennelcourse/internal/entry"
	"github.com/fennelcourse/fennelcourse/internal/logqueue"
	"github.com/fennelcourse/fennelcourse/internal/memory"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

func main() {
	// Without a handler, SIGHUP ends the process. One that arrives during startup, after
	// another change of the settings, must not do that.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], reload))
}

func run(args []string, reload <-chan os.Signal) int {
	flags := ff.NewFlagSet("fenneld")
	settingsPath := flags.StringLong("settings", "", "the node's YAML settings file (required)")
	check := flags.BoolLong("check-settings", "check the settings file and exit")
	showVersion := flags.BoolLong("version", "print the version and exit")
	cmd := &ff.Command{Name: "fenneld", Usage: "fenneld --settings FILE [--check-settings]", Flags: flags,
		ShortHelp: "serve callers of models whose replicas span several VMs",
		LongHelp: "Examples:\n  fenneld --settings /etc/fennel/serra-a-1.yaml\n  fenneld --settings serra-a-1.yaml --check-settings\n\n" +
			"SIGTERM or SIGINT shuts down gracefully: no request is cut. A second one cuts the shutdown short.\n" +
			"SIGHUP reloads the datagram keys from the settings file.",
		Exec: func(context.Context, []string) error { return nil }}
	err := cmd.Parse(args, ff.WithEnvVarPrefix("FENNELD"))
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(ffhelp.Command(cmd))
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, "fenneld:", err)
		return exitUsage
	case *showVersion:
		fmt.Println("fenneld", versionText())
		return exitOK
	}
	if *settingsPath == "" {
		*settingsPath = platform.SettingsPath()
	}
	switch {
	case *settingsPath == "":
		fmt.Fprintln(os.Stderr, "fenneld: --settings FILE is required; see fenneld --help")
		return exitUsage
	}
	cfg, err := settings.Load(*settingsPath)
	if err != nil {
		fmt.Fprintf(os.Stderr, "fenneld: %s:\n%v\n", *settingsPath, err)
		return exitUsage
	}
	if *check {
		fmt.Printf("%s: settings of node %s are valid\n", *settingsPath, cfg.Node)
		return exitOK
	}
	return serve(cfg, *settingsPath, reload)
}

func serve(cfg *settings.Settings, path string, reload <-chan os.Signal) int {
	var level slog.Level
	if err := level.UnmarshalText([]byte(cfg.Log.Level)); err != nil {
		fmt.Fprintln(os.Stderr, "fenneld:", err) // unreachable: settings.Load has validated the level
		return exitUsage
	}
	queue := logqueue.New(os.Stdout)
	defer queue.Close()
	log := slog.New(slog.NewTextHandler(queue, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(log) // libraries that use the default logger get the same format
	node, err := newNode(cfg, log)
	if err != nil {
		log.Error("startup failed", "node", cfg.Node, "err", err.Error())
		return exitFailed
	}
	ctx, force, stopSignals := signalContexts(log)
	defer stopSignals()
	go func() {
		for range reload {
			node.Reload(path)
		}
	}()
	if err := node.Run(ctx, force); err != nil {
		log.Error("ended", "node", cfg.Node, "err", err.Error())
		return exitFailed
	}
	return exitOK
}

// node is a daemon for one of the platform drivers.
type node interface {
	Run(ctx, force context.Context) error
	// Reload adopts the settings that may change without a restart.
	Reload(path string)
}

func newNode(cfg *settings.Settings, log *slog.Logger) (node, error) {
	if cfg.Platform.Driver == settings.DriverManaged {
		limitMemory(cfg.Process)
		return entry.New(cfg, platform.New(cfg.Platform.Address), log)
	}
	return daemon.New(cfg, versionText(), log)
}

func limitMemory(p settings.Process) {
	if p.MemoryMB > 0 {
		debug.SetMemoryLimit(memory.HeapLimit(p.MemoryMB))
	}
}

// signalError is the cause of a context that ended with a signal.
type signalError struct{ os.Signal }

// Error implements error.
func (e signalError) Error() string { return "signal " + e.String() }

// signalContexts returns a context that ends with the first stop signal and one that
// ends with the second, and a function that releases both.
func signalContexts(log *slog.Logger) (ctx, force context.Context, stop func()) {
	ctx, cancelCtx := context.WithCancelCause(context.Background())
	force, cancelForce := context.WithCancelCause(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	go func() {
		for _, cancel := range []context.CancelCauseFunc{cancelCtx, cancelForce} {
			if sig, ok := <-ch; ok {
				log.Info("signal received", "signal", sig.String())
				cancel(signalError{sig})
			}
		}
	}()
	return ctx, force, func() { signal.Stop(ch); close(ch); cancelCtx(nil); cancelForce(nil) }
}

func versionText() string {
	if version != "dev" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return version
}
