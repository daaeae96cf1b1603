package gateway

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/admission"
	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/claims"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// serveModel handles a completion request.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request, c caller) {
	s, deadline, err := g.parseModelRequest(w, r, c)
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	claim, recorded, err := g.acquireClaim(r, c, s.route, s.body)
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	if recorded != nil {
		g.replay(w, c, recorded)
		return
	}
	s.exchange = s.modelCall.NewExchange(call.Caller{W: w, RequestID: c.requestID, WriteTimeout: g.opts.WriteTimeout, KeepAlive: g.opts.KeepAlive})
	defer s.exchange.Close()
	s.claim = claim
	err = g.runSession(r, s, deadline)
	g.settleClaim(claim, s.claimOutcome(err))
	g.finishModel(w, r, s, err)
}

// parseModelRequest validates a completion request. It returns the session for it and the deadline
// of its first token.
func (g *Gateway) parseModelRequest(w http.ResponseWriter, r *http.Request, c caller) (*session, time.Time, error) {
	if r.Method != http.MethodPost {
		return nil, time.Time{}, fennelerr.Invalid("", "%s requires method POST", r.URL.Path)
	}
	now := time.Now()
	deadline, err := firstTokenDeadline(r, now, g.opts.FirstTokenTimeout)
	if err != nil {
		return nil, deadline, err
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return nil, deadline, err
	}
	modelCall, err := g.opts.Protocol.Parse(r.URL.Path, body)
	if err != nil {
		return nil, deadline, err
	}
	route, err := g.route(c, r.URL.Path, modelCall.Model)
	if err != nil {
		return nil, deadline, err
	}
	if route.Group == "" {
		return nil, deadline, fennelerr.New(fennelerr.ModelNotFound, "path %s is routed to a plain service, not to a model", r.URL.Path).
			WithField("path").WithRun(fennelerr.NotRun)
	}
	return &session{g: g, c: c, modelCall: modelCall, path: r.URL.Path, body: body, route: route, run: fennelerr.NotRun, progress: progress{started: now, deadline: deadline},
		suspect: suspect.Request{Fingerprint: suspect.FingerprintOf(c.team.Name, r.URL.Path, body), Model: modelCall.Model,
			Parts: suspect.PartsOf(modelCall.Model, modelCall.PromptParts)}}, deadline, nil
}

// runSession acquires a slot and runs the session while holding it.
func (g *Gateway) runSession(r *http.Request, s *session, deadline time.Time) error {
	slot, err := g.opts.Admitter.Acquire(r.Context(), admission.Request{
		Team: s.c.team.Name, Group: s.route.Group, Deadline: deadline, Cost: s.modelCall.Cost,
	})
	if err != nil {
		if r.Context().Err() != nil {
			return &callerGoneError{r.Context().Err()}
		}
		return s.withRunState(err)
	}
	defer func() { slot.Release(s.tokens) }()
	s.slot = slot
	if err := checkClaimHeld(s.claim); err != nil {
		return err
	}
	return s.serve(r.Context(), deadline)
}

// finishModel completes the answer to the caller after the session ended with err.
func (g *Gateway) finishModel(w http.ResponseWriter, r *http.Request, s *session, err error) {
	log := g.opts.Log.With("request", s.c.requestID, "team", s.c.team.Name, "model", s.modelCall.Model, "tokens", s.tokens,
		"begun", s.exchange.ResponseStarted())
	if err == nil {
		answersComplete.Inc()
		log.Info("answered", "duration", time.Since(s.progress.started))
		return
	}
	log = log.With(s.progress.fields()...)
	if _, gone := errors.Into[*callerGoneError](err); gone {
		callersGone.Inc()
		log.Info("caller gone", "run", s.run, "err", err.Error())
		return
	}
	if !s.exchange.ResponseStarted() {
		g.refuse(w, r, s.c, err, s.progress.fields()...)
		return
	}
	// The status line was already sent. An error event and an aborted body keep clients from
	// taking the partial answer for a complete one.
	answersAborted.Inc()
	e := normalizeError(err)
	countRefusal(e)
	log.Error("answer aborted", "code", e.Code, "run", e.Run, "err", err.Error())
	s.exchange.Abort(g.opts.Protocol.Error(e, s.c.requestID))
	panic(http.ErrAbortHandler)
}

// claimOutcome returns how to settle the session's claim after the session ended with err.
func (s *session) claimOutcome(err error) claimOutcome {
	switch {
	case s.run == fennelerr.NotRun:
		return claimOutcome{kind: claimNotExecuted}
	case err != nil:
		return claimOutcome{kind: claimUnknown}
	}
	answer := claims.Answer{Status: http.StatusOK, ContentType: "application/json"}
	answer.Body = s.exchange.ResponseDocument()
	answer.BodyOmitted = answer.Body == nil
	return claimOutcome{kind: claimExecuted, answer: answer}
}

// needsClaim reports whether a call on the route must be claimed before dispatch.
func needsClaim(route *rules.Route, method, key string) bool {
	if route.Once == rules.OnceNo || isSafe(method) {
		return false
	}
	if route.Group != "" {
		return route.Once == rules.OnceRequired
	}
	return route.Once == rules.OnceRequired || key != ""
}

// isSafe reports whether the method is safe as defined by RFC 9110, section 9.2.1: a read
// without side effects.
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
