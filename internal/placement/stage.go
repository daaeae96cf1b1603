package placement

import (
	"cmp"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// preloadDomain is a fabric domain with free VMs that lack weights.
type preloadDomain struct {
	domain cluster.DomainID
	group  *rules.Group
	// eligible are the VMs that can load weights; staged counts the free VMs that have
	// them or are loading them.
	eligible []*VM
	staged   int
}

// missingLoads returns how many loads the domain's next replica still needs.
func (s preloadDomain) missingLoads() int { return s.group.VMs - s.staged%s.group.VMs }

// preloadSpares orders the loads of free VMs. Domains whose next replica needs the
// fewest loads come first, and among these the group with the largest shortage.
// A load that does not complete a replica provides a spare for the next loss.
func (m *mixPlan) preloadSpares() {
	domains := m.preloadDomains()
	completed := make(map[cluster.GroupName]int)
	for len(domains) > 0 {
		next := m.nextToPreload(domains, completed)
		d := &domains[next]
		loadsLeft := d.missingLoads()
		if loadsLeft == 1 {
			completed[d.group.Name]++
		}
		m.add(Action{Kind: Preload, Group: d.group.Name, VM: d.eligible[0].ID, CompletesReplica: loadsLeft == 1, Reason: preloadReason(loadsLeft)})
		d.eligible = d.eligible[1:]
		d.staged++
		if len(d.eligible) == 0 {
			domains = slices.Delete(domains, next, next+1)
		}
	}
}

func preloadReason(loadsLeft int) string {
	if loadsLeft == 1 {
		return "completes-a-replica"
	}
	return "spare"
}

func (m *mixPlan) preloadDomains() (out []preloadDomain) {
	for _, d := range m.domains {
		g := m.affinity[d]
		if g == nil {
			continue
		}
		s := preloadDomain{domain: d, group: g}
		for _, vm := range m.free[d] {
			switch {
			case g.Servers != "" && g.Servers != vm.Service, m.preloading[vm.ID]:
			case slices.Contains(vm.Staged, g.Model), vm.Loading == g.Model:
				s.staged++
			case vm.Loading == "":
				s.eligible = append(s.eligible, vm)
			}
		}
		if len(s.eligible) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// nextToPreload returns the index of the domain that loads next. completed counts
// the replicas that become possible with the loads ordered so far.
func (m *mixPlan) nextToPreload(domains []preloadDomain, completed map[cluster.GroupName]int) (best int) {
	shortage := func(g *rules.Group) float64 {
		return m.shortage(g) * float64(m.serving[g.Name]+1) / float64(m.serving[g.Name]+completed[g.Name]+1)
	}
	for i := range domains {
		a, b := &domains[i], &domains[best]
		if cmp.Or(cmp.Compare(a.missingLoads(), b.missingLoads()), cmp.Compare(shortage(b.group), shortage(a.group))) < 0 {
			best = i
		}
	}
	return best
}
