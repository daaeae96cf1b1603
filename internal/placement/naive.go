package placement

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Naive breaks up a replica as soon as one member is missing and immediately forms
// replicas first-fit from all free VMs. It keeps no spares and ignores which weights
// are loaded. It is the baseline of the differential tests.
type Naive struct{}

// Name implements Policy.
func (Naive) Name() string { return "naive" }

// Plan implements Policy.
func (Naive) Plan(in Input, _ time.Time) Plan {
	var plan Plan
	vms := indexVMs(in.VMs)
	taken := make(map[cluster.VMID]bool)
	count := make(map[cluster.GroupName]int)
	for _, r := range in.Replicas {
		reason := brokenReason(r, vms, in.Groups)
		if g := FindGroup(in.Groups, r.Group); reason == "" && g.Replicas > 0 && count[r.Group] >= g.Replicas {
			reason = "surplus-replica"
		}
		if reason != "" {
			plan.Actions = append(plan.Actions, Action{Kind: BreakUp, Group: r.Group, Replica: r.ID, Reason: reason})
			continue
		}
		count[r.Group]++
		for _, vm := range r.Members {
			taken[vm] = true
		}
	}
	for _, g := range in.Groups {
		for g.Replicas == 0 || count[g.Name] < g.Replicas {
			members := firstFit(in.VMs, taken, g)
			if members == nil {
				break
			}
			count[g.Name]++
			plan.Actions = append(plan.Actions, Action{Kind: Form, Group: g.Name, Members: members, Reason: "first-fit"})
		}
	}
	return plan
}

// brokenReason returns why the replica cannot continue, or "".
func brokenReason(r cluster.Replica, vms map[cluster.VMID]VM, groups []rules.Group) string {
	if r.Leaving {
		return "replica-leaving"
	}
	if !matchesRule(r, FindGroup(groups, r.Group), vms) {
		return "group-rule-changed"
	}
	for _, id := range r.Members {
		if vm, ok := vms[id]; !ok || vm.Unavailable() {
			return "member-missing"
		}
	}
	return ""
}

// matchesRule reports whether the replica has the size, model and domain that the
// group's rule requires.
func matchesRule(r cluster.Replica, g *rules.Group, vms map[cluster.VMID]VM) bool {
	if g == nil || g.VMs != len(r.Members) || g.Model != r.Model {
		return false
	}
	var domain cluster.DomainID
	for _, id := range r.Members {
		d := vms[id].Domain
		if !g.SameDomain || d == "" {
			continue
		}
		if domain != "" && d != domain {
			return false
		}
		domain = d
	}
	return true
}

// firstFit takes the first g.VMs free VMs, from one domain if the group requires
// it, and marks them taken. It returns nil if there are not enough.
func firstFit(vms []VM, taken map[cluster.VMID]bool, g rules.Group) []cluster.VMID {
	picked := make(map[cluster.DomainID][]cluster.VMID)
	for _, vm := range vms {
		if taken[vm.ID] || !vm.Usable() {
			continue
		}
		domain := vm.Domain
		if !g.SameDomain {
			domain = ""
		}
		picked[domain] = append(picked[domain], vm.ID)
		if len(picked[domain]) == g.VMs {
			for _, id := range picked[domain] {
				taken[id] = true
			}
			return picked[domain]
		}
	}
	return nil
}

func indexVMs(vms []VM) map[cluster.VMID]VM {
	index := make(map[cluster.VMID]VM, len(vms))
	for _, vm := range vms {
		index[vm.ID] = vm
	}
	return index
}

// FindGroup returns the rule of the named group, or nil.
func FindGroup(groups []rules.Group, name cluster.GroupName) *rules.Group {
	for i := range groups {
		if groups[i].Name == name {
			return &groups[i]
		}
	}
	return nil
}
