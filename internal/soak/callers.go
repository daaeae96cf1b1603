package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// Call is one request of a caller and its outcome.
type Call struct {
	ID     string
	Unsafe bool
	Status int
	Body   string
	// Err is set if no complete response arrived.
	Err error
	// Node is the node that got the call, Deadline the call's if not the default, Held the time until
	// its outcome, Ended when that came. Begun says that status 200 arrived.
	Node           string
	Deadline, Held time.Duration
	Ended          time.Time
	Begun          bool
	// Key is the caller's key if not the default.
	Key string
}

// callers is a set of concurrent callers that send requests to random nodes until
// they are stopped. Each caller keeps its connections to a node open.
type callers struct {
	env  *Environment
	stop context.CancelFunc
	wg   sync.WaitGroup

	// pausing is held for reading during each call, and for writing during a pause.
	pausing sync.RWMutex

	mu    sync.Mutex
	calls []Call
}

// callTimeout exceeds the duration of every response of the stand-in servers.
const callTimeout = 6 * time.Second

func startCallers(env *Environment, count int, seed uint64) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{env: env, stop: cancel}
	for i := range count {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wg.Go(func() { c.run(ctx, fmt.Sprintf("c%d", i), rnd) })
	}
	return c
}

func (c *callers) run(ctx context.Context, name string, rnd *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	var deadline time.Duration
	if c.env.opts.Silence {
		client.Timeout, deadline = silenceCallTimeout, silenceDeadline
	}
	for i := 0; ctx.Err() == nil; i++ {
		n := c.env.nodes[rnd.IntN(len(c.env.nodes))]
		call := Call{ID: fmt.Sprintf("%s-%d", name, i), Unsafe: rnd.IntN(3) == 0, Node: n.name, Deadline: deadline}
		c.pausing.RLock()
		send(client, n, &call, []string{"m3", "m2"}[rnd.IntN(2)])
		c.pausing.RUnlock()
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		if call.Err != nil || call.Status != http.StatusOK {
			time.Sleep(time.Duration(rnd.IntN(50)) * time.Millisecond)
		}
	}
}

// pause waits until no call is under way and lets none begin until resume is called. The callers keep their
// connections.
func (c *callers) pause() (resume func()) {
	c.pausing.Lock()
	return c.pausing.Unlock
}

// stopAndCollect stops the callers and returns all their calls.
func (c *callers) stopAndCollect() []Call {
	c.stop()
	c.wg.Wait()
	return c.calls
}

// escapedTarget is a payment's path and query with bytes that a URL library encodes, and with an
// escaped slash where longerRoute has a slash.
const escapedTarget = "/pay/out%2F1|b?a|b"

// longerRoute is a route with a longer prefix than that of payments. Its service runs no call
// without a model.
const longerRoute = `,{"name":"out","host":"a.example","prefix":"/pay/out/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"models","max_attempts":2}`

// send sends one call to a node and records its outcome in the call.
func send(client *http.Client, n *node, call *Call, model string) {
	path := "/advice/1"
	if call.Unsafe {
		path, model = escapedTarget, ""
	}
	sendTo(client, n, call, path, model)
}

// sendTo is send with a path.
func sendTo(client *http.Client, n *node, call *Call, path, model string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.listenAddr(), strings.NewReader("body"))
	if err != nil {
		call.Err = err
		return
	}
	req.URL.Opaque = path // sent byte for byte
	req.Header.Set(standin.SentTargetHeader, path)
	req.GetBody = nil // keeps net/http from sending the request a second time
	req.Host = "a.example"
	setRequestHeaders(req.Header, call.ID, model)
	if call.Key != "" {
		req.Header.Set("Authorization", "Token "+call.Key)
	}
	if call.Deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	start := time.Now()
	defer func() {
		call.Ended = time.Now()
		call.Held = call.Ended.Sub(start)
	}()
	resp, err := client.Do(req)
	if err != nil {
		call.Err = err
		return
	}
	call.Begun = resp.StatusCode == http.StatusOK
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	call.Status, call.Body, call.Err = resp.StatusCode, string(body), err
}
