package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// countingPolicy counts calls of Plan.
type countingPolicy struct {
	placement.Policy
	plans int
}

func (c *countingPolicy) Plan(in placement.Input, now time.Time) placement.Plan {
	c.plans++
	return c.Policy.Plan(in, now)
}

// newSettledFleet returns a machine of a fleet whose replicas are all formed.
func newSettledFleet(t *testing.T, vms int) (*Machine, *countingPolicy, fleet.List, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	list := newFleetList(vms, now)
	policy := &countingPolicy{Policy: placement.Mix{}}
	m := newBenchMachine(list)
	m.opts.Policy = policy
	var results []OrderResult
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		list.Version++
		results = applyOrders(&list, m.Step(benchInput(list, now, results)), now)
	}
	require.Empty(t, results)
	policy.plans = 0
	return m, policy, list, now
}

// Guards against the holder of a large fleet using processor time to replan VMs that did not change.
func TestNoPlanWithoutChanges(t *testing.T) {
	for _, vms := range []int{1095, 4500} {
		m, policy, list, now := newSettledFleet(t, vms)
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			m.Step(benchInput(list, now, nil))
		}
		require.LessOrEqual(t, policy.plans, 1, "%d VMs", vms)
	}
}

// Guards against a quiescent holder ignoring new input of any kind.
func TestAnyChangeTriggersPlan(t *testing.T) {
	for name, change := range map[string]func(in *Input){
		"list":    func(in *Input) { in.List.Version++ },
		"rules":   func(in *Input) { in.Rules = rules.Assemble(rules.Set{Groups: twoModels.Groups}) },
		"loads":   func(in *Input) { in.UnmeteredLoads = false },
		"work":    func(in *Input) { in.Work = workload.Rates{"large": 1} },
		"silent":  func(in *Input) { in.Unresponsive = in.List.Servers[:1] },
		"stalled": func(in *Input) { in.Stalled = map[cluster.ReplicaID]bool{"large/1.1": true} },
	} {
		t.Run(name, func(t *testing.T) {
			m, policy, list, now := newSettledFleet(t, 2*vmsPerDomain)
			m.Step(benchInput(list, now, nil))
			policy.plans = 0
			in := benchInput(list, now, nil)
			change(&in)
			m.Step(in)
			require.Equal(t, 1, policy.plans)
		})
	}
}
