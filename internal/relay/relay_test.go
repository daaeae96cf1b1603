package relay_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

type replicas = map[cluster.ReplicaID]script

var ab = []cluster.ReplicaID{"a", "b"}

// The connection breaks while a payment is under way. It may have gone through:
// a second try could charge twice, and a promise that it did not run would have
// the caller try again itself.
func TestUnsafeCallIsSentOnce(t *testing.T) {
	w := newWorld(t, 10, ab, replicas{"a": fails(broken), "b": answers(200)})
	got := w.serve(t.Context(), unsafeCall)
	require.Len(t, w.backend.sent(), 1)
	require.NotNil(t, got.refused)
	require.Equal(t, fennelerr.Unknown, got.refused.Run)
	require.Equal(t, fennelerr.BackendFailed, got.refused.Code)
}

// The first server of a payment is dead: nothing listens at its address. Not a
// byte was sent, so another server may run it.
func TestUnsafeCallGoesOnWhereNothingWasSent(t *testing.T) {
	w := newWorld(t, 10, ab, replicas{"a": fails(noDial), "b": answers(200)})
	got := w.serve(t.Context(), unsafeCall)
	require.True(t, got.ended)
	require.Equal(t, "whole", got.text)
}

// A full server turns a payment away, and the route allows one server. The caller
// hears that it did not run and when to come back.
func TestRefusalIsTrueAndSaysWhen(t *testing.T) {
	w := newWorld(t, 10, ab, replicas{"a": fails(shed), "b": answers(200)})
	terms := unsafeCall
	terms.MaxAttempts = 1
	got := w.serve(t.Context(), terms)
	requireNotRun(t, got.refused)
	require.Len(t, w.backend.sent(), 1)
}

// A lookup fails on one server. It may run again, and the caller gets its answer.
func TestSafeCallIsRepeated(t *testing.T) {
	for name, first := range map[string]script{"broken": fails(broken), "failed": answers(500)} {
		w := newWorld(t, 10, ab, replicas{"a": first, "b": answers(200)})
		got := w.serve(t.Context(), safe)
		require.Equal(t, 200, got.head.Status, name)
		require.True(t, got.ended, name)
	}
}

// Both servers of a lookup fail by themselves. The caller gets a server's own
// failure, signed by it, and not one of ours.
func TestServersOwnFailureIsPassedOn(t *testing.T) {
	w := newWorld(t, 10, ab, replicas{"a": answers(500), "b": fails(broken)})
	got := w.serve(t.Context(), safe)
	require.Equal(t, 500, got.head.Status)
	require.Nil(t, got.refused)
}

// Servers fail because they are overloaded, and every failure brings a repeat. The
// repeats would keep them overloaded: beyond the budget there are none.
func TestRepeatsStopAtTheBudget(t *testing.T) {
	w := newWorld(t, 3, ab, replicas{"a": fails(broken), "b": fails(broken)})
	for range 10 {
		w.serve(t.Context(), safe)
	}
	require.Len(t, w.backend.sent(), 10+3)
}

// A stream breaks off midway. The caller sees one stream, whole, with the head of
// the server that began it.
func TestStreamGoesOnElsewhere(t *testing.T) {
	w := newWorld(t, 10, ab, replicas{"a": pieces(2, broken), "b": pieces(4, io.EOF)})
	got := w.serve(t.Context(), resumable)
	require.Equal(t, "1;2;3;4;", got.text)
	require.True(t, got.ended)
	require.Equal(t, "a", got.head.Header.Get("By"))
	require.Equal(t, "2", w.backend.sent()[1].ResumeAfter)
}

// A stream breaks off midway, and the server that it goes on at fails by itself. The
// first server's head and pieces are with the caller: written after them, the failure
// would end the answer as if it were complete, and a fitter would read half an advice.
func TestFailureInTheMiddleOfAStreamDoesNotEndIt(t *testing.T) {
	for _, status := range []int{400, 500} {
		w := newWorld(t, 10, ab, replicas{"a": pieces(2, broken), "b": answers(status)})
		got := w.serve(t.Context(), resumable)
		require.Equal(t, "1;2;", got.text, status)
		require.False(t, got.ended, status)
		require.NotNil(t, got.aborted, status)
	}
}

// A stream that may not be resumed breaks off midway. What the caller has can't be
// taken back: its answer is broken off too, and never ended in order.
func TestStreamThatCannotGoOnIsBrokenOff(t *testing.T) {
	w := newWorld(t, 10, ab, replicas{"a": pieces(2, broken), "b": pieces(4, io.EOF)})
	got := w.serve(t.Context(), once)
	require.Equal(t, "1;2;", got.text)
	require.False(t, got.ended)
	require.NotNil(t, got.aborted)
	require.Len(t, w.backend.sent(), 1)
}

// A replica loses a member and stands still: it takes requests and answers none.
// Its callers would wait until the engines give up, and so would everyone sent
// there meanwhile.
func TestCallsLeaveAReplicaThatStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10, ab, replicas{"a": pieces(2, nil), "b": pieces(4, io.EOF)})
		ctx, cancel := context.WithCancel(t.Context())
		go w.relay.Run(ctx)
		began := time.Now()
		got := w.serve(t.Context(), resumable)
		require.Equal(t, "1;2;3;4;", got.text)
		require.True(t, got.ended)
		require.Less(t, time.Since(began), 600*time.Millisecond)

		w.serve(t.Context(), resumable)
		require.EqualValues(t, "b", w.backend.sent()[2].Replica, "the next call does not go there at all")
		cancel()
		synctest.Wait()
	})
}

// One connection goes silent while its replica serves others. Only that call moves.
func TestCallLeavesASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10, ab, replicas{"a": pieces(1, nil), "b": pieces(3, io.EOF)})
		got := w.serve(t.Context(), resumable) // nobody watches the replica: Run is not running
		require.Equal(t, "1;2;3;", got.text)
		require.True(t, got.ended)
	})
}

// The list shows that a replica lost a member. Calls that are silent there go on
// elsewhere at once, and the lost replica does not count as an attempt.
func TestCallsLeaveALostReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10, []cluster.ReplicaID{"a", "b", "c"}, replicas{"a": pieces(1, nil), "b": pieces(2, broken), "c": pieces(3, io.EOF)})
		time.AfterFunc(300*time.Millisecond, func() { w.relay.ReplicaLost("a") })
		got := w.serve(t.Context(), resumable)
		require.Equal(t, "1;2;3;", got.text)
		require.True(t, got.ended)
	})
}

// A payment's server is silent. It may be at work: the caller gets its answer if
// it comes in time, and the route's timeout ends the wait.
func TestSilentServerIsNoReasonToEndAPayment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			<-ctx.Done()
			return nil, &relay.BrokenError{Reason: "no answer", Err: ctx.Err()}
		}
		w := newWorld(t, 10, ab, replicas{"a": silent, "b": answers(200)})
		terms := unsafeCall
		terms.Timeout = 2 * time.Second
		began := time.Now()
		got := w.serve(t.Context(), terms)
		require.Equal(t, 2*time.Second, time.Since(began))
		require.Equal(t, fennelerr.Timeout, got.refused.Code)
		require.Equal(t, fennelerr.Unknown, got.refused.Run)
		require.Len(t, w.backend.sent(), 1)
	})
}

// The caller hangs up. The server must not go on for nobody.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10, ab, replicas{"a": pieces(1, nil), "b": pieces(3, io.EOF)})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		began := time.Now()
		got := w.serve(ctx, resumable)
		require.Equal(t, 50*time.Millisecond, time.Since(began))
		require.NotNil(t, got.aborted)
		require.Len(t, w.backend.sent(), 1)
	})
}

// Every replica is full. The caller hears at once that its call did not run and
// when to come back, rather than wait in a queue until it is late.
func TestFullReplicasRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crowded := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			reply, err := pieces(1, nil)(ctx, a)
			reply.Load = &relay.Load{Running: 26, Waiting: 2, Slots: 26}
			return reply, err
		}
		w := newWorld(t, 10, ab[:1], replicas{"a": crowded})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.serve(ctx, resumable)
		}()
		synctest.Wait()
		began := time.Now()
		requireNotRun(t, w.serve(t.Context(), resumable).refused)
		require.Zero(t, time.Since(began))
		cancel()
		<-done
	})
}

// Callers that are turned away together come back spread over time: told the same
// moment, they would crowd each other out again.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	full := newWorld(t, 0, ab[:1], replicas{"a": fails(shed)})
	seen := map[time.Duration]bool{}
	for range 20 {
		got := full.serve(t.Context(), unsafeCall)
		requireNotRun(t, got.refused)
		seen[got.refused.RetryAfter.Round(time.Millisecond)] = true
		require.LessOrEqual(t, got.refused.RetryAfter, 3*time.Second)
	}
	require.Greater(t, len(seen), 10)
}

// Less time is left than an attempt takes: there is none.
func TestNoAttemptWithoutTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			time.Sleep(980 * time.Millisecond)
			return nil, broken
		}
		w := newWorld(t, 10, ab, replicas{"a": slow, "b": answers(200)})
		terms := safe
		terms.Timeout = time.Second
		got := w.serve(t.Context(), terms)
		require.Len(t, w.backend.sent(), 1)
		require.Equal(t, fennelerr.Unknown, got.refused.Run)
	})
}

// The only attempt that a lookup is allowed is slow to answer. Ended early, it
// would leave the caller with nothing, while the answer is on its way.
func TestLastAttemptIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			select {
			case <-time.After(900 * time.Millisecond):
				return answers(200)(ctx, a)
			case <-ctx.Done():
				return nil, &relay.BrokenError{Reason: "ended", Err: ctx.Err()}
			}
		}
		w := newWorld(t, 10, ab, replicas{"a": slow, "b": answers(200)})
		terms := safe
		terms.MaxAttempts, terms.Timeout = 1, time.Second
		require.True(t, w.serve(t.Context(), terms).ended)
	})
}
