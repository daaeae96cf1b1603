// Package claims makes calls with an idempotency key run at most once.
//
// Before dispatch the node creates a claim for the key in the store, guarded on the
// key's absence. A node that fails to create it must not dispatch the call. A claim
// whose call was certainly not dispatched is released. A claim whose call may or may
// not have run is kept, and repeats get "outcome unknown" until it expires.
package claims

import (
	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Call identifies one call that may run at most once.
type Call struct {
	Team cluster.TeamID
	// Key is the caller's Idempotency-Key, 1..MaxKeyLen bytes.
	Key string
	// BodySHA256 covers method, path and body. A repeat of the key with another sum is
	// rejected.
	BodySHA256 [32]byte
}

// MaxKeyLen is the maximum length of the Idempotency-Key, in bytes.
const MaxKeyLen = 255

// State is the recorded state of a claim.
type State string

// A claim starts as Pending. The dispatching node sets it to Done, with the answer's
// status and, if small enough, its body, or to Unknown.
const (
	Pending State = "pending"
	Done    State = "done"
	Unknown State = "unknown"
)

// Answer is the recorded answer of a call that ran. It is replayed to repeats.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	// Body is nil and BodyOmitted is set if the body was larger than MaxAnswerBody or
	// memory for recorded bodies was short.
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"body_omitted,omitempty"`
}

// MaxAnswerBody is the maximum length of a recorded body, in bytes.
const MaxAnswerBody = 2048
