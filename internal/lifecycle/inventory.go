package lifecycle

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/placement"
)

// inventoryEvery is how often the holder logs what each domain holds.
const inventoryEvery = 2 * time.Second

// inventory counts a domain's VMs.
type inventory struct{ inReplicas, free, cold, loading int }

// logInventory writes what each domain holds: it tells afterwards why a replica was or
// was not formed.
func (m *Machine) logInventory(in placement.Input, now time.Time) {
	if now.Sub(m.inventoryAt) < inventoryEvery {
		return
	}
	m.inventoryAt = now
	held := make(map[cluster.VMID]bool)
	for _, r := range in.Replicas {
		for _, vm := range r.Members {
			held[vm] = true
		}
	}
	domains := make(map[cluster.DomainID]*inventory)
	for _, vm := range in.VMs {
		d := domains[vm.Domain]
		if d == nil {
			d = &inventory{}
			domains[vm.Domain] = d
		}
		_, loading := m.loads.until[vm.ID]
		switch {
		case loading:
			d.loading++
		case held[vm.ID]:
			d.inReplicas++
		case len(vm.Staged) == 0:
			d.cold++
		default:
			d.free++
		}
	}
	var parts []string
	for id, d := range domains {
		parts = append(parts, fmt.Sprintf("%s:held=%d,free=%d,cold=%d,loading=%d", id, d.inReplicas, d.free, d.cold, d.loading))
	}
	slices.Sort(parts)
	m.opts.Log.Info("inventory", "replicas", len(in.Replicas), "ending", len(m.inPhase(phaseEnding)), "domains", strings.Join(parts, " "))
}
