package health

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// countingListener counts the bytes of all its connections in both directions.
//
// Written bytes are counted before the peer can receive them, and read bytes before the
// server can act on them. Once a client has a complete response, all bytes up to its last
// one are counted, regardless of how the goroutines are scheduled.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n - len(b)))
	return n, err
}

// At the design size a node polls 4,500/420 replicas and has 6 KB/s for all control
// traffic. The polls of idle replicas of 32 VMs must stay within half of it.
func TestPollsStayWithinBandwidthBudget(t *testing.T) {
	const (
		replicasPerNode = 4500.0 / 420
		budget          = 3000.0 // bytes per second
		polls           = 20
	)
	r := cluster.Replica{ID: "serra-a.assistente-fit.1a2b3c.4d", Group: "assistente-fit", Zone: "serra-a", Generation: 123}
	state := engine.State{Boot: "KX3J5ZQ7WQK2M4RSTUVWXYZABC", Loaded: true, Fence: 123456, Load: engine.Load{AsOf: time.Now(), Running: 17, Waiting: 3, KVUsed: 0.8132, TokensPerSecond: 1312.5, MaxRunning: 64}, MaxGapMs: 1000}
	state.Assignment = engine.Assignment{Replica: r.ID, Generation: r.Generation, Role: engine.RoleServing, Model: "assistente-fit", Version: "2026-11", Addrs: make(map[cluster.VMID]string)}
	for i := range 32 {
		vm := cluster.VMID(fmt.Sprintf("serra-a-rack07-vm%02d", i))
		r.Members = append(r.Members, vm)
		state.Assignment.Addrs[vm] = fmt.Sprintf("10.12.7.%d:8000", 100+i)
		state.Members = append(state.Members, engine.MemberDigest{VM: vm, Replica: r.ID, Generation: r.Generation, SeenAgoMs: 123})
	}
	state.Assignment.Members = r.Members
	r.Serving, state.VM, state.Assignment.Serving = r.Members[0], r.Members[0], r.Members[0]

	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		answer := state
		if req.URL.RawQuery == engine.BriefQuery {
			answer = state.Brief()
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	client := engine.NewClient(0)
	defer client.Close()
	addr := strings.TrimPrefix(server.URL, "http://")

	full, err := client.State(t.Context(), addr)
	require.NoError(t, err)
	require.Len(t, full.Members, 32)
	fullBytes := bytes.Load()
	t.Logf("full state: %d bytes per poll", fullBytes)
	for range polls {
		brief, err := client.BriefState(t.Context(), addr)
		require.NoError(t, err)
		require.Equal(t, engine.ReplicaHash(r), brief.Summary.Hash)
	}
	total := bytes.Load()
	perPoll := float64(total-fullBytes) / polls
	perSecond := perPoll * replicasPerNode / DefaultBounds().PollIdle.Seconds()
	t.Logf("brief state: %.0f bytes per poll, %.0f bytes per second at %.1f replicas per node", perPoll, perSecond, replicasPerNode)
	require.Less(t, perSecond, budget)
	// Bytes that were not yet counted when the last response arrived would show now.
	server.Close()
	require.Equal(t, total, bytes.Load(), "bytes were counted after their response was read")
}
