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
)

// serveModel answers a completion request.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request, c caller) {
	s, deadline, err := g.newSession(w, r, c)
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	right, recorded, err := g.claimFor(r, c, s.route, s.body)
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	if recorded != nil {
		g.replay(w, c, recorded)
		return
	}
	s.exchange = s.asked.NewExchange(call.Caller{W: w, RequestID: c.id, WriteTimeout: g.opts.WriteTimeout, KeepAlive: g.opts.KeepAlive})
	defer s.exchange.Close()
	s.right = right
	err = g.runSession(r, s, deadline)
	g.settle(right, s.outcome(err))
	g.endModel(w, r, s, err)
}

func (g *Gateway) newSession(w http.ResponseWriter, r *http.Request, c caller) (*session, time.Time, error) {
	if r.Method != http.MethodPost {
		return nil, time.Time{}, fennelerr.Invalid("", "%s takes POST", r.URL.Path)
	}
	now := time.Now()
	deadline, err := deadlineOf(r, now, g.opts.FirstTokenTimeout)
	if err != nil {
		return nil, deadline, err
	}
	body, err := readBody(w, r, g.opts.MaxBody)
	if err != nil {
		return nil, deadline, err
	}
	asked, err := g.opts.Protocol.Parse(r.URL.Path, body)
	if err != nil {
		return nil, deadline, err
	}
	rt, err := g.route(c, r.URL.Path, asked.Model)
	if err != nil {
		return nil, deadline, err
	}
	if rt.Group == "" {
		return nil, deadline, fennelerr.New(fennelerr.ModelNotFound, "path %s leads to a plain service here", r.URL.Path).
			WithField("path").WithRun(fennelerr.NotRun)
	}
	return &session{g: g, c: c, asked: asked, path: r.URL.Path, body: body, route: rt, run: fennelerr.NotRun, started: now,
		fp: fingerprintOf(c.team.Name, r.URL.Path, body)}, deadline, nil
}

// runSession holds a slot while the session runs.
func (g *Gateway) runSession(r *http.Request, s *session, deadline time.Time) error {
	slot, err := g.opts.Admitter.Acquire(r.Context(), admission.Request{
		Team: s.c.team.Name, Group: s.route.Group, Deadline: deadline, Cost: s.asked.Cost,
	})
	if err != nil {
		if r.Context().Err() != nil {
			return &callerGoneError{r.Context().Err()}
		}
		return s.withRun(err)
	}
	defer func() { slot.Release(s.tokens) }()
	s.slot = slot
	if err := mayDispatch(s.right); err != nil {
		return err
	}
	return s.serve(r.Context(), deadline)
}

// endModel tells the caller how the session ended.
func (g *Gateway) endModel(w http.ResponseWriter, r *http.Request, s *session, err error) {
	log := g.opts.Log.With("request", s.c.id, "team", s.c.team.Name, "model", s.asked.Model, "tokens", s.tokens,
		"duration", time.Since(s.started))
	if err == nil {
		answersWhole.Inc()
		log.Info("answered")
		return
	}
	if _, gone := errors.Into[*callerGoneError](err); gone {
		callersGone.Inc()
		log.Info("caller gone", "run", s.run, "err", err.Error())
		return
	}
	if !s.exchange.ResponseStarted() {
		g.refuse(w, r, s.c, err)
		return
	}
	// The status has gone out: an error event, then an aborted body, so that no
	// client can take what came for the whole answer.
	answersAborted.Inc()
	e := typed(err)
	countRefusal(e)
	log.Error("answer aborted", "code", e.Code, "run", e.Run, "err", err.Error())
	s.exchange.Abort(g.opts.Protocol.Error(e, s.c.id))
	panic(http.ErrAbortHandler)
}

// outcome is what the session's end means for its claim.
func (s *session) outcome(err error) claimOutcome {
	switch {
	case s.run == fennelerr.NotRun:
		return claimOutcome{kind: claimNotRun}
	case err != nil:
		return claimOutcome{kind: claimUnknown}
	}
	answer := claims.Answer{Status: http.StatusOK, ContentType: "application/json"}
	answer.Body = s.exchange.ResponseDocument()
	answer.BodyOmitted = answer.Body == nil
	return claimOutcome{kind: claimRan, answer: answer}
}

// needsClaim reports whether a call on the route is claimed before dispatch.
func needsClaim(rt *rules.Route, method, key string) bool {
	if rt.Once == rules.OnceNo || isSafe(method) {
		return false
	}
	if rt.Group != "" {
		return rt.Once == rules.OnceRequired
	}
	return rt.Once == rules.OnceRequired || key != ""
}

// isSafe reports whether the method only reads (RFC 9110 section 9.2.1).
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
