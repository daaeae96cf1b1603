package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Guards against a service that forms no replicas of a model because another service's replicas or domains count as its own.
func TestServicesWithTheSameModelsAreFormedEach(t *testing.T) {
	now := time.Unix(1000, 0)
	in := Input{Zone: "z", CheapLoads: true}
	for _, service := range []cluster.Service{"a", "b"} {
		for _, model := range []string{"m1", "m2"} {
			in.Groups = append(in.Groups, rules.Group{Name: rules.ModelGroupName(service, model), Model: model, Servers: service, VMs: 2, SameDomain: true, Demand: 0.5})
		}
	}
	for _, service := range []cluster.Service{"a", "b"} {
		for i := range 8 {
			id := cluster.VMID(fmt.Sprintf("%s-%d", service, i))
			in.VMs = append(in.VMs, VM{ID: id, Domain: cluster.DomainID(fmt.Sprintf("rack-%d-%s", i/4, service)), Zone: "z", Service: service, Listed: true, LastSeen: now})
		}
	}
	formed := make(map[cluster.GroupName]int)
	for _, a := range (Mix{}).Plan(in, now).Actions {
		if a.Kind != Form {
			continue
		}
		formed[a.Group]++
		for _, id := range a.Members {
			require.Equal(t, a.Group[0], id[0], "a member of another service")
		}
	}
	require.Equal(t, map[cluster.GroupName]int{"a/m1": 2, "a/m2": 2, "b/m1": 2, "b/m2": 2}, formed)
}
