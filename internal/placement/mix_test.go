package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

var (
	four  = rules.Group{Name: "four", Model: "four", VMs: 4, SameDomain: true, Demand: 0.57, ColdLoad: 16 * time.Second, WarmLoad: 1600 * time.Millisecond}
	three = rules.Group{Name: "three", Model: "three", VMs: 3, SameDomain: true, Demand: 0.43, ColdLoad: 12 * time.Second, WarmLoad: 1100 * time.Millisecond}
	mixed = []rules.Group{four, three}
	start = time.Unix(1_000_000, 0)
)

// newVMs returns VMs in the given number of domains, two domains to a zone.
func newVMs(domains, vms int) (out []placement.VM) {
	for d := range domains {
		for i := range vms {
			out = append(out, placement.VM{ID: cluster.VMID(fmt.Sprintf("vm-%d-%d", d, i)), Domain: cluster.DomainID(fmt.Sprintf("d%d", d)),
				Zone: cluster.ZoneID(fmt.Sprintf("z%d", d/2)), Listed: true, LastSeen: start})
		}
	}
	return out
}

// simulation applies plans to an input as a lease holder would. Loads complete at once.
type simulation struct {
	in  placement.Input
	seq int
}

func (p *simulation) plan() placement.Plan { return placement.Mix{}.Plan(p.in, start) }

func (p *simulation) vm(id cluster.VMID) *placement.VM {
	at := slices.IndexFunc(p.in.VMs, func(vm placement.VM) bool { return vm.ID == id })
	if at < 0 {
		return nil
	}
	return &p.in.VMs[at]
}

// apply executes a plan with at most the given number of preloads.
func (p *simulation) apply(plan placement.Plan, loads int) {
	for _, a := range plan.Actions {
		switch a.Kind {
		case placement.BreakUp:
			p.in.Replicas = slices.DeleteFunc(p.in.Replicas, func(r cluster.Replica) bool { return r.ID == a.Replica })
		case placement.Form:
			p.seq++
			p.in.Replicas = append(p.in.Replicas, cluster.Replica{ID: cluster.ReplicaID(fmt.Sprintf("r%d", p.seq)), Group: a.Group, Model: string(a.Group), Members: a.Members})
			for _, id := range a.Members {
				p.vm(id).Model, p.vm(id).Staged = string(a.Group), []string{string(a.Group)}
			}
		case placement.Preload:
			if loads > 0 {
				loads--
				p.vm(a.VM).Staged = []string{string(a.Group)}
			}
		}
	}
}

func (p *simulation) serving(group cluster.GroupName) (n int) {
	for _, r := range p.in.Replicas {
		if r.Group == group {
			n++
		}
	}
	return n
}

func (p *simulation) lose(id cluster.VMID) {
	p.in.VMs = slices.DeleteFunc(p.in.VMs, func(vm placement.VM) bool { return vm.ID == id })
}

func TestMixFillsAnEmptySite(t *testing.T) {
	p := &simulation{in: placement.Input{Groups: mixed, VMs: newVMs(6, 9), CheapLoads: true}}
	p.apply(p.plan(), 100)
	p.apply(p.plan(), 100)
	require.Equal(t, 8, p.serving("four"), "four domains must have an affinity to the larger model, which strands more VMs")
	require.Equal(t, 6, p.serving("three"))
	zones := map[cluster.ZoneID]map[cluster.GroupName]bool{}
	for _, r := range p.in.Replicas {
		zone := p.vm(r.Members[0]).Zone
		if zones[zone] == nil {
			zones[zone] = map[cluster.GroupName]bool{}
		}
		zones[zone][r.Group] = true
	}
	require.Len(t, zones, 3)
	for zone, groups := range zones {
		require.True(t, groups["four"], "zone %s", zone)
	}
}

// Two replicas of a domain lose a VM each. The survivors must form a replica with each
// other at once: waiting for weights would leave both models without it for as long as
// several more VMs take to fail.
func TestMixPoolsSurvivors(t *testing.T) {
	p := &simulation{in: placement.Input{Groups: mixed[:1], VMs: newVMs(1, 8), CheapLoads: true}}
	p.apply(p.plan(), 100)
	require.Equal(t, 2, p.serving("four"))
	p.in.CheapLoads = false
	p.lose(p.in.Replicas[0].Members[0])
	p.lose(p.in.Replicas[1].Members[3])
	p.apply(p.plan(), 0) // breaks up both replicas
	require.Zero(t, p.serving("four"))
	plan := p.plan()
	p.apply(plan, 0)
	require.Equal(t, 1, p.serving("four"))
	require.Equal(t, "weights-available", plan.Actions[0].Reason)
}

// One domain lacks one load for a replica, another lacks all. The weight store is slow, so
// the load that completes a replica must come first.
func TestMixLoadsWhatCompletesAReplica(t *testing.T) {
	vms := newVMs(2, 4)
	for i := range 3 {
		vms[4+i].Staged = []string{"four"}
	}
	plan := placement.Mix{}.Plan(placement.Input{Groups: mixed[:1], VMs: vms}, start)
	require.Equal(t, placement.Preload, plan.Actions[0].Kind)
	require.Equal(t, vms[7].ID, plan.Actions[0].VM)
	require.True(t, plan.Actions[0].CompletesReplica)
	require.False(t, plan.Actions[1].CompletesReplica)
}

// While loads are cheap, the VM that does not fit into a replica must load weights too:
// with them it completes a replica within a second after a loss.
func TestMixPreloadsRemainderWhileLoadsAreCheap(t *testing.T) {
	p := &simulation{in: placement.Input{Groups: mixed[:1], VMs: newVMs(1, 9), CheapLoads: true}}
	p.apply(p.plan(), 0)
	require.Equal(t, 2, p.serving("four"))
	plan := p.plan()
	require.Len(t, plan.Actions, 1)
	require.Equal(t, placement.Preload, plan.Actions[0].Kind)
}

// A member that is not listed but answers is only cut off from the store, and its replica
// still serves. Breaking it up would cause an unnecessary outage.
func TestMixKeepsAReplicaWhoseMemberAnswers(t *testing.T) {
	p := &simulation{in: placement.Input{Groups: mixed[:1], VMs: newVMs(1, 4), CheapLoads: true}}
	p.apply(p.plan(), 100)
	member := p.vm(p.in.Replicas[0].Members[2])
	member.Listed = false
	require.Empty(t, p.plan().Actions)
	member.LastSeen = time.Time{}
	require.Equal(t, "member-lost", p.plan().Actions[0].Reason)
}

func TestMixEndsReplicasWithoutARule(t *testing.T) {
	p := &simulation{in: placement.Input{Groups: mixed[:1], VMs: newVMs(1, 4), CheapLoads: true}}
	p.apply(p.plan(), 100)
	p.in.Groups = mixed[1:]
	require.Equal(t, "no-rule", p.plan().Actions[0].Reason)
}

// Random histories in which VMs are lost, leave, fail, restart and are added: no VM may be
// in two replicas, members must be usable and of one domain, and planning the same input
// twice must give the same plan.
func TestMixHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := []rules.Group{four, three}
		groups[0].VMs = rapid.IntRange(1, 5).Draw(t, "size of one")
		groups[1].VMs = rapid.IntRange(1, 5).Draw(t, "size of the other")
		p := &simulation{in: placement.Input{Groups: groups, VMs: newVMs(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(1, 9).Draw(t, "VMs")), CheapLoads: true}}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			p.in.CheapLoads = p.in.CheapLoads && rapid.Bool().Draw(t, "cheap")
			if len(p.in.VMs) > 0 {
				vm := &p.in.VMs[rapid.IntRange(0, len(p.in.VMs)-1).Draw(t, "which")]
				switch rapid.IntRange(0, 4).Draw(t, "what") {
				case 0:
					p.lose(vm.ID)
				case 1:
					vm.Leaving = true
				case 2:
					vm.DownSince = start
				case 3:
					*vm = placement.VM{ID: vm.ID, Domain: vm.Domain, Zone: vm.Zone, Listed: true, LastSeen: start}
				case 4:
					p.in.VMs = append(p.in.VMs, placement.VM{ID: cluster.VMID(fmt.Sprintf("new-%d", step)), Domain: vm.Domain, Zone: vm.Zone, Listed: true, LastSeen: start})
				}
			}
			plan := p.plan()
			require.Equal(t, plan, p.plan(), "a plan must depend on its input alone")
			for _, a := range plan.Actions {
				if a.Kind == placement.Form {
					checkForm(t, p, a)
				}
			}
			p.apply(plan, rapid.IntRange(0, 6).Draw(t, "loads"))
			checkAssignedOnce(t, p)
		}
	})
}

func checkForm(t *rapid.T, p *simulation, a placement.Action) {
	g := placement.FindGroup(p.in.Groups, a.Group)
	require.Len(t, a.Members, g.VMs)
	for _, id := range a.Members {
		vm := p.vm(id)
		require.NotNil(t, vm)
		require.True(t, vm.Usable(), "%s", id)
		require.Equal(t, p.vm(a.Members[0]).Domain, vm.Domain)
	}
}

func checkAssignedOnce(t *rapid.T, p *simulation) {
	assigned := map[cluster.VMID]cluster.ReplicaID{}
	for _, r := range p.in.Replicas {
		for _, id := range r.Members {
			require.Empty(t, assigned[id], "%s is in %s too", id, r.ID)
			assigned[id] = r.ID
		}
	}
}

// Simulates the users' calm day: two serving VMs fail every three seconds, two
// empty ones arrive every three and a half, and the weight store serves six loads at once.
// Domains with an affinity to one model must serve more replicas than domains whose VMs
// have mixed weights.
func TestMixAffinityServesMoreReplicas(t *testing.T) {
	withAffinity := meanServingReplicas(t, true)
	withoutAffinity := meanServingReplicas(t, false)
	t.Logf("mean number of replicas of both models: %.1f with an affinity of each domain to one model, %.1f without", withAffinity, withoutAffinity)
	require.Greater(t, withAffinity, 7.0)
	require.Greater(t, withAffinity, withoutAffinity)
}

// meanServingReplicas returns twice the mean number of replicas of the model that has
// fewer. Without affinity, the VMs start with weights of both models in alternation.
func meanServingReplicas(t *testing.T, affinity bool) float64 {
	t.Helper()
	vms := newVMs(6, 9)
	if !affinity {
		for i := range vms {
			vms[i].Staged = []string{[]string{"four", "three"}[i%2]}
		}
	}
	p := &simulation{in: placement.Input{Groups: mixed, VMs: vms, CheapLoads: true}}
	p.apply(p.plan(), 100)
	p.apply(p.plan(), 100)
	p.in.CheapLoads = false
	const steps, load = 68, 28 // in half seconds: a load takes 14 s
	loadDone := map[cluster.VMID]int{}
	sum := 0.0
	for step := range steps {
		if step%6 == 5 {
			for i := range 2 {
				if len(p.in.Replicas) > 0 {
					r := p.in.Replicas[(step*7+i*3)%len(p.in.Replicas)]
					p.lose(r.Members[(step+i)%len(r.Members)])
				}
			}
		}
		if step >= 22 && step%7 == 0 {
			for i := range 2 {
				d := (step + i) % 6
				p.in.VMs = append(p.in.VMs, placement.VM{ID: cluster.VMID(fmt.Sprintf("new-%d-%d", step, i)), Listed: true, LastSeen: start,
					Domain: cluster.DomainID(fmt.Sprintf("d%d", d)), Zone: cluster.ZoneID(fmt.Sprintf("z%d", d/2))})
			}
		}
		for id, until := range loadDone {
			vm := p.vm(id)
			if vm == nil || step >= until {
				delete(loadDone, id)
			}
			if vm != nil && step >= until {
				vm.Staged, vm.Loading = []string{vm.Loading}, ""
			}
		}
		plan := p.plan()
		for _, a := range plan.Actions {
			if a.Kind == placement.Preload && len(loadDone) < 6 {
				loadDone[a.VM] = step + load
				p.vm(a.VM).Loading = string(a.Group)
			}
		}
		p.apply(plan, 0)
		sum += 2 * float64(min(p.serving("four"), p.serving("three")))
	}
	return sum / steps
}
