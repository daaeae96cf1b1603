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

type handlers = map[cluster.ReplicaID]handler

var ab = []cluster.ReplicaID{"a", "b"}

// If the connection breaks during a payment, the payment may have been made. A retry could
// charge twice, and so could the caller's own retry if the refusal said that the call did
// not run.
func TestUnsafeCallIsSentOnce(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": failWith(errReset), "b": respondWith(200)})
	got := f.serve(t.Context(), unsafeTerms)
	require.Len(t, f.backend.sent(), 1)
	require.NotNil(t, got.refused)
	require.Equal(t, fennelerr.Unknown, got.refused.Run)
	require.Equal(t, fennelerr.BackendFailed, got.refused.Code)
}

// If nothing listens at the first server's address, nothing was sent, and a payment may be
// sent to another server.
func TestUnsafeCallIsRetriedIfNothingWasSent(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": failWith(errRefused), "b": respondWith(200)})
	got := f.serve(t.Context(), unsafeTerms)
	require.True(t, got.ended)
	require.Equal(t, "whole", got.text)
}

// A full server refuses a payment, and the route allows only one attempt. The refusal must
// say that the call did not run and when to retry.
func TestRefusalReportsNotRunAndRetryAfter(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": failWith(errFull), "b": respondWith(200)})
	terms := unsafeTerms
	terms.MaxAttempts = 1
	got := f.serve(t.Context(), terms)
	requireNotRun(t, got.refused)
	require.Len(t, f.backend.sent(), 1)
}

// A safe call that fails on one server is retried on another one.
func TestSafeCallIsRetried(t *testing.T) {
	for name, first := range map[string]handler{"broken": failWith(errReset), "failed": respondWith(500)} {
		f := newFixture(t, 10, ab, handlers{"a": first, "b": respondWith(200)})
		got := f.serve(t.Context(), safeTerms)
		require.Equal(t, 200, got.head.Status, name)
		require.True(t, got.ended, name)
	}
}

// If every attempt of a safe call fails, the caller must receive the error response that a
// server sent and signed, not a refusal by the relay.
func TestServerErrorIsForwarded(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": respondWith(500), "b": failWith(errReset)})
	got := f.serve(t.Context(), safeTerms)
	require.Equal(t, 500, got.head.Status)
	require.Nil(t, got.refused)
}

// Retries of calls that failed on overloaded servers would keep the servers overloaded. No
// retry may be made beyond the part of the budget that calls may use whose answer has not begun.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": failWith(errReset), "b": failWith(errReset)})
	for range 10 {
		f.serve(t.Context(), safeTerms)
	}
	require.Len(t, f.backend.sent(), 10+7)
}

// If a stream is interrupted, another server continues it. The caller must receive one
// complete stream with the head from the first server.
func TestInterruptedStreamIsContinuedByAnotherServer(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": streamPieces(2, errReset), "b": streamPieces(4, io.EOF)})
	got := f.serve(t.Context(), resumableTerms)
	require.Equal(t, "1;2;3;4;", got.text)
	require.True(t, got.ended)
	require.Equal(t, "a", got.head.Header.Get("By"))
	require.Equal(t, "2", f.backend.sent()[1].ResumeAfter)
}

// A stream is interrupted, and the server that is to continue it answers with an error. The
// caller already has the head and pieces from the first server: the error appended to them
// would end the answer as if it were complete, and a user would act on half an answer.
func TestErrorResponseDoesNotCompleteInterruptedStream(t *testing.T) {
	for _, status := range []int{400, 500} {
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(2, errReset), "b": respondWith(status)})
		got := f.serve(t.Context(), resumableTerms)
		require.Equal(t, "1;2;", got.text, status)
		require.False(t, got.ended, status)
		require.NotNil(t, got.aborted, status)
	}
}

// If a stream that cannot be resumed is interrupted, the caller already has part of the
// answer. The caller's stream must be aborted, not ended normally.
func TestNonResumableStreamIsAborted(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": streamPieces(2, errReset), "b": streamPieces(4, io.EOF)})
	got := f.serve(t.Context(), nonResumableTerms)
	require.Equal(t, "1;2;", got.text)
	require.False(t, got.ended)
	require.NotNil(t, got.aborted)
	require.Len(t, f.backend.sent(), 1)
}

// A replica that lost a member accepts requests and answers none. Without detection its
// callers, and all callers sent there afterwards, would wait until the engines give up.
func TestCallsMoveFromStalledReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(2, nil), "b": streamPieces(4, io.EOF)})
		ctx, cancel := context.WithCancel(t.Context())
		go f.relay.Run(ctx)
		start := time.Now()
		got := f.serve(t.Context(), resumableTerms)
		require.Equal(t, "1;2;3;4;", got.text)
		require.True(t, got.ended)
		require.Less(t, time.Since(start), 600*time.Millisecond)

		f.serve(t.Context(), resumableTerms)
		require.EqualValues(t, "b", f.backend.sent()[2].Replica, "the next call avoids the stalled replica")
		cancel()
		synctest.Wait()
	})
}

// A connection goes silent while its replica serves other calls. Only the call on that
// connection must be moved.
func TestCallMovesFromSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(1, nil), "b": streamPieces(3, io.EOF)})
		got := f.serve(t.Context(), resumableTerms) // Run is not running, so the replica is never checked for a stall
		require.Equal(t, "1;2;3;", got.text)
		require.True(t, got.ended)
	})
}

// When the list shows that a replica lost a member, its idle calls must be moved at once,
// and the attempt on the lost replica must not count.
func TestCallsMoveFromLostReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, []cluster.ReplicaID{"a", "b", "c"}, handlers{"a": streamPieces(1, nil), "b": streamPieces(2, errReset), "c": streamPieces(3, io.EOF)})
		time.AfterFunc(300*time.Millisecond, func() { f.relay.ReplicaLost("a") })
		got := f.serve(t.Context(), resumableTerms)
		require.Equal(t, "1;2;3;", got.text)
		require.True(t, got.ended)
	})
}

// A server that is silent during a payment may still be working on it. Only the route's
// timeout may end the wait.
func TestSilentUnsafeCallRunsUntilTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			<-ctx.Done()
			return nil, &relay.BrokenError{Reason: "no answer", Err: ctx.Err()}
		}
		f := newFixture(t, 10, ab, handlers{"a": silent, "b": respondWith(200)})
		terms := unsafeTerms
		terms.Timeout = 2 * time.Second
		start := time.Now()
		got := f.serve(t.Context(), terms)
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Equal(t, fennelerr.Timeout, got.refused.Code)
		require.Equal(t, fennelerr.Unknown, got.refused.Run)
		require.Len(t, f.backend.sent(), 1)
	})
}

// When the caller disconnects, the attempt must be canceled so that the server stops
// generating.
func TestDisconnectCancelsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(1, nil), "b": streamPieces(3, io.EOF)})
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, disconnect)
		start := time.Now()
		got := f.serve(ctx, resumableTerms)
		require.Equal(t, 50*time.Millisecond, time.Since(start))
		require.NotNil(t, got.aborted)
		require.Len(t, f.backend.sent(), 1)
	})
}

// The node exits while a server is silent: the caller is still there and must get an answer.
func TestCallStillRunningWhenNodeStopsIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		failure error
		code    fennelerr.Code
		run     fennelerr.RunState
	}{
		"may have run": {&relay.BrokenError{Reason: "no answer"}, fennelerr.BackendFailed, fennelerr.Unknown},
		"not sent":     {&relay.NotRunError{}, fennelerr.NotReady, fennelerr.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
					<-ctx.Done()
					return nil, c.failure
				}
				f := newFixture(t, 10, ab, handlers{"a": silent, "b": respondWith(200)})
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(50*time.Millisecond, func() { cancel(relay.ErrStopping) })
				got := f.serve(ctx, unsafeTerms)
				require.NotNil(t, got.refused)
				require.Equal(t, c.code, got.refused.Code)
				require.Equal(t, c.run, got.refused.Run)
				require.Len(t, f.backend.sent(), 1)
			})
		})
	}
}

// When every replica is full, a call must be refused at once, with NotRun and a retry time,
// instead of being queued until its answer is late.
func TestCallIsRefusedImmediatelyIfReplicasAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		overloaded := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			reply, err := streamPieces(1, nil)(ctx, a)
			reply.State.Load = &relay.Load{Running: 26, Waiting: 2, Slots: 26}
			return reply, err
		}
		f := newFixture(t, 10, ab[:1], handlers{"a": overloaded})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.serve(ctx, resumableTerms)
		}()
		synctest.Wait()
		start := time.Now()
		requireNotRun(t, f.serve(t.Context(), resumableTerms).refused)
		require.Zero(t, time.Since(start))
		cancel()
		<-done
	})
}

// Callers that are refused at the same time must get different retry times. With the same
// one they would overload the replicas again.
func TestRefusedCallersGetDifferentRetryTimes(t *testing.T) {
	full := newFixture(t, 0, ab[:1], handlers{"a": failWith(errFull)})
	seen := map[time.Duration]bool{}
	for range 20 {
		got := full.serve(t.Context(), unsafeTerms)
		requireNotRun(t, got.refused)
		seen[got.refused.RetryAfter.Round(time.Millisecond)] = true
		require.LessOrEqual(t, got.refused.RetryAfter, 3*time.Second)
	}
	require.Greater(t, len(seen), 10)
}

// No retry is made when less time is left than an attempt takes.
func TestNoAttemptWithoutTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			time.Sleep(25 * time.Millisecond)
			return nil, errReset
		}
		f := newFixture(t, 10, ab, handlers{"a": slow, "b": respondWith(200)})
		terms := safeTerms
		terms.Timeout = 60 * time.Millisecond
		got := f.serve(t.Context(), terms)
		require.Len(t, f.backend.sent(), 1)
		require.Equal(t, fennelerr.Unknown, got.refused.Run)
	})
}

// The last attempt that a call is allowed must not be canceled for being slow: the caller
// would get no answer although one is on its way.
func TestLastAttemptIsNotCanceledForSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			select {
			case <-time.After(900 * time.Millisecond):
				return respondWith(200)(ctx, a)
			case <-ctx.Done():
				return nil, &relay.BrokenError{Reason: "ended", Err: ctx.Err()}
			}
		}
		f := newFixture(t, 10, ab, handlers{"a": slow, "b": respondWith(200)})
		terms := safeTerms
		terms.MaxAttempts, terms.Timeout = 1, time.Second
		require.True(t, f.serve(t.Context(), terms).ended)
	})
}
