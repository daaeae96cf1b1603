package suspect_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Each check simulates about a minute of several nodes.
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// A request crashes every replica that runs it, and its caller sends it again
// immediately, each time through the next node, among many innocent requests. Without
// tracking the group loses replica after replica.
func TestPoisonRequestCostsTwoReplicas(t *testing.T) {
	naive := simulate(t, scenario{nodes: 4, replicas: 12, poisonCallers: 1, seed: 1, naive: true, length: 30 * time.Second})
	require.Greater(t, naive.kills, 20, "without tracking replicas must keep crashing")

	rapid.Check(t, func(rt *rapid.T) {
		sc := scenario{
			nodes:         rapid.IntRange(2, 6).Draw(rt, "nodes"),
			replicas:      rapid.IntRange(12, 30).Draw(rt, "replicas"),
			loss:          rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss"),
			seed:          rapid.Uint64().Draw(rt, "seed"),
			poisonCallers: 1, length: 30 * time.Second,
		}
		out := simulate(t, sc)
		if out.innocentsRefused > 0 || out.kills < 2 || out.kills > 4 || out.slowRefusals > 0 || out.poisonRefused < 50 {
			rt.Fatalf("%+v: %+v", sc, out)
		}
	})
}

var trials = flag.Uint64("trials", 10, "seeds per scenario; the table in docs/crash-requests.md uses more")

// runSeeds simulates a scenario with many seeds and logs the distribution of the
// results.
func runSeeds(t *testing.T, sc scenario, check func(outcome)) {
	t.Helper()
	kills, refused := make(map[int]int), make(map[int]int)
	var known []time.Duration
	for sc.seed = range *trials {
		out := simulate(t, sc)
		check(out)
		kills[out.kills]++
		refused[out.innocentsRefused]++
		known = append(known, out.known)
	}
	slices.Sort(known)
	n := len(known)
	t.Logf("nodes=%d replicas=%d loss=%v callers=%d cut=%v down_for=%v kills=%v innocents_refused=%v known_median=%v known_p90=%v known_worst=%v",
		sc.nodes, sc.replicas, sc.loss, sc.poisonCallers, sc.partitioned, sc.downFor, kills, refused, known[n/2], known[n*9/10], known[n-1])
}

// The goal is two crashes. A third replica crashes only if two suspects share one,
// which the nodes' turns prevent unless the report of one of them is late. With more
// nodes than replicas, all nodes compete for the same few replicas.
func TestPoisonRequestUsuallyCrashesTwoReplicas(t *testing.T) {
	for _, c := range []struct {
		scenario
		// oneIn allows one crash more than two in one of so many runs.
		oneIn uint64
	}{
		{scenario{nodes: 4, replicas: 12}, 5},
		{scenario{nodes: 4, replicas: 12, loss: 0.05}, 5},
		{scenario{nodes: 4, replicas: 12, loss: 0.3}, 5},
		{scenario{nodes: 8, replicas: 50, loss: 0.3}, 5},
		{scenario{nodes: 8, replicas: 4, length: 15 * time.Second}, 2},
		{scenario{nodes: 4, replicas: 8, downFor: time.Second, length: 15 * time.Second}, 10},
	} {
		c.poisonCallers, c.length = 1, max(c.length, 12*time.Second)
		over := 0
		runSeeds(t, c.scenario, func(out outcome) {
			require.Zero(t, out.innocentsRefused)
			require.LessOrEqual(t, out.kills, 5)
			over += max(0, out.kills-2)
		})
		require.LessOrEqual(t, uint64(over), *trials/c.oneIn, "%+v", c.scenario)
	}
}

// Several callers send the same request concurrently. Each crashes a replica before any
// node can know; after that the request must be refused, and no innocent one.
func TestPoisonRequestFromSeveralCallersAtOnce(t *testing.T) {
	sc := scenario{nodes: 4, replicas: 12, poisonCallers: 4, length: 30 * time.Second}
	runSeeds(t, sc, func(out outcome) {
		require.Zero(t, out.innocentsRefused)
		require.LessOrEqual(t, out.kills, 8)
		require.Positive(t, out.poisonRefused)
	})
}

// The two halves of the nodes are partitioned and the poison request reaches both. Each
// half must detect it independently, which costs up to two replicas each and
// occasionally one more, when both halves use the same replica concurrently.
func TestPartitionedNodesDetectPoisonIndependently(t *testing.T) {
	sc := scenario{nodes: 4, replicas: 12, poisonCallers: 1, partitioned: true, length: 30 * time.Second}
	runSeeds(t, sc, func(out outcome) {
		require.LessOrEqual(t, out.kills, 6)
		require.GreaterOrEqual(t, out.kills, 4)
		require.Positive(t, out.poisonRefused)
	})
}

func newTracker(peers int) *suspect.Tracker {
	return suspect.New(suspect.Options{
		Node: "node-a", Peers: func() int { return peers }, Log: slog.New(slog.DiscardHandler),
	})
}

func admitAlone(t *testing.T, tr *suspect.Tracker, fp suspect.Fingerprint) {
	t.Helper()
	alone, err := tr.Admit(t.Context(), fp)
	require.NoError(t, err)
	require.True(t, alone)
}

// quarantine crashes two replicas under fp, the second one during a run alone.
func quarantine(t *testing.T, tr *suspect.Tracker, fp suspect.Fingerprint) {
	t.Helper()
	tr.Begin(fp, "replica-1", 1, false)(suspect.Crashed)
	time.Sleep(time.Millisecond)
	admitAlone(t, tr, fp)
	tr.Begin(fp, "replica-2", 1, true)(suspect.Crashed)
}

// A suspect waits while another request with its fingerprint is retried. If that retry
// leads to a quarantine, the waiting request must be refused immediately instead of
// timing out.
func TestQuarantineEndsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(0)
		tr.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		admitAlone(t, tr, poison)
		end := tr.Begin(poison, "replica-2", 1, true)
		answered := make(chan error)
		go func() {
			_, err := tr.Admit(t.Context(), poison)
			answered <- err
		}()
		time.Sleep(time.Hour / 2)
		synctest.Wait()
		require.Empty(t, answered)
		began := time.Now()
		end(suspect.Crashed)
		err := <-answered
		require.Zero(t, time.Since(began))
		var refused *fennelerr.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, fennelerr.Quarantined, refused.Code)
		require.Equal(t, fennelerr.NotRun, refused.Run)
		require.Equal(t, suspect.DefaultQuarantineFor, refused.RetryAfter)
		require.Contains(t, refused.Message, "crashed")
	})
}

// The caller of a waiting suspect leaves. Its claim must not remain and block the next
// request.
func TestCanceledWaitReleasesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(1)
		tr.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		ctx, cancel := context.WithTimeout(t.Context(), suspect.DefaultClaimDelay/2)
		defer cancel()
		_, err := tr.Admit(ctx, poison)
		require.True(t, fennelerr.Is(err, fennelerr.Timeout), err)
		began := time.Now()
		admitAlone(t, tr, poison)
		require.Equal(t, suspect.DefaultClaimDelay, time.Since(began))
	})
}

// An innocent request that was in flight in a crash must run again, alone first and
// then like any other request.
func TestFinishedRetryClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(0)
		tr.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		admitAlone(t, tr, poison)
		end := tr.Begin(poison, "replica-2", 1, true)
		require.False(t, tr.MayRetryOn("replica-2"))
		end(suspect.Finished)
		require.True(t, tr.MayRetryOn("replica-2"))
		alone, err := tr.Admit(t.Context(), poison)
		require.NoError(t, err)
		require.False(t, alone)
	})
}

func receiveCrash(tr *suspect.Tracker, id uint64, replica string, fps ...suspect.Fingerprint) {
	m := &wirepb.CrashMark{CrashId: id, Replica: replica, Generation: 1}
	for _, fp := range fps {
		m.Fingerprints = append(m.Fingerprints, fp[:8]...)
	}
	tr.Receive(membership.Member{}, &wirepb.Datagram{Crashes: []*wirepb.CrashMark{m}})
}

// After a crash every node has suspects to retry and wants a free replica. Without
// turns several suspects would run on one replica, and its crash would not show which
// of them caused it.
func TestNodesTakeTurnsOnAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second := suspect.New(suspect.Options{
			Node: "node-b", Rank: func(string) int { return 1 }, Log: slog.New(slog.DiscardHandler),
		})
		time.Sleep(time.Minute)
		require.True(t, second.MayRetryOn("replica-2"))
		receiveCrash(second, 1, "replica-1", poison)
		require.False(t, second.MayRetryOn("replica-2"), "the first node's turn")
		time.Sleep(suspect.DefaultRetryTurn)
		require.True(t, second.MayRetryOn("replica-2"))
		running := &wirepb.SuspectMark{Fingerprint: poison[:8], RunningAlone: true, Runner: "node-a", Replica: "replica-2"}
		second.Receive(membership.Member{}, &wirepb.Datagram{Suspects: []*wirepb.SuspectMark{running}})
		time.Sleep(suspect.DefaultRetryTurn)
		require.False(t, second.MayRetryOn("replica-2"), "another node's suspect runs there")
		time.Sleep(suspect.DefaultRunnerTTL + suspect.DefaultRetryTurn)
		require.True(t, second.MayRetryOn("replica-2"))
	})
}

// A suspect of another node crashed a replica some seconds ago, and reports of its
// retry there still circulate. If they counted for the next crash there, the request
// that caused that crash would not be quarantined and would crash another replica.
func TestLateRetryReportIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, other := newTracker(0), fingerprint(2)
		receiveCrash(tr, 1, "replica-1", other)
		running := &wirepb.SuspectMark{Fingerprint: other[:8], RunningAlone: true, Runner: "node-b", Replica: "replica-2"}
		tr.Receive(membership.Member{}, &wirepb.Datagram{Suspects: []*wirepb.SuspectMark{running}})
		time.Sleep(time.Second)
		receiveCrash(tr, 2, "replica-2", other)
		running.AgeMs = 1000
		tr.Receive(membership.Member{}, &wirepb.Datagram{Suspects: []*wirepb.SuspectMark{running}})
		time.Sleep(6 * time.Second)
		quarantine(t, tr, poison)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), err)
	})
}

// The caller of the poison request disconnects before the replica crashes. If that
// counted as success, the request would be cleared and its next run would no longer be
// kept apart from other suspects.
func TestAbandonedRetryDoesNotClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(0)
		tr.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		for range 3 {
			admitAlone(t, tr, poison)
			tr.Begin(poison, "replica-2", 1, true)(suspect.Abandoned)
		}
		admitAlone(t, tr, poison)
	})
}

// A replica crashed a moment ago and the router does not know yet. Requests sent to it
// fail as if they had crashed it. If that counted as evidence, innocent requests would
// be quarantined one after another.
func TestFailuresOnDeadReplicaAreNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, innocent := newTracker(0), fingerprint(2)
		quarantine(t, tr, poison)
		for range 3 {
			time.Sleep(time.Second)
			alone, err := tr.Admit(t.Context(), innocent)
			require.NoError(t, err)
			require.False(t, alone)
			tr.Begin(innocent, "replica-1", 1, alone)(suspect.Crashed)
			tr.Begin(innocent, "replica-2", 1, alone)(suspect.Crashed)
		}
		time.Sleep(10 * time.Second)
		tr.Begin(innocent, "replica-2", 1, false)(suspect.Crashed)
		admitAlone(t, tr, innocent)
	})
}

// Several nodes report one crash under different ids. Counted twice, it would be
// evidence against a request that was in flight only once and make the verdict
// inconclusive: another replica would crash.
func TestCrashReportedByManyNodesCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, innocent := newTracker(1), fingerprint(2)
		tr.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		admitAlone(t, tr, poison)
		endPoison := tr.Begin(poison, "replica-2", 1, true)
		endInnocent := tr.Begin(innocent, "replica-2", 1, false)
		endPoison(suspect.Crashed)
		endInnocent(suspect.Crashed)
		receiveCrash(tr, 77, "replica-2", innocent)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), err)
	})
}

// Two suspects ran on a replica when it crashed, and only one caused the crash.
// Quarantining both would refuse an innocent request for 15 minutes.
func TestSharedCrashQuarantinesNeitherSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, innocent := newTracker(0), fingerprint(2)
		receiveCrash(tr, 1, "replica-1", poison, innocent)
		admitAlone(t, tr, innocent)
		endInnocent := tr.Begin(innocent, "replica-2", 1, true)
		admitAlone(t, tr, poison)
		endPoison := tr.Begin(poison, "replica-2", 1, true)
		endPoison(suspect.Crashed)
		endInnocent(suspect.Crashed)
		admitAlone(t, tr, innocent)
		tr.Begin(innocent, "replica-3", 1, true)(suspect.Finished)
		admitAlone(t, tr, poison)
		tr.Begin(poison, "replica-3", 1, true)(suspect.Crashed)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined))
	})
}

// Two suspects of two nodes ran on one replica when it crashed, so both are due for a
// retry at the same time, after the turns of that crash have passed. Each node then
// chooses any replica and, if the other's report is lost, possibly the same one again:
// one request crashes replica after replica and callers of the group are affected.
func TestInconclusiveVerdictRestartsTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second := suspect.New(suspect.Options{
			Node: "node-b", Peers: func() int { return 1 }, Rank: func(string) int { return 1 }, Log: slog.New(slog.DiscardHandler),
		})
		other := fingerprint(2)
		receiveCrash(second, 1, "replica-1", poison, other)
		admitAlone(t, second, poison)
		end := second.Begin(poison, "replica-2", 1, true)
		receiveCrash(second, 2, "replica-2", other)
		end(suspect.Crashed)
		time.Sleep(suspect.DefaultVerdictDelay)
		admitAlone(t, second, poison)
		require.False(t, second.MayRetryOn("replica-3"), "the first node's turn")
		time.Sleep(suspect.DefaultRetryTurn)
		require.True(t, second.MayRetryOn("replica-3"))
	})
}

// A quarantined request is sent again every few minutes for days. If it ran freely
// whenever the quarantine expired, it would crash two replicas every 15 minutes.
func TestQuarantineExtensionAndProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(0)
		quarantine(t, tr, poison)
		var refusedFor time.Duration
		for began := time.Now(); ; time.Sleep(10 * time.Minute) {
			alone, err := tr.Admit(t.Context(), poison)
			if err == nil {
				require.True(t, alone, "on probation it runs alone")
				refusedFor = time.Since(began)
				break
			}
		}
		require.InDelta(t, suspect.DefaultMaxQuarantine.Minutes(), refusedFor.Minutes(), 10)
		tr.Begin(poison, "replica-3", 1, true)(suspect.Crashed)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), "one crash on probation is enough")
		time.Sleep(suspect.DefaultQuarantineFor + suspect.DefaultProbationFor + time.Second)
		alone, err := tr.Admit(t.Context(), poison)
		require.NoError(t, err)
		require.False(t, alone)
	})
}

// Many crashes under ever new requests must neither grow memory without bound nor evict
// a quarantine.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(0)
		quarantine(t, tr, poison)
		for n := range uint64(18_000) {
			fp := fingerprint(n + 10)
			tr.Begin(fp, "replica-9", int64(n), false)(suspect.Crashed)
		}
		suspects := 0
		for n := range uint64(18_000) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			if alone, err := tr.Admit(ctx, fingerprint(n+10)); alone || err != nil {
				suspects++
			}
		}
		require.LessOrEqual(t, suspects, 16*1024)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined))
		section := tr.Section(200)
		require.LessOrEqual(t, membership.SectionSize(section), 200)
		require.Len(t, section.Quarantines, 1)
	})
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte("12345678"), int64(5), "node-b", true)
	f.Add([]byte("short"), int64(-1), "", false)
	f.Fuzz(func(_ *testing.T, fp []byte, ms int64, name string, flag bool) {
		tr := newTracker(1)
		d := &wirepb.Datagram{
			Crashes:     []*wirepb.CrashMark{{Fingerprints: fp, AgeMs: ms, Replica: name}},
			Suspects:    []*wirepb.SuspectMark{{Fingerprint: fp, AgeMs: ms, Runner: name, RunningAlone: flag, Cleared: !flag}},
			Quarantines: []*wirepb.QuarantineMark{{Fingerprint: fp, ExpiresInMs: ms}},
		}
		tr.Receive(membership.Member{}, d)
		tr.Receive(membership.Member{}, d)
		_ = fmt.Sprint(membership.SectionSize(tr.Section(500)))
	})
}

// Two nodes detected the same crash under different ids, and the other node's id
// arrives with every heartbeat. If each one restarted the turns, a node that is not
// first in turn could never retry an innocent suspect, and its caller, already
// receiving the answer, would be cut off.
func TestDuplicateCrashIDRestartsTurnsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := suspect.New(suspect.Options{Node: "node-b", Log: slog.New(slog.DiscardHandler),
			Peers: func() int { return 2 }, Rank: func(string) int { return 2 }})
		end := tracker.Begin(fingerprint(7), "replica-1", 1, false)
		end(suspect.Crashed)
		for beat := range 10 {
			time.Sleep(200 * time.Millisecond)
			age := time.Duration(beat+1) * 200 * time.Millisecond
			tracker.Receive(membership.Member{Node: "node-a"}, &wirepb.Datagram{Crashes: []*wirepb.CrashMark{{
				CrashId: 99, Replica: "replica-1", Generation: 1, AgeMs: age.Milliseconds()}}})
		}
		require.True(t, tracker.MayRetryOn("replica-2"))
	})
}
