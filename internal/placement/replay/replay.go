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

// Timings are the times that things take in a replay.
type Timings struct {
	// Detect is the time from a VM's loss until the policy sees it.
	Detect time.Duration
	// Load is the reading of weights by one VM.
	Load time.Duration
	// Join is from the last member loaded until the replica serves.
	Join time.Duration
	// StreamDrain is how long streams run on after a replica stops taking work.
	StreamDrain time.Duration
	// LoadsPerSecond is how many VMs a second may start to read weights.
	LoadsPerSecond float64
}

// DefaultTimings are assumptions; docs/placement.md says which and why.
func DefaultTimings() Timings {
	return Timings{Detect: 9 * time.Second, Load: 2 * time.Minute, Join: 30 * time.Second, StreamDrain: 20 * time.Second, LoadsPerSecond: 0.5}
}

// Result is what a replay measured.
type Result struct {
	Policy string
	// Downtime is replica-time lost against the number of replicas that fit the
	// zone at full health.
	Downtime time.Duration
	// ByGroup is Downtime of each group.
	ByGroup map[cluster.GroupName]time.Duration
	// Stranded is VM-time of VMs that are up and not leaving but in no whole replica.
	Stranded time.Duration
	// InterruptedReplicas counts replicas that were taken apart while streams ran on them.
	InterruptedReplicas int
	// Changes counts committed actions, Loads readings of weights.
	Changes, Loads int
	// DowntimeBound and StrandedBound are lower bounds for any policy.
	DowntimeBound, StrandedBound time.Duration
}

// vm is a VM in the replay.
type vm struct {
	cluster.VM
	lost    []int // indexes of the trace's losses that hold it down now
	downAt  time.Duration
	upAt    time.Duration
	leaving int
	model   string        // loaded or being loaded
	loaded  time.Duration // when the weights are there
}

func (v *vm) up() bool { return len(v.lost) == 0 }

// sim is one replay. Times are offsets from the trace's start.
type sim struct {
	policy placement.Policy
	groups []rules.Group
	costs  Timings
	trace  Trace

	now         time.Duration
	wakes       wakes
	vms         []*vm
	byID        map[cluster.VMID]*vm
	assignments *placement.Assignments
	joined      map[cluster.ReplicaID]time.Duration // when the members were last changed
	draining    map[cluster.ReplicaID]time.Duration // when it stopped taking work
	whole       map[cluster.ReplicaID]bool
	nextLoad    time.Duration
	nextID      int
	targets     map[cluster.GroupName]int
	result      Result
}

// epoch is the wall time of offset zero; only differences matter.
var epoch = time.Unix(0, 0).UTC()

// Run replays the trace under the policy. It starts with all VMs up and loaded.
func Run(t Trace, policy placement.Policy, groups []rules.Group, costs Timings) (Result, error) {
	s := newSim(t, policy, groups, costs)
	s.targets = fitting(t, groups)
	if err := s.settle(); err != nil {
		return Result{}, err
	}
	for id := range s.joined {
		s.joined[id] = -costs.Join
	}
	for _, v := range s.vms {
		v.loaded = 0
	}
	s.result = Result{Policy: policy.Name(), ByGroup: make(map[cluster.GroupName]time.Duration)}
	next := 0
	for {
		at := t.Length
		if next < len(t.Events) {
			at = min(at, t.Events[next].At)
		}
		at = min(at, s.wakes.next())
		s.advance(at)
		if at >= t.Length {
			return s.result, nil
		}
		for next < len(t.Events) && t.Events[next].At <= at {
			s.begin(next)
			next++
		}
		s.wakes.fire(s.now)
		if err := s.settle(); err != nil {
			return Result{}, err
		}
	}
}

func newSim(t Trace, policy placement.Policy, groups []rules.Group, costs Timings) *sim {
	s := &sim{
		policy: policy, groups: groups, costs: costs, trace: t, byID: make(map[cluster.VMID]*vm, len(t.VMs)),
		joined: make(map[cluster.ReplicaID]time.Duration), draining: make(map[cluster.ReplicaID]time.Duration),
		whole: make(map[cluster.ReplicaID]bool),
	}
	for _, listed := range t.VMs {
		v := &vm{VM: listed}
		s.vms = append(s.vms, v)
		s.byID[v.ID] = v
	}
	s.assignments, _ = placement.NewAssignments("z", nil)
	return s
}

// begin applies a trace event; a leave becomes a loss when its notice ends.
func (s *sim) begin(i int) {
	e := s.trace.Events[i]
	v := s.byID[e.VM]
	if e.Kind == Leave {
		v.leaving++
		s.wakes.add(s.now+e.Notice, func() { v.leaving--; s.lose(v, i, e.Down) })
		return
	}
	s.lose(v, i, e.Down)
}

func (s *sim) lose(v *vm, i int, down time.Duration) {
	if v.up() {
		v.downAt = s.now
	}
	v.lost = append(v.lost, i)
	v.model = ""
	s.wakes.add(s.now+s.costs.Detect, nil)
	s.wakes.add(s.now+down, func() {
		v.lost = slices.DeleteFunc(v.lost, func(l int) bool { return l == i })
		v.upAt = s.now
	})
}

// advance moves the clock and adds up the measures for the time passed.
func (s *sim) advance(to time.Duration) {
	span := to - s.now
	s.now = to
	if span == 0 {
		return
	}
	have := make(map[cluster.GroupName]int)
	busy := 0
	for _, r := range s.assignments.Replicas() {
		if s.whole[r.ID] {
			have[r.Group]++
			busy += len(r.Members)
		}
	}
	live, bound := s.bounds()
	for name, target := range s.targets {
		lost := span * time.Duration(max(0, target-have[name]))
		s.result.Downtime += lost
		s.result.ByGroup[name] += lost
	}
	s.result.Stranded += span * time.Duration(live-busy)
	s.result.DowntimeBound += span * time.Duration(bound.downtime)
	s.result.StrandedBound += span * time.Duration(bound.stranded)
}

// settle lets the policy plan until it changes nothing more at this time.
func (s *sim) settle() error {
	for range maxPlans {
		plan := s.policy.Plan(s.input(), epoch.Add(s.now))
		changed := false
		for _, a := range plan.Actions {
			if err := s.act(a); err != nil {
				return err
			}
			changed = changed || a.ChangesTable()
		}
		if !plan.ReplanAt.IsZero() {
			s.wakes.add(plan.ReplanAt.Sub(epoch), nil)
		}
		s.load()
		s.judge()
		if !changed {
			return nil
		}
	}
	return &ConvergenceError{Policy: s.policy.Name(), At: s.now}
}

// maxPlans bounds the plans at one time; a policy that needs more goes in circles.
const maxPlans = 10

// ConvergenceError says that a policy keeps changing its mind without an event.
type ConvergenceError struct {
	Policy string
	At     time.Duration
}

// Error implements error.
func (e *ConvergenceError) Error() string {
	return fmt.Sprintf("replay: policy %s does not settle at %v", e.Policy, e.At)
}

func (s *sim) act(a placement.Action) error {
	if a.Kind == placement.Preload {
		s.want(s.byID[a.VM], s.model(a.Group))
	}
	if !a.ChangesTable() {
		return nil
	}
	if (a.Kind == placement.BreakUp || a.Kind == placement.Replace) && s.running(a.Replica) {
		s.result.InterruptedReplicas++
	}
	s.nextID++
	id := cluster.ReplicaID(fmt.Sprintf("r%06d", s.nextID))
	change, err := s.assignments.Apply(a, placement.CommitMetadata{NewID: id, Model: s.model(a.Group), Fence: 1})
	if err != nil {
		return err
	}
	s.result.Changes++
	r := change.Replica
	switch {
	case change.Removed:
		delete(s.joined, r.ID)
		delete(s.draining, r.ID)
	case a.Kind == placement.Drain:
		s.draining[r.ID] = s.now
		s.wakes.add(s.now+s.costs.StreamDrain, nil)
	default:
		delete(s.draining, r.ID)
		s.joined[r.ID] = s.now
	}
	return nil
}

func (s *sim) model(name cluster.GroupName) string {
	if g := placement.FindGroup(s.groups, name); g != nil {
		return g.Model
	}
	return ""
}

// running says whether streams run on the replica: all members are up, and it
// serves or stopped taking work a short while ago.
func (s *sim) running(id cluster.ReplicaID) bool {
	r, ok := s.assignments.Replica(id)
	if !ok {
		return false
	}
	for _, m := range r.Members {
		if v := s.byID[m]; !v.up() || s.loading(v) || v.model != r.Model {
			return false
		}
	}
	since, drains := s.draining[id]
	return s.now >= s.joined[id]+s.costs.Join && (!drains || s.now < since+s.costs.StreamDrain)
}

func (s *sim) loading(v *vm) bool { return v.loaded > s.now }

// load starts reading weights on members that need them, replica by replica.
func (s *sim) load() {
	for _, r := range s.assignments.Replicas() {
		for _, m := range r.Members {
			s.want(s.byID[m], r.Model)
		}
	}
}

// want makes the VM read a model's weights, within the weight store's rate.
func (s *sim) want(v *vm, model string) {
	if !v.up() || v.model == model {
		return
	}
	start := max(s.now, s.nextLoad)
	if s.costs.LoadsPerSecond > 0 {
		s.nextLoad = start + time.Duration(float64(time.Second)/s.costs.LoadsPerSecond)
	}
	v.model, v.loaded = model, start+s.costs.Load
	s.result.Loads++
	s.wakes.add(v.loaded, nil)
}

// judge works out which replicas are whole and when others will be.
func (s *sim) judge() {
	clear(s.whole)
	for _, r := range s.assignments.Replicas() {
		ready := s.joined[r.ID]
		present := !r.Leaving
		for _, m := range r.Members {
			v := s.byID[m]
			present = present && v.up() && v.leaving == 0 && v.model == r.Model
			ready = max(ready, v.loaded)
		}
		ready += s.costs.Join
		if present && ready > s.now {
			s.wakes.add(ready, nil)
		}
		s.whole[r.ID] = present && ready <= s.now
	}
}

func (s *sim) input() placement.Input {
	in := placement.Input{
		Zone: "z", Groups: s.groups, Replicas: s.assignments.Replicas(),
		VMs: make([]placement.VM, 0, len(s.vms)), Load: make(map[cluster.ReplicaID]placement.Load),
	}
	now := epoch.Add(s.now)
	for _, v := range s.vms {
		seen := placement.VM{ID: v.ID, Domain: v.Domain, Listed: true, Leaving: v.leaving > 0, LastSeen: now}
		if !v.up() && s.now >= v.downAt+s.costs.Detect {
			seen.DownSince = epoch.Add(v.downAt)
		}
		if !s.loading(v) {
			seen.Model = v.model
		}
		in.VMs = append(in.VMs, seen)
	}
	for _, r := range in.Replicas {
		if s.running(r.ID) {
			in.Load[r.ID] = placement.Load{Running: 1}
		}
	}
	return in
}

// wakes are the times at which something is to happen, with what.
type wakes struct {
	list []wake
}

type wake struct {
	at time.Duration
	fn func()
}

func (w *wakes) add(at time.Duration, fn func()) {
	i, _ := slices.BinarySearchFunc(w.list, at, func(a wake, at time.Duration) int { return int(a.at - at) })
	if fn == nil && i < len(w.list) && w.list[i].at == at {
		return
	}
	w.list = slices.Insert(w.list, i, wake{at: at, fn: fn})
}

func (w *wakes) next() time.Duration {
	if len(w.list) == 0 {
		return math.MaxInt64
	}
	return w.list[0].at
}

// fire removes all that is due and runs it.
func (w *wakes) fire(now time.Duration) {
	for len(w.list) > 0 && w.list[0].at <= now {
		first := w.list[0]
		w.list = w.list[1:]
		if first.fn != nil {
			first.fn()
		}
	}
}
