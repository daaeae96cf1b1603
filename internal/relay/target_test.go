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

// groupRouter chooses as listRouter does among the replicas of the request's group.
type groupRouter struct {
	listRouter
	groups map[cluster.GroupName][]cluster.ReplicaID
}

func (r *groupRouter) Choose(req routing.Request) (routing.Choice, error) {
	return (&listRouter{ids: r.groups[req.Group]}).Choose(req)
}

// movedRoute is a relay whose only route can be moved. Services a and b have the model m, desk is plain.
type movedRoute struct {
	relay    *relay.Relay
	backend  *fakeBackend
	suspects *recordingSuspects
	rules    atomic.Pointer[rules.Set]
}

func newMovedRoute(handle map[cluster.ReplicaID]handler) *movedRoute {
	m := &movedRoute{backend: &fakeBackend{handlers: handle}, suspects: &recordingSuspects{Suspects: suspect.New(suspect.Options{})}}
	router := &groupRouter{listRouter: listRouter{loads: make(map[cluster.ReplicaID]engine.Load)}, groups: map[cluster.GroupName][]cluster.ReplicaID{
		rules.ModelGroupName("a", "m"): {"a1", "a2"}, rules.ModelGroupName("b", "m"): {"b1", "b2"}, rules.PlainGroup("desk"): {"desk1"}}}
	m.relay = relay.New(relay.Options{
		Router: router, Backend: m.backend, Rules: m.rules.Load, Log: slog.New(slog.DiscardHandler),
		Budget:   relay.NewBudget(relay.BudgetOptions{Slack: 10, Window: 10 * time.Second, Nodes: 1}),
		Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
		Suspects: m.suspects, Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
	})
	m.moveTo("a")
	return m
}

// moveTo has the route go to the service in the next set of rules.
func (m *movedRoute) moveTo(service cluster.Service) {
	revision := int64(1)
	if old := m.rules.Load(); old != nil {
		revision = old.Revision + 1
	}
	group := func(service cluster.Service) rules.Group {
		return rules.Group{Name: rules.ModelGroupName(service, "m"), Model: "m", Servers: service, VMs: 1}
	}
	policy := resumableTerms
	policy.Name, policy.Timeout, policy.MaxAttempts, policy.Split = "advice", 5*time.Second, 2, []rules.WeightedService{{Service: service, Weight: 1}}
	m.rules.Store(rules.Assemble(rules.Set{Revision: revision, Groups: []rules.Group{group("a"), group("b")}, Routes: []rules.Route{{Path: "/", Policy: &policy}}}))
}

// serve serves a call of a model that arrives now, changed by edit.
func (m *movedRoute) serve(t *testing.T, edit func(*call.Call)) *recorder {
	set, got := m.rules.Load(), &recorder{}
	c := &call.Call{ID: "id-1", Model: "m", Route: &set.Routes[0], RulesRevision: set.Revision, ReceivedAt: time.Now()}
	edit(c)
	m.relay.Serve(t.Context(), c, got)
	return got
}

// Guards against calls of a route that was moved which run at its old service, because that one has the model too.
func TestMovedRouteMovesEachFormOfCall(t *testing.T) {
	for form, edit := range map[string]func(*call.Call){
		"with a model":    func(*call.Call) {},
		"without a model": func(c *call.Call) { c.Model = "" },
		"resumed":         func(c *call.Call) { c.ResumeAfter = "2" },
		"handed over":     func(c *call.Call) { c.HandedOver, c.AttemptsLeft = true, 1 },
	} {
		for service, by := range map[cluster.Service]cluster.ReplicaID{"b": "b1", "desk": "desk1"} {
			if service == "b" && form == "without a model" {
				continue // no server of a model service takes it
			}
			t.Run(form+" to "+string(service), func(t *testing.T) {
				answer := streamPieces(3, io.EOF)
				m := newMovedRoute(handlers{"a1": answer, "a2": answer, "b1": answer, "desk1": answer})
				m.moveTo(service)
				got := m.serve(t, edit)
				require.True(t, got.ended)
				require.Equal(t, string(by), got.head.Header.Get("By"))
			})
		}
	}
}

// Guards against a retry or a hedge at the old service of a route that was moved meanwhile, and against a begun answer of a model that a plain service is to continue.
func TestCallInProgressFollowsItsRoute(t *testing.T) {
	for name, c := range map[string]struct {
		first   handler
		service cluster.Service
		second  cluster.ReplicaID
	}{
		"retry":                             {failWith(errFull), "b", "b1"},
		"retry, to a plain service":         {failWith(errFull), "desk", "desk1"},
		"hedge":                             {streamPieces(0, nil), "b", "b1"},
		"hedge of a begun answer":           {streamPieces(2, nil), "b", "b1"},
		"begun answer, to a plain service":  {streamPieces(2, nil), "desk", "a2"},
		"broken answer, to another service": {streamPieces(2, errReset), "b", "b1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := streamPieces(5, io.EOF)
				h := handlers{"a2": answer, "b1": answer, "desk1": answer}
				m := newMovedRoute(h)
				h["a1"] = func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
					m.moveTo(c.service)
					return c.first(ctx, a)
				}
				ctx, stop := context.WithCancel(t.Context())
				go m.relay.Run(ctx)
				got := m.serve(t, func(*call.Call) {})
				require.Equal(t, answerOf(5), got.text)
				require.Len(t, m.backend.sent(), 2)
				require.Equal(t, c.second, m.backend.sent()[1].Replica)
				stop()
				synctest.Wait()
			})
		})
	}
}

// recordingSuspects records the requests of which runs began.
type recordingSuspects struct {
	relay.Suspects
	mu    sync.Mutex
	begun []suspect.Request
}

func (r *recordingSuspects) BeginRequest(req suspect.Request, replica cluster.ReplicaID, generation int64, a suspect.Admission) suspect.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = append(r.begun, req)
	return r.Suspects.BeginRequest(req, replica, generation, a)
}

// Guards against crashes at one service that are evidence against requests of another service's model of the same name.
func TestEvidenceAgainstPartsIsOfOneService(t *testing.T) {
	answer := streamPieces(3, io.EOF)
	m := newMovedRoute(handlers{"a1": answer, "a2": answer, "b1": answer})
	parts := func(c *call.Call) { c.PromptParts = []uint64{7, 8} }
	for _, service := range []cluster.Service{"a", "b"} {
		m.moveTo(service)
		require.True(t, m.serve(t, parts).ended)
	}
	begun := m.suspects.begun
	require.Len(t, begun, 2)
	require.Equal(t, begun[0].Fingerprint, begun[1].Fingerprint)
	require.NotEqual(t, begun[0].Model, begun[1].Model)
	require.Len(t, begun[0].Parts, 1)
	require.NotEqual(t, begun[0].Parts, begun[1].Parts)
}
