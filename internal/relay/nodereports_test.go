package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/reach"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

var errNoServer = &relay.NodeRefusalError{Refusal: fennelerr.New(fennelerr.ServersUnreachable, "no server").WithRun(fennelerr.NotRun)}

// saying returns what the first nodes of newNodesRelay say of their paths now.
func saying(t *testing.T, states ...reach.State) *reach.Reports {
	t.Helper()
	reports := reach.NewReports("self")
	for i, state := range states {
		require.NoError(t, reports.Observe(cluster.NodeID(fmt.Sprint("node-", i)), reach.Report{State: state}.Encode(), reach.Relayed{}, time.Now(), time.Now()))
	}
	return reports
}

// Guards against calls that are offered to nodes which have said that they reach no server.
func TestCallsGoToTheNodeThatSaysThatItReachesServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const none, some = reach.None, reach.Some
		reach, others := &severedReach{}, &otherNodes{paths: saying(t, none, none, none, none, none, none, some, none)}
		reach.severed.Store(true)
		r := newNodesRelay(reach, others, &listRouter{}, &fakeBackend{})
		const calls = 1000
		for range calls {
			require.True(t, serveKindOn(r, rules.CallSafe, 0).ended)
		}
		require.Equal(t, calls, others.sentTo("addr-6"))
		require.Len(t, others.sent, calls)
	})
}

// Guards against callers who wait for nodes that all said that they reach no server, and against a return that no call ever sees.
func TestOneCallInHundredsIsOfferedToANodeWhileNoneReachesServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const none = reach.None
		reach, others := &severedReach{}, &otherNodes{err: errNoServer, paths: saying(t, none, none, none, none, none, none, none, none)}
		reach.severed.Store(true)
		r := newNodesRelay(reach, others, &listRouter{}, &fakeBackend{})
		began := time.Now()
		for range 1024 {
			got := serveKindOn(r, rules.CallSafe, 0)
			require.Equal(t, fennelerr.ServersUnreachable, got.refused.Code)
		}
		require.Zero(t, time.Since(began))
		require.Len(t, others.sent, 4)
	})
}

// Guards against a node that is offered the next call too although it refused one in spite of what it had said.
func TestRefusalCountsForMoreThanWhatTheNodeSaidBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paths := saying(t, reach.Some, reach.Some)
		reach, others := &severedReach{}, &otherNodes{errs: map[string]error{"addr-0": errNoServer}, paths: paths}
		reach.severed.Store(true)
		r := newNodesRelay(reach, others, &listRouter{}, &fakeBackend{})
		for range 100 {
			require.True(t, serveKindOn(r, rules.CallSafe, 0).ended)
			time.Sleep(30 * time.Millisecond)
		}
		require.LessOrEqual(t, others.sentTo("addr-0"), 1)
		require.LessOrEqual(t, len(others.sent), 101)
	})
}

// Guards against nodes of an older build, which say nothing, that are offered no calls.
func TestNodesThatSayNothingAreOfferedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const none = reach.None
		reach, others := &severedReach{}, &otherNodes{paths: saying(t, none, none, none, none, none, none)}
		reach.severed.Store(true)
		r := newNodesRelay(reach, others, &listRouter{}, &fakeBackend{})
		for range 100 {
			require.True(t, serveKindOn(r, rules.CallSafe, 0).ended)
		}
		require.Len(t, others.sent, 100)
		require.Positive(t, others.sentTo("addr-6"))
		require.Positive(t, others.sentTo("addr-7"))
		require.Equal(t, 100, others.sentTo("addr-6")+others.sentTo("addr-7"))
	})
}
