// Package gateway serves callers: it authenticates, matches a rule, admits,
// chooses a replica, dispatches, and sees to it that every caller gets the whole
// answer to its own request or a truthful refusal.
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

// RuleSource gives the rules in force on this node; nil before the first are known.
type RuleSource interface {
	Current() *rules.Set
}

// Protocol translates the callers' protocol.
type Protocol interface {
	// Parse checks a request to a model; its error names the field.
	Parse(path string, body []byte) (*call.ModelCall, error)
	// Models is the document that lists models.
	Models(names []string) []byte
	// Error is the document of a refusal.
	Error(e *fennelerr.Error, requestID string) []byte
	// ParseRejection reads an engine's rejection of a request; both results are empty where
	// it gives no reason.
	ParseRejection(body []byte) (message, field string)
}

// Router chooses replicas and counts what runs on them.
type Router interface {
	// Choose picks a replica and counts the request as outstanding on it until
	// End is called. It fails with a fennelerr.NoReplica error.
	Choose(req routing.Request) (routing.Choice, error)
	End(choice routing.Choice, res routing.Result)
}

// Services finds live, not leaving addresses of a plain service, this node's zone first.
type Services interface {
	ServiceAddrs(name cluster.Service) []string
}

// Admitter hands out slots under the teams' limits.
type Admitter interface {
	// Acquire waits for a slot or refuses with Overloaded, LimitExceeded or
	// DeadlineTooShort, each with RetryAfter set and Run NotRun.
	Acquire(ctx context.Context, req admission.Request) (Slot, error)
	// AllowRetry spends one retry of the team's budget, or reports false.
	AllowRetry(team cluster.TeamID) bool
}

// Slot is held while a request runs.
type Slot = admission.Slot

// The daemon's router and admitter.
var (
	_ Router   = (*routing.Table)(nil)
	_ Admitter = (*admission.Controller)(nil)
)

// Claimer makes calls with an idempotency key run at most once.
type Claimer interface {
	// Claim returns a claim that this node alone may dispatch; or the recorded
	// answer of an earlier run; or an error: KeyReused, KeyInProgress,
	// KeyExpired, OutcomeUnknown, StoreUnavailable.
	Claim(ctx context.Context, call claims.Call) (Claim, *claims.Answer, error)
}

// Claim is the right to dispatch one call. Exactly one of Release, Finish and
// Abandon is called.
type Claim interface {
	// StillHeld reports whether the call may still be dispatched. It is asked right
	// before dispatch; a claim no longer held is released and not dispatched.
	StillHeld(now time.Time) bool
	// Release gives the key back: the call was certainly not run.
	Release(ctx context.Context)
	// Finish records the answer of the call, which ran.
	Finish(ctx context.Context, answer claims.Answer)
	// Abandon records that the call's fate is unknown.
	Abandon(ctx context.Context)
}

// Quarantine bars requests that crash replicas.
type Quarantine interface {
	// Admit refuses a quarantined fingerprint with a Quarantined error. For a
	// suspect it waits until no other node or request retries it, and reports
	// alone=true: the caller then asks the router for a replica without suspects.
	Admit(ctx context.Context, fp suspect.Fingerprint) (alone bool, err error)
	// MayRetryOn reports whether a suspect may run on the replica now: no other
	// node's suspect is there, and it is this node's turn to take it.
	MayRetryOn(replica cluster.ReplicaID) bool
	// Begin records that fp runs on the replica; the returned func ends it and
	// says how.
	Begin(fp suspect.Fingerprint, replica cluster.ReplicaID, generation int64, alone bool) (end func(suspect.Outcome))
}
