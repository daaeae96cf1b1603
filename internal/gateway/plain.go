package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/claims"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// servePlain handles a call to a plain service.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request, c caller) {
	route, err := g.route(c, r.URL.Path, "")
	if err == nil && route.Service == "" {
		err = fennelerr.New(fennelerr.NotFound, "path %s is routed to a model, but is not a path of the model API", r.URL.Path).
			WithField("path").WithRun(fennelerr.NotRun)
	}
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	body, err := g.readBody(w, r)
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	claim, recorded, err := g.acquireClaim(r, c, route, body)
	switch {
	case err != nil:
		g.refuse(w, r, c, err)
	case recorded != nil:
		g.replay(w, c, recorded)
	default:
		g.callPlain(w, r, c, route, body, claim)
	}
}

// callPlain dispatches the call and writes the answer.
func (g *Gateway) callPlain(w http.ResponseWriter, r *http.Request, c caller, route *rules.Route, body []byte, claim Claim) {
	call := &plainCall{g: g, c: c, route: route, request: r, body: body, claim: claim, run: fennelerr.NotRun, repeatable: isRepeatable(route, r.Method)}
	ctx, cancel := g.callContext(r, claim)
	defer cancel()
	call.progress.started = time.Now()
	call.progress.deadline, _ = ctx.Deadline()
	resp, err := call.execute(ctx)
	if err != nil {
		g.settleClaim(claim, call.failureOutcome())
		if r.Context().Err() != nil {
			call.logCallerGone(r.Context().Err())
			return
		}
		g.refuse(w, r, c, err, call.progress.fields()...)
		return
	}
	defer resp.body.Close()
	g.settleClaim(claim, claimOutcome{kind: claimExecuted, answer: resp.claimAnswer()})
	call.write(w, resp)
}

func (p *plainCall) logCallerGone(err error) {
	callersGone.Inc()
	p.g.opts.Log.With(p.progress.fields()...).Info("caller gone", "request", p.c.requestID, "team", p.c.team.Name, "run", p.run, "err", err.Error())
}

// callContext returns the context of a call, with the call timeout. A claimed call continues if
// its caller disconnects, because cancelling it would make its outcome unknown.
func (g *Gateway) callContext(r *http.Request, claim Claim) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, g.opts.CallTimeout)
}

// isRepeatable reports whether a call may be sent to another backend server after part of it
// was sent to one.
func isRepeatable(route *rules.Route, method string) bool {
	return route.Once == rules.OnceNo || isSafe(method)
}

// failureOutcome returns how to settle the claim of a failed call.
func (p *plainCall) failureOutcome() claimOutcome {
	if p.run == fennelerr.NotRun {
		return claimOutcome{kind: claimNotExecuted}
	}
	return claimOutcome{kind: claimUnknown}
}

// claimAnswer returns the answer as it is recorded with the claim.
func (a *plainAnswer) claimAnswer() claims.Answer {
	answer := claims.Answer{Status: a.status, ContentType: a.header.Get("Content-Type")}
	if !a.complete || len(a.buffered) > claims.MaxAnswerBody {
		answer.BodyOmitted = true
		return answer
	}
	answer.Body = a.buffered
	return answer
}

// write forwards the answer to the caller. It aborts the response if the backend server's answer ends
// early.
func (p *plainCall) write(w http.ResponseWriter, a *plainAnswer) {
	rc := http.NewResponseController(w)
	copyAnswerHeader(w.Header(), a.header)
	w.Header().Set(HeaderRun, string(fennelerr.Ran))
	w.WriteHeader(a.status)
	extend := func() { _ = rc.SetWriteDeadline(time.Now().Add(p.g.opts.WriteTimeout)) } // not supported by httptest.ResponseRecorder
	extend()
	err := a.copyTo(w, extend)
	if err == nil {
		answersComplete.Inc()
		p.g.opts.Log.Info("answered", "request", p.c.requestID, "team", p.c.team.Name, "status", a.status)
		return
	}
	if gone, ok := errors.Into[*callerGoneError](err); ok {
		p.logCallerGone(gone)
		return
	}
	answersAborted.Inc()
	p.recordSilence()
	p.g.opts.Log.With(p.progress.fields()...).Error("answer aborted", "request", p.c.requestID, "team", p.c.team.Name,
		"code", fennelerr.BackendFailed, "run", fennelerr.Ran, "err", err.Error())
	panic(http.ErrAbortHandler)
}
