package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// vmsPerDomain is the number of VMs in a fabric domain of the benchmarks.
const vmsPerDomain = 73

// twoModels is a rule set with a large and a small model that share the VMs.
var twoModels = rules.Assemble(rules.Set{Groups: []rules.Group{
	{Name: "large", Model: "large", VMs: 32, SameDomain: true, Servers: "models", Demand: 0.5, ColdLoad: 16 * time.Second, WarmLoad: 1600 * time.Millisecond},
	{Name: "small", Model: "small", VMs: 8, SameDomain: true, Servers: "models", Demand: 0.5, ColdLoad: 12 * time.Second, WarmLoad: 1100 * time.Millisecond},
}, Weights: rules.WeightStore{LoadsPerSecond: 90, LoadsAtOnce: 140}})

// newFleetList returns a list of VMs in fabric domains, with no weights staged.
func newFleetList(vms int, now time.Time) fleet.List {
	list := fleet.List{Revision: 1, ReadAt: now}
	for i := range vms {
		domain := i / vmsPerDomain
		list.Servers = append(list.Servers, fleet.Server{ID: cluster.VMID(fmt.Sprintf("vm-%06d", i)), Service: "models", Addr: "192.0.2.1:1",
			Zone: cluster.ZoneID(fmt.Sprintf("zone-%d", domain%5)), Domain: cluster.DomainID(fmt.Sprintf("domain-%03d", domain)), Slots: 22, StartedAt: now})
	}
	return list
}

func newBenchMachine(list fleet.List) *Machine {
	lastListed := make(map[cluster.VMID]fleet.Server)
	for _, s := range list.Servers {
		lastListed[s.ID] = s
	}
	return NewMachine(Options{Scope: "here", Fence: 2, Policy: placement.Mix{}, Log: discardLogger, LastListed: lastListed})
}

// applyOrders returns the results of an output's orders and applies their effect to the list.
func applyOrders(list *fleet.List, out Output, now time.Time) (results []OrderResult) {
	for _, outgoing := range out.SendOrders {
		s := list.Find(outgoing.To.ID)
		order := outgoing.Order
		switch order.Kind {
		case Stage:
			s.Staged = []string{order.Model}
		case Join:
			rank := 0
			for order.Members[rank] != s.ID {
				rank++
			}
			s.Staged, s.Model = []string{order.Model}, order.Model
			s.Membership = &fleet.Membership{Replica: order.Replica, Epoch: order.Epoch, Rank: rank, State: fleet.Ready}
		case Open:
			member := *s.Membership
			member.State = fleet.Open
			s.Membership = &member
		}
		results = append(results, OrderResult{To: outgoing.To, Order: order, Response: Accepted, At: now})
	}
	return results
}

func benchInput(list fleet.List, now time.Time, results []OrderResult) Input {
	list.ReadAt = now
	return Input{Now: now, List: list, Rules: twoModels, UnmeteredLoads: true, LeaseRemaining: time.Hour, OrderResults: results}
}

// BenchmarkStep measures one step: a holder's first, one while replicas are formed, one after a
// change that requires no action, and one without a change.
func BenchmarkStep(b *testing.B) {
	for _, vms := range []int{73, 438, 1095, 4380} {
		start := time.Unix(1000, 0)
		b.Run(fmt.Sprintf("first/vms=%d", vms), func(b *testing.B) {
			list := newFleetList(vms, start)
			for b.Loop() {
				newBenchMachine(list).Step(benchInput(list, start, nil))
			}
		})
		b.Run(fmt.Sprintf("loading/vms=%d", vms), func(b *testing.B) {
			list := newFleetList(vms, start)
			m := newBenchMachine(list)
			m.Step(benchInput(list, start, nil))
			for b.Loop() {
				m.Step(benchInput(list, start.Add(time.Millisecond), nil))
			}
		})
		for name, change := range map[string]int64{"changed": 1, "idle": 0} {
			b.Run(fmt.Sprintf("%s/vms=%d", name, vms), func(b *testing.B) {
				list, now := newFleetList(vms, start), start
				m := newBenchMachine(list)
				var results []OrderResult
				for range 100 {
					now = now.Add(100 * time.Millisecond)
					list.Version++
					results = applyOrders(&list, m.Step(benchInput(list, now, results)), now)
				}
				for b.Loop() {
					list.Version += change
					m.Step(benchInput(list, now, nil))
				}
			})
		}
	}
}
