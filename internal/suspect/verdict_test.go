package suspect_test

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// retryPoll is the interval at which the gateway tries to get a replica for a retry.
const retryPoll = 50 * time.Millisecond

func newPeers(names ...cluster.NodeID) (peers []*suspect.Tracker) {
	for _, name := range names {
		peers = append(peers, suspect.New(suspect.Options{
			Node: name, Peers: func() int { return len(names) - 1 }, Log: slog.New(slog.DiscardHandler),
		}))
	}
	return peers
}

// exchange delivers a section of each tracker to all others.
func exchange(peers ...*suspect.Tracker) {
	for i, from := range peers {
		section := from.Section(1000)
		d := &wirepb.Datagram{Crashes: section.Crashes, Suspects: section.Suspects, Quarantines: section.Quarantines}
		for j, to := range peers {
			if i != j {
				to.Receive(membership.Member{}, d)
			}
		}
	}
}

// beginRetry starts a retry as soon as the tracker allows one on the replica.
func beginRetry(t *testing.T, tr *suspect.Tracker, fp suspect.Fingerprint, replica cluster.ReplicaID) (end func(suspect.Outcome)) {
	t.Helper()
	admitAlone(t, tr, fp)
	for !tr.MayRetryOn(replica) {
		time.Sleep(retryPoll)
	}
	return tr.Begin(fp, replica, 1, true)
}

// Before the verdict the crashed replica forms again, and another node retries an innocent suspect.
func TestSuspectOnReformedReplicaDoesNotBlockVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, innocent := newPeers("node-a", "node-b"), fingerprint(2)
		a, b := peers[0], peers[1]
		a.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		b.Begin(innocent, "replica-1", 1, false)(suspect.Crashed)
		exchange(peers...)
		end := beginRetry(t, a, poison, "replica-2")
		exchange(peers...)
		end(suspect.Crashed)
		exchange(peers...)
		time.Sleep(suspect.DefaultVerdictDelay / 2)
		endInnocent := beginRetry(t, b, innocent, "replica-2")
		exchange(peers...)
		_, err := a.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), "no verdict, the request would crash a third replica: %v", err)
		endInnocent(suspect.Finished)
		exchange(peers...)
		for _, tr := range peers {
			alone, err := tr.Admit(t.Context(), innocent)
			require.NoError(t, err)
			require.False(t, alone)
		}
	})
}

// A retry on a replica that has just crashed could kill it again without a verdict.
func TestRetryIsNotPlacedWhereACrashIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(0)
		tr.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		beginRetry(t, tr, poison, "replica-1")(suspect.Crashed)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), "no verdict, the request would crash the replica again: %v", err)
	})
}

// pausedTracker returns a tracker with one peer and a func that lets the tracker's clock pass
// without its timers, as for a process that gets no processor.
func pausedTracker() (tr *suspect.Tracker, pause func(time.Duration)) {
	var paused atomic.Int64
	tr = suspect.New(suspect.Options{
		Node: "node-a", Peers: func() int { return 1 }, Log: slog.New(slog.DiscardHandler),
		Clock: func() time.Time { return time.Now().Add(time.Duration(paused.Load())) },
	})
	return tr, func(d time.Duration) { paused.Add(int64(d)) }
}

// The node gets no processor until long after its verdict was due.
func TestLateVerdictIsNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, pause := pausedTracker()
		quarantine(t, tr, poison)
		pause(suspect.DefaultVerdictDelay * 2)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), "no verdict, the request would crash a third replica: %v", err)
	})
}

// A report that the node could not receive before its verdict was due must count, or an innocent is refused.
func TestLateVerdictWaitsForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, pause := pausedTracker()
		other := fingerprint(2)
		receiveCrash(tr, 1, "replica-1", poison, other)
		admitAlone(t, tr, poison)
		tr.Begin(poison, "replica-2", 1, true)(suspect.Crashed)
		pause(suspect.DefaultVerdictDelay * 2)
		time.Sleep(suspect.DefaultVerdictDelay)
		synctest.Wait()
		age := (suspect.DefaultVerdictDelay * 3).Milliseconds()
		tr.Receive(membership.Member{}, &wirepb.Datagram{Crashes: []*wirepb.CrashMark{
			{CrashId: 2, Replica: "replica-2", Generation: 1, AgeMs: age, Fingerprints: other[:8]}}})
		admitAlone(t, tr, poison)
	})
}

// The first node in turn detects a crash 200 ms later than the second, which then retries at the same moment.
func TestTurnsDoNotOverlapAfterLateDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var peers []*suspect.Tracker
		for rank, name := range []cluster.NodeID{"node-a", "node-b"} {
			peers = append(peers, suspect.New(suspect.Options{
				Node: name, Peers: func() int { return 1 }, Rank: func(string) int { return rank }, Log: slog.New(slog.DiscardHandler),
			}))
		}
		first, second, innocent := peers[0], peers[1], fingerprint(2)
		endPoison := first.Begin(poison, "replica-1", 1, false)
		second.Begin(innocent, "replica-1", 1, false)(suspect.Crashed)
		exchange(peers...)
		time.Sleep(suspect.DefaultRetryTurn - suspect.DefaultClaimDelay)
		endPoison(suspect.Crashed)
		exchange(peers...)
		admitAlone(t, first, poison)
		require.True(t, first.MayRetryOn("replica-2"))
		require.False(t, second.MayRetryOn("replica-2"), "the first node's turn, and no report of its retry yet")
		time.Sleep(suspect.DefaultClaimDelay)
		require.True(t, second.MayRetryOn("replica-2"))
	})
}

// A fingerprint that is reported again after it was cleared must not hold up the nodes' turns.
func TestClearedSuspectReportedAgainDoesNotRestartTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := suspect.New(suspect.Options{
			Node: "node-b", Rank: func(string) int { return 1 }, Log: slog.New(slog.DiscardHandler),
		})
		receiveCrash(tr, 1, "replica-1", poison, fingerprint(2))
		admitAlone(t, tr, poison)
		tr.Begin(poison, "replica-2", 1, true)(suspect.Finished)
		time.Sleep(suspect.DefaultRetryTurn)
		receiveCrash(tr, 1, "replica-1", poison, fingerprint(2))
		require.True(t, tr.MayRetryOn("replica-3"))
	})
}

// Guards against innocent suspects whose callers' deadlines pass because the turns of all
// nodes of a large system have to pass.
func TestRetryTurnIsBoundedAtManyNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := suspect.New(suspect.Options{Node: "node-a", Peers: func() int { return 983 }, Rank: func(string) int { return 500 },
			Timing: suspect.Timing{MaxTurnWait: time.Second}, Log: slog.New(slog.DiscardHandler)})
		tr.Begin(fingerprint(2), "replica-1", 1, false)(suspect.Crashed)
		time.Sleep(time.Second - time.Millisecond)
		require.False(t, tr.MayRetryOn("replica-2"))
		time.Sleep(time.Millisecond)
		require.True(t, tr.MayRetryOn("replica-2"))
	})
}

// Guards against waiting suspects that compute the ranks of all nodes at each attempt to get a
// replica.
func TestWaitingForATurnDoesNotRepeatTheRanking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ranked := 0
		tr := suspect.New(suspect.Options{Node: "node-a", Peers: func() int { return 983 }, Rank: func(string) int { ranked++; return 500 },
			Timing: suspect.Timing{MaxTurnWait: 1500 * time.Millisecond}, Log: slog.New(slog.DiscardHandler)})
		tr.Begin(fingerprint(2), "replica-1", 1, false)(suspect.Crashed)
		for range 40 {
			for range 26 {
				tr.MayRetryOn("replica-2")
			}
			time.Sleep(retryPoll)
		}
		require.LessOrEqual(t, ranked, 2, "once a second until the last turn")
	})
}
