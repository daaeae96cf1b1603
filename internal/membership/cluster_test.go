package membership_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
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

// nodes is a system of zones with nodes on an in-memory network with a fake clock.
type nodes struct {
	t     *testing.T
	net   *wiretest.Network
	keys  *wire.Keyring
	seeds []string
	all   []*node
	// system is the name of the system, or empty.
	system string
	// gossip configures the nodes' datagrams between heartbeats.
	gossip membership.Gossip
}

type node struct {
	*membership.Service
	name      string
	zone      cluster.ZoneID
	addr      string
	transport *wire.Transport
	stop      context.CancelFunc
	done      sync.WaitGroup
	revision  int64
	dead      bool
}

// start starts perZone nodes in each zone. Each zone's first node is a seed.
func start(t *testing.T, seed uint64, zones, perZone int) *nodes {
	t.Helper()
	return startSystem(t, wiretest.New(seed), "", zones, perZone, addrOf)
}

// startSystem starts a named system's nodes at the given addresses on a network that other
// systems may share.
func startSystem(t *testing.T, net *wiretest.Network, system string, zones, perZone int, addrOf func(zone, i int) string) *nodes {
	t.Helper()
	keys, err := wire.NewKeyring(wire.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	require.NoError(t, err)
	ns := &nodes{t: t, net: net, keys: keys, system: system}
	for z := range zones {
		ns.seeds = append(ns.seeds, addrOf(z, 0))
	}
	for z := range zones {
		for i := range perZone {
			ns.all = append(ns.all, ns.run(z, i, addrOf(z, i)))
		}
	}
	t.Cleanup(func() {
		for _, n := range ns.all {
			n.kill()
		}
	})
	return ns
}

func addrOf(zone, i int) string { return fmt.Sprintf("10.0.%d.%d:7000", zone, i+1) }

func (ns *nodes) run(zone, i int, addr string) *node { return ns.runAs(zone, i, addr, 0) }

// runAs starts a node with an incarnation (0 means the start time) and with seeds in
// addition to the system's own.
func (ns *nodes) runAs(zone, i int, addr string, incarnation uint64, seeds ...string) *node {
	n := &node{name: fmt.Sprintf("node-%c%d", 'a'+zone, i), zone: cluster.ZoneID(fmt.Sprintf("zone-%c", 'a'+zone)), addr: addr}
	var err error
	n.transport, err = wire.NewTransport(ns.net.Attach(addr), wire.Options{Keys: ns.keys, System: ns.system, Log: slog.New(slog.DiscardHandler)})
	require.NoError(ns.t, err)
	n.Service = membership.New(membership.Options{
		Node: cluster.NodeID(n.name), Zone: n.zone, Incarnation: incarnation, Seeds: append(seeds, ns.seeds...), PeerAddr: addr,
		Transport: n.transport, Rand: rand.New(rand.NewPCG(uint64(zone), uint64(i))), Log: slog.New(slog.DiscardHandler), CheckDuplicate: ns.duplicateCheck(n.name), Gossip: ns.gossip,
	})
	n.SetRulesRevision(func() int64 { return n.revision })
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.done.Go(func() { n.Run(ctx) })
	return n
}

// duplicateCheck asks the nodes at the addresses whether they receive heartbeats from a
// process with the name.
func (ns *nodes) duplicateCheck(name string) membership.CheckDuplicate {
	return func(_ context.Context, addrs []string) membership.DuplicateStatus {
		status := membership.DuplicateUnknown
		for _, n := range ns.all {
			if !slices.Contains(addrs, n.addr) || n.dead {
				continue
			}
			if n.hears(name) {
				return membership.DuplicateAlive
			}
			status = membership.DuplicateGone
		}
		return status
	}
}

// hears reports whether this node considers the named node alive.
func (n *node) hears(name string) bool {
	if n.name == name {
		return !n.Superseded()
	}
	for _, m := range n.Members() {
		if m.Node == cluster.NodeID(name) {
			return m.HeardAgo >= 0 && m.Status != membership.Dead
		}
	}
	return false
}

// kill ends a node as SIGKILL does, without a leave announcement.
func (n *node) kill() {
	n.dead = true
	n.stop()
	_ = n.transport.Close()
	n.done.Wait()
}

func (ns *nodes) killSeeds() {
	var rest []*node
	for _, n := range ns.all {
		if slices.Contains(ns.seeds, n.addr) {
			n.kill()
		} else {
			rest = append(rest, n)
		}
	}
	ns.all = rest
}

func (n *node) status(of *node) membership.Status {
	for _, m := range n.Members() {
		if m.Node == cluster.NodeID(of.name) {
			return m.Status
		}
	}
	return membership.Unconfirmed
}

// sees reports whether every observer has the given status for each of the others.
func sees(observers, others []*node, status membership.Status) bool {
	for _, o := range observers {
		for _, n := range others {
			if n.name != o.name && o.status(n) != status {
				return false
			}
		}
	}
	return true
}

// within advances the fake clock until ok returns true and returns the time taken. It fails
// the test after limit.
func (ns *nodes) within(limit time.Duration, what string, ok func() bool) time.Duration {
	ns.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) >= limit {
			require.Fail(ns.t, "not within "+limit.String(), what)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
	return time.Since(began)
}

func (ns *nodes) inZone(zone cluster.ZoneID) (inside, outside []*node) {
	for _, n := range ns.all {
		if n.zone == zone {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	return inside, outside
}

// ipUDPHeaders is the size of the IP and UDP headers of a packet.
const ipUDPHeaders = 28

type wireCount struct{ bytes, packets uint64 }

func countOf(n *node) wireCount {
	c := n.transport.Counters()
	return wireCount{c.SentBytes, c.SentPackets}
}

func (w wireCount) minus(before wireCount) int {
	return int(w.bytes - before.bytes + ipUDPHeaders*(w.packets-before.packets))
}

// fullSource always uses its complete budget.
func fullSource(budget int) membership.Section {
	mark := &wirepb.QuarantineMark{Fingerprint: make([]byte, 16), ExpiresInMs: 900_000}
	var section membership.Section
	for {
		section.Quarantines = append(section.Quarantines, mark)
		if membership.SectionSize(section) > budget {
			section.Quarantines = section.Quarantines[1:]
			return section
		}
	}
}
