// Package routing chooses the replica that serves a request.
//
// The Table holds one entry per committed replica and is fed by the health check
// (whole or not), by load reports and by the gateway (begin and end of each
// request). A Policy picks among candidates; policies are interchangeable.
package routing

import (
	"fmt"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Request is what a replica is chosen for.
type Request struct {
	Group  cluster.GroupName
	Prefer rules.Prefer
	// PrefixHashes are the hashes of the prompt's prefixes, longest first, as in
	// engine.CacheEvent; may be empty.
	PrefixHashes []uint64
	// Exclude lists replicas that failed this request already.
	Exclude []cluster.ReplicaID
	// Isolated asks for a replica on which no other suspect runs (see package suspect).
	Isolated bool
	// MayRetryOn narrows the replicas for Alone; nil means all.
	MayRetryOn func(cluster.ReplicaID) bool
	// Limit is what a replica may hold with the request; the zero value is no bound.
	Limit Limit
}

// Limit bounds the requests running and waiting on a replica: so many for each of its
// slots, and some more.
type Limit struct{ PerSlot, Extra float64 }

// exceeded reports whether the replica would hold too many with one more.
func (l Limit) exceeded(c Candidate) bool {
	return l.PerSlot > 0 && c.Load+1 > l.PerSlot*c.Capacity+l.Extra
}

// FullError says that there are whole replicas and none has room for the request.
type FullError struct {
	Group cluster.GroupName
	// Considered is how many replicas were looked at.
	Considered int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("every replica of group %s is full, of %d looked at", e.Group, e.Considered)
}

// Choice is the decision and why it fell.
type Choice struct {
	Replica cluster.Replica
	// Addr is the ip:port of the serving VM.
	Addr string
	// Reason is one word or short phrase for the decision log.
	Reason string
	// Considered is how many candidates were compared.
	Considered int
	// Isolated repeats Request.Isolated.
	Isolated bool

	// entry is where the table counted the request; End counts it back.
	entry *entry
	// trial marks a request that tests whether a straggler recovered.
	trial bool
}

// Result is how a dispatched request ended, for straggler detection and counts.
type Result struct {
	// OK is true for a whole answer.
	OK bool
	// Canceled is true when the caller went away; it says nothing about the replica.
	Canceled bool
	// FirstToken is the time to the first event; zero when none came.
	FirstToken time.Duration
	Tokens     int
	Duration   time.Duration
}
