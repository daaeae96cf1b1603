package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// Guards against replicas that are broken up or VMs that change models because a zone is
// evacuated for a while.
func TestEvacuatedZoneIsNotLost(t *testing.T) {
	p := &simulation{in: placement.Input{Groups: mixed, VMs: newVMs(6, 9), CheapLoads: true}}
	for range 4 {
		p.apply(p.plan(), 100)
	}
	p.in.VMs = append(p.in.VMs, placement.VM{ID: "vm-new", Domain: "d0", Zone: "z0", Listed: true, LastSeen: start})
	p.in.CheapLoads = false
	p.in.Work = workload.Rates{"four": 0.1, "three": float64(3 * p.serving("three"))}
	require.NotEmpty(t, p.plan().Actions, "the busier model receives VMs")

	before := p.in.Replicas
	for i := range p.in.VMs {
		p.in.VMs[i].Evacuated = p.in.VMs[i].Zone == "z0"
	}
	lost := p.in.Replicas[0].Members[1]
	require.Equal(t, cluster.ZoneID("z0"), p.vm(lost).Zone)
	p.vm(lost).DownSince = start.Add(-time.Second)
	plan := p.plan()
	require.Empty(t, plan.Actions)
	p.apply(plan, 100)
	require.Equal(t, before, p.in.Replicas)
}
