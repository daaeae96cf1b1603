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

// pendingChat is a chat that was sent without waiting for its answer.
type pendingChat struct {
	body      string
	firstByte chan struct{} // closed with the first byte of a stream
	answer    chan reply
}

// chatAsync sends a chat without waiting for its answer. Each number makes another
// prompt.
func (s *system) chatAsync(n *node, number, tokens int, stream bool) *pendingChat {
	f := &pendingChat{firstByte: make(chan struct{}), answer: make(chan reply, 1)}
	f.body = strings.Replace(chatBody(tokens, stream), "cold toes", fmt.Sprintf("fitting %d", number), 1)
	var event func()
	if stream {
		event = func() { close(f.firstByte) }
	}
	go func() { f.answer <- s.call(n, http.MethodPost, engine.ChatPath, f.body, event) }()
	return f
}

// requireComplete waits for the answer and compares it with what engines generate.
func (f *pendingChat) requireComplete(t *testing.T) {
	t.Helper()
	r := <-f.answer
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	want := standinengine.Text([]byte(f.body))
	if !strings.Contains(f.body, `"stream":true`) {
		require.Contains(t, r.body, fmt.Sprintf(`"content":%q`, want))
		return
	}
	text, complete := streamText(r.body)
	require.True(t, complete, r.body)
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

// The platform announces in its VM list that it will remove a VM. Requests that are
// routed to the VM's replica from then on would be lost with it; requests that already
// run there must finish.
func TestLeavingVMGetsNoNewWorkAndFinishesItsStreams(t *testing.T) {
	s, _ := smallSystem(t)
	member := cluster.VMID("serra-a-vm-1")
	serving := s.servingOf(member)
	s.engineFaults(slowFaults)
	var running []*pendingChat
	for i := range 8 {
		f := s.chatAsync(s.nodes[i%len(s.nodes)], i, 200, true)
		running = append(running, f)
		<-f.firstByte
	}
	s.engineFaults(standinengine.Faults{}, serving)
	require.NotZero(t, s.runningRequests(serving))

	s.vm(member).State = cluster.VMLeaving
	announced := time.Now()
	s.publish()
	lastWork := s.sendUntil(serving, func() bool {
		return !slices.ContainsFunc(s.nodes, func(n *node) bool { return s.healthyAt(n) != 1 })
	})
	before := s.runsOn(serving)
	for i := range 40 {
		f := s.chatAsync(s.nodes[i%len(s.nodes)], 1000+i, 1, false)
		f.requireComplete(t)
	}
	require.Equal(t, before, s.runsOn(serving), "the leaving replica got new requests")
	require.NotZero(t, s.runningRequests(serving), "the streams ended before all new requests had gone elsewhere")
	s.engineFaults(standinengine.Faults{})
	for _, f := range running {
		f.requireComplete(t)
	}
	t.Logf("last new request %v after the VM list said leaving (read every 200ms)", lastWork.Sub(announced))
	require.Less(t, lastWork.Sub(announced), 5*time.Second)
}

// slowFaults makes an answer of a few hundred tokens last until the test resets the faults.
var slowFaults = standinengine.Faults{SlowBy: 200}

// runningRequests returns how many requests the engine is generating for now.
func (s *system) runningRequests(id cluster.VMID) int {
	s.t.Helper()
	client := engine.NewProber(0)
	defer client.Close()
	state, err := client.State(s.t.Context(), s.vm(id).Addr)
	require.NoError(s.t, err)
	return state.Load.Running
}

// sendUntil sends chats through all nodes until done returns true, and returns when the
// last run began on the VM.
func (s *system) sendUntil(id cluster.VMID, done func() bool) (last time.Time) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	last = time.Now()
	seen := s.runsOn(id)
	for i := 0; !done(); i++ {
		require.True(s.t, time.Now().Before(deadline), "requests are still sent to the VM")
		s.chatAsync(s.nodes[i%len(s.nodes)], 2000+i, 1, false).requireComplete(s.t)
		if now := s.runsOn(id); now != seen {
			seen, last = now, time.Now()
		}
	}
	return last
}

// The platform replaces an entry VM and sends SIGTERM while callers read streams, others
// wait for answers in one piece, and a deposit is running at the service. The balancer
// keeps sending requests until it sees that the node is not ready. A node that stopped
// at once would abort all of them and lose the outcome of the deposit.
func TestPlannedStopFinishesAllRequests(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.startEngine("serra-a", "rack-1")
	}
	svc := s.startService("serra-a", "caixa")
	l := newLink(t, svc)
	s.vms[2].Addr = l.addr()
	s.publish()
	n := s.startNode("serra-a-1", "serra-a", "", "drain: {notice: 2s}\n")
	other := s.startNode("serra-a-2", "serra-a", "", "")
	s.applyRules(baseRules)
	s.awaitServing(n)
	s.awaitServing(other)

	s.engineFaults(slowFaults)
	var running []*pendingChat
	for i := range 6 {
		f := s.chatAsync(n, i, 200, i%2 == 0)
		running = append(running, f)
		if i%2 == 0 {
			<-f.firstByte
		}
	}
	require.Eventually(t, func() bool { return s.engineRuns() >= len(running) }, waitTimeout, pollEvery)
	l.hold(toCaller)
	deposit := make(chan reply, 1)
	go func() {
		deposit <- s.call(n, http.MethodPost, "/deposits/42", depositBody, nil, gateway.HeaderIdempotencyKey, "k")
	}()
	l.awaitHeld(t)

	n.signal(syscall.SIGTERM)
	n.await(`msg=stopping .*step=unready`)
	require.Equal(t, http.StatusServiceUnavailable, s.call(n, http.MethodGet, "/readyz", "", nil).status)
	require.Equal(t, http.StatusOK, s.call(n, http.MethodGet, "/livez", "", nil).status)
	s.chatAsync(n, 100, 1, false).requireComplete(t) // the balancer has not yet seen the node as unready
	n.await(`msg=stopping .*step="finish requests"`)
	for _, f := range running {
		require.Empty(t, f.answer, "an answer had ended before the node stopped accepting requests")
	}
	s.engineFaults(standinengine.Faults{})
	for _, f := range running {
		f.requireComplete(t)
	}
	l.hold(holdNothing)
	first := <-deposit
	require.Equal(t, http.StatusCreated, first.status, first.body)
	<-n.done
	require.Zero(t, n.cmd.ProcessState.ExitCode())

	again := s.call(other, http.MethodPost, "/deposits/42", depositBody, nil, gateway.HeaderIdempotencyKey, "k")
	require.Equal(t, first.body, again.body, "the outcome was not recorded before the node ended")
	require.Equal(t, 1, depositRuns(t, svc, "k"))
}

// A planned stop waits for an answer that would take hours. A second signal ends the
// node at once; the caller must see that the answer is incomplete.
func TestSecondSignalAbortsRequests(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.startEngine("serra-a", "rack-1", "--token-interval", "10ms")
	}
	s.publish()
	n := s.startNode("serra-a-1", "serra-a", "", "")
	s.applyRules(baseRules)
	s.awaitServing(n)
	f := s.chatAsync(n, 1, 1_000_000, true)
	<-f.firstByte
	n.signal(syscall.SIGTERM)
	n.await(`msg=stopping .*step="finish requests"`)
	n.signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(waitTimeout):
		require.FailNow(t, "the node still runs after the second signal")
	}
	require.Equal(t, 1, n.cmd.ProcessState.ExitCode(), "a stop that aborts requests must not exit with 0")
	r := <-f.answer
	require.Error(t, r.err)
	_, complete := streamText(r.body)
	require.False(t, complete)
}

// A backend server of a service is about to be removed. Deposits sent to it from then on
// would be lost with it; the one that it is running must be answered.
func TestLeavingServiceGetsNoNewCalls(t *testing.T) {
	d := newDepositSystem(t)
	spare := start(t, "caixa-2", "fennel-standin", "service", "--listen", "127.0.0.1:0").await(listening)
	d.vms = append(d.vms, cluster.VM{ID: "svc-caixa-2", Zone: "serra-a", Addr: spare, Service: "caixa", State: cluster.VMLive})
	d.publish()
	require.Equal(t, http.StatusCreated, d.deposit(d.nodes[0], "first").status)
	require.Equal(t, 1, d.runs("first"), "the first server of the list must get the calls")
	d.link.hold(toCaller)
	held := d.depositAsync(d.nodes[0], "held")
	d.link.awaitHeld(t)

	d.vms[0].State = cluster.VMLeaving
	announced := time.Now()
	d.publish()
	for i, n := range d.nodes {
		for k := 0; ; k++ { // calls that still go to the leaving server are held back on the link
			require.Less(t, time.Since(announced), waitTimeout/4, "calls are still sent to the leaving server")
			key := fmt.Sprintf("probe-%d-%d", i, k)
			d.depositAsync(n, key)
			if d.eventuallyRan(key, spare) {
				break
			}
		}
	}
	t.Logf("both nodes stopped using the server within %v (list read every 200ms)", time.Since(announced))
	for i := range 20 {
		r := d.deposit(d.nodes[i%2], keyName(i))
		require.Equal(t, http.StatusCreated, r.status, r.body)
		require.Equal(t, 1, depositRuns(t, spare, keyName(i)))
		require.Zero(t, d.runs(keyName(i)))
	}
	d.link.hold(holdNothing)
	r := <-held
	require.Equal(t, http.StatusCreated, r.status, r.body)
	require.Equal(t, 1, d.runs("held"))
}

// eventuallyRan waits until the call has run at either backend server, and reports
// whether it was the other one.
func (d *depositSystem) eventuallyRan(key, other string) bool {
	d.t.Helper()
	there := false
	require.Eventually(d.t, func() bool {
		there = depositRuns(d.t, other, key) == 1
		return there || d.runs(key) == 1
	}, waitTimeout, pollEvery)
	return there
}
