package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdgw"
)

func (s *system) store() *etcdgw.Client {
	c := etcdgw.New(etcdgw.Options{Endpoints: []string{s.platform}})
	s.t.Cleanup(c.Close)
	return c
}

func (s *system) faults(f platform.Faults) {
	s.send(http.MethodPost, s.platform+platform.PathFaults, f)
}

// assignment is a committed replica at one generation.
type assignment struct {
	replica    cluster.ReplicaID
	generation int64
}

// committedWatch watches a zone's replicas in the store from before the first one and
// checks in every state that no VM is in two replicas.
type committedWatch struct {
	seen      int64 // the newest revision seen; used only by the watching goroutine
	mu        sync.Mutex
	current   map[string]cluster.Replica
	committed map[assignment]bool
	problems  []string
}

func (s *system) watchCommitted(zone cluster.ZoneID) *committedWatch {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &committedWatch{seen: 1, current: map[string]cluster.Replica{}, committed: map[assignment]bool{}}
	client := s.store()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil { // a watch can end, for example when it has been idle for long
			w.follow(ctx, client, store.ReplicasPrefix(zone))
		}
	}()
	s.t.Cleanup(func() { cancel(); <-done })
	return w
}

func (w *committedWatch) follow(ctx context.Context, client store.Store, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	batches, err := client.Watch(ctx, prefix, w.seen+1)
	if err != nil {
		time.Sleep(pollEvery)
		return
	}
	for batch := range batches {
		w.apply(batch)
	}
}

// apply checks the table after each revision: all events of one transaction carry the
// same revision.
func (w *committedWatch) apply(batch store.WatchBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if failed, ok := errors.Into[*store.Error](batch.Err); ok && failed.Kind == store.Compacted {
		w.problems = append(w.problems, failed.Error()) // some states were not seen
	}
	for i, ev := range batch.Events {
		w.seen = ev.KV.ModRevision
		delete(w.current, ev.KV.Key)
		if ev.Type == store.EventPut {
			var r cluster.Replica
			if err := json.Unmarshal(ev.KV.Value, &r); err != nil {
				w.problems = append(w.problems, err.Error())
				continue
			}
			w.current[ev.KV.Key] = r
			w.committed[assignment{r.ID, r.Generation}] = true
		}
		if i+1 == len(batch.Events) || batch.Events[i+1].KV.ModRevision != ev.KV.ModRevision {
			w.checkLocked(ev.KV.ModRevision)
		}
	}
}

func (w *committedWatch) checkLocked(revision int64) {
	holder := map[cluster.VMID]cluster.ReplicaID{}
	for _, r := range w.current {
		for _, vm := range r.Members {
			if other := holder[vm]; other != "" {
				w.problems = append(w.problems, fmt.Sprintf("revision %d: VM %s is in %s and %s", revision, vm, other, r.ID))
			}
			holder[vm] = r.ID
		}
	}
}

// assigned returns the assignment of each VM in the newest table seen.
func (w *committedWatch) assigned() map[cluster.VMID]assignment {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[cluster.VMID]assignment{}
	for _, r := range w.current {
		for _, vm := range r.Members {
			out[vm] = assignment{r.ID, r.Generation}
		}
	}
	return out
}

// check fails the test if a VM was ever in two replicas, or if one of the nodes routed
// a request to a replica and generation that was never committed.
func (w *committedWatch) check(s *system, nodes ...*node) {
	s.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Empty(s.t, w.problems)
	require.NotEmpty(s.t, w.committed)
	for _, n := range nodes {
		for _, m := range n.matches(`msg=route .*replica=(\S+) generation=(\d+)`) {
			require.True(s.t, w.committed[assignment{cluster.ReplicaID(m[1]), parseInt(s, m[2])}], m[0])
		}
	}
}

func parseInt(s *system, text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	require.NoError(s.t, err)
	return n
}

// matches returns the submatches of all log lines so far that match the pattern.
func (p *proc) matches(pattern string) [][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	re := regexp.MustCompile(pattern)
	var out [][]string
	for _, line := range p.log {
		if m := re.FindStringSubmatch(line); m != nil {
			out = append(out, m)
		}
	}
	return out
}

// awaitEnginesAgree waits until the assignment that each running engine reports is the
// committed one, and returns how long that took.
func (s *system) awaitEnginesAgree(w *committedWatch) time.Duration {
	s.t.Helper()
	client := engine.NewProber(time.Second)
	defer client.Close()
	begin := time.Now()
	s.awaitNoProblem(func() string {
		want := w.assigned()
		if len(want) == 0 {
			return "nothing is committed"
		}
		for _, vm := range s.vms {
			if vm.Service != "" || s.engines[vm.ID].ended() {
				continue
			}
			state, err := client.State(s.t.Context(), s.addrOf(vm.ID))
			have := assignment{state.Assignment.Replica, state.Assignment.Generation}
			if err != nil || have != want[vm.ID] {
				return fmt.Sprintf("%s reports %v, want %v, err %v", vm.ID, have, want[vm.ID], err)
			}
		}
		return ""
	})
	return time.Since(begin)
}

// awaitNoProblem calls problem until it returns an empty text.
func (s *system) awaitNoProblem(problem func() string) {
	s.t.Helper()
	last := ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollEvery) {
		if last = problem(); last == "" {
			return
		}
	}
	require.FailNow(s.t, "still failing after "+waitTimeout.String()+": "+last)
}

// addrOf is the engine's own listen address, which the VM list may replace by a relay's.
func (s *system) addrOf(id cluster.VMID) string { return s.engines[id].await(listening) }

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// restart starts the VM's engine again at the same address, with nothing loaded.
func (s *system) restart(id cluster.VMID, args ...string) {
	s.t.Helper()
	addr := s.addrOf(id)
	p := start(s.t, string(id)+"-restarted", "fennel-standin", append([]string{"engine", "--vm", string(id), "--listen", addr}, args...)...)
	p.await(listening)
	s.engines[id] = p
}

// chatLoop sends chats through one node, one after the other, until stopped.
type chatLoop struct {
	s    *system
	n    *node
	stop chan struct{}
	done chan struct{}
	// answered and refused count the answers; unexpected holds all others.
	answered, refused atomic.Int64
	unexpected        []string
}

func (s *system) startChats(n *node) *chatLoop {
	p := &chatLoop{s: s, n: n, stop: make(chan struct{}), done: make(chan struct{})}
	go p.run()
	s.t.Cleanup(p.end)
	return p
}

func (p *chatLoop) run() {
	defer close(p.done)
	body := chatBody(3, false)
	want := standinengine.Text([]byte(body))
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r := p.s.call(p.n, http.MethodPost, engine.ChatPath, body, nil)
		switch {
		case r.status == http.StatusOK && strings.Contains(r.body, want):
			p.answered.Add(1)
		case r.status >= http.StatusTooManyRequests && r.header.Get("Fennel-Run") != "":
			p.refused.Add(1)
		default:
			p.unexpected = append(p.unexpected, fmt.Sprintf("%+v err=%v", r, r.err))
		}
	}
}

// end stops sending and waits; it may be called again.
func (p *chatLoop) end() {
	select {
	case <-p.stop:
	default:
		close(p.stop)
	}
	<-p.done
}

// finish stops sending and fails the test on an answer that was neither complete nor a
// refusal that says whether the request ran.
func (p *chatLoop) finish() {
	p.s.t.Helper()
	p.end()
	require.Empty(p.s.t, p.unexpected)
	p.s.t.Logf("%s: %d answered, %d refused", p.n.name, p.answered.Load(), p.refused.Load())
}

// interposeRelay starts a relay in front of the VM's engine and lists it as the VM's
// address. The relay holds back the first assign order after holdNext is set, and passes nothing
// while muted is set.
func (s *system) interposeRelay(id cluster.VMID) *relay {
	s.t.Helper()
	r := newRelay(s, "http://"+s.addrOf(id))
	s.vm(id).Addr = strings.TrimPrefix(r.url, "http://")
	return r
}

// relay forwards HTTP calls and can delay or drop them, to simulate a faulty network.
type relay struct {
	url        string
	target     string
	muted      atomic.Bool
	holdNext   atomic.Bool
	held       chan engine.Order // receives the order that is held back
	release    chan struct{}     // closed to forward it
	lateResult chan engine.OrderResult
}

func newRelay(s *system, target string) *relay {
	r := &relay{target: target, held: make(chan engine.Order, 1), release: make(chan struct{}), lateResult: make(chan engine.OrderResult, 1)}
	server := httptest.NewServer(r)
	s.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	r.url = server.URL
	return r
}

// ServeHTTP implements http.Handler.
func (r *relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.muted.Load() {
		<-req.Context().Done()
		return
	}
	ctx := req.Context()
	var order engine.Order
	isOrder := req.URL.Path == engine.OrdersPath && json.Unmarshal(body, &order) == nil
	holding := isOrder && order.Kind == engine.OrderAssign && r.holdNext.CompareAndSwap(true, false)
	if holding {
		r.held <- order
		<-r.release
		ctx = context.WithoutCancel(ctx) // the sender has given up, but its bytes still arrive
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, r.target+req.URL.RequestURI(), strings.NewReader(string(body)))
	if err != nil {
		return
	}
	out.Header = req.Header.Clone()
	resp, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	if holding {
		var result engine.OrderResult
		_ = json.NewDecoder(resp.Body).Decode(&result) // a zero result fails the test
		r.lateResult <- result
		return
	}
	r.answer(w, resp)
}

func (r *relay) answer(w http.ResponseWriter, resp *http.Response) {
	for key, values := range resp.Header {
		w.Header()[key] = values
	}
	w.WriteHeader(resp.StatusCode)
	_ = http.NewResponseController(w).Flush()
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if r.muted.Load() {
			<-resp.Request.Context().Done()
			return
		}
		_, _ = w.Write(buf[:n]) // the caller may be gone
		_ = http.NewResponseController(w).Flush()
		if err != nil {
			return
		}
	}
}
