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

// refreshInterval is how often admission gets the capacities and the list of nodes.
const refreshInterval = time.Second

// registerCallbacks connects the components: each is notified of the others' changes.
func (n *Node) registerCallbacks() {
	for _, table := range n.groupings() {
		table.OnChange(func(g cluster.Grouping) {
			n.health.SetGrouping(g)
			n.setRoutes(g, n.vms.List())
		})
	}
	n.health.OnChange(func(r cluster.Replica, healthy bool, reason string) {
		n.log.Info("replica", "replica", r.ID, "generation", r.Generation, "whole", healthy, "reason", reason)
		n.routing.SetHealthy(r.ID, r.Generation, healthy)
		n.outages.notify()
		n.signalCapacityChange()
	})
	n.health.OnLoad(func(r cluster.Replica, load engine.Load) { n.routing.ReportLoad(r.ID, load, time.Now()) })
	n.rules.OnChange(func(*rules.Set) { n.members.TriggerHeartbeat() })
	n.members.SetRulesRevision(n.rules.Revision)
	n.members.OnDatagram(n.receiveDatagram)
	n.members.OnDatagram(n.suspects.Receive)
	n.members.AddSource(n.suspects.Section)
	n.members.AddSource(n.newReplicaSource())
	n.members.AddSource(n.demandSource)
}

// vmsChanged passes a new VM list to the health check and the router.
func (n *Node) vmsChanged(list cluster.VMList) {
	n.health.SetVMs(list)
	for _, table := range n.groupings() {
		n.setRoutes(table.Current(), list)
	}
}

// groupings returns the groupings of all zones whose replicas this node uses.
func (n *Node) groupings() []*grouping.Table {
	return append([]*grouping.Table{n.grouping}, n.neighborGroupings...)
}

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

// startTasks starts the background tasks.
func (n *Node) startTasks(ctx context.Context) {
	for _, table := range n.neighborGroupings {
		n.tasks.Go(func() { table.Run(ctx) })
	}
	for _, run := range []func(context.Context){
		n.vms.Run, n.members.Run, n.rules.Run, n.grouping.Run, n.health.Run, n.controller.Run, n.cachePoller().Run, n.outages.run, n.refreshLoop,
	} {
		n.tasks.Go(func() { run(ctx) })
	}
}

// cachePoller returns the task that reads the engines' cache events for the router.
func (n *Node) cachePoller() *routing.CachePoller {
	return &routing.CachePoller{Table: n.routing, Source: n.engines, Log: n.log}
}

// refreshLoop updates admission's nodes and capacities every refreshInterval, and the
// capacities at once when a replica becomes healthy or ceases to be.
func (n *Node) refreshLoop(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.refreshNodes()
			n.refreshCapacity()
		case <-n.capacityChanged:
			n.refreshCapacity()
		}
	}
}

// signalCapacityChange triggers a refresh of the capacities without blocking. Otherwise a
// group whose first replica became healthy would refuse callers as overloaded until the next
// tick, while its status already shows it healthy.
func (n *Node) signalCapacityChange() {
	select {
	case n.capacityChanged <- struct{}{}:
	default:
	}
}

func (n *Node) refreshNodes() {
	nodes := []admission.Node{{ID: n.cfg.Node, Zone: n.cfg.Zone}}
	for _, m := range n.servingMembers() {
		nodes = append(nodes, admission.Node{ID: m.Node, Zone: m.Zone})
	}
	n.admission.SetNodes(nodes)
}

// servingMembers returns the other nodes that may be serving callers.
func (n *Node) servingMembers() []membership.Member {
	members := n.members.Members()
	return slices.DeleteFunc(members, func(m membership.Member) bool { return m.Status == membership.Dead || m.Leaving })
}

func (n *Node) livePeerCount() int { return len(n.servingMembers()) }

// refreshCapacity reports to admission how many requests the healthy replicas of each group
// run concurrently; a group without healthy replicas has capacity 0.
func (n *Node) refreshCapacity() {
	slots := n.routing.Capacities(time.Now())
	if set := n.rules.Current(); set != nil {
		for i := range set.Groups {
			if _, known := slots[set.Groups[i].Name]; !known {
				slots[set.Groups[i].Name] = 0
			}
		}
	}
	for group, capacity := range slots {
		n.admission.SetCapacity(group, capacity)
	}
}

// receiveDatagram applies another node's datagram.
func (n *Node) receiveDatagram(from membership.Member, d *wirepb.Datagram) {
	now := time.Now()
	n.rules.ObservePeer(from.Node, d.RulesRevision)
	demands := make([]admission.Demand, len(d.Demands))
	for i, t := range d.Demands {
		demands[i] = admission.Demand{Team: cluster.TeamID(t.Team), Demand: float64(t.Demand), InFlight: int(t.InFlight)}
	}
	n.admission.ObservePeer(from.Node, demands, now)
	n.receiveReplicaStatuses(from, d.Replicas, now)
}

func (n *Node) receiveReplicaStatuses(from membership.Member, statuses []*wirepb.ReplicaStatus, now time.Time) {
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

// neverConfirmed is the value of confirmed_ago_ms for a replica that this node has not
// confirmed.
const neverConfirmed = -1

// newReplicaSource returns a source of replica statuses: what this node's own polls found
// and how many of its requests run there. Successive datagrams continue through the
// replicas in turn. Broken replicas come first, as they make other nodes stop using them.
func (n *Node) newReplicaSource() membership.Source {
	// next is the index at which the next datagram continues. Heartbeats, nudges and the
	// leave message may ask concurrently; then one of them repeats entries, which is harmless.
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
		appendIfFits := func(p *wirepb.ReplicaStatus) bool {
			section.Replicas = append(section.Replicas, p)
			if membership.SectionSize(section) <= budget {
				return true
			}
			section.Replicas = section.Replicas[:len(section.Replicas)-1]
			return false
		}
		for _, p := range broken {
			if !appendIfFits(p) {
				return section
			}
		}
		start := int(next.Load())
		sent := 0
		for sent < len(rest) && appendIfFits(rest[(start+sent)%len(rest)]) {
			sent++
		}
		if len(rest) > 0 {
			next.Store(int64((start + sent) % len(rest)))
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

// demandSource returns the teams' demand at this node, the largest first, as far as the
// budget allows.
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
