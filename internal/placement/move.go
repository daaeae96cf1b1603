package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Limits on moves of VMs between models by measured work.
const (
	// workReviewInterval is how often the measured work is compared with the replicas.
	workReviewInterval = time.Second
	// burstFactor is how much a model's work may rise without a shortage.
	burstFactor = 1.3
	// minUtilization is the utilization from which a model receives VMs, and maxRelief the
	// utilization of the giver after the move, as a fraction of the receiver's. Models that
	// are about equally busy give each other nothing, so that no VM moves back and forth.
	minUtilization = 0.5
	maxRelief      = 0.75
)

// move is a domain whose VMs are to serve another model.
type move struct {
	from, to *rules.Group
	domain   cluster.DomainID
}

// planMove moves a domain's VMs from a model that has more replicas than its work needs to the
// busiest one. One domain moves at a time: its VMs stage the other model's weights while their
// replicas serve. Replicas whose members all have them are broken up, as many at a time as one
// replica of the other model needs.
//
// The state of a move is in the VMs' staged weights alone, so a new holder continues it, and a
// move whose reason has gone is left as it is: the domain keeps the model that most of its VMs
// have staged.
func (m *mixPlan) planMove() (out []Action) {
	if m.move == nil {
		return nil
	}
	ready := 0
	for _, vm := range m.free[m.move.domain] {
		if slices.Contains(vm.Staged, m.move.to.Model) {
			ready++
		}
	}
	var breakUps []Action
	for _, r := range m.in.Replicas {
		if r.Group != m.move.from.Name || m.domainOf(r) != m.move.domain || m.lossReason(r) != "" {
			continue
		}
		missing := m.missingWeights(r.Members, m.move.to)
		for _, vm := range missing {
			out = append(out, Action{Kind: Preload, Group: m.move.to.Name, VM: vm, Reason: ReasonMoved})
		}
		if len(missing) == 0 && (ready < m.move.to.VMs || len(breakUps) == 0) {
			ready += len(r.Members)
			breakUps = append(breakUps, Action{Kind: BreakUp, Group: r.Group, Replica: r.ID, Reason: ReasonMoved})
		}
	}
	if ready < m.move.to.VMs {
		return out
	}
	return append(out, breakUps...)
}

// missingWeights returns the VMs that do not have the group's weights staged.
func (m *mixPlan) missingWeights(vms []cluster.VMID, g *rules.Group) (missing []cluster.VMID) {
	for _, id := range vms {
		if vm := m.vms[id]; vm != nil && !slices.Contains(vm.Staged, g.Model) {
			missing = append(missing, id)
		}
	}
	return missing
}

// chooseMove returns the domain to move, or nil. While a zone is evacuated its replicas are only
// absent, and no VM moves to replace them.
func (m *mixPlan) chooseMove() *move {
	to := m.busiestGroup()
	if m.in.Work == nil || m.in.CheapLoads || m.evacuating || to == nil || m.utilization(to, 0) < minUtilization {
		return nil
	}
	var best *movableDomain
	for _, d := range m.movableDomains(to) {
		if m.canGive(d, to) && (best == nil || d.compare(best) < 0) {
			best = d
		}
	}
	if best == nil {
		return nil
	}
	return &move{from: best.from, to: to, domain: best.id}
}

// movesAway reports whether the VM is about to leave the group for another.
func (m *mixPlan) movesAway(vm *VM, g *rules.Group) bool {
	return m.move != nil && g == m.move.from && vm.Domain == m.move.domain && slices.Contains(vm.Staged, m.move.to.Model)
}

// utilization returns the group's work per replica if it had that many more replicas.
func (m *mixPlan) utilization(g *rules.Group, more int) float64 {
	return m.in.Work[g.Name] / float64(max(m.serving[g.Name]+more, 1))
}

func (m *mixPlan) busiestGroup() (busiest *rules.Group) {
	for i := range m.in.Groups {
		g := &m.in.Groups[i]
		if g.VMs > 0 && (busiest == nil || m.utilization(g, 0) > m.utilization(busiest, 0)) {
			busiest = g
		}
	}
	return busiest
}

// movableDomain is a domain with replicas of a group that may give its VMs to another.
type movableDomain struct {
	id   cluster.DomainID
	zone cluster.ZoneID
	from *rules.Group
	// replicas is the number of the giver's replicas in the domain, inZone in its zone.
	replicas, inZone int
	// members counts the members of these replicas, and staged those that have staged or are
	// loading the receiver's weights.
	members, staged int
}

// compare orders domains by preference: a move under way first, then the zone where the giver has
// most replicas, then the domain where it has fewest.
func (d *movableDomain) compare(o *movableDomain) int {
	return cmp.Or(cmp.Compare(o.staged, d.staged), cmp.Compare(o.inZone, d.inZone), cmp.Compare(d.replicas, o.replicas), cmp.Compare(d.id, o.id))
}

func (m *mixPlan) movableDomains(to *rules.Group) []*movableDomain {
	type key struct {
		domain cluster.DomainID
		group  cluster.GroupName
	}
	byKey := make(map[key]*movableDomain)
	var out []*movableDomain
	for _, r := range m.in.Replicas {
		g := FindGroup(m.in.Groups, r.Group)
		d := m.domainOf(r)
		if g == nil || g == to || g.Servers != to.Servers || d == "" || m.lossReason(r) != "" {
			continue
		}
		at := key{d, g.Name}
		if byKey[at] == nil {
			zone := m.zoneOf(r.Members)
			byKey[at] = &movableDomain{id: d, zone: zone, from: g, inZone: m.perZone[groupZone{g.Name, zone}]}
			out = append(out, byKey[at])
		}
		byKey[at].replicas++
		for _, id := range r.Members {
			byKey[at].members++
			if vm := m.vms[id]; vm != nil && (vm.Loading == to.Model || slices.Contains(vm.Staged, to.Model)) {
				byKey[at].staged++
			}
		}
	}
	return out
}

// canGive reports whether the giver's work fits on its other replicas: after the loss of the
// domain in which it then has most, with room for a burst, and after the loss of such a zone. The
// giver must also stay clearly less busy than the receiver. A move under way ends only when the
// work no longer fits.
func (m *mixPlan) canGive(d *movableDomain, to *rules.Group) bool {
	burst, relief := burstFactor, maxRelief
	if d.staged > 0 {
		burst, relief = 1, 1
	}
	work, remaining := m.in.Work[d.from.Name], m.serving[d.from.Name]-d.replicas
	zone, domain, zones := m.largestShares(d)
	switch {
	case zones < m.zonesOf(d.from):
		return false
	case work*burst > float64(remaining-domain), zones > 1 && work > float64(remaining-zone):
		return false
	}
	received := (d.members + len(m.free[d.id])) / to.VMs
	return received > 0 && m.utilization(d.from, -d.replicas) <= relief*m.utilization(to, received)
}

// largestShares returns how many replicas the giver has after the move in the zone and in the
// domain where it then has most, and in how many zones it has any.
func (m *mixPlan) largestShares(d *movableDomain) (zone, domain, zones int) {
	for at, n := range m.perZone {
		if at.group != d.from.Name {
			continue
		}
		if at.zone == d.zone {
			n -= d.replicas
		}
		zone = max(zone, n)
		if n > 0 {
			zones++
		}
	}
	perDomain := make(map[cluster.DomainID]int)
	for _, r := range m.in.Replicas {
		if at := m.domainOf(r); r.Group == d.from.Name && at != d.id {
			perDomain[at]++
			domain = max(domain, perDomain[at])
		}
	}
	return zone, domain, zones
}

// zonesOf returns the number of zones in which the group has replicas.
func (m *mixPlan) zonesOf(g *rules.Group) (count int) {
	for at, n := range m.perZone {
		if at.group == g.Name && n > 0 {
			count++
		}
	}
	return count
}
