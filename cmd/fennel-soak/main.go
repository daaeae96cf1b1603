// Command fennel-soak injects random series of faults into a system of real daemons and
// reports violated guarantees.
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

func main() {
	soak.RunHelper()
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := ff.NewFlagSet("fennel-soak")
	binary := flags.StringLong("fenneld", "", "the daemon's path (required)")
	seed := flags.Uint64Long("seed", 1, "the first seed")
	seeds := flags.IntLong("seeds", 1, "number of seeds to run, one after the other")
	nodes := flags.IntLong("nodes", 3, "daemons")
	callers := flags.IntLong("callers", 12, "number of concurrent callers")
	faults := flags.DurationLong("faults", 10*time.Second, "time in which faults are injected, for each seed")
	serverFaults := flags.BoolLongDefault("ailing", true, "also make backend servers return errors, truncate responses, omit events and swap responses")
	serverSignals := flags.BoolLongDefault("signals", true, "also make backend servers ask for no requests and say that they leave")
	serverCuts := flags.BoolLongDefault("cuts", false, "also cut the nodes off from most backend servers, both ways or one way")
	routeMoves := flags.BoolLongDefault("moves", true, "also move a route of calls with a model between plain services")
	silence := flags.BoolLong("silence", "stop servers and nodes for about a second during longer streams, in place of all other faults")
	singleSilences := flags.BoolLong("silence-in-turn", "also stop the servers of one failure domain after the other; only with --silence")
	uploads := flags.IntLong("uploads", 0, "number of callers that send large bodies at once, some of which read slowly, in place of all other faults")
	storeOutages := flags.IntLong("store-outages", 0, "number of outages of the store in a row, after each of which a caller's key is removed, in place of all other faults")
	storeCuts := flags.IntLong("store-cuts", 0, "number of times in a row that one node is cut off from the store while servers leave, in place of all other faults")
	memoryMB := flags.IntLong("memory-mb", 0, "the daemons' memory, over which --uploads must not bring them; 0 for no limit")
	verbose := flags.BoolLong("verbose", "print each fault when it is injected")
	cmd := &ff.Command{Name: "fennel-soak", Usage: "fennel-soak --fenneld PATH [--seed N] [--seeds K]", Flags: flags,
		ShortHelp: "inject faults into a system of real daemons and check the responses",
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
		mixed := !*silence && *storeOutages+*storeCuts == 0
		opts := soak.Options{Binary: *binary, Seed: s, Nodes: *nodes, Callers: *callers, FaultDuration: *faults, ServerFaults: *serverFaults && mixed, ServerSignals: *serverSignals && mixed, ServerCuts: *serverCuts && !*silence, RouteMoves: *routeMoves && mixed, StoreOutages: *storeOutages, StoreCuts: *storeCuts, Silence: *silence, SingleSilences: *silence && *singleSilences, Uploads: *uploads, MemoryMB: *memoryMB, Log: func(string, ...any) {}}
		if *verbose {
			opts.Log = func(format string, args ...any) { fmt.Printf("  "+format+"\n", args...) }
		}
		if !runSeed(opts) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", *seeds-failed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// runSeed runs one seed, prints its result and reports whether it passed. It keeps the
// logs of a failed run.
func runSeed(opts soak.Options) bool {
	dir, err := soak.MakeDir(opts.Seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fennel-soak:", err)
		return false
	}
	opts.Dir = dir
	result, err := soak.Run(opts)
	if err != nil {
		fmt.Printf("seed %d: run failed: %v (logs in %s)\n", opts.Seed, err, dir)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d completed, %d refused, %d failed, %d ran on several replicas, %d findings\n", result.Seed, len(result.Faults), result.Completed, result.Refused, result.Failed, result.Repeated, len(result.Findings))
	if opts.Silence {
		fmt.Printf("  streams: %d begun, %d ended by a node with time left, %d broken off by a server, %d at their deadline\n", result.Begun, result.Ended, result.Broken, result.Late)
	}
	if opts.Uploads > 0 {
		fmt.Printf("  large bodies: %d answered, %d of them read slowly, %d refused; peak memory %d kB of %d MB\n", result.Uploads, result.SlowAnswers, result.RefusedUploads, result.PeakKB, opts.MemoryMB)
	}
	if len(result.Findings) == 0 {
		_ = os.RemoveAll(dir) // only findings need the logs
		return true
	}
	for _, finding := range result.Findings {
		fmt.Println("  finding:", finding)
	}
	fmt.Printf("  faults: %s\n  logs in %s\n", strings.Join(result.Faults, "; "), dir)
	return false
}
