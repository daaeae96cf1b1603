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
	testToken = "token-a"
	chatBody  = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"max_tokens":12}`
	chatStrm  = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"max_tokens":12,"stream":true}`
)

const testRules = `
team    name=school-a token=sha256:%s          # asked for by: Ana
service name=caixa                             # asked for by: Ana
group   name=fit model=assistente-fit vms=1    # asked for by: Ana
route   path=/v1/* model=assistente-fit to=fit # asked for by: Ana
route   path=/deposits/* to=caixa once=required # asked for by: Ana
route   path=/notes/* to=caixa                 # asked for by: Ana
`

// fixedRules is a RuleSource with one set.
type fixedRules struct{ set *rules.Set }

func (f fixedRules) Current() *rules.Set { return f.set }

// listRouter hands out replicas in order, skipping excluded ones.
type listRouter struct {
	mu      sync.Mutex
	choices []routing.Choice
	ended   []routing.Result
}

func (l *listRouter) Choose(req routing.Request) (routing.Choice, error) {
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
	return routing.Choice{}, fennelerr.New(fennelerr.NoReplica, "none left").WithRun(fennelerr.NotRun)
}

func (l *listRouter) End(_ routing.Choice, res routing.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, res)
}

type fixedServices []string

func (f fixedServices) ServiceAddrs(cluster.Service) []string { return f }

// openAdmitter admits everything and counts slots.
type openAdmitter struct{ held atomic.Int64 }

func (o *openAdmitter) Acquire(context.Context, admission.Request) (Slot, error) {
	o.held.Add(1)
	return openSlot{o}, nil
}
func (o *openAdmitter) AllowRetry(cluster.TeamID) bool { return true }

type openSlot struct{ o *openAdmitter }

func (s openSlot) FirstToken() {}

func (s openSlot) Release(int) { s.o.held.Add(-1) }

// memoryClaims is a Claimer without faults.
type memoryClaims struct {
	// lapsed makes all claims look as after a long pause of the process.
	lapsed atomic.Bool

	mu   sync.Mutex
	keys map[string]*memoryClaim
}

type memoryClaim struct {
	m      *memoryClaims
	key    string
	answer *claims.Answer
	state  claims.State
}

func (m *memoryClaims) Claim(_ context.Context, call claims.Call) (Claim, *claims.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.keys == nil {
		m.keys = map[string]*memoryClaim{}
	}
	if c := m.keys[call.Key]; c != nil {
		if c.state == claims.Done {
			return nil, c.answer, nil
		}
		return nil, nil, fennelerr.New(fennelerr.OutcomeUnknown, "unknown").WithRun(fennelerr.Unknown)
	}
	c := &memoryClaim{m: m, key: call.Key, state: claims.Pending}
	m.keys[call.Key] = c
	return c, nil, nil
}

func (c *memoryClaim) set(state claims.State, a *claims.Answer) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.state, c.answer = state, a
}

func (c *memoryClaim) StillHeld(time.Time) bool { return !c.m.lapsed.Load() }

func (c *memoryClaim) Release(context.Context) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	delete(c.m.keys, c.key)
}
func (c *memoryClaim) Finish(_ context.Context, a claims.Answer) { c.set(claims.Done, &a) }
func (c *memoryClaim) Abandon(context.Context)                   { c.set(claims.Unknown, nil) }

// noQuarantine lets everything pass and counts crashes.
type noQuarantine struct{ crashes atomic.Int64 }

func (q *noQuarantine) Admit(context.Context, suspect.Fingerprint) (bool, error) { return false, nil }
func (q *noQuarantine) MayRetryOn(cluster.ReplicaID) bool                        { return true }
func (q *noQuarantine) Begin(suspect.Fingerprint, cluster.ReplicaID, int64, bool) func(suspect.Outcome) {
	return func(how suspect.Outcome) {
		if how == suspect.Crashed {
			q.crashes.Add(1)
		}
	}
}

// bench is one gateway before stand-in engines, each a replica of one VM.
type bench struct {
	t          testing.TB
	gateway    *Gateway
	server     *httptest.Server
	engines    []*standinengine.Server
	addrs      []string
	router     *listRouter
	admitter   *openAdmitter
	claims     *memoryClaims
	quarantine *noQuarantine
	services   fixedServices
	opts       Options
}

func testSet(t testing.TB) *rules.Set {
	t.Helper()
	set, err := rules.Parse(fmt.Sprintf(testRules, tokenHash(testToken)))
	require.NoError(t, err)
	return set
}

// newBench starts n engines and a gateway; change may be nil.
func newBench(t testing.TB, n int, engineOpts standinengine.Options, change func(*bench)) *bench {
	t.Helper()
	b := &bench{t: t, router: &listRouter{}, admitter: &openAdmitter{}, claims: &memoryClaims{}, quarantine: &noQuarantine{}}
	for i := range n {
		b.addEngine(i, engineOpts)
	}
	pools := engine.NewPools(engine.PoolOptions{})
	prober := engine.NewProber(time.Second)
	var ids atomic.Int64
	b.opts = Options{
		Protocol: openai.Front{}, Rules: fixedRules{testSet(t)}, Router: b.router, Admitter: b.admitter, Claimer: b.claims, Quarantine: b.quarantine,
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
	b.server.Listener = smallBuffers{b.server.Listener}
	b.server.Start()
	b.server.Client().Transport.(*http.Transport).DialContext = dialSmallBuffers
	t.Cleanup(func() {
		b.server.CloseClientConnections()
		b.server.Close()
		b.gateway.Wait()
		pools.Close()
		prober.Close()
	})
	return b
}

// smallBuffers makes connections on which a reader that pauses is soon felt by the writer.
type smallBuffers struct{ net.Listener }

const smallBuffer = 8 << 10

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
	}
	return c, err
}

func dialSmallBuffers(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err == nil {
		err = c.(*net.TCPConn).SetReadBuffer(smallBuffer)
	}
	return c, err
}

// deadProbes is a Prober to which one address seems dead.
type deadProbes struct {
	Prober
	addr string
}

func (d deadProbes) State(ctx context.Context, addr string) (engine.State, error) {
	if addr == d.addr {
		return engine.State{}, &engine.CallError{Kind: engine.CallNoAnswer, Addr: addr, Err: context.DeadlineExceeded}
	}
	return d.Prober.State(ctx, addr)
}

func (b *bench) addEngine(i int, opts standinengine.Options) {
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

// reply is what a caller saw.
type reply struct {
	status int
	header http.Header
	body   string
	// err is how reading the body ended; nil for a clean end.
	err error
}

func (b *bench) send(method, path, body string, headers ...string) reply {
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

func (b *bench) chat(body string) reply {
	b.t.Helper()
	return b.send(http.MethodPost, engine.ChatPath, body)
}

// streamText is the text of a stream's chunks; whole tells whether it ended with the marker.
func streamText(body string) (text string, whole bool) {
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

// requireWhole asserts a clean stream with exactly the engine's text.
func requireWhole(t testing.TB, r reply, body string) {
	t.Helper()
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.NoError(t, r.err)
	text, whole := streamText(r.body)
	require.True(t, whole, r.body)
	require.Equal(t, standinengine.Text([]byte(body)), text)
	require.Equal(t, string(fennelerr.Ran), r.header.Get(HeaderRun))
}

// runsOf counts executions at all engines.
func (b *bench) runs() int {
	total := 0
	for _, e := range b.engines {
		for _, n := range e.Runs().ByRequest {
			total += n
		}
	}
	return total
}

// relay passes bytes between callers and a target until it is muted: then the
// connections that are open stay open but pass nothing, while new ones work.
type relay struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	muted  *atomic.Bool
	conns  []net.Conn
	opened int
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{ln: ln, target: target, muted: &atomic.Bool{}}
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

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) accept(wg *sync.WaitGroup) {
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
		wg.Go(func() { pump(out, in, muted) })
		wg.Go(func() { pump(in, out, muted) })
	}
}

// mute silences all connections open now.
func (r *relay) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted.Store(true)
	r.muted = &atomic.Bool{}
}

func (r *relay) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

func pump(to, from net.Conn, muted *atomic.Bool) {
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

// testSession is a session of a streamed chat request that goes to out.
func testSession(t testing.TB, out http.ResponseWriter) *session {
	t.Helper()
	set := testSet(t)
	asked, err := openai.Front{}.Parse(engine.ChatPath, []byte(chatStrm))
	require.NoError(t, err)
	exchange := asked.NewExchange(call.Caller{W: out, RequestID: "r", WriteTimeout: time.Minute, KeepAlive: time.Minute})
	t.Cleanup(exchange.Close)
	return &session{g: New(Options{Protocol: openai.Front{}}), c: caller{id: "r", set: set, team: &set.Teams[0]}, asked: asked, exchange: exchange,
		target: &target{}, slot: openSlot{&openAdmitter{}}}
}
