package lifecycle

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// simulationStep is the time between two steps of the holder.
const simulationStep = 100 * time.Millisecond

// simulation simulates a holder and VMs on a virtual clock.
type simulation struct {
	now            time.Time
	rules          *rules.Set
	unmeteredLoads bool
	// turningWork makes two models get most of the work by turns.
	turningWork bool
	vms         []*simulatedVM
	fence       cluster.Fence
	// machine is the holder's; lastListed holds the last list entries that the holder's node saw.
	machine    *Machine
	lastListed map[cluster.VMID]fleet.Server
	list       fleet.List
	listStale  bool
	next       Input
	// pending holds orders without a response, whose timeouts are reported when due.
	pending []pendingOrder
	// everReady records which VM was ever ready in which replica.
	everReady map[readyKey]bool
	// loadStarts holds the start times of metered loads.
	loadStarts []time.Time
	// closeOrders counts the orders to close a replica that still works.
	closeOrders int
	violation   string
}

type pendingOrder struct {
	deadline time.Time
	result   OrderResult
}

type readyKey struct {
	replica cluster.ReplicaID
	vm      cluster.VMID
}

// simulationOptions configures a simulation.
type simulationOptions struct {
	domains, vms int
	// size is the number of VMs of a replica.
	size int
	// coldStart makes VMs start without weights, which then load at a limited rate.
	coldStart bool
	// turningWork adds a second model; the two get most of the work by turns.
	turningWork bool
}

func newSimulation(o simulationOptions) *simulation {
	group := rules.Group{Name: "m", Model: "m", VMs: o.size, SameDomain: true, Servers: "models", ColdLoad: vmColdLoad, WarmLoad: vmWarmLoad}
	sim := &simulation{now: time.Unix(1000, 0), rules: rules.Assemble(rules.Set{Groups: []rules.Group{group}}), unmeteredLoads: !o.coldStart, fence: 1,
		lastListed: make(map[cluster.VMID]fleet.Server), everReady: make(map[readyKey]bool)}
	if o.coldStart {
		sim.rules.Weights = rules.WeightStore{LoadsPerSecond: 1.25, LoadsAtOnce: 12}
	}
	if o.turningWork {
		other := group
		other.Name, other.Model = "n", "n"
		sim.rules = rules.Assemble(rules.Set{Groups: []rules.Group{group, other}, Weights: sim.rules.Weights})
		sim.turningWork = true
	}
	for d := range o.domains {
		for i := range o.vms {
			at := sim.now.Add(-time.Duration(i) * 250 * time.Millisecond)
			sim.vms = append(sim.vms, &simulatedVM{id: cluster.VMID(fmt.Sprintf("vm-%02d-%02d", d, i)), domain: cluster.DomainID(fmt.Sprint("d", d)),
				alive: true, processStart: sim.now, heartbeatAt: at})
			if !o.coldStart {
				sim.vms[len(sim.vms)-1].staged = []string{"m"}
			}
		}
	}
	sim.handOver()
	return sim
}

var discardLogger = slog.New(slog.DiscardHandler)

// handOver gives the lease to another node, which knows only what is listed now.
func (sim *simulation) handOver() {
	sim.fence++
	sim.listStale, sim.next, sim.pending = false, Input{}, nil
	sim.lastListed = make(map[cluster.VMID]fleet.Server)
	sim.machine = NewMachine(Options{Scope: "here", Fence: sim.fence, Policy: placement.Mix{}, Log: discardLogger, LastListed: sim.lastListed})
}

func (sim *simulation) find(id cluster.VMID) *simulatedVM {
	for _, v := range sim.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}

// hasLostMember reports whether a head has lost a member.
func (sim *simulation) hasLostMember(head *simulatedVM) bool {
	id := fleet.ReplicaID(head.member.Replica, head.member.Epoch)
	return slices.ContainsFunc(head.members, func(vm cluster.VMID) bool {
		v := sim.find(vm)
		return v == nil || !v.running() || !v.in(id)
	})
}

// step advances the simulation by one step of the holder. It reports whether an event occurred that
// a fault could interleave with.
func (sim *simulation) step() (eventful bool) {
	sim.now = sim.now.Add(simulationStep)
	for _, v := range sim.vms {
		v.advance(sim.now, sim.hasLostMember)
		sim.recordReady(v)
	}
	eventful = sim.publish()
	for _, s := range sim.list.Servers {
		sim.lastListed[s.ID] = s
	}
	sim.expireOrders()
	in := sim.next
	sim.next = Input{}
	in.Now, in.Rules, in.UnmeteredLoads, in.LeaseRemaining, in.List = sim.now, sim.rules, sim.unmeteredLoads, time.Hour, sim.list
	if sim.turningWork {
		in.Work = sim.work()
	}
	out := sim.machine.Step(in)
	for _, s := range out.SendOrders {
		sim.deliver(s)
	}
	for _, p := range out.ProbeUnlisted {
		if v := sim.find(p.ID); v != nil && v.running() && !v.holderDisconnected && !v.dropsResponses {
			sim.next.RespondingUnlisted = append(sim.next.RespondingUnlisted, v.id)
		}
	}
	return eventful || len(out.SendOrders) > 0 || len(in.OrderResults) > 0
}

// workTurn is how long one model gets most of the work.
const workTurn = 15 * time.Second

// work returns the work by model.
func (sim *simulation) work() workload.Rates {
	if sim.now.Unix()/int64(workTurn.Seconds())%2 == 0 {
		return workload.Rates{"m": 4, "n": 0.2}
	}
	return workload.Rates{"m": 0.2, "n": 4}
}

func (sim *simulation) recordReady(v *simulatedVM) {
	if v.running() && v.member != nil && v.member.State == fleet.Ready {
		sim.everReady[readyKey{fleet.ReplicaID(v.member.Replica, v.member.Epoch), v.id}] = true
	}
}

// publish updates the holder's list from the VMs' entries and reports whether it changed.
func (sim *simulation) publish() bool {
	list := fleet.List{Revision: 1 << 40, ReadAt: sim.now}
	for _, v := range sim.vms {
		if v.running() && !v.storeDisconnected {
			for sim.now.Sub(v.heartbeatAt) >= vmHeartbeat {
				v.heartbeatAt = v.heartbeatAt.Add(vmHeartbeat)
			}
			list.Servers = append(list.Servers, v.entry())
			continue
		}
		if sim.now.Sub(v.heartbeatAt) < vmEntryTTL {
			if s := sim.list.Find(v.id); s != nil {
				list.Servers = append(list.Servers, *s)
			}
		}
	}
	if sim.listStale {
		return false
	}
	changed := !list.SameServers(sim.list)
	list.Version = sim.list.Version
	if changed || list.Version == 0 {
		list.Version++
	}
	sim.list = list
	return changed
}

// expireOrders reports orders without a response to the holder once they have timed out.
func (sim *simulation) expireOrders() {
	kept := sim.pending[:0:0]
	for _, p := range sim.pending {
		if sim.now.Before(p.deadline) {
			kept = append(kept, p)
			continue
		}
		sim.next.OrderResults = append(sim.next.OrderResults, p.result)
	}
	sim.pending = kept
}

// deliver delivers an order to its VM, unless a fault prevents it.
func (sim *simulation) deliver(s OutgoingOrder) {
	result := OrderResult{To: s.To, Order: s.Order, At: sim.now}
	v := sim.find(s.To.ID)
	if s.Order.Kind == Close {
		sim.closeOrders++
	}
	switch {
	case v == nil || !v.alive || v.holderDisconnected:
		result.Err = context.DeadlineExceeded
	case v.frozen:
		result.Err = syscall.ECONNREFUSED
		sim.next.OrderResults = append(sim.next.OrderResults, result)
		return
	case v.delaysOrders:
		v.delayedOrders = append(v.delayedOrders, s.Order)
		result.Err = context.DeadlineExceeded
	default:
		result.Response = sim.execute(v, s.Order, true)
		if !v.dropsResponses {
			sim.next.OrderResults = append(sim.next.OrderResults, result)
			return
		}
		result.Response, result.Err = "", context.DeadlineExceeded
	}
	sim.pending = append(sim.pending, pendingOrder{sim.now.Add(OrderTimeout), result})
}

// execute makes a VM execute an order and checks the invariants.
func (sim *simulation) execute(v *simulatedVM, o Order, counts bool) Response {
	before, loads := v.clone(), 0
	response := v.execute(o, sim.now, &loads)
	if o.Kind == Join && response == Accepted {
		sim.checkJoin(before, o)
	}
	if o.Kind == Open && response == Accepted {
		sim.checkOpen(v)
	}
	for range loads {
		if counts && !sim.unmeteredLoads {
			sim.loadStarts = append(sim.loadStarts, sim.now)
		}
	}
	return response
}

// checkJoin checks that no VM joins a replica while another one that it belongs to may still serve.
func (sim *simulation) checkJoin(v *simulatedVM, o Order) {
	if v.member == nil || v.member.Epoch == o.Epoch {
		return
	}
	id := fleet.ReplicaID(v.member.Replica, v.member.Epoch)
	head := sim.find(v.members[0])
	if head != nil && head.alive && head.in(id) && (head.member.State == fleet.Open || head.member.State == fleet.Closing) {
		sim.violate("%s joins %s while %s, head %s, is %s", v.id, o.Replica, id, head.id, head.member.State)
	}
}

// checkOpen checks that no replica opens of which a member was never ready.
func (sim *simulation) checkOpen(head *simulatedVM) {
	id := fleet.ReplicaID(head.member.Replica, head.member.Epoch)
	if len(head.members) != sim.rules.Groups[0].VMs {
		sim.violate("%s opens with %d members", id, len(head.members))
	}
	for _, vm := range head.members {
		if !sim.everReady[readyKey{id, vm}] {
			sim.violate("%s opens and %s was never ready", id, vm)
		}
	}
}

// checkLoads checks that loads stay within the weight store's rate in any window.
func (sim *simulation) checkLoads() {
	const window = 5 * time.Second
	allowed := sim.rules.Weights.LoadsPerSecond*window.Seconds()*1.1 + 3
	for i, from := range sim.loadStarts {
		n := 0
		for _, at := range sim.loadStarts[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if float64(n) > allowed {
			sim.violate("%d loads within %s", n, window)
		}
	}
}

func (sim *simulation) violate(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// maxEventWait is how long runUntilEvent waits for an event.
const maxEventWait = 2 * time.Second

// runUntilEvent advances the simulation until an event.
func (sim *simulation) runUntilEvent() {
	for until := sim.now.Add(maxEventWait); sim.now.Before(until) && sim.violation == ""; {
		if sim.step() {
			return
		}
	}
}

// runFor advances the simulation by a duration.
func (sim *simulation) runFor(d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until) && sim.violation == ""; {
		sim.step()
	}
}

// endFaults ends all faults that are not permanent.
func (sim *simulation) endFaults() {
	sim.listStale = false
	for _, v := range sim.vms {
		v.frozen, v.storeDisconnected, v.holderDisconnected, v.dropsResponses, v.delaysOrders = false, false, false, false, false
		sim.executeDelayedOrders(v)
	}
}

// executeDelayedOrders makes a VM execute its delayed orders.
func (sim *simulation) executeDelayedOrders(v *simulatedVM) {
	queue := v.delayedOrders
	v.delayedOrders = nil
	for _, o := range queue {
		if v.running() {
			sim.execute(v, o, false)
		}
	}
}

// countServing returns the number of open, complete replicas and how many the VMs suffice for.
func (sim *simulation) countServing() (open, possible int) {
	usable := make(map[cluster.DomainID]int)
	for _, v := range sim.vms {
		if v.running() && v.drainedAt.IsZero() {
			usable[v.domain]++
		}
		if v.running() && v.member != nil && v.member.State == fleet.Open && !sim.hasLostMember(v) {
			open++
		}
	}
	for _, n := range usable {
		possible += n / sim.rules.Groups[0].VMs
	}
	return open, possible
}

// clone returns an independent copy of the simulation.
func (sim *simulation) clone() *simulation {
	c := *sim
	c.vms = nil
	for _, v := range sim.vms {
		c.vms = append(c.vms, v.clone())
	}
	c.lastListed = maps.Clone(sim.lastListed)
	c.machine = sim.machine.clone(c.lastListed)
	c.everReady = maps.Clone(sim.everReady)
	c.pending, c.loadStarts = slices.Clone(sim.pending), slices.Clone(sim.loadStarts)
	c.next.OrderResults, c.next.RespondingUnlisted = slices.Clone(sim.next.OrderResults), slices.Clone(sim.next.RespondingUnlisted)
	return &c
}

// clone returns a copy of the machine that uses the given list entries. The copy has a fresh rate
// limiter, which matters only where loads are metered.
func (m *Machine) clone(lastListed map[cluster.VMID]fleet.Server) *Machine {
	c := *m
	c.lastListed, c.opts.LastListed = lastListed, lastListed
	limits := *m.loads
	limits.deadlines = maps.Clone(m.loads.deadlines)
	limits.limiter = rate.NewLimiter(m.loads.limiter.Limit(), loadBurst)
	c.loads = &limits
	c.staging, c.down, c.observedVMs, c.inFlight = maps.Clone(m.staging), maps.Clone(m.down), maps.Clone(m.observedVMs), maps.Clone(m.inFlight)
	c.stallProbedAt = maps.Clone(m.stallProbedAt)
	c.unlistedVMs = make(map[cluster.VMID]*unlistedVM, len(m.unlistedVMs))
	for vm, p := range m.unlistedVMs {
		copied := *p
		c.unlistedVMs[vm] = &copied
	}
	c.records = make(map[cluster.ReplicaID]*record, len(m.records))
	for id, r := range m.records {
		c.records[id] = r.clone()
	}
	return &c
}

func (r *record) clone() *record {
	c := record{phase: r.phase}
	if r.forming != nil {
		f := *r.forming
		f.sentAt, f.joined, f.processStarts = maps.Clone(f.sentAt), maps.Clone(f.joined), maps.Clone(f.processStarts)
		c.forming = &f
	}
	if r.ending != nil {
		e := *r.ending
		e.members, e.released, e.sentAt = slices.Clone(e.members), maps.Clone(e.released), maps.Clone(e.sentAt)
		c.ending = &e
	}
	if r.ended != nil {
		e := *r.ended
		c.ended = &e
	}
	return &c
}

// hash returns a hash of the simulation's state, independent of the time and of replica names.
func (sim *simulation) hash() uint64 {
	h := fnv.New64a()
	numbers := sim.numberReplicas()
	age := func(t time.Time) int64 {
		if t.IsZero() {
			return -1 << 30
		}
		return min(int64(sim.now.Sub(t)/simulationStep), 400)
	}
	number := func(id cluster.ReplicaID) int { return numbers[id] }
	member := func(m *fleet.Membership) string {
		if m == nil {
			return "-"
		}
		return fmt.Sprint(number(fleet.ReplicaID(m.Replica, m.Epoch)), m.Rank, m.State)
	}
	order := func(o Order) string {
		return fmt.Sprint(o.Kind, sim.fence-o.Fence, number(fleet.ReplicaID(o.Replica, o.Epoch)))
	}
	for _, v := range sim.vms {
		fmt.Fprint(h, v.alive, v.frozen, v.storeDisconnected, v.holderDisconnected, v.dropsResponses, v.delaysOrders, age(v.drainedAt), age(v.processStart), member(v.member), v.members,
			age(v.nextStateAt), age(v.stalledSince), v.lastModel, v.staged, v.staging, age(v.stagedAt), age(v.heartbeatAt), sim.fence-v.highestFence)
		for _, o := range v.delayedOrders {
			fmt.Fprint(h, order(o))
		}
	}
	fmt.Fprint(h, "|", sim.listStale)
	for _, s := range sim.list.Servers {
		fmt.Fprint(h, s.ID, age(s.StartedAt), s.Draining, member(s.Membership), s.Staged, s.Model)
	}
	for _, p := range sim.pending {
		fmt.Fprint(h, "p", age(p.deadline), p.result.To.ID, order(p.result.Order))
	}
	for _, a := range sim.next.OrderResults {
		fmt.Fprint(h, "a", a.To.ID, order(a.Order), a.Response, a.Err != nil)
	}
	fmt.Fprint(h, sim.next.RespondingUnlisted)
	sim.machine.writeState(h, age, number, member)
	return h.Sum64()
}

// numberReplicas numbers the replicas that are still referred to, oldest first.
func (sim *simulation) numberReplicas() map[cluster.ReplicaID]int {
	epochs := make(map[cluster.ReplicaID]int64)
	add := func(replica string, epoch int64) { epochs[fleet.ReplicaID(replica, epoch)] = epoch }
	servers := slices.Clone(sim.list.Servers)
	servers = slices.AppendSeq(servers, maps.Values(sim.lastListed))
	for _, v := range sim.vms {
		servers = append(servers, v.entry())
		for _, o := range v.delayedOrders {
			add(o.Replica, o.Epoch)
		}
	}
	for _, s := range servers {
		if s.Membership != nil {
			add(s.Membership.Replica, s.Membership.Epoch)
		}
	}
	for _, p := range sim.pending {
		add(p.result.Order.Replica, p.result.Order.Epoch)
	}
	for _, a := range sim.next.OrderResults {
		add(a.Order.Replica, a.Order.Epoch)
	}
	for id, r := range sim.machine.records {
		if r.forming != nil {
			add(r.forming.name, r.forming.epoch)
		} else {
			name, _, _ := strings.Cut(string(id), ".")
			var epoch int64
			_, _ = fmt.Sscanf(name, "m/%d", &epoch)
			add(name, epoch)
		}
	}
	ids := slices.SortedFunc(maps.Keys(epochs), func(a, b cluster.ReplicaID) int { return int(epochs[a] - epochs[b]) })
	numbers := make(map[cluster.ReplicaID]int, len(ids))
	for i, id := range ids {
		numbers[id] = i + 1
	}
	return numbers
}
