package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// period is a time in which a server sends nothing, counted from the start of a test.
type period struct{ from, to time.Duration }

// pacedBody is the body of a stream that sends a piece per gap, except while its server is silent.
type pacedBody struct {
	ctx        context.Context
	next, last int
	gap        time.Duration
	awake      func(ctx context.Context) error
}

func (b *pacedBody) Next() ([]byte, string, error) {
	if b.next > b.last {
		return nil, "", io.EOF
	}
	if err := pause(b.ctx, b.gap); err != nil {
		return nil, "", err
	}
	if err := b.awake(b.ctx); err != nil {
		return nil, "", err
	}
	id := strconv.Itoa(b.next)
	b.next++
	return []byte(id + ";"), id, nil
}

func (b *pacedBody) ReadAll(int64) ([]byte, error) { return []byte("whole"), nil }
func (b *pacedBody) Close()                        {}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return &relay.BrokenError{Reason: "ended", Err: ctx.Err()}
	}
}

// streamWithSilence streams the pieces up to last, one per gap. From start on, the server neither
// sends pieces nor answers requests in the period.
func streamWithSilence(start time.Time, silent period, last int, gap time.Duration) handler {
	awake := func(ctx context.Context) error {
		if now := time.Since(start); now >= silent.from && now < silent.to {
			return pause(ctx, silent.to-now)
		}
		return nil
	}
	return func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
		if err := awake(ctx); err != nil {
			return nil, err
		}
		after, _ := strconv.Atoi(a.ResumeAfter)
		return &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{"By": {string(a.Replica)}}},
			Body: &pacedBody{ctx: ctx, next: after + 1, last: last, gap: gap, awake: awake}}, nil
	}
}

// Guards against answers in progress that are ended for a silence of their server, though no other server goes on with them.
func TestAnswerOutlivesTheSilenceOfItsServer(t *testing.T) {
	const pieces, gap = 20, 50 * time.Millisecond
	silent := period{500 * time.Millisecond, 1700 * time.Millisecond}
	abc := []cluster.ReplicaID{"a", "b", "c"}
	for name, c := range map[string]struct {
		budget   float64
		attempts int
		handlers func(start time.Time) handlers
	}{
		"all servers are silent": {100, 2, func(start time.Time) handlers {
			h := streamWithSilence(start, silent, pieces, gap)
			return handlers{"a": h, "b": h, "c": h}
		}},
		"the retry budget is used": {0, 2, func(start time.Time) handlers {
			return handlers{"a": streamWithSilence(start, silent, pieces, gap), "b": failWith(errFull), "c": failWith(errFull)}
		}},
		"the others refuse": {100, 2, func(start time.Time) handlers {
			return handlers{"a": streamWithSilence(start, silent, pieces, gap), "b": failWith(errFull), "c": failWith(errFull)}
		}},
		"the others break off": {100, 2, func(start time.Time) handlers {
			return handlers{"a": streamWithSilence(start, silent, pieces, gap), "b": streamPieces(0, errReset), "c": streamPieces(0, errReset)}
		}},
		"the others are out of reach": {100, 3, func(start time.Time) handlers {
			return handlers{"a": streamWithSilence(start, silent, pieces, gap), "b": failWith(errRefused), "c": failWith(errRefused)}
		}},
		"it is longer than the longest pause of a connection": {0, 2, func(start time.Time) handlers {
			h := streamWithSilence(start, period{silent.from, silent.from + 3*time.Second}, pieces, gap)
			return handlers{"a": h, "b": h, "c": h}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, c.budget, abc, c.handlers(time.Now()))
				ctx, stop := context.WithCancel(t.Context())
				go f.relay.Run(ctx)
				answers := make([]*recorder, 8)
				var callers sync.WaitGroup
				for i := range answers {
					callers.Go(func() {
						time.Sleep(time.Duration(i) * 20 * time.Millisecond)
						terms := resumableTerms
						terms.MaxAttempts = c.attempts
						answers[i] = f.serve(t.Context(), terms)
					})
				}
				callers.Wait()
				want := ""
				for n := range pieces {
					want += fmt.Sprintf("%d;", n+1)
				}
				for _, got := range answers {
					require.True(t, got.ended, "%+v", got)
					require.Equal(t, want, got.text)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// Guards against repeatable calls that are given up as their server is slow, though no other server answers them.
func TestRepeatableCallOutlivesASlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if err := pause(ctx, 4*time.Second); err != nil {
				return nil, err
			}
			return respondWith(200)(ctx, a)
		}
		for name, second := range map[string]handler{"full": failWith(errFull), "broken": failWith(errReset), "failed": respondWith(500)} {
			f := newFixture(t, 10, ab, handlers{"a": slow, "b": second})
			got := f.serve(t.Context(), rules.RoutePolicy{Kind: rules.CallSafe})
			require.Nil(t, got.refused, name)
			require.Equal(t, 200, got.head.Status, name)
		}
	})
}

// Guards against answers that are ended as their server breaks off while all other replicas are full for a moment.
func TestBegunAnswerWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(2, errReset), "b": streamPieces(4, io.EOF)})
		setLoad := func(running int) {
			f.router.ReportLoad("b", engine.Load{Running: running, MaxRunning: 8}, time.Now())
		}
		setLoad(20)
		time.AfterFunc(time.Second, func() { setLoad(0) })
		start := time.Now()
		got := f.serve(t.Context(), resumableTerms)
		require.True(t, got.ended)
		require.Equal(t, "1;2;3;4;", got.text)
		require.Less(t, time.Since(start), 1200*time.Millisecond)

		setLoad(20)
		start = time.Now()
		got = f.serve(t.Context(), resumableTerms)
		require.NotNil(t, got.aborted, "no replica ever has room")
		require.Less(t, time.Since(start), 3*time.Second)
	})
}

// Guards against answers that are ended as their server breaks off because calls that can still be refused have used the retry budget.
func TestRetryBudgetKeepsAPartForBegunAnswers(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": streamPieces(0, errReset), "b": failWith(errReset)})
	for range 20 {
		require.NotNil(t, f.serve(t.Context(), resumableTerms).refused)
	}
	require.Len(t, f.backend.sent(), 20+7)
	f.backend.handlers = handlers{"a": streamPieces(2, errReset), "b": streamPieces(4, io.EOF)}
	for i := range 4 {
		got := f.serve(t.Context(), resumableTerms)
		require.Equal(t, i < 3, got.ended, "the whole budget is ten retries")
	}
}
