package placement

import (
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// form makes as many new replicas of the group as the free VMs, the wanted
// number and the spares to keep allow.
func (p *planner) form(g *rules.Group) {
	if g.VMs < 1 {
		return
	}
	for n := p.formable(g); n > 0; n-- {
		domain, ok := p.fullestDomain(g)
		if !ok {
			return
		}
		p.formIn(g, domain, "enough-free")
	}
}

// formIn forms a replica of free VMs of the domain, "" for any, if there are enough.
func (p *planner) formIn(g *rules.Group, domain cluster.DomainID, reason string) {
	members := p.take(g.VMs, domain, g)
	if members == nil {
		return
	}
	p.serving[g.Name]++
	p.add(Action{Kind: Form, Group: g.Name, Members: members, Reason: reason})
}

// formable is how many replicas of the group to form now. VMs that make up a
// whole replica are never held back as spares: one replica more serves whatever
// domain breaks next, spares only their own (docs/placement.md has the figures).
func (p *planner) formable(g *rules.Group) int {
	fits := 0
	if g.SameDomain {
		for _, d := range p.domains {
			fits += len(p.free[d]) / g.VMs
		}
	} else {
		fits = p.count("") / g.VMs
	}
	if g.Replicas > 0 {
		return min(fits, g.Replicas-p.serving[g.Name])
	}
	return min(fits, (p.count("")-p.sparesOfOthers(g))/g.VMs)
}

// sparesOfOthers is how many VMs other groups that weigh downtime higher keep
// idle. A group without a wanted number of replicas leaves them alone.
func (p *planner) sparesOfOthers(g *rules.Group) int {
	n := 0
	for i := range p.in.Groups {
		if other := &p.in.Groups[i]; other.Name != g.Name && other.Weigh != rules.WeighStranded {
			n += other.Spares
		}
	}
	return n
}

// fullestDomain is the domain with the most free VMs that has room for a
// replica; "" for a group that may spread over domains.
func (p *planner) fullestDomain(g *rules.Group) (cluster.DomainID, bool) {
	if !g.SameDomain {
		return "", p.count("") >= g.VMs
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

// hold has the remaining free VMs load the model that is served most in their
// domain, so that a swap costs no reading of weights.
func (p *planner) hold() {
	served := make(map[cluster.DomainID]map[cluster.GroupName]int)
	for _, r := range p.in.Replicas {
		d := p.domainOf(r)
		if served[d] == nil {
			served[d] = make(map[cluster.GroupName]int)
		}
		served[d][r.Group]++
	}
	for _, d := range p.domains {
		g := p.groupToHold(served[d])
		if g == nil {
			continue
		}
		for _, vm := range p.free[d] {
			p.add(Action{Kind: Preload, Group: g.Name, VM: vm.ID, Reason: "spare"})
		}
	}
}

// groupToHold is the group with the most replicas; the earlier rule wins a tie.
func (p *planner) groupToHold(served map[cluster.GroupName]int) *rules.Group {
	var best *rules.Group
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if best == nil || served[g.Name] > served[best.Name] {
			best = g
		}
	}
	return best
}
