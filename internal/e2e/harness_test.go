// Package e2e starts complete small systems of real processes on loopback addresses
// and tests them under injected failures.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

// waitTimeout bounds every wait for an event; a passing run needs far less.
const waitTimeout = 60 * time.Second

// pollEvery is the interval for polling conditions that no log line announces.
const pollEvery = 20 * time.Millisecond

// binDir is the directory into which TestMain builds the project's commands.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "fennel-e2e")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		binDir = dir
		out, err := exec.Command("go", "build", "-buildvcs=false", "-race", "-o", dir+"/", "../../cmd/...").CombinedOutput()
		if err != nil {
			fmt.Fprintln(os.Stderr, string(out))
			return 1
		}
		return m.Run()
	}())
}

// proc is a process that the test started.
type proc struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  []string
	more chan struct{} // closed and renewed with each line
	done chan struct{} // closed when the process has ended
}

func start(t *testing.T, name, bin string, args ...string) *proc {
	t.Helper()
	p := &proc{t: t, name: name, cmd: exec.Command(filepath.Join(binDir, bin), args...), more: make(chan struct{}), done: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	p.cmd.Stderr = p.cmd.Stdout
	require.NoError(t, p.cmd.Start())
	go p.read(out)
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("---- %s\n%s", name, p.tail(60))
		}
	})
	return p
}

func (p *proc) read(out io.Reader) {
	sc := bufio.NewScanner(out)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		p.mu.Lock()
		p.log = append(p.log, sc.Text())
		close(p.more)
		p.more = make(chan struct{})
		p.mu.Unlock()
	}
	_ = p.cmd.Wait()
	close(p.done)
}

func (p *proc) tail(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Refusals for lack of capacity come many times a second and hide the rest.
	log := slices.DeleteFunc(slices.Clone(p.log), func(line string) bool { return strings.Contains(line, "code=overloaded") })
	return strings.Join(log[max(0, len(log)-n):], "\n")
}

// await returns the first submatch of the first log line that matches.
func (p *proc) await(pattern string) string {
	p.t.Helper()
	re := regexp.MustCompile(pattern)
	deadline := time.After(waitTimeout)
	for from := 0; ; {
		p.mu.Lock()
		lines, more := p.log[from:], p.more
		from = len(p.log)
		p.mu.Unlock()
		for _, line := range lines {
			if m := re.FindStringSubmatch(line); m != nil {
				return m[len(m)-1]
			}
		}
		select {
		case <-more:
		case <-p.done:
			require.FailNow(p.t, p.name+" ended before its log matched "+pattern)
		case <-deadline:
			require.FailNow(p.t, p.name+": the log never matched "+pattern)
		}
	}
}

func (p *proc) signal(s syscall.Signal) { require.NoError(p.t, p.cmd.Process.Signal(s)) }

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// node is one fenneld process and its listen addresses.
type node struct {
	*proc
	callers, control, datagrams string
}

// system is one test system: a platform, engines, services and nodes.
type system struct {
	t            *testing.T
	dir          string
	platform     string
	platformProc *proc
	vms          []cluster.VM
	engines      map[cluster.VMID]*proc
	nodes        []*node
	// neighbors is added to the control settings of nodes that are started after it is set.
	neighbors string
	// tls is the nodes' TLS setting, ctlTLS the matching flags of fennelctl. By
	// default the control addresses speak plain HTTP.
	tls    string
	ctlTLS []string
	// name and secret differ for each system: systems that run in parallel use the
	// same node names, and the kernel reuses ports.
	name, secret string
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), tls: "{off: true}", engines: map[cluster.VMID]*proc{},
		name: "system-" + rand.Text(), secret: newSecret()}
	s.platformProc = start(t, "platform", "fennel-standin", "platform", "--listen", "127.0.0.1:0")
	s.platform = "http://" + s.platformProc.await(listening)
	return s
}

func newSecret() string {
	var secret [16]byte
	_, _ = rand.Read(secret[:]) // never fails
	return hex.EncodeToString(secret[:])
}

// listening matches the listen address in a stand-in's log.
const listening = `addr=(\S+)`

// startEngine starts one engine VM and returns its id; publish adds it to the VM list.
func (s *system) startEngine(zone cluster.ZoneID, domain cluster.DomainID, args ...string) cluster.VMID {
	s.t.Helper()
	id := cluster.VMID(fmt.Sprintf("%s-vm-%d", zone, len(s.vms)))
	p := start(s.t, string(id), "fennel-standin", append([]string{"engine", "--vm", string(id), "--listen", "127.0.0.1:0", "--checks-fence"}, args...)...)
	s.engines[id] = p
	s.vms = append(s.vms, cluster.VM{ID: id, Zone: zone, Domain: domain, Addr: p.await(listening), State: cluster.VMLive})
	return id
}

func (s *system) startService(zone cluster.ZoneID, name cluster.Service) string {
	s.t.Helper()
	p := start(s.t, string(name), "fennel-standin", "service", "--listen", "127.0.0.1:0")
	addr := p.await(listening)
	s.vms = append(s.vms, cluster.VM{ID: cluster.VMID("svc-" + string(name)), Zone: zone, Addr: addr, Service: name, State: cluster.VMLive})
	return addr
}

func (s *system) vm(id cluster.VMID) *cluster.VM {
	for i := range s.vms {
		if s.vms[i].ID == id {
			return &s.vms[i]
		}
	}
	require.FailNow(s.t, "no VM "+string(id))
	return nil
}

// publish writes the VMs to the platform's VM list.
func (s *system) publish() {
	s.t.Helper()
	s.put(s.platform+"/vms", s.vms)
}

func (s *system) put(url string, doc any) { s.send(http.MethodPut, url, doc) }

func (s *system) send(method, url string, doc any) {
	s.t.Helper()
	body, err := json.Marshal(doc)
	require.NoError(s.t, err)
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	require.NoError(s.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	require.Less(s.t, resp.StatusCode, 300, url)
}

const settingsText = `node: %s
zone: %s
listen: {callers: "127.0.0.1:0", control: "127.0.0.1:0", datagrams: "127.0.0.1:0"}
platform: {store: ["%s"], vm_list: "%s", vm_list_every: 200ms}
peers:
  heartbeat: 200ms
  seeds: [%s]
  system: %s
  keys: [{id: 1, secret: "%s"}]
control: {placement_lease: 3s, loads_per_minute: 6000%s}
tls: %s
%s
`

// shortNotice is the drain setting of nodes whose extra settings name none.
const shortNotice = "drain: {notice: 100ms}\n"

// startNode starts a fenneld whose seeds are the nodes running now. platform is the
// address at which it looks for the platform; empty means the system's.
func (s *system) startNode(name cluster.NodeID, zone cluster.ZoneID, platform, extra string) *node {
	s.t.Helper()
	if platform == "" {
		platform = s.platform
	}
	var seeds []string
	for _, n := range s.nodes {
		seeds = append(seeds, fmt.Sprintf("%q", n.datagrams))
	}
	if !strings.Contains(extra, "drain:") {
		extra += shortNotice
	}
	path := filepath.Join(s.dir, string(name)+".yaml")
	text := fmt.Sprintf(settingsText, name, zone, platform, platform, strings.Join(seeds, ", "), s.name, s.secret, s.neighbors, s.tls, extra)
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	n := &node{proc: start(s.t, string(name), "fenneld", "--settings", path)}
	n.callers = n.await(`msg=serving.* callers=(\S+)`)
	n.control = n.await(`msg=serving.* control=(\S+)`)
	n.datagrams = n.await(`msg=serving.* datagrams=(\S+)`)
	s.nodes = append(s.nodes, n)
	return n
}

// ctl runs fennelctl against the nodes and returns its output and exit code.
func (s *system) ctl(args ...string) (string, int) {
	s.t.Helper()
	scheme := "http://"
	if s.ctlTLS != nil {
		scheme = "https://"
	}
	var servers []string
	for _, n := range s.nodes {
		servers = append(servers, scheme+n.control)
	}
	args = append(slices.Clone(s.ctlTLS), args...)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "fennelctl"), append([]string{"--server", strings.Join(servers, ",")}, args...)...)
	out, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		require.NoError(s.t, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// applyRules applies a rules text and waits until it is in force on all nodes.
func (s *system) applyRules(text string) {
	s.t.Helper()
	path := filepath.Join(s.dir, "rules")
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	out, code := s.ctl("rules", "apply", "--author", "e2e", "--wait", path)
	require.Zero(s.t, code, out)
}

const (
	token = "example-token-school-a"
	// baseRules forms replicas of two VMs within one fabric domain.
	baseRules = `
team    name=school-a token=sha256:c62eee5b624ffb8b269b63845683ca2cfc685b1918dafaed73079844c5cecc0a # asked for by: Ana
service name=caixa                                                # asked for by: Ana
group   name=fit model=assistente-fit vms=2 domain=same           # asked for by: Ana
route   path=/v1/* model=assistente-fit to=fit                    # asked for by: Ana
route   path=/deposits/* to=caixa once=required                   # asked for by: Ana
`
)

// reply is what a caller received; err is the error of the call or of reading the body.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends one request to a node; event, if not nil, runs after the first byte of the answer.
func (s *system) call(n *node, method, path, body string, event func(), headers ...string) reply {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	rd := bufio.NewReader(resp.Body)
	if event != nil {
		_, err := rd.Peek(1)
		require.NoError(s.t, err)
		event()
	}
	text, err := io.ReadAll(rd)
	return reply{resp.StatusCode, resp.Header, string(text), err}
}

// chatBody is a chat request for an answer of that many tokens.
func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"assistente-fit","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"cold toes"}]}`, stream, tokens)
}

// streamText returns the text of a stream and whether the stream is complete.
func streamText(body string) (string, bool) {
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == engine.DoneMarker {
			return text.String(), true
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return text.String(), false
}

// awaitServing waits until the node answers chats.
func (s *system) awaitServing(n *node) {
	s.t.Helper()
	var last reply
	require.Eventually(s.t, func() bool {
		last = s.call(n, http.MethodPost, engine.ChatPath, chatBody(1, false), nil)
		return last.status == http.StatusOK
	}, waitTimeout, pollEvery, "%s never answered: %+v", n.name, &last)
}

// awaitHealthy waits until the node reports that many healthy replicas.
func (s *system) awaitHealthy(n *node, replicas int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.healthyAt(n) == replicas }, waitTimeout, pollEvery,
		"%s never reported %d healthy replicas", n.name, replicas)
}

// healthyAt counts the replicas that the node reports as healthy; -1 if it does not answer.
func (s *system) healthyAt(n *node) int {
	client := wirepbconnect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.control)
	resp, err := client.Status(s.t.Context(), connect.NewRequest(&wirepb.StatusRequest{}))
	if err != nil {
		return -1
	}
	healthy := 0
	for _, r := range resp.Msg.Replicas {
		if r.Whole {
			healthy++
		}
	}
	return healthy
}
