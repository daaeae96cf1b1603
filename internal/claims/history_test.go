package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

const (
	historyNodes  = 3
	historyKeys   = 3
	historyBodies = 2
)

// step is one event of a random history: with faults set, the store changes its
// behaviour; otherwise a caller sends a call. Then the clock advances by pause.
type step struct {
	faults *memstore.Faults
	key    string
	body   string
	node   int
	end    ending
	pause  time.Duration
}

func drawStep(kills bool) *rapid.Generator[step] {
	lastEnding := endsAnswerLost
	if kills {
		lastEnding = endingCount - 1
	}
	return rapid.Custom(func(t *rapid.T) step {
		s := step{pause: rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 20 * time.Millisecond, time.Second, time.Minute}).Draw(t, "then")}
		if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			f := rapid.SampledFrom([]memstore.Faults{
				{},
				{Down: true},
				{Down: true, DownUnknown: true},
				{Delay: 5 * time.Millisecond},
				{Delay: time.Hour},
				{LoseAnswers: 1},
				{DropWrites: 1},
				{LoseAnswers: 5, DropWrites: 1},
				{LoseAnswers: 100},
			}).Draw(t, "faults")
			s.faults = &f
			return s
		}
		s.key = fmt.Sprintf("k%d", rapid.IntRange(0, historyKeys-1).Draw(t, "key"))
		s.body = fmt.Sprintf("body%d", rapid.IntRange(0, historyBodies-1).Draw(t, "body"))
		s.node = rapid.IntRange(0, historyNodes-1).Draw(t, "node")
		s.end = ending(rapid.IntRange(0, int(lastEnding)).Draw(t, "fate"))
		return s
	})
}

// historyRunner runs the calls of a history concurrently. It keeps the replies by key
// and the last violation of a guarantee.
type historyRunner struct {
	store   *memstore.Store
	backend backend
	nodes   [historyNodes]*node
	starts  uint64

	mu        sync.Mutex
	replies   map[string][]reply
	kills     int
	violation string
}

func (r *historyRunner) start(i int) {
	r.starts++
	r.nodes[i] = startNode(r.store, cluster.NodeID(fmt.Sprintf("n%d", i)), r.starts)
}

func (r *historyRunner) replay(history []step) {
	var calls sync.WaitGroup
	for i := range r.nodes {
		r.start(i)
	}
	for _, s := range history {
		if s.faults != nil {
			r.store.SetFaults(*s.faults)
		} else {
			if r.nodes[s.node].store.killed.Load() {
				r.start(s.node)
			}
			n := r.nodes[s.node]
			calls.Go(func() { r.call(n, s) })
		}
		time.Sleep(s.pause)
	}
	calls.Wait()
	r.store.SetFaults(memstore.Faults{})
	time.Sleep(2 * time.Minute)
	r.checkRepeats()
	for _, n := range r.nodes {
		n.kill()
	}
}

func (r *historyRunner) call(n *node, s step) {
	got, alive := serve(context.Background(), n, &r.backend, callOf(s.key, s.body), s.end)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !alive {
		r.kills++
		return
	}
	r.replies[s.key] = append(r.replies[s.key], got)
	r.check(s.key, got)
}

func (r *historyRunner) check(key string, got reply) {
	runs := r.backend.count(key)
	switch {
	case runs > 1:
		r.violation = fmt.Sprintf("%s ran %d times", key, runs)
	case got.run == fennelerr.Ran && (runs != 1 || got != ran.withKey(key)):
		r.violation = fmt.Sprintf("%s: answered %+v after %d runs", key, got, runs)
	case got.run == "":
		r.violation = fmt.Sprintf("%s: %+v has no run state", key, got)
	}
}

// checkRepeats sends every key once more. If no node was killed, a key that never ran
// must run now, because its callers were told that they may send it again.
func (r *historyRunner) checkRepeats() {
	for k := range historyKeys {
		key := fmt.Sprintf("k%d", k)
		free := r.kills == 0 && r.backend.count(key) == 0
		for i, n := range r.nodes {
			if n.store.killed.Load() {
				continue
			}
			got, _ := serve(context.Background(), n, &r.backend, callOf(key, "body0"), endsAnswered)
			r.check(key, got)
			if free && got.run != fennelerr.Ran {
				r.violation = fmt.Sprintf("%s never ran, yet node %d answers %+v after %+v", key, i, got, r.replies[key])
			}
			time.Sleep(time.Second)
		}
	}
}

func runHistory(t *testing.T, history []step) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		r := &historyRunner{store: newStore(t), replies: make(map[string][]reply)}
		r.replay(history)
		violation = r.violation
	})
	return violation
}

// Repeats, killed nodes and store faults (lost writes, lost answers, outages) occur in
// random order. Every key must run at most once, and a call that was refused as not
// run must succeed when it is sent again.
func TestRandomHistories(t *testing.T) {
	for name, kills := range map[string]bool{"nodes live": false, "nodes die": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				history := rapid.SliceOfN(drawStep(kills), 1, 25).Draw(rt, "history")
				if violation := runHistory(t, history); violation != "" {
					rt.Fatal(violation)
				}
			})
		})
	}
}

// sequentialModel is the expected behaviour of claims with one node, no concurrency
// and no failures.
type sequentialModel map[string]modelClaim

type modelClaim struct {
	body  string
	reply reply
}

func (m sequentialModel) serve(s step) reply {
	if c, ok := m[s.key]; ok {
		if c.body != s.body {
			return reused
		}
		return c.reply
	}
	switch s.end {
	case endsNotStarted:
		return notStarted
	case endsAnswerLost:
		m[s.key] = modelClaim{s.body, unknown}
		return unknown
	default:
		m[s.key] = modelClaim{s.body, ran.withKey(s.key)}
		return ran.withKey(s.key)
	}
}

func TestMatchesSequentialModelWithoutFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := rapid.SliceOfN(drawStep(false), 1, 25).Draw(rt, "history")
		var got, want []reply
		synctest.Test(t, func(t *testing.T) {
			r := &historyRunner{store: newStore(t)}
			model := make(sequentialModel)
			for i := range r.nodes {
				r.start(i)
				defer r.nodes[i].kill()
			}
			for _, s := range history {
				if s.faults != nil {
					continue
				}
				reply, _ := serve(t.Context(), r.nodes[s.node], &r.backend, callOf(s.key, s.body), s.end)
				got, want = append(got, reply), append(want, model.serve(s))
				waitForSettlements()
			}
		})
		require.Equal(rt, want, got)
	})
}

func FuzzCheckKey(f *testing.F) {
	f.Add("018cc251-f400-7abc-8def-0123456789ab", int64(1704067200000))
	f.Add("", int64(0))
	f.Add("ffffffff-ffff-7fff-ffff-ffffffffffff", int64(-1))
	f.Fuzz(func(t *testing.T, key string, nowMs int64) {
		now := time.UnixMilli(nowMs)
		err := checkKey(key, now, DefaultRetention, true)
		at, timed := keyTimestamp(key)
		if err == nil && (!timed || now.Sub(at) > DefaultRetention || at.Sub(now) > MaxClockSkew) {
			t.Fatalf("key %q of %v accepted at %v", key, at, now)
		}
	})
}
