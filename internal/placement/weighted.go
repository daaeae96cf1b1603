package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Weighted preserves a broken replica and replaces only its missing members, with
// spares that have preloaded the model or else with members of the broken replica
// that is worst off. Each group's weigh= decides between group downtime and stranded
// accelerators: groups without a wanted number of replicas leave the spares of
// groups with WeighDowntime idle, but not those of groups with WeighStranded.
type Weighted struct{}

// Name implements Policy.
func (Weighted) Name() string { return "weighted" }

// Plan implements Policy.
func (Weighted) Plan(in Input, now time.Time) Plan {
	p := newPlanner(in)
	p.classify()
	p.repair()
	p.defragment(now)
	p.resumeDrained()
	for i := range in.Groups {
		p.form(&in.Groups[i])
	}
	p.preloadSpares()
	return Plan{Actions: p.actions}
}

// planner is the working state of a Plan call.
type planner struct {
	in      Input
	vms     map[cluster.VMID]VM
	free    map[cluster.DomainID][]VM // usable VMs that are in no replica
	domains []cluster.DomainID        // sorted, so that plans do not depend on map order
	broken  []replicaState
	intact  []replicaState            // no member is missing; may be draining
	waiting []replicaState            // broken, and cannot be repaired now
	serving map[cluster.GroupName]int // replicas by group without missing members, including repaired ones
	actions []Action
}

// replicaState is a replica with its rule and the members that are down or leaving.
type replicaState struct {
	cluster.Replica
	group     *rules.Group
	missing   []cluster.VMID
	lostAt    time.Time // when the last missing member went down
	streaming bool      // requests run on it and no member is down
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, vms: indexVMs(in.VMs), free: make(map[cluster.DomainID][]VM),
		serving: make(map[cluster.GroupName]int),
	}
	assigned := make(map[cluster.VMID]bool)
	for _, r := range in.Replicas {
		for _, vm := range r.Members {
			assigned[vm] = true
		}
	}
	for _, vm := range in.VMs {
		if !assigned[vm.ID] && vm.Usable() {
			p.addFree(vm)
		}
	}
	return p
}

// addFree adds a VM to the free pool.
func (p *planner) addFree(vm VM) {
	if _, known := p.free[vm.Domain]; !known {
		at, _ := slices.BinarySearch(p.domains, vm.Domain)
		p.domains = slices.Insert(p.domains, at, vm.Domain)
	}
	p.free[vm.Domain] = append(p.free[vm.Domain], vm)
}

// classify sorts the replicas into intact ones, broken ones and those that the
// rules no longer require, which it retires.
func (p *planner) classify() {
	for _, r := range p.in.Replicas {
		g := FindGroup(p.in.Groups, r.Group)
		if !matchesRule(r, g, p.vms) {
			p.retire(r, "group-rule-changed")
			continue
		}
		b := p.inspect(r, g)
		if len(b.missing) > 0 {
			p.broken = append(p.broken, b)
			continue
		}
		if g.Replicas > 0 && p.serving[g.Name] >= g.Replicas {
			p.retire(r, "surplus-replica")
			continue
		}
		p.serving[g.Name]++
		if r.Leaving || !g.SameDomain {
			p.intact = append(p.intact, b)
		}
	}
}

func (p *planner) inspect(r cluster.Replica, g *rules.Group) replicaState {
	b := replicaState{Replica: r, group: g}
	down := false
	for _, id := range r.Members {
		vm, known := p.vms[id]
		if known && !vm.Unavailable() {
			continue
		}
		b.missing = append(b.missing, id)
		if !vm.Leaving || !vm.DownSince.IsZero() {
			down = true
			b.lostAt = latest(b.lostAt, vm.DownSince)
		}
	}
	b.streaming = !down && p.in.Load[r.ID].Running > 0
	return b
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// retire drains an intact replica, and breaks it up once it is idle.
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
			p.addFree(vm)
		}
	}
}

func (p *planner) add(a Action) { p.actions = append(p.actions, a) }

// repair replaces missing members, starting with the replicas that miss the fewest
// and, among these, with the latest loss. If the spares do not suffice, it breaks up
// the replica that is worst off: otherwise the survivors would be idle until the
// last of the missing VMs is back.
func (p *planner) repair() {
	slices.SortStableFunc(p.broken, func(a, b replicaState) int {
		return cmp.Or(cmp.Compare(len(a.missing), len(b.missing)), b.lostAt.Compare(a.lostAt), cmp.Compare(a.ID, b.ID))
	})
	var unrepaired []replicaState
	for _, b := range p.broken {
		if !p.repairInPlace(b) {
			unrepaired = append(unrepaired, b)
		}
	}
	for len(unrepaired) > 0 {
		first := unrepaired[0]
		unrepaired = unrepaired[1:]
		at := p.findDonor(first, unrepaired)
		if at < 0 {
			p.waiting = append(p.waiting, first)
			continue
		}
		p.breakUp(unrepaired[at].Replica, "gives-members-to-"+string(first.ID))
		unrepaired = slices.Delete(unrepaired, at, at+1)
		p.replaceMissing(first, "member-from-broken-replica")
	}
}

// repairInPlace handles a broken replica without affecting other replicas. It
// returns false if the replica still needs members.
func (p *planner) repairInPlace(b replicaState) bool {
	g := b.group
	switch {
	case b.streaming:
		// The leaving VM is still generating: replace it after its streams end.
		p.drain(b.Replica, "member-leaving")
		return true
	case g.Replicas > 0 && p.serving[g.Name] >= g.Replicas:
		p.breakUp(b.Replica, "surplus-replica")
		return true
	default:
		return p.replaceMissing(b, "spare-replaces-member")
	}
}

// replaceMissing replaces all missing members with free VMs, if there are enough in
// the required domain.
func (p *planner) replaceMissing(b replicaState, reason string) bool {
	in := p.takeFree(len(b.missing), p.requiredDomain(b), b.group)
	if in == nil {
		return false
	}
	p.serving[b.Group]++
	p.add(Action{Kind: Replace, Group: b.Group, Replica: b.ID, OldMembers: b.missing, NewMembers: in, Reason: reason})
	return true
}

// resumeDrained returns replicas to service whose reason for draining is gone, and
// adds the reason why the remaining broken replicas stay as they are.
func (p *planner) resumeDrained() {
	for _, r := range p.intact {
		if r.Leaving && !r.streaming {
			p.add(Action{Kind: Replace, Group: r.Group, Replica: r.ID, Reason: "members-recovered"})
		}
	}
	for _, b := range p.waiting {
		p.add(Action{Kind: Wait, Group: b.Group, Replica: b.ID, Reason: "no-spare-available"})
	}
}

// requiredDomain returns the domain from which the replica's VMs must come, or ""
// for any.
func (p *planner) requiredDomain(b replicaState) cluster.DomainID {
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

// findDonor returns the index of the worst-off replica whose survivors suffice to
// repair b, or -1.
func (p *planner) findDonor(b replicaState, others []replicaState) int {
	domain := p.requiredDomain(b)
	for at := len(others) - 1; at >= 0; at-- {
		if others[at].group.VMs > b.group.VMs {
			continue
		}
		survivors := p.countFree(domain)
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

// countFree returns the number of free VMs in the domain, or in all domains for "".
func (p *planner) countFree(domain cluster.DomainID) int {
	if domain != "" {
		return len(p.free[domain])
	}
	n := 0
	for _, vms := range p.free {
		n += len(vms)
	}
	return n
}

// takeFree removes n VMs from the free pool of the domain, or of any domain for "",
// preferring those that have the group's model loaded. It returns nil if there are
// not enough.
func (p *planner) takeFree(n int, domain cluster.DomainID, g *rules.Group) []cluster.VMID {
	if p.countFree(domain) < n || n == 0 {
		return nil
	}
	out := make([]cluster.VMID, 0, n)
	for len(out) < n {
		from := domain
		if from == "" {
			from = p.largestRemainderDomain()
		}
		at := max(0, slices.IndexFunc(p.free[from], func(vm VM) bool { return vm.Model == g.Model }))
		out = append(out, p.free[from][at].ID)
		p.free[from] = slices.Delete(p.free[from], at, at+1)
	}
	return out
}

// largestRemainderDomain returns the domain with the most free VMs beyond whole
// multiples of the zone's largest same-domain group. Groups that may span domains
// thereby take VMs that others cannot use, and leave each domain a spare.
func (p *planner) largestRemainderDomain() cluster.DomainID {
	size := p.maxSameDomainSize()
	var best cluster.DomainID
	bestRemainder, bestFree := -1, 0
	for _, d := range p.domains {
		n := len(p.free[d])
		if n == 0 {
			continue
		}
		if remainder := n % size; remainder > bestRemainder || remainder == bestRemainder && n > bestFree {
			best, bestRemainder, bestFree = d, remainder, n
		}
	}
	return best
}

func (p *planner) maxSameDomainSize() int {
	size := 1
	for _, g := range p.in.Groups {
		if g.SameDomain {
			size = max(size, g.VMs)
		}
	}
	return size
}
