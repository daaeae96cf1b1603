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

// fabricDomain is the number of VMs of a domain in the benchmarks.
const fabricDomain = 73

// twoModels are a large and a small model that share the VMs.
var twoModels = rules.Assemble(rules.Set{Groups: []rules.Group{
	{Name: "large", Model: "large", VMs: 32, SameDomain: true, Servers: "models", Demand: 0.5, ColdLoad: 16 * time.Second, WarmLoad: 1600 * time.Millisecond},
	{Name: "small", Model: "small", VMs: 8, SameDomain: true, Servers: "models", Demand: 0.5, ColdLoad: 12 * time.Second, WarmLoad: 1100 * time.Millisecond},
}, Weights: rules.WeightStore{LoadsPerSecond: 90, LoadsAtOnce: 140}})

// fleetOf lists VMs in fabric domains that hold no weights.
func fleetOf(vms int, now time.Time) fleet.List {
	list := fleet.List{Revision: 1, ReadAt: now}
	for i := range vms {
		domain := i / fabricDomain
		list.Servers = append(list.Servers, fleet.Server{ID: cluster.VMID(fmt.Sprintf("vm-%06d", i)), Service: "models", Addr: "192.0.2.1:1",
			Zone: cluster.ZoneID(fmt.Sprintf("zone-%d", domain%5)), Domain: cluster.DomainID(fmt.Sprintf("domain-%03d", domain)), Slots: 22, Born: now})
	}
	return list
}

func newBenchMachine(list fleet.List) *Machine {
	seen := make(map[cluster.VMID]fleet.Server)
	for _, s := range list.Servers {
		seen[s.ID] = s
	}
	return NewMachine(Options{Scope: "here", Fence: 2, Policy: placement.Mix{}, Log: quiet, LastListed: seen})
}

// carryOut answers the orders of an output and shows their effect in the list.
func carryOut(list *fleet.List, out Output, now time.Time) (answered []OrderResult) {
	for _, sending := range out.SendOrders {
		s := list.Find(sending.To.ID)
		order := sending.Order
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
		answered = append(answered, OrderResult{To: sending.To, Order: order, Response: Accepted, At: now})
	}
	return answered
}

func benchInput(list fleet.List, now time.Time, answered []OrderResult) Input {
	list.ReadAt = now
	return Input{Now: now, List: list, Rules: twoModels, UnmeteredLoads: true, LeaseRemaining: time.Hour, OrderResults: answered}
}

// BenchmarkStep measures one look at the list: the first of a holder, one while replicas
// are formed, one after a change that asks for nothing, and one after no change.
func BenchmarkStep(b *testing.B) {
	for _, vms := range []int{73, 438, 1095, 4380} {
		start := time.Unix(1000, 0)
		b.Run(fmt.Sprintf("first/vms=%d", vms), func(b *testing.B) {
			list := fleetOf(vms, start)
			for b.Loop() {
				newBenchMachine(list).Step(benchInput(list, start, nil))
			}
		})
		b.Run(fmt.Sprintf("loading/vms=%d", vms), func(b *testing.B) {
			list := fleetOf(vms, start)
			m := newBenchMachine(list)
			m.Step(benchInput(list, start, nil))
			for b.Loop() {
				m.Step(benchInput(list, start.Add(time.Millisecond), nil))
			}
		})
		for name, change := range map[string]int64{"changed": 1, "idle": 0} {
			b.Run(fmt.Sprintf("%s/vms=%d", name, vms), func(b *testing.B) {
				list, now := fleetOf(vms, start), start
				m := newBenchMachine(list)
				var answered []OrderResult
				for range 100 {
					now = now.Add(100 * time.Millisecond)
					list.Changed++
					answered = carryOut(&list, m.Step(benchInput(list, now, answered)), now)
				}
				for b.Loop() {
					list.Changed += change
					m.Step(benchInput(list, now, nil))
				}
			})
		}
	}
}
