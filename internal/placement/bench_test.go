package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// benchInput returns a zone of n replicas with size VMs each. A domain has 20 replicas and
// two spare VMs; one replica in a hundred has lost a VM.
func benchInput(n, size int) Input {
	const perDomain = 20
	now := time.Unix(1000, 0)
	in := Input{Zone: "z", Groups: []rules.Group{{Name: "g", Model: "m", VMs: size, SameDomain: true, Spares: 2, Weigh: rules.WeighDowntime}}}
	add := func(domain int, down bool) cluster.VMID {
		vm := VM{ID: cluster.VMID(fmt.Sprintf("vm%06d", len(in.VMs))), Domain: cluster.DomainID(fmt.Sprintf("d%03d", domain)), Listed: true, LastSeen: now, Model: "m"}
		if down {
			vm.DownSince = now
		}
		in.VMs = append(in.VMs, vm)
		return vm.ID
	}
	for i := range n {
		r := cluster.Replica{ID: cluster.ReplicaID(fmt.Sprintf("r%05d", i)), Group: "g", Model: "m", Generation: 1}
		for m := range size {
			r.Members = append(r.Members, add(i/perDomain, i%100 == 0 && m == 0))
		}
		r.Serving = r.Members[0]
		in.Replicas = append(in.Replicas, r)
		if i%perDomain == perDomain-1 {
			add(i/perDomain, false)
			add(i/perDomain, false)
		}
	}
	return in
}

func BenchmarkPlan(b *testing.B) {
	sizes := []struct{ replicas, vms int }{{265, 4}, {265, 32}, {4500, 1}, {4500, 4}}
	for _, policy := range []Policy{Naive{}, Weighted{}} {
		for _, s := range sizes {
			in := benchInput(s.replicas, s.vms)
			b.Run(fmt.Sprintf("%s/replicas=%d/vms=%d", policy.Name(), s.replicas, s.vms), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					policy.Plan(in, time.Unix(1060, 0))
				}
			})
		}
	}
}
