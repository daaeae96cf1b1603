package engine

import (
	"fmt"
	"time"
)

// NotStartedError means that the backend server definitely did not run the request:
// the dial failed, or the server answered that it did not start the request.
type NotStartedError struct {
	Addr string
	// Status is the HTTP status of the server's refusal; 0 if the dial failed.
	Status  int
	Message string
	// RetryAfter is the delay that the server asked for; may be zero.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *NotStartedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("backend server %s unreachable: %v", e.Addr, e.Err)
	}
	return fmt.Sprintf("backend server %s did not start the request: status %d: %s", e.Addr, e.Status, e.Message)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Err }

// RejectedError is a final rejection of the request by the engine (4xx).
type RejectedError struct {
	Addr   string
	Status int
	Body   []byte
	// NotStarted is true if the server stated that it did not start the request.
	NotStarted bool
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("backend server %s rejected the request: status %d", e.Addr, e.Status)
}

// MismatchError means that the response has the id of another request.
type MismatchError struct {
	Addr, Want, Got string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("backend server %s returned the response to request %q, expected %q", e.Addr, e.Got, e.Want)
}

// SequenceError means that events are missing from the stream.
type SequenceError struct {
	Addr      string
	Want, Got int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("backend server %s: received event %d, expected %d", e.Addr, e.Got, e.Want)
}

// SilentError means that no byte arrived for longer than the engine's maximum gap.
type SilentError struct {
	Addr string
	Gap  time.Duration
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("backend server %s: no data received for %s", e.Addr, e.Gap)
}

// BrokenError means that the exchange ended without the end marker, or failed after
// bytes had been sent.
type BrokenError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("backend server %s: response incomplete: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
