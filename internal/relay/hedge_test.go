package relay_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// rotatingRouter is a listRouter that sends successive requests to its replicas in turn.
type rotatingRouter struct {
	listRouter
	turn int
}

func (r *rotatingRouter) Choose(req routing.Request) (routing.Choice, error) {
	r.mu.Lock()
	r.turn = (r.turn + 1) % len(r.ids)
	order := append(r.ids[r.turn:len(r.ids):len(r.ids)], r.ids[:r.turn]...)
	r.mu.Unlock()
	in := listRouter{ids: order, loads: r.loads}
	return in.Choose(req)
}

// answerOf returns the text of a complete stream.
func answerOf(pieces int) string {
	var text strings.Builder
	for n := range pieces {
		fmt.Fprintf(&text, "%d;", n+1)
	}
	return text.String()
}

// serveWhileSilent serves two streams per replica, of 60 pieces and 50 ms each, while the first silent
// of six replicas send nothing for a time from 500 ms on. It returns the number of attempts and the
// time that the slowest answer took.
func serveWhileSilent(t *testing.T, silent int, silence time.Duration) (attempts int, slowest time.Duration) {
	const replicas, pieces, gap = 6, 60, 50 * time.Millisecond
	router, served := &rotatingRouter{listRouter: listRouter{loads: make(map[cluster.ReplicaID]engine.Load)}}, handlers{}
	start := time.Now()
	for i := range replicas {
		id := cluster.ReplicaID(fmt.Sprint("r", i))
		router.ids = append(router.ids, id)
		served[id] = streamWithSilence(start, period{}, pieces, gap)
		if i < silent {
			served[id] = streamWithSilence(start, period{500 * time.Millisecond, 500*time.Millisecond + silence}, pieces, gap)
		}
	}
	f := newFixtureWith(t, 100, router, &fakeBackend{handlers: served})
	ctx, stop := context.WithCancel(t.Context())
	go f.relay.Run(ctx)
	var callers sync.WaitGroup
	var mu sync.Mutex
	for range 2 * replicas {
		callers.Go(func() {
			began := time.Now()
			terms := resumableTerms
			terms.Timeout = 8 * time.Second
			got := f.serve(t.Context(), terms)
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(began))
			require.Equal(t, answerOf(pieces), got.text)
			require.True(t, got.ended)
		})
	}
	callers.Wait()
	stop()
	synctest.Wait()
	return len(f.backend.sent()) - 2*replicas, slowest
}

// Guards against hedges of all streams at once that overload the replicas which still work.
func TestHedgesWaitWhileSeveralReplicasAreSilent(t *testing.T) {
	for name, c := range map[string]struct {
		silent, hedges   int
		silence, slowest time.Duration
	}{
		"one, briefly":            {1, 2, 1200 * time.Millisecond, 3600 * time.Millisecond},
		"a third, briefly":        {2, 0, 1200 * time.Millisecond, 4300 * time.Millisecond},
		"a third, for long":       {2, 4, 3 * time.Second, 4600 * time.Millisecond},
		"two thirds, for long":    {4, 0, 3 * time.Second, 6100 * time.Millisecond},
		"all of them, for longer": {6, 0, 3 * time.Second, 6100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hedges, slowest := serveWhileSilent(t, c.silent, c.silence)
				require.Equal(t, c.hedges, hedges)
				require.LessOrEqual(t, slowest, c.slowest)
			})
		})
	}
}

// Guards against hedges that go to replicas without room to spare, beyond the attempts of the call, or from one refusal to the next.
func TestHedgesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		attempts, running int
		silence           time.Duration
		second            handler
		most              int
	}{
		"attempts":             {1, 0, 4 * time.Second, streamPieces(20, io.EOF), 1},
		"room, if it may wake": {2, 6, 1300 * time.Millisecond, streamPieces(20, io.EOF), 1},
		"room":                 {2, 8, 4 * time.Second, streamPieces(20, io.EOF), 1},
		"refusals":             {2, 0, 4 * time.Second, failWith(errFull), 1 + 4 + 1},
		"attempts that run":    {3, 0, 4 * time.Second, failWith(errReset), 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := handlers{"a": streamWithSilence(time.Now(), period{0, c.silence}, 5, 10*time.Millisecond)}
				order := []cluster.ReplicaID{"a"}
				for i := range 20 {
					id := cluster.ReplicaID(fmt.Sprint("b", i))
					h[id], order = c.second, append(order, id)
				}
				f := newFixture(t, 100, order, h)
				for _, id := range order[1:] {
					f.router.ReportLoad(id, engine.Load{Running: c.running, MaxRunning: 8}, time.Now())
				}
				ctx, stop := context.WithCancel(t.Context())
				go f.relay.Run(ctx)
				terms := resumableTerms
				terms.MaxAttempts = c.attempts
				got := f.serve(t.Context(), terms)
				require.Equal(t, answerOf(5), got.text)
				require.Len(t, f.backend.sent(), c.most)
				stop()
				synctest.Wait()
			})
		})
	}
}

// suspectedRequests implements relay.Suspects: each request is suspected of crashing servers.
type suspectedRequests struct{ outcomeRecorder }

func (*suspectedRequests) IsSuspect(suspect.Request) bool { return true }

// Guards against a request that may crash servers and is sent to a second one for the silence of the first.
func TestSuspectIsNotHedged(t *testing.T) { requireNoHedge(t, &suspectedRequests{}) }

// requireNoHedge requires that a repeatable call to a slow server is sent to no second one.
func requireNoHedge(t *testing.T, suspects relay.Suspects) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		slow := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if err := pause(ctx, 900*time.Millisecond); err != nil {
				return nil, err
			}
			return respondWith(200)(ctx, a)
		}
		b := &fakeBackend{handlers: handlers{"a": slow, "b": respondWith(200)}}
		r := relay.New(relay.Options{
			Router: &listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}, Backend: b,
			Budget:   relay.NewBudget(relay.BudgetOptions{Slack: 10, Window: 10 * time.Second, Nodes: 1}),
			Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
			Suspects: suspects, Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
		})
		require.True(t, serveRepeatable(r).ended)
		require.Len(t, b.sent(), 1)
	})
}

// Guards against a first attempt that goes on after its hedge has taken over, and against results that blame the replica of a hedge that came too late.
func TestFirstAttemptToDeliverWins(t *testing.T) {
	for name, c := range map[string]struct {
		silence  time.Duration
		canceled []bool
	}{
		"the first":  {500 * time.Millisecond, []bool{true, false}},
		"the second": {3 * time.Second, []bool{false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				f := newFixture(t, 10, ab, handlers{
					"a": streamWithSilence(start, period{100 * time.Millisecond, 100*time.Millisecond + c.silence}, 20, 10*time.Millisecond),
					"b": streamWithSilence(start, period{}, 20, 200*time.Millisecond),
				})
				ctx, stop := context.WithCancel(t.Context())
				go f.relay.Run(ctx)
				got := f.serve(t.Context(), resumableTerms)
				require.Equal(t, answerOf(20), got.text)
				require.Len(t, f.backend.sent(), 2)
				require.Equal(t, c.canceled, f.router.canceled)
				stop()
				synctest.Wait()
			})
		})
	}
}

// serveRepeatable serves a repeatable call of two attempts and a second.
func serveRepeatable(r *relay.Relay) *recorder {
	terms := safeTerms
	terms.MaxAttempts, terms.Timeout, terms.Split = 2, time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
	return serveTerms(r, terms)
}

// deafBody is a pacedBody that delivers what had arrived before it was canceled.
type deafBody struct{ pacedBody }

func (b *deafBody) Next() ([]byte, string, error) {
	b.ctx = context.Background()
	return b.pacedBody.Next()
}

// Guards against pieces that the caller gets twice because a slower attempt still delivers some.
func TestSupersededAttemptDeliversNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		late := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			reply, err := streamWithSilence(start, period{100 * time.Millisecond, time.Second}, 20, 10*time.Millisecond)(ctx, a)
			if err == nil {
				reply.Body = &deafBody{*reply.Body.(*pacedBody)}
			}
			return reply, err
		}
		f := newFixture(t, 10, ab, handlers{"a": late, "b": streamWithSilence(start, period{}, 20, 50*time.Millisecond)})
		ctx, stop := context.WithCancel(t.Context())
		go f.relay.Run(ctx)
		got := f.serve(t.Context(), resumableTerms)
		require.Len(t, f.backend.sent(), 2)
		require.Equal(t, answerOf(20), got.text)
		require.True(t, got.ended)
		stop()
		synctest.Wait()
	})
}

// Guards against hedges that go to a replica which is silent too.
func TestHedgeAvoidsSilentReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := &rotatingRouter{listRouter: listRouter{ids: []cluster.ReplicaID{"a", "b", "c", "d", "e"}, loads: make(map[cluster.ReplicaID]engine.Load)}, turn: -1}
		silent, working := streamWithSilence(time.Now(), period{100 * time.Millisecond, time.Minute}, 80, 50*time.Millisecond), streamWithSilence(time.Now(), period{}, 80, 50*time.Millisecond)
		f := newFixtureWith(t, 10, router, &fakeBackend{handlers: handlers{"a": silent, "b": silent, "c": working, "d": working, "e": working}})
		ctx, stop := context.WithCancel(t.Context())
		go f.relay.Run(ctx)
		var callers sync.WaitGroup
		for range 5 {
			callers.Go(func() {
				terms := resumableTerms
				terms.Timeout = time.Minute
				require.True(t, f.serve(t.Context(), terms).ended)
			})
		}
		callers.Wait()
		for _, hedge := range f.backend.sent()[5:] {
			require.NotContains(t, []cluster.ReplicaID{"a", "b"}, hedge.Replica)
		}
		require.Len(t, f.backend.sent(), 7)
		stop()
		synctest.Wait()
	})
}

// Guards against calls that wait on a replica without all its members because it was their last attempt.
func TestLostReplicaUsesUpNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(1, nil), "b": streamPieces(3, io.EOF)})
		time.AfterFunc(300*time.Millisecond, func() { f.relay.ReplicaLost("a") })
		terms := resumableTerms
		terms.MaxAttempts = 1
		got := f.serve(t.Context(), terms)
		require.True(t, got.ended)
		require.Equal(t, answerOf(3), got.text)
	})
}

// Guards against a failure of the hedge that the caller gets in place of the answer of the first attempt.
func TestFailureOfAHedgeDoesNotEndTheCall(t *testing.T) {
	for _, status := range []int{400, 500} {
		synctest.Test(t, func(t *testing.T) {
			silent := streamWithSilence(time.Now(), period{0, 4 * time.Second}, 3, 10*time.Millisecond)
			f := newFixture(t, 10, ab, handlers{"a": silent, "b": respondWith(status)})
			ctx, stop := context.WithCancel(t.Context())
			go f.relay.Run(ctx)
			got := f.serve(t.Context(), resumableTerms)
			require.Equal(t, answerOf(3), got.text)
			require.Equal(t, 200, got.head.Status)
			stop()
			synctest.Wait()
		})
	}
}

// Guards against answers that end because another node refuses to go on with them.
func TestRefusalOfAHandOverDoesNotEndTheFirstAttempt(t *testing.T) {
	for _, run := range []fennelerr.RunState{fennelerr.NotRun, fennelerr.Unknown} {
		synctest.Test(t, func(t *testing.T) {
			refusal := &relay.NodeRefusalError{Refusal: fennelerr.New(fennelerr.Overloaded, "full").WithRun(run)}
			reach, others := &severedReach{}, &otherNodes{err: refusal}
			silent := streamWithSilence(time.Now(), period{100 * time.Millisecond, 2 * time.Second}, 20, 10*time.Millisecond)
			backend := &fakeBackend{handlers: handlers{"a": silent, "b": silent}}
			r := newNodesRelay(reach, others, &listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}, backend)
			time.AfterFunc(time.Second, func() {
				reach.severed.Store(true)
				r.LostServers()
			})
			terms := resumableTerms
			terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
			got := serveTerms(r, terms)
			require.NotEmpty(t, others.sent)
			require.Nil(t, got.aborted)
			require.Equal(t, answerOf(20), got.text)
			require.True(t, got.ended)
		})
	}
}

// Guards against stalls and hedges that a node without a processor for a second reads from its own pause.
func TestLateCheckFindsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, ids := time.Now(), []cluster.ReplicaID{"a", "b", "c", "d", "e"}
		var stalled []cluster.ReplicaID
		working := streamWithSilence(start, period{}, 80, 50*time.Millisecond)
		b := &fakeBackend{handlers: handlers{
			"a": streamWithSilence(start, period{20 * time.Millisecond, 4 * time.Second}, 30, 10*time.Millisecond),
			"b": streamWithSilence(start, period{200 * time.Millisecond, 1780 * time.Millisecond}, 30, 10*time.Millisecond),
			"c": working, "d": working, "e": working,
		}}
		r := relay.New(relay.Options{
			Router:  &rotatingRouter{listRouter: listRouter{ids: ids, loads: make(map[cluster.ReplicaID]engine.Load)}, turn: -1},
			Backend: b, Budget: relay.NewBudget(relay.BudgetOptions{Slack: 10, Window: 10 * time.Second, Nodes: 1}),
			Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
			Suspects: suspect.New(suspect.Options{}), Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
			OnStall: func(ids []cluster.ReplicaID, _ bool) {
				if stalled == nil {
					time.Sleep(1300 * time.Millisecond) // makes the next check late
				}
				stalled = append(stalled, ids...)
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx)
		var callers sync.WaitGroup
		for range ids {
			callers.Go(func() {
				terms := resumableTerms
				terms.MaxAttempts, terms.Timeout, terms.Split = 2, 6*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
				require.True(t, serveTerms(r, terms).ended)
			})
		}
		callers.Wait()
		require.Equal(t, []cluster.ReplicaID{"a"}, stalled)
		require.Len(t, b.sent(), len(ids)+1, "the call on a is hedged, the one on b is not")
		stop()
		synctest.Wait()
	})
}

// Guards against servers beyond a call's attempts after another node, which refused to go on with it, has used them.
func TestAttemptsOfANodeThatRefusesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := &relay.NodeRefusalError{Refusal: fennelerr.New(fennelerr.BackendFailed, "broken").WithRun(fennelerr.Unknown)}
		reach, others := &severedReach{}, &otherNodes{err: refusal}
		broken := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			if err := pause(ctx, 2*time.Second); err != nil {
				return nil, err
			}
			return nil, errReset
		}
		backend := &fakeBackend{handlers: handlers{"a": broken, "b": respondWith(200)}}
		r := newNodesRelay(reach, others, &listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}, backend)
		time.AfterFunc(time.Second, func() {
			reach.severed.Store(true)
			r.LostServers()
			reach.severed.Store(false)
		})
		terms := safeTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 2, 9*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
		require.NotNil(t, serveTerms(r, terms).refused)
		require.NotEmpty(t, others.sent)
		require.Len(t, backend.sent(), 1)
	})
}
