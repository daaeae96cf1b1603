package entry

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/reach"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// newPathCore returns a core that logs to the buffer.
func newPathCore(t *testing.T, id cluster.NodeID) (*Core, *bytes.Buffer) {
	t.Helper()
	log := &bytes.Buffer{}
	core := NewCore(&settings.Settings{Node: id, Zone: "a"}, testPlatform(t), CoreOptions{Log: slog.New(slog.NewTextHandler(log, nil))})
	t.Cleanup(core.Close)
	return core, log
}

// Guards against a node that says nothing, or something wrong, of its path to the servers.
func TestNodeSaysWhetherItReachesTheServers(t *testing.T) {
	core, _ := newPathCore(t, "n")
	require.Equal(t, reach.Report{}, core.ownPath(), "no list of servers")
	listing, _ := newZonedCore(t, "a")
	require.Equal(t, reach.Report{State: reach.Some, Room: reach.MaxRoom}, listing.ownPath())
	synctest.Test(t, func(t *testing.T) {
		refuses := func(context.Context, conns.Peer) bool { return false }
		listing.reach = reach.NewDetector(reach.Options{Servers: listing.listedServers, Accepts: refuses, OnLost: func() {}, Log: listing.log})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go listing.reach.Run(ctx)
		listing.reach.Failed("a")
		listing.reach.Failed("b")
		synctest.Wait()
		require.Equal(t, reach.Report{State: reach.None}, listing.ownPath())
		require.Equal(t, uint32(1), listing.LoadReport(maxTestReport).Path)
	})
}

const maxTestReport = 300

func manyPeers() int { return 27 }

// Guards against reports that are lost on the way from one node through a second to a third.
func TestReportOfAPathReachesNodesThatTheSenderDoesNotTell(t *testing.T) {
	first, _ := newZonedCore(t, "a") // node n
	second, _ := newPathCore(t, "second")
	second.SetPeers(manyPeers)
	third, _ := newPathCore(t, "third")
	second.ReceivePathReport("n", first.LoadReport(maxTestReport), time.Now())
	third.ReceivePathReport("second", second.LoadReport(maxTestReport), time.Now())
	require.Equal(t, reach.Some, third.paths.Of("n", time.Now()).State)
	require.Equal(t, reach.Unknown, third.paths.Of("second", time.Now()).State, "it lists no servers")
}

// Guards against a load report that leaves a heartbeat for what other nodes say of their paths.
func TestReportsOfPathsKeepTheBudget(t *testing.T) {
	core, _ := newZonedCore(t, "a")
	core.requestSeen.Store(true)
	core.SetPeers(manyPeers)
	now := time.Now()
	for _, id := range []cluster.NodeID{"1", "2", "3", "4", "5"} {
		sentAt := now.Add(-4 * time.Second)
		require.NoError(t, core.paths.Observe(id, reach.Report{State: reach.Some}.Encode(), reach.Relayed{}, sentAt, now))
	}
	without := membership.SectionSize(membership.Section{Asked: true})
	for budget := 6; budget <= maxTestReport; budget++ {
		require.LessOrEqual(t, membership.SectionSize(core.LoadReport(budget)), budget)
	}
	require.Equal(t, without+3+37, membership.SectionSize(core.LoadReport(maxTestReport)), "3 bytes of its own path, 37 of four others")
}

// Guards against load reports that come more rarely among few nodes, which all hear each other.
func TestFewNodesPassNoReportsOn(t *testing.T) {
	core, _ := newPathCore(t, "n")
	require.NoError(t, core.paths.Observe("other", reach.Report{State: reach.Some}.Encode(), reach.Relayed{}, time.Now(), time.Now()))
	core.SetPeers(func() int { return 3 })
	require.Empty(t, core.LoadReport(maxTestReport).PathIDs)
	core.SetPeers(manyPeers)
	require.Len(t, core.LoadReport(maxTestReport).PathIDs, 1)
}

// Guards against reports of another build or of a broken node that change where calls go, unseen.
func TestMalformedReportOfAPathIsLoggedAndIgnored(t *testing.T) {
	core, log := newPathCore(t, "n")
	now := time.Now()
	core.ReceivePathReport("old", membership.Section{}, now)
	require.Empty(t, log.String(), "an older build says nothing")
	core.ReceivePathReport("bad", membership.Section{Path: 99}, now)
	require.Contains(t, log.String(), "report of a path ignored")
	require.Contains(t, log.String(), "from=bad")
	for _, id := range []cluster.NodeID{"old", "bad"} {
		require.Equal(t, reach.Unknown, core.paths.Of(id, now).State)
	}
}

// Guards against reports that are left out of the datagrams between nodes.
func TestNodesOfARegionTellEachOtherWhetherTheyReachServers(t *testing.T) {
	p, port := testPlatform(t), freePort(t)
	first, second := newPeerNode(t, p, "127.0.0.2", port), newPeerNode(t, p, "127.0.0.3", port)
	second.serverList.Store(&fleet.List{Servers: []fleet.Server{{ID: "a"}}})
	first.peers.ensureKey(t.Context())
	kv, _, err := p.Store.Get(t.Context(), store.DatagramKey("r"))
	require.NoError(t, err)
	for _, n := range []*Node{first, second} {
		n.peers.keyChanged(fleet.Change{Written: []store.KV{*kv}})
	}
	require.Eventually(t, func() bool { return first.paths.Of("node-127.0.0.3", time.Now()).State == reach.Some }, 20*time.Second, 10*time.Millisecond)
}
