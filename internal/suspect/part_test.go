package suspect_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// crashID is the id of a part that crashes replicas; the other ids are of sound parts.
const crashID, soundID, otherID = 0xdead, 0xa, 0xb

// enoughCrashes is more crashes than are needed for a quarantine.
const enoughCrashes = 8

// partTest has requests of a model run on a node that has run for a while.
type partTest struct {
	*suspect.Tracker
	sent int
}

func newPartTest() *partTest {
	tr := newTracker(0)
	time.Sleep(time.Minute)
	return &partTest{Tracker: tr}
}

// request returns a request that is unlike any other, with these parts in its prompt and one of
// its own.
func (p *partTest) request(ids ...uint64) suspect.Request {
	p.sent++
	return suspect.Request{Fingerprint: fingerprint(uint64(1000 + p.sent)), Model: "m", Parts: suspect.PartsOf("m", append(ids, uint64(p.sent)))}
}

// crash has a replica of its own crash under the request, after some pieces of the answer.
func (p *partTest) crash(req suspect.Request, pieces int) {
	p.sent++
	run := p.BeginRequest(req, cluster.ReplicaID(fmt.Sprintf("replica-%d", p.sent)), 1, suspect.Admission{})
	for range pieces {
		run.Piece()
	}
	run.End(suspect.Crashed)
}

// answer has a request with these parts be answered.
func (p *partTest) answer(ids ...uint64) {
	p.BeginRequest(p.request(ids...), "replica-sound", 1, suspect.Admission{}).End(suspect.Finished)
}

// crashSeries has new requests with these parts crash replicas, some time apart, while others are
// answered.
func (p *partTest) crashSeries(n int, ids ...uint64) {
	for range n {
		p.crash(p.request(ids...), 0)
		time.Sleep(250 * time.Millisecond)
		p.answer(otherID)
	}
}

// refuses reports whether requests with these parts are refused once all verdicts have been reached.
func (p *partTest) refuses(ids ...uint64) bool {
	time.Sleep(200 * time.Millisecond)
	return fennelerr.Is(p.Refuse(p.request(ids...)), fennelerr.Quarantined)
}

// testParts runs a test in a bubble.
func testParts(t *testing.T, f func(t *testing.T, p *partTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, newPartTest()) })
}

func TestPartIsQuarantinedAfterCrashesUnderNewRequests(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		p.crashSeries(2, crashID)
		require.False(t, p.refuses(crashID), "two crashes may be a coincidence")
		p.crashSeries(1, crashID)
		require.True(t, p.refuses(soundID, crashID))
		err := p.Refuse(p.request(crashID))
		require.ErrorContains(t, err, "part")
		refusal, ok := errors.Into[*fennelerr.Error](err)
		require.True(t, ok)
		require.Equal(t, fennelerr.NotRun, refusal.Run)
		require.Positive(t, refusal.RetryAfter)
		_, err = p.AdmitRequest(t.Context(), p.request(crashID))
		require.True(t, fennelerr.Is(err, fennelerr.Quarantined))
		last := p.request(soundID)
		last.Parts = suspect.PartsOf("m", []uint64{soundID, crashID})
		require.NoError(t, p.Refuse(last), "the last part belongs to the request itself")
		other := suspect.Request{Model: "n", Parts: suspect.PartsOf("n", []uint64{crashID, 1})}
		require.NoError(t, p.Refuse(other), "another model")
	})
}

// Guards against a refusal of sound requests that share parts with one whose body crashes replicas.
func TestCrashesOfOneRequestAreNoEvidenceAgainstItsParts(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		req := p.request(crashID)
		for range enoughCrashes {
			p.crash(req, 0)
			time.Sleep(250 * time.Millisecond)
			p.answer(otherID)
		}
		require.False(t, p.refuses(crashID))
	})
}

// Guards against a refusal of requests that were in flight when a rack lost power.
func TestReplicasLostAtOnceAreOneCrash(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for range enoughCrashes {
			p.crash(p.request(crashID), 0)
			time.Sleep(5 * time.Millisecond)
			p.answer(otherID)
		}
		require.False(t, p.refuses(crashID))
	})
}

// Guards against a refusal of all requests to a model whose replicas crash whatever they run.
func TestPartsOfAModelWithoutAnswersAreNotQuarantined(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for range enoughCrashes {
			p.crash(p.request(crashID), 0)
			time.Sleep(250 * time.Millisecond)
		}
		require.False(t, p.refuses(crashID))
	})
}

// Guards against a refusal of requests that wait on replicas which crash for another reason.
func TestPartOfFewCrashesIsNotQuarantined(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for i := range 4 * enoughCrashes {
			id := uint64(0x1000 + i)
			if i%4 == 0 {
				id = crashID
			}
			p.crash(p.request(id), 0)
			time.Sleep(250 * time.Millisecond)
			p.answer(otherID)
		}
		require.False(t, p.refuses(crashID))
	})
}

// Guards against a refusal of requests that wait in the queues of overloaded replicas.
func TestPartOfRequestsInQueuesIsNotQuarantined(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for i := range enoughCrashes {
			replica := cluster.ReplicaID(fmt.Sprintf("queue-%d", i))
			for n := range 10 {
				id := uint64(0x1000*(i+1) + n)
				if n == 0 {
					id = crashID
				}
				p.BeginRequest(p.request(id), replica, 1, suspect.Admission{}).End(suspect.Crashed)
			}
			time.Sleep(250 * time.Millisecond)
			p.answer(otherID)
		}
		require.False(t, p.refuses(crashID))
	})
}

// Guards against a refusal of a part that other requests are answered with.
func TestAnswerWithdrawsEarlierCrashes(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for range enoughCrashes {
			p.crashSeries(2, crashID)
			p.answer(crashID)
			time.Sleep(2 * time.Second)
		}
		require.False(t, p.refuses(crashID))
	})
}

// Guards against a refusal of all requests that share a first part with those that crash replicas, once
// few replicas are left to answer any.
func TestAnsweredPartIsNotQuarantinedForAnother(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		p.answer(soundID)
		time.Sleep(2 * time.Second)
		p.crashSeries(enoughCrashes, soundID, crashID)
		require.True(t, p.refuses(crashID))
		require.False(t, p.refuses(soundID))
	})
}

// Guards against replicas that go on crashing under a part that was sound before.
func TestAnsweredPartThatBeginsToCrashReplicasIsQuarantined(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		p.answer(crashID)
		time.Sleep(2 * time.Second)
		p.crashSeries(4, crashID)
		require.False(t, p.refuses(crashID))
		p.crashSeries(1, crashID)
		require.True(t, p.refuses(crashID))
	})
}

// Guards against a refusal of the parts of streams that were well under way when their replica crashed.
func TestCrashDuringAnswerIsNoEvidence(t *testing.T) {
	for _, c := range []struct {
		pieces  int
		refused bool
	}{{0, true}, {1, true}, {3, true}, {4, false}, {20, false}} {
		testParts(t, func(t *testing.T, p *partTest) {
			for range enoughCrashes {
				p.crash(p.request(crashID), c.pieces)
				time.Sleep(1250 * time.Millisecond)
				p.answer(otherID)
			}
			require.Equal(t, c.refused, p.refuses(crashID), "%d pieces", c.pieces)
		})
	}
}

// Guards against a part that callers hide among many new ones.
func TestPartAmongManyIsFound(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for i := 0; !p.refuses(crashID); i++ {
			require.Less(t, i, 200)
			var ids []uint64
			for n := range 40 {
				ids = append(ids, uint64(0x10000+100*i+n))
			}
			p.crashSeries(1, append(ids, crashID)...)
		}
	})
}

// Guards against callers who make a node forget a part by sending many new ones.
func TestNewPartsDoNotPushOutEvidence(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for i := range 3 {
			p.crashSeries(1, crashID)
			for n := range 20_000 {
				p.answer(uint64(0x100000*(i+1)) + uint64(n))
			}
		}
		require.True(t, p.refuses(crashID))
	})
}

// Guards against requests that wait for a replica of their own because they ran beside one that
// holds a quarantined part.
func TestQuarantineOfPartClearsRequestsBesideIt(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		beside := p.request(soundID)
		for i := range 4 {
			replica := cluster.ReplicaID(fmt.Sprintf("shared-%d", i))
			run := p.BeginRequest(beside, replica, 1, suspect.Admission{})
			p.BeginRequest(p.request(crashID), replica, 1, suspect.Admission{}).End(suspect.Crashed)
			time.Sleep(250 * time.Millisecond)
			run.End(suspect.Crashed) // reported last, once also after the quarantine
			p.answer(otherID)
		}
		require.True(t, p.refuses(crashID))
		a, err := p.AdmitRequest(t.Context(), beside)
		require.NoError(t, err)
		require.False(t, a.Alone)
	})
}

// Guards against many requests with a part at once after its quarantine has ended.
func TestPartRunsAloneAfterItsQuarantine(t *testing.T) {
	for _, sound := range []bool{false, true} {
		testParts(t, func(t *testing.T, p *partTest) {
			p.crashSeries(3, crashID)
			require.True(t, p.refuses(crashID))
			time.Sleep(suspect.DefaultQuarantineFor + time.Second)
			first := p.request(crashID)
			a, err := p.AdmitRequest(t.Context(), first)
			require.NoError(t, err)
			require.True(t, a.Alone)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err = p.AdmitRequest(ctx, p.request(crashID))
			require.Error(t, err, "one at a time")
			run := p.BeginRequest(first, "replica-trial", 1, a)
			if sound {
				run.End(suspect.Finished)
				a, err = p.AdmitRequest(t.Context(), p.request(crashID))
				require.NoError(t, err)
				require.False(t, a.Alone)
				return
			}
			run.End(suspect.Crashed)
			require.True(t, p.refuses(crashID))
		})
	}
}

// Guards against nodes that each wait for crashes of their own.
func TestNodesCountCrashesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers("node-a", "node-b", "node-c")
		time.Sleep(time.Minute)
		for i, tr := range peers {
			p := &partTest{Tracker: tr, sent: 100 * i}
			p.crash(p.request(soundID, crashID), 0)
			time.Sleep(250 * time.Millisecond)
			for j, other := range peers {
				(&partTest{Tracker: other, sent: 1000 + 10*i + j}).answer(otherID)
			}
			exchange(peers...)
			(&partTest{Tracker: peers[0], sent: 2000 + i}).answer(soundID)
			exchange(peers...)
		}
		exchange(peers...)
		for i, tr := range peers {
			require.True(t, (&partTest{Tracker: tr, sent: 3000}).refuses(crashID), "node %d", i)
			require.False(t, (&partTest{Tracker: tr, sent: 4000}).refuses(soundID), "node %d: answered at another node", i)
		}
	})
}

// Guards against marks that are too large for a datagram, however many requests were in flight.
func TestPartMarksFitIntoDatagrams(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for range 50 {
			p.BeginRequest(p.request(0x100, 0x200, 0x300+uint64(p.sent), crashID), "replica-1", 1, suspect.Admission{}).End(suspect.Crashed)
		}
		sent := 0
		for range 200 {
			section := p.Section(180)
			require.LessOrEqual(t, membership.SectionSize(section), 180)
			for _, mark := range section.Crashes {
				sent += len(mark.Parts)
			}
		}
		require.NotZero(t, sent)
	})
}

// A node that starts while a part crashes replicas knows nothing of the answers before.
func TestNewNodeNeedsMoreCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &partTest{Tracker: suspect.New(suspect.Options{Node: "node-a", Log: slog.New(slog.DiscardHandler)})}
		p.crashSeries(4, crashID)
		require.False(t, p.refuses(crashID))
		p.crashSeries(1, crashID)
		require.True(t, p.refuses(crashID))
	})
}

// Guards against a refusal of a part that two others which crash replicas share, for the crashes of both.
func TestCrashesOfAQuarantinedPartCountOnce(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		p.answer(soundID)
		time.Sleep(2 * time.Second)
		for _, id := range []uint64{crashID, crashID + 1} {
			p.crashSeries(3, soundID, id)
			require.True(t, p.refuses(id))
			require.False(t, p.refuses(soundID))
		}
	})
}

// Guards against a refusal of the more frequent of two parts under which replicas crash.
func TestPartWithFewerAnswersIsQuarantined(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		p.answer(crashID)
		for range 3 {
			p.answer(soundID)
		}
		time.Sleep(2 * time.Second)
		p.crashSeries(5, crashID, soundID)
		require.True(t, p.refuses(crashID))
		require.False(t, p.refuses(soundID))
	})
}

// Guards against a refusal of a part with which another node has answers.
func TestAnswerAtAnotherNodeWithdrawsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers("node-a", "node-b")
		time.Sleep(time.Minute)
		a, b := &partTest{Tracker: peers[0]}, &partTest{Tracker: peers[1], sent: 1000}
		for range enoughCrashes {
			b.crashSeries(2, soundID)
			exchange(peers...)
			a.answer(soundID)
			exchange(peers...)
			time.Sleep(2 * time.Second)
		}
		require.False(t, b.refuses(soundID))
	})
}

// Guards against a refusal for few of many crashes, of which other nodes saw most.
func TestCrashesAtOtherNodesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers("node-a", "node-b")
		time.Sleep(time.Minute)
		a, b := &partTest{Tracker: peers[0]}, &partTest{Tracker: peers[1], sent: 1000}
		for range enoughCrashes {
			for range 3 {
				a.crash(a.request(), 0)
			}
			exchange(peers...)
			b.crashSeries(1, crashID)
		}
		require.False(t, b.refuses(crashID))
	})
}

// Guards against marks of a popular part with each crash, which would take the place of others.
func TestRecentlyAnsweredPartIsNotReported(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		p.answer(soundID)
		p.crash(p.request(soundID), 0)
		for _, mark := range p.Section(1000).Crashes {
			require.Empty(t, mark.Parts)
		}
	})
}

// Guards against a refusal of the more general of two new parts, which more requests share.
func TestMoreSpecificPartIsQuarantined(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		p.crashSeries(3, soundID, crashID)
		require.True(t, p.refuses(crashID))
		require.False(t, p.refuses(soundID))
	})
}

// Guards against requests that wait for a replica of their own at a node which learns of the quarantine from
// the store.
func TestQuarantineFromTheStoreClearsRequestsBesideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers("node-a", "node-b")
		time.Sleep(time.Minute)
		a, b := &partTest{Tracker: peers[0]}, &partTest{Tracker: peers[1], sent: 1000}
		beside := b.request(soundID)
		b.BeginRequest(beside, "shared", 1, suspect.Admission{}).End(suspect.Crashed)
		a.BeginRequest(a.request(crashID), "shared", 1, suspect.Admission{}).End(suspect.Crashed)
		exchange(peers...)
		b.AdoptQuarantine(suspect.PartsOf("m", []uint64{crashID, 0})[0].String())
		require.True(t, b.refuses(crashID))
		admission, err := b.AdmitRequest(t.Context(), beside)
		require.NoError(t, err)
		require.False(t, admission.Alone)
	})
}

// Guards against a refusal for crashes that are reported after a later answer, by this node or by another.
func TestCrashReportedAfterALaterAnswerIsNoEvidence(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		testParts(t, func(t *testing.T, p *partTest) {
			part := suspect.PartsOf("m", []uint64{soundID, 0})[0]
			p.answer(otherID)
			if elsewhere {
				p.Receive(membership.Member{}, &wirepb.Datagram{Suspects: []*wirepb.SuspectMark{
					{Fingerprint: binary.BigEndian.AppendUint64(nil, uint64(part)), Cleared: true}}})
			} else {
				p.answer(soundID)
			}
			for i := range enoughCrashes {
				held := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, uint64(part)), uint32(i))
				p.Receive(membership.Member{}, &wirepb.Datagram{Crashes: []*wirepb.CrashMark{
					{CrashId: uint64(i + 1), Replica: fmt.Sprint("late-", i), Generation: 1, AgeMs: int64(1000 * (i + 1)), Parts: held, Model: uint32(xxhash.Sum64String("m"))}}})
			}
			p.answer(otherID)
			require.False(t, p.refuses(soundID))
		})
	}
}

// Guards against a refusal for crashes that are far apart.
func TestOldCrashesAreNoEvidence(t *testing.T) {
	testParts(t, func(t *testing.T, p *partTest) {
		for range enoughCrashes {
			p.crashSeries(1, crashID)
			time.Sleep(6 * time.Minute)
		}
		require.False(t, p.refuses(crashID))
	})
}
