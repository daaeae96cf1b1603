package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// platformCalls returns how many calls the platform has received.
func (s *system) platformCalls() int64 {
	s.t.Helper()
	resp, err := http.Get(s.platform + platform.PathCalls)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var byKind map[string]int64
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&byKind))
	sum := int64(0)
	for _, n := range byKind {
		sum += n
	}
	return sum
}

// platformCallRate measures the platform's calls per second over d.
func (s *system) platformCallRate(d time.Duration) float64 {
	s.t.Helper()
	before := s.platformCalls()
	<-time.After(d) // the length of the measurement, not a wait for an event
	return float64(s.platformCalls()-before) / d.Seconds()
}

const rateWindow = 6 * time.Second

// outageRates holds the platform's calls per second before, during and after an outage.
type outageRates struct{ before, during, after float64 }

// The platform's services fail or stop answering for all nodes, and later recover for
// all at once. Chats must be answered throughout; a deposit, which needs a claim in the
// store, must be refused at once as not run. If all nodes called the recovered platform
// at once, they could overload it again: its calls must grow with the number of zones
// and not with the number of nodes.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	kinds := map[string]platform.Faults{
		"down":   {Store: memstore.Faults{Down: true}, VMsDown: true},
		"silent": {Silent: true},
	}
	sizes := map[string][]int{"down": {2, 8}, "silent": {4}}
	for kind, faults := range kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			rates := map[int]outageRates{}
			for _, nodes := range sizes[kind] {
				rates[nodes] = platformOutage(t, nodes, faults)
				t.Logf("%s, %d nodes: %+v calls per second", kind, nodes, rates[nodes])
			}
			if few, many := rates[2], rates[8]; kind == "down" {
				require.Less(t, many.before, 2*few.before+1, "calls grow with the nodes")
				require.Less(t, many.after, 2*few.after+3, "calls grow with the nodes")
			}
		})
	}
}

func platformOutage(t *testing.T, nodes int, faults platform.Faults) outageRates {
	s := newSystem(t)
	for range 2 {
		s.startEngine(zone, "rack-1")
	}
	s.startService(zone, "caixa")
	s.publish()
	for i := range nodes {
		s.startNode(cluster.NodeID(fmt.Sprintf("serra-a-%d", i+1)), zone, "", "")
	}
	s.applyRules(baseRules)
	var chatLoops []*chatLoop
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	var r outageRates
	r.before = s.platformCallRate(rateWindow)
	for _, n := range s.nodes[:2] {
		chatLoops = append(chatLoops, s.startChats(n))
	}
	s.faults(faults)
	r.during = s.platformCallRate(rateWindow)
	for _, n := range s.nodes[:2] {
		reply := s.call(n, http.MethodPost, "/deposits/42", `{"amount":40}`, nil, "Idempotency-Key", "outage-"+n.name)
		require.Equal(t, http.StatusServiceUnavailable, reply.status, "%+v", reply)
		require.Equal(t, "not-run", reply.header.Get("Fennel-Run"))
		require.NotEmpty(t, reply.header.Get("Retry-After"))
	}
	for _, p := range chatLoops {
		p.end()
		require.Zero(t, p.refused.Load(), "refused during the outage")
		require.Positive(t, p.answered.Load())
		p.finish()
	}
	s.faults(platform.Faults{})
	r.after = s.platformCallRate(rateWindow)
	for _, n := range s.nodes[:2] {
		s.awaitNoProblem(func() string {
			reply := s.call(n, http.MethodPost, "/deposits/42", `{"amount":40}`, nil, "Idempotency-Key", "after-"+n.name)
			if reply.status != http.StatusCreated {
				return fmt.Sprintf("%+v", reply)
			}
			return ""
		})
	}
	return r
}

// An entry VM is replaced while the platform is down. The new node has no state and
// can't ask the platform. It must fetch rules, grouping and VM list from its peers and
// then serve as they do; otherwise each replacement during a long outage would reduce
// the number of serving nodes.
func TestNodeReplacedWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	s, _ := smallSystem(t)
	s.faults(platform.Faults{Silent: true})
	s.nodes[1].kill()
	s.nodes = s.nodes[:1]
	n := s.startNode("serra-a-2", zone, "", "")
	require.Eventually(t, func() bool { return isReady(s, n) }, waitTimeout, pollEvery)
	s.awaitServing(n)
}

// One availability zone loses its connection to the platform while the other keeps it,
// and the nodes of the two zones still reach each other. Callers of both zones must be
// served, a rule applied through the other zone must come into force in both, and the
// disconnected zone must regroup nothing, since it can't prove that it holds the lease.
func TestZoneDisconnectedFromPlatform(t *testing.T) {
	t.Parallel()
	const disconnected = cluster.ZoneID("serra-b")
	s := newSystem(t)
	connectedWatch, w := s.watchCommitted(zone), s.watchCommitted(disconnected)
	for _, z := range []cluster.ZoneID{zone, disconnected} {
		for range 5 {
			s.startEngine(z, cluster.DomainID("rack-"+z))
		}
	}
	s.startService(zone, "caixa")
	s.publish()
	toPlatform := newRelay(s, s.platform)
	s.startNode("serra-a-1", zone, "", "")
	s.startNode("serra-b-1", disconnected, toPlatform.url, "")
	s.startNode("serra-b-2", disconnected, toPlatform.url, "")
	s.applyRules(baseRules)
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	s.awaitNoProblem(func() string {
		if n := len(w.assigned()); n != 4 {
			return fmt.Sprintf("%d VMs of the disconnected zone are in replicas", n)
		}
		return ""
	})
	before := w.assigned()
	for _, n := range s.nodes[1:] {
		for _, a := range before {
			n.await(healthyLogLine(a))
		}
	}
	toPlatform.muted.Store(true)
	chatLoops := []*chatLoop{s.startChats(s.nodes[0]), s.startChats(s.nodes[1]), s.startChats(s.nodes[2])}
	for _, n := range s.nodes[1:] {
		n.await(`msg="placement lease (acquisition failed|not extended)"|msg="vm list unavailable"|event=rules_check_failed`)
	}
	lost := s.vms[5].ID
	s.engines[lost].kill()
	for _, n := range s.nodes[1:] {
		n.await(unhealthyLogLine(before[lost]))
	}
	viaOne := *s
	viaOne.nodes = s.nodes[:1]
	out, code := viaOne.ctl("rules", "apply", "--author", "Ana", s.rulesFile("cut", limitLine(50, "Ana")))
	require.Zero(t, code, out)
	revision := s.rulesRevision()
	for _, n := range s.nodes {
		n.awaitRevision(revision)
	}
	for _, p := range chatLoops {
		answered := p.answered.Load()
		require.Eventually(t, func() bool { return p.answered.Load() > answered }, waitTimeout, pollEvery)
		p.finish()
	}
	require.Equal(t, before, w.assigned(), "the zone regrouped without the lease")
	toPlatform.muted.Store(false)
	s.awaitCommitted(w, lost, false)
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	connectedWatch.check(s, s.nodes[0])
	w.check(s, s.nodes[1:]...)
}
