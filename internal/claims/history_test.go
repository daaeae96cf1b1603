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

// step is one event of a random history. With faults set the store changes its
// behaviour, with key set a caller sends a call; then time passes.
type step struct {
	faults *memstore.Faults
	key    string
	body   string
	node   int
	fate   fate
	then   time.Duration
}

func drawStep(kills bool) *rapid.Generator[step] {
	lastFate := fateAnswerLost
	if kills {
		lastFate = fates - 1
	}
	return rapid.Custom(func(t *rapid.T) step {
		s := step{then: rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 20 * time.Millisecond, time.Second, time.Minute}).Draw(t, "then")}
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
		s.fate = fate(rapid.IntRange(0, int(lastFate)).Draw(t, "fate"))
		return s
	})
}

// replayer runs a history, the calls side by side, and keeps the replies by key
// and a broken promise.
type replayer struct {
	store   *memstore.Store
	backend backend
	nodes   [historyNodes]*node
	starts  uint64

	mu      sync.Mutex
	replies map[string][]reply
	kills   int
	broken  string
}

func (r *replayer) start(i int) {
	r.starts++
	r.nodes[i] = startNode(r.store, cluster.NodeID(fmt.Sprintf("n%d", i)), r.starts)
}

func (r *replayer) replay(history []step) {
	var calls sync.WaitGroup
	for i := range r.nodes {
		r.start(i)
	}
	for _, s := range history {
		if s.faults != nil {
			r.store.SetFaults(*s.faults)
		} else {
			if r.nodes[s.node].link.dead.Load() {
				r.start(s.node)
			}
			n := r.nodes[s.node]
			calls.Go(func() { r.call(n, s) })
		}
		time.Sleep(s.then)
	}
	calls.Wait()
	r.store.SetFaults(memstore.Faults{})
	time.Sleep(2 * time.Minute)
	r.checkRepeats()
	for _, n := range r.nodes {
		n.kill()
	}
}

func (r *replayer) call(n *node, s step) {
	got, alive := serve(context.Background(), n, &r.backend, callOf(s.key, s.body), s.fate)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !alive {
		r.kills++
		return
	}
	r.replies[s.key] = append(r.replies[s.key], got)
	r.check(s.key, got)
}

func (r *replayer) check(key string, got reply) {
	runs := r.backend.count(key)
	switch {
	case runs > 1:
		r.broken = fmt.Sprintf("%s ran %d times", key, runs)
	case got.run == fennelerr.Ran && (runs != 1 || got != ran.withKey(key)):
		r.broken = fmt.Sprintf("%s: answered %+v after %d runs", key, got, runs)
	case got.run == "":
		r.broken = fmt.Sprintf("%s: %+v doesn't say whether it ran", key, got)
	}
}

// checkRepeats sends every key once more. One that never ran, at no node that
// was killed, must go through now: its callers were told to come back.
func (r *replayer) checkRepeats() {
	for k := range historyKeys {
		key := fmt.Sprintf("k%d", k)
		free := r.kills == 0 && r.backend.count(key) == 0
		for i, n := range r.nodes {
			if n.link.dead.Load() {
				continue
			}
			got, _ := serve(context.Background(), n, &r.backend, callOf(key, "body0"), fateOK)
			r.check(key, got)
			if free && got.run != fennelerr.Ran {
				r.broken = fmt.Sprintf("%s never ran, yet node %d answers %+v after %+v", key, i, got, r.replies[key])
			}
			time.Sleep(time.Second)
		}
	}
}

func runHistory(t *testing.T, history []step) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		r := &replayer{store: newStore(t), replies: make(map[string][]reply)}
		r.replay(history)
		broken = r.broken
	})
	return broken
}

// Everything happens at once: callers repeat, nodes die, the store loses writes
// and answers. Whatever the order, a customer is charged once at most, and what
// was refused as not run can be sent again.
func TestRandomHistories(t *testing.T) {
	for name, kills := range map[string]bool{"nodes live": false, "nodes die": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				history := rapid.SliceOfN(drawStep(kills), 1, 25).Draw(rt, "history")
				if broken := runHistory(t, history); broken != "" {
					rt.Fatal(broken)
				}
			})
		})
	}
}

// naive is what claims would be with one node, one thread and no failures.
type naive map[string]naiveClaim

type naiveClaim struct {
	body  string
	reply reply
}

func (m naive) serve(s step) reply {
	if c, ok := m[s.key]; ok {
		if c.body != s.body {
			return reused
		}
		return c.reply
	}
	switch s.fate {
	case fateNotStarted:
		return notStarted
	case fateAnswerLost:
		m[s.key] = naiveClaim{s.body, unknown}
		return unknown
	default:
		m[s.key] = naiveClaim{s.body, ran.withKey(s.key)}
		return ran.withKey(s.key)
	}
}

func TestSameAsNaiveWithoutFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := rapid.SliceOfN(drawStep(false), 1, 25).Draw(rt, "history")
		var got, want []reply
		synctest.Test(t, func(t *testing.T) {
			r := &replayer{store: newStore(t)}
			model := make(naive)
			for i := range r.nodes {
				r.start(i)
				defer r.nodes[i].kill()
			}
			for _, s := range history {
				if s.faults != nil {
					continue
				}
				reply, _ := serve(t.Context(), r.nodes[s.node], &r.backend, callOf(s.key, s.body), s.fate)
				got, want = append(got, reply), append(want, model.serve(s))
				settle()
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
		at, timed := keyTime(key)
		if err == nil && (!timed || now.Sub(at) > DefaultRetention || at.Sub(now) > MaxClockSkew) {
			t.Fatalf("key %q of %v accepted at %v", key, at, now)
		}
	})
}
