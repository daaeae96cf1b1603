package gateway

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/claims"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// claimKind is the outcome of a claimed call.
type claimKind int

const (
	claimNotExecuted claimKind = iota
	claimExecuted
	claimUnknown
)

// claimOutcome is the outcome of a claimed call. answer is only set for claimExecuted.
type claimOutcome struct {
	kind   claimKind
	answer claims.Answer
}

// acquireClaim claims a call that may run at most once. All results are nil if the call needs
// no claim.
func (g *Gateway) acquireClaim(r *http.Request, c caller, route *rules.Route, body []byte) (Claim, *claims.Answer, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if !needsClaim(route, r.Method, key) {
		return nil, nil, nil
	}
	if key == "" {
		return nil, nil, fennelerr.New(fennelerr.KeyRequired, "%s %s may run at most once and requires the header %s", r.Method, r.URL.Path, HeaderIdempotencyKey).
			WithField(HeaderIdempotencyKey).WithRun(fennelerr.NotRun)
	}
	if len(key) > claims.MaxKeyLen {
		return nil, nil, fennelerr.Invalid(HeaderIdempotencyKey, "the key has %d bytes, the limit is %d", len(key), claims.MaxKeyLen)
	}
	return g.opts.Claimer.Claim(r.Context(), claims.Call{Team: c.team.Name, Key: key, BodySHA256: bodyHash(r, body)})
}

// bodyHash hashes everything that must be equal in two calls with the same key: the method, the
// URI and the body.
func bodyHash(r *http.Request, body []byte) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(r.Method))
	h.Write([]byte{0})
	h.Write([]byte(r.URL.RequestURI()))
	h.Write([]byte{0})
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// checkClaimHeld returns an error if the claim may have expired while the call waited or this
// process was paused. By then, the key may have been free again and the call may have run
// through another node.
func checkClaimHeld(claim Claim) error {
	if claim == nil || claim.StillHeld(time.Now()) {
		return nil
	}
	return fennelerr.New(fennelerr.LeaseLost, "the claim on the Idempotency-Key expired before dispatch").
		WithRun(fennelerr.NotRun).WithRetryAfter(retryLaterDelay)
}

// settleClaim records the outcome of a claimed call. It is independent of the request's context: a
// caller that disconnects must find the outcome when it sends the call again.
func (g *Gateway) settleClaim(claim Claim, outcome claimOutcome) {
	if claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimSettleTimeout)
	defer cancel()
	switch outcome.kind {
	case claimNotExecuted:
		claim.Release(ctx)
	case claimExecuted:
		if len(outcome.answer.Body) > claims.MaxAnswerBody {
			outcome.answer.Body, outcome.answer.BodyOmitted = nil, true
		}
		claim.Finish(ctx, outcome.answer)
	case claimUnknown:
		claim.Abandon(ctx)
	}
}

// replay answers a repeated call with the recorded answer of its earlier run.
func (g *Gateway) replay(w http.ResponseWriter, c caller, a *claims.Answer) {
	claimReplays.Inc()
	h := w.Header()
	h.Set(HeaderRun, string(fennelerr.Ran))
	h.Set(HeaderReplayed, "true")
	status, contentType, body := a.Status, a.ContentType, a.Body
	if a.BodyOmitted {
		e := fennelerr.New(fennelerr.AlreadyRun, "the call ran with status %d, but its answer was too large to record", a.Status).
			WithRun(fennelerr.Ran)
		status, contentType, body = e.Code.HTTPStatus(), "application/json", g.opts.Protocol.Error(e, c.requestID)
	}
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that disconnected can send the call again
	g.opts.Log.Info("replayed", "request", c.requestID, "team", c.teamName(), "status", status)
}
