package player

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/call"
)

const (
	// crashDelay is how long a request that crashes servers runs before it does.
	crashDelay = 100 * time.Millisecond
	// crashDownTime is how long a crashed server is down.
	crashDownTime = 2500 * time.Millisecond
	// crashRequestPause is the pause of a caller before it sends such a request again.
	crashRequestPause = 50 * time.Millisecond
	// crashRequestTokens is the size of the prompt and of the answer of such a request.
	crashRequestTokens = 500
)

// crashRequestBody marks the requests that crash servers.
var crashRequestBody = []byte("crash")

func isCrashRequest(c *call.Call) bool {
	return string(c.Body) == string(crashRequestBody) || slices.Contains(c.PromptParts, crashPart)
}

// sendCrashRequests sends a request that crashes servers again and again, each time through
// another node, until the end of the fault.
func (sys *Simulation) sendCrashRequests(f Fault) {
	kind := sys.kindOf(f.Model)
	rng := rand.New(rand.NewPCG(sys.opts.Seed, 8))
	end := time.Now().Add(f.Duration)
	for try := 0; time.Now().Before(end); try++ {
		n := sys.pickNode(rng)
		id := fmt.Sprintf("crash-%d", try)
		sys.callers.attempt(n, kind, request{id: id, uri: "/crash", body: crashRequestBody, parts: promptParts(kind, "crash"), sent: time.Now(),
			prompt: crashRequestTokens, answer: crashRequestTokens, hint: crashRequestTokens})
		time.Sleep(crashRequestPause)
	}
}

const (
	// crashPart is the part of a prompt that crashes servers.
	crashPart = 0xdead
	// firstParts is the number of first parts of a kind's prompts, secondParts that of the second
	// parts that occur with each of them.
	firstParts  = 4
	secondParts = 6
)

// promptParts returns the parts of a call's prompt. The last one is its own.
func promptParts(k *CallKind, id string) []uint64 {
	h := xxhash.Sum64String(id)
	first := xxhash.Sum64String(k.Name) + h%firstParts
	return []uint64{first, xxhash.Sum64String(fmt.Sprint(first, h/firstParts%secondParts)), h}
}

// sendCrashPart sends new requests that hold crashPart, each through another node,
// until the end of the fault. Other calls share their other parts.
func (sys *Simulation) sendCrashPart(f Fault) {
	kind := sys.kindOf(f.Model)
	shared := promptParts(kind, "crash-part")
	rng := rand.New(rand.NewPCG(sys.opts.Seed, 9))
	end := time.Now().Add(f.Duration)
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / f.Factor * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		id, n := fmt.Sprintf("crash-part-%d", i), sys.pickNode(rng)
		r := request{id: id, uri: "/" + id, parts: []uint64{crashPart, shared[1], uint64(i)}, sent: time.Now(), prompt: crashRequestTokens, answer: crashRequestTokens, hint: crashRequestTokens}
		if f.Middle {
			r.parts = []uint64{shared[0], crashPart, shared[1], uint64(i)}
		}
		sys.callers.inFlight.Go(func() { sys.callers.attempt(n, kind, r) })
	}
}

// kindOf returns the first kind of call to the model.
func (sys *Simulation) kindOf(model string) *CallKind {
	for i := range sys.scenario.Kinds {
		if k := &sys.scenario.Kinds[i]; k.Model == model {
			return k
		}
	}
	return &sys.scenario.Kinds[0]
}

// crashHeads crashes the heads of some replicas at once.
func (w *world) crashHeads(f Fault) {
	w.mu.Lock()
	heads := make(map[*vm]*head)
	for _, v := range w.servingMembers(f.Zone, f.Model) {
		if v.head != nil && len(heads) < f.Count {
			heads[v] = v.head
		}
	}
	w.mu.Unlock()
	for v, h := range heads {
		w.crash(v, h)
	}
}

// crash ends the server process of the VM that is the head of a replica, which ends all
// connections. It starts again after crashDownTime.
func (w *world) crash(v *vm, h *head) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.dead || v.head != h {
		return
	}
	w.crashes = append(w.crashes, time.Now())
	v.crashed = true
	h.fail()
	v.head = nil
	w.kill(v)
	time.AfterFunc(crashDownTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if v.crashed && w.ctx.Err() == nil {
			w.revive(v)
		}
	})
}
