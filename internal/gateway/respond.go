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

// Headers of requests and answers.
const (
	// HeaderRun is call.HeaderRun.
	HeaderRun = call.HeaderRun
	// HeaderReplayed is "true" if the answer is the recorded one of an earlier run.
	HeaderReplayed = "Fennel-Replayed"
	// HeaderTimeoutMs is set by callers to the time that they wait for the first token, in
	// milliseconds.
	HeaderTimeoutMs = "Fennel-Timeout-Ms"
	// HeaderIdempotencyKey identifies a call that may be sent repeatedly but must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// overloadRetryAfter is the Retry-After of overload errors that set none.
const overloadRetryAfter = time.Second

// normalizeError returns err as a *fennelerr.Error with a run state and, for status codes 429
// and 503, with RetryAfter.
func normalizeError(err error) *fennelerr.Error {
	original, ok := errors.Into[*fennelerr.Error](err)
	if !ok {
		original = fennelerr.Wrap(err, fennelerr.Internal, "unexpected error")
	}
	e := *original
	if e.Run == "" {
		e.Run = fennelerr.Unknown
	}
	switch e.Code.HTTPStatus() {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if e.RetryAfter == 0 {
			e.RetryAfter = overloadRetryAfter
		}
	}
	return &e
}

// refuse writes err as a complete HTTP response and logs it with the given fields. Nothing may have been
// written before.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c caller, err error, fields ...any) {
	e := normalizeError(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(e.Run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e))
	}
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(g.opts.Protocol.Error(e, c.requestID)) // if the caller disconnected, there is no one to report to
	countRefusal(e)
	g.countTeamRefusal(c)
	g.opts.Log.With(fields...).Info("refuse", "request", c.requestID, "team", c.teamName(), "path", r.URL.Path,
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
