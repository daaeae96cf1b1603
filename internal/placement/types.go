// Package placement decides how the VMs of one availability zone are grouped
// into model replicas. A Policy is pure: it gets an Input and the time and
// returns a Plan of typed actions, each with a reason. Assignments applies actions
// and is the one place that refuses a VM in two replicas.
package placement

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// VM is what is known of one model engine VM of the zone.
type VM struct {
	ID     cluster.VMID
	Domain cluster.DomainID
	// Listed is false for a VM that the platform's list does not hold (any more).
	// The list lags, so a VM that answers counts as present without being listed.
	Listed  bool
	Leaving bool
	// LastSeen is the last answer of the engine; zero if it never answered.
	LastSeen time.Time
	// DownSince is when the engine stopped answering; zero while it answers.
	DownSince time.Time
	// Model is the model whose weights the engine has loaded; empty if none.
	Model string
	// Staged are the models whose weights the VM's host keeps, from which a load
	// is much faster than from the weight store.
	Staged []string
	// Loading is the model whose weights the VM is reading; empty if none.
	Loading string
	// Zone is the VM's availability zone, where one plan covers several.
	Zone cluster.ZoneID
	// Service is what the VM is a backend server of, where groups name it.
	Service cluster.Service
}

// Usable reports whether a new replica may take the VM: it is listed, stays and answers.
func (v VM) Usable() bool {
	return v.Listed && !v.Leaving && !v.LastSeen.IsZero() && v.DownSince.IsZero()
}

// Unavailable reports whether a replica that holds the VM cannot serve because of it.
func (v VM) Unavailable() bool { return v.Leaving || !v.DownSince.IsZero() }

// Load is the work on one replica.
type Load struct {
	Running int
	Waiting int
}

// Input is everything a Policy looks at. Slices are ordered by id.
type Input struct {
	Zone     cluster.ZoneID
	Groups   []rules.Group
	VMs      []VM
	Replicas []cluster.Replica
	// CheapLoads is true while reading weights costs little: before the first
	// request of a deployment.
	CheapLoads bool
	// Load is what runs on each replica; a replica without an entry is idle.
	Load map[cluster.ReplicaID]Load
}

// Kind says what an Action does.
type Kind string

// Kinds of actions. Drain marks a replica as leaving so that it gets no new
// work; Replace swaps members and raises the generation; Preload has a spare load
// the group's model and Wait says why a replica is left as it is: these two
// change nothing in the table.
const (
	Form    Kind = "form"
	BreakUp Kind = "break-up"
	Drain   Kind = "drain"
	Replace Kind = "replace"
	Preload Kind = "hold-spare"
	Wait    Kind = "wait"
)

// Action is one step of a plan. The fields that apply depend on Kind.
type Action struct {
	Kind                   Kind
	Group                  cluster.GroupName
	Replica                cluster.ReplicaID // all kinds but Form and Hold
	Members                []cluster.VMID    // Form: the first one serves
	OldMembers, NewMembers []cluster.VMID    // Replace: the members that go and those that come
	VM                     cluster.VMID      // Hold: an idle VM that loads the group's model ahead
	CompletesReplica       bool              // Hold: the load lets a replica be formed that lacks nothing else
	Reason                 string
}

// ChangesTable reports whether the action changes the committed table.
func (a Action) ChangesTable() bool { return a.Kind != Preload && a.Kind != Wait }

// Plan is a list of actions, to be applied in order.
type Plan struct {
	Actions []Action
	// ReplanAt is when the policy wants to be asked again even if nothing happens;
	// zero for no wish.
	ReplanAt time.Time
}

// Policy decides on a zone's grouping. Implementations keep no state between
// calls, so that a new lease holder decides as the old one did.
type Policy interface {
	Name() string
	Plan(in Input, now time.Time) Plan
}
