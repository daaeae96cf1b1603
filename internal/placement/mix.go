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
	vms     map[cluster.VMID]VM
	free    map[cluster.DomainID][]VM
	domains []cluster.DomainID
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

func newMixPlan(in Input) *mixPlan {
	m := &mixPlan{in: in, vms: indexVMs(in.VMs), free: make(map[cluster.DomainID][]VM),
		serving: make(map[cluster.GroupName]int), perZone: make(map[groupZone]int), staging: make(map[cluster.VMID]bool)}
	held := make(map[cluster.VMID]bool)
	for _, r := range in.Replicas {
		for _, vm := range r.Members {
			held[vm] = true
		}
	}
	for _, vm := range in.VMs {
		if held[vm.ID] || !vm.Usable() {
			continue
		}
		if _, known := m.free[vm.Domain]; !known {
			m.domains = append(m.domains, vm.Domain)
		}
		m.free[vm.Domain] = append(m.free[vm.Domain], vm)
	}
	slices.Sort(m.domains)
	m.affinity = affinities(in)
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

// site is a place for one more replica of a group.
type site struct {
	group   *rules.Group
	domain  cluster.DomainID
	members []VM
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
		best, found := m.bestSite(cold)
		if !found {
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

// bestSite is the best place of the group that lacks replicas most and has one.
func (m *mixPlan) bestSite(cold int) (best site, found bool) {
	for _, g := range m.byNeed() {
		if g.Replicas > 0 && m.serving[g.Name] >= g.Replicas {
			continue
		}
		for _, d := range m.domains {
			s, ok := m.siteIn(g, d)
			if !ok || s.cold > cold || s.cold > 0 && m.affinity[d] != g {
				continue
			}
			if !found || better(s, best) {
				best, found = s, true
			}
		}
		if found {
			return best, true
		}
	}
	return best, false
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

func better(a, b site) bool {
	return cmp.Or(cmp.Compare(a.cold, b.cold), cmp.Compare(a.ready, b.ready), cmp.Compare(a.near, b.near)) < 0
}

// siteIn finds the members of one more replica in the domain: those that are
// ready soonest, and among equals those whose weights no other group could use.
func (m *mixPlan) siteIn(g *rules.Group, d cluster.DomainID) (site, bool) {
	var fit []VM
	for _, vm := range m.free[d] {
		if g.Servers == "" || vm.Service == g.Servers {
			fit = append(fit, vm)
		}
	}
	if len(fit) < g.VMs {
		return site{}, false
	}
	slices.SortStableFunc(fit, func(a, b VM) int {
		return cmp.Or(cmp.Compare(readyIn(a, g), readyIn(b, g)), cmp.Compare(len(a.Staged), len(b.Staged)))
	})
	s := site{group: g, domain: d, members: fit[:g.VMs]}
	s.ready = readyIn(s.members[g.VMs-1], g)
	for _, vm := range s.members {
		if vm.Model != g.Model && !slices.Contains(vm.Staged, g.Model) {
			s.cold++
		}
	}
	s.near = m.perZone[groupZone{g.Name, s.members[0].Zone}]
	return s, true
}

// rejoinTime is how long a VM takes to be ready for the model that it has loaded;
// only its order against the other times counts.
const rejoinTime = 200 * time.Millisecond

// readyIn is how long the VM takes until it is ready to serve the group's model.
func readyIn(vm VM, g *rules.Group) time.Duration {
	switch {
	case vm.Model == g.Model:
		return rejoinTime
	case slices.Contains(vm.Staged, g.Model):
		return max(g.WarmLoad, rejoinTime)
	default:
		return g.ColdLoad
	}
}

func (m *mixPlan) take(s site) {
	members := make([]cluster.VMID, 0, len(s.members))
	for _, vm := range s.members {
		members = append(members, vm.ID)
	}
	m.free[s.domain] = slices.DeleteFunc(m.free[s.domain], func(vm VM) bool { return slices.Contains(members, vm.ID) })
	m.count(s.group, s.members[0].Zone)
	reason := "weights-at-hand"
	if s.cold > 0 {
		reason = "weights-to-load"
	}
	m.add(Action{Kind: Form, Group: s.group.Name, Members: members, Reason: reason})
}

// leftOver reports whether the domain has replicas and too few free VMs for one
// more. Its free VMs are what makes its replicas whole again after a loss; with
// their weights read ahead that takes a second, without as long as many VMs take
// to fail.
func (m *mixPlan) leftOver(d cluster.DomainID) bool {
	g := m.affinity[d]
	return len(m.free[d]) < g.VMs && slices.ContainsFunc(m.in.Replicas, func(r cluster.Replica) bool {
		return r.Group == g.Name && len(r.Members) > 0 && m.vms[r.Members[0]].Domain == d
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
				m.add(Action{Kind: Hold, Group: g.Name, VM: vm.ID, Reason: "spare"})
			}
		}
	}
}

func (m *mixPlan) add(a Action) { m.actions = append(m.actions, a) }
