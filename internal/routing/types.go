// Package routing chooses the replica that serves a request.
//
// The Table holds one entry per committed replica. It is updated by the health check, by
// load reports and by the start and end of each request. A replica is healthy while the
// health check confirms every member of its committed generation. A Policy picks one of
// the healthy replicas; policies are interchangeable.
package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Request describes the request that a replica is chosen for.
type Request struct {
	Group  cluster.GroupName
	Prefer rules.Prefer
	// PrefixHashes are the hashes of the prompt's prefixes, longest first, computed as for
	// engine.CacheEvent; may be empty.
	PrefixHashes []uint64
	// Exclude lists the replicas that already failed this request.
	Exclude []cluster.ReplicaID
	// Alone requires a replica that runs no other suspect request (see package suspect).
	Alone bool
	// MayRetryOn restricts the replicas of a request that must run alone; nil allows all.
	MayRetryOn func(cluster.ReplicaID) bool
	// MayUse restricts the replicas by the address of their serving VM; nil allows all.
	MayUse func(addr string) bool
	// PromptTokens and OutputTokens are the length of the prompt and the expected length of the
	// output; 0 if unknown.
	PromptTokens, OutputTokens int
	// Target is the time within which the first piece is on time; 0 if unknown. Bytes is the expected
	// length of the request and its answer.
	Target time.Duration
	Bytes  int
	// Limit limits the requests on the chosen replica, this one included. The zero value
	// means no limit.
	Limit Limit
}

// excludes reports whether the request may not be sent to the candidate.
func (r Request) excludes(c Candidate) bool {
	return slices.Contains(r.Exclude, c.ID) || r.rulesOut(c)
}

// rulesOut reports whether the request may not be sent to the candidate whatever came of earlier
// attempts.
func (r Request) rulesOut(c Candidate) bool { return r.MayUse != nil && !r.MayUse(c.Addr) }

// Limit is the largest number of requests running and waiting on a replica: PerSlot for
// each of its slots, plus Extra.
type Limit struct{ PerSlot, Extra float64 }

// exceeded reports whether one more request would exceed the limit.
func (l Limit) exceeded(c Candidate) bool {
	return l.PerSlot > 0 && c.Load+1 > l.PerSlot*c.Capacity+l.Extra
}

// FullError reports that the group has healthy replicas but none takes the request now.
type FullError struct {
	Group cluster.GroupName
	// Considered is the number of replicas considered.
	Considered int
	// Pushback describes those that want no requests from this node. OnlyPushback is true if that
	// is the only reason.
	Pushback     Pushback
	OnlyPushback bool
}

// Error implements error.
func (e *FullError) Error() string {
	if e.Pushback.Replicas == 0 {
		return fmt.Sprintf("every replica of group %s is full, %d considered", e.Group, e.Considered)
	}
	return fmt.Sprintf("no replica of group %s takes requests, %d considered: %s", e.Group, e.Considered, e.Pushback)
}

// Choice is a chosen replica and the reason for the choice.
type Choice struct {
	Replica cluster.Replica
	// Addr is the ip:port of the serving VM.
	Addr string
	// Reason is one of the Reason constants, for logs.
	Reason string
	// Considered is the number of candidates compared.
	Considered int
	// Alone is copied from the request.
	Alone bool

	// Predicted is the predicted first piece; 0 if it was not predicted. UnreadTokens is the known
	// number of unread prompt tokens of other requests on the replica.
	Predicted    time.Duration
	UnreadTokens int
	// PredictedHome is the predicted first piece in the own zone, for a request that left it.
	PredictedHome time.Duration
	// Limit is the limit that the replica named.
	Limit LimitUse

	// entry is the table entry on which the request is counted until End.
	entry   *entry
	process process
	limit   *rateLimit
	// assigned is the request's part of the work on the entry, accuracy that of the group's
	// predictions.
	assigned *assignment
	accuracy *accuracy
	// trial marks a request that tests whether an avoided replica has recovered.
	trial bool
}

// Result describes a finished request, for straggler detection.
type Result struct {
	// OK is true for a complete answer.
	OK bool
	// Canceled is true when the caller disconnected, which says nothing about the replica.
	Canceled bool
	// FirstToken is the time to the first event; zero if there was none.
	FirstToken time.Duration
	Tokens     int
	Duration   time.Duration
}
