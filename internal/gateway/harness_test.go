package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/admission"
	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/claims"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/openai"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

const (
	testToken      = "token-a"
	chatBody       = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"max_tokens":12}`
	chatStreamBody = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"max_tokens":12,"stream":true}`
)

const testRules = `
team    name=school-a token=sha256:%s          # asked for by: Ana
service name=caixa                             # asked for by: Ana
group   name=fit model=assistente-fit vms=1    # asked for by: Ana
route   path=/v1/* model=assistente-fit to=fit # asked for by: Ana
route   path=/deposits/* to=caixa once=required # asked for by: Ana
route   path=/notes/* to=caixa                 # asked for by: Ana
`

// fakeRules is a RuleSource with a fixed rule set.
type fakeRules struct{ set *rules.Set }

func (f fakeRules) Current() *rules.Set { return f.set }

// fakeRouter chooses the first replica of a list that is not excluded.
type fakeRouter struct {
	mu      sync.Mutex
	choices []routing.Choice
	ended   []routing.Result
}

func (l *fakeRouter) Choose(req routing.Request) (routing.Choice, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
next:
	for _, c := range l.choices {
		for _, id := range req.Exclude {
			if id == c.Replica.ID {
				continue next
			}
		}
		return c, nil
	}
	return routing.Choice{}, fennelerr.New(fennelerr.NoReplica, "no replica left").WithRun(fennelerr.NotRun)
}

func (l *fakeRouter) End(_ routing.Choice, res routing.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, res)
}

func (*fakeRouter) ReportPushback(routing.Choice, time.Duration, time.Time) bool { return false }

type fakeServices []string

func (f fakeServices) ServiceAddrs(cluster.Service) []string { return f }

// unlimitedAdmitter admits every request and counts the slots in use.
type unlimitedAdmitter struct{ held atomic.Int64 }

func (o *unlimitedAdmitter) Acquire(context.Context, admission.Request) (Slot, error) {
	o.held.Add(1)
	return unlimitedSlot{o}, nil
}
func (o *unlimitedAdmitter) AllowRetry(cluster.TeamID) bool { return true }

type unlimitedSlot struct{ o *unlimitedAdmitter }

func (s unlimitedSlot) FirstToken() {}

func (s unlimitedSlot) Release(int) { s.o.held.Add(-1) }

// fakeClaimer is an in-memory Claimer without faults.
type fakeClaimer struct {
	// expired makes all claims look expired, as after a long pause of the process.
	expired atomic.Bool

	mu   sync.Mutex
	keys map[string]*fakeClaim
}

type fakeClaim struct {
	m      *fakeClaimer
	key    string
	answer *claims.Answer
	state  claims.State
}

func (m *fakeClaimer) Claim(_ context.Context, call claims.Call) (Claim, *claims.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.keys == nil {
		m.keys = map[string]*fakeClaim{}
	}
	if c := m.keys[call.Key]; c != nil {
		if c.state == claims.Done {
			return nil, c.answer, nil
		}
		return nil, nil, fennelerr.New(fennelerr.OutcomeUnknown, "unknown").WithRun(fennelerr.Unknown)
	}
	c := &fakeClaim{m: m, key: call.Key, state: claims.Pending}
	m.keys[call.Key] = c
	return c, nil, nil
}

func (c *fakeClaim) set(state claims.State, a *claims.Answer) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.state, c.answer = state, a
}

func (c *fakeClaim) StillHeld(time.Time) bool { return !c.m.expired.Load() }

func (c *fakeClaim) Release(context.Context) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	delete(c.m.keys, c.key)
}
func (c *fakeClaim) Finish(_ context.Context, a claims.Answer) { c.set(claims.Done, &a) }
func (c *fakeClaim) Abandon(context.Context)                   { c.set(claims.Unknown, nil) }

// fakeQuarantine admits every request and counts crashes.
type fakeQuarantine struct{ crashes atomic.Int64 }

func (q *fakeQuarantine) AdmitRequest(context.Context, suspect.Request) (suspect.Admission, error) {
	return suspect.Admission{}, nil
}
func (q *fakeQuarantine) MayRetryOn(cluster.ReplicaID) bool { return true }
func (q *fakeQuarantine) BeginRequest(suspect.Request, cluster.ReplicaID, int64, suspect.Admission) suspect.Run {
	return q
}
func (q *fakeQuarantine) Piece() {}
func (q *fakeQuarantine) End(how suspect.Outcome) {
	if how == suspect.Crashed {
		q.crashes.Add(1)
	}
}

// fixture is a gateway with stand-in engines, each of them a replica of one VM.
type fixture struct {
	t          testing.TB
	gateway    *Gateway
	server     *httptest.Server
	engines    []*standinengine.Server
	addrs      []string
	router     *fakeRouter
	admitter   *unlimitedAdmitter
	claims     *fakeClaimer
	quarantine *fakeQuarantine
	services   fakeServices
	opts       Options
}

func testRuleSet(t testing.TB) *rules.Set {
	t.Helper()
	set, err := rules.Parse(fmt.Sprintf(testRules, tokenHash(testToken)))
	require.NoError(t, err)
	return set
}

// newFixture starts n engines and a gateway. change, which may be nil, modifies the fixture
// before the gateway is created.
func newFixture(t testing.TB, n int, engineOpts standinengine.Options, change func(*fixture)) *fixture {
	t.Helper()
	b := &fixture{t: t, router: &fakeRouter{}, admitter: &unlimitedAdmitter{}, claims: &fakeClaimer{}, quarantine: &fakeQuarantine{}}
	for i := range n {
		b.addEngine(i, engineOpts)
	}
	pools := engine.NewPools(engine.PoolOptions{})
	prober := engine.NewProber(time.Second)
	var ids atomic.Int64
	b.opts = Options{
		Protocol: openai.Protocol{}, Rules: fakeRules{testRuleSet(t)}, Router: b.router, Admitter: b.admitter, Claimer: b.claims, Quarantine: b.quarantine,
		Pools: pools, Streamer: engine.NewStreamer(pools, time.Second), Prober: prober,
		NewRequestID: func() string { return fmt.Sprintf("req-%d", ids.Add(1)) },
	}
	if testing.Verbose() {
		b.opts.Log = slog.New(slog.NewTextHandler(b.t.Output(), nil))
	}
	if change != nil {
		change(b)
	}
	b.opts.Services = b.services
	b.gateway = New(b.opts)
	b.server = httptest.NewUnstartedServer(b.gateway)
	b.server.Listener = smallBufferListener{b.server.Listener}
	b.server.Start()
	b.server.Client().Transport.(*http.Transport).DialContext = dialWithSmallBuffer
	t.Cleanup(func() {
		b.server.CloseClientConnections()
		b.server.Close()
		b.gateway.Wait()
		pools.Close()
		prober.Close()
	})
	return b
}

// smallBufferListener accepts connections with a small write buffer, so that writes soon block
// if the reader pauses.
type smallBufferListener struct{ net.Listener }

const socketBufferSize = 8 << 10

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(socketBufferSize)
	}
	return c, err
}

func dialWithSmallBuffer(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err == nil {
		err = c.(*net.TCPConn).SetReadBuffer(socketBufferSize)
	}
	return c, err
}

// unreachableProber is a Prober for which one address does not answer.
type unreachableProber struct {
	Prober
	addr string
}

func (d unreachableProber) State(ctx context.Context, addr string) (engine.State, error) {
	if addr == d.addr {
		return engine.State{}, &engine.CallError{Kind: engine.CallNoAnswer, Addr: addr, Err: context.DeadlineExceeded}
	}
	return d.Prober.State(ctx, addr)
}

func (b *fixture) addEngine(i int, opts standinengine.Options) {
	opts.VM = cluster.VMID(fmt.Sprintf("vm-%d", i))
	eng := standinengine.New(opts)
	srv := httptest.NewServer(eng.Handler())
	b.t.Cleanup(func() {
		eng.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	addr := strings.TrimPrefix(srv.URL, "http://")
	replica := cluster.Replica{ID: cluster.ReplicaID(fmt.Sprintf("r%d", i)), Group: "fit", Generation: 1, Members: []cluster.VMID{opts.VM}, Serving: opts.VM}
	client := engine.NewClient(time.Second)
	defer client.Close()
	res, err := client.Order(context.Background(), addr, engine.Order{ID: "o", Kind: engine.OrderAssign, VM: opts.VM, Fence: 1, Assignment: engine.Assignment{
		Replica: replica.ID, Generation: 1, Members: replica.Members, Serving: opts.VM, Role: engine.RoleServing, Model: "assistente-fit",
	}})
	require.NoError(b.t, err)
	require.True(b.t, res.Accepted, res.Reason)
	b.engines = append(b.engines, eng)
	b.addrs = append(b.addrs, addr)
	b.router.choices = append(b.router.choices, routing.Choice{Replica: replica, Addr: addr, Reason: "first"})
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// err is the error of reading the body; nil if it ended cleanly.
	err error
}

func (b *fixture) send(method, path, body string, headers ...string) reply {
	b.t.Helper()
	req, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := b.server.Client().Do(req)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(text), err}
}

func (b *fixture) chat(body string) reply {
	b.t.Helper()
	return b.send(http.MethodPost, engine.ChatPath, body)
}

// streamText returns the text of a stream's chunks, and whether the stream ended with the end
// marker.
func streamText(body string) (text string, complete bool) {
	var out strings.Builder
	sc := bufio.NewScanner(bytes.NewReader([]byte(body)))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engine.DoneMarker {
			return out.String(), true
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			out.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return out.String(), false
}

// requireCompleteStream requires a complete stream with exactly the engine's text.
func requireCompleteStream(t testing.TB, r reply, body string) {
	t.Helper()
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.NoError(t, r.err)
	text, complete := streamText(r.body)
	require.True(t, complete, r.body)
	require.Equal(t, standinengine.Text([]byte(body)), text)
	require.Equal(t, string(fennelerr.Ran), r.header.Get(HeaderRun))
}

// runs returns the number of executions at all engines.
func (b *fixture) runs() int {
	total := 0
	for _, e := range b.engines {
		for _, n := range e.Runs().ByRequest {
			total += n
		}
	}
	return total
}

// tcpProxy forwards bytes between callers and a target. After mute, the connections that were
// open stay open but pass no more data, and new connections work.
type tcpProxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	muted  *atomic.Bool
	conns  []net.Conn
	opened int
}

func newTCPProxy(t testing.TB, target string) *tcpProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &tcpProxy{ln: ln, target: target, muted: &atomic.Bool{}}
	var wg sync.WaitGroup
	wg.Go(func() { r.accept(&wg) })
	t.Cleanup(func() {
		ln.Close()
		r.mu.Lock()
		for _, c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
		wg.Wait()
	})
	return r
}

func (r *tcpProxy) addr() string { return r.ln.Addr().String() }

func (r *tcpProxy) accept(wg *sync.WaitGroup) {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		muted := r.muted
		r.conns = append(r.conns, in, out)
		r.opened++
		r.mu.Unlock()
		wg.Go(func() { copyUntilMuted(out, in, muted) })
		wg.Go(func() { copyUntilMuted(in, out, muted) })
	}
}

// mute makes all connections that are open now drop their data.
func (r *tcpProxy) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted.Store(true)
	r.muted = &atomic.Bool{}
}

func (r *tcpProxy) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

func copyUntilMuted(to, from net.Conn, muted *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if !muted.Load() {
				to.Close()
			}
			return
		}
		if muted.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// testSession returns a session of a streamed chat request whose answer is written to out.
func testSession(t testing.TB, out http.ResponseWriter) *session {
	t.Helper()
	set := testRuleSet(t)
	modelCall, err := openai.Protocol{}.Parse(engine.ChatPath, []byte(chatStreamBody))
	require.NoError(t, err)
	exchange := modelCall.NewExchange(call.Caller{W: out, RequestID: "r", WriteTimeout: time.Minute, KeepAlive: time.Minute})
	t.Cleanup(exchange.Close)
	return &session{g: New(Options{Protocol: openai.Protocol{}}), c: caller{requestID: "r", rules: set, team: &set.Teams[0]}, modelCall: modelCall, exchange: exchange,
		target: &target{}, slot: unlimitedSlot{&unlimitedAdmitter{}}}
}
