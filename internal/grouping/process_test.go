package grouping

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	standinplatform "github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdgw"
)

// holderEnv holds the configuration that makes the test binary run one controller as a separate
// process.
const holderEnv = "FENNEL_TEST_HOLDER"

// holderConfig is the JSON configuration in holderEnv.
type holderConfig struct {
	Node  cluster.NodeID
	Store string
	VMs   cluster.VMList
	Group rules.Group
}

func (c *holderConfig) List() cluster.VMList { return c.VMs }
func (c *holderConfig) Current() *rules.Set  { return &rules.Set{Groups: []rules.Group{c.Group}} }

func TestMain(m *testing.M) {
	if text := os.Getenv(holderEnv); text != "" {
		runHolder(text)
		return
	}
	os.Exit(m.Run())
}

// runHolder runs a controller until standard input is closed.
func runHolder(text string) {
	var config holderConfig
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	NewController(Options{
		Zone: testZone, Node: config.Node, VMs: &config, Rules: &config, Policy: placement.Naive{},
		Store: etcdgw.New(etcdgw.Options{Endpoints: []string{config.Store}}), Engines: engine.NewClient(time.Second),
		Log: slog.New(slog.NewTextHandler(os.Stdout, nil)), LeaseTTL: 2 * time.Second, StepInterval: 50 * time.Millisecond,
		OrderTimeout: 500 * time.Millisecond, DownAfter: 500 * time.Millisecond, PollInterval: 200 * time.Millisecond,
	}).Run(ctx)
}

// holder is a controller process.
type holder struct {
	t     *testing.T
	cmd   *exec.Cmd
	lines chan string
}

func startHolder(t *testing.T, config holderConfig) *holder {
	text, err := json.Marshal(config)
	require.NoError(t, err)
	h := &holder{t: t, cmd: exec.Command(os.Args[0]), lines: make(chan string, 1000)}
	h.cmd.Env = append(os.Environ(), holderEnv+"="+string(text))
	stdin, err := h.cmd.StdinPipe()
	require.NoError(t, err)
	stdout, err := h.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, h.cmd.Start())
	go func() {
		defer close(h.lines)
		for scanner := bufio.NewScanner(stdout); scanner.Scan(); {
			h.lines <- scanner.Text()
		}
	}()
	t.Cleanup(func() {
		_ = stdin.Close()
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		for range h.lines { // drain the output until the process ends
		}
		_ = h.cmd.Wait()
	})
	return h
}

func (h *holder) signal(s syscall.Signal) { require.NoError(h.t, h.cmd.Process.Signal(s)) }

// await reads the process's log until a line contains the text.
func (h *holder) await(text string) {
	h.t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case line, open := <-h.lines:
			require.True(h.t, open, "process ended before %q", text)
			if strings.Contains(line, text) {
				return
			}
		case <-timeout:
			require.FailNow(h.t, "no log line contains "+text)
		}
	}
}

// lateOrder delays the first order sent to an engine, as a slow network does, until release is
// closed.
type lateOrder struct {
	next             http.Handler
	arrived, release chan struct{}
	results          chan engine.OrderResult
	mu               sync.Mutex
	fences           []cluster.Fence
}

func (l *lateOrder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != engine.OrdersPath {
		l.next.ServeHTTP(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	var order engine.Order
	_ = json.Unmarshal(body, &order)
	l.mu.Lock()
	first := len(l.fences) == 0
	l.fences = append(l.fences, order.Fence)
	l.mu.Unlock()
	if first {
		close(l.arrived)
		<-l.release
	}
	recorder := httptest.NewRecorder()
	late := httptest.NewRequest(http.MethodPost, engine.OrdersPath, bytes.NewReader(body))
	l.next.ServeHTTP(recorder, late)
	if first {
		var result engine.OrderResult
		_ = json.Unmarshal(recorder.Body.Bytes(), &result)
		l.results <- result
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// The holder process is stopped in the middle of an order for longer than its lease. Another
// process takes over and assigns the same VM to another replica. Then the first process
// resumes, and its delayed order reaches the engine. The table must stay as committed by the
// new holder, the old holder must send no further orders, and an engine that ignores fencing
// tokens must be corrected: callers of either replica would otherwise get answers from a
// broken model.
func TestHolderProcessFrozenInTheMiddleOfAnOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "engines check fencing tokens", false: "engines ignore fencing tokens"}[checks], func(t *testing.T) {
			t.Parallel()
			testHolderProcessFrozen(t, checks)
		})
	}
}

func testHolderProcessFrozen(t *testing.T, checks bool) {
	platform := standinplatform.New(standinplatform.Options{})
	gateway := httptest.NewServer(platform.Handler())
	t.Cleanup(gateway.Close)
	config := holderConfig{Store: gateway.URL, Group: pairGroup, VMs: cluster.VMList{AsOf: time.Now()}}
	engines := make(map[cluster.VMID]*standinengine.Server)
	late := &lateOrder{arrived: make(chan struct{}), release: make(chan struct{}), results: make(chan engine.OrderResult, 1)}
	for _, id := range []cluster.VMID{"vm00", "vm01", "vm02"} {
		e := standinengine.New(standinengine.Options{VM: id, ChecksFence: checks})
		handler := e.Handler()
		if id == "vm01" {
			late.next = handler
			handler = late
		}
		server := httptest.NewServer(handler)
		t.Cleanup(func() {
			e.SetFaults(standinengine.Faults{}) // a frozen engine would keep its server from closing
			server.Close()
			e.Close()
		})
		engines[id] = e
		config.VMs.VMs = append(config.VMs.VMs, cluster.VM{
			ID: id, Zone: testZone, Domain: "d", Addr: strings.TrimPrefix(server.URL, "http://"), State: cluster.VMLive,
		})
	}
	config.Node = "n1"
	n1 := startHolder(t, config)
	<-late.arrived
	n1.signal(syscall.SIGSTOP)
	engines["vm00"].SetFaults(standinengine.Faults{Freeze: true})
	config.Node = "n2"
	n2 := startHolder(t, config)
	n2.await("placement lease acquired")

	client := engine.NewClient(time.Second)
	t.Cleanup(client.Close)
	committed := func() []cluster.Replica {
		read, err := Read(t.Context(), platform.Store(), testZone)
		require.NoError(t, err)
		return read.Grouping.Replicas
	}
	confirmed := func() bool {
		replicas := committed()
		if len(replicas) != 1 || !slices.Equal(replicas[0].Members, []cluster.VMID{"vm01", "vm02"}) {
			return false
		}
		state, err := client.State(t.Context(), config.VMs.VMs[1].Addr)
		return err == nil && state.Assignment.Replica == replicas[0].ID && state.Assignment.Generation == replicas[0].Generation
	}
	require.Eventually(t, confirmed, 20*time.Second, 20*time.Millisecond)
	want := committed()

	n1.signal(syscall.SIGCONT)
	close(late.release)
	result := <-late.results
	require.Equal(t, !checks, result.Accepted, "only an engine that ignores fencing tokens accepts the late order")
	n1.await("placement lease given up")
	require.Eventually(t, confirmed, 20*time.Second, 20*time.Millisecond)
	require.Equal(t, want, committed())
	late.mu.Lock()
	defer late.mu.Unlock()
	for _, fence := range late.fences[1:] {
		require.Equal(t, want[0].Fence, fence, "the old holder sent another order")
	}
}
