package relay_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync/atomic"
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
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// severedReach is a relay.Reachability whose path is lost once severed is set.
type severedReach struct{ severed atomic.Bool }

func (*severedReach) Failed(string)                {}
func (*severedReach) Answered()                    {}
func (r *severedReach) Unreachable() bool          { return r.severed.Load() }
func (r *severedReach) Probe(context.Context) bool { return !r.severed.Load() }
func (r *severedReach) SomeReachable() bool        { return !r.severed.Load() }
func (r *severedReach) Reachable(string) bool      { return !r.severed.Load() }

// otherNodes is a relay.NodeClient that records what it was sent and answers with err, or with a
// whole answer.
type otherNodes struct {
	err  error
	sent []relay.Attempt
	// errs holds the errors of single nodes by address, count is their number; 0 means eight.
	errs  map[string]error
	count int
	// state is what the server says of itself in the answer.
	state relay.ServerState
	// router is that of the node which hands calls over.
	router *listRouter
	// paths is what the nodes say of their paths; may be nil.
	paths relay.Paths
}

func (o *otherNodes) Send(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
	o.sent = append(o.sent, a)
	if err := cmp.Or(o.err, o.errs[a.Peer.Addr]); err != nil {
		return nil, err
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

// sentTo counts the calls that were handed over to the node at the address.
func (o *otherNodes) sentTo(addr string) (n int) {
	for _, a := range o.sent {
		if a.Peer.Addr == addr {
			n++
		}
	}
	return n
}

// newNodesRelay returns the relay of a node that knows others, five of them in its zone.
func newNodesRelay(reach relay.Reachability, others *otherNodes, router relay.Router, b relay.Backend) *relay.Relay {
	return relay.New(relay.Options{
		Router: router, Backend: b,
		Budget:   relay.NewBudget(relay.BudgetOptions{Slack: 100, Window: 10 * time.Second, Nodes: 1}),
		Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
		Suspects: suspect.New(suspect.Options{}), Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
		Zone: "a", Reach: reach, NodeClient: others, Paths: others.paths, Nodes: func() (out []relay.Node) {
			for i := range cmp.Or(others.count, 8) {
				node := relay.Node{ID: cluster.NodeID(fmt.Sprint("node-", i)), Addr: fmt.Sprint("addr-", i), Zone: "a"}
				if i >= nodesInZone {
					node.Zone = "b"
				}
				out = append(out, node)
			}
			return out
		},
	})
}

// nodesInZone is the number of other nodes in the zone of the relay of newNodesRelay.
const nodesInZone = 5

// serveKindOn serves a call of a kind; attemptsLeft is above 0 for one that was handed over.
func serveKindOn(r *relay.Relay, kind rules.CallKind, attemptsLeft int) *recorder {
	terms := rules.RoutePolicy{Kind: kind, MaxAttempts: 2, Timeout: time.Second, Split: []rules.WeightedService{{Service: "s", Weight: 1}}}
	got := &recorder{}
	r.Serve(context.Background(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now(), AttemptsLeft: attemptsLeft, HandedOver: attemptsLeft > 0}, got)
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

// Guards against calls that are each offered to nodes which have just said that they reach no server, and wait for servers out of reach.
func TestCallsAreRefusedAtOnceOnceOtherNodesReachNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := fennelerr.New(fennelerr.ServersUnreachable, "no server").WithRun(fennelerr.NotRun)
		reach, others, backend := &severedReach{}, &otherNodes{err: &relay.NodeRefusalError{Refusal: refusal}}, &fakeBackend{}
		reach.severed.Store(true)
		r := newNodesRelay(reach, others, &listRouter{ids: []cluster.ReplicaID{"a"}, loads: make(map[cluster.ReplicaID]engine.Load)}, backend)
		for range 20 {
			got := serveKindOn(r, rules.CallSafe, 0)
			requireNotRun(t, got.refused)
			require.Equal(t, fennelerr.ServersUnreachable, got.refused.Code)
		}
		require.Len(t, others.sent, 8, "each node once")
		require.Empty(t, backend.sent())
		for range 20 {
			time.Sleep(time.Second)
			serveKindOn(r, rules.CallSafe, 0)
		}
		require.Less(t, len(others.sent), 8+20*5, "more rarely as time goes by")
		time.Sleep(4 * time.Second)
		others.err = nil
		require.True(t, serveKindOn(r, rules.CallSafe, 0).ended, "a node is asked again")
	})
}

// Guards against a search through hundreds of nodes while none reaches a server.
func TestSearchForANodeThatReachesServersIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := fennelerr.New(fennelerr.ServersUnreachable, "no server").WithRun(fennelerr.NotRun)
		reach, others := &severedReach{}, &otherNodes{err: &relay.NodeRefusalError{Refusal: refusal}, count: 984}
		reach.severed.Store(true)
		r := newNodesRelay(reach, others, &listRouter{}, &fakeBackend{})
		for range 100 {
			serveKindOn(r, rules.CallSafe, 0)
		}
		require.LessOrEqual(t, len(others.sent), 40)
	})
}

// partialReach is a severedReach that reaches some servers.
type partialReach struct {
	severedReach
	addr string
}

func (*partialReach) Unreachable() bool            { return true }
func (*partialReach) SomeReachable() bool          { return true }
func (r *partialReach) Reachable(addr string) bool { return addr == r.addr }

// Guards against calls that try one server out of reach after the other, and against none to those in reach.
func TestNodeWithoutOthersUsesTheServersInReach(t *testing.T) {
	table := routing.NewTable(routing.Options{})
	var entries []routing.Entry
	for _, id := range []cluster.ReplicaID{"a", "b", "c"} {
		entries = append(entries, routing.Entry{Replica: cluster.Replica{ID: id, Group: "service:s", Generation: 1, Serving: cluster.VMID(id)}, Addr: string(id) + ":1", Slots: 4})
	}
	table.SetReplicas("", entries)
	for _, e := range entries {
		table.SetHealthy(e.Replica.ID, 1, true)
	}
	refusal := &relay.NodeRefusalError{Refusal: fennelerr.New(fennelerr.ServersUnreachable, "no server").WithRun(fennelerr.NotRun)}
	for addr, handlers := range map[string]map[cluster.ReplicaID]handler{"b:1": {"b": respondWith(200)}, "": {}} {
		r := newNodesRelay(&partialReach{addr: addr}, &otherNodes{err: refusal}, table, &fakeBackend{handlers: handlers})
		for range 10 {
			got := serveKindOn(r, rules.CallUnsafe, 0)
			if addr != "" {
				require.True(t, got.ended)
				continue
			}
			requireNotRun(t, got.refused)
			require.Equal(t, fennelerr.ServersUnreachable, got.refused.Code)
		}
	}
}

// Guards against calls that are handed over to other nodes than the one that had no room for an earlier one.
func TestOverloadedNodeIsOfferedFurtherCalls(t *testing.T) {
	refusal := fennelerr.New(fennelerr.Overloaded, "no room").WithRun(fennelerr.NotRun).WithRetryAfter(time.Minute)
	reach, others := &severedReach{}, &otherNodes{errs: map[string]error{"addr-0": &relay.NodeRefusalError{Refusal: refusal}}}
	reach.severed.Store(true)
	r := newNodesRelay(reach, others, &listRouter{}, &fakeBackend{})
	for range 40 * nodesInZone {
		serveKindOn(r, rules.CallSafe, 0)
	}
	require.Greater(t, others.sentTo("addr-0"), 10)
}

// Guards against calls that are refused, or offered to one node of a cut zone after the other, while the nodes of another zone reach the servers.
func TestCallsOfACutZoneGoStraightToAnotherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := fennelerr.New(fennelerr.ServersUnreachable, "no server").WithRun(fennelerr.NotRun)
		reach, others := &severedReach{}, &otherNodes{errs: make(map[string]error)}
		for i := range nodesInZone {
			others.errs[fmt.Sprint("addr-", i)] = &relay.NodeRefusalError{Refusal: refusal}
		}
		reach.severed.Store(true)
		r := newNodesRelay(reach, others, &listRouter{}, &fakeBackend{})
		const calls = 20
		for range calls {
			require.True(t, serveKindOn(r, rules.CallSafe, 0).ended)
		}
		require.Len(t, others.sent, calls+1, "the first call alone was refused by a node")
	})
}

// Guards against callers refused because some nodes reach no server while others do.
func TestCallsAreServedWhileAnyNodeReachesTheServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := fennelerr.New(fennelerr.ServersUnreachable, "no server").WithRun(fennelerr.NotRun)
		for nodes, cut := range map[int]int{8: 7, 200: 150} {
			reach, others := &severedReach{}, &otherNodes{errs: make(map[string]error), count: nodes}
			for i := range cut {
				others.errs[fmt.Sprint("addr-", i)] = &relay.NodeRefusalError{Refusal: refusal}
			}
			reach.severed.Store(true)
			r := newNodesRelay(reach, others, &listRouter{}, &fakeBackend{})
			served := 0
			for range 2 * nodes {
				if serveKindOn(r, rules.CallSafe, 0).ended {
					served++
				}
			}
			require.GreaterOrEqual(t, served, 2*nodes-cut/5-1, "a call is offered to five nodes")
		}
	})
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

// Guards against streams that wait on servers out of reach although another node could go on with them.
func TestRunningStreamsMoveOnceThePathIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reach, others := &severedReach{}, &otherNodes{}
		silent := streamPieces(2, nil)
		backend := &fakeBackend{handlers: map[cluster.ReplicaID]handler{"a": silent, "b": silent}}
		r := newNodesRelay(reach, others, &listRouter{ids: []cluster.ReplicaID{"a", "b"}, loads: make(map[cluster.ReplicaID]engine.Load)}, backend)
		terms := resumableTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 2, time.Minute, []rules.WeightedService{{Service: "s", Weight: 1}}
		got := &recorder{}
		go r.Serve(t.Context(), &call.Call{ID: "id-1", Model: "m", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now()}, got)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, others.sent)
		reach.severed.Store(true)
		require.Equal(t, 1, r.LostServers())
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Len(t, others.sent, 1)
		require.Equal(t, "2", others.sent[0].ResumeAfter)
	})
}

// Guards against retries for a call that two nodes count.
func TestCallThatWasHandedOverAddsNothingToTheRetryBudget(t *testing.T) {
	for handedOver, retries := range map[bool]bool{false: true, true: false} {
		budget := relay.NewBudget(relay.BudgetOptions{Ratio: 2, Window: 10 * time.Second, Nodes: 1})
		f := newFixture(t, 0, []cluster.ReplicaID{"a"}, map[cluster.ReplicaID]handler{"a": respondWith(200)})
		r := relay.New(relay.Options{
			Router: f.router, Backend: f.backend, Budget: budget,
			Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
			Suspects: &outcomeRecorder{}, Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
		})
		terms := rules.RoutePolicy{Kind: rules.CallSafe, MaxAttempts: 2, Timeout: time.Second, Split: []rules.WeightedService{{Service: "s", Weight: 1}}}
		r.Serve(t.Context(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now(), AttemptsLeft: 1, HandedOver: handedOver}, &recorder{})
		require.Equal(t, retries, budget.TryRetry("s", true, time.Now()))
	}
}
