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

// site returns VMs of so many domains, two a zone, each with so many VMs.
func site(domains, vms int) (out []placement.VM) {
	for d := range domains {
		for i := range vms {
			out = append(out, placement.VM{ID: cluster.VMID(fmt.Sprintf("vm-%d-%d", d, i)), Domain: cluster.DomainID(fmt.Sprintf("d%d", d)),
				Zone: cluster.ZoneID(fmt.Sprintf("z%d", d/2)), Listed: true, LastSeen: start})
		}
	}
	return out
}

// played applies plans to an input as a holder would, with loads that end at once.
type played struct {
	in  placement.Input
	seq int
}

func (p *played) plan() placement.Plan { return placement.Mix{}.Plan(p.in, start) }

func (p *played) vm(id cluster.VMID) *placement.VM {
	at := slices.IndexFunc(p.in.VMs, func(vm placement.VM) bool { return vm.ID == id })
	if at < 0 {
		return nil
	}
	return &p.in.VMs[at]
}

// apply carries a plan out; only so many loads may go on.
func (p *played) apply(plan placement.Plan, loads int) {
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

func (p *played) serving(group cluster.GroupName) (n int) {
	for _, r := range p.in.Replicas {
		if r.Group == group {
			n++
		}
	}
	return n
}

func (p *played) lose(id cluster.VMID) {
	p.in.VMs = slices.DeleteFunc(p.in.VMs, func(vm placement.VM) bool { return vm.ID == id })
}

func TestMixFillsAnEmptySite(t *testing.T) {
	p := &played{in: placement.Input{Groups: mixed, VMs: site(6, 9), CheapLoads: true}}
	p.apply(p.plan(), 100)
	p.apply(p.plan(), 100)
	require.Equal(t, 8, p.serving("four"), "four domains have the affinity of the larger model, which strands more")
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

// Two replicas of a domain lose a VM each. The survivors make up one replica with
// each other at once; waiting for weights would leave both models without it for
// as long as several more VMs take to fail.
func TestMixPoolsSurvivors(t *testing.T) {
	p := &played{in: placement.Input{Groups: mixed[:1], VMs: site(1, 8), CheapLoads: true}}
	p.apply(p.plan(), 100)
	require.Equal(t, 2, p.serving("four"))
	p.in.CheapLoads = false
	p.lose(p.in.Replicas[0].Members[0])
	p.lose(p.in.Replicas[1].Members[3])
	p.apply(p.plan(), 0) // broken up
	require.Zero(t, p.serving("four"))
	plan := p.plan()
	p.apply(plan, 0)
	require.Equal(t, 1, p.serving("four"))
	require.Equal(t, "weights-at-hand", plan.Actions[0].Reason)
}

// A domain misses one VM for a replica, another all of them. The weight store is
// slow: the one load that makes a replica whole goes first.
func TestMixLoadsWhatCompletesAReplica(t *testing.T) {
	vms := site(2, 4)
	for i := range 3 {
		vms[4+i].Staged = []string{"four"}
	}
	plan := placement.Mix{}.Plan(placement.Input{Groups: mixed[:1], VMs: vms}, start)
	require.Equal(t, placement.Preload, plan.Actions[0].Kind)
	require.Equal(t, vms[7].ID, plan.Actions[0].VM)
	require.True(t, plan.Actions[0].CompletesReplica)
	require.False(t, plan.Actions[1].CompletesReplica)
}

// While loads are cheap the last VM of a full domain reads its weights too: after
// a loss it is what makes a replica whole within a second.
func TestMixStagesLeftOversWhileLoadsAreCheap(t *testing.T) {
	p := &played{in: placement.Input{Groups: mixed[:1], VMs: site(1, 9), CheapLoads: true}}
	p.apply(p.plan(), 0)
	require.Equal(t, 2, p.serving("four"))
	plan := p.plan()
	require.Len(t, plan.Actions, 1)
	require.Equal(t, placement.Preload, plan.Actions[0].Kind)
}

// A member that the list lacks answers: it is cut off from the store alone, and
// its replica works on. Taking it apart would be an outage of our own making.
func TestMixKeepsAReplicaWhoseMemberAnswers(t *testing.T) {
	p := &played{in: placement.Input{Groups: mixed[:1], VMs: site(1, 4), CheapLoads: true}}
	p.apply(p.plan(), 100)
	member := p.vm(p.in.Replicas[0].Members[2])
	member.Listed = false
	require.Empty(t, p.plan().Actions)
	member.LastSeen = time.Time{}
	require.Equal(t, "member-lost", p.plan().Actions[0].Reason)
}

func TestMixEndsReplicasWithoutARule(t *testing.T) {
	p := &played{in: placement.Input{Groups: mixed[:1], VMs: site(1, 4), CheapLoads: true}}
	p.apply(p.plan(), 100)
	p.in.Groups = mixed[1:]
	require.Equal(t, "no-rule", p.plan().Actions[0].Reason)
}

// Whatever dies, drains, falls silent or comes anew: no VM is in two replicas,
// members are of one domain and usable, and a plan asked for twice is the same.
func TestMixHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := []rules.Group{four, three}
		groups[0].VMs = rapid.IntRange(1, 5).Draw(t, "size of one")
		groups[1].VMs = rapid.IntRange(1, 5).Draw(t, "size of the other")
		p := &played{in: placement.Input{Groups: groups, VMs: site(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(1, 9).Draw(t, "VMs")), CheapLoads: true}}
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
			require.Equal(t, plan, p.plan(), "a plan depends on its input alone")
			for _, a := range plan.Actions {
				if a.Kind == placement.Form {
					checkForm(t, p, a)
				}
			}
			p.apply(plan, rapid.IntRange(0, 6).Draw(t, "loads"))
			checkHeldOnce(t, p)
		}
	})
}

func checkForm(t *rapid.T, p *played, a placement.Action) {
	g := placement.FindGroup(p.in.Groups, a.Group)
	require.Len(t, a.Members, g.VMs)
	for _, id := range a.Members {
		vm := p.vm(id)
		require.NotNil(t, vm)
		require.True(t, vm.Usable(), "%s", id)
		require.Equal(t, p.vm(a.Members[0]).Domain, vm.Domain)
	}
}

func checkHeldOnce(t *rapid.T, p *played) {
	held := map[cluster.VMID]cluster.ReplicaID{}
	for _, r := range p.in.Replicas {
		for _, id := range r.Members {
			require.Empty(t, held[id], "%s is in %s too", id, r.ID)
			held[id] = r.ID
		}
	}
}

// The users' calm day in virtual time: two VMs that serve fail every three
// seconds, two empty ones come every three and a half, and the weight store loads
// six at a time. The policy is compared with one that forms what it can of
// whatever lies about, each in its own copy of the day.
func TestMixServesThroughTheDay(t *testing.T) {
	mix := playDay(t, true)
	scattered := playDay(t, false)
	t.Logf("replicas of both models, mean over the day: %.1f with domains that have an affinity to one model, %.1f without", mix, scattered)
	require.Greater(t, mix, 7.0)
	require.Greater(t, mix, scattered)
}

// playDay returns the mean number of replicas of the model that has fewer, times two.
// Without affinity, VMs were loaded alternately with both models.
func playDay(t *testing.T, affinity bool) float64 {
	t.Helper()
	vms := site(6, 9)
	if !affinity {
		for i := range vms {
			vms[i].Staged = []string{[]string{"four", "three"}[i%2]}
		}
	}
	p := &played{in: placement.Input{Groups: mixed, VMs: vms, CheapLoads: true}}
	p.apply(p.plan(), 100)
	p.apply(p.plan(), 100)
	p.in.CheapLoads = false
	const steps, load = 68, 28 // half seconds; a load takes 14 s
	loading := map[cluster.VMID]int{}
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
		for id, until := range loading {
			vm := p.vm(id)
			if vm == nil || step >= until {
				delete(loading, id)
			}
			if vm != nil && step >= until {
				vm.Staged, vm.Loading = []string{vm.Loading}, ""
			}
		}
		plan := p.plan()
		for _, a := range plan.Actions {
			if a.Kind == placement.Preload && len(loading) < 6 {
				loading[a.VM] = step + load
				p.vm(a.VM).Loading = string(a.Group)
			}
		}
		p.apply(plan, 0)
		sum += 2 * float64(min(p.serving("four"), p.serving("three")))
	}
	return sum / steps
}
