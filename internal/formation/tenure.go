package formation

import (
	"context"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/grouping"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

const (
	// epochBits leaves room for this many replicas of one tenure below the fencing
	// number in an epoch, so that epochs rise from holder to holder.
	epochBits = 16
	// joinGrace is what members may take to be ready beyond their loading time
	// before the replica is given up.
	joinGrace = 4 * time.Second
	// resendAfter is when an order is sent again whose effect has not shown.
	resendAfter = 1200 * time.Millisecond
)

// tenure is one time of holding the lease.
type tenure struct {
	opts  Options
	fence cluster.Fence
	seq   int64
	loads *loads
	// adopted is true once the loads of earlier holders were counted.
	adopted bool
	stockAt time.Time
	// staging has the model that a VM was told to read ahead.
	staging map[cluster.VMID]string
	// formed are the replicas of this tenure until they serve or are given up.
	formed map[cluster.ReplicaID]*forming
	// ending are the replicas that were broken up, until their serving member is
	// known to have stopped.
	ending map[cluster.ReplicaID]*ending
	// settled are replicas that serve no more; their members are free.
	settled map[cluster.ReplicaID]*settled
	// down are VMs that did not answer though they are listed, by the start of the
	// process that fell silent.
	down map[cluster.VMID]silent
	// present are VMs that the list lacks and replicas still need.
	present map[cluster.VMID]*presence
	// seen is each VM as last listed, for those that are not listed any more.
	seen map[cluster.VMID]fleet.Server
	// sightings are the VMs as they were last logged, sightingsAt when; zero before the
	// first list.
	sightings   map[cluster.VMID]sighting
	sightingsAt time.Time

	mu       sync.Mutex
	sending  sync.WaitGroup
	inFlight map[cluster.VMID]bool
	answers  []answered
	// silent and answering were found by probes and not yet taken.
	silent    []fleet.Server
	answering []cluster.VMID
	lost      bool
	woken     chan struct{}
}

// silent is a VM that a probe found not to answer.
type silent struct {
	born  time.Time
	since time.Time
}

func newTenure(opts Options, fence cluster.Fence, seen map[cluster.VMID]fleet.Server) *tenure {
	return &tenure{opts: opts, fence: fence, loads: newLoads(), staging: make(map[cluster.VMID]string),
		formed: make(map[cluster.ReplicaID]*forming), ending: make(map[cluster.ReplicaID]*ending),
		settled: make(map[cluster.ReplicaID]*settled), down: make(map[cluster.VMID]silent), present: make(map[cluster.VMID]*presence), seen: seen, sightings: make(map[cluster.VMID]sighting),
		inFlight: make(map[cluster.VMID]bool), woken: make(chan struct{}, 1)}
}

// step looks at the list once and acts on it.
func (t *tenure) step(ctx context.Context, list fleet.List, lease *grouping.Lease, suspected map[cluster.ReplicaID]bool, now time.Time) {
	set := t.opts.Rules()
	if set == nil {
		return
	}
	t.logSightings(list, now)
	t.takeAnswers(now)
	t.adoptLoads(set, list, now)
	t.loads.set(set.Weights, t.opts.FreeLoads(), now)
	t.loads.review(now, func(vm cluster.VMID) bool { return t.loaded(list, vm) })
	replicas := fleet.Replicas(list, set.Groups)
	t.takeSilent(now)
	t.takeAnswering(now)
	t.askMissing(ctx, list, replicas, now)
	t.probe(ctx, replicas, suspected)
	t.review(list, replicas, now)
	in := t.input(list, replicas, set, now)
	t.logStock(in, now)
	plan := t.opts.Policy.Plan(in, now)
	if lease.Left(now) < leaseSpare {
		return
	}
	t.carryOut(ctx, set, list, plan, now)
	t.progress(ctx, list, replicas, now)
}

// review forgets replicas that are no more, and notices those that are settled.
func (t *tenure) review(list fleet.List, replicas []fleet.Replica, now time.Time) {
	shown := make(map[cluster.ReplicaID]*fleet.Replica, len(replicas))
	for i := range replicas {
		shown[replicas[i].ID()] = &replicas[i]
	}
	for id, f := range t.formed {
		r := shown[id]
		switch {
		case r != nil && r.State() == fleet.Open:
			delete(t.formed, id)
		case now.After(f.deadline):
			t.opts.Log.Warn("replica given up", "replica", id, "reason", "members not ready in time")
			t.giveUp(id, f, "not-ready-in-time", now)
		case t.lostMember(list, f):
			t.giveUp(id, f, "member-lost", now)
		}
	}
	t.reviewEnding(list, shown, now)
	t.reviewSettled(shown, now)
}

// input is what the policy decides on. Members of ending replicas count as held;
// a replica whose member is missing has an unknown one in its place.
func (t *tenure) input(list fleet.List, replicas []fleet.Replica, set *rules.Set, now time.Time) placement.Input {
	in := placement.Input{Zone: t.opts.Scope, Groups: set.Groups, CheapLoads: t.opts.FreeLoads()}
	engines := make(map[cluster.Service]bool)
	for _, g := range set.Groups {
		engines[g.Servers] = true
	}
	for _, s := range list.Servers {
		if engines[s.Service] {
			in.VMs = append(in.VMs, placement.VM{ID: s.ID, Domain: s.Domain, Zone: s.Zone, Service: s.Service, Listed: true,
				Leaving: s.Draining, LastSeen: list.ReadAt, DownSince: t.downSince(s), Model: s.Model, Staged: s.Staged, Loading: t.loading(s.ID)})
		}
	}
	for i := range replicas {
		r := &replicas[i]
		id := r.ID()
		if t.settled[id] != nil || t.formed[id] != nil || t.ending[id] != nil {
			continue
		}
		unlisted := t.unlisted(id, now)
		for _, s := range unlisted {
			in.VMs = append(in.VMs, placement.VM{ID: s.ID, Domain: s.Domain, Zone: s.Zone, Service: s.Service, LastSeen: now, Model: s.Model, Staged: s.Staged})
		}
		in.Replicas = append(in.Replicas, placementReplica(r, unlisted, t.opts.Scope))
	}
	for id, e := range t.ending {
		in.Replicas = append(in.Replicas, cluster.Replica{ID: id, Members: append([]cluster.VMID{""}, e.held()...)})
	}
	for _, f := range t.formed {
		in.Replicas = append(in.Replicas, f.replica)
	}
	return in
}

// placementReplica is the replica as the policy sees it, with an unknown member in
// place of those that neither are listed nor answer.
func placementReplica(r *fleet.Replica, unlisted []fleet.Server, zone cluster.ZoneID) cluster.Replica {
	out := cluster.Replica{ID: r.ID(), Group: cluster.GroupName(r.Model), Model: r.Model, Zone: zone, Generation: r.Epoch}
	for _, m := range r.Members {
		out.Members = append(out.Members, m.ID)
	}
	for _, s := range unlisted {
		out.Members = append(out.Members, s.ID)
	}
	if len(out.Members) < r.Size || r.Size == 0 || r.Head() == nil {
		out.Members = append(out.Members, "")
	}
	if head := r.Head(); head != nil {
		out.Serving = head.ID
	}
	return out
}

// carryOut starts what the plan says.
func (t *tenure) carryOut(ctx context.Context, set *rules.Set, list fleet.List, plan placement.Plan, now time.Time) {
	for _, a := range plan.Actions {
		switch a.Kind {
		case placement.Form:
			t.form(ctx, placement.FindGroup(set.Groups, a.Group), list, a, now)
		case placement.Hold:
			t.stage(ctx, placement.FindGroup(set.Groups, a.Group), list, a, now)
		case placement.BreakUp:
			t.breakUp(list, a, now)
		}
	}
}

// progress sends the orders that replicas under way need.
func (t *tenure) progress(ctx context.Context, list fleet.List, replicas []fleet.Replica, now time.Time) {
	for i := range replicas {
		r := &replicas[i]
		if t.ending[r.ID()] == nil && t.settled[r.ID()] == nil && r.State() == fleet.Ready && r.Formed() {
			t.open(ctx, r, now)
		}
	}
	for _, f := range t.formed {
		t.noteJoined(list, f)
		t.join(ctx, list, f, now)
	}
	for id, e := range t.ending {
		t.end(ctx, list, id, e, now)
	}
}
