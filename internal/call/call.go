// Package call describes a caller's request and its answer without the protocol
// in which they came.
package call

import (
	"net/http"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Call is one request of a caller. What it asks of the backend server is opaque.
type Call struct {
	// ID names this attempt of the caller; its backend server echoes it.
	ID string
	// Method, Host and URI, the path with its query, are passed on as they came.
	Method, Host, URI string
	// Header has the caller's headers that concern the backend server.
	Header http.Header
	Body   []byte

	// Route is the rule that the call matched, RulesRevision the set it is of.
	Route         *rules.Route
	RulesRevision int64
	// Team is empty on public routes.
	Team cluster.TeamID
	// Urgency is the caller's priority, 0 first.
	Urgency int

	// Model is empty for calls to plain services.
	Model string
	// PromptTokens and AnswerTokens are the prompt's size and the answer's bound;
	// HintTokens is the caller's guess at the answer's size. Zero where not told.
	PromptTokens, AnswerTokens, HintTokens int
	// Work is the part of a replica's time that the call takes, as estimated on a full
	// replica; zero where it is not known.
	Work time.Duration
	// ResumeAfter is the id of the last piece that the caller has of an earlier
	// attempt; empty when it starts anew.
	ResumeAfter string

	ReceivedAt time.Time
	// Deadline is when the caller gives up; zero when it did not say.
	Deadline time.Time
}

// End is when the call must have its final answer: the caller's deadline or the
// route's timeout, whichever is first.
func (c *Call) End() time.Time {
	end := c.Deadline
	if limit := c.Route.Policy.Timeout; limit > 0 {
		if at := c.ReceivedAt.Add(limit); end.IsZero() || at.Before(end) {
			end = at
		}
	}
	return end
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Sink takes a call's answer. Exactly one of Whole, Refuse, or Start is called;
// after Start come pieces and then End or Abort.
type Sink interface {
	// Whole delivers an answer in one piece.
	Whole(head Head, body []byte) error
	// Start begins an answer that comes in pieces.
	Start(head Head) error
	Piece(data []byte) error
	// End says that the answer is complete.
	End() error
	// Abort breaks off an answer so that it can't be taken for a complete one.
	Abort(err *fennelerr.Error)
	// Refuse gives a final answer of this node's own.
	Refuse(err *fennelerr.Error)
}

// ExpectedAnswer is how many tokens the answer probably has: the caller's guess, within
// the bound that it set.
func (c *Call) ExpectedAnswer() int {
	switch {
	case c.HintTokens <= 0:
		return c.AnswerTokens
	case c.AnswerTokens <= 0:
		return c.HintTokens
	}
	return min(c.HintTokens, c.AnswerTokens)
}

// returnShare is the part of its time that a caller must have used up elsewhere
// before it sent this attempt, to count as one that was turned away before. Callers
// give first attempts between 0.85 and 1 of the route's time (of 4,800 first attempts of
// a day without faults; below it lay 4%, most of them second attempts).
const returnShare = 0.16

// Returning reports whether the caller has sent this before, and was turned away or cut
// off: it has less time left than callers of the route start with.
func (c *Call) Returning() bool {
	limit := c.Route.Policy.Timeout
	if limit <= 0 || c.Deadline.IsZero() {
		return false
	}
	return float64(c.Deadline.Sub(c.ReceivedAt)) < (1-returnShare)*float64(limit)
}
