package health

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

type fakeEngines struct {
	mu    sync.Mutex
	state map[string]engine.State
	calls int
}

func (f *fakeEngines) State(_ context.Context, addr string) (engine.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	state, ok := f.state[addr]
	if !ok {
		return state, &engine.CallError{Kind: engine.CallNoAnswer, Op: "state", Addr: addr, Err: errors.New("silent")}
	}
	return state, nil
}

func (f *fakeEngines) BriefState(ctx context.Context, addr string) (engine.State, error) {
	state, err := f.State(ctx, addr)
	return state.Brief(), err
}

func (f *fakeEngines) set(addr string, state *engine.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.state, addr)
	if state != nil {
		f.state[addr] = *state
	}
}

// A member fails while the replica is idle; later the serving VM stops responding. The
// replica must become unhealthy with the next poll, so that no requests are sent to it.
func TestCheckerPollsAndNotifies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{state: make(map[string]engine.State)}
		checker := New(Options{Engines: engines, Log: slog.New(slog.DiscardHandler)})
		var transitions []Transition
		loads := 0
		checker.OnChange(func(r cluster.Replica, healthy bool, reason string) {
			transitions = append(transitions, Transition{Replica: r, Healthy: healthy, Reason: reason})
		})
		checker.OnLoad(func(cluster.Replica, engine.Load) { loads++ })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { checker.Run(ctx); close(done) }()

		checker.SetVMs(cluster.VMList{AsOf: time.Now(), VMs: []cluster.VM{{ID: "a", Addr: "a:1", State: cluster.VMLive}}})
		checker.SetGrouping(cluster.Grouping{Zone: "z", Revision: 5, Replicas: []cluster.Replica{testReplica}})
		good := stateOf(testReplica)
		engines.set("a:1", &good)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.True(t, checker.Healthy("r1", 2))
		require.False(t, checker.Healthy("r1", 1))
		require.True(t, checker.Status()[0].Healthy)

		bad := stateOf(testReplica)
		bad.Members[2].Generation = 1
		engines.set("a:1", &bad)
		time.Sleep(testBounds.PollIdle + tickInterval)
		synctest.Wait()
		require.False(t, checker.Healthy("r1", 2))
		require.False(t, checker.Status()[0].OwnBrokenAt.IsZero())
		require.Equal(t, "VM c is in r1 generation 1", checker.Status()[0].Reason)

		engines.set("a:1", &good)
		time.Sleep(testBounds.PollUnhealthy + tickInterval)
		engines.set("a:1", nil)
		checker.RequestPoll("r1")
		time.Sleep(tickInterval)
		synctest.Wait()
		cancel()
		<-done
		var healthy []bool
		for _, tr := range transitions {
			healthy = append(healthy, tr.Healthy)
		}
		require.Equal(t, []bool{true, false, true, false}, healthy)
		require.Positive(t, loads)
	})
}
