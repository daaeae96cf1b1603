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

// TestMain fixes the seed of the random histories, so that every run gives the same result.
// -rapid.seed on the command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

// history is a random history of a zone: VMs fail, recover, leave and stay, streams start and
// end, and rules change, while a policy plans and Assignments applies the plans.
type history struct {
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

func (h *history) randomEvent() {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(h.t, "seconds")) * time.Second)
	vm := &h.vms[rapid.IntRange(0, len(h.vms)-1).Draw(h.t, "vm")]
	switch rapid.SampledFrom([]string{"down", "up", "leave", "stay", "unlist", "rack", "load", "rules"}).Draw(h.t, "event") {
	case "down":
		vm.DownSince, vm.Model = h.now, ""
	case "up":
		vm.DownSince, vm.LastSeen = time.Time{}, h.now
	case "leave":
		vm.Leaving = true
	case "stay":
		vm.Leaving = false
	case "unlist":
		vm.Listed = !vm.Listed
	case "rack":
		for i := range h.vms {
			if h.vms[i].Domain == vm.Domain {
				h.vms[i].DownSince = h.now
			}
		}
	case "load":
		for _, r := range h.assignments.Replicas() {
			h.load[r.ID] = Load{Running: rapid.IntRange(0, 1).Draw(h.t, "running")}
		}
	case "rules":
		h.groups = drawGroups(h.t)
	}
}

// converge plans until nothing changes, and checks every action and the result.
func (h *history) converge() {
	for range 20 {
		in := Input{Zone: "z", Groups: h.groups, VMs: slices.Clone(h.vms), Replicas: h.assignments.Replicas(), Load: h.load}
		plan := h.policy.Plan(in, h.now)
		changed := false
		for _, a := range plan.Actions {
			if a.ChangesTable() {
				h.apply(a)
				changed = true
			}
		}
		if !changed {
			h.checkConverged()
			return
		}
	}
	require.Fail(h.t, "the policy does not converge")
}

func (h *history) apply(a Action) {
	if h.policy.Name() != (Naive{}).Name() && (a.Kind == BreakUp || a.Kind == Replace) {
		h.checkNotInterrupted(a)
	}
	h.nextID++
	model := ""
	if g := FindGroup(h.groups, a.Group); g != nil {
		model = g.Model
	}
	change, err := h.assignments.Apply(a, CommitMetadata{NewID: cluster.ReplicaID(fmt.Sprintf("r%d", h.nextID)), Model: model, Fence: 1})
	require.NoError(h.t, err, "%+v", a)
	if a.Kind == Form || a.Kind == Replace {
		h.checkMembers(change.Replica, slices.Concat(a.Members, a.NewMembers))
		delete(h.load, change.Replica.ID)
	}
}

// checkNotInterrupted checks that the action interrupts no stream on a replica whose VMs
// are all up.
func (h *history) checkNotInterrupted(a Action) {
	r, ok := h.assignments.Replica(a.Replica)
	require.True(h.t, ok)
	index := indexVMs(h.vms)
	for _, id := range r.Members {
		if !index[id].DownSince.IsZero() {
			return
		}
	}
	require.Zero(h.t, h.load[r.ID].Running, "%+v interrupts streams", a)
}

// checkMembers checks that a formed or repaired replica has the rule's number of VMs, none of
// them down or leaving, the added ones usable, and all in one domain if the rule requires it.
func (h *history) checkMembers(r cluster.Replica, added []cluster.VMID) {
	g := FindGroup(h.groups, r.Group)
	require.Len(h.t, r.Members, g.VMs)
	index := indexVMs(h.vms)
	for _, id := range r.Members {
		require.False(h.t, index[id].Unavailable(), "%s in %+v", id, r)
		require.True(h.t, index[id].Usable() || !slices.Contains(added, id), "%s in %+v", id, r)
		require.True(h.t, !g.SameDomain || index[id].Domain == index[r.Members[0]].Domain, "%+v", r)
	}
}

// checkConverged checks that no VM is in two replicas and that no group has more serving
// replicas than wanted.
func (h *history) checkConverged() {
	_, err := NewAssignments("z", h.assignments.Replicas())
	require.NoError(h.t, err)
	count := make(map[cluster.GroupName]int)
	for _, r := range h.assignments.Replicas() {
		if r.Leaving || brokenReason(r, indexVMs(h.vms), h.groups) == "member-missing" {
			continue
		}
		count[r.Group]++
		g := FindGroup(h.groups, r.Group)
		require.True(h.t, g.Replicas == 0 || count[r.Group] <= g.Replicas, "%+v", r)
	}
}

// Whatever happens to VMs, no policy may put one into two replicas or form a replica that is
// incomplete: callers would get answers from a broken model. Weighted must not interrupt a
// stream that could have finished either.
func TestPoliciesOverRandomHistories(t *testing.T) {
	for _, policy := range []Policy{Naive{}, Weighted{}} {
		t.Run(policy.Name(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				h := &history{t: t, policy: policy, load: make(map[cluster.ReplicaID]Load), now: time.Unix(0, 0), groups: drawGroups(t)}
				h.assignments, _ = NewAssignments("z", nil)
				for i := range rapid.IntRange(1, 14).Draw(t, "vms") {
					domain := cluster.DomainID(fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")))
					h.vms = append(h.vms, VM{ID: cluster.VMID(fmt.Sprintf("v%02d", i)), Domain: domain, Listed: true, LastSeen: h.now})
				}
				h.converge()
				for range rapid.IntRange(1, 25).Draw(t, "events") {
					h.randomEvent()
					h.converge()
				}
			})
		})
	}
}
