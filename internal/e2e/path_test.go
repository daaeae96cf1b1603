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

// smallSystem is two nodes before two replicas of two VMs and one plain service.
func smallSystem(t *testing.T, engineArgs ...string) (*system, string) {
	t.Helper()
	s := newSystem(t)
	for _, domain := range []cluster.DomainID{"rack-1", "rack-1", "rack-2", "rack-2"} {
		s.engine("serra-a", domain, engineArgs...)
	}
	svc := s.service("serra-a", "caixa")
	s.publish()
	s.startNode("serra-a-1", "serra-a", "", "")
	s.startNode("serra-a-2", "serra-a", "", "")
	s.apply(fitRules)
	for _, n := range s.nodes {
		s.awaitWhole(n, 2)
		s.awaitServing(n)
	}
	return s, svc
}

func TestWholePath(t *testing.T) {
	s, svc := smallSystem(t)
	for _, n := range s.nodes {
		r := s.call(n, http.MethodPost, engine.ChatPath, chatBody(8, true), nil)
		require.NoError(t, r.err)
		text, whole := streamText(r.body)
		require.True(t, whole, r.body)
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

// A node is replaced while fitters read long answers through it. The platform
// sends SIGTERM; a node that stops at once would cut every one of them.
func TestPlannedStopCutsNoStream(t *testing.T) {
	s, _ := smallSystem(t, "--token-interval", "5ms")
	n := s.nodes[0]
	body := chatBody(300, true)
	r := s.call(n, http.MethodPost, engine.ChatPath, body, func() {
		n.signal(syscall.SIGTERM)
		n.await(`msg=stopping .*step="finish requests"`)
	})
	require.NoError(t, r.err)
	text, whole := streamText(r.body)
	require.True(t, whole)
	require.Equal(t, standinengine.Text([]byte(body)), text)
	<-n.done
	require.Zero(t, n.cmd.ProcessState.ExitCode())
	s.awaitServing(s.nodes[1])
}

// A machine of a replica dies in the middle of an answer: its whole replica is
// gone. The fitter's answer must come whole from the other replica.
func TestKilledVMIsTakenOver(t *testing.T) {
	s, _ := smallSystem(t, "--token-interval", "5ms", "--can-continue")
	body := chatBody(200, true)
	r := s.call(s.nodes[0], http.MethodPost, engine.ChatPath, body, func() {
		s.engines[s.runningOn()].kill()
	})
	require.NoError(t, r.err)
	text, whole := streamText(r.body)
	require.True(t, whole, r.body)
	require.Equal(t, standinengine.Text([]byte(body)), text)
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
}

// runningOn returns a VM of the replica that runs a request now.
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
