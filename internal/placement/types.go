// Package placement decides how the VMs of a scope (one availability zone, or
// several zones that are planned together) are grouped into model replicas.
// A Policy is a pure function of an Input and the time; it returns a Plan of typed
// actions, each with a reason. Assignments applies actions and rejects any that
// would put a VM into two replicas.
package placement

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/workload"
)

// VM is the observed state of a model engine VM.
type VM struct {
	ID     cluster.VMID
	Domain cluster.DomainID
	// Listed is false if the platform's VM list does not hold the VM, or no longer
	// does. The list lags, so a VM that answers is present even if not listed.
	Listed  bool
	Leaving bool
	// LastSeen is the time of the engine's last answer; zero if it never answered.
	LastSeen time.Time
	// DownSince is the time at which the engine stopped answering; zero while it answers.
	DownSince time.Time
	// Model is the model whose weights the engine has loaded; empty if none.
	Model string
	// Staged lists the models whose weights are stored on the VM's host. Loading
	// them from there is much faster than from the weight store.
	Staged []string
	// Loading is the model whose weights the VM is reading; empty if none.
	Loading string
	// Zone is the VM's availability zone; set if a plan covers several zones.
	Zone cluster.ZoneID
	// Service is the backend service that the VM runs; matched against a group's Servers.
	Service cluster.Service
	// Evacuated is true for a VM to which nothing may be sent at present.
	Evacuated bool
}

// Usable reports whether the VM can become a member of a replica: it is listed,
// answers, is not leaving and not evacuated.
func (v VM) Usable() bool {
	return v.Listed && !v.Leaving && !v.Evacuated && !v.LastSeen.IsZero() && v.DownSince.IsZero()
}

// Unavailable reports whether a replica with this member cannot serve: the VM is
// down or leaving.
func (v VM) Unavailable() bool { return v.Leaving || !v.DownSince.IsZero() }

// Load counts the requests on a replica.
type Load struct {
	Running int
	Waiting int
}

// Input is the state that a Policy decides on. Slices are ordered by id.
type Input struct {
	Zone     cluster.ZoneID
	Groups   []rules.Group
	VMs      []VM
	Replicas []cluster.Replica
	// CheapLoads is set while loading weights costs little: before the first request
	// of a deployment.
	CheapLoads bool
	// Work is the work that arrives by group, in replicas kept fully busy; nil if unknown.
	Work workload.Rates
	// Load is the load of each replica; a replica without an entry is idle.
	Load map[cluster.ReplicaID]Load
}

// Kind is the type of an Action.
type Kind string

// Action kinds. Drain marks a replica as leaving, so that it gets no new requests.
// Replace swaps members and increments the generation. Preload has an idle VM load
// the group's weights ahead of need. Wait gives the reason why a replica is left
// unchanged. Preload and Wait do not modify the table.
const (
	Form    Kind = "form"
	BreakUp Kind = "break-up"
	Drain   Kind = "drain"
	Replace Kind = "replace"
	Preload Kind = "hold-spare"
	Wait    Kind = "wait"
)

// Reasons to break up a replica that still works and finishes its requests first.
const (
	ReasonMemberLeaving = "member-leaving"
	ReasonMoved         = "moved-to-other-model"
)

// Action is a step of a plan. Kind determines which fields apply.
type Action struct {
	Kind                   Kind
	Group                  cluster.GroupName
	Replica                cluster.ReplicaID // all kinds but Form and Preload
	Members                []cluster.VMID    // Form: the first member is the serving VM
	OldMembers, NewMembers []cluster.VMID    // Replace: removed members and their replacements, by index
	VM                     cluster.VMID      // Preload: the idle VM that loads the group's weights
	CompletesReplica       bool              // Preload: this load is the only one missing for a replica
	Reason                 string
}

// ChangesTable reports whether the action modifies the committed table.
func (a Action) ChangesTable() bool { return a.Kind != Preload && a.Kind != Wait }

// Plan is a list of actions, applied in order.
type Plan struct {
	Actions []Action
	// ReplanAt is when the policy should run again even if its input has not changed;
	// zero if it need not.
	ReplanAt time.Time
}

// Policy plans the grouping of a scope. Implementations keep no state between
// calls, so that a new lease holder decides exactly as the previous one did.
type Policy interface {
	Name() string
	Plan(in Input, now time.Time) Plan
}
