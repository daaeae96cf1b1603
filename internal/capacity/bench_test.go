package capacity_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/health"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/peer"
	"github.com/fennelcourse/fennelcourse/internal/vmlist"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// countingListener counts the bytes of its connections in both directions, without TCP
// and IP headers. It counts written bytes before the peer can receive them, so that the
// count is complete once the peer has received the whole response.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n - len(b)))
	return n, err
}

// serve runs the handler on a loopback address behind a countingListener.
func serve(b *testing.B, h http.Handler) (addr string, l *countingListener) {
	b.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	l = &countingListener{Listener: socket}
	srv := &httptest.Server{Listener: l, Config: &http.Server{Handler: h}}
	srv.Start()
	b.Cleanup(srv.Close)
	return socket.Addr().String(), l
}

func vmID(replica, rank int) cluster.VMID {
	return cluster.VMID(fmt.Sprintf("praha-a-vm-%04d-%02d", replica, rank))
}

// replicas returns a zone's committed replicas: count replicas of the given number of VMs.
func replicas(count, vms int) []cluster.Replica {
	out := make([]cluster.Replica, count)
	for i := range out {
		out[i] = cluster.Replica{ID: cluster.ReplicaID(fmt.Sprintf("poradce-%04d", i)), Group: "poradce", Model: "poradce",
			Zone: "praha-a", Generation: 100000 + int64(i), Fence: 99000, Serving: vmID(i, 0)}
		for rank := range vms {
			out[i].Members = append(out[i].Members, vmID(i, rank))
		}
	}
	return out
}

// healthyState returns the state that the serving VM of a healthy replica reports.
func healthyState(r cluster.Replica) engine.State {
	s := engine.State{VM: r.Serving, Boot: "0123456789abcdef", Loaded: true, Fence: r.Fence, ChecksFence: true, MaxGapMs: 1000,
		Load: engine.Load{AsOf: time.Now(), Running: 7, KVUsed: 0.41, TokensPerSecond: 164.4, MaxRunning: 8},
		Assignment: engine.Assignment{Replica: r.ID, Generation: r.Generation, Members: r.Members, Serving: r.Serving,
			Role: engine.RoleServing, Model: r.Model, Addrs: map[cluster.VMID]string{}}}
	for i, vm := range r.Members {
		s.Assignment.Addrs[vm] = fmt.Sprintf("10.20.%d.17:7100", i)
		s.Members = append(s.Members, engine.MemberDigest{VM: vm, Replica: r.ID, Generation: r.Generation, SeenAgoMs: 85})
	}
	return s
}

// BenchmarkHealthPoll measures one poll of a replica's serving VM over an open connection,
// with the full or the brief state: the bytes in both directions without TCP/IP headers,
// and the processor time of both ends.
func BenchmarkHealthPoll(b *testing.B) {
	for _, vms := range []int{4, 32} {
		for _, brief := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/brief=%t", vms, brief), func(b *testing.B) { healthPoll(b, healthyState(replicas(1, vms)[0]), brief) })
		}
	}
}

func healthPoll(b *testing.B, answer engine.State, brief bool) {
	client := engine.NewClient(0)
	defer client.Close()
	ask := client.State
	if brief {
		answer, ask = answer.Brief(), client.BriefState
	}
	addr, l := serve(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}))
	before := cpuTime(b)
	for b.Loop() {
		_, err := ask(context.Background(), addr)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N)/1e3, "cpu-µs/poll")
	b.ReportMetric(float64(l.bytes.Load())/float64(b.N), "wire-bytes/poll")
}

// BenchmarkHealthMemory measures the heap that the health check uses for one zone's replicas.
func BenchmarkHealthMemory(b *testing.B) {
	const count = 265
	for _, vms := range []int{4, 32} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				used := retainedHeap(func() any {
					c := health.New(health.Options{Log: slog.New(slog.DiscardHandler)})
					c.SetGrouping(cluster.Grouping{Zone: "praha-a", Revision: 1, Replicas: replicas(count, vms)})
					return c
				})
				b.ReportMetric(used/count, "heap-bytes/replica")
			}
		})
	}
}

// BenchmarkGroupingMemory measures the heap and the stored size of a zone's committed table.
func BenchmarkGroupingMemory(b *testing.B) {
	const count = 265
	for _, vms := range []int{4, 32} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				used := retainedHeap(func() any { return replicas(count, vms) })
				b.ReportMetric(used/count, "heap-bytes/replica")
				value, err := json.Marshal(replicas(count, vms)[count-1])
				require.NoError(b, err)
				b.ReportMetric(float64(len(value)), "stored-bytes/replica")
			}
		})
	}
}

// retainedHeap returns the number of heap bytes that the result of build retains.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// peerSource serves one grouping table and one VM list to peers that do not have them yet.
type peerSource struct{ grouping, vms []byte }

const revision, sum = 5, 7

func (peerSource) FetchRules(context.Context, int64) (*wirepb.FetchRulesResponse, error) {
	return &wirepb.FetchRulesResponse{}, nil
}

func (s peerSource) FetchGrouping(_ context.Context, _ cluster.ZoneID, have int64) (*wirepb.FetchGroupingResponse, error) {
	if have == revision {
		return &wirepb.FetchGroupingResponse{Zone: "praha-a", Revision: revision}, nil
	}
	return &wirepb.FetchGroupingResponse{Zone: "praha-a", Revision: revision, GroupingJson: s.grouping}, nil
}

func (s peerSource) FetchVMs(_ context.Context, have uint64) (*wirepb.FetchVMsResponse, error) {
	resp := &wirepb.FetchVMsResponse{AsOfUnixNs: 1_800_000_000_000_000_000, Sum: sum}
	if have != sum {
		resp.VmsJson = s.vms
	}
	return resp, nil
}

// peerFetch measures one call of fetch over an open connection: the bytes in both
// directions without TLS, TCP and IP, and the processor time of both ends.
func peerFetch(b *testing.B, source peerSource, fetch func(*peer.Client, string) error) {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(source, source, source))
	addr, l := serve(b, mux)
	client, err := peer.NewClient(peer.ClientOptions{Plaintext: true, Timeout: time.Minute})
	require.NoError(b, err)
	defer client.Close()
	before := cpuTime(b)
	for b.Loop() {
		require.NoError(b, fetch(client, addr))
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N)/1e3, "cpu-µs/fetch")
	b.ReportMetric(float64(l.bytes.Load())/float64(b.N), "wire-bytes/fetch")
}

// BenchmarkGroupingFetch measures one request to a peer for a zone's table.
func BenchmarkGroupingFetch(b *testing.B) {
	for _, c := range []struct {
		replicas, vms int
		have          int64
	}{{17, 4, 0}, {8, 32, 0}, {265, 32, 0}, {265, 32, revision}} {
		b.Run(fmt.Sprintf("replicas=%d/vms=%d/news=%t", c.replicas, c.vms, c.have != revision), func(b *testing.B) {
			doc, err := json.Marshal(cluster.Grouping{Zone: "praha-a", Revision: revision, Replicas: replicas(c.replicas, c.vms)})
			require.NoError(b, err)
			peerFetch(b, peerSource{grouping: doc}, func(client *peer.Client, addr string) error {
				_, err := client.FetchGrouping(context.Background(), addr, "praha-a", c.have)
				return err
			})
		})
	}
}

// BenchmarkVMListFetch measures one request to a peer for the VM list. A response between
// nodes holds at most about 19,000 VMs.
func BenchmarkVMListFetch(b *testing.B) {
	for _, c := range []struct {
		vms  int
		have uint64
	}{{4500, 0}, {19000, 0}, {144000, sum}} {
		b.Run(fmt.Sprintf("vms=%d/news=%t", c.vms, c.have != sum), func(b *testing.B) {
			doc, err := json.Marshal(vmList(c.vms))
			require.NoError(b, err)
			peerFetch(b, peerSource{vms: doc}, func(client *peer.Client, addr string) error {
				_, err := client.FetchVMs(context.Background(), addr, c.have)
				return err
			})
		})
	}
}

// vmList returns a list of count VMs.
func vmList(count int) []cluster.VM {
	vms := make([]cluster.VM, count)
	for i := range vms {
		vms[i] = cluster.VM{ID: vmID(i/32, i%32), Zone: "praha-a", Domain: cluster.DomainID(fmt.Sprintf("rack-%d", i/32)),
			Addr: fmt.Sprintf("10.%d.%d.%d:7100", 20+i>>16, i>>8&0xff, i&0xff), State: cluster.VMLive}
	}
	return vms
}

// BenchmarkVMList measures one read of the platform's VM list and its comparison with the
// previous list, as a node performs it every 5 s.
func BenchmarkVMList(b *testing.B) {
	for _, count := range []int{212, 4500, 144000} {
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			vms := vmList(count)
			doc, err := json.Marshal(vms)
			require.NoError(b, err)
			addr, l := serve(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				as, _ := json.Marshal(time.Now())
				_, _ = fmt.Fprintf(w, `{"as_of":%s,"vms":%s}`, as, doc)
			}))
			client := vmlist.NewClient("http://"+addr, time.Minute)
			w := vmlist.NewWatcher(vmlist.Options{Fetcher: client, Zone: "praha-a"})
			first, err := client.Fetch(context.Background())
			require.NoError(b, err)
			w.Update(first)
			l.bytes.Store(0)
			before := cpuTime(b)
			for b.Loop() {
				list, err := client.Fetch(context.Background())
				require.NoError(b, err)
				require.True(b, w.Update(list))
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N)/1e6, "cpu-ms/read")
			b.ReportMetric(float64(l.bytes.Load())/float64(b.N*count), "wire-bytes/vm")
			used := retainedHeap(func() any {
				list, err := client.Fetch(context.Background())
				require.NoError(b, err)
				return list
			})
			b.ReportMetric(used/float64(count), "heap-bytes/vm")
		})
	}
}

// BenchmarkOrder measures one order with a complete assignment to an engine: the bytes in
// both directions without TCP/IP headers.
func BenchmarkOrder(b *testing.B) {
	for _, vms := range []int{4, 32} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			answer := engine.OrderResult{Accepted: true, State: healthyState(replicas(1, vms)[0])}
			order := engine.Order{ID: "praha-a-99000-order-17", Kind: engine.OrderAssign, VM: answer.State.VM, Fence: 99000, Assignment: answer.State.Assignment}
			answer.State.Members = nil
			addr, l := serve(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "application/json")
				_ = json.NewEncoder(w).Encode(answer)
			}))
			client := engine.NewClient(0)
			defer client.Close()
			for b.Loop() {
				_, err := client.Order(context.Background(), addr, order)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(l.bytes.Load())/float64(b.N), "wire-bytes/order")
		})
	}
}

// BenchmarkReplicaStatus measures the size of one replica's status in a heartbeat.
func BenchmarkReplicaStatus(b *testing.B) {
	s := &wirepb.ReplicaStatus{Replica: "poradce-praha-a-0104", Generation: 100104, ConfirmedAgoMs: 1250, Running: 7, KvUsed: 0.41,
		Outstanding: 3, LoadAgoMs: 1350, MaxRunning: 8}
	section := membership.Section{Replicas: []*wirepb.ReplicaStatus{s}}
	for b.Loop() {
		_ = membership.SectionSize(section)
	}
	b.ReportMetric(float64(membership.SectionSize(section)), "bytes/status")
}

// BenchmarkVMListSum measures the checksum of the VM list, which both peers compute for
// each fetch.
func BenchmarkVMListSum(b *testing.B) {
	vms := vmList(144000)
	before := cpuTime(b)
	for b.Loop() {
		_, _, err := vmlist.Checksum(vms)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N)/1e6, "cpu-ms/sum")
}

// BenchmarkHeartbeat reports the number of targets of a heartbeat and the bytes that
// membership's own data leave free in it for other packages, in a system whose nodes all
// receive each other's heartbeats.
func BenchmarkHeartbeat(b *testing.B) {
	for _, zones := range []int{1, 17} {
		b.Run(fmt.Sprintf("zones=%d/nodes=%d", zones, zones*25), func(b *testing.B) {
			const settled = 60
			now := time.Unix(1_800_000_000, 0)
			s := membership.NewState(membership.Self{Node: "praha-00-00", Zone: "praha-00", Incarnation: 1, DatagramAddr: "10.0.0.0:7000"},
				nil, membership.Timing{}, 0, rand.New(rand.NewPCG(1, 1)), now)
			var freeBytes, targets, counted float64
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second)
				for z := range zones {
					for n := range 25 {
						if z+n > 0 {
							s.Receive(heartbeat(z, n, uint64(i+1)), now)
						}
					}
				}
				send := s.Tick(now, 1)
				if i >= settled {
					freeBytes += float64(send.Limit - proto.Size(send.Datagram))
					targets += float64(len(send.Addrs))
					counted++
				}
			}
			b.ReportMetric(freeBytes/counted, "room-bytes")
			b.ReportMetric(targets/counted, "targets")
		})
	}
}

func heartbeat(zone, i int, sequence uint64) *wirepb.Datagram {
	addr := fmt.Sprintf("10.0.%d.%d:7000", zone, i)
	return &wirepb.Datagram{
		Node: fmt.Sprintf("praha-%02d-%02d", zone, i), Zone: fmt.Sprintf("praha-%02d", zone),
		Incarnation: 1_800_000_000_000_000_000, Sequence: sequence, DatagramAddr: addr, PeerAddr: addr,
	}
}
