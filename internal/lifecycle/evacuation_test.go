package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// Guards against orders and probes into an evacuated zone, and against a replica that is lost
// because its zone was evacuated.
func TestEvacuatedReplicaIsLeftAlone(t *testing.T) {
	f, order := newOpenReplica(t, 5)
	f.vms.sent = nil
	f.evacuated = []cluster.ZoneID{f.servers[0].Zone}
	lost := f.listed(order.Members[2])
	f.unlist(lost.ID)
	f.vms.unresponsive[lost.ID] = true
	for range 4 {
		f.step()
		require.Empty(t, f.machine.out.ProbeUnlisted)
		require.Empty(t, f.machine.out.ProbeReplicas)
	}
	require.Empty(t, f.vms.sent)

	f.evacuated = nil
	delete(f.vms.unresponsive, lost.ID)
	f.relist(lost)
	f.step()
	require.Empty(t, f.vms.takeOrders(Leave), "the replica serves as before")
}

// Guards against an order that was due when its zone was evacuated.
func TestFormationStopsInAnEvacuatedZone(t *testing.T) {
	f := newFixture(t, 3)
	f.step()
	joins := f.vms.takeOrders(Join)
	require.Len(t, joins, 3)
	order := joins["vm-0"]
	for rank, vm := range order.Members {
		f.setMembership(vm, order, rank, fleet.Ready)
	}
	f.evacuated = []cluster.ZoneID{f.servers[0].Zone}
	f.step()
	require.Empty(t, f.vms.sent)
	f.evacuated = nil
	f.step()
	require.Contains(t, f.vms.takeOrders(Open), order.Members[0])
}
