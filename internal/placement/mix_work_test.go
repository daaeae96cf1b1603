package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// The work of a plan must grow with the number of replicas that it forms, not with that
// number times the number of domains. When it did, a lease holder with a thousand VMs
// planned for so long that it lost its lease.
func TestPlanSearchesOnlyDomainsThatGaveVMs(t *testing.T) {
	const perDomain = 73
	groups := []rules.Group{
		{Name: "large", Model: "large", VMs: 32, SameDomain: true, Demand: 0.5, ColdLoad: 16 * time.Second, WarmLoad: time.Second},
		{Name: "small", Model: "small", VMs: 8, SameDomain: true, Demand: 0.5, ColdLoad: 12 * time.Second, WarmLoad: time.Second},
	}
	for _, domains := range []int{15, 60} {
		in := Input{Zone: "z", Groups: groups, CheapLoads: true}
		for i := range domains * perDomain {
			in.VMs = append(in.VMs, VM{ID: cluster.VMID(fmt.Sprintf("vm%05d", i)), Domain: cluster.DomainID(fmt.Sprintf("d%03d", i/perDomain)), Listed: true, LastSeen: time.Unix(1, 0)})
		}
		m := newMixPlan(in)
		m.form(m.maxGroupSize())
		formed := len(m.actions)
		require.Greater(t, formed, 2*domains)
		require.LessOrEqual(t, m.searches, len(groups)*(domains+formed))
	}
}
