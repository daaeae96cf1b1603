package membership_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wiretest"
)

// gossipBudget is the gossip budget of the nodes in these tests, in bytes per second.
const gossipBudget = 1900

// startGossiping starts nodes of one zone that send each other a load of one request.
func startGossiping(t *testing.T, perZone int) *nodes {
	t.Helper()
	ns := startSystem(t, wiretest.New(9), "", 0, 0, addrOf)
	ns.gossip = membership.Gossip{Budget: gossipBudget, Sources: []membership.Source{func(int) membership.Section {
		return membership.Section{LoadIDs: []uint32{7}, LoadCounts: []uint32{1}}
	}}}
	ns.seeds = []string{addrOf(0, 0)}
	for i := range perZone {
		ns.all = append(ns.all, ns.run(0, i, addrOf(0, i)))
	}
	ns.within(joinBound, "all see all", func() bool { return sees(ns.all, ns.all, membership.Alive) })
	return ns
}

// Requests take about a second. If nodes learn each other's load only once a second, they
// overload one replica while others are idle. With gossip, each of three peers must get at
// least two updates between heartbeats, within the bandwidth budget.
func TestGossipDeliversLoadsBetweenHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 20
		ns := startGossiping(t, 4)
		var mu sync.Mutex
		heard := make(map[cluster.NodeID]int)
		ns.all[0].OnDatagram(func(from membership.Member, d *wirepb.Datagram) {
			mu.Lock()
			defer mu.Unlock()
			if d.Brief && len(d.LoadIds) == 1 {
				heard[from.Node]++
			}
		})
		before := countOf(ns.all[1])
		time.Sleep(seconds * time.Second)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, heard, 3)
		for node, n := range heard {
			require.GreaterOrEqual(t, n, 2*seconds, node)
		}
		require.LessOrEqual(t, countOf(ns.all[1]).minus(before), seconds*(gossipBudget+membership.DefaultSendBudget))
	})
}

// With many peers gossip reaches each only once in half a minute, while its content is valid
// for one second. It must not be sent then.
func TestGossipIsDisabledForTooManyPeers(t *testing.T) {
	for _, c := range []struct {
		nodes int
		sent  bool
	}{{4, true}, {25, true}, {117, false}} {
		now := time.Unix(1000, 0)
		s := membership.NewState(membership.Self{Node: "self", Zone: "zone", DatagramAddr: "10.0.0.1:7000"}, nil, membership.Timing{}, 0, rand.New(rand.NewPCG(1, 1)), now)
		for i := range c.nodes - 1 {
			s.Receive(&wirepb.Datagram{Node: fmt.Sprint("node-", i), Zone: "zone", Incarnation: 1, Sequence: 1, DatagramAddr: fmt.Sprintf("10.0.1.%d:7000", i)}, now)
		}
		maxPeers := membership.Gossip{Budget: gossipBudget, TTL: time.Second}.MaxPeers()
		require.Equal(t, c.sent, len(s.Gossip(maxPeers).Addrs) > 0, "%d nodes", c.nodes)
	}
}

// A gossip datagram contains no address. If one were accepted from a process without a
// known heartbeat, a process that was replaced could still report its load.
func TestGossipFromUnknownNodeIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ns := startGossiping(t, 2)
		var heard atomic.Bool
		ns.all[0].OnDatagram(func(from membership.Member, _ *wirepb.Datagram) {
			if from.Node == "unknown" {
				heard.Store(true)
			}
		})
		unknown, err := wire.NewTransport(ns.net.Attach("10.9.9.9:7000"), wire.Options{Keys: ns.keys, Log: slog.New(slog.DiscardHandler)})
		require.NoError(t, err)
		defer func() { require.NoError(t, unknown.Close()) }()
		brief := &wirepb.Datagram{Node: "unknown", Zone: "zone-a", Incarnation: 1, Brief: true, LoadIds: []uint32{7}, LoadCounts: []uint32{99}}
		require.NoError(t, unknown.SendAll([]string{ns.all[0].addr}, brief))
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, heard.Load())
		require.NotContains(t, ns.all[0].names(), "unknown")
	})
}

// names returns the nodes that this one knows.
func (n *node) names() (out []string) {
	for _, m := range n.Members() {
		out = append(out, string(m.Node))
	}
	return out
}
