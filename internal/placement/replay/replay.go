package replay

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Timings are the delays and rates of a replay.
type Timings struct {
	// Detect is the time from a VM's loss until the policy sees it.
	Detect time.Duration
	// Load is the time in which a VM loads weights.
	Load time.Duration
	// Join is the time from the last member's load until the replica serves.
	Join time.Duration
	// StreamDrain is how long streams run on after a replica stops accepting requests.
	StreamDrain time.Duration
	// LoadsPerSecond is how many VMs per second may start to load weights.
	LoadsPerSecond float64
}

// DefaultTimings returns assumed values; docs/placement.md explains them.
func DefaultTimings() Timings {
	return Timings{Detect: 9 * time.Second, Load: 2 * time.Minute, Join: 30 * time.Second, StreamDrain: 20 * time.Second, LoadsPerSecond: 0.5}
}

// Result holds the measurements of a replay.
type Result struct {
	Policy string
	// Downtime is the replica-time lost, measured against the number of replicas that
	// fit into the zone at full health.
	Downtime time.Duration
	// ByGroup is Downtime by group.
	ByGroup map[cluster.GroupName]time.Duration
	// Stranded is the VM-time of VMs that are up and not leaving but in no healthy replica.
	Stranded time.Duration
	// InterruptedReplicas counts replicas that were broken up or changed while streams
	// ran on them.
	InterruptedReplicas int
	// Changes counts committed actions, Loads the loads of weights.
	Changes, Loads int
	// DowntimeBound and StrandedBound are lower bounds for any policy.
	DowntimeBound, StrandedBound time.Duration
}

// vm is the simulated state of a VM.
type vm struct {
	cluster.VM
	losses   []int // indexes of the trace events that keep it down now
	downAt   time.Duration
	upAt     time.Duration
	leaving  int
	model    string        // loaded or loading
	loadedAt time.Duration // when the load is complete
}

func (v *vm) up() bool { return len(v.losses) == 0 }

// sim is the state of a replay. Times are offsets from the start of the trace.
type sim struct {
	policy  placement.Policy
	groups  []rules.Group
	timings Timings
	trace   Trace

	now         time.Duration
	timers      timers
	vms         []*vm
	byID        map[cluster.VMID]*vm
	assignments *placement.Assignments
	changedAt   map[cluster.ReplicaID]time.Duration // time of the last change of members
	drainedAt   map[cluster.ReplicaID]time.Duration // when the replica stopped accepting requests
	healthy     map[cluster.ReplicaID]bool
	nextLoad    time.Duration
	nextID      int
	targets     map[cluster.GroupName]int
	result      Result
}

// epoch is the wall time of offset zero. Only differences matter.
var epoch = time.Unix(0, 0).UTC()

// Run replays the trace under the policy. Initially all VMs are up and loaded.
func Run(t Trace, policy placement.Policy, groups []rules.Group, timings Timings) (Result, error) {
	s := newSim(t, policy, groups, timings)
	s.targets = fitAtFullHealth(t, groups)
	if err := s.converge(); err != nil {
		return Result{}, err
	}
	for id := range s.changedAt {
		s.changedAt[id] = -timings.Join
	}
	for _, v := range s.vms {
		v.loadedAt = 0
	}
	s.result = Result{Policy: policy.Name(), ByGroup: make(map[cluster.GroupName]time.Duration)}
	next := 0
	for {
		at := t.Length
		if next < len(t.Events) {
			at = min(at, t.Events[next].At)
		}
		at = min(at, s.timers.next())
		s.advance(at)
		if at >= t.Length {
			return s.result, nil
		}
		for next < len(t.Events) && t.Events[next].At <= at {
			s.applyEvent(next)
			next++
		}
		s.timers.runDue(s.now)
		if err := s.converge(); err != nil {
			return Result{}, err
		}
	}
}

func newSim(t Trace, policy placement.Policy, groups []rules.Group, timings Timings) *sim {
	s := &sim{
		policy: policy, groups: groups, timings: timings, trace: t, byID: make(map[cluster.VMID]*vm, len(t.VMs)),
		changedAt: make(map[cluster.ReplicaID]time.Duration), drainedAt: make(map[cluster.ReplicaID]time.Duration),
		healthy: make(map[cluster.ReplicaID]bool),
	}
	for _, listed := range t.VMs {
		v := &vm{VM: listed}
		s.vms = append(s.vms, v)
		s.byID[v.ID] = v
	}
	s.assignments, _ = placement.NewAssignments("z", nil)
	return s
}

// applyEvent applies a trace event. A leave becomes a loss when its notice ends.
func (s *sim) applyEvent(i int) {
	e := s.trace.Events[i]
	v := s.byID[e.VM]
	if e.Kind == Leave {
		v.leaving++
		s.timers.add(s.now+e.Notice, func() { v.leaving--; s.takeDown(v, i, e.Down) })
		return
	}
	s.takeDown(v, i, e.Down)
}

func (s *sim) takeDown(v *vm, i int, down time.Duration) {
	if v.up() {
		v.downAt = s.now
	}
	v.losses = append(v.losses, i)
	v.model = ""
	s.timers.add(s.now+s.timings.Detect, nil)
	s.timers.add(s.now+down, func() {
		v.losses = slices.DeleteFunc(v.losses, func(l int) bool { return l == i })
		v.upAt = s.now
	})
}

// advance moves the clock forward and accumulates the measurements.
func (s *sim) advance(to time.Duration) {
	elapsed := to - s.now
	s.now = to
	if elapsed == 0 {
		return
	}
	serving := make(map[cluster.GroupName]int)
	used := 0
	for _, r := range s.assignments.Replicas() {
		if s.healthy[r.ID] {
			serving[r.Group]++
			used += len(r.Members)
		}
	}
	live, bound := s.lowerBounds()
	for name, target := range s.targets {
		shortfall := elapsed * time.Duration(max(0, target-serving[name]))
		s.result.Downtime += shortfall
		s.result.ByGroup[name] += shortfall
	}
	s.result.Stranded += elapsed * time.Duration(live-used)
	s.result.DowntimeBound += elapsed * time.Duration(bound.downtime)
	s.result.StrandedBound += elapsed * time.Duration(bound.stranded)
}

// converge runs the policy at the current time until it changes nothing more.
func (s *sim) converge() error {
	for range maxPlanRounds {
		plan := s.policy.Plan(s.input(), epoch.Add(s.now))
		changed := false
		for _, a := range plan.Actions {
			if err := s.applyAction(a); err != nil {
				return err
			}
			changed = changed || a.ChangesTable()
		}
		if !plan.ReplanAt.IsZero() {
			s.timers.add(plan.ReplanAt.Sub(epoch), nil)
		}
		s.loadMembers()
		s.updateHealthy()
		if !changed {
			return nil
		}
	}
	return &ConvergenceError{Policy: s.policy.Name(), At: s.now}
}

// maxPlanRounds limits the plans at one point in time. A policy that exceeds it does
// not converge.
const maxPlanRounds = 10

// ConvergenceError reports a policy that keeps changing the grouping without an event.
type ConvergenceError struct {
	Policy string
	At     time.Duration
}

// Error implements error.
func (e *ConvergenceError) Error() string {
	return fmt.Sprintf("replay: policy %s does not converge at %v", e.Policy, e.At)
}

func (s *sim) applyAction(a placement.Action) error {
	if a.Kind == placement.Preload {
		s.startLoad(s.byID[a.VM], s.modelOf(a.Group))
	}
	if !a.ChangesTable() {
		return nil
	}
	if (a.Kind == placement.BreakUp || a.Kind == placement.Replace) && s.running(a.Replica) {
		s.result.InterruptedReplicas++
	}
	s.nextID++
	id := cluster.ReplicaID(fmt.Sprintf("r%06d", s.nextID))
	change, err := s.assignments.Apply(a, placement.CommitMetadata{NewID: id, Model: s.modelOf(a.Group), Fence: 1})
	if err != nil {
		return err
	}
	s.result.Changes++
	r := change.Replica
	switch {
	case change.Removed:
		delete(s.changedAt, r.ID)
		delete(s.drainedAt, r.ID)
	case a.Kind == placement.Drain:
		s.drainedAt[r.ID] = s.now
		s.timers.add(s.now+s.timings.StreamDrain, nil)
	default:
		delete(s.drainedAt, r.ID)
		s.changedAt[r.ID] = s.now
	}
	return nil
}

func (s *sim) modelOf(name cluster.GroupName) string {
	if g := placement.FindGroup(s.groups, name); g != nil {
		return g.Model
	}
	return ""
}

// running reports whether streams run on the replica: all members are up and loaded, and
// the replica either serves or stopped accepting requests less than StreamDrain ago.
func (s *sim) running(id cluster.ReplicaID) bool {
	r, ok := s.assignments.Replica(id)
	if !ok {
		return false
	}
	for _, m := range r.Members {
		if v := s.byID[m]; !v.up() || s.isLoading(v) || v.model != r.Model {
			return false
		}
	}
	since, draining := s.drainedAt[id]
	return s.now >= s.changedAt[id]+s.timings.Join && (!draining || s.now < since+s.timings.StreamDrain)
}

func (s *sim) isLoading(v *vm) bool { return v.loadedAt > s.now }

// loadMembers starts to load weights on all members that lack them, in order of replicas.
func (s *sim) loadMembers() {
	for _, r := range s.assignments.Replicas() {
		for _, m := range r.Members {
			s.startLoad(s.byID[m], r.Model)
		}
	}
}

// startLoad has the VM load a model's weights, within the rate of the weight store.
func (s *sim) startLoad(v *vm, model string) {
	if !v.up() || v.model == model {
		return
	}
	start := max(s.now, s.nextLoad)
	if s.timings.LoadsPerSecond > 0 {
		s.nextLoad = start + time.Duration(float64(time.Second)/s.timings.LoadsPerSecond)
	}
	v.model, v.loadedAt = model, start+s.timings.Load
	s.result.Loads++
	s.timers.add(v.loadedAt, nil)
}

// updateHealthy determines which replicas are healthy, and schedules when others will be.
func (s *sim) updateHealthy() {
	clear(s.healthy)
	for _, r := range s.assignments.Replicas() {
		ready := s.changedAt[r.ID]
		present := !r.Leaving
		for _, m := range r.Members {
			v := s.byID[m]
			present = present && v.up() && v.leaving == 0 && v.model == r.Model
			ready = max(ready, v.loadedAt)
		}
		ready += s.timings.Join
		if present && ready > s.now {
			s.timers.add(ready, nil)
		}
		s.healthy[r.ID] = present && ready <= s.now
	}
}

func (s *sim) input() placement.Input {
	in := placement.Input{
		Zone: "z", Groups: s.groups, Replicas: s.assignments.Replicas(),
		VMs: make([]placement.VM, 0, len(s.vms)), Load: make(map[cluster.ReplicaID]placement.Load),
	}
	now := epoch.Add(s.now)
	for _, v := range s.vms {
		observed := placement.VM{ID: v.ID, Domain: v.Domain, Listed: true, Leaving: v.leaving > 0, LastSeen: now}
		if !v.up() && s.now >= v.downAt+s.timings.Detect {
			observed.DownSince = epoch.Add(v.downAt)
		}
		if !s.isLoading(v) {
			observed.Model = v.model
		}
		in.VMs = append(in.VMs, observed)
	}
	for _, r := range in.Replicas {
		if s.running(r.ID) {
			in.Load[r.ID] = placement.Load{Running: 1}
		}
	}
	return in
}

// timers holds the scheduled points in time, in order. A timer without a function only
// triggers planning.
type timers struct {
	pending []timer
}

type timer struct {
	at time.Duration
	fn func()
}

func (t *timers) add(at time.Duration, fn func()) {
	i, _ := slices.BinarySearchFunc(t.pending, at, func(a timer, at time.Duration) int { return int(a.at - at) })
	if fn == nil && i < len(t.pending) && t.pending[i].at == at {
		return
	}
	t.pending = slices.Insert(t.pending, i, timer{at: at, fn: fn})
}

func (t *timers) next() time.Duration {
	if len(t.pending) == 0 {
		return math.MaxInt64
	}
	return t.pending[0].at
}

// runDue removes and runs the timers that are due.
func (t *timers) runDue(now time.Duration) {
	for len(t.pending) > 0 && t.pending[0].at <= now {
		first := t.pending[0]
		t.pending = t.pending[1:]
		if first.fn != nil {
			first.fn()
		}
	}
}
