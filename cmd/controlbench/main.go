// Command controlbench measures what the nodes' control traffic costs and how
// fast news spreads: real membership, suspect tracking and UDP on loopback, all
// nodes in one process. Its output goes into docs/membership.md.
//
//	controlbench cost --nodes 4,8,16,25,50 --seconds 10
//	controlbench spread --nodes 25 --trials 12
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) (status int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := rootCommand()
	if err := root.ParseAndRun(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Command(root))
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func rootCommand() *ff.Command {
	costFlags := ff.NewFlagSet("cost")
	costNodes := costFlags.StringLong("nodes", "4,8,16,25,50", "nodes of a zone, one run for each number")
	zones := costFlags.IntLong("zones", 1, "zones of that many nodes")
	alone := costFlags.BoolLong("alone", "do not run the naive design beside it")
	seconds := costFlags.IntLong("seconds", 10, "how long each run is measured")
	spreadFlags := ff.NewFlagSet("spread")
	spreadNodes := spreadFlags.IntLong("nodes", 25, "nodes of a zone")
	spreadZones := spreadFlags.IntLong("zones", 1, "zones of that many nodes")
	trials := spreadFlags.IntLong("trials", 20, "events measured at each loss")
	cost := &ff.Command{
		Name: "cost", Usage: "controlbench cost [FLAGS]", ShortHelp: "bytes, datagrams, CPU and memory per node", Flags: costFlags,
		Exec: func(ctx context.Context, _ []string) error {
			return runCost(ctx, *costNodes, *zones, *alone, time.Duration(*seconds)*time.Second)
		},
	}
	spread := &ff.Command{
		Name: "spread", Usage: "controlbench spread [FLAGS]", ShortHelp: "time for news to reach all nodes", Flags: spreadFlags,
		Exec: func(ctx context.Context, _ []string) error {
			return runSpread(ctx, *spreadZones, *spreadNodes, *trials)
		},
	}
	return &ff.Command{Name: "controlbench", Usage: "controlbench SUBCOMMAND", Subcommands: []*ff.Command{cost, spread}}
}

func parseNumbers(list string) ([]int, error) {
	var numbers []int
	for _, field := range strings.Split(list, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 {
			return nil, &usageError{flag: "nodes", value: field}
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}

// usageError says which flag cannot be used.
type usageError struct{ flag, value string }

// Error implements error.
func (e *usageError) Error() string {
	return fmt.Sprintf("flag %s: %q is not a number of at least 1", e.flag, e.value)
}
