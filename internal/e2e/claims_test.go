package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/gateway"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	standinplatform "github.com/fennelcourse/fennelcourse/internal/standin/platform"
	standinservice "github.com/fennelcourse/fennelcourse/internal/standin/service"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// depositSystem is a system of two nodes and one service, which they reach through a link.
type depositSystem struct {
	*system
	svc  string
	link *link
}

func newDepositSystem(t *testing.T) *depositSystem {
	t.Helper()
	s := newSystem(t)
	svc := s.startService("serra-a", "caixa")
	d := &depositSystem{system: s, svc: svc, link: newLink(t, svc)}
	s.vms[0].Addr = d.link.addr()
	s.publish()
	s.startNode("serra-a-1", "serra-a", "", "")
	s.startNode("serra-a-2", "serra-a", "", "")
	s.applyRules(baseRules)
	for _, n := range s.nodes {
		s.awaitReady(n)
	}
	return d
}

// awaitReady waits until the node is ready: it has the rules and the VM list.
func (s *system) awaitReady(n *node) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.call(n, http.MethodGet, "/readyz", "", nil).status == http.StatusOK },
		waitTimeout, pollEvery, "%s never ready", n.name)
}

const depositBody = `{"amount":40}`

func (d *depositSystem) deposit(n *node, key string) reply {
	d.t.Helper()
	return d.call(n, http.MethodPost, "/deposits/42", depositBody, nil, gateway.HeaderIdempotencyKey, key)
}

// depositUntil repeats the deposit until its answer has the status.
func (d *depositSystem) depositUntil(n *node, key string, status int) reply {
	d.t.Helper()
	var r reply
	require.Eventually(d.t, func() bool {
		r = d.deposit(n, key)
		return r.status == status
	}, waitTimeout, pollEvery, "last answer: %+v", &r)
	return r
}

func (d *depositSystem) runs(key string) int {
	d.t.Helper()
	return depositRuns(d.t, d.svc, key)
}

// depositAsync sends the deposit without waiting for its answer.
func (d *depositSystem) depositAsync(n *node, key string) <-chan reply {
	got := make(chan reply, 1)
	go func() { got <- d.deposit(n, key) }()
	return got
}

func (d *depositSystem) platformFaults(f standinplatform.Faults) {
	d.t.Helper()
	d.send(http.MethodPost, d.platform+standinplatform.PathFaults, f)
}

func (d *depositSystem) serviceFaults(f standinservice.Faults) {
	d.t.Helper()
	d.send(http.MethodPost, "http://"+d.svc+standinservice.FaultsPath, f)
}

// requireRefused checks code and run state, and that the body agrees with the headers.
func requireRefused(t *testing.T, r reply, code fennelerr.Code, run fennelerr.RunState) {
	t.Helper()
	require.NoError(t, r.err)
	require.Equal(t, code.HTTPStatus(), r.status, r.body)
	require.Equal(t, string(run), r.header.Get(gateway.HeaderRun), r.body)
	require.Contains(t, r.body, fmt.Sprintf(`"type":%q`, code))
	require.Contains(t, r.body, fmt.Sprintf(`"fennel_run":%q`, run))
}

// A node is killed by SIGKILL while a deposit passes through it: before the service
// has received the call, or after the service has run it. The caller sees a broken
// connection and repeats the deposit through the other node and, after a restart,
// through the same one. Nobody can know whether the call ran: the answer must say
// so, and the call must not run again.
func TestNodeKilledAroundDispatch(t *testing.T) {
	for name, held := range map[string]direction{"before the service saw it": toService, "after it ran": toCaller} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDepositSystem(t)
			dying, other := d.nodes[0], d.nodes[1]
			d.link.hold(held)
			pending := d.depositAsync(dying, "k")
			dying.await(`msg=claim .*result=claimed`)
			d.link.awaitHeld(t)
			want := 0
			if held == toCaller {
				want = 1
				require.Eventually(t, func() bool { return d.runs("k") == 1 }, waitTimeout, pollEvery)
			}
			dying.kill()
			require.Error(t, (<-pending).err, "the caller must not receive a complete answer")
			d.link.cut()
			d.link.hold(holdNothing)
			requireRefused(t, d.deposit(other, "k"), fennelerr.KeyInProgress, fennelerr.Unknown)
			back := d.startNode("serra-a-1", "serra-a", "", "")
			d.awaitReady(back)
			requireRefused(t, d.deposit(back, "k"), fennelerr.OutcomeUnknown, fennelerr.Unknown)
			require.Equal(t, want, d.runs("k"))
			require.Equal(t, http.StatusCreated, d.deposit(back, "another").status)
		})
	}
}

// A client times out and repeats a request while the first one still runs; the
// balancer sends the two to different nodes. Both nodes can find the key unclaimed.
// Only one may run the request.
func TestSameKeyAtTwoNodesAtOnce(t *testing.T) {
	d := newDepositSystem(t)
	const keys, sends = 40, 3
	var wg sync.WaitGroup
	replies := make([][]reply, keys)
	for k := range keys {
		replies[k] = make([]reply, sends*len(d.nodes))
		start := make(chan struct{})
		for i := range replies[k] {
			wg.Go(func() {
				<-start
				replies[k][i] = d.deposit(d.nodes[i%len(d.nodes)], keyName(k))
			})
		}
		close(start)
	}
	wg.Wait()
	for k := range keys {
		receipt := d.depositUntil(d.nodes[k%len(d.nodes)], keyName(k), http.StatusCreated)
		fresh := 0
		for _, r := range replies[k] {
			switch r.status {
			case http.StatusCreated:
				require.Equal(t, receipt.body, r.body, "all answers must hold the same receipt")
				if r.header.Get(gateway.HeaderReplayed) == "" {
					fresh++
				}
			default:
				requireRefused(t, r, fennelerr.KeyInProgress, fennelerr.Unknown)
			}
		}
		require.Equal(t, 1, fresh, "number of answers that are not replays")
		require.Equal(t, 1, d.runs(keyName(k)))
	}
}

func keyName(k int) string { return fmt.Sprintf("booking-%d", k) }

// The platform's store goes down before a deposit, while one runs, and after one has
// run. The caller may be told to retry, and a deposit that was reported as not run
// must succeed later; none may run twice. Reads and calls that need no claim still succeed.
func TestStoreDownBeforeDuringAndAfterDeposit(t *testing.T) {
	for name, down := range map[string]memstore.Faults{
		"refusing": {Down: true},
		"cut off":  {Down: true, DownUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDepositSystem(t)
			one, two := d.nodes[0], d.nodes[1]
			done := d.deposit(one, "after")
			require.Equal(t, http.StatusCreated, done.status, done.body)
			d.depositUntil(two, "after", http.StatusCreated)

			d.link.hold(toService)
			during := d.depositAsync(one, "during")
			d.link.awaitHeld(t)
			d.platformFaults(standinplatform.Faults{Store: down})
			d.link.hold(holdNothing)
			got := <-during
			require.Equal(t, http.StatusCreated, got.status, "the answer must not depend on the store: %s", got.body)
			require.Equal(t, got.body, d.deposit(one, "during").body, "the node that ran it must replay the answer")
			requireRefused(t, d.deposit(two, "during"), fennelerr.StoreUnavailable, fennelerr.NotRun)

			for _, n := range d.nodes {
				before := d.deposit(n, "before")
				requireRefused(t, before, fennelerr.StoreUnavailable, fennelerr.NotRun)
				require.NotEmpty(t, before.header.Get("Retry-After"))
				requireRefused(t, d.deposit(n, "after"), fennelerr.StoreUnavailable, fennelerr.NotRun)
				require.Equal(t, http.StatusOK, d.call(n, http.MethodGet, "/deposits/42", "", nil).status)
			}
			require.Zero(t, d.runs("before"))

			d.platformFaults(standinplatform.Faults{})
			d.depositUntil(two, "before", http.StatusCreated)
			require.Equal(t, got.body, d.depositUntil(two, "during", http.StatusCreated).body)
			require.Equal(t, done.body, d.depositUntil(two, "after", http.StatusCreated).body)
			for _, key := range []string{"before", "during", "after"} {
				require.Equal(t, 1, d.runs(key), key)
			}
		})
	}
}

// The store writes a claim but its answer is lost, or the write itself is lost, and
// the node can't know which. If it assumed that the write had failed, it would let the
// caller retry while another copy runs; if it assumed that the write had succeeded, it
// could run a deposit that another node runs too.
func TestClaimAnswerLost(t *testing.T) {
	d := newDepositSystem(t)
	require.Equal(t, http.StatusCreated, d.deposit(d.nodes[0], "warm").status)
	require.Equal(t, http.StatusCreated, d.deposit(d.nodes[1], "warm-2").status)
	for i, fault := range []memstore.Faults{{LoseAnswers: 1}, {LoseAnswers: 2}, {DropWrites: 1}, {DropWrites: 3}, {LoseAnswers: 50}} {
		d.platformFaults(standinplatform.Faults{Store: fault})
		key := keyName(i)
		first := d.deposit(d.nodes[0], key)
		if first.status != http.StatusCreated {
			requireRefused(t, first, fennelerr.StoreUnavailable, fennelerr.NotRun)
			require.Zero(t, d.runs(key), "%+v: reported as not run", fault)
		}
		d.platformFaults(standinplatform.Faults{})
		again := d.depositUntil(d.nodes[1], key, http.StatusCreated)
		if first.status == http.StatusCreated {
			require.Equal(t, first.body, again.body)
		}
		require.Equal(t, 1, d.runs(key), "%+v", fault)
	}
}

// The service refuses, loses its answer, or answers another request. After each kind
// of answer the caller repeats the deposit at both nodes.
func TestRepeatsAfterEachKindOfAnswer(t *testing.T) {
	d := newDepositSystem(t)
	cases := map[string]struct {
		faults  standinservice.Faults
		code    fennelerr.Code // empty: answered
		run     fennelerr.RunState
		runs    int
		retried int // runs after the repeats
	}{
		"answered":         {run: fennelerr.Ran, runs: 1, retried: 1},
		"refused":          {standinservice.Faults{Refuse: true}, fennelerr.BackendFailed, fennelerr.NotRun, 0, 1},
		"answer lost":      {standinservice.Faults{LoseAnswer: true}, fennelerr.OutcomeUnknown, fennelerr.Unknown, 1, 1},
		"another's answer": {standinservice.Faults{SwapEcho: true}, fennelerr.OutcomeUnknown, fennelerr.Unknown, 1, 1},
	}
	for name, c := range cases {
		d.serviceFaults(c.faults)
		first := d.deposit(d.nodes[0], name)
		require.Equal(t, c.runs, d.runs(name), name)
		d.serviceFaults(standinservice.Faults{})
		switch c.run {
		case fennelerr.Ran:
			require.Equal(t, http.StatusCreated, first.status, first.body)
		default:
			requireRefused(t, first, c.code, c.run)
		}
		for _, n := range d.nodes {
			if c.run == fennelerr.Unknown {
				d.depositUntil(n, name, fennelerr.OutcomeUnknown.HTTPStatus())
				requireRefused(t, d.deposit(n, name), fennelerr.OutcomeUnknown, fennelerr.Unknown)
				continue
			}
			d.depositUntil(n, name, http.StatusCreated)
			other := d.call(n, http.MethodPost, "/deposits/42", `{"amount":41}`, nil, gateway.HeaderIdempotencyKey, name)
			requireRefused(t, other, fennelerr.KeyReused, fennelerr.NotRun)
		}
		require.Equal(t, c.retried, d.runs(name), name)
	}
}

// A chat on a route whose calls may run at most once is running when its replica
// dies, before the first token. Other requests are restarted at another replica;
// this one must not be, nor when the caller repeats it through either node.
func TestClaimedChatDoesNotMoveToAnotherReplica(t *testing.T) {
	s, _ := smallSystem(t)
	s.applyRules(strings.Replace(baseRules, "to=fit ", "to=fit once=required ", 1))
	s.engineFaults(standinengine.Faults{SlowBy: 1e9})
	reserve := func(n *node) reply {
		return s.call(n, http.MethodPost, engine.ChatPath, chatBody(8, false), nil, gateway.HeaderIdempotencyKey, "fitting-7")
	}
	before := s.engineRuns()
	got := make(chan reply, 1)
	go func() { got <- reserve(s.nodes[0]) }()
	victim := s.runningOn()
	require.Equal(t, before+1, s.engineRuns())
	s.engines[victim].kill()
	delete(s.engines, victim)
	survivors := s.engineRuns()
	requireRefused(t, <-got, fennelerr.OutcomeUnknown, fennelerr.Unknown)
	s.engineFaults(standinengine.Faults{})
	for _, n := range s.nodes {
		var again reply
		require.Eventually(t, func() bool { // in progress until the outcome is in the store
			again = reserve(n)
			return again.status != http.StatusConflict
		}, waitTimeout, pollEvery)
		requireRefused(t, again, fennelerr.OutcomeUnknown, fennelerr.Unknown)
	}
	require.Equal(t, survivors, s.engineRuns(), "another replica ran it")
}

// engineFaults sets the faults of all running engines except the given ones.
func (s *system) engineFaults(f standinengine.Faults, except ...cluster.VMID) {
	s.t.Helper()
	for id := range s.engines {
		if slices.Contains(except, id) {
			continue
		}
		s.send(http.MethodPost, "http://"+s.vm(id).Addr+standinengine.FaultsPath, f)
	}
}

// engineRuns counts the executions at all running engines.
func (s *system) engineRuns() int {
	s.t.Helper()
	total := 0
	for id := range s.engines {
		total += s.runsOn(id)
	}
	return total
}

// runsOn counts the executions at one engine.
func (s *system) runsOn(id cluster.VMID) int {
	s.t.Helper()
	var runs standinengine.Runs
	s.get("http://"+s.vm(id).Addr+standinengine.RunsPath, &runs)
	total := 0
	for _, n := range runs.ByRequest {
		total += n
	}
	return total
}

func (s *system) get(url string, doc any) {
	s.t.Helper()
	resp, err := http.Get(url)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(doc))
}
