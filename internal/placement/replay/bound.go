package replay

import (
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// lowerBound is the least group downtime and the fewest stranded accelerators that any
// policy can have at one moment, in replicas and VMs.
type lowerBound struct{ downtime, stranded int }

// lowerBounds returns the number of live VMs and the lower bound at the current time.
// The bound is that of a policy that knows the future and regroups in no time: it
// has as many replicas as the live VMs of each domain allow, and detection, loading
// of weights and joining only add to that. Groups that may span domains are assumed
// to fit into any remainder, which can only lower the bound.
func (s *sim) lowerBounds() (live int, b lowerBound) {
	perDomain := make(map[cluster.DomainID]int)
	for _, v := range s.vms {
		if v.up() && v.leaving == 0 {
			perDomain[v.Domain]++
			live++
		}
	}
	fits := fitReplicas(perDomain, s.groups)
	used := 0
	for _, g := range s.groups {
		b.downtime += max(0, s.targets[g.Name]-fits[g.Name])
		used += fits[g.Name] * g.VMs
	}
	b.stranded = live - used
	return live, b
}

// fitReplicas returns how many replicas of each group fit into domains of the given
// sizes, in order of the rules. A group that may span domains first takes the VMs that
// remain beyond whole multiples of the largest same-domain group, which costs the
// latter nothing. After that, each multiple that it takes costs the latter one replica,
// whichever the domain.
func fitReplicas(perDomain map[cluster.DomainID]int, groups []rules.Group) map[cluster.GroupName]int {
	size := 1
	for _, g := range groups {
		if g.SameDomain {
			size = max(size, g.VMs)
		}
	}
	wholeMultiples, remainder := 0, 0 // VMs in whole multiples of size, and the remaining ones
	for _, n := range perDomain {
		wholeMultiples += n / size * size
		remainder += n % size
	}
	out := make(map[cluster.GroupName]int, len(groups))
	for _, g := range groups {
		available := wholeMultiples + remainder
		if g.SameDomain {
			available = wholeMultiples
		}
		n := available / g.VMs
		if g.Replicas > 0 {
			n = min(n, g.Replicas)
		}
		out[g.Name] = n
		needed := n * g.VMs
		if !g.SameDomain {
			fromRemainder := min(needed, remainder)
			remainder -= fromRemainder
			needed -= fromRemainder
		}
		wholeMultiples -= needed
		remainder += wholeMultiples % size
		wholeMultiples -= wholeMultiples % size
	}
	return out
}

// fitAtFullHealth returns how many replicas of each group fit into the zone while all
// VMs are up. Downtime is measured against this number.
func fitAtFullHealth(t Trace, groups []rules.Group) map[cluster.GroupName]int {
	perDomain := make(map[cluster.DomainID]int)
	for _, v := range t.VMs {
		perDomain[v.Domain]++
	}
	return fitReplicas(perDomain, groups)
}
