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

// gossipBudget is the bytes per second that the nodes of these tests spend on gossip.
const gossipBudget = 1900

// startTalking brings up nodes of one zone that tell each other what one request runs on.
func startTalking(t *testing.T, perZone int) *nodes {
	t.Helper()
	ns := startSystem(t, wiretest.New(9), "", 0, 0, addrOf)
	ns.gossip = membership.Gossip{Budget: gossipBudget, Source: func(int) membership.Section {
		return membership.Section{LoadIDs: []uint32{7}, LoadCounts: []uint32{1}}
	}}
	ns.seeds = []string{addrOf(0, 0)}
	for i := range perZone {
		ns.all = append(ns.all, ns.run(0, i, addrOf(0, i)))
	}
	ns.within(joinBound, "all see all", func() bool { return sees(ns.all, ns.all, membership.Alive) })
	return ns
}

// A request takes about a second. Nodes that hear of each other's once a second send the
// same replica more than it can take, and its callers wait while other replicas idle. With
// gossip each of three peers hears at least twice between two heartbeats, the bytes
// allowed are not exceeded, and nobody is left out.
func TestGossipBringsLoadsBetweenHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 20
		ns := startTalking(t, 4)
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

// Gossip that reaches each of many peers once in half a minute must not be paid for: what it tells counts for a second.
func TestGossipStopsWhereItReachesPeersTooSeldom(t *testing.T) {
	for _, c := range []struct {
		nodes int
		sent  bool
	}{{4, true}, {25, true}, {117, false}} {
		now := time.Unix(1000, 0)
		s := membership.NewState(membership.Self{Node: "self", Zone: "zone", DatagramAddr: "10.0.0.1:7000"}, nil, membership.Timing{}, 0, rand.New(rand.NewPCG(1, 1)), now)
		for i := range c.nodes - 1 {
			s.Receive(&wirepb.Datagram{Node: fmt.Sprint("node-", i), Zone: "zone", Incarnation: 1, Sequence: 1, DatagramAddr: fmt.Sprintf("10.0.1.%d:7000", i)}, now)
		}
		most := membership.Gossip{Budget: gossipBudget, TTL: time.Second}.MaxPeers()
		require.Equal(t, c.sent, len(s.Gossip(most).Addrs) > 0, "%d nodes", c.nodes)
	}
}

// A gossip datagram names no address. Were one of a process believed of which no heartbeat was
// heard, a process that has been replaced could go on to say what runs where.
func TestGossipOfStrangersSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ns := startTalking(t, 2)
		var heard atomic.Bool
		ns.all[0].OnDatagram(func(from membership.Member, _ *wirepb.Datagram) {
			if from.Node == "stranger" {
				heard.Store(true)
			}
		})
		stranger, err := wire.NewTransport(ns.net.Attach("10.9.9.9:7000"), wire.Options{Keys: ns.keys, Log: slog.New(slog.DiscardHandler)})
		require.NoError(t, err)
		defer func() { require.NoError(t, stranger.Close()) }()
		brief := &wirepb.Datagram{Node: "stranger", Zone: "zone-a", Incarnation: 1, Brief: true, LoadIds: []uint32{7}, LoadCounts: []uint32{99}}
		require.NoError(t, stranger.SendAll([]string{ns.all[0].addr}, brief))
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, heard.Load())
		require.NotContains(t, ns.all[0].names(), "stranger")
	})
}

// names are the nodes that this one knows.
func (n *node) names() (out []string) {
	for _, m := range n.Members() {
		out = append(out, string(m.Node))
	}
	return out
}
