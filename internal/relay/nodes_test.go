package relay_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
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
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// severedReach is a relay.Reachability whose path is lost once severed is set.
type severedReach struct{ severed atomic.Bool }

func (*severedReach) Failed(string)                {}
func (*severedReach) Answered()                    {}
func (r *severedReach) Unreachable() bool          { return r.severed.Load() }
func (r *severedReach) Probe(context.Context) bool { return !r.severed.Load() }
func (r *severedReach) SomeReachable() bool        { return !r.severed.Load() }

// otherNodes is a relay.NodeClient that records what it was sent and answers with err, or with a
// whole answer.
type otherNodes struct {
	err  error
	sent []relay.Attempt
	// state is what the server says of itself in the answer.
	state relay.ServerState
	// router is that of the node which hands calls over.
	router *listRouter
}

func (o *otherNodes) Send(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
	o.sent = append(o.sent, a)
	if o.err != nil {
		return nil, o.err
	}
	reply, err := respondWith(200)(ctx, a)
	reply.State = o.state
	return reply, err
}

// serveWithNodes serves a call on a node that knows eight others. handle answers the servers'
// attempts.
func serveWithNodes(reach *severedReach, others *otherNodes, kind rules.CallKind, handle handler) *recorder {
	b := &fakeBackend{handlers: map[cluster.ReplicaID]handler{"a": handle, "b": handle}}
	others.router = &listRouter{ids: []cluster.ReplicaID{"a", "b"}, loads: make(map[cluster.ReplicaID]engine.Load)}
	return serveKindOn(newNodesRelay(reach, others, others.router, b), kind, 0)
}

// newNodesRelay returns the relay of a node that knows eight others.
func newNodesRelay(reach *severedReach, others *otherNodes, router relay.Router, b relay.Backend) *relay.Relay {
	return relay.New(relay.Options{
		Router: router, Backend: b,
		Budget:   relay.NewBudget(relay.BudgetOptions{Slack: 100, Window: 10 * time.Second, Nodes: 1}),
		Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
		Suspects: suspect.New(suspect.Options{}), Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
		Reach: reach, NodeClient: others, Nodes: func() (out []relay.Node) {
			for i := range 8 {
				out = append(out, relay.Node{ID: cluster.NodeID(fmt.Sprint("node-", i)), Addr: fmt.Sprint("addr-", i)})
			}
			return out
		},
	})
}

// serveKindOn serves a call of a kind; attemptsLeft is above 0 for one that was handed over.
func serveKindOn(r *relay.Relay, kind rules.CallKind, attemptsLeft int) *recorder {
	terms := rules.RoutePolicy{Kind: kind, MaxAttempts: 2, Timeout: time.Second, Split: []rules.WeightedService{{Service: "s", Weight: 1}}}
	got := &recorder{}
	r.Serve(context.Background(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now(), AttemptsLeft: attemptsLeft}, got)
	return got
}

var errLost = &relay.BrokenError{Reason: "no answer", ConnectionLost: true, Err: io.ErrUnexpectedEOF}

// Guards against a call that runs twice because it is handed over after a server may have run it.
func TestCallThatMayHaveRunIsHandedOverOnlyIfItMayRunTwice(t *testing.T) {
	for kind, handedOver := range map[rules.CallKind]int{rules.CallUnsafe: 0, rules.CallSafe: 1} {
		reach, others := &severedReach{}, &otherNodes{}
		got := serveWithNodes(reach, others, kind, func(context.Context, relay.Attempt) (*relay.Reply, error) {
			reach.severed.Store(true)
			return nil, errLost
		})
		require.Len(t, others.sent, handedOver, kind)
		if handedOver == 0 {
			require.Equal(t, fennelerr.Unknown, got.refused.Run)
			continue
		}
		require.Equal(t, 1, others.sent[0].MaxAttempts, "the route allows two servers")
		require.Equal(t, 200, got.head.Status)
	}
}

// Guards against a call that reaches more servers than its route allows because the node that
// took it over fails.
func TestBrokenHandOverIsNotRepeated(t *testing.T) {
	reach, others := &severedReach{}, &otherNodes{err: errLost}
	reach.severed.Store(true)
	got := serveWithNodes(reach, others, rules.CallSafe, respondWith(200))
	require.Len(t, others.sent, 1)
	require.Equal(t, fennelerr.Unknown, got.refused.Run)
}

// Guards against signals that concerned the node which took a call over.
func TestSignalsToAnotherNodeAreNotKept(t *testing.T) {
	state := relay.ServerState{Pushback: time.Second, RateLimit: 1, Leaving: true}
	for _, others := range []*otherNodes{
		{state: state}, {err: &relay.BrokenError{Reason: "status 503", State: state}}, {err: &relay.NotRunError{Reason: "status 503", Received: true, State: state}},
	} {
		reach := &severedReach{}
		reach.severed.Store(true)
		serveWithNodes(reach, others, rules.CallSafe, respondWith(200))
		require.NotEmpty(t, others.sent)
		require.Empty(t, others.router.pushbacks)
		require.Empty(t, others.router.limits)
		require.Empty(t, others.router.leaving)
	}
}

// Guards against a call that is lost on a node that reaches no server either, and one that is
// passed around for ever.
func TestCallIsOfferedToFewNodes(t *testing.T) {
	refusal := fennelerr.New(fennelerr.ServersUnreachable, "no server").WithRun(fennelerr.NotRun)
	for name, err := range map[string]error{
		"refused":       &relay.NodeRefusalError{Refusal: refusal},
		"not connected": &relay.NotRunError{Reason: "connection refused", Err: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			reach, others := &severedReach{}, &otherNodes{err: err}
			reach.severed.Store(true)
			got := serveWithNodes(reach, others, rules.CallUnsafe, respondWith(200))
			require.Len(t, others.sent, 5)
			require.NotEqual(t, others.sent[0].Peer, others.sent[1].Peer)
			requireNotRun(t, got.refused)
		})
	}
}

// Guards against refusals with another reason or retry time than the refusing node gave.
func TestRefusalOfAnotherNodeIsPassedOn(t *testing.T) {
	refusal := fennelerr.New(fennelerr.Overloaded, "no room").WithRun(fennelerr.NotRun).WithRetryAfter(300 * time.Millisecond)
	reach, others := &severedReach{}, &otherNodes{err: &relay.NodeRefusalError{Refusal: refusal}}
	reach.severed.Store(true)
	got := serveWithNodes(reach, others, rules.CallUnsafe, respondWith(200))
	require.Len(t, others.sent, 1)
	require.Equal(t, refusal, got.refused)
}

// Guards against a call that tries one server after the other when none can be reached.
func TestCallGoesToAnotherNodeAfterTwoServersThatRefuse(t *testing.T) {
	reach, others := &severedReach{}, &otherNodes{}
	got := serveWithNodes(reach, others, rules.CallUnsafe, failWith(&relay.NotRunError{Reason: "connection refused", Refused: true, Err: io.EOF}))
	require.Len(t, others.sent, 1)
	require.Equal(t, 2, others.sent[0].MaxAttempts, "no server has received it")
	require.Equal(t, 200, got.head.Status)
}
