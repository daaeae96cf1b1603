package replay

import (
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// bound is what no policy can undercut at one moment, in replicas and VMs.
type bound struct{ downtime, stranded int }

// bounds returns the number of live VMs and the lower bounds now: those of a
// policy that knows the future and regroups in no time. Such a policy has as
// many replicas as the live VMs of each domain allow; detection, reading of
// weights and joining only add to that. Groups that may spread over domains are
// taken to fit into any rest, which makes the bound lower, so it holds.
func (s *sim) bounds() (live int, b bound) {
	perDomain := make(map[cluster.DomainID]int)
	for _, v := range s.vms {
		if v.up() && v.leaving == 0 {
			perDomain[v.Domain]++
			live++
		}
	}
	fits := fit(perDomain, s.groups)
	used := 0
	for _, g := range s.groups {
		b.downtime += max(0, s.targets[g.Name]-fits[g.Name])
		used += fits[g.Name] * g.VMs
	}
	b.stranded = live - used
	return live, b
}

// fit is how many replicas of each group fit into domains of the given sizes,
// in order of the rules. A group that may spread takes what is left over by
// whole multiples of the largest same-domain group first: that costs the latter
// nothing, and every further taking of that many VMs costs it one replica
// whatever the domain.
func fit(perDomain map[cluster.DomainID]int, groups []rules.Group) map[cluster.GroupName]int {
	size := 1
	for _, g := range groups {
		if g.SameDomain {
			size = max(size, g.VMs)
		}
	}
	whole, rest := 0, 0 // VMs in whole multiples of size, and left over
	for _, n := range perDomain {
		whole += n / size * size
		rest += n % size
	}
	out := make(map[cluster.GroupName]int, len(groups))
	for _, g := range groups {
		open := whole + rest
		if g.SameDomain {
			open = whole
		}
		n := open / g.VMs
		if g.Replicas > 0 {
			n = min(n, g.Replicas)
		}
		out[g.Name] = n
		used := n * g.VMs
		if !g.SameDomain {
			fromRest := min(used, rest)
			rest -= fromRest
			used -= fromRest
		}
		whole -= used
		rest += whole % size
		whole -= whole % size
	}
	return out
}

// fitting is how many replicas of each group fit the zone at full health: the
// number that downtime is counted against.
func fitting(t Trace, groups []rules.Group) map[cluster.GroupName]int {
	perDomain := make(map[cluster.DomainID]int)
	for _, v := range t.VMs {
		perDomain[v.Domain]++
	}
	return fit(perDomain, groups)
}
