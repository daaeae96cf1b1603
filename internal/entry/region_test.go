package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/httpserver"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// freePort returns a UDP port that is free on 127.0.0.2. The tests use it on 127.0.0.3 as
// well.
func freePort(t *testing.T) int {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.2:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, socket.Close()) }()
	return socket.LocalAddr().(*net.UDPAddr).Port
}

// newPeerNode returns a node that exchanges datagrams with the seed 127.0.0.2.
func newPeerNode(t *testing.T, p Platform, ip string, port int) *Node {
	t.Helper()
	cfg, err := settings.Parse(fmt.Appendf(nil, `
node: node-%[1]s
zone: z
region: r
listen: {callers: "127.0.0.1:0", ready: "127.0.0.1:0", datagrams: "%[1]s:%[2]d"}
feeds: {listen: "%[1]s:0", seeds: ["127.0.0.2:0"]}
platform: {driver: managed, address: "127.0.0.1:1"}
`, ip, port))
	require.NoError(t, err)
	n, err := New(cfg, p, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() {
		n.peers.Close()
		for _, s := range []*httpserver.Server{n.callers, n.ready, n.feeds} {
			_ = s.Close()
		}
	})
	return n
}

// Nodes that do not know each other's load send the same replicas more requests than
// these can take. They need only the key in the store, which the first node writes.
func TestNodesOfARegionExchangeLoadReports(t *testing.T) {
	p, port := testPlatform(t), freePort(t)
	first, second := newPeerNode(t, p, "127.0.0.2", port), newPeerNode(t, p, "127.0.0.3", port)
	first.peers.ensureKey(t.Context())
	key := store.DatagramKey("r")
	kv, _, err := p.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, kv.Value, datagramKeySize)
	for _, n := range []*Node{first, second} {
		n.peers.keyChanged(fleet.Change{Written: []store.KV{*kv}})
	}
	second.requestSeen.Store(true)
	require.Eventually(t, first.requestSeen.Load, 20*time.Second, 10*time.Millisecond)
}

// Guards against nodes that exchange no datagrams for want of a key since the store did not answer the only attempt to write one.
func TestDatagramKeyIsWrittenAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPlatform(t)
		mem := p.Store.(*memstore.Store)
		r := &regionPeers{core: &Core{platform: p}, cfg: &settings.Settings{Region: "r"}, log: slog.New(slog.DiscardHandler)}
		r.ctx, r.cancel = context.WithCancel(t.Context())
		defer r.Close()
		mem.SetFaults(memstore.Faults{Down: true})
		r.keyChanged(fleet.Change{}) // the only change
		time.Sleep(10 * time.Second)
		mem.SetFaults(memstore.Faults{})
		time.Sleep(3 * time.Second)
		kv, _, err := mem.Get(t.Context(), store.DatagramKey("r"))
		require.NoError(t, err)
		require.NotNil(t, kv)
		require.Len(t, kv.Value, datagramKeySize)
		calls := mem.Calls()
		time.Sleep(10 * time.Second)
		require.Equal(t, calls, mem.Calls(), "no attempt follows one that the store answered")
	})
}

// Another node has filled a replica with requests. The engine reports its load only with
// an answer, so without the other node's report, callers would queue behind them.
func TestPeerLoadReportFillsReplica(t *testing.T) {
	n := newTestNode(t)
	replica := cluster.Replica{ID: "m/1.1", Group: "m", Model: "m", Zone: "z", Generation: 1, Serving: "a"}
	n.serving[replica.ID] = true
	n.table.SetReplicas("", []routing.Entry{{Replica: replica, Addr: "127.0.0.1:1", Slots: 4}})
	n.table.SetHealthy(replica.ID, 1, true)
	request := routing.Request{Group: "m", Limit: routing.Limit{PerSlot: 1}}
	choice, err := n.table.Choose(request)
	require.NoError(t, err)
	n.table.End(choice, routing.Result{OK: true})

	n.ReceiveLoadReport("other", membership.Section{LoadIDs: []uint32{replicaHash(replica.ID)}, LoadCounts: []uint32{4}})
	_, err = n.table.Choose(request)
	require.ErrorAs(t, err, new(*routing.FullError))

	n.ReceiveLoadReport("other", membership.Section{})
	_, err = n.table.Choose(request)
	require.NoError(t, err, "requests that are no longer reported have ended")
}

// With many nodes, each receives a report from another only every few seconds, when the
// requests that were reported before have long ended. If they still counted, free
// replicas would look full, and callers would be refused.
func TestExpiredLoadReportFillsNoReplica(t *testing.T) {
	n := newTestNode(t)
	replica := cluster.Replica{ID: "m/1.1", Group: "m", Model: "m", Zone: "z", Generation: 1, Serving: "a"}
	n.serving[replica.ID] = true
	n.table.SetReplicas("", []routing.Entry{{Replica: replica, Addr: "127.0.0.1:1", Slots: 4}})
	n.table.SetHealthy(replica.ID, 1, true)
	n.ReceiveLoadReport("other", membership.Section{LoadIDs: []uint32{replicaHash(replica.ID)}, LoadCounts: []uint32{4}})
	request := routing.Request{Group: "m", Limit: routing.Limit{PerSlot: 1}}
	_, err := n.table.ChooseAt(time.Now(), request)
	require.ErrorAs(t, err, new(*routing.FullError))
	_, err = n.table.ChooseAt(time.Now().Add(2*time.Second), request)
	require.NoError(t, err, "a report that is two seconds old has expired")
}

// Guards against unread prompt tokens that are lost on the way to another node, and against reports of
// an older build or with lists that do not fit each other being taken for something else.
func TestUnreadTokensAreReported(t *testing.T) {
	n, other := newTestNode(t), newTestNode(t)
	ids := []cluster.ReplicaID{"m/1.1", "m/2.2"}
	figures := enginemodel.Profile{Slots: 4, BaseStep: time.Millisecond, PrefillPerSecond: 10_000}
	for _, c := range []*Node{n, other} {
		var entries []routing.Entry
		for _, id := range ids {
			c.serving[id] = true
			entries = append(entries, routing.Entry{Replica: cluster.Replica{ID: id, Group: "m", Zone: "z", Generation: 1, Serving: cluster.VMID(id)}, Addr: string(id), Slots: 4, Engine: &figures})
		}
		c.table.SetReplicas("", entries)
		for _, id := range ids {
			c.table.SetHealthy(id, 1, true)
		}
	}
	request := routing.Request{Group: "m", PromptTokens: 1000, OutputTokens: 10}
	taken, err := n.table.Choose(request)
	require.NoError(t, err)
	report := n.WorkReport(200)
	require.LessOrEqual(t, membership.SectionSize(report), 200)
	require.Equal(t, []uint32{32}, report.LoadUnread) // 1,024 tokens
	other.ReceiveLoadReport("n", report)
	predicted := func() time.Duration {
		choice, err := other.table.Choose(routing.Request{Group: "m", PromptTokens: 1000, Exclude: slices.DeleteFunc(slices.Clone(ids), func(id cluster.ReplicaID) bool { return id == taken.Replica.ID })})
		require.NoError(t, err)
		other.table.End(choice, routing.Result{})
		return choice.Predicted
	}
	require.Greater(t, predicted(), 200*time.Millisecond)
	for _, unread := range [][]uint32{nil, {90, 2, 3}} {
		report.LoadUnread = unread
		other.ReceiveLoadReport("n", report)
		require.Less(t, predicted(), 200*time.Millisecond, "%v", unread)
	}
}
