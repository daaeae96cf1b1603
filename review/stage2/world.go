package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// errSetup is the reason why a case could not run.
var errSetup = errors.New("the case could not run")

// world is a small deployment on loopback addresses: the store in this process, replicas and nodes in processes of
// their own.
type world struct {
	dir, program string
	mem          *memstore.Store
	storeAddr    string
	record       *os.File

	mu        sync.Mutex
	processes []*process
	replicas  map[string]*process
	// runs holds what replicas reported.
	runs []event
}

// event is one line of a replica.
type event struct {
	AtMs    int64  `json:"at_ms"`
	Replica string `json:"replica"`
	Born    int64  `json:"born"`
	What    string `json:"what"`
	Request string `json:"request"`
}

type process struct {
	cmd   *exec.Cmd
	args  []string
	ended chan struct{}
}

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: os.Args[0], mem: memstore.New(memstore.Options{}), record: record, replicas: make(map[string]*process)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, &standin.StoreHandler{Store: w.mem}) }()
	return w, nil
}

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (w *world) put(key, value string) error {
	_, err := w.mem.Txn(context.Background(), store.Txn{Then: []store.Op{store.Put(key, []byte(value), 0)}})
	return err
}

// start starts a process whose output goes to handle, line by line.
func (w *world) start(env []string, handle func(line string), args ...string) (*process, error) {
	p := &process{cmd: exec.Command(args[0], args[1:]...), args: args, ended: make(chan struct{})} //nolint:gosec // programs of this repository
	p.cmd.Env = append(os.Environ(), env...)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		defer close(p.ended)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			handle(lines.Text())
		}
		_ = p.cmd.Wait()
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// closeOnSignal ends all processes if this one is told to end.
func (w *world) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	w.close()
	os.Exit(exitFailed)
}

// startReplica starts a replica, or starts it again with the same arguments.
func (w *world) startReplica(id string, args ...string) error {
	args = append([]string{w.program, "replica", "--id", id, "--store", w.storeAddr}, args...)
	return w.restartReplica(id, args)
}

func (w *world) restartReplica(id string, args []string) error {
	p, err := w.start(nil, func(line string) {
		var e event
		if json.Unmarshal([]byte(line), &e) != nil {
			w.note("replica %s: %s", id, line)
			return
		}
		w.mu.Lock()
		w.runs = append(w.runs, e)
		w.mu.Unlock()
		w.note("replica %s born %d: %s %s", e.Replica, e.Born, e.What, e.Request)
	}, args...)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.replicas[id] = p
	w.mu.Unlock()
	return nil
}

func (w *world) replica(id string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replicas[id]
}

func (w *world) events() []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]event{}, w.runs...)
}

// nodeSettings are the settings of a small deployment, as deploy/node.yaml has them.
const nodeSettings = `node: "front-%[1]d"
zone: "zone-%[1]d"
region: "here"
listen:
  callers: "%[2]s:%[3]d"
  ready: "%[2]s:%[4]d"
  metrics: "%[2]s:%[5]d"
  datagrams: "%[2]s:%[6]d"
platform:
  driver: managed
  address: "%[7]s"
feeds:
  listen: "%[2]s:%[8]d"
  seeds: [%[9]s]
retries:
  ratio: 0.2
  slack: 132
  window: 10s
process:
  memory_mb: 414
  first_start: true
  grace: 8s
zones:
  price: 0
drain:
  notice: 2500ms
`

// node is one running node.
type node struct {
	*process
	callers, ready string
}

// startNodes starts nodes at addresses of their own and the same ports, each with the given address of the store.
func (w *world) startNodes(stores ...string) ([]*node, error) {
	ports, err := freePorts(len(stores), 5)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(len(stores), 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", nodeIP(i), ports[4])))
	}
	var nodes []*node
	for i, storeAddr := range stores {
		path := filepath.Join(w.dir, fmt.Sprintf("node-%d.yaml", i))
		text := fmt.Sprintf(nodeSettings, i, nodeIP(i), ports[0], ports[1], ports[2], ports[3], storeAddr, ports[4], strings.Join(seeds, ", "))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("node-%d.log", i)))
		if err != nil {
			return nil, err
		}
		p, err := w.start([]string{"FENNELCOURSE_NODE_FILE=" + path}, func(line string) {
			_, _ = io.WriteString(log, line+"\n")
			if strings.Contains(line, "msg=\"dependency") || strings.Contains(line, "placement lease") || strings.Contains(line, "expired entries") || strings.Contains(line, "level=ERROR") {
				w.note("node %d: %s", i, line)
			}
		}, "target/fenneld")
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, &node{process: p, callers: fmt.Sprintf("%s:%d", nodeIP(i), ports[0]), ready: fmt.Sprintf("%s:%d", nodeIP(i), ports[1])})
	}
	return nodes, nil
}

func nodeIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

// freePorts returns ports that are free at the addresses of all nodes.
func freePorts(nodes, count int) ([]int, error) {
	var ports []int
	for range 200 {
		if len(ports) == count {
			return ports, nil
		}
		first, err := net.Listen("tcp", nodeIP(0)+":0")
		if err != nil {
			return nil, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for i := 1; i < nodes && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(i), port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		_ = first.Close()
		if free {
			ports = append(ports, port)
		}
	}
	return nil, errSetup
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   string
	// complete is true if the answer ended as a whole one.
	complete bool
	err      error
	took     time.Duration
}

// patientConn gives up after a gap.
type patientConn struct {
	net.Conn
	gap time.Duration
}

// Read implements net.Conn.
func (c patientConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.gap)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// send sends one request as a client with one connection of its own, which gives up after a gap of patience.
func send(addr, method, path, id string, deadline, patience time.Duration, header map[string]string) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(`{"q":1}`))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return patientConn{conn, patience}, nil
	}}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, seal: resp.Header.Get("X-Replica-Seal"), body: string(body), complete: err == nil, err: err, took: time.Since(began)}
}

// config is the configuration of a small deployment, without its first version.
const config = `{"version":%d,"routes":[
 {"name":"advice","host":"a.example","prefix":"/advice/","kind":"streaming","timeout_ms":8000,"target_latency_ms":300,"target_gap_ms":300,"priority":1,"service":"models","max_attempts":2,"resumable":true,"sticky":true},
 {"name":"order","host":"a.example","prefix":"/order/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2},
 {"name":"look","host":"a.example","prefix":"/look/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}],
 "services":[{"name":"models","health_path":"/healthz","max_conns":464,"engine":{"slots":16,"models":[{"name":"m0","size":3,"pace":1,"share":1,"load_s":0.5,"warm_s":0.2}],
  "loads_per_s":10,"loads_at_once":6,"step_ms":5.95,"per_seq_ms":0.1,"context_per_k":0.01,"read_per_s":50700,"pairs_per_m":0.3,"chunk":2048,"stride":5,"usual":{"prompt":100,"answer":56}}},
  {"name":"desk","health_path":"/healthz","max_conns":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1"]}]}`

// until polls a condition.
func until(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
