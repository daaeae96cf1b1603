// Package fennelerr defines the typed error that crosses package boundaries.
//
// An Error carries a Code that callers and operators can act on, and the run
// state: whether a backend server executed the request that failed.
// Packages whose errors need more fields (an invalid rules line, a store conflict)
// define their own types and wrap them in an Error, or convert them to one, at
// their boundary.
package fennelerr

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Code classifies a failure. Its text is part of the interface: it appears in the
// "type" field of error bodies, in logs and in metric labels.
type Code string

// Codes. Code.HTTPStatus maps each of them to an HTTP status.
const (
	InvalidRequest   Code = "invalid_request"
	Unauthenticated  Code = "unauthenticated"
	PermissionDenied Code = "permission_denied"
	NotFound         Code = "not_found"
	ModelNotFound    Code = "model_not_found"
	TooLarge         Code = "request_too_large"
	HeaderTooLarge   Code = "request_header_too_large"
	Conflict         Code = "conflict"
	KeyReused        Code = "idempotency_key_reused"
	KeyInProgress    Code = "idempotency_in_progress"
	KeyExpired       Code = "idempotency_key_expired"
	KeyRequired      Code = "idempotency_key_required"
	OutcomeUnknown   Code = "outcome_unknown"
	AlreadyRun       Code = "already_run"
	Quarantined      Code = "request_quarantined"
	Overloaded       Code = "overloaded"
	LimitExceeded    Code = "team_limit_exceeded"
	DeadlineTooShort Code = "deadline_too_short"
	NoReplica        Code = "no_whole_replica"
	// ServersUnreachable means that this node reaches no backend server; others may.
	ServersUnreachable Code = "servers_unreachable"
	StoreUnavailable   Code = "store_unavailable"
	BackendFailed      Code = "backend_failed"
	StreamTruncated    Code = "stream_truncated"
	AnswerMismatch     Code = "answer_mismatch"
	NotReady           Code = "not_ready"
	MemoryFull         Code = "memory_full"
	StaleFence         Code = "stale_fence"
	LeaseLost          Code = "lease_lost"
	Timeout            Code = "timeout"
	Canceled           Code = "canceled"
	Internal           Code = "internal"
)

// RunState says whether a backend server executed the request.
type RunState string

// Run states. NotRun is used only where it is certain: the request was refused before
// any byte was sent to a backend server, the dial failed, or the backend server
// answered that it did not start the request.
const (
	NotRun  RunState = "not-run"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// Error is a failure with its code, the operation that failed and the time after which
// a retry is worthwhile.
type Error struct {
	Code Code
	// Op names the operation, such as "claims.claim"; empty if the message names it.
	Op string
	// Field names the invalid field of the request or the settings; may be empty.
	Field   string
	Message string
	// Run is empty for failures that do not concern a single caller's request.
	Run RunState
	// RetryAfter is the delay after which the caller should retry; zero if unknown.
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error with a formatted message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Invalid returns an InvalidRequest error for one field of a caller's request, with run
// state NotRun.
func Invalid(field, format string, args ...any) *Error {
	return New(InvalidRequest, format, args...).WithField(field).WithRun(NotRun)
}

// Wrap returns an Error whose cause is err.
func Wrap(err error, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Cause: err}
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Op != "" {
		b.WriteString(e.Op)
		b.WriteString(": ")
	}
	b.WriteString(string(e.Code))
	if e.Field != "" {
		fmt.Fprintf(&b, " (%s)", e.Field)
	}
	if e.Message != "" {
		b.WriteString(": ")
		b.WriteString(e.Message)
	}
	if e.Cause != nil {
		b.WriteString(": ")
		b.WriteString(e.Cause.Error())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithOp sets the operation and returns e.
func (e *Error) WithOp(op string) *Error { e.Op = op; return e }

// WithField sets the invalid field and returns e.
func (e *Error) WithField(field string) *Error { e.Field = field; return e }

// WithRun sets the run state and returns e.
func (e *Error) WithRun(run RunState) *Error { e.Run = run; return e }

// WithRetryAfter sets the retry delay and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error { e.RetryAfter = d; return e }

// CodeOf returns the code of the first Error in err's chain, or Internal.
func CodeOf(err error) Code {
	if e, ok := errors.Into[*Error](err); ok {
		return e.Code
	}
	return Internal
}

// Is reports whether err is not nil and CodeOf(err) is code.
func Is(err error, code Code) bool { return err != nil && CodeOf(err) == code }
