package grouping

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/placement"
)

// Engines is the control protocol of the model engines; engine.Client is one.
type Engines interface {
	State(ctx context.Context, addr string) (engine.State, error)
	Order(ctx context.Context, addr string, order engine.Order) (engine.OrderResult, error)
}

// parallelCalls bounds the holder's calls to engines at any time.
const parallelCalls = 32

// engineView is what the holder knows of one VM's engine.
type engineView struct {
	vm       cluster.VM
	listed   bool
	state    engine.State
	known    bool      // state holds an answer
	asked    time.Time // when the last poll was sent
	stateAt  time.Time // when the call was sent that state answers
	lastSeen time.Time // when the engine last answered, or was last heard by its serving VM
	failing  time.Time // first failure in a row; zero while it answers
}

// fleet is the holder's view of the zone's engines. It is used by one goroutine;
// only the calls inside poll run beside each other.
type fleet struct {
	zone      cluster.ZoneID
	engines   Engines
	downAfter time.Duration
	views     map[cluster.VMID]*engineView
}

func newFleet(zone cluster.ZoneID, engines Engines, downAfter time.Duration) *fleet {
	return &fleet{zone: zone, engines: engines, downAfter: downAfter, views: make(map[cluster.VMID]*engineView)}
}

// update takes in the platform's list. A VM that vanished from it stays known
// while its engine answers or a replica holds it, because the list lags.
func (f *fleet) update(list cluster.VMList, held func(cluster.VMID) bool, now time.Time) {
	for _, view := range f.views {
		view.listed = false
	}
	for _, vm := range list.VMs {
		if vm.Zone != f.zone || vm.Service != "" {
			continue
		}
		view := f.views[vm.ID]
		if view == nil {
			view = &engineView{}
			f.views[vm.ID] = view
		}
		if view.vm.Addr != vm.Addr {
			view.known, view.asked, view.failing = false, time.Time{}, time.Time{}
		}
		view.vm, view.listed = vm, true
	}
	for id, view := range f.views {
		if !view.listed && !held(id) && f.down(view, now) {
			delete(f.views, id)
		}
	}
}

func (f *fleet) down(view *engineView, now time.Time) bool {
	return !view.failing.IsZero() && now.Sub(view.failing) >= f.downAfter
}

// placementVMs returns the policy's view of all VMs, ordered by id. Members of
// replicas that no list and no answer ever named count as down since now.
func (f *fleet) placementVMs(replicas []cluster.Replica, now time.Time) []placement.VM {
	out := make([]placement.VM, 0, len(f.views))
	for _, view := range f.views {
		vm := placement.VM{
			ID: view.vm.ID, Domain: view.vm.Domain, Listed: view.listed,
			Leaving: view.vm.State == cluster.VMLeaving, LastSeen: view.lastSeen,
		}
		if f.down(view, now) {
			vm.DownSince = view.failing
		}
		if view.known && view.state.Loaded {
			vm.Model = view.state.Assignment.Model
		}
		out = append(out, vm)
	}
	for _, r := range replicas {
		for _, id := range r.Members {
			if f.views[id] == nil {
				out = append(out, placement.VM{ID: id, DownSince: now})
			}
		}
	}
	slices.SortFunc(out, func(a, b placement.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

type pollAnswer struct {
	id    cluster.VMID
	sent  time.Time
	state engine.State
	err   error
}

// poll asks the engines of the given VMs for their states, at most parallelCalls
// at once, and takes in the answers.
func (f *fleet) poll(ctx context.Context, ids []cluster.VMID) {
	answers := make([]pollAnswer, len(ids))
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for i, id := range ids {
		addr := f.views[id].vm.Addr
		group.Go(func() error {
			sent := time.Now()
			state, err := f.engines.State(ctx, addr)
			answers[i] = pollAnswer{id: id, sent: sent, state: state, err: err}
			return nil
		})
	}
	_ = group.Wait()
	if ctx.Err() != nil {
		return
	}
	for _, answer := range answers {
		f.take(answer)
	}
}

func (f *fleet) take(a pollAnswer) {
	view := f.views[a.id]
	view.asked = a.sent
	if a.err != nil || a.state.VM != a.id {
		if view.failing.IsZero() {
			view.failing = a.sent
		}
		return
	}
	f.answered(view, a.state, a.sent)
	for _, member := range a.state.Members {
		f.heard(member, a.state.Assignment, a.sent)
	}
}

func (f *fleet) answered(view *engineView, state engine.State, sent time.Time) {
	view.state, view.stateAt, view.known = state, sent, true
	view.lastSeen, view.failing = sent, time.Time{}
}

// heard takes in what a serving VM says of one member, so that one poll covers a
// whole replica. A member it lost is not taken as down on its word: the member
// is due for a poll of its own, as its last sign of life grows old.
func (f *fleet) heard(m engine.MemberDigest, of engine.Assignment, sent time.Time) {
	view := f.views[m.VM]
	if view == nil || m.Replica != of.Replica || m.Generation != of.Generation {
		return
	}
	at := sent.Add(-time.Duration(m.SeenAgoMs) * time.Millisecond)
	if at.After(view.lastSeen) {
		view.lastSeen = at
	}
}
