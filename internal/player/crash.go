package player

import (
	"fmt"
	"math/rand/v2"
	"time"

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

func isCrashRequest(c *call.Call) bool { return string(c.Body) == string(crashRequestBody) }

// sendCrashRequests sends a request that crashes servers again and again, each time through
// another node, until the end of the fault.
func (sys *Simulation) sendCrashRequests(f Fault) {
	kind := sys.kindOf(f.Model)
	rng := rand.New(rand.NewPCG(sys.opts.Seed, 8))
	end := time.Now().Add(f.Duration)
	for try := 0; time.Now().Before(end); try++ {
		n := sys.pickNode(rng)
		id := fmt.Sprintf("crash-%d", try)
		sys.callers.attempt(n, kind, id, "/crash", crashRequestBody, time.Now(), crashRequestTokens, crashRequestTokens, crashRequestTokens, "")
		time.Sleep(crashRequestPause)
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
