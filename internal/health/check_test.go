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

// A member dies while the replica is idle, and the whole replica falls silent
// later. Callers must not be sent there once the next poll has shown it.
func TestCheckPollsAndTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{state: make(map[string]engine.State)}
		check := New(Options{Engines: engines, Log: slog.New(slog.DiscardHandler)})
		var told []Transition
		loads := 0
		check.OnChange(func(r cluster.Replica, whole bool, reason string) {
			told = append(told, Transition{Replica: r, Healthy: whole, Reason: reason})
		})
		check.OnLoad(func(cluster.Replica, engine.Load) { loads++ })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { check.Run(ctx); close(done) }()

		check.SetVMs(cluster.VMList{AsOf: time.Now(), VMs: []cluster.VM{{ID: "a", Addr: "a:1", State: cluster.VMLive}}})
		check.SetGrouping(cluster.Grouping{Zone: "z", Revision: 5, Replicas: []cluster.Replica{testReplica}})
		good := stateOf(testReplica)
		engines.set("a:1", &good)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.True(t, check.Healthy("r1", 2))
		require.False(t, check.Healthy("r1", 1))
		require.True(t, check.Status()[0].Healthy)

		bad := stateOf(testReplica)
		bad.Members[2].Generation = 1
		engines.set("a:1", &bad)
		time.Sleep(testBounds.PollIdle + tick)
		synctest.Wait()
		require.False(t, check.Healthy("r1", 2))
		require.False(t, check.Status()[0].OwnBrokenAt.IsZero())
		require.Equal(t, "VM c is in r1 generation 1", check.Status()[0].Reason)

		engines.set("a:1", &good)
		time.Sleep(testBounds.PollUnhealthy + tick)
		engines.set("a:1", nil)
		check.RequestPoll("r1")
		time.Sleep(tick)
		synctest.Wait()
		cancel()
		<-done
		var whole []bool
		for _, tr := range told {
			whole = append(whole, tr.Healthy)
		}
		require.Equal(t, []bool{true, false, true, false}, whole)
		require.Positive(t, loads)
	})
}
