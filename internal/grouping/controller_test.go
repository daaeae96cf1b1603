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
		w := newWorld(t, 5, pairs)
		n := w.start("n1", nil)
		replicas := w.settle(2)
		require.Len(t, replicas, 2)
		_, fence := w.holder()
		require.Equal(t, cluster.Fence(fence), replicas[0].Fence)
		require.Equal(t, engine.RoleIdle, w.engine("vm04").state.Assignment.Role)
		n.stop()
		node, _ := w.holder()
		require.Empty(t, node, "a planned stop gives the lease up")
	})
}

// A VM dies. Its replica cannot serve; the survivors must get into a new replica
// with whatever is free.
func TestControllerRegroupsAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, pairs)
		n := w.start("n1", nil)
		before := w.settle(1)[0]
		w.edit("vm01", func(e *fakeEngine) { e.down = true })
		time.Sleep(20 * time.Second)
		after := w.settle(1)[0]
		require.NotEqual(t, before.ID, after.ID)
		require.Equal(t, []cluster.VMID{"vm00", "vm02"}, after.Members)
		// It comes back as if nothing had happened, with its old assignment, and
		// must be told that it is in no replica.
		w.edit("vm01", func(e *fakeEngine) { e.down = false })
		require.Equal(t, before.ID, w.engine("vm01").state.Assignment.Replica)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.Empty(t, w.engine("vm01").state.Assignment.Replica)
		n.stop()
	})
}

// Two nodes race for the lease; the loser must not act at all, and takes over
// when the holder stops.
func TestTwoCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, pairs)
		nodes := map[string]*node{"n1": w.start("n1", nil), "n2": w.start("n2", nil)}
		first := w.settle(2)
		holder, fence := w.holder()
		for _, order := range w.orders {
			require.Equal(t, cluster.Fence(fence), order.Fence)
		}
		nodes[holder].stop()
		w.addVM("vm04", "d1")
		w.addVM("vm05", "d1")
		after := w.settle(3)
		require.Subset(t, after, first, "a new holder leaves whole replicas alone")
		next, nextFence := w.holder()
		require.NotEqual(t, holder, next)
		require.Greater(t, nextFence, fence)
		nodes[next].stop()
	})
}

// The platform's list runs tens of seconds behind: it still shows a VM that is
// gone, and no longer shows one that answers and serves.
func TestLaggingVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, pairs)
		w.edit("vm00", func(e *fakeEngine) { e.down = true })
		n := w.start("n1", nil)
		replicas := w.settle(1)
		require.Len(t, replicas, 1)
		require.NotContains(t, replicas[0].Members, cluster.VMID("vm00"))
		w.editVM(replicas[0].Members[1], func(vms []cluster.VM, at int) []cluster.VM { return slices.Delete(vms, at, at+1) })
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, replicas, w.committed(), "an answering VM is present, listed or not")
		n.stop()
	})
}

// The store is down: replicas that are whole go on, and nothing is regrouped,
// because the lease can't be kept.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5, pairs)
		n := w.start("n1", nil)
		before := w.settle(2)
		w.store.SetFaults(downFaults)
		time.Sleep(time.Minute)
		w.edit("vm00", func(e *fakeEngine) { e.down = true })
		synctest.Wait()
		orders := len(w.orders)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, w.orders, orders)
		w.store.SetFaults(healthyFaults)
		require.Equal(t, before, w.committed())
		time.Sleep(40 * time.Second)
		after := w.settle(2)
		require.NotEqual(t, before, after)
		n.stop()
	})
}
