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

// world is a zone of fake engines, a VM list, a rules file and a store, in
// virtual time.
type world struct {
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
	orders      []engine.Order // accepted
}

type fakeEngine struct {
	state engine.State
	down  bool
	loads int // readings of weights
	ready time.Time
}

// seen is the engine's state now.
func (e *fakeEngine) seen() engine.State {
	state := e.state
	state.Loaded = state.Assignment.Model != "" && !time.Now().Before(e.ready)
	return state
}

func newWorld(t *testing.T, vms int, group rules.Group) *world {
	w := &world{
		t: t, store: memstore.New(memstore.Options{}), log: slog.New(slog.DiscardHandler),
		engines: make(map[string]*fakeEngine), policy: placement.Naive{},
		set: &rules.Set{Groups: []rules.Group{group}},
	}
	for i := range vms {
		w.addVM(cluster.VMID(fmt.Sprintf("vm%02d", i)), "d1")
	}
	return w
}

func (w *world) addVM(id cluster.VMID, domain cluster.DomainID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	addr := string(id) + ":1"
	w.engines[addr] = &fakeEngine{state: engine.State{VM: id, Assignment: engine.Assignment{Role: engine.RoleIdle}}}
	w.list.AsOf = time.Now()
	w.list.VMs = append(slices.Clone(w.list.VMs), cluster.VM{ID: id, Zone: testZone, Domain: domain, Addr: addr, State: cluster.VMLive})
}

// List implements VMSource.
func (w *world) List() cluster.VMList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list
}

// Current implements Rules.
func (w *world) Current() *rules.Set {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set
}

func (w *world) editVM(id cluster.VMID, edit func(vms []cluster.VM, at int) []cluster.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := slices.IndexFunc(w.list.VMs, func(vm cluster.VM) bool { return vm.ID == id })
	w.list.VMs = edit(slices.Clone(w.list.VMs), at)
	w.list.AsOf = time.Now()
}

func (w *world) edit(id cluster.VMID, edit func(e *fakeEngine)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	edit(w.engines[string(id)+":1"])
}

func (w *world) engine(id cluster.VMID) fakeEngine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *w.engines[string(id)+":1"]
}

var errSilent = errors.New("silent")

// State implements Engines.
func (w *world) State(_ context.Context, addr string) (engine.State, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[addr]
	if e == nil || e.down {
		return engine.State{}, &engine.CallError{Kind: engine.CallNoAnswer, Op: "state", Addr: addr, Err: errSilent}
	}
	return w.answer(e), nil
}

// answer adds the digest of the members that answer to a serving VM's state.
func (w *world) answer(e *fakeEngine) engine.State {
	state := e.seen()
	if state.Assignment.Role != engine.RoleServing {
		return state
	}
	for _, id := range state.Assignment.Members {
		member := w.engines[string(id)+":1"]
		if member == nil || member.down {
			continue
		}
		a := member.state.Assignment
		state.Members = append(state.Members, engine.MemberDigest{VM: id, Replica: a.Replica, Generation: a.Generation})
	}
	return state
}

// Order implements Engines.
func (w *world) Order(_ context.Context, addr string, order engine.Order) (engine.OrderResult, error) {
	w.mu.Lock()
	hook := w.beforeOrder
	w.mu.Unlock()
	if hook != nil {
		hook(order)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[addr]
	if e == nil || e.down {
		return engine.OrderResult{}, &engine.CallError{Kind: engine.CallNoAnswer, Op: "order", Addr: addr, Err: errSilent}
	}
	if e.state.ChecksFence && order.Fence < e.state.Fence {
		return engine.OrderResult{Reason: "old fencing number", State: e.state}, nil
	}
	e.state.Fence = max(e.state.Fence, order.Fence)
	if needsWeights(e.seen(), order) {
		e.loads++
		e.ready = time.Now().Add(w.loadTime)
	}
	e.state.Assignment = order.Assignment
	if order.Kind == engine.OrderRelease {
		e.state.Assignment = engine.Assignment{Role: engine.RoleIdle}
	}
	w.orders = append(w.orders, order)
	return engine.OrderResult{Accepted: true, State: e.seen()}, nil
}

// node is one controller, run as one process would.
type node struct {
	stop func()
	done chan struct{}
}

// start runs a controller on the world; through may replace its store.
func (w *world) start(id cluster.NodeID, through store.Store) *node {
	if through == nil {
		through = w.store
	}
	c := NewController(Options{
		Zone: testZone, Node: id, Store: through, VMs: w, Rules: w, Engines: w, Policy: w.policy, Log: w.log,
		LoadsPerSecond: w.loadsPerSec,
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	n := &node{done: make(chan struct{})}
	go func() { c.Run(ctx); close(n.done) }()
	n.stop = func() { cancel(); <-n.done }
	return n
}

// committed reads the table and checks that no VM is in two replicas.
func (w *world) committed() []cluster.Replica {
	w.t.Helper()
	read, err := Read(w.t.Context(), w.store, testZone)
	require.NoError(w.t, err)
	_, err = placement.NewAssignments(testZone, read.Grouping.Replicas)
	require.NoError(w.t, err)
	return read.Grouping.Replicas
}

// whole reports whether all members confirm the replica as committed.
func (w *world) whole(r cluster.Replica) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range r.Members {
		e := w.engines[string(id)+":1"]
		a := e.state.Assignment
		if e.down || !e.seen().Loaded || a.Replica != r.ID || a.Generation != r.Generation {
			return false
		}
	}
	return true
}

// settle waits until all committed replicas are whole, but at least atLeast.
func (w *world) settle(atLeast int) []cluster.Replica {
	w.t.Helper()
	for range 120 {
		time.Sleep(time.Second)
		synctest.Wait()
		replicas := w.committed()
		if len(replicas) >= atLeast && !slices.ContainsFunc(replicas, func(r cluster.Replica) bool { return !w.whole(r) }) {
			return replicas
		}
	}
	require.FailNow(w.t, "zone did not settle", "%+v", w.committed())
	return nil
}

func (w *world) holder() (node string, fence int64) {
	kv, _, err := w.store.Get(w.t.Context(), store.PlacementLeaseKey(testZone))
	require.NoError(w.t, err)
	if kv == nil {
		return "", 0
	}
	_, rest, _ := strings.Cut(string(kv.Value), `"node":"`)
	node, _, _ = strings.Cut(rest, `"`)
	return node, kv.CreateRevision
}

var pairs = rules.Group{Name: "g", Model: "m", VMs: 2, SameDomain: true}

var (
	downFaults    = memstore.Faults{Down: true}
	healthyFaults = memstore.Faults{}
)

func (w *world) setGroups(groups ...rules.Group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.set = &rules.Set{Groups: groups}
}
