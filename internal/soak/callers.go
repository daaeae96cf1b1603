package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Call is one request of a caller with what came of it.
type Call struct {
	ID     string
	Unsafe bool
	Status int
	Body   string
	// Err is set when no whole answer came.
	Err error
}

// callers send requests to the nodes until they are stopped. Each keeps its
// connections open until the node is gone.
type callers struct {
	world *Environment
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu    sync.Mutex
	calls []Call
}

// callTimeout is longer than any answer of the stand-ins takes.
const callTimeout = 6 * time.Second

func startCallers(w *Environment, count int, seed uint64) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{world: w, stop: cancel}
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
	for i := 0; ctx.Err() == nil; i++ {
		n := c.world.nodes[rnd.IntN(len(c.world.nodes))]
		call := Call{ID: fmt.Sprintf("%s-%d", name, i), Unsafe: rnd.IntN(3) == 0}
		send(client, n, &call, []string{"m3", "m2"}[rnd.IntN(2)])
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		if call.Err != nil || call.Status != http.StatusOK {
			time.Sleep(time.Duration(rnd.IntN(50)) * time.Millisecond)
		}
	}
}

// end stops the callers and returns their calls.
func (c *callers) end() []Call {
	c.stop()
	c.wg.Wait()
	return c.calls
}

// send makes one call to a node and notes what came of it.
func send(client *http.Client, n *node, call *Call, model string) {
	path := "/advice/1"
	if call.Unsafe {
		path, model = "/pay/1", ""
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.callersAddr()+path, strings.NewReader("body"))
	if err != nil {
		call.Err = err
		return
	}
	req.GetBody = nil // sent once: the library must not send it again
	req.Host = "a.example"
	stampRequest(req.Header, call.ID, model)
	resp, err := client.Do(req)
	if err != nil {
		call.Err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	call.Status, call.Body, call.Err = resp.StatusCode, string(body), err
}
