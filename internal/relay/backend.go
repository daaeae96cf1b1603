// Package relay forwards calls to backend servers and returns their answers. It chooses
// the server, limits retries and interprets failures, independently of the protocol.
package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
)

// Attempt is a call to be sent to one backend server.
type Attempt struct {
	Call    *call.Call
	Peer    conns.Peer
	Replica cluster.ReplicaID
	// Timeout is the time left until the call's deadline.
	Timeout time.Duration
	// ResumeAfter is the id of the last piece received; empty to start from the beginning.
	ResumeAfter string
	// MaxIdle is the longest idle time of a connection that may be reused.
	MaxIdle time.Duration
	// Gate is entered before anything of the request is sent. If it is closed, Send fails with a *NotRunError.
	Gate *Gate
	// MaxAttempts is the number of backend servers that may receive a call that is handed over
	// to another node.
	MaxAttempts int
}

// Load is the load that a backend server reports in an answer.
type Load struct{ Running, Waiting, Slots int }

// ServerState is what a backend server says of itself in the head of an answer to this node.
type ServerState struct {
	// Load is nil if the server did not report it.
	Load *Load
	// RateLimit is the number of requests per second that the server takes from all nodes
	// together; 0 if it named no limit.
	RateLimit float64
	// Pushback is how long the server wants no requests from this node; 0 if it did not say.
	Pushback time.Duration
	// Leaving is true if the server is about to shut down.
	Leaving bool
	// OtherProcess is true if another process than the server answered. Nothing else is set then.
	OtherProcess bool
}

// Reply is a backend server's answer, of which the head has been received.
type Reply struct {
	Head  call.Head
	State ServerState
	// Unframed is true if the answer has neither a length nor chunks: it ends with its connection,
	// as it does if the server's process ends.
	Unframed bool
	Body     Body
}

// Body reads the rest of an answer.
type Body interface {
	// Next returns the next complete piece of a stream and its id, or io.EOF after the
	// last piece of a complete answer. Any other error means that the answer is incomplete.
	Next() (data []byte, id string, err error)
	// ReadAll reads an answer that is not streamed, of at most limit bytes.
	ReadAll(limit int64) ([]byte, error)
	// Close stops reading. It may be called more than once.
	Close()
}

// Backend sends attempts. Send fails with a *NotRunError or a *BrokenError.
type Backend interface {
	Send(ctx context.Context, a Attempt) (*Reply, error)
	// Refuses reports whether the peer's address refuses connections: its process has ended.
	// A peer that does not respond is not known to have ended.
	Refuses(ctx context.Context, p conns.Peer) bool
	// HasSuccessor reports whether another process listens at the peer's address: another server, or a later
	// start of the same one. It returns false if what listens there does not say so before ctx ends.
	HasSuccessor(ctx context.Context, p conns.Peer) bool
	// Accepts reports whether the peer's address accepts a connection before ctx ends.
	Accepts(ctx context.Context, p conns.Peer) bool
}

// NotRunError reports that an attempt did not run the call and never will.
type NotRunError struct {
	Reason string
	// Refused is true if the connection was refused.
	Refused bool
	// Received is true if the server received the call and refused it, which counts
	// against the retry budget.
	Received bool
	// FaultyMember is the address of the replica member that caused the failure, if the
	// server named one.
	FaultyMember string
	// AddressReassigned is true if another process now has the server's address.
	AddressReassigned bool
	// State is what the server that refused said of itself.
	State ServerState
	Err   error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s: culprit=%s: %v", e.Reason, e.FaultyMember, e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// BrokenError reports that an attempt may have run the call but returned no complete
// answer.
type BrokenError struct {
	Reason string
	// ConnectionLost is true if the connection ended before the answer was complete.
	ConnectionLost bool
	// State is what the server said of itself if the head of its answer was received.
	State ServerState
	Err   error
}

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("broken: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
