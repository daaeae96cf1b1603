package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// BookError says why the Book refuses an action or a table.
type BookError struct {
	Action  Kind
	Replica cluster.ReplicaID
	VM      cluster.VMID
	// Holder is the replica that has the VM already, if that is the reason.
	Holder  cluster.ReplicaID
	Problem string
}

// Error implements error.
func (e *BookError) Error() string {
	return fmt.Sprintf("placement %s: %s: replica=%s vm=%s holder=%s", e.Action, e.Problem, e.Replica, e.VM, e.Holder)
}

// Book is a zone's grouping with an index from VM to replica. Every change of a
// grouping, by whatever policy, goes through Apply: it refuses to put a VM into
// two replicas, whatever the plan says.
type Book struct {
	zone     cluster.ZoneID
	replicas map[cluster.ReplicaID]cluster.Replica
	holder   map[cluster.VMID]cluster.ReplicaID
	sorted   []cluster.Replica // what Replicas returned last; nil after a change
}

// NewBook returns a Book of the given replicas, or a *BookError if two share a VM.
func NewBook(zone cluster.ZoneID, replicas []cluster.Replica) (*Book, error) {
	b := &Book{
		zone:     zone,
		replicas: make(map[cluster.ReplicaID]cluster.Replica, len(replicas)),
		holder:   make(map[cluster.VMID]cluster.ReplicaID, len(replicas)),
	}
	for _, r := range replicas {
		if err := b.add("load", r); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Replica returns one replica.
func (b *Book) Replica(id cluster.ReplicaID) (cluster.Replica, bool) {
	r, ok := b.replicas[id]
	return r, ok
}

// HolderOf returns the replica that has the VM, or "".
func (b *Book) HolderOf(vm cluster.VMID) cluster.ReplicaID { return b.holder[vm] }

// Replicas returns all replicas ordered by id; callers must not change the slice.
func (b *Book) Replicas() []cluster.Replica {
	if b.sorted != nil {
		return b.sorted
	}
	out := make([]cluster.Replica, 0, len(b.replicas))
	for _, r := range b.replicas {
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y cluster.Replica) int { return cmp.Compare(x.ID, y.ID) })
	b.sorted = out
	return out
}

// Change is the outcome of an applied action: the replica as it is afterwards,
// or Removed.
type Change struct {
	Replica cluster.Replica
	Removed bool
}

// Stamp gives the parts of a new or changed replica that no policy chooses.
type Stamp struct {
	// NewID names a formed replica; ids are never used twice.
	NewID cluster.ReplicaID
	Model string
	Fence cluster.Fence
}

// Apply changes the book by one action and returns the change to commit.
func (b *Book) Apply(a Action, s Stamp) (Change, error) {
	if a.Kind == Form {
		return b.form(a, s)
	}
	old, ok := b.replicas[a.Replica]
	if !ok {
		return Change{}, &BookError{Action: a.Kind, Replica: a.Replica, Problem: "no such replica"}
	}
	switch a.Kind {
	case BreakUp:
		b.remove(old)
		return Change{Replica: old, Removed: true}, nil
	case Drain:
		// The generation stays: a new one would have the engines reassigned in
		// the middle of the streams that the drain lets finish.
		old.Leaving = true
		b.replicas[old.ID] = old
		b.sorted = nil
		return Change{Replica: old}, nil
	case Replace:
		return b.replace(a, old, s)
	default:
		return Change{}, &BookError{Action: a.Kind, Replica: a.Replica, Problem: "action changes nothing"}
	}
}

func (b *Book) form(a Action, s Stamp) (Change, error) {
	if len(a.Members) == 0 {
		return Change{}, &BookError{Action: Form, Replica: s.NewID, Problem: "no members"}
	}
	r := cluster.Replica{
		ID: s.NewID, Group: a.Group, Model: s.Model, Zone: b.zone, Generation: 1, Fence: s.Fence,
		Members: slices.Clone(a.Members), Serving: a.Members[0],
	}
	if _, taken := b.replicas[r.ID]; taken || r.ID == "" {
		return Change{}, &BookError{Action: Form, Replica: r.ID, Problem: "replica id taken or empty"}
	}
	if err := b.add(Form, r); err != nil {
		return Change{}, err
	}
	return Change{Replica: r}, nil
}

func (b *Book) replace(a Action, old cluster.Replica, s Stamp) (Change, error) {
	if len(a.Out) != len(a.In) {
		return Change{}, &BookError{Action: Replace, Replica: old.ID, Problem: "sizes differ"}
	}
	next := old
	next.Members = slices.Clone(old.Members)
	for i, out := range a.Out {
		at := slices.Index(next.Members, out)
		if at < 0 {
			return Change{}, &BookError{Action: Replace, Replica: old.ID, VM: out, Problem: "not a member"}
		}
		next.Members[at] = a.In[i]
	}
	next.Leaving = false
	next.Serving = next.Members[0]
	next.Generation = old.Generation + 1
	next.Fence = s.Fence
	b.remove(old)
	if err := b.add(Replace, next); err != nil {
		b.insert(old)
		return Change{}, err
	}
	return Change{Replica: next}, nil
}

// add checks that no member is held already, then inserts.
func (b *Book) add(kind Kind, r cluster.Replica) error {
	seen := make(map[cluster.VMID]struct{}, len(r.Members))
	for _, vm := range r.Members {
		if holder, held := b.holder[vm]; held {
			return &BookError{Action: kind, Replica: r.ID, VM: vm, Holder: holder, Problem: "VM is in another replica"}
		}
		if _, twice := seen[vm]; twice {
			return &BookError{Action: kind, Replica: r.ID, VM: vm, Holder: r.ID, Problem: "VM named twice"}
		}
		seen[vm] = struct{}{}
	}
	if !slices.Contains(r.Members, r.Serving) {
		return &BookError{Action: kind, Replica: r.ID, VM: r.Serving, Problem: "serving VM is not a member"}
	}
	b.insert(r)
	return nil
}

func (b *Book) insert(r cluster.Replica) {
	b.sorted = nil
	b.replicas[r.ID] = r
	for _, vm := range r.Members {
		b.holder[vm] = r.ID
	}
}

func (b *Book) remove(r cluster.Replica) {
	b.sorted = nil
	delete(b.replicas, r.ID)
	for _, vm := range r.Members {
		delete(b.holder, vm)
	}
}
