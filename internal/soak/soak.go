package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// Result of one run.
type Result struct {
	Seed uint64
	// Completed, Refused and Failed count calls by what came of them.
	Completed, Refused, Failed int
	// Faults lists what was broken; Findings which promises were not kept.
	Faults   []string
	Findings []string
}

// fault breaks something; the func that it returns heals it.
type fault struct {
	name string
	do   func(w *Environment, rnd *rand.Rand) (heal func())
}

var nothing = func() {}

// faults are what may happen at any moment, together or twice.
var faults = []fault{
	{"kill a node", func(w *Environment, rnd *rand.Rand) func() {
		n := w.anyNode(rnd)
		n.kill()
		return func() { w.restart(n) }
	}},
	{"pause a node", func(w *Environment, rnd *rand.Rand) func() {
		n := w.anyNode(rnd)
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}},
	{"reload a node", func(w *Environment, rnd *rand.Rand) func() { w.anyNode(rnd).signal(syscall.SIGHUP); return nothing }},
	{"cut a node off the store", storeMode(Disconnect)},
	{"silence a node's store", storeMode(DropResponses)},
	{"slow a node's store", storeMode(Delay)},
	{"reset a node's connections to the store", func(w *Environment, rnd *rand.Rand) func() { w.anyNode(rnd).store.Reset(); return nothing }},
	{"cut a server off", serverMode(Disconnect)},
	{"silence a server", serverMode(DropResponses)},
	{"slow a server", serverMode(Delay)},
	{"reset a server's connections", func(w *Environment, rnd *rand.Rand) func() { w.anyProxy(rnd).Reset(); return nothing }},
	{"kill a VM that serves", killMember(0)},
	{"kill another member", killMember(1)},
	{"drain a VM", func(w *Environment, rnd *rand.Rand) func() {
		if heads := w.fleet.OpenHeads("m3"); len(heads) > 0 {
			heads[0].Drain()
		}
		w.replaceVM(rnd)
		return nothing
	}},
	{"the store is down", storeFaults(memstore.Faults{Down: true})},
	{"the store is down, and nobody can tell", storeFaults(memstore.Faults{Down: true, DownUnknown: true})},
	{"the store is slow", storeFaults(memstore.Faults{Delay: 200 * time.Millisecond})},
	{"the store loses answers", storeFaults(memstore.Faults{LoseAnswers: 3})},
	{"the store drops writes", storeFaults(memstore.Faults{DropWrites: 2})},
	{"the store forgets its history", func(w *Environment, _ *rand.Rand) func() { w.mem.Compact(w.mem.Revision()); return nothing }},
	{"leases end", func(w *Environment, _ *rand.Rand) func() { w.mem.ExpireLeases(); return nothing }},
	{"the configuration changes", func(w *Environment, _ *rand.Rand) func() { _ = w.configure(""); return nothing }},
}

// ailingOneIn is how many calls there are to one that an ailing server treats badly. Every
// second attempt after a broken one then meets another failure now and then, and the
// repeats' budget still lasts.
const ailingOneIn = 4

// ailment is what the servers suffer from while the faults come and go. It is no fault
// of the list: recorded seeds draw from that.
var ailment = standin.Faults{Kinds: []standin.Fault{standin.FaultServerError, standin.FaultTruncated, standin.FaultWrongResponse, standin.FaultMissingEvent}, OneIn: ailingOneIn}

func storeMode(mode ProxyMode) func(*Environment, *rand.Rand) func() {
	return func(w *Environment, rnd *rand.Rand) func() {
		p := w.anyNode(rnd).store
		p.SetMode(mode)
		return func() { p.SetMode(Forward) }
	}
}

func serverMode(mode ProxyMode) func(*Environment, *rand.Rand) func() {
	return func(w *Environment, rnd *rand.Rand) func() {
		p := w.anyProxy(rnd)
		p.SetMode(mode)
		return func() { p.SetMode(Forward) }
	}
}

func storeFaults(f memstore.Faults) func(*Environment, *rand.Rand) func() {
	return func(w *Environment, _ *rand.Rand) func() {
		w.mem.SetFaults(f)
		return func() { w.mem.SetFaults(memstore.Faults{}) }
	}
}

// killMember kills the member of that rank of some replica, and a new VM comes.
func killMember(rank int) func(*Environment, *rand.Rand) func() {
	return func(w *Environment, rnd *rand.Rand) func() {
		model := []string{"m3", "m2"}[rnd.IntN(2)]
		if heads := w.fleet.OpenHeads(model); len(heads) > 0 {
			if members := heads[0].Members(); rank < len(members) && members[rank] != nil {
				members[rank].Kill()
			}
		}
		return func() { w.replaceVM(rnd) }
	}
}

func (w *Environment) anyNode(rnd *rand.Rand) *node { return w.nodes[rnd.IntN(len(w.nodes))] }

func (w *Environment) anyProxy(rnd *rand.Rand) *Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proxies[rnd.IntN(len(w.proxies))]
}

func (w *Environment) replaceVM(rnd *rand.Rand) {
	if err := w.addVM(rnd.IntN(domains)); err != nil {
		w.opts.Log("no new VM: %v", err)
	}
}

func (w *Environment) restart(n *node) {
	if err := n.start(); err != nil {
		w.opts.Log("%s not started again: %v", n.name, err)
	}
}

// Bounds of the random series.
const (
	minGap, maxGap   = 100 * time.Millisecond, 700 * time.Millisecond
	minHold, maxHold = 200 * time.Millisecond, 2500 * time.Millisecond
	stopLimit        = 12 * time.Second
)

func between(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Int64N(int64(high-low)))
}

// Run plays one seed.
func Run(opts Options) (Result, error) {
	result := Result{Seed: opts.Seed}
	w, err := newWorld(opts)
	if err != nil {
		return result, err
	}
	defer w.close()
	if err := w.allServed("start"); err != nil {
		return result, err
	}
	rnd := rand.New(rand.NewPCG(opts.Seed, 0))
	callers := startCallers(w, opts.Callers, opts.Seed)
	result.Faults = w.breakThings(rnd)
	if err := w.allServed("afterwards"); err != nil {
		result.Findings = append(result.Findings, err.Error())
	}
	for _, n := range w.nodes {
		if err := n.stop(stopLimit); err != nil {
			result.Findings = append(result.Findings, err.Error())
		}
	}
	w.check(callers.end(), &result)
	return result, nil
}

// breakThings runs faults that overlap, and heals them all in the end.
func (w *Environment) breakThings(rnd *rand.Rand) (names []string) {
	type healing struct {
		at   time.Time
		heal func()
	}
	var pending []healing
	healDue := func(all bool) {
		kept := pending[:0]
		for _, h := range pending {
			if all || time.Now().After(h.at) {
				h.heal()
				continue
			}
			kept = append(kept, h)
		}
		pending = kept
	}
	if w.opts.ServerFaults {
		w.fleet.SetFaults(ailment)
		defer w.fleet.SetFaults(standin.Faults{})
	}
	end := time.Now().Add(w.opts.FaultDuration)
	for time.Now().Before(end) {
		f := faults[rnd.IntN(len(faults))]
		names = append(names, f.name)
		w.opts.Log("%s", f.name)
		heal := f.do(w, rnd)
		pending = append(pending, healing{time.Now().Add(between(rnd, minHold, maxHold)), heal})
		time.Sleep(between(rnd, minGap, maxGap))
		healDue(false)
	}
	healDue(true)
	return names
}

// check compares what callers got with what backend servers did.
func (w *Environment) check(calls []Call, result *Result) {
	find := func(format string, args ...any) {
		result.Findings = append(result.Findings, fmt.Sprintf(format, args...))
	}
	for _, c := range calls {
		runs := w.fleet.Runs(c.ID)
		switch {
		case c.Err != nil:
			result.Failed++
		case c.Status == http.StatusOK:
			result.Completed++
			if c.Body != wholeAnswer(c) {
				find("%s got an answer that looks whole and is not: %q", c.ID, c.Body)
			}
		default:
			result.Refused++
		}
		if c.Unsafe && runs > 1 {
			find("%s may run once and ran %d times", c.ID, runs)
		}
		if promised(c) && runs > 0 {
			find("%s was told by %d that it did not run, and ran %d times", c.ID, c.Status, runs)
		}
	}
	for _, wrong := range w.fleet.Violations() {
		find("%s", wrong)
	}
	for _, n := range w.nodes {
		result.Findings = append(result.Findings, n.ownEnds...)
		if n.panics() {
			find("%s: the log shows a crash of the program", n.name)
		}
	}
	if result.Completed == 0 {
		find("nobody was served")
	}
}

// promised reports whether a call's answer says that it did not run.
func promised(c Call) bool {
	if c.Err != nil {
		return false
	}
	switch c.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
