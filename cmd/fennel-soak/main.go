// Command fennel-soak plays random series of faults against real daemons and says
// which promises were not kept.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/fennelcourse/fennelcourse/internal/soak"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := ff.NewFlagSet("fennel-soak")
	binary := flags.StringLong("fenneld", "", "the daemon's path (required)")
	seed := flags.Uint64Long("seed", 1, "the first seed")
	seeds := flags.IntLong("seeds", 1, "how many seeds to play, one after the other")
	nodes := flags.IntLong("nodes", 3, "daemons")
	callers := flags.IntLong("callers", 12, "callers at a time")
	faults := flags.DurationLong("faults", 10*time.Second, "how long things are broken, for each seed")
	ailing := flags.BoolLongDefault("ailing", true, "let backend servers fail by themselves, break answers off and mix them up, too")
	verbose := flags.BoolLong("verbose", "print each fault as it begins")
	cmd := &ff.Command{Name: "fennel-soak", Usage: "fennel-soak --fenneld PATH [--seed N] [--seeds K]", Flags: flags,
		ShortHelp: "break things around real daemons and check what callers and backend servers see",
		Exec:      func(context.Context, []string) error { return nil }}
	err := cmd.Parse(args)
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(ffhelp.Command(cmd))
		return 0
	case err != nil || *binary == "":
		fmt.Fprintln(os.Stderr, "fennel-soak: --fenneld PATH is required; see fennel-soak --help:", err)
		return 2
	}
	failed := 0
	for s := *seed; s < *seed+uint64(*seeds); s++ {
		opts := soak.Options{Binary: *binary, Seed: s, Nodes: *nodes, Callers: *callers, FaultDuration: *faults, ServerFaults: *ailing, Log: func(string, ...any) {}}
		if *verbose {
			opts.Log = func(format string, args ...any) { fmt.Printf("  "+format+"\n", args...) }
		}
		if !play(opts) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", *seeds-failed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// play runs one seed and prints what came of it; logs are kept if it failed.
func play(opts soak.Options) bool {
	dir, err := soak.MakeDir(opts.Seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fennel-soak:", err)
		return false
	}
	opts.Dir = dir
	result, err := soak.Run(opts)
	if err != nil {
		fmt.Printf("seed %d: not played: %v (logs in %s)\n", opts.Seed, err, dir)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d whole, %d refused, %d broken, %d findings\n", result.Seed, len(result.Faults), result.Completed, result.Refused, result.Failed, len(result.Findings))
	if len(result.Findings) == 0 {
		_ = os.RemoveAll(dir) // logs of a run without a finding
		return true
	}
	for _, finding := range result.Findings {
		fmt.Println("  finding:", finding)
	}
	fmt.Printf("  faults: %s\n  logs in %s\n", strings.Join(result.Faults, "; "), dir)
	return false
}
