package lifecycle

import (
	"log/slog"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
)

const (
	// epochBits leaves room for this many replicas of one holder below the fencing
	// number in an epoch, so that epochs rise from holder to holder.
	epochBits = 16
	// joinGrace is what members may take to be ready beyond their loading time
	// before the replica is given up.
	joinGrace = 4 * time.Second
	// resendAfter is when an order is sent again whose effect has not shown.
	resendAfter = 1200 * time.Millisecond
	// OrderTimeout bounds one order; VMs answer in milliseconds.
	OrderTimeout = time.Second
	// leaseSpare is what must be left of the lease when an order is sent, so that
	// the order does not outlast it.
	leaseSpare = OrderTimeout
)

// Options sets up a Machine; all are required.
type Options struct {
	// Scope names the zones whose VMs are formed together.
	Scope cluster.ZoneID
	// Fence is the holder's fencing number.
	Fence  cluster.Fence
	Policy placement.Policy
	Log    *slog.Logger
	// LastListed is each VM as last listed, kept up to date by the caller, also for the time
	// before this Machine: the heads of replicas may not be listed any more.
	LastListed map[cluster.VMID]fleet.Server
}

// Machine is the replicas of a scope as one holder of the placement lease knows them.
// It keeps no table: what the VMs say of themselves is the state, and a new holder's
// Machine goes on from there. It is used by one goroutine.
type Machine struct {
	opts  Options
	seq   int64
	loads *loads
	// adopted is true once the loads of earlier holders were counted.
	adopted     bool
	inventoryAt time.Time
	// staging has the model that a VM was told to read ahead.
	staging map[cluster.VMID]string
	records map[cluster.ReplicaID]*record
	// down are VMs that did not answer though they are listed.
	down map[cluster.VMID]silence
	// present are VMs that the list lacks and replicas still need.
	present map[cluster.VMID]*presence
	// suspectedAt is when the members of a replica that stands still were last probed.
	suspectedAt map[cluster.ReplicaID]time.Time
	seen        map[cluster.VMID]fleet.Server
	// sightings are the VMs as they were last logged, sightingsAt when; zero before the
	// first list.
	sightings   map[cluster.VMID]sighting
	sightingsAt time.Time
	looks       int64
	// inFlight are the VMs with an order under way: each has one at a time.
	inFlight map[cluster.VMID]bool
	fenced   bool
	freeLoad bool
	// formingOfVM has the replica that each VM is being made a member of.
	formingOfVM map[cluster.VMID]*forming
	quiescent   quiescence
	out         Output
}

// NewMachine returns the Machine of a holder that begins.
func NewMachine(opts Options) *Machine {
	return &Machine{opts: opts, loads: newLoads(), staging: make(map[cluster.VMID]string), records: make(map[cluster.ReplicaID]*record),
		down: make(map[cluster.VMID]silence), suspectedAt: make(map[cluster.ReplicaID]time.Time), present: make(map[cluster.VMID]*presence), seen: opts.LastListed,
		sightings: make(map[cluster.VMID]sighting), inFlight: make(map[cluster.VMID]bool)}
}

// Fenced reports whether a VM has seen a later holder: this one must stop.
func (m *Machine) Fenced() bool { return m.fenced }

// Step takes in what came since the last step and returns what is to be sent.
func (m *Machine) Step(in Input) Output {
	m.out = Output{}
	if m.quiescent.holds(in) {
		return m.out
	}
	m.quiescent = quiescence{}
	m.freeLoad = in.UnmeteredLoads
	m.indexForming()
	m.logSightings(in.List, in.Now)
	m.takeAnswers(in)
	m.adoptLoads(in.Rules, in.List, in.Now)
	m.loads.set(in.Rules.Weights, in.UnmeteredLoads, in.Now)
	m.loads.review(in.Now, func(vm cluster.VMID) bool { return m.loaded(in.List, vm) })
	replicas := fleet.Replicas(in.List, in.Rules.Groups)
	m.takeProbes(in)
	m.probeMissing(in.List, replicas, in.Now)
	m.probe(replicas, in.Stalled, in.Now)
	m.review(in.List, replicas, in.Now)
	view := m.view(in, replicas)
	m.logInventory(view, in.Now)
	plan := m.opts.Policy.Plan(view, in.Now)
	if in.LeaseRemaining < leaseSpare {
		return m.out
	}
	m.carryOut(in, plan)
	m.progress(in.List, replicas, in.Now)
	if len(plan.Actions) == 0 && !m.busy() {
		m.quiescent = quiescenceAt(in, plan.Again)
	}
	return m.out
}

// review forgets replicas that are no more, and notices those that have ended.
func (m *Machine) review(list fleet.List, replicas []fleet.Replica, now time.Time) {
	shown := make(map[cluster.ReplicaID]*fleet.Replica, len(replicas))
	for i := range replicas {
		shown[replicas[i].ID()] = &replicas[i]
	}
	for _, id := range m.inPhase(phaseJoining, phaseOpening) {
		m.reviewForming(list, id, shown[id], now)
	}
	for _, id := range m.inPhase(phaseEnding) {
		m.reviewEnding(list, id, shown[id], now)
	}
	for _, id := range m.inPhase(phaseEnded) {
		m.reviewEnded(id, shown[id], now)
	}
}

// view is what the policy decides on. Members of ending replicas count as held;
// a replica whose member is missing has an unknown one in its place.
func (m *Machine) view(in Input, replicas []fleet.Replica) placement.Input {
	view := placement.Input{Zone: m.opts.Scope, Groups: in.Rules.Groups, CheapLoads: in.UnmeteredLoads, VMs: make([]placement.VM, 0, len(in.List.Servers))}
	engines := make(map[cluster.Service]bool)
	for _, g := range in.Rules.Groups {
		engines[g.Servers] = true
	}
	for i := range in.List.Servers {
		if s := &in.List.Servers[i]; engines[s.Service] {
			view.VMs = append(view.VMs, placement.VM{ID: s.ID, Domain: s.Domain, Zone: s.Zone, Service: s.Service, Listed: true,
				Leaving: s.Draining, LastSeen: in.List.ReadAt, DownSince: m.downSince(s, in.Now), Model: s.Model, Staged: s.Staged, Loading: m.loading(s.ID)})
		}
	}
	for i := range replicas {
		r := &replicas[i]
		id := r.ID()
		if m.records[id] != nil {
			continue
		}
		unlisted := m.unlisted(id, in.Now)
		for _, s := range unlisted {
			view.VMs = append(view.VMs, placement.VM{ID: s.ID, Domain: s.Domain, Zone: s.Zone, Service: s.Service, LastSeen: in.Now, Model: s.Model, Staged: s.Staged})
		}
		view.Replicas = append(view.Replicas, placementReplica(r, unlisted, m.opts.Scope))
	}
	for _, id := range m.inPhase(phaseEnding) {
		view.Replicas = append(view.Replicas, cluster.Replica{ID: id, Members: append([]cluster.VMID{""}, m.endingOf(id).held()...)})
	}
	for _, id := range m.inPhase(phaseJoining, phaseOpening) {
		view.Replicas = append(view.Replicas, m.formingOf(id).replica)
	}
	return view
}

// placementReplica is the replica as the policy sees it, with an unknown member in
// place of those that neither are listed nor answer, or that its head has lost.
func placementReplica(r *fleet.Replica, unlisted []fleet.Server, zone cluster.ZoneID) cluster.Replica {
	out := cluster.Replica{ID: r.ID(), Group: cluster.GroupName(r.Model), Model: r.Model, Zone: zone, Generation: r.Epoch}
	for _, member := range r.Members {
		out.Members = append(out.Members, member.ID)
	}
	for _, s := range unlisted {
		out.Members = append(out.Members, s.ID)
	}
	if len(out.Members) < r.Size || r.Size == 0 || r.Head() == nil || r.State() == fleet.Broken {
		out.Members = append(out.Members, "")
	}
	if head := r.Head(); head != nil {
		out.Serving = head.ID
	}
	return out
}

// carryOut starts what the plan says.
func (m *Machine) carryOut(in Input, plan placement.Plan) {
	for _, a := range plan.Actions {
		switch a.Kind {
		case placement.Form:
			m.form(placement.FindGroup(in.Rules.Groups, a.Group), in.List, a, in.Now)
		case placement.Hold:
			m.stage(placement.FindGroup(in.Rules.Groups, a.Group), in.List, a, in.Now)
		case placement.BreakUp:
			m.breakUp(in.List, a, in.Now)
		}
	}
}

// progress sends the orders that replicas under way need.
func (m *Machine) progress(list fleet.List, replicas []fleet.Replica, now time.Time) {
	for i := range replicas {
		r := &replicas[i]
		if m.endingOf(r.ID()) == nil && m.phaseOf(r.ID()) != phaseEnded && r.State() == fleet.Ready && r.Formed() {
			m.open(r, now)
		}
	}
	for _, id := range m.inPhase(phaseJoining, phaseOpening) {
		m.noteJoined(list, m.formingOf(id))
		m.join(list, m.formingOf(id), now)
	}
	for _, id := range m.inPhase(phaseEnding) {
		m.end(list, id, m.endingOf(id), now)
	}
}

// send asks for an order to be sent; false when one to this VM is under way.
func (m *Machine) send(to fleet.Server, order Order) bool {
	if m.inFlight[to.ID] {
		return false
	}
	m.inFlight[to.ID] = true
	m.out.SendOrders = append(m.out.SendOrders, OutgoingOrder{to, order})
	return true
}

// takeAnswers acts on what came of orders.
func (m *Machine) takeAnswers(in Input) {
	for _, a := range in.OrderResults {
		delete(m.inFlight, a.To.ID)
		m.takeAnswer(a, in.Now)
	}
}

func (m *Machine) takeAnswer(a OrderResult, now time.Time) {
	id := fleet.ReplicaID(a.Order.Replica, a.Order.Epoch)
	log := m.opts.Log.With("order", a.Order.Kind, "vm", a.To.ID, "born", a.To.Born, "replica", id)
	if a.NotSent {
		log.Warn("order", "outcome", "not sent", "err", a.Err.Error())
		return
	}
	if a.Err != nil {
		log.Warn("order", "outcome", "unknown", "err", a.Err.Error())
		if e := m.endingOf(id); e != nil && a.To.ID == e.head {
			e.headSilent = true
		}
		return
	}
	log.Info("order", "outcome", a.Response)
	switch {
	case a.Response == Fenced:
		m.fenced = true
	case a.Order.Kind == Join && (a.Response == Accepted || a.Response == Done):
		if f := m.formingOf(id); f != nil {
			f.joined[a.To.ID] = true
		}
	case a.Order.Kind == Leave && m.endingOf(id) != nil:
		m.takeLeave(id, m.endingOf(id), a, now)
	}
}
