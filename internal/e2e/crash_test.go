package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/gateway"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

const (
	poisonMarker = "ultramarine"
	// refusalsEach is how often every node refuses the poison before the test ends.
	refusalsEach = 10
)

var poisonBody = strings.Replace(chatBody(8, true), "cold toes", poisonMarker, 1)

// tally counts the answers to innocent requests.
type tally struct {
	mu                  sync.Mutex
	answered, condemned int
	// refused counts honest refusals by code and run state.
	refused map[string]int
	wrong   []string
}

func (c *tally) note(body string, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, whole := streamText(r.body)
	switch {
	case r.err == nil && r.status == http.StatusOK && whole && text == standinengine.Text([]byte(body)):
		c.answered++
	case strings.Contains(r.body, string(fennelerr.Quarantined)):
		c.condemned++
	case r.err == nil && r.header.Get("Retry-After") != "":
		var doc struct {
			Error struct {
				Code string `json:"code"`
				Run  string `json:"fennel_run"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(r.body), &doc); err != nil {
			c.wrong = append(c.wrong, r.body)
		}
		c.refused[doc.Error.Code+" "+doc.Error.Run]++
	default:
		c.wrong = append(c.wrong, fmt.Sprintf("%+v", r))
	}
}

// One customer's question crashes every engine that works on it, and the web shop
// sends it again and again, each time through the next node. The engines come
// back, as the platform restarts them. Without a memory that all nodes share, the
// question takes down replica after replica, and everybody waits at the counter.
func TestPoisonRequestThroughThreeNodes(t *testing.T) {
	s := newSystem(t)
	for i := range 6 {
		s.engine("serra-a", cluster.DomainID(fmt.Sprintf("rack-%d", i/2)), "--can-continue", "--token-interval", "5ms", "--crash-marker", poisonMarker)
	}
	s.publish()
	for i := range 3 {
		s.startNode(cluster.NodeID(fmt.Sprintf("serra-a-%d", i+1)), "serra-a", "", "")
	}
	s.apply(fitRules)
	for _, n := range s.nodes {
		s.awaitWhole(n, 3)
		s.awaitServing(n)
	}

	over := make(chan struct{})
	var senders sync.WaitGroup
	innocents := tally{refused: map[string]int{}}
	for i, n := range s.nodes {
		for k := range 2 {
			senders.Go(func() { s.sendInnocents(n, 100_000*(2*i+k+1), &innocents, over) })
		}
	}
	done := make(chan poisonResult, 1)
	senders.Go(func() { done <- s.sendPoison() })
	crashes := 0
	var result poisonResult
	for result.refused == nil {
		select {
		case result = <-done:
		case <-time.After(pollEvery):
			crashes += s.restartCrashed()
		}
	}
	for _, n := range s.nodes { // every replica comes back
		require.Eventually(t, func() bool {
			crashes += s.restartCrashed()
			return s.wholeAt(n) == 3
		}, waitTimeout, pollEvery)
	}
	close(over)
	senders.Wait()

	t.Logf("replicas killed %d; all nodes refuse after %v and %d sends; slowest refusal after that %v",
		crashes, result.known, result.sends, result.slowest)
	t.Logf("innocents answered %d, refused %v, quarantined %d, other %d",
		innocents.answered, innocents.refused, innocents.condemned, len(innocents.wrong))
	require.Empty(t, innocents.wrong)
	require.Zero(t, innocents.condemned)
	require.NotZero(t, innocents.answered)
	require.Equal(t, 2, crashes)
	for _, r := range result.refused {
		requireRefused(t, r, fennelerr.Quarantined, fennelerr.NotRun)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		require.Contains(t, r.body, "crashed")
	}
}

func (s *system) sendInnocents(n *node, first int, c *tally, over <-chan struct{}) {
	for i := first; ; i++ {
		select {
		case <-over:
			return
		default:
		}
		f := s.chatAside(n, i, 16, true)
		c.note(f.body, <-f.got)
	}
}

// poisonResult is what the sender of the poison saw.
type poisonResult struct {
	sends int
	// known is when the last node refused it at once, after the first send.
	known time.Duration
	// refused are the refusals after that, slowest the longest that one took.
	refused []reply
	slowest time.Duration
}

// sendPoison sends the poison through the nodes in turn until each has refused
// it often.
func (s *system) sendPoison() (out poisonResult) {
	began := time.Now()
	refusedBy := map[*node]bool{}
	for len(out.refused) < refusalsEach*len(s.nodes) && time.Since(began) < waitTimeout {
		n := s.nodes[out.sends%len(s.nodes)]
		out.sends++
		sent := time.Now()
		r := s.call(n, http.MethodPost, engine.ChatPath, poisonBody, nil)
		switch {
		case len(refusedBy) == len(s.nodes):
			out.refused = append(out.refused, r)
			out.slowest = max(out.slowest, time.Since(sent))
		case r.status == fennelerr.Quarantined.HTTPStatus() && r.header.Get(gateway.HeaderRun) == string(fennelerr.NotRun):
			refusedBy[n] = true
			out.known = time.Since(began)
		}
	}
	if out.refused == nil {
		out.refused = []reply{}
	}
	return out
}

// restartCrashed starts the engines that ended anew, on other addresses, as the
// platform does, and returns how many it were.
func (s *system) restartCrashed() (crashed int) {
	s.t.Helper()
	for id, p := range s.engines {
		select {
		case <-p.done:
		default:
			continue
		}
		crashed++
		s.engines[id] = start(s.t, string(id), "fennel-standin", p.cmd.Args[1:]...)
		s.vm(id).Addr = s.engines[id].await(listening)
	}
	if crashed > 0 {
		s.publish()
	}
	return crashed
}
