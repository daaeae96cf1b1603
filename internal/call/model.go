package call

import (
	"net/http"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// ModelCall is a validated request to a model. Its content in the caller's protocol is only
// accessible to the protocol's implementation, through NewExchange.
type ModelCall struct {
	Model string
	// Cost is the estimated work of the call, in tokens.
	Cost int
	// PrefixHashes identify prefixes of the prompt. They are matched with the prefixes that
	// replicas have cached.
	PrefixHashes []uint64
	// PromptParts are the hashes of the prompt's parts, in order; the last one belongs to the call
	// itself.
	PromptParts []uint64
	// NewExchange returns the exchange that writes the answer to a caller.
	NewExchange func(to Caller) Exchange
}

// Caller describes the connection on which the answer is written.
type Caller struct {
	W http.ResponseWriter
	// RequestID identifies the call to the engine and to the caller.
	RequestID string
	// WriteTimeout is how long a write may block before the caller counts as disconnected.
	WriteTimeout time.Duration
	// KeepAlive is the interval of comments that are sent on an idle stream.
	KeepAlive time.Duration
}

// Exchange translates one call into requests to model engines, and the engines' events into
// the caller's answer. It is not safe for concurrent use.
type Exchange interface {
	// RequestBody returns the body of the request to an engine. If continuation is set, the
	// engine is asked to continue after the events received so far.
	RequestBody(continuation bool) ([]byte, error)
	// Check parses an event. It returns an *engine.MismatchError or *engine.BrokenError if
	// the event does not belong to this call's answer, or if it is the end marker and the
	// answer is incomplete.
	Check(addr string, ev engine.Event) error
	// Forward sends the event that was checked last to the caller. An error means that the
	// caller disconnected.
	Forward(ev engine.Event) error
	// LastEventID returns the ID of the last event that was forwarded.
	LastEventID() int64
	// CanContinue reports whether another engine can continue after the events received so far.
	CanContinue() bool
	// ResponseStarted reports whether part of the answer was sent to the caller.
	ResponseStarted() bool
	// Reset discards the events received so far. It must not be called once ResponseStarted
	// returns true.
	Reset()
	// Finish ends a complete answer.
	Finish() error
	// ResponseDocument returns the complete answer as one document, after Finish; nil if the
	// answer was streamed.
	ResponseDocument() []byte
	// Abort ends a started answer with an error document, so that the caller can't take it
	// for complete.
	Abort(document []byte)
	// Close releases the exchange's resources.
	Close()
}

// Headers that every protocol sets in answers to callers.
const (
	// HeaderRun tells whether a backend server executed the request: not-run, ran or unknown.
	HeaderRun = "Fennel-Run"
)
