package entry

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// freePort is a UDP port that is free on both loopback addresses of these tests.
func freePort(t *testing.T) int {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.2:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, socket.Close()) }()
	return socket.LocalAddr().(*net.UDPAddr).Port
}

// newTalker is a node that exchanges datagrams with those at the seed.
func newTalker(t *testing.T, p Platform, ip string, port int) *Node {
	t.Helper()
	set, err := settings.Parse(fmt.Appendf(nil, `
node: node-%[1]s
zone: z
region: r
listen: {callers: "127.0.0.1:0", ready: "127.0.0.1:0", datagrams: "%[1]s:%[2]d"}
feeds: {listen: "%[1]s:0", seeds: ["127.0.0.2:0"]}
platform: {driver: managed, address: "127.0.0.1:1"}
`, ip, port))
	require.NoError(t, err)
	n, err := New(set, p, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() {
		n.region.Close()
		for _, s := range []*server{n.callers, n.ready, n.feeds} {
			_ = s.socket.Close()
		}
	})
	return n
}

// Nodes that do not hear of each other send the same replicas more than these can take.
// All they need is the key in the store; whoever comes first writes it.
func TestNodesOfARegionHearOfEachOther(t *testing.T) {
	p, port := plainPlatform(t), freePort(t)
	first, second := newTalker(t, p, "127.0.0.2", port), newTalker(t, p, "127.0.0.3", port)
	first.region.ensureKey(t.Context())
	key := store.DatagramKey("r")
	kv, _, err := p.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, kv.Value, keySize)
	for _, n := range []*Node{first, second} {
		n.region.keyChanged(map[string]store.KV{key: *kv})
	}
	second.asked.Store(true)
	require.Eventually(t, first.asked.Load, 20*time.Second, 10*time.Millisecond)
}

// Another node has sent a replica as many requests as it batches. The engine's own report
// of that would come only with an answer from there; callers would wait behind them.
func TestOthersRequestsFillAReplica(t *testing.T) {
	n := newTestNode(t)
	replica := cluster.Replica{ID: "m/1.1", Group: "m", Model: "m", Zone: "z", Generation: 1, Serving: "a"}
	n.serving[replica.ID] = true
	n.table.SetReplicas("", []routing.Entry{{Replica: replica, Addr: "127.0.0.1:1", Slots: 4}})
	n.table.SetWhole(replica.ID, 1, true)
	request := routing.Request{Group: "m", Limit: routing.Limit{PerSlot: 1}}
	choice, err := n.table.Choose(request)
	require.NoError(t, err)
	n.table.End(choice, routing.Result{OK: true})

	n.ReceiveLoadReport("other", membership.Section{LoadIDs: []uint32{loadID(replica.ID)}, LoadCounts: []uint32{4}})
	_, err = n.table.Choose(request)
	require.ErrorAs(t, err, new(*routing.FullError))

	n.ReceiveLoadReport("other", membership.Section{})
	_, err = n.table.Choose(request)
	require.NoError(t, err, "what it no longer names has ended")
}

// Of many nodes each hears another only every few seconds. What that one ran then has
// ended long since; counted on, it makes replicas look full, and callers are turned away
// from free ones.
func TestOldNewsFillsNoReplica(t *testing.T) {
	n := newTestNode(t)
	replica := cluster.Replica{ID: "m/1.1", Group: "m", Model: "m", Zone: "z", Generation: 1, Serving: "a"}
	n.serving[replica.ID] = true
	n.table.SetReplicas("", []routing.Entry{{Replica: replica, Addr: "127.0.0.1:1", Slots: 4}})
	n.table.SetWhole(replica.ID, 1, true)
	n.ReceiveLoadReport("other", membership.Section{LoadIDs: []uint32{loadID(replica.ID)}, LoadCounts: []uint32{4}})
	request := routing.Request{Group: "m", Limit: routing.Limit{PerSlot: 1}}
	_, err := n.table.ChooseAt(time.Now(), request)
	require.ErrorAs(t, err, new(*routing.FullError))
	_, err = n.table.ChooseAt(time.Now().Add(2*time.Second), request)
	require.NoError(t, err, "two seconds old")
}
