package grouping

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

const testZone = cluster.ZoneID("z")

// testbed is a zone of fake engines with a VM list, rules and a store, in virtual time.
type testbed struct {
	t     *testing.T
	store *memstore.Store
	log   *slog.Logger

	mu      sync.Mutex
	list    cluster.VMList
	set     *rules.Set
	engines map[string]*fakeEngine // by address
	// beforeOrder runs before an order reaches its engine; it may block.
	beforeOrder func(order engine.Order)
	policy      placement.Policy
	loadsPerSec float64
	loadTime    time.Duration
	accepted    []engine.Order // accepted orders
}

type fakeEngine struct {
	state    engine.State
	down     bool
	loads    int // number of weight loads
	loadedAt time.Time
}

// currentState returns the engine's state, with Loaded as of now.
func (e *fakeEngine) currentState() engine.State {
	state := e.state
	state.Loaded = state.Assignment.Model != "" && !time.Now().Before(e.loadedAt)
	return state
}

func newTestbed(t *testing.T, vms int, group rules.Group) *testbed {
	tb := &testbed{
		t: t, store: memstore.New(memstore.Options{}), log: slog.New(slog.DiscardHandler),
		engines: make(map[string]*fakeEngine), policy: placement.Naive{},
		set: &rules.Set{Groups: []rules.Group{group}},
	}
	for i := range vms {
		tb.addVM(cluster.VMID(fmt.Sprintf("vm%02d", i)), "d1")
	}
	return tb
}

func (tb *testbed) addVM(id cluster.VMID, domain cluster.DomainID) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	addr := string(id) + ":1"
	tb.engines[addr] = &fakeEngine{state: engine.State{VM: id, Assignment: engine.Assignment{Role: engine.RoleIdle}}}
	tb.list.AsOf = time.Now()
	tb.list.VMs = append(slices.Clone(tb.list.VMs), cluster.VM{ID: id, Zone: testZone, Domain: domain, Addr: addr, State: cluster.VMLive})
}

// List implements VMSource.
func (tb *testbed) List() cluster.VMList {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.list
}

// Current implements Rules.
func (tb *testbed) Current() *rules.Set {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.set
}

func (tb *testbed) editVM(id cluster.VMID, edit func(vms []cluster.VM, i int) []cluster.VM) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	i := slices.IndexFunc(tb.list.VMs, func(vm cluster.VM) bool { return vm.ID == id })
	tb.list.VMs = edit(slices.Clone(tb.list.VMs), i)
	tb.list.AsOf = time.Now()
}

func (tb *testbed) editEngine(id cluster.VMID, edit func(e *fakeEngine)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	edit(tb.engines[string(id)+":1"])
}

func (tb *testbed) engine(id cluster.VMID) fakeEngine {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return *tb.engines[string(id)+":1"]
}

var errSilent = errors.New("silent")

// State implements Engines.
func (tb *testbed) State(_ context.Context, addr string) (engine.State, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	e := tb.engines[addr]
	if e == nil || e.down {
		return engine.State{}, &engine.CallError{Kind: engine.CallNoAnswer, Op: "state", Addr: addr, Err: errSilent}
	}
	return tb.stateWithDigest(e), nil
}

// stateWithDigest adds the digest of the answering members to a serving VM's state.
func (tb *testbed) stateWithDigest(e *fakeEngine) engine.State {
	state := e.currentState()
	if state.Assignment.Role != engine.RoleServing {
		return state
	}
	for _, id := range state.Assignment.Members {
		member := tb.engines[string(id)+":1"]
		if member == nil || member.down {
			continue
		}
		a := member.state.Assignment
		state.Members = append(state.Members, engine.MemberDigest{VM: id, Replica: a.Replica, Generation: a.Generation})
	}
	return state
}

// Order implements Engines.
func (tb *testbed) Order(_ context.Context, addr string, order engine.Order) (engine.OrderResult, error) {
	tb.mu.Lock()
	hook := tb.beforeOrder
	tb.mu.Unlock()
	if hook != nil {
		hook(order)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	e := tb.engines[addr]
	if e == nil || e.down {
		return engine.OrderResult{}, &engine.CallError{Kind: engine.CallNoAnswer, Op: "order", Addr: addr, Err: errSilent}
	}
	if e.state.ChecksFence && order.Fence < e.state.Fence {
		return engine.OrderResult{Reason: "old fencing token", State: e.state}, nil
	}
	e.state.Fence = max(e.state.Fence, order.Fence)
	if needsWeightLoad(e.currentState(), order) {
		e.loads++
		e.loadedAt = time.Now().Add(tb.loadTime)
	}
	e.state.Assignment = order.Assignment
	if order.Kind == engine.OrderRelease {
		e.state.Assignment = engine.Assignment{Role: engine.RoleIdle}
	}
	tb.accepted = append(tb.accepted, order)
	return engine.OrderResult{Accepted: true, State: e.currentState()}, nil
}

// node is one running controller, as in one process.
type node struct {
	stop func()
	done chan struct{}
}

// start runs a controller in the testbed; a non-nil storeOverride replaces its store.
func (tb *testbed) start(id cluster.NodeID, storeOverride store.Store) *node {
	if storeOverride == nil {
		storeOverride = tb.store
	}
	c := NewController(Options{
		Zone: testZone, Node: id, Store: storeOverride, VMs: tb, Rules: tb, Engines: tb, Policy: tb.policy, Log: tb.log,
		LoadsPerSecond: tb.loadsPerSec,
	})
	ctx, cancel := context.WithCancel(tb.t.Context())
	n := &node{done: make(chan struct{})}
	go func() { c.Run(ctx); close(n.done) }()
	n.stop = func() { cancel(); <-n.done }
	return n
}

// committed reads the table and checks that no VM is in two replicas.
func (tb *testbed) committed() []cluster.Replica {
	tb.t.Helper()
	read, err := Read(tb.t.Context(), tb.store, testZone)
	require.NoError(tb.t, err)
	_, err = placement.NewAssignments(testZone, read.Grouping.Replicas)
	require.NoError(tb.t, err)
	return read.Grouping.Replicas
}

// healthy reports whether all members confirm the replica as committed.
func (tb *testbed) healthy(r cluster.Replica) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, id := range r.Members {
		e := tb.engines[string(id)+":1"]
		a := e.state.Assignment
		if e.down || !e.currentState().Loaded || a.Replica != r.ID || a.Generation != r.Generation {
			return false
		}
	}
	return true
}

// settle waits until there are at least atLeast committed replicas and all of them are healthy.
func (tb *testbed) settle(atLeast int) []cluster.Replica {
	tb.t.Helper()
	for range 120 {
		time.Sleep(time.Second)
		synctest.Wait()
		replicas := tb.committed()
		if len(replicas) >= atLeast && !slices.ContainsFunc(replicas, func(r cluster.Replica) bool { return !tb.healthy(r) }) {
			return replicas
		}
	}
	require.FailNow(tb.t, "the zone did not settle", "%+v", tb.committed())
	return nil
}

func (tb *testbed) holder() (node string, fence int64) {
	kv, _, err := tb.store.Get(tb.t.Context(), store.PlacementLeaseKey(testZone))
	require.NoError(tb.t, err)
	if kv == nil {
		return "", 0
	}
	_, rest, _ := strings.Cut(string(kv.Value), `"node":"`)
	node, _, _ = strings.Cut(rest, `"`)
	return node, kv.CreateRevision
}

var pairGroup = rules.Group{Name: "g", Model: "m", VMs: 2, SameDomain: true}

var (
	downFaults    = memstore.Faults{Down: true}
	healthyFaults = memstore.Faults{}
)

func (tb *testbed) setGroups(groups ...rules.Group) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.set = &rules.Set{Groups: groups}
}
