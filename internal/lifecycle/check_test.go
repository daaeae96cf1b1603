package lifecycle

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds of the checker, larger by hand.
var (
	maxFaults  = flag.Int("faults", 2, "faults in a history that the exhaustive check begins")
	maxWaits   = flag.Int("waits", 4, "waits in a history of the exhaustive check")
	walks      = flag.Int("walks", 150, "random walks")
	walkSeed   = flag.Uint64("walk-seed", 1, "seed of the first random walk")
	walkLength = flag.Int("walk-length", 60, "actions in a random walk")
	budget     = flag.Duration("check-budget", 0, "time after which a check stops; zero for none")
)

// small is two replicas of two VMs and one spare.
var small = worldOptions{domains: 1, vms: 5, size: 2}

// left is what a history may still hold.
type left struct{ faults, waits int8 }

// covers reports whether what was explored with l holds all that o allows.
func (l left) covers(o left) bool { return l.faults >= o.faults && l.waits >= o.waits }

// explorer goes through all histories within bounds, depth first, each state once for
// what is left.
type explorer struct {
	deadline time.Time
	shards   [64]struct {
		mu   sync.Mutex
		seen map[uint64]left
	}
	states atomic.Int64
	ended  atomic.Bool

	mu    sync.Mutex
	found []action
}

// visit reports whether a state is to be explored with what is left.
func (e *explorer) visit(w *world, l left) bool {
	key := w.hash()
	shard := &e.shards[key%uint64(len(e.shards))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if before, there := shard.seen[key]; there && before.covers(l) {
		return false
	}
	shard.seen[key] = l
	return true
}

// explore goes through what may follow a history.
func (e *explorer) explore(w *world, history []action, l left) {
	for _, a := range w.actions() {
		if e.ended.Load() {
			return
		}
		e.try(w, history, a, l)
	}
}

// try explores one action after a history.
func (e *explorer) try(w *world, history []action, a action, l left) {
	switch {
	case a.kind == actWait:
		l.waits--
	case !a.ends():
		l.faults--
	}
	if l.waits < 0 || l.faults < 0 {
		return
	}
	child := w.clone()
	child.do(a)
	history = append(history[:len(history):len(history)], a)
	if e.states.Add(1)%1024 == 0 && !e.deadline.IsZero() && time.Now().After(e.deadline) {
		e.ended.Store(true)
	}
	if child.violation != "" {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.found = history
		e.ended.Store(true)
		return
	}
	if e.visit(child, l) {
		e.explore(child, history, l)
	}
}

// exploration is what an exhaustive check has found.
type exploration struct {
	// history breaks a rule; nil for none.
	history []action
	states  int64
	// whole is false if the time ran out.
	whole bool
}

// explore goes through all histories on a world, on all processors.
func explore(start *world, faults, waits int, limit time.Duration) exploration {
	e := &explorer{}
	for i := range e.shards {
		e.shards[i].seen = make(map[uint64]left)
	}
	if limit > 0 {
		e.deadline = time.Now().Add(limit)
	}
	l := left{int8(faults), int8(waits)}
	pairs := openings(start)
	var at atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := at.Add(1) - 1; i < int64(len(pairs)) && !e.ended.Load(); i = at.Add(1) - 1 {
				e.open(start, pairs[i], l)
			}
		})
	}
	wg.Wait()
	found := exploration{states: e.states.Load(), whole: !e.ended.Load()}
	if e.found != nil {
		found.history = shrink(start, e.found, func(w *world) bool { return w.violation != "" })
	}
	return found
}

// openings are all pairs of first actions: the work that is shared out.
func openings(start *world) (pairs [][2]action) {
	for _, first := range start.actions() {
		w := start.clone()
		w.do(first)
		for _, second := range w.actions() {
			pairs = append(pairs, [2]action{first, second})
		}
	}
	return pairs
}

// open explores what follows a pair of first actions.
func (e *explorer) open(start *world, pair [2]action, l left) {
	switch {
	case pair[0].kind == actWait:
		l.waits--
	case !pair[0].ends():
		l.faults--
	}
	if l.faults < 0 || l.waits < 0 {
		return
	}
	w := start.clone()
	w.do(pair[0])
	e.try(w, []action{pair[0]}, pair[1], l)
}

// Every history of a few faults in a small world: no VM is in two replicas, nothing opens that is not whole.
func TestSmallWorldExhaustively(t *testing.T) {
	start := settled(small)
	open, possible := start.serving()
	require.Equal(t, possible, open)
	began := time.Now()
	found := explore(start, *maxFaults, *maxWaits, *budget)
	t.Logf("%d states, whole=%t, %.0f states a second", found.states, found.whole, float64(found.states)/time.Since(began).Seconds())
	if found.history != nil {
		t.Fatalf("a rule breaks:\n%s", table(start, found.history))
	}
}

// sizes are the worlds of random walks, from small ones to the users' domains.
var sizes = []worldOptions{
	{domains: 1, vms: 5, size: 2},
	{domains: 2, vms: 9, size: 4},
	{domains: 6, vms: 9, size: 3, cold: true},
	{domains: 3, vms: 18, size: 8},
}

// healWithin is how long after the last fault every VM that suffices for a replica serves again.
const healWithin = 60 * time.Second

// walk plays random faults and returns what was played and the world after it.
func walk(start *world, seed uint64, length int) (*world, []action) {
	random := rand.New(rand.NewPCG(seed, 0))
	w := start.clone()
	var history []action
	for len(history) < length && w.violation == "" {
		possible := w.actions()
		a := possible[random.IntN(len(possible))]
		if random.IntN(2) == 0 {
			a = action{actWait, -1}
		}
		w.do(a)
		history = append(history, a)
	}
	return w, history
}

// recover ends all faults and waits; a world that does not serve then breaks its aim.
func (w *world) recover() {
	if w.violation != "" {
		return
	}
	w.heal()
	w.runFor(healWithin)
	w.checkLoads()
	if open, possible := w.serving(); open < possible {
		w.violate("%d replicas serve of %d, %s after the last fault", open, possible, healWithin)
	}
}

// Random faults on worlds up to the users' domains: the rules hold, and when faults end every VM serves again.
func TestRandomWalks(t *testing.T) {
	starts := make([]*world, len(sizes))
	for i, size := range sizes {
		starts[i] = settled(size)
	}
	began := time.Now()
	var failed atomic.Int64
	var at atomic.Uint64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := at.Add(1) - 1; i < uint64(*walks) && failed.Load() < 3; i = at.Add(1) - 1 {
				if *budget > 0 && time.Since(began) > *budget {
					return
				}
				seed := *walkSeed + i
				start := starts[int(seed)%len(starts)]
				w, history := walk(start, seed, *walkLength)
				w.recover()
				if w.violation == "" {
					continue
				}
				failed.Add(1)
				t.Errorf("seed %d: %s\n%s", seed, w.violation, shrunk(start, history, w.violation))
			}
		})
	}
	wg.Wait()
	t.Logf("%d walks of %d actions in %s", min(at.Load(), uint64(*walks)), *walkLength, time.Since(began).Round(time.Millisecond))
}

// shrunk is the shortest history found that breaks what the violation names.
func shrunk(start *world, history []action, violation string) string {
	liveness := strings.Contains(violation, "after the last fault")
	fails := func(w *world) bool {
		if liveness {
			w.recover()
		}
		return w.violation != "" && strings.Contains(w.violation, "after the last fault") == liveness
	}
	history = shrink(start, history, fails)
	return fmt.Sprint(table(start, history), history)
}
