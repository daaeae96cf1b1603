package player

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/entry"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire"
)

// Network carries the datagrams of the nodes' membership.
type Network interface {
	// Attach returns a connection with the given address.
	Attach(addr string) wire.PacketConn
	// Block drops all packets for which f returns true.
	Block(f func(from, to string) bool)
}

// memberSeeds is the number of nodes of each zone whose addresses all nodes know.
const memberSeeds = 2

// members is the membership service of one node, nil while it is down.
type members struct {
	atomic.Pointer[membership.Service]
}

func (m *members) standing(key string) (rank, nodes int) {
	if service := m.Load(); service != nil {
		return service.Standing(key)
	}
	return 0, 0
}

func (m *members) rank(key string) int {
	if service := m.Load(); service != nil {
		return service.Rank(key)
	}
	return 0
}

func (m *members) triggerHeartbeat() {
	if service := m.Load(); service != nil {
		service.TriggerHeartbeat()
	}
}

func (m *members) triggerGossip() {
	if service := m.Load(); service != nil {
		service.TriggerGossip()
	}
}

func (m *members) broadcast(section membership.Section) {
	if service := m.Load(); service != nil {
		service.Broadcast(section)
	}
}

// datagramAddr is the address of the i-th node's datagrams.
func datagramAddr(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

// connectMembers has the network drop the packets between zones that a partition separates.
func (sys *Simulation) connectMembers() {
	zones := make(map[string]cluster.ZoneID, len(sys.nodes))
	for i, n := range sys.nodes {
		zones[datagramAddr(i)] = n.zone
	}
	sys.opts.Network.Block(func(from, to string) bool { return !sys.world.nodesReach(zones[from], zones[to]) })
}

// seeds returns the addresses of the first nodes of each zone.
func (sys *Simulation) seeds() (out []string) {
	seen := make(map[cluster.ZoneID]int)
	for i, n := range sys.nodes {
		if seen[n.zone]++; seen[n.zone] <= memberSeeds {
			out = append(out, datagramAddr(i))
		}
	}
	return out
}

// useMembership has a node's decisions ask its membership service.
func (n *node) useMembership(opts *entry.CoreOptions) {
	opts.Rank, opts.Standing = n.members.rank, n.members.standing
	opts.TriggerHeartbeat, opts.ReportWork, opts.Broadcast = n.members.triggerHeartbeat, n.members.triggerGossip, n.members.broadcast
}

// runMembership runs the node's membership service until ctx ends.
func (n *node) runMembership(ctx context.Context, core *entry.Core, seeds []string) {
	addr := datagramAddr(slices.Index(n.sys.nodes, n))
	keys, err := wire.NewKeyring(wire.Key{ID: 1, Secret: make([]byte, wire.MinSecretLength)})
	if err != nil {
		panic(err) // the key is long enough
	}
	transport, err := wire.NewTransport(n.sys.opts.Network.Attach(addr), wire.Options{Keys: keys, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		panic(err) // the keyring is set
	}
	service := core.NewMembership(membership.Options{Zone: region, Seeds: seeds, Transport: transport, Rand: n.sys.memberRandom(n)})
	n.members.Store(service)
	service.Run(ctx)
	n.members.CompareAndSwap(service, nil)
	_ = transport.Close() // the simulated network reports no errors
}
