package daemon

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/admission"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/grouping"
	"github.com/fennelcourse/fennelcourse/internal/health"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// reviewEvery is how often capacities and the list of nodes are passed on.
const reviewEvery = time.Second

// connect joins the parts: what one learns, the others are told.
func (n *Node) connect() {
	for _, table := range n.tables() {
		table.OnChange(func(g cluster.Grouping) {
			n.health.SetGrouping(g)
			n.setRoutes(g, n.vms.List())
		})
	}
	n.health.OnChange(func(r cluster.Replica, whole bool, reason string) {
		n.log.Info("replica", "replica", r.ID, "generation", r.Generation, "whole", whole, "reason", reason)
		n.routing.SetHealthy(r.ID, r.Generation, whole)
		n.ledger.wake()
		n.wakeReview()
	})
	n.health.OnLoad(func(r cluster.Replica, load engine.Load) { n.routing.ReportLoad(r.ID, load, time.Now()) })
	n.rules.OnChange(func(*rules.Set) { n.members.TriggerHeartbeat() })
	n.members.SetRulesRevision(n.rules.Revision)
	n.members.OnDatagram(n.observe)
	n.members.OnDatagram(n.suspects.Receive)
	n.members.AddSource(n.suspects.Section)
	n.members.AddSource(n.replicaSource())
	n.members.AddSource(n.demandSource)
}

// vmsChanged passes on a new VM list.
func (n *Node) vmsChanged(list cluster.VMList) {
	n.health.SetVMs(list)
	for _, table := range n.tables() {
		n.setRoutes(table.Current(), list)
	}
}

// tables are the groupings of all zones whose replicas this node uses.
func (n *Node) tables() []*grouping.Table { return append([]*grouping.Table{n.table}, n.neighbors...) }

// setRoutes passes the committed replicas to the router with the addresses of
// their serving VMs.
func (n *Node) setRoutes(g cluster.Grouping, list cluster.VMList) {
	addrs := make(map[cluster.VMID]string, len(list.VMs))
	for _, vm := range list.VMs {
		addrs[vm.ID] = vm.Addr
	}
	entries := make([]routing.Entry, len(g.Replicas))
	for i, r := range g.Replicas {
		entries[i] = routing.Entry{Replica: r, Addr: addrs[r.Serving]}
	}
	n.routing.SetReplicas(g.Zone, entries)
}

// startDuties runs everything that goes on beside requests.
func (n *Node) startDuties(ctx context.Context) {
	for _, table := range n.neighbors {
		n.duties.Go(func() { table.Run(ctx) })
	}
	for _, run := range []func(context.Context){
		n.vms.Run, n.members.Run, n.rules.Run, n.table.Run, n.health.Run, n.controller.Run, n.cachePoller().Run, n.ledger.run, n.review,
	} {
		n.duties.Go(func() { run(ctx) })
	}
}

// cachePoller reads the engines' cache events for the router.
func (n *Node) cachePoller() *routing.CachePoller {
	return &routing.CachePoller{Table: n.routing, Source: n.engines, Log: n.log}
}

// review passes on, once a second, what changes slowly, and capacities at once
// when a replica turned whole or not.
func (n *Node) review(ctx context.Context) {
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.reviewNodes()
			n.reviewCapacity()
		case <-n.capacityChanged:
			n.reviewCapacity()
		}
	}
}

// wakeReview has capacities passed on now; it never blocks. A group whose first
// replica turned whole would otherwise refuse callers as overloaded until the
// next tick, while status shows it whole.
func (n *Node) wakeReview() {
	select {
	case n.capacityChanged <- struct{}{}:
	default:
	}
}

func (n *Node) reviewNodes() {
	nodes := []admission.Node{{ID: n.set.Node, Zone: n.set.Zone}}
	for _, m := range n.servingMembers() {
		nodes = append(nodes, admission.Node{ID: m.Node, Zone: m.Zone})
	}
	n.admission.SetNodes(nodes)
}

// servingMembers are the other nodes that may be serving callers.
func (n *Node) servingMembers() []membership.Member {
	members := n.members.Members()
	return slices.DeleteFunc(members, func(m membership.Member) bool { return m.Status == membership.Dead || m.Leaving })
}

func (n *Node) livePeers() int { return len(n.servingMembers()) }

// reviewCapacity tells admission how many requests each group's whole replicas
// run at once; a group without any takes none.
func (n *Node) reviewCapacity() {
	slots := n.routing.Capacities(time.Now())
	if set := n.rules.Current(); set != nil {
		for i := range set.Groups {
			if _, known := slots[set.Groups[i].Name]; !known {
				slots[set.Groups[i].Name] = 0
			}
		}
	}
	for group, count := range slots {
		n.admission.SetCapacity(group, count)
	}
}

// observe takes in what another node says.
func (n *Node) observe(from membership.Member, d *wirepb.Datagram) {
	now := time.Now()
	n.rules.ObservePeer(from.Node, d.RulesRevision)
	demands := make([]admission.Demand, len(d.Demands))
	for i, t := range d.Demands {
		demands[i] = admission.Demand{Team: cluster.TeamID(t.Team), Demand: float64(t.Demand), InFlight: int(t.InFlight)}
	}
	n.admission.ObservePeer(from.Node, demands, now)
	n.observeReplicas(from, d.Replicas, now)
}

func (n *Node) observeReplicas(from membership.Member, statuses []*wirepb.ReplicaStatus, now time.Time) {
	observations := make([]health.Observation, 0, len(statuses))
	for _, s := range statuses {
		id := cluster.ReplicaID(s.Replica)
		n.routing.ObservePeerOutstanding(from.Node, id, int(s.Outstanding), now)
		o := health.Observation{Replica: id, Generation: s.Generation}
		if s.Broken {
			o.BrokenAt = now.Add(-time.Duration(s.BrokenAgoMs) * time.Millisecond)
		}
		if s.ConfirmedAgoMs >= 0 {
			o.ConfirmedAt = now.Add(-time.Duration(s.ConfirmedAgoMs) * time.Millisecond)
		}
		if s.MaxRunning > 0 {
			o.Load = &engine.Load{AsOf: now.Add(-time.Duration(s.LoadAgoMs) * time.Millisecond), Running: int(s.Running),
				Waiting: int(s.Waiting), KVUsed: float64(s.KvUsed), MaxRunning: int(s.MaxRunning)}
			n.routing.ReportLoad(id, *o.Load, now)
		}
		observations = append(observations, o)
	}
	if len(observations) > 0 {
		n.health.Observe(observations)
	}
}

// neverConfirmed stands for "this node has not confirmed it" in a datagram.
const neverConfirmed = -1

// replicaSource says, in turn, what this node found of replicas by its own
// polls and how many of its requests run there. Breaks go first: they stop work
// on other nodes.
func (n *Node) replicaSource() membership.Source {
	// next is where the next datagram goes on. Heartbeats, nudges and the farewell
	// may ask at once; then one of them repeats a part, which does no harm.
	var next atomic.Int64
	return func(budget int) membership.Section {
		var section membership.Section
		outstanding := make(map[cluster.ReplicaID]int)
		now := time.Now()
		for _, s := range n.routing.Statuses(now) {
			outstanding[s.Replica.ID] = s.Outstanding
		}
		var broken, rest []*wirepb.ReplicaStatus
		for _, s := range n.health.Status() {
			p := replicaStatus(s, outstanding[s.Replica.ID], now)
			switch {
			case !s.OwnBrokenAt.IsZero():
				broken = append(broken, p)
			case p.ConfirmedAgoMs != neverConfirmed || p.Outstanding > 0:
				rest = append(rest, p)
			}
		}
		fits := func(p *wirepb.ReplicaStatus) bool {
			section.Replicas = append(section.Replicas, p)
			if membership.SectionSize(section) <= budget {
				return true
			}
			section.Replicas = section.Replicas[:len(section.Replicas)-1]
			return false
		}
		for _, p := range broken {
			if !fits(p) {
				return section
			}
		}
		first := int(next.Load())
		sent := 0
		for sent < len(rest) && fits(rest[(first+sent)%len(rest)]) {
			sent++
		}
		if len(rest) > 0 {
			next.Store(int64((first + sent) % len(rest)))
		}
		return section
	}
}

func replicaStatus(s health.ReplicaStatus, outstanding int, now time.Time) *wirepb.ReplicaStatus {
	p := &wirepb.ReplicaStatus{Replica: string(s.Replica.ID), Generation: s.Replica.Generation,
		ConfirmedAgoMs: neverConfirmed, Outstanding: int32(outstanding)}
	if !s.OwnBrokenAt.IsZero() {
		p.Broken, p.BrokenAgoMs = true, now.Sub(s.OwnBrokenAt).Milliseconds()
	}
	if !s.OwnConfirmedAt.IsZero() {
		p.ConfirmedAgoMs = now.Sub(s.OwnConfirmedAt).Milliseconds()
		p.Running, p.Waiting, p.KvUsed = int32(s.Load.Running), int32(s.Load.Waiting), float32(s.Load.KVUsed)
		p.MaxRunning, p.LoadAgoMs = int32(s.Load.MaxRunning), now.Sub(s.Load.AsOf).Milliseconds()
	}
	return p
}

// demandSource tells the teams' demand at this node, the largest first as far
// as the budget goes.
func (n *Node) demandSource(budget int) membership.Section {
	var section membership.Section
	for _, d := range n.admission.Demands(time.Now()) {
		section.Demands = append(section.Demands, &wirepb.TeamDemand{Team: string(d.Team), Demand: float32(d.Demand), InFlight: int32(d.InFlight)})
		if membership.SectionSize(section) > budget {
			section.Demands = section.Demands[:len(section.Demands)-1]
			return section
		}
	}
	return section
}
