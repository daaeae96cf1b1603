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

// node is one node of the system under measurement, in either design.
type node struct {
	transport *wire.Transport
	member    *membership.Service // nil in the naive design
	tracker   *suspect.Tracker
	naive     *naiveNode
	revision  atomic.Int64
	loss      *atomic.Uint64 // per mille
}

// replicasPerNode is what each node polls and reports: 265 replicas of a zone over 25 nodes.
const replicasPerNode = 11

// system is all nodes in this process.
type system struct {
	nodes []*node
	loss  atomic.Uint64
	stop  context.CancelFunc
	done  sync.WaitGroup
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
		n.transport, err = wire.Listen(wire.Options{Addr: "127.0.0.1:0", Keys: keys, Log: slog.New(slog.DiscardHandler), Drop: n.lose})
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
			n.naive = newNaive(n, i, addrs)
			s.done.Go(func() { n.naive.run(ctx) })
			continue
		}
		n.join(i, i/perZone, seeds)
		s.done.Go(func() { n.member.Run(ctx) })
	}
	return s, nil
}

func (n *node) lose(string, []byte) bool { return rand.Uint64N(1000) < n.loss.Load() }

func (n *node) join(i, zone int, seeds []string) {
	name := cluster.NodeID(nodeName(i))
	quiet := slog.New(slog.DiscardHandler)
	n.member = membership.New(membership.Options{
		Node: name, Zone: cluster.ZoneID(fmt.Sprintf("serra-%d", zone)), Seeds: seeds,
		PeerAddr: n.transport.Addr(), Transport: n.transport, Log: quiet,
	})
	n.tracker = suspect.New(suspect.Options{Node: name, TriggerHeartbeat: n.member.TriggerHeartbeat, Rank: n.member.Rank, Log: quiet})
	n.member.AddSource(n.tracker.Section)
	n.member.AddSource(loads(i))
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

// loads reports the replicas that a node polls, as many at a time as fit.
func loads(i int) membership.Source {
	next := 0
	statuses := statusesOf(i)
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

func statusesOf(i int) []*wirepb.ReplicaStatus {
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

// publish makes one node hold a new rules revision and a new quarantine.
func (n *node) publish(event int64) {
	n.revision.Store(event)
	if n.naive != nil {
		n.naive.tell(event)
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
	s.done.Wait()
	for _, n := range s.nodes {
		_ = n.transport.Close()
	}
}

// settle waits until every node knows all others of its zone.
func (s *system) settle(ctx context.Context, perZone int) error {
	for {
		joined := 0
		for _, n := range s.nodes {
			if n.naive != nil || n.knowsZone(perZone) {
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

func (n *node) knowsZone(total int) bool {
	alive := 1
	for _, m := range n.member.Members() {
		if m.Zone == n.member.Self().Zone && m.Status == membership.Alive {
			alive++
		}
	}
	return alive == total
}
