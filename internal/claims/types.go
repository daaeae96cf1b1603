// Package claims makes calls with an idempotency key run at most once.
//
// Before dispatch the node creates the key's claim in the store, guarded on its
// absence. Whoever fails to create it does not dispatch. A claim whose dispatch
// certainly did not happen is released; one whose fate is unknown stays and
// answers "unknown" for as long as claims are kept.
package claims

import (
	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Call identifies one call that may run at most once.
type Call struct {
	Team cluster.TeamID
	// Key is the caller's Idempotency-Key, 1..MaxKeyLen bytes.
	Key string
	// BodySHA256 covers method, path and body: the same key with another body is refused.
	BodySHA256 [32]byte
}

// MaxKeyLen bounds the caller's Idempotency-Key, in bytes.
const MaxKeyLen = 255

// State is what the store knows of a key.
type State string

// A claim starts Pending. The dispatching node moves it to Done with the answer's
// status and, when small enough, its body; or to Unknown.
const (
	Pending State = "pending"
	Done    State = "done"
	Unknown State = "unknown"
)

// Answer is the recorded answer of a call that ran, replayed to repeats.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	// Body is kept up to MaxAnswerBody bytes; BodyOmitted says it was larger.
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"body_omitted,omitempty"`
}

// MaxAnswerBody bounds the recorded answer, in bytes.
const MaxAnswerBody = 2048
