package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// AssignmentError says why Assignments refuses an action or a table.
type AssignmentError struct {
	Action  Kind
	Replica cluster.ReplicaID
	VM      cluster.VMID
	// AssignedTo is the replica that has the VM already, if that is the reason.
	AssignedTo cluster.ReplicaID
	Problem    string
}

// Error implements error.
func (e *AssignmentError) Error() string {
	return fmt.Sprintf("placement %s: %s: replica=%s vm=%s holder=%s", e.Action, e.Problem, e.Replica, e.VM, e.AssignedTo)
}

// Assignments is a zone's grouping with an index from VM to replica. Every change of a
// grouping, by whatever policy, goes through Apply: it refuses to put a VM into
// two replicas, whatever the plan says.
type Assignments struct {
	zone     cluster.ZoneID
	replicas map[cluster.ReplicaID]cluster.Replica
	holder   map[cluster.VMID]cluster.ReplicaID
	sorted   []cluster.Replica // what Replicas returned last; nil after a change
}

// NewAssignments returns the Assignments of the given replicas, or a *AssignmentError if two share a VM.
func NewAssignments(zone cluster.ZoneID, replicas []cluster.Replica) (*Assignments, error) {
	t := &Assignments{
		zone:     zone,
		replicas: make(map[cluster.ReplicaID]cluster.Replica, len(replicas)),
		holder:   make(map[cluster.VMID]cluster.ReplicaID, len(replicas)),
	}
	for _, r := range replicas {
		if err := t.add("load", r); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Replica returns one replica.
func (t *Assignments) Replica(id cluster.ReplicaID) (cluster.Replica, bool) {
	r, ok := t.replicas[id]
	return r, ok
}

// ReplicaOf returns the replica that has the VM, or "".
func (t *Assignments) ReplicaOf(vm cluster.VMID) cluster.ReplicaID { return t.holder[vm] }

// Replicas returns all replicas ordered by id; callers must not change the slice.
func (t *Assignments) Replicas() []cluster.Replica {
	if t.sorted != nil {
		return t.sorted
	}
	out := make([]cluster.Replica, 0, len(t.replicas))
	for _, r := range t.replicas {
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y cluster.Replica) int { return cmp.Compare(x.ID, y.ID) })
	t.sorted = out
	return out
}

// Change is the outcome of an applied action: the replica as it is afterwards,
// or Removed.
type Change struct {
	Replica cluster.Replica
	Removed bool
}

// CommitMetadata gives the parts of a new or changed replica that no policy chooses.
type CommitMetadata struct {
	// NewID names a formed replica; ids are never used twice.
	NewID cluster.ReplicaID
	Model string
	Fence cluster.Fence
}

// Apply changes the assignments by one action and returns the change to commit.
func (t *Assignments) Apply(a Action, s CommitMetadata) (Change, error) {
	if a.Kind == Form {
		return t.form(a, s)
	}
	old, ok := t.replicas[a.Replica]
	if !ok {
		return Change{}, &AssignmentError{Action: a.Kind, Replica: a.Replica, Problem: "no such replica"}
	}
	switch a.Kind {
	case BreakUp:
		t.remove(old)
		return Change{Replica: old, Removed: true}, nil
	case Drain:
		// The generation stays: a new one would have the engines reassigned in
		// the middle of the streams that the drain lets finish.
		old.Leaving = true
		t.replicas[old.ID] = old
		t.sorted = nil
		return Change{Replica: old}, nil
	case Replace:
		return t.replace(a, old, s)
	default:
		return Change{}, &AssignmentError{Action: a.Kind, Replica: a.Replica, Problem: "action changes nothing"}
	}
}

func (t *Assignments) form(a Action, s CommitMetadata) (Change, error) {
	if len(a.Members) == 0 {
		return Change{}, &AssignmentError{Action: Form, Replica: s.NewID, Problem: "no members"}
	}
	r := cluster.Replica{
		ID: s.NewID, Group: a.Group, Model: s.Model, Zone: t.zone, Generation: 1, Fence: s.Fence,
		Members: slices.Clone(a.Members), Serving: a.Members[0],
	}
	if _, taken := t.replicas[r.ID]; taken || r.ID == "" {
		return Change{}, &AssignmentError{Action: Form, Replica: r.ID, Problem: "replica id taken or empty"}
	}
	if err := t.add(Form, r); err != nil {
		return Change{}, err
	}
	return Change{Replica: r}, nil
}

func (t *Assignments) replace(a Action, old cluster.Replica, s CommitMetadata) (Change, error) {
	if len(a.OldMembers) != len(a.NewMembers) {
		return Change{}, &AssignmentError{Action: Replace, Replica: old.ID, Problem: "sizes differ"}
	}
	next := old
	next.Members = slices.Clone(old.Members)
	for i, out := range a.OldMembers {
		at := slices.Index(next.Members, out)
		if at < 0 {
			return Change{}, &AssignmentError{Action: Replace, Replica: old.ID, VM: out, Problem: "not a member"}
		}
		next.Members[at] = a.NewMembers[i]
	}
	next.Leaving = false
	next.Serving = next.Members[0]
	next.Generation = old.Generation + 1
	next.Fence = s.Fence
	t.remove(old)
	if err := t.add(Replace, next); err != nil {
		t.insert(old)
		return Change{}, err
	}
	return Change{Replica: next}, nil
}

// add checks that no member is held already, then inserts.
func (t *Assignments) add(kind Kind, r cluster.Replica) error {
	seen := make(map[cluster.VMID]struct{}, len(r.Members))
	for _, vm := range r.Members {
		if holder, held := t.holder[vm]; held {
			return &AssignmentError{Action: kind, Replica: r.ID, VM: vm, AssignedTo: holder, Problem: "VM is in another replica"}
		}
		if _, twice := seen[vm]; twice {
			return &AssignmentError{Action: kind, Replica: r.ID, VM: vm, AssignedTo: r.ID, Problem: "VM named twice"}
		}
		seen[vm] = struct{}{}
	}
	if !slices.Contains(r.Members, r.Serving) {
		return &AssignmentError{Action: kind, Replica: r.ID, VM: r.Serving, Problem: "serving VM is not a member"}
	}
	t.insert(r)
	return nil
}

func (t *Assignments) insert(r cluster.Replica) {
	t.sorted = nil
	t.replicas[r.ID] = r
	for _, vm := range r.Members {
		t.holder[vm] = r.ID
	}
}

func (t *Assignments) remove(r cluster.Replica) {
	t.sorted = nil
	delete(t.replicas, r.ID)
	for _, vm := range r.Members {
		delete(t.holder, vm)
	}
}
