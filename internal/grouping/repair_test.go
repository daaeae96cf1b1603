package grouping

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/placement"
)

const testLoadTime = 20 * time.Second

// startWeightedZone returns a settled zone under the weighted policy.
func startWeightedZone(t *testing.T, vms int) (*testbed, *node, []cluster.Replica) {
	tb := newTestbed(t, vms, pairGroup)
	tb.policy = placement.Weighted{}
	tb.loadTime = testLoadTime
	n := tb.start("n1", nil)
	replicas := tb.settle(vms / pairGroup.VMs)
	time.Sleep(testLoadTime)
	synctest.Wait()
	return tb, n, replicas
}

// A VM fails while a warm spare is available. The replica must recover without loading weights
// again, and no other replica may change.
func TestWarmSpareReplacesLostMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb, n, before := startWeightedZone(t, 5)
		spare := tb.engine("vm04").state
		require.Equal(t, engine.RoleIdle, spare.Assignment.Role)
		require.Equal(t, "m", spare.Assignment.Model, "the spare loads the model in advance")
		tb.editEngine("vm01", func(e *fakeEngine) { e.down = true })
		lost := time.Now()
		time.Sleep(DefaultDownAfter)
		for !slices.Contains(tb.committed()[0].Members, "vm04") || !tb.healthy(tb.committed()[0]) {
			require.Less(t, time.Since(lost), testLoadTime)
			time.Sleep(DefaultStepInterval)
			synctest.Wait()
		}
		after := tb.committed()
		require.Equal(t, before[0].ID, after[0].ID)
		require.Equal(t, before[0].Generation+1, after[0].Generation)
		require.Equal(t, before[1], after[1])
		require.Equal(t, 1, tb.engine("vm04").loads)
		n.stop()
	})
}

// The platform announces that a VM will leave while streams are running. The replica gets no
// new requests, its streams end by themselves, and only then does the spare replace the leaving
// VM.
func TestLeavingVMIsReplacedAfterItsStreamsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb, n, before := startWeightedZone(t, 5)
		serving := before[0].Serving
		tb.editEngine(serving, func(e *fakeEngine) { e.state.Load.Running = 3 })
		tb.editVM(before[0].Members[1], func(vms []cluster.VM, i int) []cluster.VM {
			vms[i].State = cluster.VMLeaving
			return vms
		})
		time.Sleep(2 * DefaultStepInterval)
		synctest.Wait()
		drained := tb.committed()[0]
		require.True(t, drained.Leaving)
		require.Equal(t, before[0].Generation, drained.Generation)
		orders := len(tb.accepted)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, tb.accepted, orders, "no order while streams are running")

		tb.editEngine(serving, func(e *fakeEngine) { e.state.Load.Running = 0 })
		after := tb.settle(2)
		require.False(t, after[0].Leaving)
		require.Equal(t, []cluster.VMID{"vm00", "vm04"}, after[0].Members)
		require.Equal(t, before[1], after[1])
		n.stop()
	})
}

// A rack loses power. Healthy replicas in other racks keep serving unchanged, and the failed
// replicas are as before once the rack is back.
func TestDomainOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 4, pairGroup)
		tb.policy = placement.Weighted{}
		tb.addVM("dark0", "d2")
		tb.addVM("dark1", "d2")
		n := tb.start("n1", nil)
		before := tb.settle(3)
		for _, id := range []cluster.VMID{"dark0", "dark1"} {
			tb.editEngine(id, func(e *fakeEngine) {
				e.down = true
				e.state = engine.State{VM: id, Assignment: engine.Assignment{Role: engine.RoleIdle}}
			})
		}
		orders := len(tb.accepted)
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Equal(t, before, tb.committed())
		require.Len(t, tb.accepted, orders)
		for _, id := range []cluster.VMID{"dark0", "dark1"} {
			tb.editEngine(id, func(e *fakeEngine) { e.down = false })
		}
		require.Equal(t, before, tb.settle(3))
		n.stop()
	})
}

// The weight store takes one reader every five seconds. If all engines started at once, each
// would wait for the slowest, so replicas are started one after another.
func TestWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 8, pairGroup)
		tb.loadsPerSec = 0.2
		var times []time.Time
		var replicas []cluster.ReplicaID
		tb.beforeOrder = func(order engine.Order) {
			tb.mu.Lock()
			defer tb.mu.Unlock()
			times = append(times, time.Now())
			replicas = append(replicas, order.Assignment.Replica)
		}
		n := tb.start("n1", nil)
		tb.settle(4)
		n.stop()
		require.Len(t, times, 8)
		require.GreaterOrEqual(t, times[7].Sub(times[0]), 7*4*time.Second)
		require.True(t, slices.IsSorted(replicas), "one replica after another: %v", replicas)
	})
}

// An operator changes the version of a group's model. Engines get it as a load order within
// their assignment, one replica after another: updating all at once would leave the group
// without a replica while they load. A replica whose VM is down for hours must not delay the
// others.
func TestRollingVersionUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb, n, before := startWeightedZone(t, 8)
		tb.editEngine("vm00", func(e *fakeEngine) { e.down = true })
		group := pairGroup
		group.Version = "v2"
		loadOrders := make(map[cluster.ReplicaID]int)
		ready := func(id cluster.ReplicaID) bool {
			for _, e := range tb.engines {
				if e.state.Assignment.Replica == id && !e.currentState().Loaded {
					return false
				}
			}
			return true
		}
		tb.beforeOrder = func(order engine.Order) {
			tb.mu.Lock()
			defer tb.mu.Unlock()
			loadOrders[order.Assignment.Replica]++
			for other := range loadOrders {
				require.True(t, other == order.Assignment.Replica || loadOrders[other] == pairGroup.VMs)
				require.True(t, other == order.Assignment.Replica || ready(other), "%s is still loading", other)
			}
		}
		tb.setGroups(group)
		time.Sleep(3 * (testLoadTime + 2*DefaultPollInterval))
		synctest.Wait()
		require.Equal(t, before, tb.committed())
		require.Len(t, loadOrders, 3)
		for _, vm := range tb.List().VMs[2:] {
			require.Equal(t, "v2", tb.engine(vm.ID).state.Assignment.Version)
		}
		n.stop()
	})
}

// A poll without an answer says nothing about running streams: a drained replica is kept until
// its engine reports that it is idle.
func TestUnansweredPollDoesNotMakeADrainedReplicaIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb, n, before := startWeightedZone(t, 5)
		serving := before[0].Serving
		tb.editVM(before[0].Members[1], func(vms []cluster.VM, i int) []cluster.VM {
			vms[i].State = cluster.VMLeaving
			return vms
		})
		time.Sleep(2 * DefaultStepInterval)
		synctest.Wait()
		require.True(t, tb.committed()[0].Leaving)
		time.Sleep(drainGracePeriod - DefaultStepInterval)
		synctest.Wait()
		tb.editEngine(serving, func(e *fakeEngine) { e.state.Load.Running, e.down = 3, true })
		orders := len(tb.accepted)
		time.Sleep(DefaultDownAfter - DefaultStepInterval)
		synctest.Wait()
		tb.editEngine(serving, func(e *fakeEngine) { e.down = false })
		time.Sleep(10 * DefaultStepInterval)
		synctest.Wait()
		require.Len(t, tb.accepted, orders, "no order while streams are running")
		require.True(t, tb.committed()[0].Leaving)

		tb.editEngine(serving, func(e *fakeEngine) { e.state.Load.Running = 0 })
		require.Equal(t, []cluster.VMID{"vm00", "vm04"}, tb.settle(2)[0].Members)
		n.stop()
	})
}
