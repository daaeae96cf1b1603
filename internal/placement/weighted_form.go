package placement

import (
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// form adds as many replicas of the group as the free VMs, the wanted number and
// the reserved spares allow.
func (p *planner) form(g *rules.Group) {
	if g.VMs < 1 {
		return
	}
	for n := p.formableReplicas(g); n > 0; n-- {
		domain, ok := p.mostFreeDomain(g)
		if !ok {
			return
		}
		p.formIn(g, domain, "enough-free")
	}
}

// formIn forms a replica from free VMs of the domain, or of any domain for "", if
// there are enough.
func (p *planner) formIn(g *rules.Group, domain cluster.DomainID, reason string) {
	members := p.takeFree(g.VMs, domain, g)
	if members == nil {
		return
	}
	p.serving[g.Name]++
	p.add(Action{Kind: Form, Group: g.Name, Members: members, Reason: reason})
}

// formableReplicas returns how many replicas of the group to form now. VMs that
// suffice for a replica are never held back as spares: a further replica serves
// whichever domain fails next, spares only their own (figures in docs/placement.md).
func (p *planner) formableReplicas(g *rules.Group) int {
	fits := 0
	if g.SameDomain {
		for _, d := range p.domains {
			fits += len(p.free[d]) / g.VMs
		}
	} else {
		fits = p.countFree("") / g.VMs
	}
	if g.Replicas > 0 {
		return min(fits, g.Replicas-p.serving[g.Name])
	}
	return min(fits, (p.countFree("")-p.reservedSpares(g))/g.VMs)
}

// reservedSpares returns how many VMs stay idle as spares of other groups that
// prefer less downtime. Only groups without a wanted number of replicas respect them.
func (p *planner) reservedSpares(g *rules.Group) int {
	n := 0
	for i := range p.in.Groups {
		if other := &p.in.Groups[i]; other.Name != g.Name && other.Weigh != rules.WeighStranded {
			n += other.Spares
		}
	}
	return n
}

// mostFreeDomain returns the domain with the most free VMs that has enough for a
// replica; "" for a group that may span domains.
func (p *planner) mostFreeDomain(g *rules.Group) (cluster.DomainID, bool) {
	if !g.SameDomain {
		return "", p.countFree("") >= g.VMs
	}
	var best cluster.DomainID
	most := g.VMs - 1
	for _, d := range p.domains {
		if n := len(p.free[d]); n > most {
			best, most = d, n
		}
	}
	return best, most >= g.VMs
}

// preloadSpares has the remaining free VMs load the model with the most replicas in
// their domain, so that a replacement need not wait for weights.
func (p *planner) preloadSpares() {
	served := make(map[cluster.DomainID]map[cluster.GroupName]int)
	for _, r := range p.in.Replicas {
		d := p.domainOf(r)
		if served[d] == nil {
			served[d] = make(map[cluster.GroupName]int)
		}
		served[d][r.Group]++
	}
	for _, d := range p.domains {
		g := p.groupToPreload(served[d])
		if g == nil {
			continue
		}
		for _, vm := range p.free[d] {
			p.add(Action{Kind: Preload, Group: g.Name, VM: vm.ID, Reason: "spare"})
		}
	}
}

// groupToPreload returns the group with the most replicas; in a tie, the earlier rule.
func (p *planner) groupToPreload(served map[cluster.GroupName]int) *rules.Group {
	var best *rules.Group
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if best == nil || served[g.Name] > served[best.Name] {
			best = g
		}
	}
	return best
}
