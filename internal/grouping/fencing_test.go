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

// gate holds back the calls that match until it is opened, as a freeze of the
// process at that very point does.
type gate struct {
	reached, open chan struct{}
	passed        atomic.Bool
}

func newGate() *gate { return &gate{reached: make(chan struct{}), open: make(chan struct{})} }

// pass blocks the first caller; later ones go through.
func (g *gate) pass() {
	if g.passed.CompareAndSwap(false, true) {
		close(g.reached)
		<-g.open
	}
}

// frozenStore is the store as seen by a process that freezes in front of its
// next transaction on replicas; its keep-alives stop with it.
type frozenStore struct {
	store.Store
	gate   *gate
	frozen func(txn store.Txn) bool
}

func (f *frozenStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if f.frozen(txn) {
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

func changesReplicas(txn store.Txn) bool { return !takesLease(txn) }

func takesLease(txn store.Txn) bool { return txn.Then[0].Key == store.PlacementLeaseKey(testZone) }

// The holder freezes right before it commits a grouping. Its lease lapses, another
// node takes over and groups the VMs otherwise. Then the first one wakes up and
// its write goes out. If it took effect, VMs would be in two replicas and callers
// of both would get mixed-up or broken answers.
func TestHolderFrozenBeforeCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, pairs)
		frozen := &frozenStore{Store: w.store, gate: newGate(), frozen: changesReplicas}
		n1 := w.start("n1", frozen)
		<-frozen.gate.reached
		// vm00 is gone by now, so that the second holder decides otherwise.
		w.edit("vm00", func(e *fakeEngine) { e.down = true })
		n2 := w.start("n2", nil)
		replicas := w.settle(1)
		require.Equal(t, []cluster.VMID{"vm01", "vm02"}, replicas[0].Members)
		close(frozen.gate.open)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, replicas, w.committed())
		node, _ := w.holder()
		require.Equal(t, "n2", node)
		n1.stop()
		n2.stop()
	})
}

// The holder freezes with an order in hand, after all its checks, and the order
// goes out when another holder has regrouped. An engine that checks fencing
// numbers refuses it. One that ignores them takes it: it then believes in a
// replica that is not committed, so that no request goes there, and the new
// holder puts it right at its next look.
func TestHolderFrozenBeforeOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "engines check fences", false: "engines ignore fences"}[checks], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { frozenBeforeOrder(t, checks) })
		})
	}
}

func frozenBeforeOrder(t *testing.T, checks bool) {
	w := newWorld(t, 3, pairs)
	for _, id := range []cluster.VMID{"vm00", "vm01", "vm02"} {
		w.edit(id, func(e *fakeEngine) { e.state.ChecksFence = checks })
	}
	frozen := &frozenStore{Store: w.store, gate: newGate(), frozen: func(store.Txn) bool { return false }}
	w.beforeOrder = func(order engine.Order) {
		if order.VM == "vm01" {
			frozen.gate.pass()
		}
	}
	n1 := w.start("n1", frozen)
	<-frozen.gate.reached
	w.edit("vm00", func(e *fakeEngine) { e.down = true })
	n2 := w.start("n2", nil)
	replica := w.settle(1)[0]
	require.Equal(t, []cluster.VMID{"vm01", "vm02"}, replica.Members)

	close(frozen.gate.open)
	synctest.Wait()
	require.Equal(t, checks, w.whole(replica), "the late order reaches only an engine that ignores fences")
	// How long it can be misled: until the holder's next poll of the replica.
	time.Sleep(DefaultPollInterval + 2*DefaultTick)
	synctest.Wait()
	require.True(t, w.whole(replica))
	require.Equal(t, []cluster.Replica{replica}, w.committed())
	n1.stop()
	n2.stop()
}

// cutStore is the store as seen by a node that a partition cuts off from it.
type cutStore struct {
	store.Store
	cut atomic.Bool
}

func (c *cutStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if c.cut.Load() {
		return 0, &store.Error{Kind: store.Unavailable, Outcome: store.Unknown, Op: "keepalive", Err: errSilent}
	}
	return c.Store.KeepAlive(ctx, id)
}

func (c *cutStore) Get(ctx context.Context, key string) (*store.KV, int64, error) {
	if c.cut.Load() {
		return nil, 0, &store.Error{Kind: store.Unavailable, Op: "get", Err: errSilent}
	}
	return c.Store.Get(ctx, key)
}

// The holder is cut off from the store but not from the engines, and keeps having
// orders to send. An engine that ignores fencing numbers obeys whoever speaks
// last, so the old holder must fall silent before the new one's first order, by
// more than an order's life.
func TestOrdersOfTwoTermsNeverOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, pairs)
		through := &cutStore{Store: w.store}
		n1 := w.start("n1", through)
		w.settle(2)
		_, oldFence := w.holder()
		through.cut.Store(true)
		n2 := w.start("n2", nil)
		var last, taken, first time.Time
		w.store.SetHook(func(_ memstore.Kind, txn *store.Txn) memstore.Verdict {
			if txn != nil && takesLease(*txn) {
				taken = time.Now()
			}
			return memstore.Proceed
		})
		w.beforeOrder = func(order engine.Order) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch {
			case int64(order.Fence) == oldFence:
				last = time.Now()
			case first.IsZero():
				first = time.Now()
			}
		}
		for range 40 {
			// An engine forgets its assignment again and again.
			w.edit("vm00", func(e *fakeEngine) { e.state.Assignment = engine.Assignment{Role: engine.RoleIdle} })
			time.Sleep(time.Second)
			synctest.Wait()
		}
		require.False(t, last.IsZero())
		require.False(t, first.IsZero())
		require.True(t, taken.After(last.Add(DefaultOrderTimeout)))
		require.GreaterOrEqual(t, first.Sub(taken), DefaultOrderTimeout)
		n1.stop()
		n2.stop()
	})
}

// The store applies the commit and its answer is lost, or the write gets lost
// and the answer with it, or it arrives after the next one. Assuming either
// outcome would put VMs into two replicas or orders out that nobody committed.
func TestCommitWithLostAnswer(t *testing.T) {
	verdicts := map[string]memstore.Verdict{"applied": memstore.Lose, "not applied": memstore.Drop}
	for name, verdict := range verdicts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4, pairs)
				lost := 0
				w.store.SetHook(func(_ memstore.Kind, txn *store.Txn) memstore.Verdict {
					if txn != nil && changesReplicas(*txn) && lost < 2 {
						lost++
						return verdict
					}
					return memstore.Proceed
				})
				n := w.start("n1", nil)
				replicas := w.settle(2)
				require.Len(t, replicas, 2)
				require.Positive(t, lost)
				n.stop()
			})
		})
	}
}

// delayingStore answers the first commit with "unknown" and applies it later.
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

// A commit is held up on its way; reading back shows that it is not there, the
// holder commits another grouping of the same VMs, and then the first one
// arrives. It is from the same holder under the same lease, so that the fencing
// number alone lets it through.
func TestDelayedCommitOfTheSameHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, pairs)
		var apply func()
		delayed := &delayingStore{Store: w.store, later: func(a func()) {
			apply = a
			w.edit("vm00", func(e *fakeEngine) { e.down = true })
		}}
		n := w.start("n1", delayed)
		replicas := w.settle(1)
		require.Equal(t, []cluster.VMID{"vm01", "vm02"}, replicas[0].Members)
		apply()
		time.Sleep(10 * time.Second)
		require.Equal(t, replicas, w.committed())
		n.stop()
	})
}
