package lifecycle

import (
	"log/slog"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
)

const (
	// epochSequenceBits is the number of low bits of an epoch that count one holder's replicas.
	// The fencing token is in the bits above, so that epochs increase from holder to holder.
	epochSequenceBits = 16
	// joinGrace is how much longer than their load time members may take to become ready
	// before the replica is abandoned.
	joinGrace = 4 * time.Second
	// resendInterval is how long to wait for the effect of an order before sending it again.
	resendInterval = 1200 * time.Millisecond
	// OrderTimeout bounds one order; VMs respond within milliseconds.
	OrderTimeout = time.Second
	// minLeaseRemaining is the minimum remaining lease time for sending an order, so that the
	// order does not outlive the lease.
	minLeaseRemaining = OrderTimeout
)

// Options configures a Machine; all fields are required.
type Options struct {
	// Scope identifies the zones whose VMs are formed into replicas together.
	Scope cluster.ZoneID
	// Fence is the holder's fencing token.
	Fence  cluster.Fence
	Policy placement.Policy
	Log    *slog.Logger
	// LastListed holds the last list entry of each VM, including VMs that left the list before
	// this Machine existed, such as heads of replicas. The caller keeps it up to date.
	LastListed map[cluster.VMID]fleet.Server
}

// Machine tracks the replicas of a scope for one holder of the placement lease. It persists
// nothing: the VMs' own reports are the state, from which the next holder's Machine
// continues. A Machine is not safe for concurrent use.
type Machine struct {
	opts            Options
	replicaSequence int64
	loads           *loadLimiter
	// inheritedLoadsCounted is set once the loads that earlier holders started are counted.
	inheritedLoadsCounted bool
	inventoryLoggedAt     time.Time
	// staging maps VMs to the model that they were ordered to stage.
	staging map[cluster.VMID]string
	records map[cluster.ReplicaID]*record
	// down holds listed VMs that did not respond to probes.
	down map[cluster.VMID]probeFailure
	// unlistedVMs holds members of open replicas that are missing from the list.
	unlistedVMs map[cluster.VMID]*unlistedVM
	// stallProbedAt is when the members of each stalled replica were last probed.
	stallProbedAt map[cluster.ReplicaID]time.Time
	lastListed    map[cluster.VMID]fleet.Server
	// observedVMs holds the last observation of each VM for logVMChanges, and observedAt the time
	// of the last list; zero before the first.
	observedVMs map[cluster.VMID]vmObservation
	observedAt  time.Time
	// observations counts the lists observed.
	observations int64
	// inFlight holds the VMs with an order in progress; each VM has at most one.
	inFlight       map[cluster.VMID]bool
	fenced         bool
	unmeteredLoads bool
	// evacuated holds the evacuated zones of the current list.
	evacuated []cluster.ZoneID
	// formingByVM maps each VM to the replica that it is being formed into.
	formingByVM map[cluster.VMID]*formingReplica
	quiescence  quiescence
	out         Output
}

// NewMachine returns the Machine of a new holder.
func NewMachine(opts Options) *Machine {
	return &Machine{opts: opts, loads: newLoadLimiter(), staging: make(map[cluster.VMID]string), records: make(map[cluster.ReplicaID]*record),
		down: make(map[cluster.VMID]probeFailure), stallProbedAt: make(map[cluster.ReplicaID]time.Time), unlistedVMs: make(map[cluster.VMID]*unlistedVM), lastListed: opts.LastListed,
		observedVMs: make(map[cluster.VMID]vmObservation), inFlight: make(map[cluster.VMID]bool)}
}

// Fenced reports whether a VM has seen a later holder, in which case this one must stop.
func (m *Machine) Fenced() bool { return m.fenced }

// Step processes the observations since the last step and returns the orders and probes to
// send.
func (m *Machine) Step(in Input) Output {
	m.out = Output{}
	if m.quiescence.appliesTo(in) {
		return m.out
	}
	m.quiescence = quiescence{}
	m.unmeteredLoads, m.evacuated = in.UnmeteredLoads, in.List.Evacuated
	m.indexForming()
	m.logVMChanges(in.List, in.Now)
	m.handleOrderResults(in)
	m.countInheritedLoads(in.Rules, in.List, in.Now)
	m.loads.configure(in.Rules.Weights, in.UnmeteredLoads, in.Now)
	m.loads.removeFinished(in.Now, func(vm cluster.VMID) bool { return m.loadFinished(in.List, vm) })
	replicas := fleet.Replicas(in.List, in.Rules.Groups)
	m.recordProbeResults(in)
	m.probeUnlisted(in.List, replicas, in.Now)
	m.probeStalled(replicas, in.Stalled, in.Now)
	m.updateReplicas(in.List, replicas, in.Now)
	policyInput := m.policyInput(in, replicas)
	m.logInventory(policyInput, in.Now)
	plan := m.opts.Policy.Plan(policyInput, in.Now)
	if in.LeaseRemaining < minLeaseRemaining {
		return m.out
	}
	m.applyPlan(in, plan)
	m.sendDueOrders(in.List, replicas, in.Now)
	if len(plan.Actions) == 0 && !m.hasPendingWork() {
		m.quiescence = newQuiescence(in, plan.ReplanAt)
	}
	return m.out
}

// updateReplicas updates the phase of each recorded replica from the list.
func (m *Machine) updateReplicas(list fleet.List, replicas []fleet.Replica, now time.Time) {
	listed := make(map[cluster.ReplicaID]*fleet.Replica, len(replicas))
	for i := range replicas {
		listed[replicas[i].ID()] = &replicas[i]
	}
	for _, id := range m.replicasInPhase(phaseJoining, phaseOpening) {
		m.updateForming(list, id, listed[id], now)
	}
	for _, id := range m.replicasInPhase(phaseEnding) {
		m.updateEnding(list, id, listed[id], now)
	}
	for _, id := range m.replicasInPhase(phaseEnded) {
		m.updateEnded(id, listed[id], now)
	}
}

// policyInput returns the input of the placement policy. Unreleased members of ending replicas
// count as members. An empty member id stands for a missing member; an ending replica has one
// too, so that the policy sees it as incomplete.
func (m *Machine) policyInput(in Input, replicas []fleet.Replica) placement.Input {
	input := placement.Input{Zone: m.opts.Scope, Groups: in.Rules.Groups, CheapLoads: in.UnmeteredLoads, Work: in.Work, VMs: make([]placement.VM, 0, len(in.List.Servers))}
	engineServices := make(map[cluster.Service]bool)
	for _, g := range in.Rules.Groups {
		engineServices[g.Servers] = true
	}
	for i := range in.List.Servers {
		if s := &in.List.Servers[i]; engineServices[s.Service] {
			input.VMs = append(input.VMs, placement.VM{ID: s.ID, Domain: s.Domain, Zone: s.Zone, Service: s.Service, Listed: true,
				Leaving: s.Draining, LastSeen: in.List.ReadAt, DownSince: m.downSince(s, in.Now), Model: s.Model, Staged: s.Staged, Loading: m.stagingModel(s.ID),
				Evacuated: in.List.IsEvacuated(s.Zone)})
		}
	}
	for i := range replicas {
		r := &replicas[i]
		id := r.ID()
		if m.records[id] != nil {
			continue
		}
		unlisted := m.reachableUnlisted(id, in.Now)
		for _, s := range unlisted {
			input.VMs = append(input.VMs, placement.VM{ID: s.ID, Domain: s.Domain, Zone: s.Zone, Service: s.Service, LastSeen: in.Now, Model: s.Model, Staged: s.Staged})
		}
		input.Replicas = append(input.Replicas, policyReplica(r, unlisted, m.opts.Scope))
	}
	for _, id := range m.replicasInPhase(phaseEnding) {
		input.Replicas = append(input.Replicas, cluster.Replica{ID: id, Members: append([]cluster.VMID{""}, m.endingOf(id).unreleased()...)})
	}
	for _, id := range m.replicasInPhase(phaseJoining, phaseOpening) {
		input.Replicas = append(input.Replicas, m.formingOf(id).replica)
	}
	return input
}

// policyReplica converts a replica for the placement policy. One empty member id stands for
// members that are neither listed nor reachable, or that the head has lost.
func policyReplica(r *fleet.Replica, unlisted []fleet.Server, zone cluster.ZoneID) cluster.Replica {
	out := cluster.Replica{ID: r.ID(), Group: r.Group, Model: r.Model, Zone: zone, Generation: r.Epoch}
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

// applyPlan starts the actions of the plan.
func (m *Machine) applyPlan(in Input, plan placement.Plan) {
	for _, a := range plan.Actions {
		switch a.Kind {
		case placement.Form:
			m.startForming(placement.FindGroup(in.Rules.Groups, a.Group), in.List, a, in.Now)
		case placement.Preload:
			m.startStaging(placement.FindGroup(in.Rules.Groups, a.Group), in.List, a, in.Now)
		case placement.BreakUp:
			m.startEnding(in.List, a, in.Now)
		}
	}
}

// sendDueOrders sends the orders that are due for ready, forming and ending replicas.
func (m *Machine) sendDueOrders(list fleet.List, replicas []fleet.Replica, now time.Time) {
	for i := range replicas {
		r := &replicas[i]
		if m.endingOf(r.ID()) == nil && m.phaseOf(r.ID()) != phaseEnded && r.State() == fleet.Ready && r.Formed() {
			m.sendOpen(r, now)
		}
	}
	for _, id := range m.replicasInPhase(phaseJoining, phaseOpening) {
		m.markJoinedFromList(list, m.formingOf(id))
		m.sendJoins(list, m.formingOf(id), now)
	}
	for _, id := range m.replicasInPhase(phaseEnding) {
		m.advanceEnding(list, id, m.endingOf(id), now)
	}
}

// send queues an order and returns true, unless another order to the VM is in progress or its zone
// is evacuated.
func (m *Machine) send(to fleet.Server, order Order) bool {
	if m.inFlight[to.ID] || slices.Contains(m.evacuated, to.Zone) {
		return false
	}
	m.inFlight[to.ID] = true
	m.out.SendOrders = append(m.out.SendOrders, OutgoingOrder{to, order})
	return true
}

// handleOrderResults processes the results of orders.
func (m *Machine) handleOrderResults(in Input) {
	for _, result := range in.OrderResults {
		delete(m.inFlight, result.To.ID)
		m.handleOrderResult(result, in.Now)
	}
}

func (m *Machine) handleOrderResult(result OrderResult, now time.Time) {
	id := fleet.ReplicaID(result.Order.Replica, result.Order.Epoch)
	log := m.opts.Log.With("order", result.Order.Kind, "vm", result.To.ID, "born", result.To.StartedAt, "replica", id)
	if result.NotSent {
		log.Warn("order", "outcome", "not sent", "err", result.Err.Error())
		return
	}
	if result.Err != nil {
		log.Warn("order", "outcome", "unknown", "err", result.Err.Error())
		if e := m.endingOf(id); e != nil && result.To.ID == e.head {
			e.headUnresponsive = true
		}
		return
	}
	log.Info("order", "outcome", result.Response)
	switch {
	case result.Response == Fenced:
		m.fenced = true
	case result.Order.Kind == Join && (result.Response == Accepted || result.Response == Done):
		if f := m.formingOf(id); f != nil {
			f.joined[result.To.ID] = true
		}
	case result.Order.Kind == Leave && m.endingOf(id) != nil:
		m.handleLeaveResponse(id, m.endingOf(id), result, now)
	}
}
