package rulestore

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// TestRestartAdoptsNewestPeerRevision starts a new node while the store is down.
// If it adopted the first rules it was offered, those of a peer that had missed a
// change, it would serve callers by rules that the operators had replaced.
func TestRestartAdoptsNewestPeerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		f := newFleet(t, s)
		defer f.stopAll()
		old := f.start("old", true, Timing{})
		first := mustApply(t, old.Holder, 0, text("caixa"))
		old.stop()
		current := f.start("current", true, Timing{})
		second := mustApply(t, current.Holder, first, text("caixa", "reservas"))
		require.Equal(t, first, old.Revision())
		s.SetFaults(memstore.Faults{Down: true})

		n := f.start("new", true, Timing{})
		synctest.Wait()
		n.ObservePeer("old", first)
		time.Sleep(1500 * time.Millisecond)
		require.Nil(t, n.Current(), "the newest revision isn't known yet")
		n.ObservePeer("current", second)
		time.Sleep(5 * time.Second)
		require.Len(t, n.history(), 1)
		require.Equal(t, second, n.Revision())
		require.Equal(t, text("caixa", "reservas"), n.Current().Text)
	})
}

// TestRestartRejectsOlderThanPeerRevisions starts a node that receives datagrams from
// the peer with the newest rules but can't connect to it. It must not adopt older rules,
// which it knows to have been replaced, while that peer's announcement is valid.
func TestRestartRejectsOlderThanPeerRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		f := newFleet(t, s)
		defer f.stopAll()
		old := f.start("old", true, Timing{})
		first := mustApply(t, old.Holder, 0, text("caixa"))
		s.SetFaults(memstore.Faults{Down: true})
		n := f.start("new", false, Timing{})
		for range 20 {
			n.ObservePeer("old", first)
			n.ObservePeer("gone", first+7)
			time.Sleep(time.Second)
		}
		require.Nil(t, n.Current())
		// After PeerTTL without that peer, the node adopts the older rules.
		for range 40 {
			n.ObservePeer("old", first)
			time.Sleep(time.Second)
		}
		require.Equal(t, first, n.Revision())
	})
}

// TestWatchRepeatsAndSkipsEvents: a reopened watch repeats events, and a broken one
// skips some. A repeat must not revert the node, and the edits after a skipped change
// must not be applied to the wrong text, which would give rules that were never accepted.
func TestWatchRepeatsAndSkipsEvents(t *testing.T) {
	for name, pass := range map[string]func(i int) int{
		"each event twice":    func(int) int { return 2 },
		"every second lost":   func(i int) int { return i % 2 },
		"two lost, one twice": func(i int) int { return []int{0, 0, 2}[i%3] },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var kept []store.WatchBatch
				var healthy atomic.Bool
				s := &faultyWatchStore{Store: memstore.New(memstore.Options{}), transform: func(in <-chan store.WatchBatch, out chan<- store.WatchBatch) {
					i := 0
					for b := range in {
						kept = append(kept, b)
						times := pass(i)
						if healthy.Load() {
							times = 1
						}
						for range times {
							out <- kept[max(0, len(kept)-2)]
							out <- b
						}
						i++
					}
				}}
				f := newFleet(t, s)
				defer f.stopAll()
				timing := DefaultTiming()
				timing.CheckInterval = time.Hour // the check would repair what the watch missed
				reader := f.start("reader", true, timing)
				writer := f.start("writer", false, timing)
				names := []string{"a", "b", "c"}
				last := mustApply(t, writer.Holder, 0, text(names...))
				accepted := map[int64]string{last: text(names...)}
				time.Sleep(5 * time.Second)
				for i := range 12 {
					healthy.Store(i == 11)
					names[i%len(names)] = fmt.Sprintf("s%d", i)
					last = mustApply(t, writer.Holder, last, text(names...))
					accepted[last] = text(names...)
					time.Sleep(time.Second)
				}
				time.Sleep(5 * time.Second)
				require.Equal(t, last, reader.Revision())
				require.Equal(t, text(names...), reader.Current().Text)
				history := reader.history()
				require.Greater(t, len(history), 2)
				for _, set := range history {
					require.Equal(t, accepted[set.Revision], set.Text)
				}
			})
		})
	}
}

// TestLateStoreReadDoesNotRevert: the result of a slow read from the store arrives
// after the node got newer rules from a peer, which it must not undo.
func TestLateStoreReadDoesNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowReadStore{Store: memstore.New(memstore.Options{}), release: make(chan struct{})}
		f := newFleet(t, s)
		defer f.stopAll()
		writer := f.start("writer", false, Timing{})
		first := mustApply(t, writer.Holder, 0, text("a"))
		reader := f.start("reader", false, Timing{})
		time.Sleep(3 * time.Second) // the read of the first file has started
		second := mustApply(t, writer.Holder, first, text("a", "b"))
		reader.ObservePeer("writer", second)
		time.Sleep(2 * time.Second)
		require.Equal(t, second, reader.Revision())
		close(s.release)
		time.Sleep(time.Second)
		require.Equal(t, second, reader.Revision())
		require.Len(t, reader.history(), 1)
	})
}

// TestSilentWatch: the watch's connection stays open but delivers nothing, as after
// a middlebox dropped its state. Without the check an accepted change would never
// arrive.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyWatchStore{Store: memstore.New(memstore.Options{}), transform: func(in <-chan store.WatchBatch, _ chan<- store.WatchBatch) {
			for range in { //nolint:revive // drops everything
			}
		}}
		f := newFleet(t, s)
		defer f.stopAll()
		reader := f.start("reader", true, Timing{})
		writer := f.start("writer", false, Timing{})
		last := mustApply(t, writer.Holder, 0, text("a"))
		hear := func() { // datagrams of a peer without rules, so that SilenceTimeout doesn't pass
			for range 16 {
				reader.ObservePeer("p", 0)
				time.Sleep(time.Second)
			}
		}
		hear()
		require.Equal(t, last, reader.Revision())
		last = mustApply(t, writer.Holder, last, text("a", "b"))
		hear()
		require.Equal(t, last, reader.Revision())
	})
}

// TestChangeReachesAllNodesInTime: the node that accepted a change fails right after
// it, so the change reaches the others only through the store. The bound of 16 s must
// hold even if every watch has gone silent.
func TestChangeReachesAllNodesInTime(t *testing.T) {
	const nodes, watchers, promised = 60, 6, 16 * time.Second
	for name, dead := range map[string]bool{"watches well": false, "all watches silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &faultyWatchStore{Store: memstore.New(memstore.Options{}), transform: func(in <-chan store.WatchBatch, out chan<- store.WatchBatch) {
					for b := range in {
						if !dead {
							out <- b
						}
					}
				}}
				f := newFleet(t, s)
				defer f.stopAll()
				for i := range nodes {
					f.start(cluster.NodeID(fmt.Sprint("n", i)), i < watchers, Timing{})
				}
				lost := New(Options{Store: s, Peers: f})
				last, worst := int64(0), time.Duration(0)
				for i := range 10 {
					last = mustApply(t, lost, last, text("a", fmt.Sprint("b", i)))
					worst = max(worst, f.waitForRevision(last))
					time.Sleep(7 * time.Second)
				}
				t.Logf("%d nodes, %d watching, datagrams each second: in force everywhere after %s at worst", nodes, watchers, worst)
				require.Less(t, worst, promised)
			})
		})
	}
}

// TestReturnAfterLongOutage: the platform's store recovers from a long outage, in
// which part of the nodes restarted. If all nodes called it at once and again after
// each failure, the load would keep it down.
func TestReturnAfterLongOutage(t *testing.T) {
	const nodes, watchers = 40, 6
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		f := newFleet(t, s)
		defer f.stopAll()
		for i := range nodes {
			f.start(cluster.NodeID(fmt.Sprint("n", i)), i < watchers, Timing{})
		}
		last := mustApply(t, f.nodes["n0"].Holder, 0, text("a"))
		run := func(seconds int) (most int64) {
			for range seconds {
				before := total(s.Calls())
				f.gossip()
				time.Sleep(time.Second)
				most = max(most, total(s.Calls())-before)
			}
			return most
		}
		run(10)
		s.SetFaults(memstore.Faults{Down: true})
		mostDown := run(600)
		for i := range 10 {
			id := cluster.NodeID(fmt.Sprint("n", nodes-1-i))
			f.nodes[id].stop()
			f.start(id, false, Timing{})
		}
		run(10)
		s.SetFaults(memstore.Faults{})
		before := total(s.Calls())
		mostBack := run(60)
		calls := total(s.Calls()) - before
		last = mustApply(t, f.nodes["n0"].Holder, last, text("a", "b"))
		run(16)
		for id, n := range f.nodes {
			require.Equal(t, last, n.Revision(), id)
		}
		t.Logf("%d nodes, %d watching: at most %d calls/s while down, %d calls/s in the minute after, %d calls in that minute", nodes, watchers, mostDown, mostBack, calls)
		require.LessOrEqual(t, mostDown, int64(2*watchers))
		require.LessOrEqual(t, mostBack, int64(4*watchers))
		require.LessOrEqual(t, calls, int64(15*watchers))
	})
}

func total(calls map[memstore.Kind]int64) int64 {
	n := int64(0)
	for _, c := range calls {
		n += c
	}
	return n
}

// TestAllNodesStartAtOnce: after a power loss all entry VMs start at the same time,
// and each watches, since it knows no other node yet. If all read the complete file
// at once, they would overload the store.
func TestAllNodesStartAtOnce(t *testing.T) {
	const nodes = 60
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		f := newFleet(t, s)
		defer f.stopAll()
		last := mustApply(t, New(Options{Store: s, Peers: f}), 0, text("a"))
		for i := range nodes {
			f.start(cluster.NodeID(fmt.Sprint("n", i)), true, Timing{})
		}
		most := int64(0)
		for step := range 50 {
			if step%10 == 9 {
				f.gossip()
			}
			before := s.Calls()[memstore.KindGet]
			time.Sleep(100 * time.Millisecond)
			most = max(most, s.Calls()[memstore.KindGet]-before)
		}
		for id, n := range f.nodes {
			require.Equal(t, last, n.Revision(), id)
		}
		reads := s.Calls()[memstore.KindGet]
		t.Logf("%d nodes start at once: %d whole reads, at most %d in 100 ms", nodes, reads, most)
		require.LessOrEqual(t, reads, int64(nodes*3/4))
		require.LessOrEqual(t, most, int64(nodes/4))
	})
}

// TestSilentZoneLimitsStoreCalls: a zone loses its peers and its watchers at the
// same time but not the store. Each node checks the store itself, spread over time.
func TestSilentZoneLimitsStoreCalls(t *testing.T) {
	const nodes = 50
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		f := newFleet(t, s)
		defer f.stopAll()
		first := mustApply(t, New(Options{Store: s, Peers: f}), 0, text("a"))
		for i := range nodes {
			f.start(cluster.NodeID(fmt.Sprint("n", i)), false, Timing{})
		}
		for range 120 {
			f.gossip()
			time.Sleep(time.Second)
		}
		last := mustApply(t, New(Options{Store: s, Peers: f}), first, text("a", "b"))
		before, most := total(s.Calls()), int64(0)
		for range 60 {
			start := total(s.Calls())
			time.Sleep(time.Second)
			most = max(most, total(s.Calls())-start)
		}
		for id, n := range f.nodes {
			require.Equal(t, last, n.Revision(), id)
		}
		calls := total(s.Calls()) - before
		t.Logf("%d silent nodes: %d calls in a minute, at most %d in a second", nodes, calls, most)
		require.LessOrEqual(t, calls, int64(nodes*6))
		require.LessOrEqual(t, most, int64(nodes/2))
	})
}

// TestRevisionsIncreaseAndConverge drives nodes through random sequences of
// changes, restarts, partitions and outages. A running node must never go to a lower
// revision, and after the faults end all nodes must have the newest accepted file.
func TestRevisionsIncreaseAndConverge(t *testing.T) {
	ids := []cluster.NodeID{"a", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		history := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) randomStep {
			return randomStep{
				kind:   rapid.SampledFrom([]string{"apply", "apply", "gossip", "gossip", "restart", "cut", "store", "lose", "wait"}).Draw(rt, "kind"),
				node:   rapid.SampledFrom(ids).Draw(rt, "node"),
				faults: memstore.Faults{Down: rapid.Bool().Draw(rt, "down"), DownUnknown: rapid.Bool().Draw(rt, "unknown"), LoseAnswers: rapid.IntRange(0, 3).Draw(rt, "lost"), DropWrites: rapid.IntRange(0, 3).Draw(rt, "dropped")},
				pause:  time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 5, 30).Draw(rt, "history")
		var found failureCollector
		synctest.Test(t, func(*testing.T) { replay(&found, ids, history) })
		if len(found.text) > 0 {
			rt.Fatal(strings.Join(slices.Compact(found.text), "\n"))
		}
	})
}

type randomStep struct {
	kind   string
	node   cluster.NodeID
	faults memstore.Faults
	pause  time.Duration
}

// replay runs a history, ends all faults, waits for the nodes to converge and
// compares them with the store.
func replay(found *failureCollector, ids []cluster.NodeID, history []randomStep) {
	ctx := context.Background()
	s := memstore.New(memstore.Options{})
	f := newFleet(found, s)
	defer f.stopAll()
	for _, id := range ids {
		f.start(id, id < "c", Timing{})
	}
	for i, step := range history {
		n := f.nodes[step.node]
		switch step.kind {
		case "apply":
			_, _ = n.Apply(ctx, ApplyRequest{BaseRevision: n.Revision(), Text: text("s", fmt.Sprint("n", i)), Author: "Ana", WriteID: fmt.Sprint(i)})
		case "gossip":
			f.gossip()
		case "restart":
			n.stop()
			f.start(n.id, n.id < "c", Timing{})
		case "cut":
			f.setIsolated(n.id, !f.isolated[n.id])
		case "store":
			s.SetFaults(memstore.Faults{Down: step.faults.Down, DownUnknown: step.faults.DownUnknown})
		case "lose":
			s.SetFaults(memstore.Faults{LoseAnswers: step.faults.LoseAnswers, DropWrites: step.faults.DropWrites})
		}
		time.Sleep(step.pause)
	}
	s.SetFaults(memstore.Faults{})
	for _, id := range ids {
		f.setIsolated(id, false)
	}
	for range 100 { // longer than the longest backoff of a watcher and the following gossip
		f.gossip()
		time.Sleep(time.Second)
	}
	want := File{}
	if kv, _, err := s.Get(ctx, store.RulesKey); err == nil && kv != nil {
		record, _ := decodeFile(kv)
		want = File{Revision: kv.ModRevision, Text: record.Text}
	}
	for id, n := range f.nodes {
		got := File{Revision: n.Revision()}
		if set := n.Current(); set != nil {
			got.Text = set.Text
		}
		assert.Equal(found, want, got, "%s", id)
	}
}

// TestFetchRulesReturnsEditsOrFullText also checks that edits of another text are
// rejected by checksum and those of another revision by revision.
func TestFetchRulesReturnsEditsOrFullText(t *testing.T) {
	s := memstore.New(memstore.Options{})
	h := New(Options{Store: s, Peers: newFleet(t, s)})
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	revisions := []int64{mustApply(t, h, 0, text(names...))}
	var texts []string
	for i := range maxRecentChanges + 2 {
		texts = append(texts, h.Current().Text)
		names[i%len(names)] = fmt.Sprint("x", i)
		revisions = append(revisions, mustApply(t, h, revisions[i], text(names...)))
	}
	last := len(revisions) - 1
	res := h.FetchRules(revisions[last-1])
	require.NotNil(t, res.Delta)
	o, err := decodeResponse(res, revisions[last-1], texts[last-1])
	require.NoError(t, err)
	require.Equal(t, h.Current().Text, o.text)

	_, err = decodeResponse(res, revisions[last-1], texts[last-2])
	var sum *ChecksumError
	require.ErrorAs(t, err, &sum)
	_, err = decodeResponse(res, revisions[last-2], texts[last-2])
	var revision *RevisionError
	require.ErrorAs(t, err, &revision)

	require.Nil(t, h.FetchRules(revisions[last]).Delta)
	require.Empty(t, h.FetchRules(revisions[last]).Text)
	require.Equal(t, h.Current().Text, h.FetchRules(revisions[0]).Text, "too far back for edits")
	require.Equal(t, h.Current().Text, h.FetchRules(0).Text)
	damaged := h.FetchRules(0)
	damaged.Text += "#"
	_, err = decodeResponse(damaged, 0, "")
	require.ErrorAs(t, err, &sum)
}

// TestConcurrentUse runs readers concurrently with changes under the race detector.
func TestConcurrentUse(t *testing.T) {
	s := memstore.New(memstore.Options{})
	f := newFleet(t, s)
	n := f.start("n", true, Timing{})
	defer f.stopAll()
	var readers sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					n.FetchRules(n.Revision())
					n.ObservePeer("p", 1)
				}
			}
		})
	}
	last := int64(0)
	for i := range 50 {
		last = mustApply(t, n.Holder, last, text("a", fmt.Sprint("b", i)))
	}
	close(done)
	readers.Wait()
	require.Equal(t, last, n.Revision())
}
