package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// TestMain fixes the seed of the random histories, so that every run gives the
// same verdict; -rapid.seed on the command line wins.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

// zone is a random history: VMs come, go, leave and return, streams start and
// end, and rules change, while a policy plans and Assignments applies.
type zone struct {
	t           *rapid.T
	policy      Policy
	groups      []rules.Group
	vms         []VM
	assignments *Assignments
	load        map[cluster.ReplicaID]Load
	now         time.Time
	nextID      int
}

func drawGroups(t *rapid.T) []rules.Group {
	weigh := rapid.SampledFrom([]rules.Weigh{rules.WeighDowntime, rules.WeighStranded})
	var groups []rules.Group
	for i := range rapid.IntRange(1, 3).Draw(t, "groups") {
		name := fmt.Sprintf("g%d", i)
		groups = append(groups, rules.Group{
			Origin: rules.Origin{Line: i + 1}, Name: cluster.GroupName(name), Model: name,
			VMs: rapid.IntRange(1, 4).Draw(t, "vms"), SameDomain: rapid.Bool().Draw(t, "same"),
			Spares: rapid.IntRange(0, 2).Draw(t, "spares"), Replicas: rapid.IntRange(0, 2).Draw(t, "replicas"),
			Weigh: weigh.Draw(t, "weigh"),
		})
	}
	return groups
}

func (z *zone) event() {
	z.now = z.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(z.t, "seconds")) * time.Second)
	vm := &z.vms[rapid.IntRange(0, len(z.vms)-1).Draw(z.t, "vm")]
	switch rapid.SampledFrom([]string{"down", "up", "leave", "stay", "unlist", "rack", "load", "rules"}).Draw(z.t, "event") {
	case "down":
		vm.DownSince, vm.Model = z.now, ""
	case "up":
		vm.DownSince, vm.LastSeen = time.Time{}, z.now
	case "leave":
		vm.Leaving = true
	case "stay":
		vm.Leaving = false
	case "unlist":
		vm.Listed = !vm.Listed
	case "rack":
		for i := range z.vms {
			if z.vms[i].Domain == vm.Domain {
				z.vms[i].DownSince = z.now
			}
		}
	case "load":
		for _, r := range z.assignments.Replicas() {
			z.load[r.ID] = Load{Running: rapid.IntRange(0, 1).Draw(z.t, "running")}
		}
	case "rules":
		z.groups = drawGroups(z.t)
	}
}

// settle plans until nothing changes and checks every action and the outcome.
func (z *zone) settle() {
	for range 20 {
		in := Input{Zone: "z", Groups: z.groups, VMs: slices.Clone(z.vms), Replicas: z.assignments.Replicas(), Load: z.load}
		plan := z.policy.Plan(in, z.now)
		changed := false
		for _, a := range plan.Actions {
			if a.ChangesTable() {
				z.apply(a)
				changed = true
			}
		}
		if !changed {
			z.checkSettled()
			return
		}
	}
	require.Fail(z.t, "the policy goes in circles")
}

func (z *zone) apply(a Action) {
	if z.policy.Name() != (Naive{}).Name() && (a.Kind == BreakUp || a.Kind == Replace) {
		z.checkNotCut(a)
	}
	z.nextID++
	model := ""
	if g := FindGroup(z.groups, a.Group); g != nil {
		model = g.Model
	}
	change, err := z.assignments.Apply(a, CommitMetadata{NewID: cluster.ReplicaID(fmt.Sprintf("r%d", z.nextID)), Model: model, Fence: 1})
	require.NoError(z.t, err, "%+v", a)
	if a.Kind == Form || a.Kind == Replace {
		z.checkMembers(change.Replica, slices.Concat(a.Members, a.NewMembers))
		delete(z.load, change.Replica.ID)
	}
}

// checkNotCut: streams on a replica whose VMs are all up are never cut.
func (z *zone) checkNotCut(a Action) {
	r, ok := z.assignments.Replica(a.Replica)
	require.True(z.t, ok)
	index := indexVMs(z.vms)
	for _, id := range r.Members {
		if !index[id].DownSince.IsZero() {
			return
		}
	}
	require.Zero(z.t, z.load[r.ID].Running, "%+v cuts streams", a)
}

// checkMembers: a formed or mended replica has the rule's number of VMs, none of
// them down or leaving, the new ones listed, and all in one fabric domain if the
// rule asks for it.
func (z *zone) checkMembers(r cluster.Replica, added []cluster.VMID) {
	g := FindGroup(z.groups, r.Group)
	require.Len(z.t, r.Members, g.VMs)
	index := indexVMs(z.vms)
	for _, id := range r.Members {
		require.False(z.t, index[id].Unavailable(), "%s in %+v", id, r)
		require.True(z.t, index[id].Usable() || !slices.Contains(added, id), "%s in %+v", id, r)
		require.True(z.t, !g.SameDomain || index[id].Domain == index[r.Members[0]].Domain, "%+v", r)
	}
}

// checkSettled: no VM in two replicas, never more replicas than wanted, and
// whoever serves fits the rules.
func (z *zone) checkSettled() {
	_, err := NewAssignments("z", z.assignments.Replicas())
	require.NoError(z.t, err)
	count := make(map[cluster.GroupName]int)
	for _, r := range z.assignments.Replicas() {
		if r.Leaving || brokenReason(r, indexVMs(z.vms), z.groups) == "member-missing" {
			continue
		}
		count[r.Group]++
		g := FindGroup(z.groups, r.Group)
		require.True(z.t, g.Replicas == 0 || count[r.Group] <= g.Replicas, "%+v", r)
	}
}

// Whatever VMs do, no policy may put one into two replicas or call a replica
// complete that is not, or callers get answers out of a broken model; and the
// weighted one may not cut a stream that could have finished.
func TestPoliciesOverRandomHistories(t *testing.T) {
	for _, policy := range []Policy{Naive{}, Weighted{}} {
		t.Run(policy.Name(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				z := &zone{t: t, policy: policy, load: make(map[cluster.ReplicaID]Load), now: time.Unix(0, 0), groups: drawGroups(t)}
				z.assignments, _ = NewAssignments("z", nil)
				for i := range rapid.IntRange(1, 14).Draw(t, "vms") {
					domain := cluster.DomainID(fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")))
					z.vms = append(z.vms, VM{ID: cluster.VMID(fmt.Sprintf("v%02d", i)), Domain: domain, Listed: true, LastSeen: z.now})
				}
				z.settle()
				for range rapid.IntRange(1, 25).Draw(t, "events") {
					z.event()
					z.settle()
				}
			})
		})
	}
}
