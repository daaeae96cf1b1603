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

// servePlain passes a call to a plain service.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request, c caller) {
	rt, err := g.route(c, r.URL.Path, "")
	if err == nil && rt.Service == "" {
		err = fennelerr.New(fennelerr.NotFound, "path %s is not one that model engines serve", r.URL.Path).
			WithField("path").WithRun(fennelerr.NotRun)
	}
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	body, err := readBody(w, r, g.opts.MaxBody)
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	right, recorded, err := g.claimFor(r, c, rt, body)
	switch {
	case err != nil:
		g.refuse(w, r, c, err)
	case recorded != nil:
		g.replay(w, c, recorded)
	default:
		g.callPlain(w, r, c, rt, body, right)
	}
}

// callPlain dispatches the call and answers the caller.
func (g *Gateway) callPlain(w http.ResponseWriter, r *http.Request, c caller, rt *rules.Route, body []byte, right Claim) {
	call := &plainCall{g: g, c: c, route: rt, in: r, body: body, right: right, run: fennelerr.NotRun, repeatable: isRepeatable(rt, r.Method)}
	ctx, cancel := g.callContext(r, right)
	defer cancel()
	resp, err := call.do(ctx)
	if err != nil {
		g.settle(right, call.failed())
		if r.Context().Err() != nil {
			callersGone.Inc()
			g.opts.Log.Info("caller gone", "request", c.id, "team", c.team.Name, "run", call.run)
			return
		}
		g.refuse(w, r, c, err)
		return
	}
	defer resp.body.Close()
	g.settle(right, claimOutcome{kind: claimRan, answer: resp.record()})
	g.writePlain(w, c, resp)
}

// callContext bounds a call. A claimed call goes on when its caller hangs up:
// cutting it would only make its outcome unknown.
func (g *Gateway) callContext(r *http.Request, right Claim) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if right != nil {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, g.opts.CallTimeout)
}

// isRepeatable reports whether a call may be sent to a second backend server
// after bytes of it went to a first one.
func isRepeatable(rt *rules.Route, method string) bool {
	return rt.Once == rules.OnceNo || isSafe(method)
}

// failed is what a failed call means for its claim.
func (p *plainCall) failed() claimOutcome {
	if p.run == fennelerr.NotRun {
		return claimOutcome{kind: claimNotRun}
	}
	return claimOutcome{kind: claimUnknown}
}

// record is the answer as kept with the claim.
func (a *plainAnswer) record() claims.Answer {
	rec := claims.Answer{Status: a.status, ContentType: a.header.Get("Content-Type")}
	if !a.whole || len(a.head) > claims.MaxAnswerBody {
		rec.BodyOmitted = true
		return rec
	}
	rec.Body = a.head
	return rec
}

// writePlain passes the answer on; one that breaks off is aborted.
func (g *Gateway) writePlain(w http.ResponseWriter, c caller, a *plainAnswer) {
	rc := http.NewResponseController(w)
	copyAnswerHeader(w.Header(), a.header)
	w.Header().Set(HeaderRun, string(fennelerr.Ran))
	w.WriteHeader(a.status)
	_ = rc.SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout)) // not supported by test recorders
	err := a.copyTo(w, func() { _ = rc.SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout)) })
	if err == nil {
		answersWhole.Inc()
		g.opts.Log.Info("answered", "request", c.id, "team", c.team.Name, "status", a.status)
		return
	}
	if _, gone := errors.Into[*callerGoneError](err); gone {
		callersGone.Inc()
		return
	}
	answersAborted.Inc()
	g.opts.Log.Error("answer aborted", "request", c.id, "team", c.team.Name, "run", fennelerr.Ran, "err", err.Error())
	panic(http.ErrAbortHandler)
}
