package placement

import (
	"cmp"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// domainSummary is the part of a fabric domain's state on which affinity depends.
type domainSummary struct {
	id   cluster.DomainID
	zone cluster.ZoneID
	vms  int
	// staged counts, by group, the VMs that have the group's weights.
	staged map[cluster.GroupName]int
}

// assignAffinities maps each fabric domain to the group whose weights its VMs load.
// A domain keeps the group whose weights most of its VMs have. Domains without
// weights are divided among the groups in proportion to demand by the D'Hondt
// method; a group takes the domain in the zone where it has the fewest.
func assignAffinities(in Input, vms map[cluster.VMID]*VM) map[cluster.DomainID]*rules.Group {
	out := make(map[cluster.DomainID]*rules.Group)
	assignedVMs := make(map[cluster.GroupName]int)
	domainsPerZone := make(map[groupZone]int)
	assign := func(d domainSummary, g *rules.Group) {
		out[d.id] = g
		assignedVMs[g.Name] += d.vms
		domainsPerZone[groupZone{g.Name, d.zone}]++
	}
	var unassigned []domainSummary
	for _, d := range summarizeDomains(in, vms) {
		if g := d.mostStaged(in.Groups); g != nil {
			assign(d, g)
		} else {
			unassigned = append(unassigned, d)
		}
	}
	for len(unassigned) > 0 {
		g := highestQuotient(in.Groups, assignedVMs, unassigned[0].vms)
		if g == nil {
			return out
		}
		chosen := 0
		for i := range unassigned {
			if domainsPerZone[groupZone{g.Name, unassigned[i].zone}] < domainsPerZone[groupZone{g.Name, unassigned[chosen].zone}] {
				chosen = i
			}
		}
		assign(unassigned[chosen], g)
		unassigned = slices.Delete(unassigned, chosen, chosen+1)
	}
	return out
}

// summarizeDomains returns the domains of the input, ordered by id.
func summarizeDomains(in Input, vms map[cluster.VMID]*VM) []domainSummary {
	byID := make(map[cluster.DomainID]*domainSummary)
	for i := range in.VMs {
		vm := &in.VMs[i]
		d := byID[vm.Domain]
		if d == nil {
			d = &domainSummary{id: vm.Domain, zone: vm.Zone, staged: make(map[cluster.GroupName]int)}
			byID[vm.Domain] = d
		}
		d.vms++
		for j := range in.Groups {
			if g := &in.Groups[j]; slices.Contains(vm.Staged, g.Model) {
				d.staged[g.Name]++
			}
		}
	}
	// Members that are still loading a replica's weights count as having them.
	for i := range in.Replicas {
		r := &in.Replicas[i]
		for _, id := range r.Members {
			if vm, known := vms[id]; known && !slices.Contains(vm.Staged, r.Model) && r.Group != "" {
				byID[vm.Domain].staged[r.Group]++
			}
		}
	}
	out := make([]domainSummary, 0, len(byID))
	for _, d := range byID {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b domainSummary) int { return cmp.Compare(a.id, b.id) })
	return out
}

// mostStaged returns the group whose weights most VMs of the domain have, or nil.
func (d domainSummary) mostStaged(groups []rules.Group) (best *rules.Group) {
	for i := range groups {
		g := &groups[i]
		if n := d.staged[g.Name]; n > 0 && (best == nil || n > d.staged[best.Name]) {
			best = g
		}
	}
	return best
}

// highestQuotient returns the group with the highest D'Hondt quotient: adjusted
// demand over the VMs assigned to it, including the next domain.
func highestQuotient(groups []rules.Group, assignedVMs map[cluster.GroupName]int, domainSize int) (best *rules.Group) {
	highest := 0.0
	for i := range groups {
		g := &groups[i]
		if g.VMs < 1 {
			continue
		}
		if quotient := adjustedDemand(g, domainSize) / float64(assignedVMs[g.Name]+domainSize); best == nil || quotient > highest {
			best, highest = g, quotient
		}
	}
	return best
}

// adjustedDemand returns the group's demand for VMs, increased to make up for those
// that it cannot use: on average (VMs-1)/2 of a domain's VMs do not fill a replica.
func adjustedDemand(g *rules.Group, domainSize int) float64 {
	demand := g.Demand
	if demand <= 0 {
		demand = 1
	}
	idleVMs := float64(g.VMs-1) / 2
	if float64(domainSize) <= idleVMs {
		return demand
	}
	return demand * float64(domainSize) / (float64(domainSize) - idleVMs)
}
