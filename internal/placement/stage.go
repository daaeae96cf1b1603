package placement

import (
	"cmp"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// stageable is a domain with free VMs without weights.
type stageable struct {
	domain cluster.DomainID
	group  *rules.Group
	// cold are the VMs that may read weights; staged counts the free ones that have
	// them or are reading.
	cold   []*VM
	staged int
}

// missing is how many loads the next replica of the domain waits for.
func (s stageable) missing() int { return s.group.VMs - s.staged%s.group.VMs }

// stageAhead orders the loads of free VMs: first those that let a replica be
// formed with the fewest loads, and among these those of the group that lacks
// replicas most. A load that can't complete a replica is a spare for the next loss.
func (m *mixPlan) stageAhead() {
	domains := m.stageables()
	serving := make(map[cluster.GroupName]int)
	for len(domains) > 0 {
		at := m.nextToStage(domains, serving)
		d := &domains[at]
		missing := d.missing()
		if missing == 1 {
			serving[d.group.Name]++
		}
		m.add(Action{Kind: Preload, Group: d.group.Name, VM: d.cold[0].ID, CompletesReplica: missing == 1, Reason: stageReason(missing)})
		d.cold = d.cold[1:]
		d.staged++
		if len(d.cold) == 0 {
			domains = slices.Delete(domains, at, at+1)
		}
	}
}

func stageReason(missing int) string {
	if missing == 1 {
		return "completes-a-replica"
	}
	return "spare"
}

func (m *mixPlan) stageables() (out []stageable) {
	for _, d := range m.domains {
		g := m.affinity[d]
		if g == nil {
			continue
		}
		s := stageable{domain: d, group: g}
		for _, vm := range m.free[d] {
			switch {
			case g.Servers != "" && g.Servers != vm.Service, m.staging[vm.ID]:
			case slices.Contains(vm.Staged, g.Model), vm.Loading == g.Model:
				s.staged++
			case vm.Loading == "":
				s.cold = append(s.cold, vm)
			}
		}
		if len(s.cold) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// nextToStage is the domain whose load comes first. formed counts the replicas
// that loads ordered before this one make possible.
func (m *mixPlan) nextToStage(domains []stageable, formed map[cluster.GroupName]int) (best int) {
	lack := func(g *rules.Group) float64 {
		return m.need(g) * float64(m.serving[g.Name]+1) / float64(m.serving[g.Name]+formed[g.Name]+1)
	}
	for i := range domains {
		a, b := &domains[i], &domains[best]
		if cmp.Or(cmp.Compare(a.missing(), b.missing()), cmp.Compare(lack(b.group), lack(a.group))) < 0 {
			best = i
		}
	}
	return best
}
