package engine

import (
	"fmt"
	"time"
)

// NotStartedError says that the backend server certainly did not run the
// request: the dial failed, or the server answered that it did not start.
type NotStartedError struct {
	Addr string
	// Status is the HTTP status of the server's refusal; 0 when the dial failed.
	Status  int
	Message string
	// RetryAfter is the server's own wish; may be zero.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *NotStartedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("backend server %s not reached: %v", e.Addr, e.Err)
	}
	return fmt.Sprintf("backend server %s did not start the request: status %d: %s", e.Addr, e.Status, e.Message)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Err }

// RejectedError is a final answer of the engine about the request itself (4xx).
type RejectedError struct {
	Addr   string
	Status int
	Body   []byte
	// NotStarted is true when the server said so.
	NotStarted bool
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("backend server %s rejected the request: status %d", e.Addr, e.Status)
}

// MismatchError says that the answer carries another request's id.
type MismatchError struct {
	Addr, Want, Got string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("backend server %s answered request %q on the connection of %q", e.Addr, e.Got, e.Want)
}

// SequenceError says that an event was skipped.
type SequenceError struct {
	Addr      string
	Want, Got int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("backend server %s: event %d came where %d was due", e.Addr, e.Got, e.Want)
}

// SilentError says that no byte came for longer than the engine promised.
type SilentError struct {
	Addr string
	Gap  time.Duration
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("backend server %s: connection silent for %s", e.Addr, e.Gap)
}

// BrokenError says that the exchange ended without the end marker, or failed
// after bytes had gone out.
type BrokenError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("backend server %s: answer broke off: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
