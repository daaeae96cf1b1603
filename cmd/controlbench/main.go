// Command controlbench measures the cost of the control traffic between nodes and the time
// in which events reach all nodes. It runs the real membership service and suspect tracker
// over UDP on loopback, with all nodes in one process. docs/membership.md holds its results.
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
	costNodes := costFlags.StringLong("nodes", "4,8,16,25,50", "nodes per zone; a comma-separated list with one run for each number")
	zones := costFlags.IntLong("zones", 1, "number of zones")
	skipNaive := costFlags.BoolLong("alone", "do not measure the naive design as well")
	seconds := costFlags.IntLong("seconds", 10, "duration of each measurement in seconds")
	spreadFlags := ff.NewFlagSet("spread")
	spreadNodes := spreadFlags.IntLong("nodes", 25, "nodes per zone")
	spreadZones := spreadFlags.IntLong("zones", 1, "number of zones")
	trials := spreadFlags.IntLong("trials", 20, "events measured at each loss rate")
	cost := &ff.Command{
		Name: "cost", Usage: "controlbench cost [FLAGS]", ShortHelp: "bytes, datagrams, CPU and memory per node", Flags: costFlags,
		Exec: func(ctx context.Context, _ []string) error {
			return runCost(ctx, *costNodes, *zones, *skipNaive, time.Duration(*seconds)*time.Second)
		},
	}
	spread := &ff.Command{
		Name: "spread", Usage: "controlbench spread [FLAGS]", ShortHelp: "time until an event has reached all nodes", Flags: spreadFlags,
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

// usageError reports an invalid value of a flag.
type usageError struct{ flag, value string }

// Error returns the message with the flag and its value.
func (e *usageError) Error() string {
	return fmt.Sprintf("flag %s: %q is not a number of at least 1", e.flag, e.value)
}
