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

// Engines is the control protocol of the model engines; engine.Client implements it.
type Engines interface {
	State(ctx context.Context, addr string) (engine.State, error)
	Order(ctx context.Context, addr string, order engine.Order) (engine.OrderResult, error)
}

// maxParallelCalls bounds the holder's concurrent calls to engines.
const maxParallelCalls = 32

// engineView is what the holder knows about one VM's engine.
type engineView struct {
	vm           cluster.VM
	listed       bool
	state        engine.State
	hasState     bool      // whether state holds an answer
	polledAt     time.Time // when the last poll was sent
	stateSentAt  time.Time // when the call was sent that returned state
	lastSeen     time.Time // when the engine last answered, or was last seen by its serving VM
	failingSince time.Time // first failure of the current series; zero while the engine answers
}

// engineTracker holds the state of the zone's engines. It is not safe for concurrent use; poll
// makes its calls concurrently but records the answers sequentially.
type engineTracker struct {
	zone      cluster.ZoneID
	engines   Engines
	downAfter time.Duration
	views     map[cluster.VMID]*engineView
}

func newEngineTracker(zone cluster.ZoneID, engines Engines, downAfter time.Duration) *engineTracker {
	return &engineTracker{zone: zone, engines: engines, downAfter: downAfter, views: make(map[cluster.VMID]*engineView)}
}

// update applies the platform's VM list. A VM missing from the list is kept while its engine
// answers or a replica contains it, because the list lags.
func (t *engineTracker) update(list cluster.VMList, inReplica func(cluster.VMID) bool, now time.Time) {
	for _, view := range t.views {
		view.listed = false
	}
	for _, vm := range list.VMs {
		if vm.Zone != t.zone || vm.Service != "" {
			continue
		}
		view := t.views[vm.ID]
		if view == nil {
			view = &engineView{}
			t.views[vm.ID] = view
		}
		if view.vm.Addr != vm.Addr {
			view.hasState, view.polledAt, view.failingSince = false, time.Time{}, time.Time{}
		}
		view.vm, view.listed = vm, true
	}
	for id, view := range t.views {
		if !view.listed && !inReplica(id) && t.isDown(view, now) {
			delete(t.views, id)
		}
	}
}

func (t *engineTracker) isDown(view *engineView, now time.Time) bool {
	return !view.failingSince.IsZero() && now.Sub(view.failingSince) >= t.downAfter
}

// placementVMs returns all VMs as the policy sees them, ordered by ID. Members that were never
// listed and never answered count as down since now.
func (t *engineTracker) placementVMs(replicas []cluster.Replica, now time.Time) []placement.VM {
	out := make([]placement.VM, 0, len(t.views))
	for _, view := range t.views {
		vm := placement.VM{
			ID: view.vm.ID, Domain: view.vm.Domain, Listed: view.listed,
			Leaving: view.vm.State == cluster.VMLeaving, LastSeen: view.lastSeen,
		}
		if t.isDown(view, now) {
			vm.DownSince = view.failingSince
		}
		if view.hasState && view.state.Loaded {
			vm.Model = view.state.Assignment.Model
		}
		out = append(out, vm)
	}
	for _, r := range replicas {
		for _, id := range r.Members {
			if t.views[id] == nil {
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

type pollResult struct {
	id    cluster.VMID
	sent  time.Time
	state engine.State
	err   error
}

// poll requests the states of the given VMs' engines, at most maxParallelCalls at once, and
// records the answers.
func (t *engineTracker) poll(ctx context.Context, ids []cluster.VMID) {
	results := make([]pollResult, len(ids))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, id := range ids {
		addr := t.views[id].vm.Addr
		group.Go(func() error {
			sent := time.Now()
			state, err := t.engines.State(ctx, addr)
			results[i] = pollResult{id: id, sent: sent, state: state, err: err}
			return nil
		})
	}
	_ = group.Wait()
	if ctx.Err() != nil {
		return
	}
	for _, result := range results {
		t.recordPoll(result)
	}
}

func (t *engineTracker) recordPoll(r pollResult) {
	view := t.views[r.id]
	view.polledAt = r.sent
	if r.err != nil || r.state.VM != r.id {
		if view.failingSince.IsZero() {
			view.failingSince = r.sent
		}
		return
	}
	t.recordState(view, r.state, r.sent)
	for _, member := range r.state.Members {
		t.recordMember(member, r.state.Assignment, r.sent)
	}
}

func (t *engineTracker) recordState(view *engineView, state engine.State, sent time.Time) {
	view.state, view.stateSentAt, view.hasState = state, sent, true
	view.lastSeen, view.failingSince = sent, time.Time{}
}

// recordMember records what a serving VM reports about one member, so that one poll covers a
// whole replica. A member that it reports as lost is not marked down on that report alone: once
// its last sighting is old enough, the member is polled itself.
func (t *engineTracker) recordMember(m engine.MemberDigest, assignment engine.Assignment, sent time.Time) {
	view := t.views[m.VM]
	if view == nil || m.Replica != assignment.Replica || m.Generation != assignment.Generation {
		return
	}
	seenAt := sent.Add(-time.Duration(m.SeenAgoMs) * time.Millisecond)
	if seenAt.After(view.lastSeen) {
		view.lastSeen = seenAt
	}
}
