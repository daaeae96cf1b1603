package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// Replies that several tests expect.
var (
	ran        = reply{answer: "booked k", run: fennelerr.Ran}
	inUse      = reply{code: fennelerr.KeyInProgress, run: fennelerr.Unknown}
	unknown    = reply{code: fennelerr.OutcomeUnknown, run: fennelerr.Unknown}
	notStarted = reply{code: fennelerr.BackendFailed, run: fennelerr.NotRun}
	storeDown  = reply{code: fennelerr.StoreUnavailable, run: fennelerr.NotRun}
	reused     = reply{code: fennelerr.KeyReused, run: fennelerr.NotRun}
)

// testSystem is two nodes, a store and a backend in a synctest bubble.
type testSystem struct {
	t       *testing.T
	store   *memstore.Store
	backend backend
	a, b    *node
}

func withSystem(t *testing.T, test func(t *testing.T, s *testSystem), change ...func(*Options)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testSystem{t: t, store: newStore(t)}
		s.a = startNode(s.store, "a", 1, change...)
		s.b = startNode(s.store, "b", 1, change...)
		defer s.a.kill()
		defer s.b.kill()
		test(t, s)
	})
}

func (s *testSystem) serve(n *node, key, body string, end ending) reply {
	r, _ := serve(context.Background(), n, &s.backend, callOf(key, body), end)
	return r
}

// waitForSettlements gives the nodes time to write outcomes to the store.
func waitForSettlements() { time.Sleep(10 * time.Second) }

func TestRepeatReply(t *testing.T) {
	cases := []struct {
		name  string
		first ending
		reply reply
		body  string
		// again is the expected reply to the repeat, on the same and on the other node.
		again reply
		runs  int
	}{
		{"after an answer", endsAnswered, ran, "body", ran, 1},
		{"after a lost answer", endsAnswerLost, unknown, "body", unknown, 1},
		{"after not run", endsNotStarted, notStarted, "body", ran, 1},
		{"with another body, after an answer", endsAnswered, ran, "other", reused, 1},
		{"with another body, after a lost answer", endsAnswerLost, unknown, "other", reused, 1},
		{"with another body, after not run", endsNotStarted, notStarted, "other", ran, 1},
	}
	for _, c := range cases {
		for _, repeatAt := range []string{"same node, at once", "same node", "other node"} {
			t.Run(c.name+", "+repeatAt, func(t *testing.T) {
				withSystem(t, func(t *testing.T, s *testSystem) {
					require.Equal(t, c.reply, s.serve(s.a, "k", "body", c.first))
					n := s.a
					if repeatAt == "other node" {
						n = s.b
					}
					if repeatAt != "same node, at once" {
						waitForSettlements()
					}
					require.Equal(t, c.again, s.serve(n, "k", c.body, endsAnswered))
					require.Equal(t, c.runs, s.backend.count("k"))
				})
			})
		}
	}
}

// A load balancer sends a repeat to another node while the first call is running. The
// call must run once, and the repeat must not be told that the call was not run.
func TestSameKeyOnTwoNodesConcurrently(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		claim, _, err := s.a.Claim(t.Context(), callOf("k", "body"))
		require.NoError(t, err)
		require.Equal(t, inUse, s.serve(s.b, "k", "body", endsAnswered))
		require.Equal(t, inUse, s.serve(s.a, "k", "body", endsAnswered))
		s.backend.run("k")
		claim.Finish(t.Context(), answerTo("k"))
		waitForSettlements()
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered))
		require.Equal(t, 1, s.backend.count("k"))
	})
	withSystem(t, func(t *testing.T, s *testSystem) {
		var wg sync.WaitGroup
		for i := range 20 {
			n := []*node{s.a, s.b}[i%2]
			wg.Go(func() { s.serve(n, "race", "body", endsAnswered) })
		}
		wg.Wait()
		require.Equal(t, 1, s.backend.count("race"))
	})
}

// The store applies a claim, but its answer is lost. The node must recognize the claim
// as its own; otherwise the caller is told that another request is in progress, and
// the call can never run.
func TestClaimAppliedButAnswerLost(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		require.Equal(t, ran, s.serve(s.a, "warm-up", "body", endsAnswered).withKey("k"))
		waitForSettlements()
		s.store.SetFaults(memstore.Faults{LoseAnswers: 1})
		require.Equal(t, ran, s.serve(s.a, "k", "body", endsAnswered))
		waitForSettlements()
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered))
		require.Equal(t, 1, s.backend.count("k"))
	})
}

func (r reply) withKey(key string) reply {
	r.answer = "booked " + key
	return r
}

// The store is down when a call comes in, or fails before it answers. The call must be
// refused as not run, immediately if the breaker is open, and must succeed when it is
// sent again under the same key.
func TestStoreDownBeforeAndDuring(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{
		"refused":          {Down: true},
		"cut":              {Down: true, DownUnknown: true},
		"hanging":          {Delay: time.Hour},
		"all answers lost": {LoseAnswers: 1000},
		"all writes lost":  {DropWrites: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, func(t *testing.T, s *testSystem) {
				s.serve(s.a, "warm-up", "body", endsAnswered)
				waitForSettlements()
				s.store.SetFaults(faults)
				require.Equal(t, storeDown, s.serve(s.a, "k", "body", endsAnswered))
				began := time.Now()
				require.Equal(t, storeDown, s.serve(s.a, "k", "body", endsAnswered))
				require.Zero(t, time.Since(began), "refused at once")
				s.store.SetFaults(memstore.Faults{})
				waitForSettlements()
				require.Equal(t, ran, s.serve(s.a, "k", "body", endsAnswered))
				waitForSettlements()
				require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered))
				require.Equal(t, 1, s.backend.count("k"))
			})
		})
	}
}

// The store takes 700 ms for each operation. Calls must get slower but not be refused.
func TestSlowStore(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		s.serve(s.a, "warm-up", "body", endsAnswered)
		waitForSettlements()
		s.store.SetFaults(memstore.Faults{Delay: 700 * time.Millisecond})
		require.Equal(t, ran, s.serve(s.a, "k", "body", endsAnswered))
	})
}

// The store hangs under many concurrent calls. The calls queued behind the first
// batches must not wait for several timeouts in turn.
func TestCallsDoNotQueueBehindHungStore(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		s.serve(s.a, "warm-up", "body", endsAnswered)
		waitForSettlements()
		s.store.SetFaults(memstore.Faults{Delay: time.Hour})
		began := time.Now()
		var wg sync.WaitGroup
		for i := range 20 * DefaultMaxBatch {
			wg.Go(func() { s.serve(s.a, fmt.Sprintf("k%d", i), "body", endsAnswered) })
		}
		wg.Wait()
		require.Less(t, time.Since(began), DefaultTimeout+100*time.Millisecond)
	})
}

// The store goes down while a call runs. Its caller and repeats on the same node must
// get the answer at once, and repeats on any node once the store is back.
func TestStoreDownAfterDispatch(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		claim, _, err := s.a.Claim(t.Context(), callOf("k", "body"))
		require.NoError(t, err)
		s.store.SetFaults(memstore.Faults{Down: true})
		s.backend.run("k")
		began := time.Now()
		claim.Finish(t.Context(), answerTo("k"))
		require.Zero(t, time.Since(began))
		time.Sleep(time.Hour)
		require.Equal(t, ran, s.serve(s.a, "k", "body", endsAnswered))
		require.Equal(t, storeDown, s.serve(s.b, "k", "body", endsAnswered))
		s.store.SetFaults(memstore.Faults{})
		waitForSettlements()
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered))
		require.Equal(t, 1, s.backend.count("k"))
	})
}

// A node is killed while it holds a claim. Whether the call was dispatched is unknown,
// so no node may run it again, and repeats must get "outcome unknown" eventually
// instead of "in progress" forever.
func TestNodeKilled(t *testing.T) {
	for name, c := range map[string]struct {
		end  ending
		runs int
	}{
		"between claim and dispatch": {endsKilledBeforeDispatch, 0},
		"after dispatch":             {endsKilledAfterDispatch, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, func(t *testing.T, s *testSystem) {
				s.serve(s.a, "k", "body", c.end)
				require.Equal(t, inUse, s.serve(s.b, "k", "body", endsAnswered))
				restarted := startNode(s.store, "a", 2)
				defer restarted.kill()
				require.Equal(t, unknown, s.serve(restarted, "k", "body", endsAnswered))
				time.Sleep(DefaultPendingLimit + time.Second)
				require.Equal(t, unknown, s.serve(s.b, "k", "body", endsAnswered))
				require.Equal(t, c.runs, s.backend.count("k"))
			})
		})
	}
}

// A node that holds a claim is paused for longer than the retention. The claim expires
// and the call runs on another node. When the first node resumes, it must not dispatch
// the call again.
func TestHolderPausedPastRetention(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		claim, _, err := s.a.Claim(t.Context(), callOf("k", "body"))
		require.NoError(t, err)
		require.True(t, claim.StillHeld(time.Now()))
		time.Sleep(2 * DefaultRetention)
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered))
		if claim.StillHeld(time.Now()) {
			s.backend.run("k")
		}
		claim.Release(t.Context())
		waitForSettlements()
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered), "the late release must not delete the other node's claim")
		require.Equal(t, 1, s.backend.count("k"))
	})
}

// A claim's write is delayed in the network: the node gets no answer, reads that the
// key is absent and refuses the call as not run. Then the write is applied. Unless it
// is removed, the key stays claimed for the whole retention (24 h), although the
// caller was told that it may send the call again.
func TestClaimWriteAppliedLate(t *testing.T) {
	refuseAndDeliverLate := func(t *testing.T, s *testSystem) {
		s.serve(s.a, "warm-up", "body", endsAnswered)
		waitForSettlements()
		var late store.Txn
		s.store.SetHook(func(_ memstore.Kind, txn *store.Txn) memstore.Action {
			if late.Then != nil {
				return memstore.Refuse // the store is down at the second attempt
			}
			late = *txn
			return memstore.DropWrite
		})
		require.Equal(t, storeDown, s.serve(s.a, "k", "body", endsAnswered))
		s.store.SetHook(nil)
		waitForSettlements()
		_, err := s.store.Txn(t.Context(), late)
		require.NoError(t, err)
		require.Equal(t, inUse, s.serve(s.b, "k", "body", endsAnswered), "another node can't tell that the call never ran")
	}
	withSystem(t, func(t *testing.T, s *testSystem) {
		refuseAndDeliverLate(t, s)
		require.Equal(t, ran, s.serve(s.a, "k", "body", endsAnswered), "the same node takes over its own claim")
		require.Equal(t, 1, s.backend.count("k"))
	})
	withSystem(t, func(t *testing.T, s *testSystem) {
		refuseAndDeliverLate(t, s)
		time.Sleep(2 * recheckDelay)
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered), "found by the recheck and removed")
		require.Equal(t, 1, s.backend.count("k"))
	})
}

// One of many concurrent calls is a repeat, so its guard fails the shared transaction.
// The other calls must succeed with one more transaction.
func TestOneRepeatDoesNotFailTheBatch(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		s.serve(s.b, "k7", "body", endsAnswered)
		s.serve(s.a, "warm-up", "body", endsAnswered)
		waitForSettlements()
		before := s.store.Calls()[memstore.KindTxn]
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				key := fmt.Sprintf("k%d", i)
				require.Equal(t, ran.withKey(key), s.serve(s.a, key, "body", endsAnswered))
			})
		}
		wg.Wait()
		require.EqualValues(t, 2, s.store.Calls()[memstore.KindTxn]-before, "one transaction with all calls, one without the repeat")
		require.Equal(t, 1, s.backend.count("k7"))
	})
}

// The store is down while calls are answered. The memory of the unrecorded outcomes is
// bounded; for an outcome that is dropped, repeats must get "outcome unknown" and must
// not run the call again.
func TestPendingSettlementsAreBounded(t *testing.T) {
	small := func(o *Options) { o.MaxSettlementBytes = 3 * (settlementOverhead + 400) }
	withSystem(t, func(t *testing.T, s *testSystem) {
		var held []*Claim
		for i := range 10 {
			claim, _, err := s.a.Claim(t.Context(), callOf(fmt.Sprintf("k%d", i), "body"))
			require.NoError(t, err)
			held = append(held, claim)
		}
		s.store.SetFaults(memstore.Faults{Down: true})
		for i, claim := range held {
			s.backend.run(fmt.Sprintf("k%d", i))
			claim.Finish(t.Context(), answerTo("k"))
		}
		require.LessOrEqual(t, s.a.settlements.bytes, s.a.opts.MaxSettlementBytes)
		s.store.SetFaults(memstore.Faults{})
		time.Sleep(DefaultPendingLimit + time.Second)
		recorded := 0
		for i := range held {
			key := fmt.Sprintf("k%d", i)
			r := s.serve(s.b, key, "body", endsAnswered)
			if r != unknown {
				require.Equal(t, fennelerr.Ran, r.run)
				recorded++
			}
			require.Equal(t, 1, s.backend.count(key))
		}
		require.Positive(t, recorded)
		require.Less(t, recorded, 10)
	}, small)
}

// The claims of all nodes share one lease per time bucket. A node whose cached lease no
// longer exists in the store grants a new one.
func TestSharedLease(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		for i := range 10 {
			s.serve(s.a, fmt.Sprintf("a%d", i), "body", endsAnswered)
			s.serve(s.b, fmt.Sprintf("b%d", i), "body", endsAnswered)
		}
		require.EqualValues(t, 1, s.store.Calls()[memstore.KindGrant])
		waitForSettlements()
		require.NoError(t, s.store.Revoke(t.Context(), s.a.leases.cached.id))
		require.Equal(t, ran, s.serve(s.a, "k", "body", endsAnswered))
		require.EqualValues(t, 2, s.store.Calls()[memstore.KindGrant])
		time.Sleep(DefaultRetention)
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered), "the claim is still kept")
		require.Equal(t, 1, s.backend.count("k"))
		time.Sleep(2 * maxBucket)
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered), "the claim has expired")
		require.Equal(t, 2, s.backend.count("k"))
	})
}

// A caller repeats a call after its claim has expired. If the key is a UUID version 7,
// its timestamp shows that, and the call must be refused instead of run twice.
func TestUUIDv7Keys(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		keyAt := func(at time.Time) string {
			ms := fmt.Sprintf("%012x", at.UnixMilli())
			return ms[:8] + "-" + ms[8:] + "-7abc-8def-0123456789ab"
		}
		key := keyAt(time.Now().Add(30 * time.Second))
		require.Equal(t, ran.withKey(key), s.serve(s.a, key, "body", endsAnswered))
		waitForSettlements()
		for range 50 {
			time.Sleep(time.Hour)
			r := s.serve(s.b, key, "body", endsAnswered)
			require.Contains(t, []reply{ran.withKey(key), {code: fennelerr.KeyExpired, run: fennelerr.Unknown}}, r)
			require.Equal(t, 1, s.backend.count(key))
		}
		future := keyAt(time.Now().Add(time.Hour))
		require.Equal(t, fennelerr.InvalidRequest, s.serve(s.a, future, "body", endsAnswered).code)
		require.Equal(t, fennelerr.InvalidRequest, s.serve(s.a, "", "body", endsAnswered).code)
		strict := startNode(s.store, "c", 1, func(o *Options) { o.RequireUUIDv7Keys = true })
		defer strict.kill()
		require.Equal(t, fennelerr.InvalidRequest, s.serve(strict, "opaque", "body", endsAnswered).code)
	})
}

func TestStillHeld(t *testing.T) {
	made := time.Unix(1_000_000, 0)
	c := &Claim{createdAt: made}
	for after, held := range map[time.Duration]bool{
		0:                    true,
		DispatchWindow - 1:   true,
		DispatchWindow:       false,
		-MaxClockSkew + 1:    true,
		-2 * MaxClockSkew:    false, // the wall clock was set back: the elapsed time is unknown
		DefaultRetention * 2: false,
	} {
		require.Equal(t, held, c.StillHeld(made.Add(after)), after)
	}
}

func TestCallerDisconnectsWhileClaiming(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		s.serve(s.a, "warm-up", "body", endsAnswered)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := s.a.Claim(ctx, callOf("k", "body"))
		require.Equal(t, fennelerr.Canceled, fennelerr.CodeOf(err))
		waitForSettlements()
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered), "the claim was released")
		require.Zero(t, s.a.active.size())
	})
}

func TestCloseRecordsOutcomes(t *testing.T) {
	withSystem(t, func(t *testing.T, s *testSystem) {
		s.store.SetFaults(memstore.Faults{})
		require.Equal(t, ran, s.serve(s.a, "k", "body", endsAnswered))
		s.a.Close(t.Context())
		require.Equal(t, ran, s.serve(s.b, "k", "body", endsAnswered))
		require.Equal(t, 1, s.backend.count("k"))
	})
}
