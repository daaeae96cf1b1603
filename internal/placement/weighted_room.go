package placement

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// restartGrace is how long a missing VM may merely be restarting, which resolves
// itself. Only after it is another replica broken up to repair the one that misses it.
const restartGrace = 4 * time.Minute

// defragment frees VMs for same-domain replicas by moving replicas that may span
// domains. After a loss, the latter are repaired or formed with whichever VMs are
// free, and can occupy a VM without which three others stay stranded.
func (p *planner) defragment(now time.Time) {
	// Replicas that an earlier plan drained come first, so that successive plans
	// do not alternate between replicas.
	slices.SortStableFunc(p.intact, func(a, b replicaState) int { return drainOrder(a) - drainOrder(b) })
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if !g.SameDomain || g.VMs < 1 || g.Replicas > 0 && p.serving[g.Name] >= g.Replicas {
			continue
		}
		for _, d := range p.domains {
			if p.vacate(g, d, g.VMs-len(p.free[d])%g.VMs) {
				p.formIn(g, d, "room-made")
			}
		}
	}
	p.defragmentForBroken(now)
}

// defragmentForBroken frees VMs for broken same-domain replicas of groups that prefer
// fewer stranded accelerators: their survivors are idle until the missing VM is back.
func (p *planner) defragmentForBroken(now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(b replicaState) bool {
		g := b.group
		if !g.SameDomain || g.Weigh != rules.WeighStranded || b.lostAt.IsZero() || now.Sub(b.lostAt) < restartGrace {
			return false
		}
		d := p.domainOf(b.Replica)
		return p.vacate(g, d, len(b.missing)-len(p.free[d])) && p.replaceMissing(b, "room-made")
	})
}

// vacate frees the needed number of VMs in the domain. Replicas that may span domains
// move to other domains; if there is no space, those of a later rule without a wanted
// number are broken up. While any of them runs requests, all of them drain and the
// domain's free VMs are reserved. It reports whether the VMs are free now.
func (p *planner) vacate(g *rules.Group, d cluster.DomainID, needed int) bool {
	relocations, freed := p.planRelocations(g, d, needed)
	if freed < needed {
		return false
	}
	busy := slices.ContainsFunc(relocations, func(s relocation) bool { return p.in.Load[s.ID].Running > 0 })
	if busy {
		p.free[d] = nil
	}
	for _, step := range relocations {
		p.intact = slices.DeleteFunc(p.intact, func(r replicaState) bool { return r.ID == step.ID })
		switch {
		case busy:
			p.drain(step.Replica, "makes-room")
		case step.in == nil:
			p.breakUp(step.Replica, "makes-room")
		default:
			p.relocate(step)
		}
	}
	return !busy
}

// relocation moves a replica's members out of a domain. If in is nil, the replica is
// broken up.
type relocation struct {
	replicaState
	out, in []cluster.VMID
}

// planRelocations selects replicas until the needed number of their members can leave
// the domain, and returns how many VMs that frees.
func (p *planner) planRelocations(g *rules.Group, d cluster.DomainID, needed int) (relocations []relocation, freed int) {
	var targets []cluster.VMID
	for _, r := range p.intact {
		if freed >= needed || r.group.SameDomain {
			continue
		}
		out := p.movableMembers(r, d)
		if len(out) == 0 {
			continue
		}
		out = out[:min(len(out), needed-freed)]
		step := relocation{replicaState: r, out: out, in: p.sparesOutside(d, len(out), targets)}
		if step.in == nil && !p.mayBreakUp(r.group, g) {
			continue
		}
		targets = append(targets, step.in...)
		relocations = append(relocations, step)
		freed += len(out)
	}
	return relocations, freed
}

// mayBreakUp reports whether a replica of the victim group may be broken up in favour
// of group g.
func (p *planner) mayBreakUp(victim, g *rules.Group) bool {
	return victim.Replicas == 0 && victim.VMs <= g.VMs && victim.Line >= g.Line && p.serving[victim.Name] > 1
}

func drainOrder(r replicaState) int {
	if r.Leaving {
		return 0
	}
	return 1
}

func (p *planner) relocate(step relocation) {
	p.removeFree(step.in)
	p.add(Action{Kind: Replace, Group: step.Group, Replica: step.ID, OldMembers: step.out, NewMembers: step.in, Reason: "moves-to-make-room"})
	for _, id := range step.out {
		p.addFree(p.vms[id])
	}
}

// movableMembers returns the usable members of the replica in the domain.
func (p *planner) movableMembers(r replicaState, d cluster.DomainID) []cluster.VMID {
	var out []cluster.VMID
	for _, id := range r.Members {
		if vm := p.vms[id]; vm.Domain == d && vm.Usable() {
			out = append(out, id)
		}
	}
	return out
}

// sparesOutside returns n free VMs of other domains that are not excluded and do not
// suffice for a replica of their own, or nil.
func (p *planner) sparesOutside(d cluster.DomainID, n int, excluded []cluster.VMID) []cluster.VMID {
	size := p.maxSameDomainSize()
	var out []cluster.VMID
	for _, other := range p.domains {
		if other == d {
			continue
		}
		remainder := len(p.free[other]) % size
		for _, vm := range p.free[other][:remainder] {
			if len(out) < n && !slices.Contains(excluded, vm.ID) {
				out = append(out, vm.ID)
			}
		}
	}
	if len(out) < n {
		return nil
	}
	return out
}

// removeFree removes the VMs from the free pool.
func (p *planner) removeFree(ids []cluster.VMID) {
	for d := range p.free {
		p.free[d] = slices.DeleteFunc(p.free[d], func(vm VM) bool { return slices.Contains(ids, vm.ID) })
	}
}
