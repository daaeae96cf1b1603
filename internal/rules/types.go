// Package rules implements the language of the operators' rules file: one rule a
// line, each with a comment naming who asked for it.
//
//	team   name=school-a token=sha256:9f86d0...            # asked for by: Ana
//	service name=balcao                                    # asked for by: Ana
//	group  name=assistente-fit model=assistente-fit vms=4 domain=same spares=2 weigh=downtime  # asked for by: Ana
//	route  path=/v1/* model=assistente-fit team=* to=assistente-fit prefer=local  # asked for by: Ana
//	route  path=/deposits/* to=balcao once=required        # asked for by: Ana
//	limit  team=school-a share=20 inflight=64              # asked for by: Ana
//	fence  servers=assistente-fit checks=no                # asked for by: Ana
//
// A file is accepted as a whole or not at all. Of the routes that match a request,
// the first in the file applies; a route that can never apply, because an earlier
// one matches all its requests, is an error.
package rules

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// Origin is the line of a rule in the file and the name of who asked for it.
type Origin struct {
	Line     int
	AskedBy  string
	Verbatim string
}

// Team admits the callers that present its token.
type Team struct {
	Origin
	Name cluster.TeamID
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string
	// Priority, 0..9, is passed to the engines; it defaults to DefaultPriority.
	Priority int
	// MoreTokensSHA256 holds further tokens of the team, in the form of TokenSHA256.
	MoreTokensSHA256 []string
}

// NoPriority marks a team without its own priority; that of the route applies.
const NoPriority = -1

// DefaultPriority is a team's engine priority if its rule gives none.
const DefaultPriority = 5

// ServiceDecl declares a plain service, which routes may refer to.
type ServiceDecl struct {
	Origin
	Name cluster.Service
	// ColdTime is how long a server of the service stays cold after it has become so, and
	// ColdRate the number of requests per second that all nodes together may send to it
	// meanwhile; 0 means no limit.
	ColdTime time.Duration
	ColdRate float64
}

// Weigh selects which of two measures placement favors for a group.
type Weigh string

// Values of Weigh; the default is WeighDowntime.
const (
	WeighDowntime Weigh = "downtime"
	WeighStranded Weigh = "stranded"
)

// Group describes how VMs are formed into replicas of one model.
type Group struct {
	Origin
	Name  cluster.GroupName
	Model string
	// VMs is the number of VMs in one replica, at least 1.
	VMs int
	// SameDomain requires all VMs of a replica in one fabric domain (domain=same|any).
	SameDomain bool
	// Spares is the number of VMs in each zone that are kept idle for this group.
	Spares int
	// Replicas is the maximum number of replicas in a zone; 0 means as many as fit.
	Replicas int
	Weigh    Weigh
	// Version and Adapters are passed on in engine orders; both may be empty.
	Version  string
	Adapters []string
	// Servers is the service whose VMs form the replicas; empty if all model engine
	// VMs of a zone are alike.
	Servers cluster.Service
	// Demand is the fraction of all VMs, 0 to 1, that the group's share of the work
	// requires; 0 if unknown.
	Demand float64
	// Slots is the number of requests that one replica batches; 0 if engines report it.
	Slots int
	// ColdLoad is the time a VM takes to load the model's weights from the weight
	// store, WarmLoad from its own host; 0 if unknown.
	ColdLoad time.Duration
	WarmLoad time.Duration
	// Engine holds the published performance figures of the group's engines; the zero
	// value if there are none.
	Engine enginemodel.Profile
}

// Once says whether calls on a route require an idempotency key.
type Once string

// OnceAuto is the default: a POST or PATCH to a plain service without a key is
// dispatched at most once, and not retried after any byte of it was sent; with a
// key it is claimed before dispatch.
const (
	// OnceRequired rejects calls without an Idempotency-Key; calls are claimed before dispatch.
	OnceRequired Once = "required"
	OnceAuto     Once = "auto"
	// OnceNo allows calls on this route to be repeated.
	OnceNo Once = "no"
)

// Prefer says which replicas a route prefers.
type Prefer string

// PreferLocal, the default, prefers the node's own zone; PreferAny considers only load.
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
	// Model matches the request's model field; "*" matches all requests, including
	// those without a model.
	Model   string
	Team    cluster.TeamID // "*" matches all
	Group   cluster.GroupName
	Service cluster.Service
	Prefer  Prefer
	Once    Once
	// Policy is set on the routes of a platform configuration; nil on those of a rules
	// file.
	Policy *RoutePolicy
}

// Limit sets one team's share and bounds its concurrency.
type Limit struct {
	Origin
	Team cluster.TeamID
	// Share is the team's weight in fair sharing, 1..1000; default DefaultShare.
	Share int
	// InFlight is the maximum number of the team's concurrent requests in the whole
	// system; 0 means no limit.
	InFlight int
}

// DefaultShare is the weight of a team without a limit rule.
const DefaultShare = 10

// FenceRule says whether the backend servers of a group or service reject orders
// with a stale fencing token.
type FenceRule struct {
	Origin
	Servers string // a group's or service's name
	Checks  bool
}

// Set is a parsed rules file, or a set built by Assemble. It is immutable.
type Set struct {
	// Revision is the store revision at which the file was accepted; 0 if it was
	// only parsed.
	Revision int64
	Text     string
	Teams    []Team
	// Keyless is set if requests need no token on any route.
	Keyless  bool
	Services []ServiceDecl
	Groups   []Group
	Routes   []Route // in file order
	Limits   []Limit
	Fences   []FenceRule
	// Bounds limits callers' requests; the zero value if the settings do.
	Bounds CallerBounds
	// Weights limits the loading of weights; the zero value if the settings do.
	Weights WeightStore
	// Delays are the delays between zones.
	Delays ZoneDelays

	index index
}
