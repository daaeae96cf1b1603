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
	// refusalsPerNode is how many refusals per node the test collects before it ends.
	refusalsPerNode = 10
)

var poisonBody = strings.Replace(chatBody(8, true), "cold toes", poisonMarker, 1)

// answerCounts counts the answers to requests that crash nothing.
type answerCounts struct {
	mu                    sync.Mutex
	answered, quarantined int
	// refused counts refusals with Retry-After by code and run state.
	refused    map[string]int
	unexpected []string
}

func (c *answerCounts) add(body string, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, complete := streamText(r.body)
	switch {
	case r.err == nil && r.status == http.StatusOK && complete && text == standinengine.Text([]byte(body)):
		c.answered++
	case strings.Contains(r.body, string(fennelerr.Quarantined)):
		c.quarantined++
	case r.err == nil && r.header.Get("Retry-After") != "":
		var doc struct {
			Error struct {
				Code string `json:"code"`
				Run  string `json:"fennel_run"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(r.body), &doc); err != nil {
			c.unexpected = append(c.unexpected, r.body)
		}
		c.refused[doc.Error.Code+" "+doc.Error.Run]++
	default:
		c.unexpected = append(c.unexpected, fmt.Sprintf("%+v", r))
	}
}

// One request crashes every engine that runs it, and its caller repeats it, each time
// through the next node, while the platform restarts the engines. Unless the nodes
// share their records of crashes, the request takes down replica after replica.
func TestPoisonRequestThroughThreeNodes(t *testing.T) {
	s := newSystem(t)
	for i := range 6 {
		s.startEngine("serra-a", cluster.DomainID(fmt.Sprintf("rack-%d", i/2)), "--can-continue", "--token-interval", "5ms", "--crash-marker", poisonMarker)
	}
	s.publish()
	for i := range 3 {
		s.startNode(cluster.NodeID(fmt.Sprintf("serra-a-%d", i+1)), "serra-a", "", "")
	}
	s.applyRules(baseRules)
	for _, n := range s.nodes {
		s.awaitHealthy(n, 3)
		s.awaitServing(n)
	}

	stop := make(chan struct{})
	var senders sync.WaitGroup
	others := answerCounts{refused: map[string]int{}}
	for i, n := range s.nodes {
		for k := range 2 {
			senders.Go(func() { s.sendOtherChats(n, 100_000*(2*i+k+1), &others, stop) })
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
	for _, n := range s.nodes { // every replica is formed again
		require.Eventually(t, func() bool {
			crashes += s.restartCrashed()
			return s.healthyAt(n) == 3
		}, waitTimeout, pollEvery)
	}
	close(stop)
	senders.Wait()

	t.Logf("replicas crashed: %d; all nodes refuse after %v and %d sends; slowest refusal after that %v",
		crashes, result.allRefuse, result.sends, result.slowest)
	t.Logf("other requests: %d answered, refused %v, %d quarantined, %d unexpected",
		others.answered, others.refused, others.quarantined, len(others.unexpected))
	require.Empty(t, others.unexpected)
	require.Zero(t, others.quarantined)
	require.NotZero(t, others.answered)
	require.Equal(t, 2, crashes)
	for _, r := range result.refused {
		requireRefused(t, r, fennelerr.Quarantined, fennelerr.NotRun)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		require.Contains(t, r.body, "crashed")
	}
}

func (s *system) sendOtherChats(n *node, first int, c *answerCounts, stop <-chan struct{}) {
	for i := first; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		f := s.chatAsync(n, i, 16, true)
		c.add(f.body, <-f.answer)
	}
}

// poisonResult is what the sender of the poison request saw.
type poisonResult struct {
	sends int
	// allRefuse is the time from the first send until every node had refused the request.
	allRefuse time.Duration
	// refused holds the answers after that; slowest is the longest that one took.
	refused []reply
	slowest time.Duration
}

// sendPoison sends the poison request through the nodes in turn until all of them
// refuse it and refusalsPerNode refusals per node have followed.
func (s *system) sendPoison() (out poisonResult) {
	began := time.Now()
	refusedBy := map[*node]bool{}
	for len(out.refused) < refusalsPerNode*len(s.nodes) && time.Since(began) < waitTimeout {
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
			out.allRefuse = time.Since(began)
		}
	}
	if out.refused == nil {
		out.refused = []reply{}
	}
	return out
}

// restartCrashed restarts the engines that have ended, at other addresses, as the
// platform does, and returns their number.
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
