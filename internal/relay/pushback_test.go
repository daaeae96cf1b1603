package relay_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Guards against a pushback that is missed because the refusal does not say that nothing ran, and against one that another answer ends.
func TestPushbacksInRefusalsAreReported(t *testing.T) {
	state := func(seconds int) relay.ServerState {
		return relay.ServerState{Pushback: time.Duration(seconds) * time.Second}
	}
	f := newFixture(t, 10, []cluster.ReplicaID{"a", "b", "c"}, map[cluster.ReplicaID]handler{
		"a": failWith(&relay.NotRunError{Reason: "status 503", Received: true, State: state(3)}), "b": failWith(&relay.BrokenError{Reason: "status 503", State: state(2)}), "c": respondWith(200),
	})
	terms := safeTerms
	terms.MaxAttempts = 3
	require.True(t, f.serve(t.Context(), terms).ended)
	require.Equal(t, map[cluster.ReplicaID]time.Duration{"a": 3 * time.Second, "b": 2 * time.Second}, f.router.pushbacks)
	require.Equal(t, []bool{true, true, false}, f.router.canceled, "a pushback is no failure of its server")
}

// Guards against a server that goes on getting requests because only some of its answers are searched for the signal that it leaves.
func TestLeavingIsReportedFromAnyAnswer(t *testing.T) {
	state := relay.ServerState{Leaving: true}
	for name, handle := range map[string]handler{
		"answer": func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			return &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{}}, State: state, Body: &fakeBody{ctx: ctx, next: 1, last: 2, err: io.EOF}}, nil
		},
		"head of a broken stream": func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			return &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{}}, State: state, Body: &fakeBody{ctx: ctx, next: 1, last: 2, err: errReset}}, nil
		},
		"refusal":       failWith(&relay.NotRunError{Reason: "full", Received: true, State: state}),
		"broken answer": failWith(&relay.BrokenError{Reason: "no signature", State: state}),
	} {
		t.Run(name, func(t *testing.T) {
			var told []conns.Peer
			router := &listRouter{ids: []cluster.ReplicaID{"a"}, loads: make(map[cluster.ReplicaID]engine.Load)}
			r := relay.New(relay.Options{
				Router: router, Backend: &fakeBackend{handlers: map[cluster.ReplicaID]handler{"a": handle}},
				Budget:   relay.NewBudget(relay.BudgetOptions{Window: 10 * time.Second, Nodes: 1}),
				Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
				Suspects: &outcomeRecorder{}, Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
				OnLeaving: func(p conns.Peer) { told = append(told, p) },
			})
			for range 2 {
				serveKindOn(r, rules.CallStream, 0)
			}
			require.Equal(t, []cluster.ReplicaID{"a"}, router.leaving)
			require.Equal(t, []conns.Peer{{Server: "a"}}, told, "once")
		})
	}
}

// fullRouter has no replica that takes requests.
type fullRouter struct {
	listRouter
	err *routing.FullError
}

func (r *fullRouter) Choose(routing.Request) (routing.Choice, error) { return routing.Choice{}, r.err }

// Guards against a refusal whose time to return is not that at which a replica takes requests again.
func TestRefusalInPushbacksNamesTheirEnd(t *testing.T) {
	const left = 3700 * time.Millisecond
	for name, c := range map[string]struct {
		err      *routing.FullError
		from, to time.Duration
	}{
		"all replicas":  {&routing.FullError{Pushback: routing.Pushback{Replicas: 2, Left: left}, OnlyPushback: true}, left, left + time.Second},
		"some are full": {&routing.FullError{Pushback: routing.Pushback{Replicas: 1, Left: left}}, time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWith(t, 10, &fullRouter{err: c.err}, &fakeBackend{})
			got := f.serve(t.Context(), safeTerms)
			requireNotRun(t, got.refused)
			require.Equal(t, fennelerr.Overloaded, got.refused.Code)
			require.GreaterOrEqual(t, got.refused.RetryAfter, c.from)
			require.LessOrEqual(t, got.refused.RetryAfter, c.to)
		})
	}
}

// Guards against a call refused although another node's requests are taken, and one that is handed over twice or to a node that has just refused one.
func TestCallGoesToAnotherNodeInAPushback(t *testing.T) {
	refusal := &relay.NodeRefusalError{Refusal: fennelerr.New(fennelerr.Overloaded, "no room").WithRun(fennelerr.NotRun).WithRetryAfter(time.Minute)}
	inPushback := &routing.FullError{Pushback: routing.Pushback{Replicas: 2, Left: time.Second}, OnlyPushback: true}
	for name, c := range map[string]struct {
		full             *routing.FullError
		node             error
		left, calls      int
		handedOver, sent int
		pause            time.Duration
	}{
		"another node serves it":      {full: inPushback, calls: 2, handedOver: 2, sent: 2},
		"other nodes refuse":          {full: inPushback, node: refusal, calls: 20, handedOver: 8, pause: time.Second},
		"nodes that can't be reached": {full: inPushback, node: &relay.NotRunError{Reason: "connection refused"}, calls: 20, handedOver: 8},
		"it was handed over before":   {full: inPushback, left: 2, calls: 2},
		"some replicas are only full": {full: &routing.FullError{Pushback: inPushback.Pushback}, calls: 2},
		"all replicas are full":       {full: &routing.FullError{}, calls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				others, served := &otherNodes{err: c.node}, 0
				r := newNodesRelay(&severedReach{}, others, &fullRouter{err: c.full}, &fakeBackend{})
				for range c.calls {
					got := serveKindOn(r, rules.CallUnsafe, c.left)
					if got.ended {
						served++
					} else {
						requireNotRun(t, got.refused)
					}
					time.Sleep(c.pause)
				}
				require.Len(t, others.sent, c.handedOver)
				require.Equal(t, c.sent, served)
			})
		})
	}
}
