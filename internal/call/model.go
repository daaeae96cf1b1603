package call

import (
	"net/http"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// ModelCall is a checked request to a model. What it says in its caller's protocol
// is known to its front only.
type ModelCall struct {
	Model string
	// Cost estimates the call's work, in tokens.
	Cost int
	// PrefixHashes name the prompt's beginnings, for replicas that have them in memory.
	PrefixHashes []uint64
	// NewExchange opens the exchange with the caller.
	NewExchange func(to Caller) Exchange
}

// Caller is where the answer to a call goes.
type Caller struct {
	W http.ResponseWriter
	// RequestID names the call to the engine and to the caller.
	RequestID string
	// WriteTimeout is how long the caller may take no bytes before it counts as gone.
	WriteTimeout time.Duration
	// KeepAlive is how often a streaming caller hears a comment while nothing else comes.
	KeepAlive time.Duration
}

// Exchange translates one call to a model engine, and the engine's events to the
// caller's answer. It is used by one goroutine.
type Exchange interface {
	// RequestBody is what the engine gets. With goOn it is asked to go on after what has come
	// so far.
	RequestBody(goOn bool) ([]byte, error)
	// Check reads an event and fails when it is no part of this call's answer, with an
	// *engine.MismatchError or *engine.BrokenError. At the end marker it fails unless
	// the answer is whole.
	Check(addr string, ev engine.Event) error
	// Forward hands on the event that was checked last. Its error means that the caller
	// is gone.
	Forward(ev engine.Event) error
	// LastEventID is the id of the last event handed on.
	LastEventID() int64
	// CanContinue reports whether another engine could go on after what has come so far.
	CanContinue() bool
	// ResponseStarted reports whether the caller has a part of the answer.
	ResponseStarted() bool
	// Reset drops what has come; only allowed while not Begun.
	Reset()
	// Finish ends a whole answer.
	Finish() error
	// ResponseDocument is the whole answer as one document, after Finish; nil when it was
	// streamed.
	ResponseDocument() []byte
	// Abort ends a begun answer with an error's document, so that it can't be taken
	// for whole.
	Abort(document []byte)
	Close()
}

// Headers of answers to callers that every front sets.
const (
	// HeaderRun says whether a backend server executed the request: not-run, ran or unknown.
	HeaderRun = "Fennel-Run"
)
