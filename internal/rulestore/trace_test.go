package rulestore

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// TestTraces replays recorded events and compares the decisions with those in the
// trace. The format is described in testdata/traces/README.md.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			tr := readTrace(t, name)
			require.Equal(t, strings.Join(tr.expected, "\n"), strings.Join(tr.replay(), "\n"))
		})
	}
}

// trace is a recorded sequence of one node's events and the expected decisions.
type trace struct {
	seed     uint64
	events   []traceEvent
	end      time.Duration
	expected []string
}

type traceEvent struct {
	at time.Duration
	ev event
	// watcher, if set, applies to the ticks that follow.
	watcher *bool
}

func readTrace(t *testing.T, name string) *trace {
	f, err := os.Open(name)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	tr := &trace{}
	decisions := false
	for lines := bufio.NewScanner(f); lines.Scan(); {
		words := strings.Fields(lines.Text())
		switch {
		case len(words) == 0 || words[0] == "#":
		case words[0] == "decisions":
			decisions = true
		case decisions:
			tr.expected = append(tr.expected, strings.Join(words, " "))
		case words[0] == "seed":
			tr.seed = uint64(number(t, words[1]))
		default:
			tr.add(t, words)
		}
	}
	return tr
}

func (tr *trace) add(t *testing.T, words []string) {
	at, err := time.ParseDuration(words[0])
	require.NoError(t, err)
	arg := func(i int) string { return words[i+2] }
	failed := words[len(words)-1] == "failed"
	e := traceEvent{at: at}
	switch words[1] {
	case "duty":
		watcher := arg(0) == "yes"
		e.watcher = &watcher
	case "shown":
		e.ev = peerObserved{cluster.NodeID(arg(0)), number(t, arg(1))}
	case "answered":
		e.ev = fetchDone{cluster.NodeID(arg(0)), !failed}
	case "checked":
		e.ev = checkDone{}
		if !failed {
			e.ev = checkDone{number(t, arg(0)), true}
		}
	case "read":
		e.ev = readDone{!failed}
	case "watched":
		e.ev = watchObserved{number(t, arg(0))}
	case "in-force":
		e.ev = adopted{number(t, arg(0))}
	case "end":
		tr.end = at
		return
	default:
		require.Fail(t, "unknown event", "%q", words)
	}
	tr.events = append(tr.events, e)
}

func number(t *testing.T, s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	require.NoError(t, err)
	return n
}

// replay feeds the events and the ticks between them to a state and returns its
// decisions.
func (tr *trace) replay() []string {
	var log []string
	start := time.Unix(0, 0)
	s := newState(DefaultTiming(), rand.New(rand.NewPCG(tr.seed, tr.seed)), start)
	watcher := false
	events := tr.events
	for at := time.Duration(0); at <= tr.end; at += tickInterval {
		for len(events) > 0 && events[0].at <= at {
			e := events[0]
			events = events[1:]
			if e.watcher != nil {
				watcher = *e.watcher
				continue
			}
			if !s.awaits(e.ev) {
				log = append(log, fmt.Sprintf("%s answer without a question", e.at))
			}
			log = append(log, describe(e.at, s.step(e.ev, start.Add(e.at)))...)
		}
		log = append(log, describe(at, s.step(ticked{watcher}, start.Add(at)))...)
	}
	return log
}

// awaits reports whether the state expects the event: the end of a call must follow
// the decision to make it.
func (s *state) awaits(ev event) bool {
	switch ev.(type) {
	case fetchDone:
		return s.fetching
	case checkDone, readDone:
		return s.storeCallActive
	default:
		return true
	}
}

func describe(at time.Duration, actions []action) []string {
	var lines []string
	for _, a := range actions {
		word := strings.TrimPrefix(fmt.Sprintf("%T", a), "rulestore.")
		if fetch, ok := a.(fetchPeer); ok {
			word += " " + string(fetch.node)
		}
		lines = append(lines, fmt.Sprintf("%s %s", at, word))
	}
	return lines
}
