package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Mix forms replicas of several models in proportion to their demand. It does not
// preserve a broken replica but forms new ones from the survivors: rejoining costs
// them a fraction of a second, and they may be more useful together with other VMs.
//
// Each fabric domain has an affinity to one model, whose weights all its VMs load. The
// survivors of broken replicas in a domain can then form replicas with each other at
// once, and at most one replica less one VM per domain is left unused. With several
// models in a domain that much would be left for each of them, and a survivor would
// wait for weights to load, which takes as long as several further VMs take to fail.
//
// Replicas are chosen by, in this order: the number of VMs that must load weights from
// the weight store; the shortage of the model; how soon the VMs can serve; and how
// evenly the model's replicas are spread over the zones.
//
// Once the work that arrives by model is known, it takes the place of the declared demand, and
// domains move from a model that has more replicas than its work needs to the busiest one (see
// planMove).
type Mix struct{}

// Name implements Policy.
func (Mix) Name() string { return "mix" }

// planService plans the groups of one service.
func (Mix) planService(in Input, now time.Time) Plan {
	m := newMixPlan(in)
	m.breakUp()
	m.move = m.chooseMove()
	m.form(0)
	if in.CheapLoads {
		m.preload(m.hasRemainder)
		m.form(m.maxGroupSize())
	}
	m.preloadSpares()
	plan := Plan{Actions: m.actions}
	if in.Work != nil && !in.CheapLoads {
		plan.Actions = append(plan.Actions, m.planMove()...)
		plan.ReplanAt = now.Add(workReviewInterval)
	}
	return plan
}

// mixPlan is the working state of a Plan call.
type mixPlan struct {
	in      Input
	vms     map[cluster.VMID]*VM
	free    map[cluster.DomainID][]*VM
	domains []cluster.DomainID
	// proposals caches the results of proposalIn until the free VMs of the domain change.
	proposals map[groupDomain]*proposal
	// searches counts the domains that were searched for a proposal.
	searches int
	// affinity maps a domain to the group whose weights its VMs load.
	affinity map[cluster.DomainID]*rules.Group
	// serving counts replicas by group, perZone by group and zone.
	serving map[cluster.GroupName]int
	perZone map[groupZone]int
	actions []Action
	// move is the domain that moves to another group, or nil.
	move *move
	// evacuating is true if any VM is evacuated.
	evacuating bool
	// preloading holds the VMs for which this plan has ordered a preload.
	preloading map[cluster.VMID]bool
}

type groupZone struct {
	group cluster.GroupName
	zone  cluster.ZoneID
}

type groupDomain struct {
	group  cluster.GroupName
	domain cluster.DomainID
}

func newMixPlan(in Input) *mixPlan {
	m := &mixPlan{in: in, vms: make(map[cluster.VMID]*VM, len(in.VMs)), free: make(map[cluster.DomainID][]*VM), proposals: make(map[groupDomain]*proposal),
		serving: make(map[cluster.GroupName]int), perZone: make(map[groupZone]int), preloading: make(map[cluster.VMID]bool)}
	assigned := make(map[cluster.VMID]bool, len(in.VMs))
	for i := range in.Replicas {
		for _, vm := range in.Replicas[i].Members {
			assigned[vm] = true
		}
	}
	for i := range in.VMs {
		vm := &in.VMs[i]
		m.vms[vm.ID] = vm
		m.evacuating = m.evacuating || vm.Evacuated
		if assigned[vm.ID] || !vm.Usable() {
			continue
		}
		if _, known := m.free[vm.Domain]; !known {
			m.domains = append(m.domains, vm.Domain)
		}
		m.free[vm.Domain] = append(m.free[vm.Domain], vm)
	}
	slices.Sort(m.domains)
	m.affinity = assignAffinities(in, m.vms)
	return m
}

// breakUp breaks up the replicas that have a lost or leaving member or whose rule was
// removed, and counts the others as serving.
func (m *mixPlan) breakUp() {
	for _, r := range m.in.Replicas {
		if m.isEvacuated(r) {
			continue
		}
		g := FindGroup(m.in.Groups, r.Group)
		if g == nil {
			m.add(Action{Kind: BreakUp, Replica: r.ID, Reason: "no-rule"})
			continue
		}
		if reason := m.lossReason(r); reason != "" {
			m.add(Action{Kind: BreakUp, Group: r.Group, Replica: r.ID, Reason: reason})
			continue
		}
		m.countServing(g, m.zoneOf(r.Members))
	}
}

// isEvacuated reports whether nothing may be sent to the replica's members. The replica stays as
// it is and does not serve.
func (m *mixPlan) isEvacuated(r cluster.Replica) bool {
	return slices.ContainsFunc(r.Members, func(id cluster.VMID) bool {
		vm, known := m.vms[id]
		return known && vm.Evacuated
	})
}

// lossReason returns why the replica cannot continue, or "".
func (m *mixPlan) lossReason(r cluster.Replica) string {
	reason := ""
	for _, id := range r.Members {
		vm, known := m.vms[id]
		switch {
		case !known || !vm.DownSince.IsZero() || !vm.Listed && vm.LastSeen.IsZero():
			return "member-lost"
		case vm.Leaving:
			reason = ReasonMemberLeaving
		}
	}
	return reason
}

func (m *mixPlan) zoneOf(members []cluster.VMID) cluster.ZoneID {
	for _, id := range members {
		if vm, known := m.vms[id]; known {
			return vm.Zone
		}
	}
	return ""
}

func (m *mixPlan) countServing(g *rules.Group, zone cluster.ZoneID) {
	m.serving[g.Name]++
	m.perZone[groupZone{g.Name, zone}]++
}

// proposal is a possible new replica of a group.
type proposal struct {
	group   *rules.Group
	domain  cluster.DomainID
	members []*VM
	// ready is how long the members take to be ready; coldMembers is how many of
	// them must load weights from the weight store.
	ready       time.Duration
	coldMembers int
	// replicasInZone is how many replicas of the group the zone has already.
	replicasInZone int
}

// form adds replicas in which at most maxCold members must load weights from the
// weight store, until no group has a proposal.
//
// The weight store is slow: one load takes as long as several VMs take to fail.
// Members that wait for a loading VM could form another replica meanwhile. VMs
// without weights therefore become members only while loads are cheap; later they
// load weights first.
func (m *mixPlan) form(maxCold int) {
	for {
		best := m.bestProposal(maxCold)
		if best == nil {
			return
		}
		m.accept(best)
	}
}

// maxGroupSize returns the number of VMs of the largest replica.
func (m *mixPlan) maxGroupSize() (size int) {
	for i := range m.in.Groups {
		size = max(size, m.in.Groups[i].VMs)
	}
	return size
}

// bestProposal returns the best proposal of the group with the largest shortage that
// has any, or nil.
func (m *mixPlan) bestProposal(maxCold int) *proposal {
	for _, g := range m.groupsByShortage() {
		if g.Replicas > 0 && m.serving[g.Name] >= g.Replicas {
			continue
		}
		var best *proposal
		for _, d := range m.domains {
			p := m.proposalIn(g, d)
			if p == nil || p.coldMembers > maxCold || p.coldMembers > 0 && m.affinity[d] != g {
				continue
			}
			p.replicasInZone = m.perZone[groupZone{g.Name, p.members[0].Zone}]
			if best == nil || better(p, best) {
				best = p
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// groupsByShortage returns the groups in descending order of shortage.
func (m *mixPlan) groupsByShortage() []*rules.Group {
	groups := make([]*rules.Group, 0, len(m.in.Groups))
	for i := range m.in.Groups {
		if m.in.Groups[i].VMs > 0 {
			groups = append(groups, &m.in.Groups[i])
		}
	}
	slices.SortStableFunc(groups, func(a, b *rules.Group) int {
		return cmp.Compare(m.shortage(b), m.shortage(a))
	})
	return groups
}

// shortage returns the number of replicas that the group's measured work amounts to, or its
// declared demand while no work is known, divided by the number that it would have with one more.
func (m *mixPlan) shortage(g *rules.Group) float64 {
	if m.in.Work != nil {
		return m.in.Work[g.Name] / float64(m.serving[g.Name]+1)
	}
	demand := g.Demand
	if demand <= 0 {
		demand = 1
	}
	return demand / float64(g.VMs) / float64(m.serving[g.Name]+1)
}

func better(a, b *proposal) bool {
	return cmp.Or(cmp.Compare(a.coldMembers, b.coldMembers), cmp.Compare(a.ready, b.ready), cmp.Compare(a.replicasInZone, b.replicasInZone)) < 0
}

// proposalIn returns the proposal for one more replica of the group in the domain; nil
// if it has too few VMs. Proposals are cached: a plan asks for all of them again after
// each replica that it forms, and only the domain that gave VMs is searched again.
func (m *mixPlan) proposalIn(g *rules.Group, d cluster.DomainID) *proposal {
	key := groupDomain{g.Name, d}
	found, known := m.proposals[key]
	if !known {
		m.searches++
		found = m.propose(g, d)
		m.proposals[key] = found
	}
	return found
}

// propose selects the members of one more replica in the domain: the VMs that are
// ready soonest and, among equals, those with weights for the fewest models, which
// leaves the VMs that other groups could use.
func (m *mixPlan) propose(g *rules.Group, d cluster.DomainID) *proposal {
	candidates := make([]candidate, 0, len(m.free[d]))
	for _, vm := range m.free[d] {
		if (g.Servers == "" || vm.Service == g.Servers) && !m.movesAway(vm, g) {
			candidates = append(candidates, candidate{vm, readyTime(vm, g)})
		}
	}
	if len(candidates) < g.VMs {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.ready, b.ready), cmp.Compare(len(a.vm.Staged), len(b.vm.Staged)))
	})
	p := &proposal{group: g, domain: d, ready: candidates[g.VMs-1].ready, members: make([]*VM, 0, g.VMs)}
	for _, c := range candidates[:g.VMs] {
		p.members = append(p.members, c.vm)
		if c.vm.Model != g.Model && !slices.Contains(c.vm.Staged, g.Model) {
			p.coldMembers++
		}
	}
	return p
}

// candidate is a free VM with the time that it takes to be ready.
type candidate struct {
	vm    *VM
	ready time.Duration
}

// rejoinTime is how long a VM takes to be ready with the model that it has loaded.
// Only its order relative to the load times matters.
const rejoinTime = 200 * time.Millisecond

// readyTime returns how long the VM takes to be ready for the group's model.
func readyTime(vm *VM, g *rules.Group) time.Duration {
	switch {
	case vm.Model == g.Model:
		return rejoinTime
	case slices.Contains(vm.Staged, g.Model):
		return max(g.WarmLoad, rejoinTime)
	default:
		return g.ColdLoad
	}
}

func (m *mixPlan) accept(p *proposal) {
	members := make([]cluster.VMID, 0, len(p.members))
	taken := make(map[cluster.VMID]bool, len(p.members))
	for _, vm := range p.members {
		members = append(members, vm.ID)
		taken[vm.ID] = true
	}
	m.free[p.domain] = slices.DeleteFunc(m.free[p.domain], func(vm *VM) bool { return taken[vm.ID] })
	for i := range m.in.Groups {
		delete(m.proposals, groupDomain{m.in.Groups[i].Name, p.domain})
	}
	m.countServing(p.group, p.members[0].Zone)
	reason := "weights-available"
	if p.coldMembers > 0 {
		reason = "weights-missing"
	}
	m.add(Action{Kind: Form, Group: p.group.Name, Members: members, Reason: reason})
}

// hasRemainder reports whether the domain has replicas of its group and too few free
// VMs for another. These VMs complete a replica after a loss: within a second if their
// weights are preloaded, otherwise only after many more VMs have failed.
func (m *mixPlan) hasRemainder(d cluster.DomainID) bool {
	g := m.affinity[d]
	return len(m.free[d]) < g.VMs && slices.ContainsFunc(m.in.Replicas, func(r cluster.Replica) bool {
		return r.Group == g.Name && m.domainOf(r) == d
	})
}

// preload has the free VMs without weights load those of their domain's affinity, in
// the selected domains.
func (m *mixPlan) preload(selected func(cluster.DomainID) bool) {
	for _, d := range m.domains {
		g := m.affinity[d]
		if g == nil || !selected(d) {
			continue
		}
		for _, vm := range m.free[d] {
			if len(vm.Staged) == 0 && !m.preloading[vm.ID] && (g.Servers == "" || g.Servers == vm.Service) {
				m.preloading[vm.ID] = true
				m.add(Action{Kind: Preload, Group: g.Name, VM: vm.ID, Reason: "spare"})
			}
		}
	}
}

// domainOf returns the domain of the replica's first member; "" if it is unknown.
func (m *mixPlan) domainOf(r cluster.Replica) cluster.DomainID {
	if len(r.Members) == 0 || m.vms[r.Members[0]] == nil {
		return ""
	}
	return m.vms[r.Members[0]].Domain
}

func (m *mixPlan) add(a Action) { m.actions = append(m.actions, a) }
