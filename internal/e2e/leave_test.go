package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/gateway"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// flight is a chat on its way, sent aside.
type flight struct {
	body  string
	begun chan struct{} // closed with the first byte of a stream
	got   chan reply
}

// chatAside sends a chat without waiting for its answer. Each number makes
// another prompt.
func (s *system) chatAside(n *node, number, tokens int, stream bool) *flight {
	f := &flight{begun: make(chan struct{}), got: make(chan reply, 1)}
	f.body = strings.Replace(chatBody(tokens, stream), "cold toes", fmt.Sprintf("fitting %d", number), 1)
	var event func()
	if stream {
		event = func() { close(f.begun) }
	}
	go func() { f.got <- s.call(n, http.MethodPost, engine.ChatPath, f.body, event) }()
	return f
}

// requireWhole waits for the answer and compares it with what engines generate.
func (f *flight) requireWhole(t *testing.T) {
	t.Helper()
	r := <-f.got
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	want := standinengine.Text([]byte(f.body))
	if !strings.Contains(f.body, `"stream":true`) {
		require.Contains(t, r.body, fmt.Sprintf(`"content":%q`, want))
		return
	}
	text, whole := streamText(r.body)
	require.True(t, whole, r.body)
	require.Equal(t, want, text)
}

// servingOf returns the serving VM of the replica that the VM belongs to.
func (s *system) servingOf(id cluster.VMID) cluster.VMID {
	s.t.Helper()
	client := engine.NewProber(0)
	defer client.Close()
	state, err := client.State(s.t.Context(), s.vm(id).Addr)
	require.NoError(s.t, err)
	require.NotEmpty(s.t, state.Assignment.Serving, "%s is in no replica", id)
	return state.Assignment.Serving
}

// The platform is about to take a machine away and says so in its VM list.
// Fitters who are sent to its replica from then on would lose their answers with
// it; those whose answers already run there must get them to the end.
func TestLeavingVMGetsNoNewWorkAndFinishesItsStreams(t *testing.T) {
	s, _ := smallSystem(t)
	member := cluster.VMID("serra-a-vm-1")
	serving := s.servingOf(member)
	s.engineFaults(slow)
	var running []*flight
	for i := range 8 {
		f := s.chatAside(s.nodes[i%len(s.nodes)], i, 200, true)
		running = append(running, f)
		<-f.begun
	}
	s.engineFaults(standinengine.Faults{}, serving)
	require.NotZero(t, s.running(serving))

	s.vm(member).State = cluster.VMLeaving
	told := time.Now()
	s.publish()
	lastWork := s.workUntil(serving, func() bool {
		return !slices.ContainsFunc(s.nodes, func(n *node) bool { return s.wholeAt(n) != 1 })
	})
	before := s.runsOn(serving)
	for i := range 40 {
		f := s.chatAside(s.nodes[i%len(s.nodes)], 1000+i, 1, false)
		f.requireWhole(t)
	}
	require.Equal(t, before, s.runsOn(serving), "new work came to the leaving replica")
	require.NotZero(t, s.running(serving), "its streams still ran while it was left")
	s.engineFaults(standinengine.Faults{})
	for _, f := range running {
		f.requireWhole(t)
	}
	t.Logf("last new work %v after the VM list said leaving (read every 200ms)", lastWork.Sub(told))
	require.Less(t, lastWork.Sub(told), 5*time.Second)
}

// slow makes answers of a few hundred tokens last until a test speeds them up again.
var slow = standinengine.Faults{SlowBy: 200}

// running counts the requests that the engine generates for now.
func (s *system) running(id cluster.VMID) int {
	s.t.Helper()
	client := engine.NewProber(0)
	defer client.Close()
	state, err := client.State(s.t.Context(), s.vm(id).Addr)
	require.NoError(s.t, err)
	return state.Load.Running
}

// workUntil sends chats through all nodes until done, and returns when the last
// run began on the VM.
func (s *system) workUntil(id cluster.VMID, done func() bool) (last time.Time) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	last = time.Now()
	seen := s.runsOn(id)
	for i := 0; !done(); i++ {
		require.True(s.t, time.Now().Before(deadline), "still not left")
		s.chatAside(s.nodes[i%len(s.nodes)], 2000+i, 1, false).requireWhole(s.t)
		if now := s.runsOn(id); now != seen {
			seen, last = now, time.Now()
		}
	}
	return last
}

// The platform replaces an entry VM and sends SIGTERM while fitters read long
// answers, others wait for theirs in one piece, and a deposit is at the service.
// Its balancer goes on sending requests until it sees the node unready. A node
// that stops at once cuts all of them, and the deposit's fate is lost.
func TestPlannedStopFinishesEverything(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.engine("serra-a", "rack-1")
	}
	svc := s.service("serra-a", "caixa")
	l := newLink(t, svc)
	s.vms[2].Addr = l.addr()
	s.publish()
	n := s.startNode("serra-a-1", "serra-a", "", "drain: {notice: 2s}\n")
	other := s.startNode("serra-a-2", "serra-a", "", "")
	s.apply(fitRules)
	s.awaitServing(n)
	s.awaitServing(other)

	s.engineFaults(slow)
	var running []*flight
	for i := range 6 {
		f := s.chatAside(n, i, 200, i%2 == 0)
		running = append(running, f)
		if i%2 == 0 {
			<-f.begun
		}
	}
	require.Eventually(t, func() bool { return s.engineRuns() >= len(running) }, waitTimeout, pollEvery)
	l.hold(toCaller)
	deposit := make(chan reply, 1)
	go func() {
		deposit <- s.call(n, http.MethodPost, "/deposits/42", booking, nil, gateway.HeaderIdempotencyKey, "k")
	}()
	l.awaitHeld(t)

	n.signal(syscall.SIGTERM)
	n.await(`msg=stopping .*step=unready`)
	require.Equal(t, http.StatusServiceUnavailable, s.call(n, http.MethodGet, "/readyz", "", nil).status)
	require.Equal(t, http.StatusOK, s.call(n, http.MethodGet, "/livez", "", nil).status)
	s.chatAside(n, 100, 1, false).requireWhole(t) // the balancer has not noticed yet
	n.await(`msg=stopping .*step="finish requests"`)
	for _, f := range running {
		require.Empty(t, f.got, "all answers still ran when the node stopped accepting")
	}
	s.engineFaults(standinengine.Faults{})
	for _, f := range running {
		f.requireWhole(t)
	}
	l.hold(nothing)
	first := <-deposit
	require.Equal(t, http.StatusCreated, first.status, first.body)
	<-n.done
	require.Zero(t, n.cmd.ProcessState.ExitCode())

	again := s.call(other, http.MethodPost, "/deposits/42", booking, nil, gateway.HeaderIdempotencyKey, "k")
	require.Equal(t, first.body, again.body, "the outcome was recorded before the end")
	require.Equal(t, 1, depositRuns(t, svc, "k"))
}

// An operator is in a hurry: one answer would take for hours. A second signal
// ends the node now; the reader must see that the answer is not whole.
func TestSecondSignalCutsShort(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.engine("serra-a", "rack-1", "--token-interval", "10ms")
	}
	s.publish()
	n := s.startNode("serra-a-1", "serra-a", "", "")
	s.apply(fitRules)
	s.awaitServing(n)
	f := s.chatAside(n, 1, 1_000_000, true)
	<-f.begun
	n.signal(syscall.SIGTERM)
	n.await(`msg=stopping .*step="finish requests"`)
	n.signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(waitTimeout):
		require.FailNow(t, "still running")
	}
	require.Equal(t, 1, n.cmd.ProcessState.ExitCode(), "a cut stop is not a clean one")
	r := <-f.got
	require.Error(t, r.err)
	_, whole := streamText(r.body)
	require.False(t, whole)
}

// A machine of the front desk's service is about to go. Deposits sent to it from
// then on would be lost with it; the one that it works on must come back whole.
func TestLeavingServiceGetsNoNewCalls(t *testing.T) {
	d := newDesk(t)
	spare := start(t, "caixa-2", "fennel-standin", "service", "--listen", "127.0.0.1:0").await(listening)
	d.vms = append(d.vms, cluster.VM{ID: "svc-caixa-2", Zone: "serra-a", Addr: spare, Service: "caixa", State: cluster.VMLive})
	d.publish()
	require.Equal(t, http.StatusCreated, d.deposit(d.nodes[0], "first").status)
	require.Equal(t, 1, d.runs("first"), "the first machine of the list takes the calls")
	d.link.hold(toCaller)
	held := d.depositAside(d.nodes[0], "held")
	d.link.awaitHeld(t)

	d.vms[0].State = cluster.VMLeaving
	told := time.Now()
	d.publish()
	for i, n := range d.nodes {
		for k := 0; ; k++ { // calls that still go to the leaving machine stay held there
			require.Less(t, time.Since(told), waitTimeout/4, "still sent to the leaving machine")
			key := fmt.Sprintf("probe-%d-%d", i, k)
			d.depositAside(n, key)
			if d.eventuallyRan(key, spare) {
				break
			}
		}
	}
	t.Logf("both nodes left the machine within %v (list read every 200ms)", time.Since(told))
	for i := range 20 {
		r := d.deposit(d.nodes[i%2], keyName(i))
		require.Equal(t, http.StatusCreated, r.status, r.body)
		require.Equal(t, 1, depositRuns(t, spare, keyName(i)))
		require.Zero(t, d.runs(keyName(i)))
	}
	d.link.hold(nothing)
	r := <-held
	require.Equal(t, http.StatusCreated, r.status, r.body)
	require.Equal(t, 1, d.runs("held"))
}

// eventuallyRan waits until the call ran at either machine, and reports whether
// it was the other one.
func (d *desk) eventuallyRan(key, other string) bool {
	d.t.Helper()
	there := false
	require.Eventually(d.t, func() bool {
		there = depositRuns(d.t, other, key) == 1
		return there || d.runs(key) == 1
	}, waitTimeout, pollEvery)
	return there
}
