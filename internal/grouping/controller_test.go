package grouping

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

func TestControllerFormsReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 5, pairGroup)
		n := tb.start("n1", nil)
		replicas := tb.settle(2)
		require.Len(t, replicas, 2)
		_, fence := tb.holder()
		require.Equal(t, cluster.Fence(fence), replicas[0].Fence)
		require.Equal(t, engine.RoleIdle, tb.engine("vm04").state.Assignment.Role)
		n.stop()
		node, _ := tb.holder()
		require.Empty(t, node, "a planned stop releases the lease")
	})
}

// A VM fails and its replica cannot serve. The remaining VMs must form a new replica with
// whatever VMs are free.
func TestControllerRegroupsAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 3, pairGroup)
		n := tb.start("n1", nil)
		before := tb.settle(1)[0]
		tb.editEngine("vm01", func(e *fakeEngine) { e.down = true })
		time.Sleep(20 * time.Second)
		after := tb.settle(1)[0]
		require.NotEqual(t, before.ID, after.ID)
		require.Equal(t, []cluster.VMID{"vm00", "vm02"}, after.Members)
		// The VM comes back with its old assignment and must be released from the replica that
		// no longer exists.
		tb.editEngine("vm01", func(e *fakeEngine) { e.down = false })
		require.Equal(t, before.ID, tb.engine("vm01").state.Assignment.Replica)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.Empty(t, tb.engine("vm01").state.Assignment.Replica)
		n.stop()
	})
}

// Two nodes compete for the lease. The loser must send no orders, and takes over when the
// holder stops.
func TestTwoCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 4, pairGroup)
		nodes := map[string]*node{"n1": tb.start("n1", nil), "n2": tb.start("n2", nil)}
		first := tb.settle(2)
		holder, fence := tb.holder()
		for _, order := range tb.accepted {
			require.Equal(t, cluster.Fence(fence), order.Fence)
		}
		nodes[holder].stop()
		tb.addVM("vm04", "d1")
		tb.addVM("vm05", "d1")
		after := tb.settle(3)
		require.Subset(t, after, first, "a new holder keeps healthy replicas unchanged")
		next, nextFence := tb.holder()
		require.NotEqual(t, holder, next)
		require.Greater(t, nextFence, fence)
		nodes[next].stop()
	})
}

// The platform's VM list lags by tens of seconds: it still contains a VM that is gone, and no
// longer contains one that answers and serves.
func TestLaggingVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 4, pairGroup)
		tb.editEngine("vm00", func(e *fakeEngine) { e.down = true })
		n := tb.start("n1", nil)
		replicas := tb.settle(1)
		require.Len(t, replicas, 1)
		require.NotContains(t, replicas[0].Members, cluster.VMID("vm00"))
		tb.editVM(replicas[0].Members[1], func(vms []cluster.VM, i int) []cluster.VM { return slices.Delete(vms, i, i+1) })
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, replicas, tb.committed(), "a VM that answers is kept, listed or not")
		n.stop()
	})
}

// The store is down. Healthy replicas keep serving, and nothing is regrouped because the lease
// cannot be renewed.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 5, pairGroup)
		n := tb.start("n1", nil)
		before := tb.settle(2)
		tb.store.SetFaults(downFaults)
		time.Sleep(time.Minute)
		tb.editEngine("vm00", func(e *fakeEngine) { e.down = true })
		synctest.Wait()
		orders := len(tb.accepted)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, tb.accepted, orders)
		tb.store.SetFaults(healthyFaults)
		require.Equal(t, before, tb.committed())
		time.Sleep(40 * time.Second)
		after := tb.settle(2)
		require.NotEqual(t, before, after)
		n.stop()
	})
}
