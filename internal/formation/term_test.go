package formation

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/grouping"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// fakeOrders answers orders and probes; VMs in silent answer nothing, and those in once
// only from the second probe on.
type fakeOrders struct {
	mu     sync.Mutex
	silent map[cluster.VMID]bool
	once   map[cluster.VMID]bool
}

func (f *fakeOrders) Send(_ context.Context, to fleet.Server, _ lifecycle.Order) (lifecycle.Response, error) {
	if f.silent[to.ID] {
		return "", &SendError{VM: to.ID, Err: context.DeadlineExceeded}
	}
	return lifecycle.Accepted, nil
}

func (f *fakeOrders) Probe(_ context.Context, vm fleet.Server) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[vm.ID] || f.once[vm.ID] {
		delete(f.once, vm.ID)
		return &SendError{VM: vm.ID, Err: context.DeadlineExceeded}
	}
	return nil
}

func newTestTerm(t *testing.T, orders OrderClient) *term {
	lease, err := grouping.AcquireLease(t.Context(), memstore.New(memstore.Options{}), "here", "node", time.Minute)
	require.NoError(t, err)
	set := rules.Assemble(rules.Set{Groups: []rules.Group{{Name: "m", Model: "m", VMs: 2, Servers: "models", ColdLoad: time.Second, WarmLoad: time.Second}}})
	return newTerm(Options{Scope: "here", Rules: func() *rules.Set { return set }, UnmeteredLoads: func() bool { return true },
		Client: orders, Policy: placement.Mix{}, Log: slog.New(slog.DiscardHandler)}, lease, make(map[cluster.VMID]fleet.Server))
}

func servers(ids ...cluster.VMID) (out []fleet.Server) {
	for _, id := range ids {
		out = append(out, fleet.Server{ID: id, Service: "models", Slots: 1, Born: time.Unix(1, 0)})
	}
	return out
}

// An order without an answer must come back to the machine as such: it may still be carried out.
func TestOutcomesOfOrdersAreReported(t *testing.T) {
	term := newTestTerm(t, &fakeOrders{silent: map[cluster.VMID]bool{"b": true}})
	now := time.Now()
	term.step(t.Context(), fleet.List{Revision: 9, ReadAt: now, Servers: servers("a", "b")}, time.Minute, nil, now)
	term.wait()
	in := term.takeReports()
	require.Len(t, in.OrderResults, 2)
	for _, a := range in.OrderResults {
		require.Equal(t, lifecycle.Join, a.Order.Kind)
		require.Equal(t, a.To.ID == "b", a.Err != nil)
	}
	require.Empty(t, term.takeReports().OrderResults, "each outcome is told once")
}

// Why a VM counts as down must be in the log: a refused connection is another matter than a timeout.
func TestWhyAProbeFailedIsLogged(t *testing.T) {
	var out bytes.Buffer
	term := newTestTerm(t, &fakeOrders{silent: map[cluster.VMID]bool{"b": true}})
	term.opts.Log = slog.New(slog.NewTextHandler(&out, nil))
	term.probeMembers(t.Context(), lifecycle.ReplicaProbe{Replica: "m/1.1", Members: servers("a", "b")})
	require.Contains(t, out.String(), context.DeadlineExceeded.Error())
	out.Reset()
	term.probeMissing(t.Context(), servers("b")[0])
	require.Contains(t, out.String(), context.DeadlineExceeded.Error())
}

// One lost probe, or a node that reaches nobody, must not make VMs count as down.
func TestOnlyMembersSilentTwiceAreDown(t *testing.T) {
	for _, c := range []struct {
		name         string
		silent, once []cluster.VMID
		down         []cluster.VMID
	}{
		{name: "all answer"},
		{name: "one probe lost", once: []cluster.VMID{"a"}},
		{name: "nobody answers", silent: []cluster.VMID{"a", "b", "c"}},
		{name: "one is silent", silent: []cluster.VMID{"b"}, once: []cluster.VMID{"c"}, down: []cluster.VMID{"b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			orders := &fakeOrders{silent: make(map[cluster.VMID]bool), once: make(map[cluster.VMID]bool)}
			for _, vm := range c.silent {
				orders.silent[vm] = true
			}
			for _, vm := range c.once {
				orders.once[vm] = true
			}
			term := newTestTerm(t, orders)
			term.probeMembers(t.Context(), lifecycle.ReplicaProbe{Replica: "m/1.1", Members: servers("a", "b", "c")})
			var down []cluster.VMID
			for _, s := range term.takeReports().Unresponsive {
				down = append(down, s.ID)
			}
			require.Equal(t, c.down, down)
		})
	}
}
