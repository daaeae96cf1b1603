package capacity_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
)

const (
	// observeFor is the duration of the measurement of an idle system.
	observationTime = 30 * time.Second
	waitTimeout     = time.Minute
)

// shape is the size of a small system of real nodes.
type shape struct {
	zones, nodes  int
	replicas, vms int

	tokenInterval time.Duration
}

// String returns the shape as the name of a sub-benchmark.
func (s shape) String() string {
	return fmt.Sprintf("zones=%d/nodes=%d/replicas=%d/vms=%d", s.zones, s.nodes, s.replicas, s.vms)
}

// BenchmarkNodes measures idle systems of real nodes with default intervals. It reports,
// per second, the store calls of a zone and for each node the datagram bytes sent, the bytes
// exchanged with the platform, all bytes read and written other than datagrams (each
// without TCP/IP headers), the health polls and the processor time in milliseconds; and
// the memory of a node in MB.
func BenchmarkNodes(b *testing.B) {
	binDir := build(b)
	for _, s := range []shape{
		{zones: 1, nodes: 2, replicas: 2, vms: 2},
		{zones: 1, nodes: 4, replicas: 2, vms: 2},
		{zones: 1, nodes: 8, replicas: 2, vms: 2},
		{zones: 2, nodes: 4, replicas: 2, vms: 2},
		{zones: 1, nodes: 4, replicas: 17, vms: 4},
		{zones: 1, nodes: 16, replicas: 17, vms: 4},
	} {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, binDir, s)
				f.awaitHealthy()
				f.observe()
			}
		})
	}
}

func build(b *testing.B) string {
	b.Helper()
	dir := b.TempDir()
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", dir+"/", "../../cmd/...").CombinedOutput()
	require.NoError(b, err, string(out))
	return dir
}

// fleet is a platform and engines in this process, with nodes as separate processes.
type fleet struct {
	b              *testing.B
	binDir         string
	shape          shape
	platformServer *platform.Server
	platformAddr   string
	platformConns  *countingListener
	controls       []string
	callers        []string
}

func newFleet(b *testing.B, binDir string, s shape) *fleet {
	b.Helper()
	f := &fleet{b: b, binDir: binDir, shape: s, platformServer: platform.New(platform.Options{})}
	f.platformAddr, f.platformConns = serve(b, f.platformServer.Handler())
	var vms []cluster.VM
	for z := range s.zones {
		for i := range s.replicas * s.vms {
			vms = append(vms, f.engine(cluster.ZoneID(fmt.Sprintf("zone-%d", z)), i))
		}
	}
	f.platformServer.SetVMs(vms)
	var seeds []string
	for z := range s.zones {
		for i := range s.nodes {
			datagrams := f.node(z, i, seeds)
			seeds = append(seeds[:min(len(seeds), 2)], strconv.Quote(datagrams))
		}
	}
	return f
}

func (f *fleet) engine(zone cluster.ZoneID, i int) cluster.VM {
	f.b.Helper()
	id := cluster.VMID(fmt.Sprintf("%s-vm-%d", zone, i))
	e := standinengine.New(standinengine.Options{VM: id, ChecksFence: true, MaxRunning: 1024, TokenInterval: f.shape.tokenInterval})
	f.b.Cleanup(e.Close)
	addr, _ := serve(f.b, e.Handler())
	return cluster.VM{ID: id, Zone: zone, Domain: cluster.DomainID(fmt.Sprintf("%s-rack-%d", zone, i/f.shape.vms)), Addr: addr, State: cluster.VMLive}
}

const nodeSettings = `node: %[1]s
zone: zone-%[2]d
listen: {callers: "127.0.0.1:0", control: "127.0.0.1:0", datagrams: "127.0.0.1:0"}
platform: {store: ["http://%[3]s"], vm_list: "http://%[3]s"}
peers: {system: capacity, seeds: [%[4]s], keys: [{id: 1, secret: "00112233445566778899aabbccddeeff"}]}
tls: {off: true}
control: {loads_per_minute: 60000}
`

// node starts one fenneld and returns its datagram address.
func (f *fleet) node(zone, i int, seeds []string) (datagrams string) {
	f.b.Helper()
	name := fmt.Sprintf("zone-%d-node-%d", zone, i)
	path := filepath.Join(f.b.TempDir(), name+".yaml")
	text := fmt.Sprintf(nodeSettings, name, zone, f.platformAddr, strings.Join(seeds, ", "))
	require.NoError(f.b, os.WriteFile(path, []byte(text), 0o600))
	cmd := exec.Command(filepath.Join(f.binDir, "fenneld"), "--settings", path)
	out, err := cmd.StderrPipe()
	require.NoError(f.b, err)
	cmd.Stdout = cmd.Stderr
	require.NoError(f.b, cmd.Start())
	var reading sync.WaitGroup
	f.b.Cleanup(func() {
		_ = cmd.Process.Kill()
		reading.Wait()
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	serving := regexp.MustCompile(`msg=serving.* callers=(\S+) control=(\S+) datagrams=(\S+)`)
	for lines.Scan() {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			reading.Go(func() { _, _ = io.Copy(io.Discard, out) })
			f.callers = append(f.callers, m[1])
			f.controls = append(f.controls, m[2])
			return m[3]
		}
	}
	require.FailNow(f.b, "the node exited before it served")
	return ""
}

const nodeRules = `
team  name=escola-a token=sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 # asked for by: Ana
group name=assistente-fit model=assistente-fit vms=%d domain=same # asked for by: Ana
route path=/v1/* model=assistente-fit to=assistente-fit # asked for by: Ana
`

// awaitHealthy applies the rules and waits until every node has seen all replicas of its
// zone become healthy.
func (f *fleet) awaitHealthy() {
	f.b.Helper()
	path := filepath.Join(f.b.TempDir(), "rules")
	require.NoError(f.b, os.WriteFile(path, fmt.Appendf(nil, nodeRules, f.shape.vms), 0o600))
	require.Eventually(f.b, func() bool {
		cmd := exec.Command(filepath.Join(f.binDir, "fennelctl"), "--server", "http://"+f.controls[0], "rules", "apply", "--author", "bench", "--wait", path)
		return cmd.Run() == nil
	}, waitTimeout, time.Second)
	for _, control := range f.controls {
		require.Eventually(f.b, func() bool {
			m := f.metrics(control)
			return m["fennel_health_whole_total"]-m["fennel_health_not_whole_total"] >= float64(f.shape.replicas)
		}, waitTimeout, 100*time.Millisecond)
	}
}

func (f *fleet) metrics(control string) map[string]float64 {
	f.b.Helper()
	resp, err := http.Get("http://" + control + "/metrics")
	require.NoError(f.b, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(f.b, err)
	out := map[string]float64{}
	for line := range bytes.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out
}

// sample holds counters summed over all nodes.
type sample struct {
	calls                               map[string]int64
	sent, platform, io, polls, cpu, mem float64
}

func (f *fleet) sample() sample {
	s := sample{calls: f.platformServer.Calls(), platform: float64(f.platformConns.bytes.Load())}
	for _, control := range f.controls {
		m := f.metrics(control)
		s.sent += m["fennel_wire_sent_bytes_total"]
		s.io += m["process_io_read_bytes_total"] + m["process_io_written_bytes_total"]
		s.polls += m["fennel_health_polls_total"]
		s.cpu += m["process_cpu_seconds_total"]
		s.mem += m[residentMemory]
	}
	return s
}

func (f *fleet) observe() {
	before := f.sample()
	time.Sleep(observationTime)
	after := f.sample()
	calls := 0.0
	for kind, n := range after.calls {
		if kind != platform.KindVMs {
			calls += float64(n - before.calls[kind])
		}
		f.b.Logf("%s: %.2f a second", kind, float64(n-before.calls[kind])/observationTime.Seconds())
	}
	seconds, nodes := observationTime.Seconds(), float64(len(f.controls))
	f.b.ReportMetric(calls/seconds/float64(f.shape.zones), "store-calls/zone/s")
	f.b.ReportMetric(float64(after.calls[platform.KindVMs]-before.calls[platform.KindVMs])/seconds/nodes, "vm-list-reads/node/s")
	f.b.ReportMetric((after.sent-before.sent)/seconds/nodes, "datagram-bytes/node/s")
	f.b.ReportMetric((after.platform-before.platform)/seconds/nodes, "platform-bytes/node/s")
	f.b.ReportMetric((after.io-before.io)/seconds/nodes, "io-bytes/node/s")
	f.b.ReportMetric((after.polls-before.polls)/seconds/nodes, "polls/node/s")
	f.b.ReportMetric((after.cpu-before.cpu)/seconds/nodes*1e3, "cpu-ms/node/s")
	f.b.ReportMetric(after.mem/nodes/1e6, "MB/node")
	f.b.ReportMetric(0, "ns/op")
}
