package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Mix forms replicas of several models in proportion to the work that each is
// asked for, where a broken replica is not kept together but formed anew: joining
// again costs its survivors a fraction of a second, and they may serve better
// with other VMs.
//
// Every fabric domain has an affinity to one model, whose weights all its VMs read. Then the
// survivors of broken replicas in a domain make up replicas with each other at
// once, and what can't be used is at most a replica less one VM in each domain. With
// several models in a domain it is that much for each of them, and a survivor
// waits for weights to be read, which takes as long as several VMs take to fail.
//
// Among the places for a replica it weighs, in this order: how many VMs must read
// weights from the weight store; which model lacks replicas most; how soon the VMs
// could serve; and how evenly the model's replicas lie over the zones.
type Mix struct{}

// Name implements Policy.
func (Mix) Name() string { return "mix" }

// Plan implements Policy.
func (Mix) Plan(in Input, _ time.Time) Plan {
	m := newMixPlan(in)
	m.breakUp()
	m.form(0)
	if in.CheapLoads {
		m.stage(m.leftOver)
		m.form(m.largest())
	}
	m.stageAhead()
	return Plan{Actions: m.actions}
}

// mixPlan is the working state of one Plan call.
type mixPlan struct {
	in      Input
	vms     map[cluster.VMID]*VM
	free    map[cluster.DomainID][]*VM
	domains []cluster.DomainID
	// places has what placeIn found, as long as the domain's free VMs are the same.
	places map[groupDomain]*place
	// searches counts the domains looked through for places.
	searches int
	// affinity is the group whose weights the VMs of a domain read.
	affinity map[cluster.DomainID]*rules.Group
	// serving counts replicas by group, perZone by group and zone.
	serving map[cluster.GroupName]int
	perZone map[groupZone]int
	actions []Action
	// staging are the VMs that the plan has read weights ahead.
	staging map[cluster.VMID]bool
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
	m := &mixPlan{in: in, vms: make(map[cluster.VMID]*VM, len(in.VMs)), free: make(map[cluster.DomainID][]*VM), places: make(map[groupDomain]*place),
		serving: make(map[cluster.GroupName]int), perZone: make(map[groupZone]int), staging: make(map[cluster.VMID]bool)}
	held := make(map[cluster.VMID]bool, len(in.VMs))
	for i := range in.Replicas {
		for _, vm := range in.Replicas[i].Members {
			held[vm] = true
		}
	}
	for i := range in.VMs {
		vm := &in.VMs[i]
		m.vms[vm.ID] = vm
		if held[vm.ID] || !vm.Usable() {
			continue
		}
		if _, known := m.free[vm.Domain]; !known {
			m.domains = append(m.domains, vm.Domain)
		}
		m.free[vm.Domain] = append(m.free[vm.Domain], vm)
	}
	slices.Sort(m.domains)
	m.affinity = affinities(in, m.vms)
	return m
}

// breakUp ends the replicas that lost a member or whose rule is gone, and counts
// the others.
func (m *mixPlan) breakUp() {
	for _, r := range m.in.Replicas {
		g := FindGroup(m.in.Groups, r.Group)
		if g == nil {
			m.add(Action{Kind: BreakUp, Replica: r.ID, Reason: "no-rule"})
			continue
		}
		if reason := m.missing(r); reason != "" {
			m.add(Action{Kind: BreakUp, Group: r.Group, Replica: r.ID, Reason: reason})
			continue
		}
		m.count(g, m.zoneOf(r.Members))
	}
}

// missing says why the replica can't go on; empty if it can.
func (m *mixPlan) missing(r cluster.Replica) string {
	reason := ""
	for _, id := range r.Members {
		vm, known := m.vms[id]
		switch {
		case !known || !vm.DownSince.IsZero() || !vm.Listed && vm.LastSeen.IsZero():
			return "member-lost"
		case vm.Leaving:
			reason = "member-leaving"
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

func (m *mixPlan) count(g *rules.Group, zone cluster.ZoneID) {
	m.serving[g.Name]++
	m.perZone[groupZone{g.Name, zone}]++
}

// place is where one more replica of a group could be formed.
type place struct {
	group   *rules.Group
	domain  cluster.DomainID
	members []*VM
	// ready is how long the members take to be ready, cold how many of them must
	// read weights from the weight store.
	ready time.Duration
	cold  int
	// near is how many replicas of the group the zone has already.
	near int
}

// form adds replicas with at most so many members that must read weights from the
// weight store, until no group finds a place.
//
// The weight store is slow: a VM takes as long to load as several others take to
// fail. Members that wait for one that loads could make up another replica
// meanwhile. So only while loads are cheap are VMs without weights made members;
// later they read weights first.
func (m *mixPlan) form(cold int) {
	for {
		best := m.bestPlace(cold)
		if best == nil {
			return
		}
		m.take(best)
	}
}

// largest is the size of the largest replica.
func (m *mixPlan) largest() (size int) {
	for i := range m.in.Groups {
		size = max(size, m.in.Groups[i].VMs)
	}
	return size
}

// bestPlace is the best place of the group that lacks replicas most and has one; nil
// if there is none.
func (m *mixPlan) bestPlace(cold int) *place {
	for _, g := range m.byNeed() {
		if g.Replicas > 0 && m.serving[g.Name] >= g.Replicas {
			continue
		}
		var best *place
		for _, d := range m.domains {
			p := m.placeIn(g, d)
			if p == nil || p.cold > cold || p.cold > 0 && m.affinity[d] != g {
				continue
			}
			p.near = m.perZone[groupZone{g.Name, p.members[0].Zone}]
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

// byNeed orders the groups by how much work waits for each of its replicas.
func (m *mixPlan) byNeed() []*rules.Group {
	groups := make([]*rules.Group, 0, len(m.in.Groups))
	for i := range m.in.Groups {
		if m.in.Groups[i].VMs > 0 {
			groups = append(groups, &m.in.Groups[i])
		}
	}
	slices.SortStableFunc(groups, func(a, b *rules.Group) int {
		return cmp.Compare(m.need(b), m.need(a))
	})
	return groups
}

// need is the group's part of all replicas, by its demand, over the replicas that
// it would have with one more.
func (m *mixPlan) need(g *rules.Group) float64 {
	demand := g.Demand
	if demand <= 0 {
		demand = 1
	}
	return demand / float64(g.VMs) / float64(m.serving[g.Name]+1)
}

func better(a, b *place) bool {
	return cmp.Or(cmp.Compare(a.cold, b.cold), cmp.Compare(a.ready, b.ready), cmp.Compare(a.near, b.near)) < 0
}

// placeIn is the place for one more replica in the domain; nil if it has too few VMs.
// A plan asks for the same places again after each replica that it forms: in a large
// deployment only the domain that gave its VMs is looked through anew.
func (m *mixPlan) placeIn(g *rules.Group, d cluster.DomainID) *place {
	key := groupDomain{g.Name, d}
	found, known := m.places[key]
	if !known {
		m.searches++
		found = m.findPlace(g, d)
		m.places[key] = found
	}
	return found
}

// findPlace finds the members of one more replica in the domain: those that are
// ready soonest, and among equals those whose weights no other group could use.
func (m *mixPlan) findPlace(g *rules.Group, d cluster.DomainID) *place {
	fit := make([]candidate, 0, len(m.free[d]))
	for _, vm := range m.free[d] {
		if g.Servers == "" || vm.Service == g.Servers {
			fit = append(fit, candidate{vm, readyIn(vm, g)})
		}
	}
	if len(fit) < g.VMs {
		return nil
	}
	slices.SortStableFunc(fit, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.ready, b.ready), cmp.Compare(len(a.vm.Staged), len(b.vm.Staged)))
	})
	p := &place{group: g, domain: d, ready: fit[g.VMs-1].ready, members: make([]*VM, 0, g.VMs)}
	for _, c := range fit[:g.VMs] {
		p.members = append(p.members, c.vm)
		if c.vm.Model != g.Model && !slices.Contains(c.vm.Staged, g.Model) {
			p.cold++
		}
	}
	return p
}

// candidate is a VM that a replica could take, with how long it takes to be ready.
type candidate struct {
	vm    *VM
	ready time.Duration
}

// rejoinTime is how long a VM takes to be ready for the model that it has loaded;
// only its order against the other times counts.
const rejoinTime = 200 * time.Millisecond

// readyIn is how long the VM takes until it is ready to serve the group's model.
func readyIn(vm *VM, g *rules.Group) time.Duration {
	switch {
	case vm.Model == g.Model:
		return rejoinTime
	case slices.Contains(vm.Staged, g.Model):
		return max(g.WarmLoad, rejoinTime)
	default:
		return g.ColdLoad
	}
}

func (m *mixPlan) take(p *place) {
	members := make([]cluster.VMID, 0, len(p.members))
	taken := make(map[cluster.VMID]bool, len(p.members))
	for _, vm := range p.members {
		members = append(members, vm.ID)
		taken[vm.ID] = true
	}
	m.free[p.domain] = slices.DeleteFunc(m.free[p.domain], func(vm *VM) bool { return taken[vm.ID] })
	for i := range m.in.Groups {
		delete(m.places, groupDomain{m.in.Groups[i].Name, p.domain})
	}
	m.count(p.group, p.members[0].Zone)
	reason := "weights-at-hand"
	if p.cold > 0 {
		reason = "weights-to-load"
	}
	m.add(Action{Kind: Form, Group: p.group.Name, Members: members, Reason: reason})
}

// leftOver reports whether the domain has replicas and too few free VMs for one
// more. Its free VMs are what makes its replicas whole again after a loss; with
// their weights read ahead that takes a second, without as long as many VMs take
// to fail.
func (m *mixPlan) leftOver(d cluster.DomainID) bool {
	g := m.affinity[d]
	return len(m.free[d]) < g.VMs && slices.ContainsFunc(m.in.Replicas, func(r cluster.Replica) bool {
		return r.Group == g.Name && m.domainOf(r) == d
	})
}

// stage has free VMs without weights read those that their domain has an affinity to, in the
// domains that are asked for.
func (m *mixPlan) stage(in func(cluster.DomainID) bool) {
	for _, d := range m.domains {
		g := m.affinity[d]
		if g == nil || !in(d) {
			continue
		}
		for _, vm := range m.free[d] {
			if len(vm.Staged) == 0 && !m.staging[vm.ID] && (g.Servers == "" || g.Servers == vm.Service) {
				m.staging[vm.ID] = true
				m.add(Action{Kind: Preload, Group: g.Name, VM: vm.ID, Reason: "spare"})
			}
		}
	}
}

// domainOf is where the replica's serving member is; empty if that is not known.
func (m *mixPlan) domainOf(r cluster.Replica) cluster.DomainID {
	if len(r.Members) == 0 || m.vms[r.Members[0]] == nil {
		return ""
	}
	return m.vms[r.Members[0]].Domain
}

func (m *mixPlan) add(a Action) { m.actions = append(m.actions, a) }
