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

// weightedWorld is a settled zone under the weighted policy.
func weightedWorld(t *testing.T, vms int) (*world, *node, []cluster.Replica) {
	w := newWorld(t, vms, pairs)
	w.policy = placement.Weighted{}
	w.loadTime = testLoadTime
	n := w.start("n1", nil)
	replicas := w.settle(vms / pairs.VMs)
	time.Sleep(testLoadTime)
	synctest.Wait()
	return w, n, replicas
}

// A VM dies and a spare stands by. The replica must be back without reading
// weights again, and nobody else's replica may be touched.
func TestWarmSpareReplacesLostMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, n, before := weightedWorld(t, 5)
		spare := w.engine("vm04").state
		require.Equal(t, engine.RoleIdle, spare.Assignment.Role)
		require.Equal(t, "m", spare.Assignment.Model, "the spare loads the model ahead")
		w.edit("vm01", func(e *fakeEngine) { e.down = true })
		lost := time.Now()
		time.Sleep(DefaultDownAfter)
		for !slices.Contains(w.committed()[0].Members, "vm04") || !w.whole(w.committed()[0]) {
			require.Less(t, time.Since(lost), testLoadTime)
			time.Sleep(DefaultTick)
			synctest.Wait()
		}
		after := w.committed()
		require.Equal(t, before[0].ID, after[0].ID)
		require.Equal(t, before[0].Generation+1, after[0].Generation)
		require.Equal(t, before[1], after[1])
		require.Equal(t, 1, w.engine("vm04").loads)
		n.stop()
	})
}

// The platform announces that it takes a VM away while streams run. The replica
// gets no new work, its streams end by themselves, and only then is the spare put
// in the leaving VM's place.
func TestLeavingVMIsReplacedAfterItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, n, before := weightedWorld(t, 5)
		serving := before[0].Serving
		w.edit(serving, func(e *fakeEngine) { e.state.Load.Running = 3 })
		w.editVM(before[0].Members[1], func(vms []cluster.VM, at int) []cluster.VM {
			vms[at].State = cluster.VMLeaving
			return vms
		})
		time.Sleep(2 * DefaultTick)
		synctest.Wait()
		drained := w.committed()[0]
		require.True(t, drained.Leaving)
		require.Equal(t, before[0].Generation, drained.Generation)
		orders := len(w.orders)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, w.orders, orders, "no order while streams run")

		w.edit(serving, func(e *fakeEngine) { e.state.Load.Running = 0 })
		after := w.settle(2)
		require.False(t, after[0].Leaving)
		require.Equal(t, []cluster.VMID{"vm00", "vm04"}, after[0].Members)
		require.Equal(t, before[1], after[1])
		n.stop()
	})
}

// A rack loses power. What is whole in other racks goes on untouched, and the
// dark replicas are as before when the rack is back.
func TestDarkDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, pairs)
		w.policy = placement.Weighted{}
		w.addVM("dark0", "d2")
		w.addVM("dark1", "d2")
		n := w.start("n1", nil)
		before := w.settle(3)
		for _, id := range []cluster.VMID{"dark0", "dark1"} {
			w.edit(id, func(e *fakeEngine) {
				e.down = true
				e.state = engine.State{VM: id, Assignment: engine.Assignment{Role: engine.RoleIdle}}
			})
		}
		orders := len(w.orders)
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Equal(t, before, w.committed())
		require.Len(t, w.orders, orders)
		for _, id := range []cluster.VMID{"dark0", "dark1"} {
			w.edit(id, func(e *fakeEngine) { e.down = false })
		}
		require.Equal(t, before, w.settle(3))
		n.stop()
	})
}

// The weight store takes one reader in five seconds. Starting all engines at once
// would have every one of them wait for the slowest, so replicas come up one
// after the other.
func TestWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 8, pairs)
		w.loadsPerSec = 0.2
		var times []time.Time
		var replicas []cluster.ReplicaID
		w.beforeOrder = func(order engine.Order) {
			w.mu.Lock()
			defer w.mu.Unlock()
			times = append(times, time.Now())
			replicas = append(replicas, order.Assignment.Replica)
		}
		n := w.start("n1", nil)
		w.settle(4)
		n.stop()
		require.Len(t, times, 8)
		require.GreaterOrEqual(t, times[7].Sub(times[0]), 7*4*time.Second)
		require.True(t, slices.IsSorted(replicas), "replica by replica: %v", replicas)
	})
}

// An operator changes the version of a group's model. Engines get it as a load
// order within their assignment, one replica after the other: all at once would
// leave the group without any replica while they load. A replica whose VM is
// down for hours must not hold up the others.
func TestNewVersionRolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, n, before := weightedWorld(t, 8)
		w.edit("vm00", func(e *fakeEngine) { e.down = true })
		group := pairs
		group.Version = "v2"
		loading := make(map[cluster.ReplicaID]int)
		ready := func(id cluster.ReplicaID) bool {
			for _, e := range w.engines {
				if e.state.Assignment.Replica == id && !e.seen().Loaded {
					return false
				}
			}
			return true
		}
		w.beforeOrder = func(order engine.Order) {
			w.mu.Lock()
			defer w.mu.Unlock()
			loading[order.Assignment.Replica]++
			for other := range loading {
				require.True(t, other == order.Assignment.Replica || loading[other] == pairs.VMs)
				require.True(t, other == order.Assignment.Replica || ready(other), "%s still loads", other)
			}
		}
		w.setGroups(group)
		time.Sleep(3 * (testLoadTime + 2*DefaultPollInterval))
		synctest.Wait()
		require.Equal(t, before, w.committed())
		require.Len(t, loading, 3)
		for _, vm := range w.List().VMs[2:] {
			require.Equal(t, "v2", w.engine(vm.ID).state.Assignment.Version)
		}
		n.stop()
	})
}

// A poll without an answer says nothing of the streams that run: a drained replica is kept until its engine says it is idle.
func TestUnansweredPollDoesNotMakeADrainedReplicaIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, n, before := weightedWorld(t, 5)
		serving := before[0].Serving
		w.editVM(before[0].Members[1], func(vms []cluster.VM, at int) []cluster.VM {
			vms[at].State = cluster.VMLeaving
			return vms
		})
		time.Sleep(2 * DefaultTick)
		synctest.Wait()
		require.True(t, w.committed()[0].Leaving)
		time.Sleep(drainGrace - DefaultTick)
		synctest.Wait()
		w.edit(serving, func(e *fakeEngine) { e.state.Load.Running, e.down = 3, true })
		orders := len(w.orders)
		time.Sleep(DefaultDownAfter - DefaultTick)
		synctest.Wait()
		w.edit(serving, func(e *fakeEngine) { e.down = false })
		time.Sleep(10 * DefaultTick)
		synctest.Wait()
		require.Len(t, w.orders, orders, "no order while streams run")
		require.True(t, w.committed()[0].Leaving)

		w.edit(serving, func(e *fakeEngine) { e.state.Load.Running = 0 })
		require.Equal(t, []cluster.VMID{"vm00", "vm04"}, w.settle(2)[0].Members)
		n.stop()
	})
}
