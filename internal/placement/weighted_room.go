package placement

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// restartGrace is how long a missing VM may be a mere restart, which ends by
// itself; only after it is another replica taken apart for a broken one's sake.
const restartGrace = 4 * time.Minute

// makeRoom frees VMs for same-domain replicas from replicas that may spread over
// domains. After a loss the latter are repaired or formed with whatever is free,
// which can leave them on VMs that strand three others for good.
func (p *planner) makeRoom(now time.Time) {
	// Those that an earlier plan drained come first, so that plans do not switch
	// from one replica to another.
	slices.SortStableFunc(p.intact, func(a, b brokenReplica) int { return drainedFirst(a) - drainedFirst(b) })
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if !g.SameDomain || g.VMs < 1 || g.Replicas > 0 && p.serving[g.Name] >= g.Replicas {
			continue
		}
		for _, d := range p.domains {
			if p.roomFor(g, d, g.VMs-len(p.free[d])%g.VMs) {
				p.formIn(g, d, "room-made")
			}
		}
	}
	p.roomForBroken(now)
}

// roomForBroken does the same for broken replicas of groups that weigh fewer
// stranded accelerators: their survivors idle until the missing VM is back.
func (p *planner) roomForBroken(now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(b brokenReplica) bool {
		g := b.group
		if !g.SameDomain || g.Weigh != rules.WeighStranded || b.since.IsZero() || now.Sub(b.since) < restartGrace {
			return false
		}
		d := p.domainOf(b.Replica)
		return p.roomFor(g, d, len(b.missing)-len(p.free[d])) && p.fill(b, "room-made")
	})
}

// roomFor frees `short` VMs of the domain: replicas that may spread over domains
// move elsewhere or, if they are of a later rule that takes whatever is left, are
// broken up. All of them drain first; the domain's free VMs wait for them. It
// reports whether the VMs are free now.
func (p *planner) roomFor(g *rules.Group, d cluster.DomainID, short int) bool {
	steps, freed := p.roomSteps(g, d, short)
	if freed < short {
		return false
	}
	busy := slices.ContainsFunc(steps, func(s roomStep) bool { return p.in.Load[s.ID].Running > 0 })
	if busy {
		p.free[d] = nil
	}
	for _, step := range steps {
		p.intact = slices.DeleteFunc(p.intact, func(r brokenReplica) bool { return r.ID == step.ID })
		switch {
		case busy:
			p.drain(step.Replica, "makes-room")
		case step.in == nil:
			p.breakUp(step.Replica, "makes-room")
		default:
			p.move(step)
		}
	}
	return !busy
}

// roomStep is one replica that leaves a domain: to in, or for good if in is nil.
type roomStep struct {
	brokenReplica
	out, in []cluster.VMID
}

// roomSteps picks replicas of which `short` members in the domain can go, and
// says how many VMs that frees.
func (p *planner) roomSteps(g *rules.Group, d cluster.DomainID, short int) (steps []roomStep, freed int) {
	var spare []cluster.VMID
	for _, r := range p.intact {
		if freed >= short || r.group.SameDomain {
			continue
		}
		out := p.membersIn(r, d)
		if len(out) == 0 {
			continue
		}
		out = out[:min(len(out), short-freed)]
		step := roomStep{brokenReplica: r, out: out, in: p.spareOutside(d, len(out), spare)}
		if step.in == nil && !p.yields(r.group, g) {
			continue
		}
		spare = append(spare, step.in...)
		steps = append(steps, step)
		freed += len(out)
	}
	return steps, freed
}

// yields reports whether replicas of group small are broken up for group g.
func (p *planner) yields(small, g *rules.Group) bool {
	return small.Replicas == 0 && small.VMs <= g.VMs && small.Line >= g.Line && p.serving[small.Name] > 1
}

func drainedFirst(r brokenReplica) int {
	if r.Leaving {
		return 0
	}
	return 1
}

func (p *planner) move(step roomStep) {
	p.remove(step.in)
	p.add(Action{Kind: Replace, Group: step.Group, Replica: step.ID, OldMembers: step.out, NewMembers: step.in, Reason: "moves-to-make-room"})
	for _, id := range step.out {
		p.release(p.vms[id])
	}
}

// membersIn returns the replica's members in the domain that another could take.
func (p *planner) membersIn(r brokenReplica, d cluster.DomainID) []cluster.VMID {
	var out []cluster.VMID
	for _, id := range r.Members {
		if vm := p.vms[id]; vm.Domain == d && vm.Usable() {
			out = append(out, id)
		}
	}
	return out
}

// spareOutside picks n free VMs of other domains that no replica could be formed
// of and that are not in taken, or nil.
func (p *planner) spareOutside(d cluster.DomainID, n int, taken []cluster.VMID) []cluster.VMID {
	size := p.largestSameDomain()
	var out []cluster.VMID
	for _, other := range p.domains {
		if other == d {
			continue
		}
		rest := len(p.free[other]) % size
		for _, vm := range p.free[other][:rest] {
			if len(out) < n && !slices.Contains(taken, vm.ID) {
				out = append(out, vm.ID)
			}
		}
	}
	if len(out) < n {
		return nil
	}
	return out
}

// remove takes the given VMs out of the free pool.
func (p *planner) remove(ids []cluster.VMID) {
	for d := range p.free {
		p.free[d] = slices.DeleteFunc(p.free[d], func(vm VM) bool { return slices.Contains(ids, vm.ID) })
	}
}
