// Package relay takes a call to a backend server and its answer back. It decides
// where a call goes, how often, and what a failure proves; it knows no protocol.
package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
)

// Attempt is one sending of a call to one backend server.
type Attempt struct {
	Call    *call.Call
	Peer    conns.Peer
	Replica cluster.ReplicaID
	// Timeout is the time after which nobody waits for the answer any more.
	Timeout time.Duration
	// ResumeAfter is the id of the last piece that came; empty to start anew.
	ResumeAfter string
	// MaxIdle is how long a connection may have been idle to be used.
	MaxIdle time.Duration
}

// Load is what a backend server says of itself in an answer.
type Load struct{ Running, Waiting, Slots int }

// Reply is a backend server's answer whose beginning has come.
type Reply struct {
	Head call.Head
	// Load is nil where the server does not tell it.
	Load *Load
	Body Body
}

// Body reads the rest of an answer.
type Body interface {
	// Next returns the next whole piece of a stream and its id; io.EOF after the
	// last one of a complete answer. Any other error means that it is not complete.
	Next() (data []byte, id string, err error)
	// ReadAll reads an answer that has no pieces, of at most limit bytes.
	ReadAll(limit int64) ([]byte, error)
	// Close ends the reading; it may be called more than once.
	Close()
}

// Backend sends attempts. Send fails with a *NotRunError or a *BrokenError.
type Backend interface {
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// NotRunError is an attempt that certainly did not run and never will.
type NotRunError struct {
	Reason string
	// Received is true when the server got the call and refused it, which counts
	// against the retry budget.
	Received bool
	// FaultyMember is the address of the member at fault, where the server named one.
	FaultyMember string
	// AddressReassigned is true when another process has the server's address.
	AddressReassigned bool
	// Load is what the refusing server said of itself; may be nil.
	Load *Load
	Err  error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s: culprit=%s: %v", e.Reason, e.FaultyMember, e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// BrokenError is an attempt that may have run and gave no whole answer.
type BrokenError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("broken: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
