package grouping

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// gate blocks a matching call until it is opened, as if the process were frozen at that point.
type gate struct {
	reached, open chan struct{}
	passed        atomic.Bool
}

func newGate() *gate { return &gate{reached: make(chan struct{}), open: make(chan struct{})} }

// pass blocks the first caller; later callers pass.
func (g *gate) pass() {
	if g.passed.CompareAndSwap(false, true) {
		close(g.reached)
		<-g.open
	}
}

// frozenStore simulates a process that freezes before its next matching transaction. Its lease
// renewals block at the same time.
type frozenStore struct {
	store.Store
	gate    *gate
	matches func(txn store.Txn) bool
}

func (f *frozenStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if f.matches(txn) {
		f.gate.pass()
		ctx = context.WithoutCancel(ctx)
	}
	return f.Store.Txn(ctx, txn)
}

func (f *frozenStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	select {
	case <-f.gate.reached:
		<-f.gate.open
	default:
	}
	return f.Store.KeepAlive(ctx, id)
}

func changesReplicas(txn store.Txn) bool { return !acquiresLease(txn) }

func acquiresLease(txn store.Txn) bool { return txn.Then[0].Key == store.PlacementLeaseKey(testZone) }

// The holder freezes right before a commit. Its lease expires, and another node takes over and
// groups the VMs differently. Then the first holder resumes and sends its write. If the write
// took effect, VMs would be in two replicas, and callers of both would get mixed-up or broken
// answers.
func TestHolderFrozenBeforeCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 3, pairGroup)
		frozen := &frozenStore{Store: tb.store, gate: newGate(), matches: changesReplicas}
		n1 := tb.start("n1", frozen)
		<-frozen.gate.reached
		// vm00 is down by now, so the second holder groups the VMs differently.
		tb.editEngine("vm00", func(e *fakeEngine) { e.down = true })
		n2 := tb.start("n2", nil)
		replicas := tb.settle(1)
		require.Equal(t, []cluster.VMID{"vm01", "vm02"}, replicas[0].Members)
		close(frozen.gate.open)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, replicas, tb.committed())
		node, _ := tb.holder()
		require.Equal(t, "n2", node)
		n1.stop()
		n2.stop()
	})
}

// The holder freezes after all checks of an order, which is sent only after another holder has
// regrouped the VMs. An engine that checks fencing tokens refuses it. An engine that ignores
// them accepts it and joins a replica that is not committed. No request is routed there, and
// the new holder corrects the engine at its next poll.
func TestHolderFrozenBeforeOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "engines check fencing tokens", false: "engines ignore fencing tokens"}[checks], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testHolderFrozenBeforeOrder(t, checks) })
		})
	}
}

func testHolderFrozenBeforeOrder(t *testing.T, checks bool) {
	tb := newTestbed(t, 3, pairGroup)
	for _, id := range []cluster.VMID{"vm00", "vm01", "vm02"} {
		tb.editEngine(id, func(e *fakeEngine) { e.state.ChecksFence = checks })
	}
	frozen := &frozenStore{Store: tb.store, gate: newGate(), matches: func(store.Txn) bool { return false }}
	tb.beforeOrder = func(order engine.Order) {
		if order.VM == "vm01" {
			frozen.gate.pass()
		}
	}
	n1 := tb.start("n1", frozen)
	<-frozen.gate.reached
	tb.editEngine("vm00", func(e *fakeEngine) { e.down = true })
	n2 := tb.start("n2", nil)
	replica := tb.settle(1)[0]
	require.Equal(t, []cluster.VMID{"vm01", "vm02"}, replica.Members)

	close(frozen.gate.open)
	synctest.Wait()
	require.Equal(t, checks, tb.healthy(replica), "only an engine that ignores fencing tokens accepts the late order")
	// The engine can act on the stale order until the holder's next poll of the replica.
	time.Sleep(DefaultPollInterval + 2*DefaultStepInterval)
	synctest.Wait()
	require.True(t, tb.healthy(replica))
	require.Equal(t, []cluster.Replica{replica}, tb.committed())
	n1.stop()
	n2.stop()
}

// partitionedStore simulates a node that is partitioned from the store.
type partitionedStore struct {
	store.Store
	partitioned atomic.Bool
}

func (p *partitionedStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if p.partitioned.Load() {
		return 0, &store.Error{Kind: store.Unavailable, Outcome: store.Unknown, Op: "keepalive", Err: errSilent}
	}
	return p.Store.KeepAlive(ctx, id)
}

func (p *partitionedStore) Get(ctx context.Context, key string) (*store.KV, int64, error) {
	if p.partitioned.Load() {
		return nil, 0, &store.Error{Kind: store.Unavailable, Op: "get", Err: errSilent}
	}
	return p.Store.Get(ctx, key)
}

// The holder is partitioned from the store but not from the engines, and keeps having orders to
// send. An engine that ignores fencing tokens obeys the latest order, so the old holder's last
// order must precede the new holder's first one by more than the order timeout.
func TestOrdersOfTwoTermsNeverOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 4, pairGroup)
		cutOff := &partitionedStore{Store: tb.store}
		n1 := tb.start("n1", cutOff)
		tb.settle(2)
		_, oldFence := tb.holder()
		cutOff.partitioned.Store(true)
		n2 := tb.start("n2", nil)
		var lastOld, acquired, firstNew time.Time
		tb.store.SetHook(func(_ memstore.Kind, txn *store.Txn) memstore.Action {
			if txn != nil && acquiresLease(*txn) {
				acquired = time.Now()
			}
			return memstore.Proceed
		})
		tb.beforeOrder = func(order engine.Order) {
			tb.mu.Lock()
			defer tb.mu.Unlock()
			switch {
			case int64(order.Fence) == oldFence:
				lastOld = time.Now()
			case firstNew.IsZero():
				firstNew = time.Now()
			}
		}
		for range 40 {
			// The engine repeatedly loses its assignment.
			tb.editEngine("vm00", func(e *fakeEngine) { e.state.Assignment = engine.Assignment{Role: engine.RoleIdle} })
			time.Sleep(time.Second)
			synctest.Wait()
		}
		require.False(t, lastOld.IsZero())
		require.False(t, firstNew.IsZero())
		require.True(t, acquired.After(lastOld.Add(DefaultOrderTimeout)))
		require.GreaterOrEqual(t, firstNew.Sub(acquired), DefaultOrderTimeout)
		n1.stop()
		n2.stop()
	})
}

// The store applies a commit and its answer is lost, or both the write and the answer are lost.
// Assuming either outcome would put VMs into two replicas or send orders that were never
// committed.
func TestCommitWithLostAnswer(t *testing.T) {
	verdicts := map[string]memstore.Action{"applied": memstore.LoseAnswer, "not applied": memstore.DropWrite}
	for name, verdict := range verdicts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t, 4, pairGroup)
				lost := 0
				tb.store.SetHook(func(_ memstore.Kind, txn *store.Txn) memstore.Action {
					if txn != nil && changesReplicas(*txn) && lost < 2 {
						lost++
						return verdict
					}
					return memstore.Proceed
				})
				n := tb.start("n1", nil)
				replicas := tb.settle(2)
				require.Len(t, replicas, 2)
				require.Positive(t, lost)
				n.stop()
			})
		})
	}
}

// delayingStore answers the first commit with an unknown outcome and applies it later.
type delayingStore struct {
	store.Store
	once  sync.Once
	later func(apply func())
}

func (d *delayingStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	delayed := false
	if changesReplicas(txn) {
		d.once.Do(func() {
			delayed = true
			d.later(func() { _, _ = d.Store.Txn(context.WithoutCancel(ctx), txn) })
		})
	}
	if delayed {
		return store.TxnResult{}, &store.Error{Kind: store.Unavailable, Outcome: store.Unknown, Op: "txn", Err: errSilent}
	}
	return d.Store.Txn(ctx, txn)
}

// A commit is delayed on its way to the store. Reading back shows that it was not applied, the
// holder commits a different grouping of the same VMs, and then the first commit arrives. It
// was made by the same holder under the same lease, so the fencing token alone does not reject
// it.
func TestDelayedCommitOfTheSameHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 3, pairGroup)
		var apply func()
		delayed := &delayingStore{Store: tb.store, later: func(a func()) {
			apply = a
			tb.editEngine("vm00", func(e *fakeEngine) { e.down = true })
		}}
		n := tb.start("n1", delayed)
		replicas := tb.settle(1)
		require.Equal(t, []cluster.VMID{"vm01", "vm02"}, replicas[0].Members)
		apply()
		time.Sleep(10 * time.Second)
		require.Equal(t, replicas, tb.committed())
		n.stop()
	})
}
