package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

func engineCommand(log *slog.Logger) *ff.Command {
	fs := ff.NewFlagSet("engine")
	listen := fs.StringLong("listen", "127.0.0.1:0", "ip:port to serve on")
	vm := fs.StringLong("vm", "", "ID of the VM that the engine runs on (required)")
	checks := fs.BoolLong("checks-fence", "reject orders with an old fencing token")
	canContinue := fs.BoolLong("can-continue", "continue streams that another replica started")
	var opts standinengine.Options
	fs.DurationVar(&opts.TokenInterval, 0, "token-interval", standinengine.DefaultTokenInterval, "time between consecutive tokens of a request")
	fs.DurationVar(&opts.PrefillPerBlock, 0, "prefill-per-block", 0, "time added to the first token for each uncached prompt block")
	fs.IntVar(&opts.MaxRunning, 0, "max-running", standinengine.DefaultMaxRunning, "maximum number of requests in the batch")
	fs.IntVar(&opts.MaxWaiting, 0, "max-waiting", 0, "maximum number of waiting requests (0: four times max-running)")
	fs.DurationVar(&opts.MaxGap, 0, "max-gap", standinengine.DefaultMaxGap, "advertised maximum time between two writes on a stream")
	fs.DurationVar(&opts.LoadTime, 0, "load-time", 0, "time to load a model or version")
	fs.DurationVar(&opts.LoadLag, 0, "load-lag", standinengine.DefaultLoadLag, "maximum age of the load report")
	fs.DurationVar(&opts.CacheEventLag, 0, "cache-event-lag", 0, "delay before cache events are published")
	fs.IntVar(&opts.CacheEventGap, 0, "cache-event-gap", 0, "drop every n-th cache event (0: none)")
	fs.StringVar(&opts.CrashMarker, 0, "crash-marker", "", "crash the engine on a request whose body contains this text")
	fs.DurationVar(&opts.ResumeGrace, 0, "resume-grace", 30*time.Second, "how long a request without a connection can be resumed")
	return &ff.Command{
		Name: "engine", Usage: "fennel-standin engine --vm ID [FLAGS]", ShortHelp: "simulate the model engine of one VM", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *vm == "" {
				return fennelerr.New(fennelerr.InvalidRequest, "the VM ID is required").WithField("--vm")
			}
			opts.VM, opts.ChecksFence, opts.CanContinue = cluster.VMID(*vm), *checks, *canContinue
			opts.OnCrash = func() {
				log.Error("engine crash", "vm", *vm)
				os.Exit(crashExitCode)
			}
			s := standinengine.New(opts)
			defer s.Close()
			return serve(ctx, log.With("standin", "engine", "vm", *vm), *listen, s.Handler(), s.Close)
		},
	}
}
