package relay_test

import (
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
