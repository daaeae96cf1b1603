package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Weighted keeps a broken replica together and swaps only the missing members,
// from spares that have loaded the model ahead, or from the broken replica that
// is worst off. It trades group downtime against stranded accelerators by the
// group's weigh: with WeighDowntime groups that take as many VMs as fit leave
// the group's spares idle, with WeighStranded they don't.
type Weighted struct{}

// Name implements Policy.
func (Weighted) Name() string { return "weighted" }

// Plan implements Policy.
func (Weighted) Plan(in Input, now time.Time) Plan {
	p := newPlanner(in)
	p.review()
	p.repair()
	p.makeRoom(now)
	p.resume()
	for i := range in.Groups {
		p.form(&in.Groups[i])
	}
	p.hold()
	return Plan{Actions: p.actions}
}

// planner is the working state of one Plan call.
type planner struct {
	in      Input
	vms     map[cluster.VMID]VM
	free    map[cluster.DomainID][]VM // usable VMs of no replica
	domains []cluster.DomainID        // in order, for plans that do not depend on map order
	broken  []brokenReplica
	intact  []brokenReplica           // no member is missing; drained ones too
	waiting []brokenReplica           // broken and not to be repaired now
	serving map[cluster.GroupName]int // replicas with no missing member, and those repaired
	actions []Action
}

// brokenReplica is a replica with members that are down or leaving.
type brokenReplica struct {
	cluster.Replica
	group   *rules.Group
	missing []cluster.VMID
	since   time.Time // when the last of the missing went
	busy    bool      // it drains and streams still run on it
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, vms: indexVMs(in.VMs), free: make(map[cluster.DomainID][]VM),
		serving: make(map[cluster.GroupName]int),
	}
	held := make(map[cluster.VMID]bool)
	for _, r := range in.Replicas {
		for _, vm := range r.Members {
			held[vm] = true
		}
	}
	for _, vm := range in.VMs {
		if !held[vm.ID] && vm.Usable() {
			p.release(vm)
		}
	}
	return p
}

// release puts a VM into the free pool.
func (p *planner) release(vm VM) {
	if _, known := p.free[vm.Domain]; !known {
		at, _ := slices.BinarySearch(p.domains, vm.Domain)
		p.domains = slices.Insert(p.domains, at, vm.Domain)
	}
	p.free[vm.Domain] = append(p.free[vm.Domain], vm)
}

// review sorts the replicas into those that serve, those that are broken and
// those that the rules no longer ask for.
func (p *planner) review() {
	for _, r := range p.in.Replicas {
		g := FindGroup(p.in.Groups, r.Group)
		if !fitsRule(r, g, p.vms) {
			p.retire(r, "group-rule-changed")
			continue
		}
		b := p.inspect(r, g)
		if len(b.missing) > 0 {
			p.broken = append(p.broken, b)
			continue
		}
		if g.Replicas > 0 && p.serving[g.Name] >= g.Replicas {
			p.retire(r, "more-than-wanted")
			continue
		}
		p.serving[g.Name]++
		if r.Leaving || !g.SameDomain {
			p.intact = append(p.intact, b)
		}
	}
}

func (p *planner) inspect(r cluster.Replica, g *rules.Group) brokenReplica {
	b := brokenReplica{Replica: r, group: g}
	down := false
	for _, id := range r.Members {
		vm, known := p.vms[id]
		if known && !vm.Unavailable() {
			continue
		}
		b.missing = append(b.missing, id)
		if !vm.Leaving || !vm.DownSince.IsZero() {
			down = true
			b.since = later(b.since, vm.DownSince)
		}
	}
	b.busy = !down && p.in.Load[r.ID].Running > 0
	return b
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// retire drains a replica that is whole and breaks it up once it is idle.
func (p *planner) retire(r cluster.Replica, reason string) {
	if p.in.Load[r.ID].Running == 0 {
		p.breakUp(r, reason)
		return
	}
	p.drain(r, reason)
}

func (p *planner) drain(r cluster.Replica, reason string) {
	kind := Drain
	if r.Leaving {
		kind = Wait
	}
	p.add(Action{Kind: kind, Group: r.Group, Replica: r.ID, Reason: reason})
}

func (p *planner) breakUp(r cluster.Replica, reason string) {
	p.add(Action{Kind: BreakUp, Group: r.Group, Replica: r.ID, Reason: reason})
	for _, id := range r.Members {
		if vm, known := p.vms[id]; known && vm.Usable() {
			p.release(vm)
		}
	}
}

func (p *planner) add(a Action) { p.actions = append(p.actions, a) }

// repair fills broken replicas, those with the fewest missing members and the
// newest loss first. What cannot be filled from spares is filled by breaking up
// the replica that is worst off: its survivors would otherwise idle until the
// last of its missing VMs is back.
func (p *planner) repair() {
	slices.SortStableFunc(p.broken, func(a, b brokenReplica) int {
		return cmp.Or(cmp.Compare(len(a.missing), len(b.missing)), b.since.Compare(a.since), cmp.Compare(a.ID, b.ID))
	})
	var open []brokenReplica
	for _, b := range p.broken {
		if !p.handle(b) {
			open = append(open, b)
		}
	}
	for len(open) > 0 {
		first := open[0]
		open = open[1:]
		at := p.donorFor(first, open)
		if at < 0 {
			p.waiting = append(p.waiting, first)
			continue
		}
		p.breakUp(open[at].Replica, "gives-members-to-"+string(first.ID))
		open = slices.Delete(open, at, at+1)
		p.fill(first, "member-from-broken-replica")
	}
}

// handle deals with a broken replica without touching others; it reports
// whether nothing is left to do.
func (p *planner) handle(b brokenReplica) bool {
	g := b.group
	switch {
	case b.busy:
		// The leaving VM still generates: its streams finish before the swap.
		p.drain(b.Replica, "member-leaving")
		return true
	case g.Replicas > 0 && p.serving[g.Name] >= g.Replicas:
		p.breakUp(b.Replica, "more-than-wanted")
		return true
	default:
		return p.fill(b, "spare-replaces-member")
	}
}

// fill swaps all missing members for free VMs, if there are enough in reach.
func (p *planner) fill(b brokenReplica, reason string) bool {
	in := p.take(len(b.missing), p.reach(b), b.group)
	if in == nil {
		return false
	}
	p.serving[b.Group]++
	p.add(Action{Kind: Replace, Group: b.Group, Replica: b.ID, OldMembers: b.missing, NewMembers: in, Reason: reason})
	return true
}

// resume puts replicas back to work that were drained for a reason that has gone
// since, and says of the others that are broken why they are left as they are.
func (p *planner) resume() {
	for _, r := range p.intact {
		if r.Leaving && !r.busy {
			p.add(Action{Kind: Replace, Group: r.Group, Replica: r.ID, Reason: "members-are-back"})
		}
	}
	for _, b := range p.waiting {
		p.add(Action{Kind: Wait, Group: b.Group, Replica: b.ID, Reason: "no-spare-in-reach"})
	}
}

// reach is the domain that the replica's VMs must come from, or "" for any.
func (p *planner) reach(b brokenReplica) cluster.DomainID {
	if !b.group.SameDomain {
		return ""
	}
	return p.domainOf(b.Replica)
}

func (p *planner) domainOf(r cluster.Replica) cluster.DomainID {
	for _, id := range r.Members {
		if vm, known := p.vms[id]; known && vm.Domain != "" {
			return vm.Domain
		}
	}
	return ""
}

// donorFor picks the worst off of the replicas whose survivors can fill b, or -1.
func (p *planner) donorFor(b brokenReplica, others []brokenReplica) int {
	domain := p.reach(b)
	for at := len(others) - 1; at >= 0; at-- {
		if others[at].group.VMs > b.group.VMs {
			continue
		}
		survivors := p.count(domain)
		for _, id := range others[at].Members {
			if vm := p.vms[id]; vm.Usable() && (domain == "" || vm.Domain == domain) {
				survivors++
			}
		}
		if survivors >= len(b.missing) {
			return at
		}
	}
	return -1
}

// count is the number of free VMs in the domain, "" for all.
func (p *planner) count(domain cluster.DomainID) int {
	if domain != "" {
		return len(p.free[domain])
	}
	n := 0
	for _, vms := range p.free {
		n += len(vms)
	}
	return n
}

// take removes n VMs from the free pool of the domain, "" for any, those with
// the group's model loaded first; nil when there are not enough.
func (p *planner) take(n int, domain cluster.DomainID, g *rules.Group) []cluster.VMID {
	if p.count(domain) < n || n == 0 {
		return nil
	}
	out := make([]cluster.VMID, 0, n)
	for len(out) < n {
		from := domain
		if from == "" {
			from = p.richestDomain()
		}
		at := max(0, slices.IndexFunc(p.free[from], func(vm VM) bool { return vm.Model == g.Model }))
		out = append(out, p.free[from][at].ID)
		p.free[from] = slices.Delete(p.free[from], at, at+1)
	}
	return out
}

// richestDomain is the one with the most free VMs beyond whole multiples of the
// zone's largest same-domain group, so that a group that may spread over domains
// takes what others cannot use and leaves each domain a spare.
func (p *planner) richestDomain() cluster.DomainID {
	size := p.largestSameDomain()
	var best cluster.DomainID
	bestRest, bestFree := -1, 0
	for _, d := range p.domains {
		n := len(p.free[d])
		if n == 0 {
			continue
		}
		if rest := n % size; rest > bestRest || rest == bestRest && n > bestFree {
			best, bestRest, bestFree = d, rest, n
		}
	}
	return best
}

func (p *planner) largestSameDomain() int {
	size := 1
	for _, g := range p.in.Groups {
		if g.SameDomain {
			size = max(size, g.VMs)
		}
	}
	return size
}
