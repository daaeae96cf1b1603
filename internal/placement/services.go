package placement

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// byService splits the input into one for each service that has models, in the order of the groups. Services
// share no VM, so that each is planned by itself: a domain's affinity, a move of a domain and the
// shortage of a group concern the VMs of one service. An input with one service is not split.
func (in Input) byService() []Input {
	var services []cluster.Service
	for i := range in.Groups {
		if s := in.Groups[i].Servers; !slices.Contains(services, s) {
			services = append(services, s)
		}
	}
	if len(services) < 2 || slices.Contains(services, "") {
		return []Input{in}
	}
	parts := make([]Input, len(services))
	at := make(map[cluster.Service]int, len(services))
	for i, s := range services {
		parts[i] = in
		parts[i].Groups, parts[i].VMs, parts[i].Replicas = nil, nil, nil
		at[s] = i
	}
	for i := range in.Groups {
		part := &parts[at[in.Groups[i].Servers]]
		part.Groups = append(part.Groups, in.Groups[i])
	}
	serviceOf := make(map[cluster.VMID]cluster.Service, len(in.VMs))
	for i := range in.VMs {
		vm := in.VMs[i]
		serviceOf[vm.ID] = vm.Service
		if part, known := at[vm.Service]; known {
			parts[part].VMs = append(parts[part].VMs, vm)
		}
	}
	for _, r := range in.Replicas {
		part := 0 // one without a known member is broken up, whatever the service
		for _, id := range r.Members {
			if p, known := at[serviceOf[id]]; known {
				part = p
			}
		}
		parts[part].Replicas = append(parts[part].Replicas, r)
	}
	return parts
}

// Plan implements Policy.
func (mix Mix) Plan(in Input, now time.Time) (plan Plan) {
	for _, part := range in.byService() {
		p := mix.planService(part, now)
		plan.Actions = append(plan.Actions, p.Actions...)
		if plan.ReplanAt.IsZero() || !p.ReplanAt.IsZero() && p.ReplanAt.Before(plan.ReplanAt) {
			plan.ReplanAt = p.ReplanAt
		}
	}
	return plan
}
