package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// node is one node of the measured system, in either design.
type node struct {
	transport *wire.Transport
	member    *membership.Service // nil in the naive design
	tracker   *suspect.Tracker
	naive     *naiveNode
	revision  atomic.Int64
	loss      *atomic.Uint64 // per mille
}

// replicasPerNode is the number of replicas that each node polls and reports: the 265
// replicas of a zone divided among its 25 nodes.
const replicasPerNode = 11

// system holds all nodes, which run in this process.
type system struct {
	nodes   []*node
	loss    atomic.Uint64
	stop    context.CancelFunc
	running sync.WaitGroup
}

func startSystem(zones, perZone int, naive bool) (*system, error) {
	keys, err := wire.NewKeyring(wire.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{stop: cancel}
	for range zones * perZone {
		n := &node{loss: &s.loss}
		n.transport, err = wire.Listen(wire.Options{Addr: "127.0.0.1:0", Keys: keys, Log: slog.New(slog.DiscardHandler), Drop: n.dropDatagram})
		if err != nil {
			cancel()
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	var addrs, seeds []string
	for i, n := range s.nodes {
		addrs = append(addrs, n.transport.Addr())
		if i%perZone == 0 {
			seeds = append(seeds, n.transport.Addr())
		}
	}
	for i, n := range s.nodes {
		if naive {
			n.naive = newNaiveNode(n, i, addrs)
			s.running.Go(func() { n.naive.run(ctx) })
			continue
		}
		n.setUpMembership(i, i/perZone, seeds)
		s.running.Go(func() { n.member.Run(ctx) })
	}
	return s, nil
}

func (n *node) dropDatagram(string, []byte) bool { return rand.Uint64N(1000) < n.loss.Load() }

func (n *node) setUpMembership(i, zone int, seeds []string) {
	name := cluster.NodeID(nodeName(i))
	discard := slog.New(slog.DiscardHandler)
	n.member = membership.New(membership.Options{
		Node: name, Zone: cluster.ZoneID(fmt.Sprintf("serra-%d", zone)), Seeds: seeds,
		PeerAddr: n.transport.Addr(), Transport: n.transport, Log: discard,
	})
	n.tracker = suspect.New(suspect.Options{Node: name, TriggerHeartbeat: n.member.TriggerHeartbeat, Rank: n.member.Rank, Log: discard})
	n.member.AddSource(n.tracker.Section)
	n.member.AddSource(loadSource(i))
	n.member.SetRulesRevision(n.revision.Load)
	n.member.OnDatagram(n.tracker.Receive)
	n.member.OnDatagram(func(_ membership.Member, d *wirepb.Datagram) {
		if d.RulesRevision > n.revision.Load() {
			n.revision.Store(d.RulesRevision)
			n.member.TriggerHeartbeat()
		}
	})
}

func nodeName(i int) string { return fmt.Sprintf("entry-serra-%03d", i) }

// loadSource returns a source that reports the loads of a node's replicas in turn, as many
// per heartbeat as the budget permits.
func loadSource(i int) membership.Source {
	next := 0
	statuses := replicaStatuses(i)
	return func(budget int) membership.Section {
		var section membership.Section
		for range statuses {
			grown := section
			grown.Replicas = append(grown.Replicas, statuses[next%len(statuses)])
			if membership.SectionSize(grown) > budget {
				break
			}
			section = grown
			next++
		}
		return section
	}
}

func replicaStatuses(i int) []*wirepb.ReplicaStatus {
	var statuses []*wirepb.ReplicaStatus
	for r := range replicasPerNode {
		statuses = append(statuses, &wirepb.ReplicaStatus{
			Replica: fmt.Sprintf("assistente-fit-%03d-%02d", i, r), Generation: 40_000 + int64(r), ConfirmedAgoMs: 900,
			Running: 12, Waiting: 1, KvUsed: 0.7, Outstanding: 3, LoadAgoMs: 1200, MaxRunning: 64,
		})
	}
	return statuses
}

func fingerprint(n uint64) (fp suspect.Fingerprint) {
	binary.BigEndian.PutUint64(fp[:], n)
	return fp
}

// publish creates an event at the node: a new rules revision and a new quarantine.
func (n *node) publish(event int64) {
	n.revision.Store(event)
	if n.naive != nil {
		n.naive.apply(event)
		return
	}
	fp := fingerprint(uint64(event))
	n.tracker.Begin(fp, "replica-1", event, false)(suspect.Crashed)
	if alone, err := n.tracker.Admit(context.Background(), fp); alone && err == nil {
		n.tracker.Begin(fp, "replica-2", event, true)(suspect.Crashed)
	}
	n.member.TriggerHeartbeat()
}

func (n *node) hasRevision(event int64) bool { return n.revision.Load() >= event }

func (n *node) hasQuarantine(event int64) bool {
	if n.naive != nil {
		return n.naive.quarantine.Load() >= event
	}
	return n.tracker.Quarantined(fingerprint(uint64(event)))
}

func (s *system) close() {
	s.stop()
	s.running.Wait()
	for _, n := range s.nodes {
		_ = n.transport.Close()
	}
}

// awaitJoined waits until every node knows all others of its zone.
func (s *system) awaitJoined(ctx context.Context, perZone int) error {
	for {
		joined := 0
		for _, n := range s.nodes {
			if n.naive != nil || n.knowsAllOfZone(perZone) {
				joined++
			}
		}
		if joined == len(s.nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (n *node) knowsAllOfZone(nodesPerZone int) bool {
	alive := 1
	for _, m := range n.member.Members() {
		if m.Zone == n.member.Self().Zone && m.Status == membership.Alive {
			alive++
		}
	}
	return alive == nodesPerZone
}
