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

// Replies that the tests expect again and again.
var (
	ran        = reply{answer: "booked k", run: fennelerr.Ran}
	inUse      = reply{code: fennelerr.KeyInProgress, run: fennelerr.Unknown}
	unknown    = reply{code: fennelerr.OutcomeUnknown, run: fennelerr.Unknown}
	notStarted = reply{code: fennelerr.BackendFailed, run: fennelerr.NotRun}
	storeDown  = reply{code: fennelerr.StoreUnavailable, run: fennelerr.NotRun}
	reused     = reply{code: fennelerr.KeyReused, run: fennelerr.NotRun}
)

// system is two nodes, a store and a backend on a fake clock.
type system struct {
	t       *testing.T
	store   *memstore.Store
	backend backend
	a, b    *node
}

func withSystem(t *testing.T, test func(t *testing.T, s *system), change ...func(*Options)) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{t: t, store: newStore(t)}
		s.a = startNode(s.store, "a", 1, change...)
		s.b = startNode(s.store, "b", 1, change...)
		defer s.a.kill()
		defer s.b.kill()
		test(t, s)
	})
}

func (s *system) serve(n *node, key, body string, f fate) reply {
	r, _ := serve(context.Background(), n, &s.backend, callOf(key, body), f)
	return r
}

// settle gives the nodes time to bring outcomes to the store.
func settle() { time.Sleep(10 * time.Second) }

func TestWhatARepeatGets(t *testing.T) {
	cases := []struct {
		name  string
		first fate
		reply reply
		body  string
		// again is the repeat's reply, at the same node and at another.
		again reply
		runs  int
	}{
		{"after an answer", fateOK, ran, "body", ran, 1},
		{"after a lost answer", fateAnswerLost, unknown, "body", unknown, 1},
		{"after not run", fateNotStarted, notStarted, "body", ran, 1},
		{"with another body, after an answer", fateOK, ran, "other", reused, 1},
		{"with another body, after a lost answer", fateAnswerLost, unknown, "other", reused, 1},
		{"with another body, after not run", fateNotStarted, notStarted, "other", ran, 1},
	}
	for _, c := range cases {
		for _, repeatAt := range []string{"same node, at once", "same node", "other node"} {
			t.Run(c.name+", "+repeatAt, func(t *testing.T) {
				withSystem(t, func(t *testing.T, s *system) {
					require.Equal(t, c.reply, s.serve(s.a, "k", "body", c.first))
					n := s.a
					if repeatAt == "other node" {
						n = s.b
					}
					if repeatAt != "same node, at once" {
						settle()
					}
					require.Equal(t, c.again, s.serve(n, "k", c.body, fateOK))
					require.Equal(t, c.runs, s.backend.count("k"))
				})
			})
		}
	}
}

// Two nodes get the same booking at the same moment, because the balancer sent a
// repeat elsewhere while the first was still running. The customer must be
// charged once, and the second caller must not hear that nothing was run.
func TestSameKeyAtTwoNodesAtOnce(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		claim, _, err := s.a.Claim(t.Context(), callOf("k", "body"))
		require.NoError(t, err)
		require.Equal(t, inUse, s.serve(s.b, "k", "body", fateOK))
		require.Equal(t, inUse, s.serve(s.a, "k", "body", fateOK))
		s.backend.run("k")
		claim.Finish(t.Context(), answerTo("k"))
		settle()
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK))
		require.Equal(t, 1, s.backend.count("k"))
	})
	withSystem(t, func(t *testing.T, s *system) {
		var wg sync.WaitGroup
		for i := range 20 {
			n := []*node{s.a, s.b}[i%2]
			wg.Go(func() { s.serve(n, "race", "body", fateOK) })
		}
		wg.Wait()
		require.Equal(t, 1, s.backend.count("race"))
	})
}

// The store takes a claim in and its answer is lost on the way back. The node
// must find out that the key is its own: otherwise the caller hears of another
// request in progress that doesn't exist, and the booking can't be made at all.
func TestClaimAppliedButAnswerLost(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		require.Equal(t, ran, s.serve(s.a, "warm-up", "body", fateOK).withKey("k"))
		settle()
		s.store.SetFaults(memstore.Faults{LoseAnswers: 1})
		require.Equal(t, ran, s.serve(s.a, "k", "body", fateOK))
		settle()
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK))
		require.Equal(t, 1, s.backend.count("k"))
	})
}

func (r reply) withKey(key string) reply {
	r.answer = "booked " + key
	return r
}

// The store is down when a booking comes in, or goes down before it has answered.
// The caller is refused as not run, at once when the store is known to be down,
// and may send the booking again later under the same key.
func TestStoreDownBeforeAndDuring(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{
		"refused":          {Down: true},
		"cut":              {Down: true, DownUnknown: true},
		"hanging":          {Delay: time.Hour},
		"all answers lost": {LoseAnswers: 1000},
		"all writes lost":  {DropWrites: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, func(t *testing.T, s *system) {
				s.serve(s.a, "warm-up", "body", fateOK)
				settle()
				s.store.SetFaults(faults)
				require.Equal(t, storeDown, s.serve(s.a, "k", "body", fateOK))
				began := time.Now()
				require.Equal(t, storeDown, s.serve(s.a, "k", "body", fateOK))
				require.Zero(t, time.Since(began), "refused at once")
				s.store.SetFaults(memstore.Faults{})
				settle()
				require.Equal(t, ran, s.serve(s.a, "k", "body", fateOK))
				settle()
				require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK))
				require.Equal(t, 1, s.backend.count("k"))
			})
		})
	}
}

// The store takes most of a second for each call. Bookings get slower and are not
// refused.
func TestSlowStore(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		s.serve(s.a, "warm-up", "body", fateOK)
		settle()
		s.store.SetFaults(memstore.Faults{Delay: 700 * time.Millisecond})
		require.Equal(t, ran, s.serve(s.a, "k", "body", fateOK))
	})
}

// The store hangs while a great many callers book. Those who stand in line behind
// the first batches must not wait for one time limit after the other.
func TestNoLineBeforeAStoreThatHangs(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		s.serve(s.a, "warm-up", "body", fateOK)
		settle()
		s.store.SetFaults(memstore.Faults{Delay: time.Hour})
		began := time.Now()
		var wg sync.WaitGroup
		for i := range 20 * DefaultMaxBatch {
			wg.Go(func() { s.serve(s.a, fmt.Sprintf("k%d", i), "body", fateOK) })
		}
		wg.Wait()
		require.Less(t, time.Since(began), DefaultTimeout+100*time.Millisecond)
	})
}

// The store goes down while a booking runs. Its caller gets the answer at once,
// a repeat at the same node too, and once the store is back, one at any node.
func TestStoreDownAfterDispatch(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		claim, _, err := s.a.Claim(t.Context(), callOf("k", "body"))
		require.NoError(t, err)
		s.store.SetFaults(memstore.Faults{Down: true})
		s.backend.run("k")
		began := time.Now()
		claim.Finish(t.Context(), answerTo("k"))
		require.Zero(t, time.Since(began))
		time.Sleep(time.Hour)
		require.Equal(t, ran, s.serve(s.a, "k", "body", fateOK))
		require.Equal(t, storeDown, s.serve(s.b, "k", "body", fateOK))
		s.store.SetFaults(memstore.Faults{})
		settle()
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK))
		require.Equal(t, 1, s.backend.count("k"))
	})
}

// A node dies with a claim in its hands. Nobody can tell whether its booking
// went out, so nobody may run it again, and callers must hear "unknown" rather
// than "in progress" for good.
func TestNodeKilled(t *testing.T) {
	for name, c := range map[string]struct {
		fate fate
		runs int
	}{
		"between claim and dispatch": {fateKilledBeforeDispatch, 0},
		"after dispatch":             {fateKilledAfterDispatch, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, func(t *testing.T, s *system) {
				s.serve(s.a, "k", "body", c.fate)
				require.Equal(t, inUse, s.serve(s.b, "k", "body", fateOK))
				restarted := startNode(s.store, "a", 2)
				defer restarted.kill()
				require.Equal(t, unknown, s.serve(restarted, "k", "body", fateOK))
				time.Sleep(DefaultPendingLimit + time.Second)
				require.Equal(t, unknown, s.serve(s.b, "k", "body", fateOK))
				require.Equal(t, c.runs, s.backend.count("k"))
			})
		})
	}
}

// A node is paused with a claim in its hands for longer than claims are kept. The
// key is forgotten meanwhile and the booking made through another node. The node
// wakes up believing that the booking is its own to dispatch.
func TestHolderPausedPastTheRetention(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		claim, _, err := s.a.Claim(t.Context(), callOf("k", "body"))
		require.NoError(t, err)
		require.True(t, claim.StillHeld(time.Now()))
		time.Sleep(2 * DefaultRetention)
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK))
		if claim.StillHeld(time.Now()) {
			s.backend.run("k")
		}
		claim.Release(t.Context())
		settle()
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK), "the late release leaves the other node's claim alone")
		require.Equal(t, 1, s.backend.count("k"))
	})
}

// A claim's write is held up in the network: the node hears nothing, reads that
// the key is free, and refuses the booking as not run. Then the write arrives
// after all and the key looks taken for a day, though the caller was told to
// come back.
func TestClaimArrivesLate(t *testing.T) {
	refuseAndDeliverLate := func(t *testing.T, s *system) {
		s.serve(s.a, "warm-up", "body", fateOK)
		settle()
		var late store.Txn
		s.store.SetHook(func(_ memstore.Kind, txn *store.Txn) memstore.Verdict {
			if late.Then != nil {
				return memstore.Refuse // the store is gone by the second try
			}
			late = *txn
			return memstore.Drop
		})
		require.Equal(t, storeDown, s.serve(s.a, "k", "body", fateOK))
		s.store.SetHook(nil)
		settle()
		_, err := s.store.Txn(t.Context(), late)
		require.NoError(t, err)
		require.Equal(t, inUse, s.serve(s.b, "k", "body", fateOK), "another node can't know better")
	}
	withSystem(t, func(t *testing.T, s *system) {
		refuseAndDeliverLate(t, s)
		require.Equal(t, ran, s.serve(s.a, "k", "body", fateOK), "the node itself takes its claim over")
		require.Equal(t, 1, s.backend.count("k"))
	})
	withSystem(t, func(t *testing.T, s *system) {
		refuseAndDeliverLate(t, s)
		time.Sleep(2 * recheckAfter)
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK), "looked for again and removed")
		require.Equal(t, 1, s.backend.count("k"))
	})
}

// Many callers book at once and one of them repeats a booking. Its claim fails
// the shared transaction; the others must neither fail nor wait for long.
func TestOneRepeatDoesNotFailTheBatch(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		s.serve(s.b, "k7", "body", fateOK)
		s.serve(s.a, "warm-up", "body", fateOK)
		settle()
		before := s.store.Calls()[memstore.KindTxn]
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				key := fmt.Sprintf("k%d", i)
				require.Equal(t, ran.withKey(key), s.serve(s.a, key, "body", fateOK))
			})
		}
		wg.Wait()
		require.EqualValues(t, 2, s.store.Calls()[memstore.KindTxn]-before, "one for all, one without the repeat")
		require.Equal(t, 1, s.backend.count("k7"))
	})
}

// The store stays down while bookings go on being answered. What waits to be
// recorded is bounded: what doesn't fit is lost, and its repeats must hear
// "unknown" and not be run again.
func TestUnsettledOutcomesAreBounded(t *testing.T) {
	small := func(o *Options) { o.MaxSettlementBytes = 3 * (settlementOverhead + 400) }
	withSystem(t, func(t *testing.T, s *system) {
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
		require.LessOrEqual(t, s.a.settle.bytes, s.a.opts.MaxSettlementBytes)
		s.store.SetFaults(memstore.Faults{})
		time.Sleep(DefaultPendingLimit + time.Second)
		recorded := 0
		for i := range held {
			key := fmt.Sprintf("k%d", i)
			r := s.serve(s.b, key, "body", fateOK)
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

// Claims share one lease per time bucket over all nodes, and a node whose lease
// the store has lost makes a new one.
func TestSharedLease(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		for i := range 10 {
			s.serve(s.a, fmt.Sprintf("a%d", i), "body", fateOK)
			s.serve(s.b, fmt.Sprintf("b%d", i), "body", fateOK)
		}
		require.EqualValues(t, 1, s.store.Calls()[memstore.KindGrant])
		settle()
		require.NoError(t, s.store.Revoke(t.Context(), s.a.leases.cached.id))
		require.Equal(t, ran, s.serve(s.a, "k", "body", fateOK))
		require.EqualValues(t, 2, s.store.Calls()[memstore.KindGrant])
		time.Sleep(DefaultRetention)
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK), "still kept")
		require.Equal(t, 1, s.backend.count("k"))
		time.Sleep(2 * maxBucket)
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK), "forgotten")
		require.Equal(t, 2, s.backend.count("k"))
	})
}

// A shop keeps a failed booking in a drawer and sends it again after claims have
// been forgotten. A key that carries its time shows that, and the booking is
// refused rather than made twice.
func TestTimedKeys(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		keyAt := func(at time.Time) string {
			ms := fmt.Sprintf("%012x", at.UnixMilli())
			return ms[:8] + "-" + ms[8:] + "-7abc-8def-0123456789ab"
		}
		key := keyAt(time.Now().Add(30 * time.Second))
		require.Equal(t, ran.withKey(key), s.serve(s.a, key, "body", fateOK))
		settle()
		for range 50 {
			time.Sleep(time.Hour)
			r := s.serve(s.b, key, "body", fateOK)
			require.Contains(t, []reply{ran.withKey(key), {code: fennelerr.KeyExpired, run: fennelerr.Unknown}}, r)
			require.Equal(t, 1, s.backend.count(key))
		}
		future := keyAt(time.Now().Add(time.Hour))
		require.Equal(t, fennelerr.InvalidRequest, s.serve(s.a, future, "body", fateOK).code)
		require.Equal(t, fennelerr.InvalidRequest, s.serve(s.a, "", "body", fateOK).code)
		strict := startNode(s.store, "c", 1, func(o *Options) { o.RequireUUIDv7Keys = true })
		defer strict.kill()
		require.Equal(t, fennelerr.InvalidRequest, s.serve(strict, "opaque", "body", fateOK).code)
	})
}

func TestStillHeld(t *testing.T) {
	made := time.Unix(1_000_000, 0)
	c := &Claim{made: made}
	for after, held := range map[time.Duration]bool{
		0:                    true,
		DispatchWindow - 1:   true,
		DispatchWindow:       false,
		-MaxClockSkew + 1:    true,
		-2 * MaxClockSkew:    false, // the clock was set back: nobody knows how long it took
		DefaultRetention * 2: false,
	} {
		require.Equal(t, held, c.StillHeld(made.Add(after)), after)
	}
}

func TestCallerLeavesWhileClaiming(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		s.serve(s.a, "warm-up", "body", fateOK)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := s.a.Claim(ctx, callOf("k", "body"))
		require.Equal(t, fennelerr.Canceled, fennelerr.CodeOf(err))
		settle()
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK), "the claim was given back")
		require.Zero(t, s.a.active.size())
	})
}

func TestCloseRecordsOutcomes(t *testing.T) {
	withSystem(t, func(t *testing.T, s *system) {
		s.store.SetFaults(memstore.Faults{})
		require.Equal(t, ran, s.serve(s.a, "k", "body", fateOK))
		s.a.Close(t.Context())
		require.Equal(t, ran, s.serve(s.b, "k", "body", fateOK))
		require.Equal(t, 1, s.backend.count("k"))
	})
}
