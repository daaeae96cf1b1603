// Command stage2 starts the deployments of the second review's cases, with stand-ins for the replicas, the platform's store
// and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stage2 replica|truncated|drained")
		os.Exit(exitFailed)
	}
	switch os.Args[1] {
	case "replica":
		if err := replicaMain(os.Args[2:]); err != nil {
			fmt.Println(err)
			os.Exit(exitFailed)
		}
	case "drained":
		os.Exit(runCase(drained))
	case "truncated":
		os.Exit(runCase(truncated))
	default:
		os.Exit(exitFailed)
	}
}

// runCase runs a case with or without its disruption and returns the exit code.
func runCase(run func(w *world, trouble bool) (broken []string, err error)) int {
	w, err := newWorld()
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer w.close()
	go w.closeOnSignal()
	broken, err := run(w, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		w.note("BROKEN %s", line)
		fmt.Println(line)
	}
	switch {
	case len(broken) > 0:
		return exitBroken
	case err != nil:
		w.note("not run: %v", err)
		fmt.Println(err)
		return exitFailed
	}
	w.note("the rule held")
	return exitHeld
}
