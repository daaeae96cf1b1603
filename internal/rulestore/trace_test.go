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

// TestTraces replays recorded events and compares the decisions with those stated
// in the trace. The format is in testdata/traces/README.md.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			tr := readTrace(t, name)
			require.Equal(t, strings.Join(tr.stated, "\n"), strings.Join(tr.replay(), "\n"))
		})
	}
}

// trace is a recorded history of one node's events.
type trace struct {
	seed   uint64
	events []traceEvent
	end    time.Duration
	stated []string
}

type traceEvent struct {
	at time.Duration
	ev event
	// duty, when set, changes what the ticks after it say.
	duty *bool
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
			tr.stated = append(tr.stated, strings.Join(words, " "))
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
		duty := arg(0) == "yes"
		e.duty = &duty
	case "shown":
		e.ev = peerShown{cluster.NodeID(arg(0)), number(t, arg(1))}
	case "answered":
		e.ev = peerAnswered{cluster.NodeID(arg(0)), !failed}
	case "checked":
		e.ev = storeChecked{}
		if !failed {
			e.ev = storeChecked{number(t, arg(0)), true}
		}
	case "read":
		e.ev = storeRead{!failed}
	case "watched":
		e.ev = watchShowed{number(t, arg(0))}
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

// replay feeds the events, with the ticks between them, and lists the decisions.
func (tr *trace) replay() []string {
	var log []string
	start := time.Unix(0, 0)
	s := newState(DefaultTiming(), rand.New(rand.NewPCG(tr.seed, tr.seed)), start)
	duty := false
	events := tr.events
	for at := time.Duration(0); at <= tr.end; at += tickEvery {
		for len(events) > 0 && events[0].at <= at {
			e := events[0]
			events = events[1:]
			if e.duty != nil {
				duty = *e.duty
				continue
			}
			if !s.asked(e.ev) {
				log = append(log, fmt.Sprintf("%s answer without a question", e.at))
			}
			log = append(log, describe(e.at, s.step(e.ev, start.Add(e.at)))...)
		}
		log = append(log, describe(at, s.step(ticked{duty}, start.Add(at)))...)
	}
	return log
}

// asked reports whether an event that is an answer follows on a decision.
func (s *state) asked(ev event) bool {
	switch ev.(type) {
	case peerAnswered:
		return s.fetching
	case storeChecked, storeRead:
		return s.askingStore
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
