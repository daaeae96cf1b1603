package relay_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// briefPushbackRouter has a replica for the first attempt. Then all want no requests until a time.
type briefPushbackRouter struct {
	listRouter
	until time.Time
}

func (r *briefPushbackRouter) Choose(req routing.Request) (routing.Choice, error) {
	if left := time.Until(r.until); left > 0 && len(req.Exclude) > 0 {
		return routing.Choice{}, &routing.FullError{Pushback: routing.Pushback{Replicas: 1, Left: left}, OnlyPushback: true}
	}
	return r.listRouter.Choose(req)
}

// Guards against begun answers that end because another node has no room to go on with them.
func TestRefusalOfAHandOverDoesNotEndABegunAnswer(t *testing.T) {
	for _, code := range []fennelerr.Code{fennelerr.Overloaded, fennelerr.NoReplica} {
		synctest.Test(t, func(t *testing.T) {
			refusal := fennelerr.New(code, "no room").WithRun(fennelerr.NotRun)
			others := &otherNodes{err: &relay.NodeRefusalError{Refusal: refusal}}
			router := &briefPushbackRouter{listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}, time.Now().Add(time.Second)}
			backend := &fakeBackend{handlers: handlers{"a": streamPieces(2, errReset), "b": streamPieces(4, io.EOF)}}
			terms := resumableTerms
			terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
			got := serveTerms(newNodesRelay(&severedReach{}, others, router, backend), terms)
			require.Len(t, others.sent, 1)
			require.Nil(t, got.aborted)
			require.Equal(t, answerOf(4), got.text)
		})
	}
}

// reachRouter is a listRouter that has no replica while none may be used.
type reachRouter struct{ listRouter }

func (r *reachRouter) Choose(req routing.Request) (routing.Choice, error) {
	if req.MayUse != nil && !req.MayUse("addr") {
		return routing.Choice{}, fennelerr.New(fennelerr.NoReplica, "none in reach").WithRun(fennelerr.NotRun)
	}
	return r.listRouter.Choose(req)
}

// Guards against begun answers that end as their server breaks off while no node reaches a server for a moment.
func TestBegunAnswerWaitsForThePathToTheServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := fennelerr.New(fennelerr.ServersUnreachable, "no server").WithRun(fennelerr.NotRun)
		reach, others := &severedReach{}, &otherNodes{err: &relay.NodeRefusalError{Refusal: refusal}}
		broken := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			reach.severed.Store(true)
			time.AfterFunc(time.Second, func() { reach.severed.Store(false) })
			return streamPieces(2, errReset)(ctx, a)
		}
		router := &reachRouter{listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}}
		terms := resumableTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
		got := serveTerms(newNodesRelay(reach, others, router, &fakeBackend{handlers: handlers{"a": broken, "b": streamPieces(4, io.EOF)}}), terms)
		require.Nil(t, got.aborted)
		require.Equal(t, answerOf(4), got.text)
	})
}

// Guards against begun answers that end as their server breaks off while the only other one refuses requests for a moment.
func TestBegunAnswerReturnsToAReplicaThatRefusedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		fullAtFirst := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if time.Since(start) < 500*time.Millisecond {
				return nil, errFull
			}
			return streamPieces(4, io.EOF)(ctx, a)
		}
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(2, errReset), "b": fullAtFirst})
		got := f.serve(t.Context(), resumableTerms)
		require.Nil(t, got.aborted)
		require.Equal(t, answerOf(4), got.text)
	})
}

// Guards against begun answers that end within milliseconds as their server breaks off while many others refuse requests for a moment.
func TestBegunAnswerOutlivesRefusalsInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		full := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if time.Since(start) < 300*time.Millisecond {
				return nil, errFull
			}
			return streamPieces(4, io.EOF)(ctx, a)
		}
		f := newFixture(t, 100, []cluster.ReplicaID{"a", "b", "c", "d", "e", "f", "g"}, handlers{"a": streamPieces(2, errReset), "b": full, "c": full, "d": full, "e": full, "f": full, "g": full})
		got := f.serve(t.Context(), resumableTerms)
		require.Nil(t, got.aborted)
		require.Equal(t, answerOf(4), got.text)
	})
}
