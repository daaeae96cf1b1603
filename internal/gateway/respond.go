package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// Headers of answers to callers.
const (
	// HeaderRun is call.HeaderRun.
	HeaderRun = call.HeaderRun
	// HeaderReplayed is "true" on the recorded answer of an earlier run.
	HeaderReplayed = "Fennel-Replayed"
	// HeaderTimeoutMs is set by a caller: how long it waits for the first token, in milliseconds.
	HeaderTimeoutMs = "Fennel-Timeout-Ms"
	// HeaderIdempotencyKey names a call that may be sent again but must not run again.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// defaultRetryAfter is told where a refusal for lack of capacity names no time.
const defaultRetryAfter = time.Second

// typed returns err as an *Error with a run state and, where it makes sense to
// come back, a time to do so.
func typed(err error) *fennelerr.Error {
	found, ok := errors.Into[*fennelerr.Error](err)
	if !ok {
		found = fennelerr.Wrap(err, fennelerr.Internal, "unexpected failure")
	}
	e := *found
	if e.Run == "" {
		e.Run = fennelerr.Unknown
	}
	switch e.Code.HTTPStatus() {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if e.RetryAfter == 0 {
			e.RetryAfter = defaultRetryAfter
		}
	}
	return &e
}

// refuse answers with err as a whole HTTP response. Nothing may have been written before.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c caller, err error) {
	e := typed(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(e.Run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e))
	}
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(g.opts.Protocol.Error(e, c.id)) // the caller may be gone: nothing left to tell
	countRefusal(e)
	g.noteRefused(c)
	g.opts.Log.Info("refuse", "request", c.id, "team", c.teamName(), "path", r.URL.Path,
		"code", e.Code, "run", e.Run, "retry_after", e.RetryAfter, "err", e.Error())
}

func retryAfterSeconds(e *fennelerr.Error) string {
	d := min(e.RetryAfter, maxRefusalRetryAfter)
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func (c caller) teamName() string {
	if c.team == nil {
		return ""
	}
	return string(c.team.Name)
}
