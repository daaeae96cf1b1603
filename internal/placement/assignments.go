package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// AssignmentError reports why Assignments rejected an action or a table.
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
	return fmt.Sprintf("placement %s: %s: replica=%s vm=%s assigned_to=%s", e.Action, e.Problem, e.Replica, e.VM, e.AssignedTo)
}

// Assignments is the grouping of a zone with an index from VM to replica. All
// changes go through Apply, which rejects an action that would put a VM into two
// replicas, whichever policy planned it.
type Assignments struct {
	zone        cluster.ZoneID
	replicas    map[cluster.ReplicaID]cluster.Replica
	replicaByVM map[cluster.VMID]cluster.ReplicaID
	sorted      []cluster.Replica // cached result of Replicas; nil after a change
}

// NewAssignments indexes the given replicas. It returns an *AssignmentError if two
// of them share a VM.
func NewAssignments(zone cluster.ZoneID, replicas []cluster.Replica) (*Assignments, error) {
	t := &Assignments{
		zone:        zone,
		replicas:    make(map[cluster.ReplicaID]cluster.Replica, len(replicas)),
		replicaByVM: make(map[cluster.VMID]cluster.ReplicaID, len(replicas)),
	}
	for _, r := range replicas {
		if err := t.add("load", r); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Replica returns the replica with the given id.
func (t *Assignments) Replica(id cluster.ReplicaID) (cluster.Replica, bool) {
	r, ok := t.replicas[id]
	return r, ok
}

// ReplicaOf returns the replica that has the VM, or "".
func (t *Assignments) ReplicaOf(vm cluster.VMID) cluster.ReplicaID { return t.replicaByVM[vm] }

// Replicas returns all replicas, ordered by id. Callers must not modify the slice.
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

// Change is the result of an applied action: the new value of the replica, or its
// last value if Removed.
type Change struct {
	Replica cluster.Replica
	Removed bool
}

// CommitMetadata holds the fields of a new or changed replica that the policy does
// not decide.
type CommitMetadata struct {
	// NewID is the id of a formed replica. Ids are never reused.
	NewID cluster.ReplicaID
	Model string
	Fence cluster.Fence
}

// Apply performs the action and returns the change to commit.
func (t *Assignments) Apply(a Action, meta CommitMetadata) (Change, error) {
	if a.Kind == Form {
		return t.form(a, meta)
	}
	old, ok := t.replicas[a.Replica]
	if !ok {
		return Change{}, &AssignmentError{Action: a.Kind, Replica: a.Replica, Problem: "replica does not exist"}
	}
	switch a.Kind {
	case BreakUp:
		t.remove(old)
		return Change{Replica: old, Removed: true}, nil
	case Drain:
		// Keep the generation: a new one would reassign the engines and so
		// interrupt the streams that the drain lets finish.
		old.Leaving = true
		t.replicas[old.ID] = old
		t.sorted = nil
		return Change{Replica: old}, nil
	case Replace:
		return t.replace(a, old, meta)
	default:
		return Change{}, &AssignmentError{Action: a.Kind, Replica: a.Replica, Problem: "action does not change the table"}
	}
}

func (t *Assignments) form(a Action, meta CommitMetadata) (Change, error) {
	if len(a.Members) == 0 {
		return Change{}, &AssignmentError{Action: Form, Replica: meta.NewID, Problem: "no members"}
	}
	r := cluster.Replica{
		ID: meta.NewID, Group: a.Group, Model: meta.Model, Zone: t.zone, Generation: 1, Fence: meta.Fence,
		Members: slices.Clone(a.Members), Serving: a.Members[0],
	}
	if _, exists := t.replicas[r.ID]; exists || r.ID == "" {
		return Change{}, &AssignmentError{Action: Form, Replica: r.ID, Problem: "replica id is empty or already in use"}
	}
	if err := t.add(Form, r); err != nil {
		return Change{}, err
	}
	return Change{Replica: r}, nil
}

func (t *Assignments) replace(a Action, old cluster.Replica, meta CommitMetadata) (Change, error) {
	if len(a.OldMembers) != len(a.NewMembers) {
		return Change{}, &AssignmentError{Action: Replace, Replica: old.ID, Problem: "replacement has a different number of VMs"}
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
	next.Fence = meta.Fence
	t.remove(old)
	if err := t.add(Replace, next); err != nil {
		t.insert(old)
		return Change{}, err
	}
	return Change{Replica: next}, nil
}

// add inserts the replica after checking that no member is assigned already.
func (t *Assignments) add(kind Kind, r cluster.Replica) error {
	seen := make(map[cluster.VMID]struct{}, len(r.Members))
	for _, vm := range r.Members {
		if other, assigned := t.replicaByVM[vm]; assigned {
			return &AssignmentError{Action: kind, Replica: r.ID, VM: vm, AssignedTo: other, Problem: "VM is in another replica"}
		}
		if _, duplicate := seen[vm]; duplicate {
			return &AssignmentError{Action: kind, Replica: r.ID, VM: vm, AssignedTo: r.ID, Problem: "VM is listed twice"}
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
		t.replicaByVM[vm] = r.ID
	}
}

func (t *Assignments) remove(r cluster.Replica) {
	t.sorted = nil
	delete(t.replicas, r.ID)
	for _, vm := range r.Members {
		delete(t.replicaByVM, vm)
	}
}
