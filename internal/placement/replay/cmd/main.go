// Command cmd writes the recorded failure traces, or replays them and prints the tables
// of docs/placement.md.
//
//	go run ./internal/placement/replay/cmd -write
//	go run ./internal/placement/replay/cmd
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/placement/replay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

func main() {
	dir := flag.String("dir", "internal/placement/replay/testdata", "directory of the traces")
	write := flag.Bool("write", false, "regenerate the traces")
	flag.Parse()
	run := printTables
	if *write {
		run = writeTraces
	}
	if err := run(*dir); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func writeTraces(dir string) error {
	for _, s := range replay.Scenarios {
		f, err := os.Create(s.File(dir))
		if err != nil {
			return err
		}
		comment := fmt.Sprintf("scenario %s, seed %d, domains %v", s.Name, s.Seed, s.Layout)
		if err := replay.Generate(s.Seed, s.Layout, s.Length).Write(f, comment); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	return nil
}

func printTables(dir string) error {
	fmt.Println("| trace | rules | weigh | policy | downtime, replica-h | of it large | bound | stranded, VM-h | bound | cut | loads |")
	fmt.Println("|---|---|---|---|---:|---:|---:|---:|---:|---:|---:|")
	for _, s := range replay.Scenarios {
		trace, err := s.Load(dir)
		if err != nil {
			return err
		}
		for _, set := range []replay.RuleSet{replay.Capped, replay.Filling} {
			for _, weigh := range []rules.Weigh{rules.WeighDowntime, rules.WeighStranded} {
				if err := printPair(s, trace, set, weigh); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func printPair(s replay.Scenario, trace replay.Trace, set replay.RuleSet, weigh rules.Weigh) error {
	for _, policy := range []placement.Policy{placement.Naive{}, placement.Weighted{}} {
		r, err := replay.Run(trace, policy, set.Groups(weigh), replay.DefaultTimings())
		if err != nil {
			return err
		}
		fmt.Printf("| %s | %s | %s | %s | %.1f | %.1f | %.1f | %.0f | %.0f | %d | %d |\n", s.Name, set, weigh, r.Policy,
			r.Downtime.Hours(), r.ByGroup["large"].Hours(), r.DowntimeBound.Hours(), r.Stranded.Hours(), r.StrandedBound.Hours(), r.InterruptedReplicas, r.Loads)
	}
	return nil
}
