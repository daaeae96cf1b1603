// Package gateway handles callers' HTTP requests. It authenticates a request, matches it with a
// rule, admits it, chooses a replica and dispatches it. Every caller receives the complete
// answer to its own request, or an error that states truthfully whether the request was
// executed.
package gateway

import (
	"context"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/admission"
	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/claims"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// RuleSource provides the rules in force on this node; nil until the first are known.
type RuleSource interface {
	Current() *rules.Set
}

// Protocol implements the API that callers use.
type Protocol interface {
	// Parse validates a request to a model. Its error names the invalid field.
	Parse(path string, body []byte) (*call.ModelCall, error)
	// Models returns the document that lists models.
	Models(names []string) []byte
	// Error returns the document of an error response.
	Error(e *fennelerr.Error, requestID string) []byte
	// ParseRejection parses an engine's rejection of a request. Both results are empty if it
	// gives no reason.
	ParseRejection(body []byte) (message, field string)
}

// Router chooses replicas and counts the requests that are outstanding on them.
type Router interface {
	// Choose selects a replica and counts the request as outstanding on it until End is
	// called. It returns a fennelerr.NoReplica error if no replica is available.
	Choose(req routing.Request) (routing.Choice, error)
	End(choice routing.Choice, res routing.Result)
	// ReportPushback records that the chosen replica wants no requests from this node for d. It
	// reports whether the replica took requests before.
	ReportPushback(choice routing.Choice, d time.Duration, now time.Time) (began bool)
}

// Services returns the addresses of a plain service's backend servers that are live and not
// leaving, those in this node's zone first.
type Services interface {
	ServiceAddrs(name cluster.Service) []string
}

// Admitter grants slots within the teams' limits.
type Admitter interface {
	// Acquire waits for a slot. It fails with Overloaded, LimitExceeded or DeadlineTooShort,
	// each with RetryAfter set and Run set to NotRun.
	Acquire(ctx context.Context, req admission.Request) (Slot, error)
	// AllowRetry takes one retry from the team's budget. It returns false if none is left.
	AllowRetry(team cluster.TeamID) bool
}

// Slot is held for as long as a request runs.
type Slot = admission.Slot

// The implementations that the daemon uses.
var (
	_ Router   = (*routing.Table)(nil)
	_ Admitter = (*admission.Controller)(nil)
)

// Claimer ensures that a call with an idempotency key runs at most once.
type Claimer interface {
	// Claim returns a claim, with which only this node may dispatch the call, or the recorded
	// answer of an earlier run, or one of the errors KeyReused, KeyInProgress, KeyExpired,
	// OutcomeUnknown and StoreUnavailable.
	Claim(ctx context.Context, call claims.Call) (Claim, *claims.Answer, error)
}

// Claim is the exclusive right to dispatch one call. It ends with exactly one of Release,
// Finish and Abandon.
type Claim interface {
	// StillHeld reports whether the call may still be dispatched. It is checked immediately
	// before dispatch; if it is false, the call is not dispatched and the claim is released.
	StillHeld(now time.Time) bool
	// Release frees the key after a call that certainly did not run.
	Release(ctx context.Context)
	// Finish records the answer of a call that ran.
	Finish(ctx context.Context, answer claims.Answer)
	// Abandon records that it is unknown whether the call ran.
	Abandon(ctx context.Context)
}

// Quarantine blocks requests that crash replicas.
type Quarantine interface {
	// AdmitRequest refuses a request that is quarantined or holds a quarantined part with a
	// Quarantined error. For a suspect, it waits until no other node or request retries it and
	// returns Alone set. The caller must then choose a replica that runs no other suspect.
	AdmitRequest(ctx context.Context, req suspect.Request) (suspect.Admission, error)
	// MayRetryOn reports whether a suspect may run on the replica now: no suspect of another
	// node runs there, and it is this node's turn to use the replica.
	MayRetryOn(replica cluster.ReplicaID) bool
	// BeginRequest records that the request runs on the replica.
	BeginRequest(req suspect.Request, replica cluster.ReplicaID, generation int64, a suspect.Admission) suspect.Run
}
