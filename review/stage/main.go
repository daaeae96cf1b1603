// Command stage plays one case of the review: it starts a store, backend servers and callers as
// stand-ins and the daemon of the deploy file as separate processes, plays the case's disruption
// and checks one rule by what callers and servers see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes, as the cases' scripts return them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun bounds a whole run; the scripts may take 120 seconds.
const maxRun = 110 * time.Second

// scene is one case. trouble is false for the run without the disruption. play returns what broke
// the rule, and an error if the case could not run.
type scene func(s *stage, trouble bool) (broken []string, err error)

func scenes() map[string]scene {
	return map[string]scene{
		"bytes-no-response": playBytesNoResponse,
		"move-model-route":  playMoveModelRoute,
		"slow-reader":       playSlowReader,
		"escaped-path":      playEscapedPath,
		"accepted-config":   playAcceptedConfig,
		"full-queue":        playFullQueue,
		"raw-path":          playRawPath,
		"switch-protocols":  playSwitchProtocols,
		"uploads":           playUploads,
	}
}

func main() {
	name := flag.String("scene", "", "the case to play")
	daemon := flag.String("daemon", "target/fenneld", "the daemon's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(*name, *daemon, *record, *trouble))
}

func run(name, daemon, recordPath string, trouble bool) int {
	play := scenes()[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown scene %q\n", name)
		return exitFailed
	}
	s, err := newStage(daemon, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	timeout := time.AfterFunc(maxRun, func() {
		s.close()
		fmt.Fprintln(os.Stderr, "the case could not run: it took too long")
		os.Exit(exitFailed)
	})
	defer timeout.Stop()
	broken, err := play(s, trouble)
	s.close()
	switch {
	case err != nil:
		s.record("could not run", "err", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case len(broken) > 0:
		for _, text := range broken {
			s.record("broken", "what", text)
			fmt.Println("broken:", text)
		}
		return exitBroken
	}
	s.record("held")
	fmt.Println("held")
	return exitHeld
}
