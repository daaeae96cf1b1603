package relay_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// Guards against idle timers that fire before the attempt holds them, when the deadline has passed.
func TestAttemptAfterItsDeadline(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": respondWith(200), "b": respondWith(200)})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 500 {
				terms := safeTerms
				terms.MaxAttempts, terms.Timeout, terms.Split = 2, time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
				f.relay.Serve(t.Context(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now().Add(-time.Second)}, &recorder{})
			}
		})
	}
	callers.Wait()
}

// slowCloseBody takes a second to close.
type slowCloseBody struct{ fakeBody }

func (b *slowCloseBody) Close() { time.Sleep(time.Second) }

// answerRecorder counts the answers.
type answerRecorder struct {
	recorder
	answers int
}

func (r *answerRecorder) Respond(head call.Head, body []byte) error {
	r.answers++
	return r.recorder.Respond(head, body)
}

// Guards against a hedge that begins once the call is answered, and answers it again.
func TestAnsweredCallIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if err := pause(ctx, 2900*time.Millisecond); err != nil { // the idle timer is due after 3 s
				return nil, err
			}
			return &relay.Reply{Head: call.Head{Status: 200}, Body: &slowCloseBody{fakeBody{err: io.EOF}}}, nil
		}
		f := newFixture(t, 10, ab, handlers{"a": first, "b": respondWith(200)})
		terms := safeTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
		got := &answerRecorder{}
		f.relay.Serve(t.Context(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now()}, got)
		require.Equal(t, 1, got.answers)
		require.Len(t, f.backend.sent(), 1)
	})
}

// pushbackRouter has a replica for the first attempt, then all want no requests.
type pushbackRouter struct{ listRouter }

func (r *pushbackRouter) Choose(req routing.Request) (routing.Choice, error) {
	if len(req.Exclude) == 0 {
		return r.listRouter.Choose(req)
	}
	return routing.Choice{}, &routing.FullError{Pushback: routing.Pushback{Replicas: 1, Left: 30 * time.Second}, OnlyPushback: true}
}

// streamingNodes takes over streams.
type streamingNodes struct{ at time.Time }

func (n *streamingNodes) Send(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
	n.at = time.Now()
	return streamPieces(4, io.EOF)(ctx, a)
}

// Guards against a begun answer that waits in a pushback of all replicas although another node may go on with it.
func TestBegunAnswerGoesToAnotherNodeInAPushback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &streamingNodes{}
		r := relay.New(relay.Options{
			Router: &pushbackRouter{listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}}, Backend: &fakeBackend{handlers: handlers{"a": streamPieces(2, errReset)}},
			Budget:   relay.NewBudget(relay.BudgetOptions{Slack: 10, Window: 10 * time.Second, Nodes: 1}),
			Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
			Suspects: suspect.New(suspect.Options{}), Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
			Reach: &severedReach{}, NodeClient: nodes, Nodes: func() []relay.Node { return []relay.Node{{ID: "n", Addr: "n"}} },
		})
		terms := resumableTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
		start := time.Now()
		got := serveTerms(r, terms)
		require.Equal(t, answerOf(4), got.text)
		require.Less(t, nodes.at.Sub(start), 100*time.Millisecond)
	})
}

// Guards against calls with attempts left that wait for two silent servers.
func TestSecondSilenceIsHedgedToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			<-ctx.Done()
			return nil, &relay.BrokenError{Reason: "ended", Err: ctx.Err()}
		}
		f := newFixture(t, 10, []cluster.ReplicaID{"a", "b", "c"}, handlers{"a": silent, "b": silent, "c": respondWith(200)})
		terms := safeTerms
		terms.MaxAttempts, terms.Timeout = 3, 5*time.Second
		require.True(t, f.serve(t.Context(), terms).ended)
	})
}

// Guards against a failure that the caller gets while another attempt may answer.
func TestFailureOfTheFirstAttemptDoesNotEndItsHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failing := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if err := pause(ctx, 3500*time.Millisecond); err != nil {
				return nil, err
			}
			return respondWith(500)(ctx, a)
		}
		hedge := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if err := pause(ctx, time.Second); err != nil {
				return nil, err
			}
			return streamPieces(3, io.EOF)(ctx, a)
		}
		f := newFixture(t, 10, ab, handlers{"a": failing, "b": hedge})
		got := f.serve(t.Context(), resumableTerms)
		require.Equal(t, 200, got.head.Status)
		require.Equal(t, answerOf(3), got.text)
	})
}

// Guards against replicas that are blamed since this node had no path to them.
func TestLostPathBlamesNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reach, others, router := &severedReach{}, &otherNodes{}, &listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}
		silent := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			<-ctx.Done()
			return nil, &relay.BrokenError{Reason: "ended", Err: ctx.Err()}
		}
		r := newNodesRelay(reach, others, router, &fakeBackend{handlers: handlers{"a": silent, "b": silent}})
		time.AfterFunc(time.Second, func() {
			reach.severed.Store(true)
			r.LostServers()
		})
		terms := safeTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
		require.True(t, serveTerms(r, terms).ended)
		require.Equal(t, []bool{true}, router.canceled)
	})
}

// Guards against hedges right after a pause of this node, whose late check came before the idle timer.
func TestIdleTimerAfterALateCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := false
		slow := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if err := pause(ctx, 3005*time.Millisecond); err != nil { // is read just after the pause
				return nil, err
			}
			return respondWith(200)(ctx, a)
		}
		b := &fakeBackend{handlers: handlers{"a": slow, "b": respondWith(200), "s": streamPieces(1, nil)}}
		router := &rotatingRouter{listRouter: listRouter{ids: []cluster.ReplicaID{"s", "a", "b"}, loads: make(map[cluster.ReplicaID]engine.Load)}, turn: -1}
		r := relay.New(relay.Options{
			Router: router, Backend: b, Budget: relay.NewBudget(relay.BudgetOptions{Slack: 10, Window: 10 * time.Second, Nodes: 1}),
			Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
			Suspects: suspect.New(suspect.Options{}), Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
			OnStall: func([]cluster.ReplicaID, bool) {
				if !stalled {
					stalled = true
					time.Sleep(2645 * time.Millisecond) // makes the next check late
				}
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx)
		var callers sync.WaitGroup
		callers.Go(func() {
			terms := resumableTerms
			terms.MaxAttempts, terms.Timeout, terms.Split = 1, 2*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
			serveTerms(r, terms)
		})
		time.Sleep(100 * time.Millisecond)
		callers.Go(func() {
			terms := safeTerms
			terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
			serveTerms(r, terms)
		})
		callers.Wait()
		stop()
		synctest.Wait()
		require.True(t, stalled)
		require.Len(t, b.sent(), 2, "no hedge")
	})
}

// countingRouter counts its choices, each of which uses up part of a replica's rate, and those that found a
// replica.
type countingRouter struct {
	listRouter
	choices, chosen atomic.Int64
}

func (r *countingRouter) Choose(req routing.Request) (routing.Choice, error) {
	r.choices.Add(1)
	choice, err := r.listRouter.Choose(req)
	if err == nil {
		r.chosen.Add(1)
	}
	return choice, err
}

// Guards against hedges that use up a replica's rate though the call has no attempt left.
func TestCallWithoutAttemptsLeftChoosesNoReplicaForAHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := &countingRouter{listRouter: listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}}
		f := newFixtureWith(t, 10, router, &fakeBackend{handlers: handlers{"a": streamWithSilence(time.Now(), period{0, 4 * time.Second}, 3, 10*time.Millisecond), "b": streamPieces(3, io.EOF)}})
		terms := resumableTerms
		terms.MaxAttempts = 1
		require.True(t, f.serve(t.Context(), terms).ended)
		require.EqualValues(t, 1, router.choices.Load())
	})
}

// Guards against hedges that use up a replica's rate though the retry budget is used.
func TestUsedRetryBudgetChoosesNoReplicaForAHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := &countingRouter{listRouter: listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}}
		f := newFixtureWith(t, 0, router, &fakeBackend{handlers: handlers{"a": streamWithSilence(time.Now(), period{0, 4 * time.Second}, 3, 10*time.Millisecond), "b": streamPieces(3, io.EOF)}})
		require.True(t, f.serve(t.Context(), resumableTerms).ended)
		require.EqualValues(t, 1, router.choices.Load())
	})
}

// Guards against plain calls that wait for a silent server since the replicas of a model are silent.
func TestPlainCallIsHedgedWhileModelsAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			<-ctx.Done()
			return nil, &relay.BrokenError{Reason: "ended", Err: ctx.Err()}
		}
		router := &rotatingRouter{listRouter: listRouter{ids: []cluster.ReplicaID{"s", "t", "a", "b"}, loads: make(map[cluster.ReplicaID]engine.Load)}, turn: -1}
		f := newFixtureWith(t, 10, router, &fakeBackend{handlers: handlers{"s": streamPieces(1, nil), "t": streamPieces(1, nil), "a": silent, "b": respondWith(200)}})
		var callers sync.WaitGroup
		for range 2 {
			callers.Go(func() { f.serve(t.Context(), resumableTerms) })
		}
		synctest.Wait()
		require.True(t, f.serve(t.Context(), safeTerms).ended)
		callers.Wait()
	})
}

// delayingHandler takes a time to log a message.
type delayingHandler struct {
	slog.Handler
	message string
	delay   time.Duration
}

func (delayingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h delayingHandler) Handle(_ context.Context, rec slog.Record) error {
	if rec.Message == h.message {
		time.Sleep(h.delay)
	}
	return nil
}

// Guards against calls that are never hedged on a node whose processor is always late.
func TestNodeThatIsAlwaysLateHedges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			<-ctx.Done()
			return nil, &relay.BrokenError{Reason: "ended", Err: ctx.Err()}
		}
		late := false
		router := &rotatingRouter{listRouter: listRouter{ids: []cluster.ReplicaID{"s", "a", "b"}, loads: make(map[cluster.ReplicaID]engine.Load)}, turn: -1}
		r := relay.New(relay.Options{
			Router: router, Backend: &fakeBackend{handlers: handlers{"s": streamPieces(1, nil), "a": silent, "b": respondWith(200)}},
			Budget:   relay.NewBudget(relay.BudgetOptions{Slack: 10, Window: 10 * time.Second, Nodes: 1}),
			Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
			Suspects: suspect.New(suspect.Options{}), Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
			OnStall: func([]cluster.ReplicaID, bool) {
				if !late {
					late = true
					time.Sleep(120 * time.Millisecond) // makes the next check late, and that the one after it
				}
			},
			Log: slog.New(delayingHandler{slog.DiscardHandler, "node stood still", 120 * time.Millisecond}),
		})
		ctx, stop := context.WithCancel(t.Context())
		var checks, callers sync.WaitGroup
		checks.Go(func() { r.Run(ctx) })
		callers.Go(func() {
			terms := resumableTerms
			terms.MaxAttempts, terms.Timeout, terms.Split = 1, 2*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
			serveTerms(r, terms)
		})
		synctest.Wait()
		terms := safeTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
		got := serveTerms(r, terms)
		callers.Wait()
		stop()
		checks.Wait()
		require.True(t, late)
		require.True(t, got.ended)
	})
}

// slowCaller takes a time for its first piece.
type slowCaller struct {
	recorder
	takes time.Duration
}

func (c *slowCaller) WritePiece(data []byte) error {
	if c.text == "" {
		time.Sleep(c.takes)
	}
	return c.recorder.WritePiece(data)
}

// Guards against calls that wait on a replica without all its members since it was lost while a piece was written.
func TestReplicaLostDuringAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(1, nil), "b": streamPieces(3, io.EOF)})
		time.AfterFunc(100*time.Millisecond, func() { f.relay.ReplicaLost("a") })
		terms := resumableTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 1, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
		got := &slowCaller{takes: 200 * time.Millisecond}
		f.relay.Serve(t.Context(), &call.Call{ID: "id-1", Model: "m", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now()}, got)
		require.True(t, got.ended)
		require.Equal(t, answerOf(3), got.text)
	})
}
