package lifecycle

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// inventoryLogInterval is how often the holder logs the VM counts of each domain.
const inventoryLogInterval = 2 * time.Second

// domainInventory counts the VMs of a fabric domain by state.
type domainInventory struct{ inReplicas, free, cold, loading int }

// logInventory logs the VM counts of each domain, from which an operator can tell later why
// a replica was or was not formed.
func (m *Machine) logInventory(in placement.Input, now time.Time) {
	if now.Sub(m.inventoryLoggedAt) < inventoryLogInterval {
		return
	}
	m.inventoryLoggedAt = now
	held := make(map[cluster.VMID]bool)
	for _, r := range in.Replicas {
		for _, vm := range r.Members {
			held[vm] = true
		}
	}
	domains := make(map[cluster.DomainID]*domainInventory)
	for _, vm := range in.VMs {
		d := domains[vm.Domain]
		if d == nil {
			d = &domainInventory{}
			domains[vm.Domain] = d
		}
		_, loading := m.loads.deadlines[vm.ID]
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
	m.opts.Log.Info("inventory", "replicas", len(in.Replicas), "ending", len(m.replicasInPhase(phaseEnding)), "work", formatWork(in.Work), "domains", strings.Join(parts, " "))
}

// formatWork formats the work by model for the log, in replicas kept fully busy.
func formatWork(work workload.Rates) string {
	var parts []string
	for group, rate := range work {
		parts = append(parts, fmt.Sprintf("%s:%.1f", group, rate))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
