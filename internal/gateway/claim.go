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

// claimKind is what became of a claimed call.
type claimKind int

const (
	claimNotRun claimKind = iota
	claimRan
	claimUnknown
)

type claimOutcome struct {
	kind   claimKind
	answer claims.Answer
}

// claimFor takes the right to dispatch a call that may run at most once. All
// results nil mean that the call needs no claim.
func (g *Gateway) claimFor(r *http.Request, c caller, rt *rules.Route, body []byte) (Claim, *claims.Answer, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if !needsClaim(rt, r.Method, key) {
		return nil, nil, nil
	}
	if key == "" {
		return nil, nil, fennelerr.New(fennelerr.KeyRequired, "%s %s may run at most once: send an %s", r.Method, r.URL.Path, HeaderIdempotencyKey).
			WithField(HeaderIdempotencyKey).WithRun(fennelerr.NotRun)
	}
	if len(key) > claims.MaxKeyLen {
		return nil, nil, fennelerr.Invalid(HeaderIdempotencyKey, "the key has %d bytes; at most %d are taken", len(key), claims.MaxKeyLen)
	}
	return g.opts.Claimer.Claim(r.Context(), claims.Call{Team: c.team.Name, Key: key, BodySHA256: bodyHash(r, body)})
}

func bodyHash(r *http.Request, body []byte) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(r.Method))
	h.Write([]byte{0})
	h.Write([]byte(r.URL.RequestURI()))
	h.Write([]byte{0})
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// mayDispatch refuses a claimed call whose right to run may have lapsed while this
// process was paused, or while the call waited: the key may be free again by then,
// and the call may have run elsewhere.
func mayDispatch(right Claim) error {
	if right == nil || right.StillHeld(time.Now()) {
		return nil
	}
	return fennelerr.New(fennelerr.LeaseLost, "the claim on the Idempotency-Key got too old before dispatch").
		WithRun(fennelerr.NotRun).WithRetryAfter(retryBudgetWait)
}

// settle records what became of a claimed call. It outlives the caller: one who
// hangs up must find the outcome when sending again.
func (g *Gateway) settle(right Claim, out claimOutcome) {
	if right == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimFinishTimeout)
	defer cancel()
	switch out.kind {
	case claimNotRun:
		right.Release(ctx)
	case claimRan:
		if len(out.answer.Body) > claims.MaxAnswerBody {
			out.answer.Body, out.answer.BodyOmitted = nil, true
		}
		right.Finish(ctx, out.answer)
	case claimUnknown:
		right.Abandon(ctx)
	}
}

// replay answers a repeat with the recorded answer of the earlier run.
func (g *Gateway) replay(w http.ResponseWriter, c caller, a *claims.Answer) {
	claimReplays.Inc()
	h := w.Header()
	h.Set(HeaderRun, string(fennelerr.Ran))
	h.Set(HeaderReplayed, "true")
	status, contentType, body := a.Status, a.ContentType, a.Body
	if a.BodyOmitted {
		e := fennelerr.New(fennelerr.AlreadyRun, "the call ran with status %d; its answer was too large to keep", a.Status).
			WithRun(fennelerr.Ran)
		status, contentType, body = e.Code.HTTPStatus(), "application/json", g.opts.Protocol.Error(e, c.id)
	}
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may be gone: it can ask again
	g.opts.Log.Info("replayed", "request", c.id, "team", c.teamName(), "status", status)
}
