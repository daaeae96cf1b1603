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
	// Each check is a minute of several nodes.
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// One request crashes every replica that runs it. Its caller sends it again as
// soon as it is answered, each time through the next node, among many innocent
// requests. Callers of the group find ever fewer replicas, until none is left.
func TestPoisonRequestCostsTwoReplicas(t *testing.T) {
	naive := run(t, scenario{nodes: 4, replicas: 12, poisons: 1, seed: 1, naive: true, length: 30 * time.Second})
	require.Greater(t, naive.kills, 20, "the naive version is meant to lose replica after replica")

	rapid.Check(t, func(rt *rapid.T) {
		sc := scenario{
			nodes:    rapid.IntRange(2, 6).Draw(rt, "nodes"),
			replicas: rapid.IntRange(12, 30).Draw(rt, "replicas"),
			loss:     rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss"),
			seed:     rapid.Uint64().Draw(rt, "seed"),
			poisons:  1, length: 30 * time.Second,
		}
		out := run(t, sc)
		if out.innocentsRefused > 0 || out.kills < 2 || out.kills > 4 || out.slowRefusals > 0 || out.poisonRefused < 50 {
			rt.Fatalf("%+v: %+v", sc, out)
		}
	})
}

var trials = flag.Uint64("trials", 10, "seeds of each scenario; more give the table in docs/crash-requests.md")

// tally plays a scenario with many seeds and logs what came of it.
func tally(t *testing.T, sc scenario, check func(outcome)) {
	t.Helper()
	kills, refused := make(map[int]int), make(map[int]int)
	var known []time.Duration
	for sc.seed = range *trials {
		out := run(t, sc)
		check(out)
		kills[out.kills]++
		refused[out.innocentsRefused]++
		known = append(known, out.known)
	}
	slices.Sort(known)
	n := len(known)
	t.Logf("nodes=%d replicas=%d loss=%v callers=%d cut=%v kills=%v innocents_refused=%v known_median=%v known_p90=%v known_worst=%v",
		sc.nodes, sc.replicas, sc.loss, sc.poisons, sc.cut, kills, refused, known[n/2], known[n*9/10], known[n-1])
}

// Two is the goal; a third replica dies only when two suspects happen to share
// one, which the nodes' turns prevent unless word of one of them is late. With
// more nodes than replicas, all of them want the same few.
func TestPoisonRequestMostlyCostsExactlyTwo(t *testing.T) {
	for _, c := range []struct {
		scenario
		// share is the part of runs, one in so many, that may cost one more.
		share uint64
	}{
		{scenario{nodes: 4, replicas: 12}, 5},
		{scenario{nodes: 4, replicas: 12, loss: 0.05}, 5},
		{scenario{nodes: 4, replicas: 12, loss: 0.3}, 5},
		{scenario{nodes: 8, replicas: 50, loss: 0.3}, 5},
		{scenario{nodes: 8, replicas: 4, length: 15 * time.Second}, 2},
	} {
		c.poisons, c.length = 1, max(c.length, 12*time.Second)
		over := 0
		tally(t, c.scenario, func(out outcome) {
			require.Zero(t, out.innocentsRefused)
			require.LessOrEqual(t, out.kills, 5)
			over += max(0, out.kills-2)
		})
		require.LessOrEqual(t, uint64(over), *trials/c.share, "%+v", c.scenario)
	}
}

// Several callers send the same request at the same moment. Each of them kills a
// replica before anyone can know; then it must be over, and for innocents too.
func TestPoisonRequestFromSeveralCallersAtOnce(t *testing.T) {
	sc := scenario{nodes: 4, replicas: 12, poisons: 4, length: 30 * time.Second}
	tally(t, sc, func(out outcome) {
		require.Zero(t, out.innocentsRefused)
		require.LessOrEqual(t, out.kills, 8)
		require.Positive(t, out.poisonRefused)
	})
}

// The nodes of the two halves cannot hear each other, and the poison request
// comes to both. Each half has to find out by itself: up to two replicas each,
// and seldom one more when both halves use one replica at once.
func TestNodesThatCannotHearEachOtherPayEach(t *testing.T) {
	sc := scenario{nodes: 4, replicas: 12, poisons: 1, cut: true, length: 30 * time.Second}
	tally(t, sc, func(out outcome) {
		require.LessOrEqual(t, out.kills, 6)
		require.GreaterOrEqual(t, out.kills, 4)
		require.Positive(t, out.poisonRefused)
	})
}

func lone(peers int) *suspect.Tracker {
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

// convict crashes a replica twice under fp, the second time alone.
func convict(t *testing.T, tr *suspect.Tracker, fp suspect.Fingerprint) {
	t.Helper()
	tr.Begin(fp, "replica-1", 1, false)(suspect.Crashed)
	time.Sleep(time.Millisecond)
	admitAlone(t, tr, fp)
	tr.Begin(fp, "replica-2", 1, true)(suspect.Crashed)
}

// A suspect waits while another of its kind is retried. When that one is found
// guilty, whoever waits must be answered at once and not time out in the queue.
func TestWaitingSuspectIsAnsweredWhenQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := lone(0)
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

// The caller of a waiting suspect goes away; the claim must not stay behind and
// hold up the next one.
func TestWaitEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := lone(1)
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

// An innocent request that was on a replica when it crashed must run again, alone
// first, and then like any other.
func TestSuccessClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := lone(0)
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

func tell(tr *suspect.Tracker, id uint64, replica string, fps ...suspect.Fingerprint) {
	m := &wirepb.CrashMark{CrashId: id, Replica: replica, Generation: 1}
	for _, fp := range fps {
		m.Fingerprints = append(m.Fingerprints, fp[:8]...)
	}
	tr.Receive(membership.Member{}, &wirepb.Datagram{Crashes: []*wirepb.CrashMark{m}})
}

// After a crash every node has suspects to retry and wants a free replica. All at
// once they would put several on one, and its crash would tell nothing.
func TestNodesTakeTurnsOnAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second := suspect.New(suspect.Options{
			Node: "node-b", Rank: func(string) int { return 1 }, Log: slog.New(slog.DiscardHandler),
		})
		time.Sleep(time.Minute)
		require.True(t, second.MayRetryOn("replica-2"))
		tell(second, 1, "replica-1", poison)
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

// A suspect of another node crashed a replica some seconds ago, and word of its
// retry there still goes round. It must not cast doubt on the next crash, or the
// guilty one of that goes free and takes another replica.
func TestLateWordOfAnEndedRetryCastsNoDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, other := lone(0), fingerprint(2)
		tell(tr, 1, "replica-1", other)
		running := &wirepb.SuspectMark{Fingerprint: other[:8], RunningAlone: true, Runner: "node-b", Replica: "replica-2"}
		tr.Receive(membership.Member{}, &wirepb.Datagram{Suspects: []*wirepb.SuspectMark{running}})
		time.Sleep(time.Second)
		tell(tr, 2, "replica-2", other)
		running.AgeMs = 1000
		tr.Receive(membership.Member{}, &wirepb.Datagram{Suspects: []*wirepb.SuspectMark{running}})
		time.Sleep(6 * time.Second)
		convict(t, tr, poison)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), err)
	})
}

// The caller of the poison request hangs up before the replica dies. Taken for a
// success, that would clear it, and the next send would share a replica again.
func TestHangingUpDoesNotClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := lone(0)
		tr.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		for range 3 {
			admitAlone(t, tr, poison)
			tr.Begin(poison, "replica-2", 1, true)(suspect.Abandoned)
		}
		admitAlone(t, tr, poison)
	})
}

// A replica died a moment ago and the router does not know yet. Requests sent to
// it fail as if it had crashed under them; counted as evidence, innocent ones
// would be quarantined in a row.
func TestDeadReplicaSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, innocent := lone(0), fingerprint(2)
		convict(t, tr, poison)
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

// Several nodes tell of one crash under names of their own. Counted twice, it
// would speak against a request that was only there once, and leave it open who
// was to blame: another replica would die.
func TestOneCrashToldByManyCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, innocent := lone(1), fingerprint(2)
		tr.Begin(poison, "replica-1", 1, false)(suspect.Crashed)
		admitAlone(t, tr, poison)
		endPoison := tr.Begin(poison, "replica-2", 1, true)
		endInnocent := tr.Begin(innocent, "replica-2", 1, false)
		endPoison(suspect.Crashed)
		endInnocent(suspect.Crashed)
		tell(tr, 77, "replica-2", innocent)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), err)
	})
}

// Two suspects shared a replica and it crashed. Only one is to blame; barring
// both would refuse an innocent caller for a quarter of an hour.
func TestSharedCrashCondemnsNeither(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, innocent := lone(0), fingerprint(2)
		tell(tr, 1, "replica-1", poison, innocent)
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

// Two suspects of two nodes shared a replica and it crashed, so both are to be
// retried, at the same moment. By then the turns of the crash have passed. Each
// takes any replica it likes, and when word of the other is lost, again the same:
// replica after replica dies of one request, and callers of the group see it.
func TestUnclearVerdictStartsTheTurnsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second := suspect.New(suspect.Options{
			Node: "node-b", Peers: func() int { return 1 }, Rank: func(string) int { return 1 }, Log: slog.New(slog.DiscardHandler),
		})
		other := fingerprint(2)
		tell(second, 1, "replica-1", poison, other)
		admitAlone(t, second, poison)
		end := second.Begin(poison, "replica-2", 1, true)
		tell(second, 2, "replica-2", other)
		end(suspect.Crashed)
		time.Sleep(suspect.DefaultVerdictDelay)
		admitAlone(t, second, poison)
		require.False(t, second.MayRetryOn("replica-3"), "the first node's turn")
		time.Sleep(suspect.DefaultRetryTurn)
		require.True(t, second.MayRetryOn("replica-3"))
	})
}

// A quarantined request is sent again every few minutes for days. Let in freely
// at each expiry, it would cost two replicas every quarter of an hour.
func TestQuarantineIsProlongedThenOnProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := lone(0)
		convict(t, tr, poison)
		var barred time.Duration
		for began := time.Now(); ; time.Sleep(10 * time.Minute) {
			alone, err := tr.Admit(t.Context(), poison)
			if err == nil {
				require.True(t, alone, "on probation it runs alone")
				barred = time.Since(began)
				break
			}
		}
		require.InDelta(t, suspect.DefaultMaxQuarantine.Minutes(), barred.Minutes(), 10)
		tr.Begin(poison, "replica-3", 1, true)(suspect.Crashed)
		_, err := tr.Admit(t.Context(), poison)
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined), "one crash on probation is enough")
		time.Sleep(suspect.DefaultQuarantineFor + suspect.DefaultProbationFor + time.Second)
		alone, err := tr.Admit(t.Context(), poison)
		require.NoError(t, err)
		require.False(t, alone)
	})
}

// Crash after crash under ever new requests must not fill the memory, nor push
// out a quarantine.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := lone(0)
		convict(t, tr, poison)
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
		tr := lone(1)
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

// Two nodes met one crash and each gave it a name. The other's name for it comes
// with every heartbeat. If each of these began the turns anew, a node that is not
// the first in turn would never put an innocent suspect on a replica, and its
// caller, a few words into the answer, would be cut off.
func TestOneCrashUnderTwoNamesBeginsTurnsOnce(t *testing.T) {
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
