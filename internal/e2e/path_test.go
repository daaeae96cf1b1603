package e2e

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	standinservice "github.com/fennelcourse/fennelcourse/internal/standin/service"
)

// smallSystem is a system of two nodes, two replicas of two VMs and one service.
func smallSystem(t *testing.T, engineArgs ...string) (*system, string) {
	t.Helper()
	s := newSystem(t)
	for _, domain := range []cluster.DomainID{"rack-1", "rack-1", "rack-2", "rack-2"} {
		s.startEngine("serra-a", domain, engineArgs...)
	}
	svc := s.startService("serra-a", "caixa")
	s.publish()
	s.startNode("serra-a-1", "serra-a", "", "")
	s.startNode("serra-a-2", "serra-a", "", "")
	s.applyRules(baseRules)
	for _, n := range s.nodes {
		s.awaitHealthy(n, 2)
		s.awaitServing(n)
	}
	return s, svc
}

func TestChatAndDepositEndToEnd(t *testing.T) {
	s, svc := smallSystem(t)
	for _, n := range s.nodes {
		r := s.call(n, http.MethodPost, engine.ChatPath, chatBody(8, true), nil)
		require.NoError(t, r.err)
		text, complete := streamText(r.body)
		require.True(t, complete, r.body)
		require.Equal(t, standinengine.Text([]byte(chatBody(8, true))), text)
	}
	first := s.call(s.nodes[0], http.MethodPost, "/deposits/42", `{"amount":40}`, nil, "Idempotency-Key", "booking-42")
	require.Equal(t, http.StatusCreated, first.status, first.body)
	var again reply
	require.Eventually(t, func() bool { // in progress until the outcome is in the store
		again = s.call(s.nodes[1], http.MethodPost, "/deposits/42", `{"amount":40}`, nil, "Idempotency-Key", "booking-42")
		return again.status != http.StatusConflict
	}, waitTimeout, pollEvery)
	require.Equal(t, first.body, again.body)
	require.Equal(t, "true", again.header.Get("Fennel-Replayed"))
	require.Equal(t, 1, depositRuns(t, svc, "booking-42"))
}

func depositRuns(t *testing.T, svc, key string) int {
	t.Helper()
	resp, err := http.Get("http://" + svc + standinservice.RunsPath)
	require.NoError(t, err)
	defer resp.Body.Close()
	var runs standinservice.Runs
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&runs))
	return runs.ByKey[key]
}

// A node is stopped with SIGTERM, as when the platform replaces it, while callers read
// long streams through it. A node that stopped at once would abort all of them.
func TestPlannedStopFinishesStreams(t *testing.T) {
	s, _ := smallSystem(t, "--token-interval", "5ms")
	n := s.nodes[0]
	body := chatBody(300, true)
	r := s.call(n, http.MethodPost, engine.ChatPath, body, func() {
		n.signal(syscall.SIGTERM)
		n.await(`msg=stopping .*step="finish requests"`)
	})
	require.NoError(t, r.err)
	text, complete := streamText(r.body)
	require.True(t, complete)
	require.Equal(t, standinengine.Text([]byte(body)), text)
	<-n.done
	require.Zero(t, n.cmd.ProcessState.ExitCode())
	s.awaitServing(s.nodes[1])
}

// A VM is killed in the middle of an answer, and its replica with it. The caller must
// get the complete answer, continued by the other replica.
func TestAnswerContinuesAfterVMIsKilled(t *testing.T) {
	s, _ := smallSystem(t, "--token-interval", "5ms", "--can-continue")
	body := chatBody(200, true)
	r := s.call(s.nodes[0], http.MethodPost, engine.ChatPath, body, func() {
		s.engines[s.runningOn()].kill()
	})
	require.NoError(t, r.err)
	text, complete := streamText(r.body)
	require.True(t, complete, r.body)
	require.Equal(t, standinengine.Text([]byte(body)), text)
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
}

// runningOn returns a VM of a replica that is running a request.
func (s *system) runningOn() cluster.VMID {
	s.t.Helper()
	client := engine.NewProber(0)
	defer client.Close()
	var found cluster.VMID
	require.Eventually(s.t, func() bool {
		for _, vm := range s.vms {
			if vm.Service != "" {
				continue
			}
			state, err := client.State(s.t.Context(), vm.Addr)
			if err == nil && state.Load.Running > 0 {
				found = vm.ID
				return true
			}
		}
		return false
	}, waitTimeout, pollEvery)
	return found
}
