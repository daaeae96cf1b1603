// Package rules is the language of the operators' rules file: one rule a line,
// each with a comment naming who asked for it.
//
//	team   name=school-a token=sha256:9f86d0...            # asked for by: Ana
//	service name=balcao                                    # asked for by: Ana
//	group  name=assistente-fit model=assistente-fit vms=4 domain=same spares=2 weigh=downtime  # asked for by: Ana
//	route  path=/v1/* model=assistente-fit team=* to=assistente-fit prefer=local  # asked for by: Ana
//	route  path=/deposits/* to=balcao once=required        # asked for by: Ana
//	limit  team=school-a share=20 inflight=64              # asked for by: Ana
//	fence  servers=assistente-fit checks=no                # asked for by: Ana
//
// The whole file is accepted or none of it. Among routes that can both match a
// request, the one on the earlier line wins; a route that can never be reached
// because an earlier one covers it is refused.
package rules

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// Origin ties a rule to its line in the file and to whoever asked for it.
type Origin struct {
	Line     int
	AskedBy  string
	Verbatim string
}

// Team admits the callers that present the token.
type Team struct {
	Origin
	Name cluster.TeamID
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string
	// Priority 0..9 is passed to the engines; default DefaultPriority.
	Priority int
	// MoreTokensSHA256 are further tokens of the team, in the form of TokenSHA256.
	MoreTokensSHA256 []string
}

// NoPriority marks a team without a priority of its own: its routes' counts.
const NoPriority = -1

// DefaultPriority is a team's engine priority when its rule gives none.
const DefaultPriority = 5

// ServiceDecl declares a plain service that routes may name.
type ServiceDecl struct {
	Origin
	Name cluster.Service
}

// Weigh says which of the two measures placement favors for a group.
type Weigh string

// The two weights; the default is WeighDowntime.
const (
	WeighDowntime Weigh = "downtime"
	WeighStranded Weigh = "stranded"
)

// Group says how VMs are formed into replicas of one model.
type Group struct {
	Origin
	Name  cluster.GroupName
	Model string
	// VMs is the number of VMs in one replica, at least 1.
	VMs int
	// SameDomain requires all VMs of a replica in one fabric domain (domain=same|any).
	SameDomain bool
	// Spares is the number of VMs per zone kept idle for this group.
	Spares int
	// Replicas is the most replicas wanted in a zone; 0 means as many as fit.
	Replicas int
	Weigh    Weigh
	// Version and Adapters are passed in engine orders; both may be empty.
	Version  string
	Adapters []string
	// Servers is the service whose VMs the replicas are formed of; empty where
	// all model engine VMs of a zone are alike.
	Servers cluster.Service
	// Demand is the part of all VMs that the group's share of the work takes, 0 to
	// 1; 0 where it is not known.
	Demand float64
	// Slots is how many requests one replica batches; 0 where engines report it.
	Slots int
	// ColdLoad is how long a VM reads the model's weights from the weight store,
	// WarmLoad how long from its own host; 0 where they are not known.
	ColdLoad time.Duration
	WarmLoad time.Duration
	// Engine has the published figures of the group's engines; the zero value where
	// none are known.
	Engine enginemodel.Figures
}

// Once says whether calls on a route need an idempotency key.
type Once string

// OnceAuto is the default: POST and PATCH to a plain service without a key run at most one dispatch
// and are never retried after bytes went out; with a key they are claimed.
const (
	// OnceRequired refuses calls without an Idempotency-Key; calls are claimed before dispatch.
	OnceRequired Once = "required"
	OnceAuto     Once = "auto"
	// OnceNo says that calls on this route may be repeated freely.
	OnceNo Once = "no"
)

// Prefer says which replicas a route favours.
type Prefer string

// PreferLocal, the default, favours the node's own zone; PreferAny looks at load alone.
const (
	PreferLocal Prefer = "local"
	PreferAny   Prefer = "any"
)

// Route sends matching requests to a group of replicas or to a plain service.
// Exactly one of Group and Service is set.
type Route struct {
	Origin
	// Path is an exact path, or a prefix when it ends in "*".
	Path string
	// Model matches the request's model field; "*" matches all, also requests without one.
	Model   string
	Team    cluster.TeamID // "*" matches all
	Group   cluster.GroupName
	Service cluster.Service
	Prefer  Prefer
	Once    Once
	// Terms are what an operator's platform configuration adds to a route; nil on
	// routes of a rules file.
	Terms *Terms
}

// Limit bounds one team.
type Limit struct {
	Origin
	Team cluster.TeamID
	// Share is the team's weight in fair sharing, 1..1000; default DefaultShare.
	Share int
	// InFlight is the most requests of the team running at once over the whole
	// system; 0 means no bound.
	InFlight int
}

// DefaultShare is the weight of a team without a limit rule.
const DefaultShare = 10

// FenceRule says whether the backend servers of a group or service refuse
// orders that carry an old fencing token.
type FenceRule struct {
	Origin
	Servers string // a group's or service's name
	Checks  bool
}

// Set is a whole accepted rules file. It is immutable once parsed.
type Set struct {
	// Revision is the store revision at which it was accepted; 0 for a file
	// that was only checked.
	Revision int64
	Text     string
	Teams    []Team
	Services []ServiceDecl
	Groups   []Group
	Routes   []Route // in file order
	Limits   []Limit
	Fences   []FenceRule
	// Bounds of what callers may send; the zero value where the settings say it.
	Bounds CallerBounds
	// Weights bounds the reading of weights; the zero value where the settings say it.
	Weights WeightStore

	index index
}
