package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
	"github.com/fennelcourse/fennelcourse/internal/recovery"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// plainCall is one call to a plain service, with as many attempts as are safe. It implements
// recovery.Call.
type plainCall struct {
	g       *Gateway
	c       caller
	route   *rules.Route
	request *http.Request
	body    []byte
	claim   Claim
	run     fennelerr.RunState
	// repeatable allows another attempt after part of the call was sent.
	repeatable bool
	// addrs are the addresses of the service's backend servers, which are tried in order.
	// attempts is the number of those tried so far.
	addrs    []string
	attempts int
	answer   *plainAnswer
	progress progress
}

// plainAnswer is a backend server's answer. The first part of the body was read, the rest may
// still follow.
type plainAnswer struct {
	status   int
	header   http.Header
	buffered []byte
	// complete is true if buffered is the entire body.
	complete bool
	body     io.ReadCloser
}

// execute tries the service's backend servers in order for as long as that is safe.
func (p *plainCall) execute(ctx context.Context) (*plainAnswer, error) {
	p.addrs = p.g.opts.Services.ServiceAddrs(p.route.Service)
	if len(p.addrs) == 0 {
		return nil, fennelerr.New(fennelerr.NoReplica, "service %s has no live backend server", p.route.Service).
			WithRun(fennelerr.NotRun).WithRetryAfter(retryLaterDelay)
	}
	if err := recovery.Run(ctx, p); err != nil {
		return nil, err
	}
	return p.answer, nil
}

func (p *plainCall) addr() string { return p.addrs[p.attempts-1] }

// Choose implements recovery.Call.
func (p *plainCall) Choose(context.Context) error {
	p.attempts++
	p.g.opts.Log.Info("route", "request", p.c.requestID, "team", p.c.team.Name, "service", p.route.Service,
		"rule_line", p.route.Line, "addr", p.addr(), "attempt", p.attempts, "claimed", p.claim != nil)
	return checkClaimHeld(p.claim)
}

// Attempt implements recovery.Call.
func (p *plainCall) Attempt(ctx context.Context) (err error) {
	p.progress.lastActivity = time.Now()
	p.answer, err = p.attempt(ctx, p.addr())
	if err != nil {
		p.recordSilence()
	}
	return err
}

func (p *plainCall) recordSilence() { p.progress.recordSilence("silent_addr", p.addr()) }

// Abandoned implements recovery.Call. It returns nil because a call whose time is up is
// classified like any failed one.
func (p *plainCall) Abandoned(context.Context, error) error { return nil }

// Classify implements recovery.Call.
func (p *plainCall) Classify(ctx context.Context, err error) recovery.Failure {
	f := recovery.Failure{
		MayHaveRun: p.run != fennelerr.NotRun, Repeatable: p.repeatable,
		Attempts: p.attempts, MaxAttempts: len(p.addrs), OutOfTime: ctx.Err() != nil,
		TakeRetry: func() bool { return p.g.opts.Admitter.AllowRetry(p.c.team.Name) },
	}
	if _, notStarted := errors.Into[*engine.NotStartedError](err); notStarted {
		f.Outcome = recovery.NotRun
	}
	return f
}

// Apply implements recovery.Call.
func (p *plainCall) Apply(ctx context.Context, d recovery.Decision, err error) error {
	p.g.opts.Log.Warn("attempt failed", "request", p.c.requestID, "addr", p.addr(), "run", p.run, "next", d.Step, "reason", d.Reason,
		"err", err.Error())
	if d.Step == recovery.GiveUp {
		return p.giveUp(ctx, err)
	}
	return nil
}

func (p *plainCall) giveUp(ctx context.Context, err error) error {
	code := fennelerr.BackendFailed
	switch {
	case p.run == fennelerr.Unknown && !p.repeatable:
		code = fennelerr.OutcomeUnknown
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = fennelerr.Timeout
	}
	e := fennelerr.Wrap(err, code, "the call to %s failed", p.route.Service).WithRun(p.run)
	if code != fennelerr.OutcomeUnknown {
		e.RetryAfter = retryLaterDelay
	}
	return e
}

// attempt sends the call to one backend server.
//
// A call that must not be repeated is sent on a new connection: on a pooled connection that
// no longer passes data, it would be unknown whether the call ran. The body has no GetBody
// function for a similar reason: net/http itself resends a request with an Idempotency-Key if
// it can rewind the body.
func (p *plainCall) attempt(ctx context.Context, addr string) (*plainAnswer, error) {
	var connected bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	out, err := p.newRequest(httptrace.WithClientTrace(ctx, trace), addr)
	if err != nil {
		return nil, err
	}
	resp, err := p.transport(addr).RoundTrip(out)
	if err != nil && !connected {
		return nil, &engine.NotStartedError{Addr: addr, Err: err}
	}
	if err != nil {
		p.run = fennelerr.Unknown
		return nil, &engine.BrokenError{Addr: addr, Err: err}
	}
	return p.readAnswer(addr, resp)
}

func (p *plainCall) transport(addr string) *httpbounds.Transport {
	if p.repeatable {
		return p.g.opts.Pools.Get(addr)
	}
	return p.g.opts.Pools.Unpooled()
}

func (p *plainCall) newRequest(ctx context.Context, addr string) (*http.Request, error) {
	url := *p.request.URL
	url.Scheme, url.Host = "http", addr
	var body io.Reader
	if len(p.body) > 0 {
		body = io.NopCloser(bytes.NewReader(p.body))
	}
	out, err := http.NewRequestWithContext(ctx, p.request.Method, url.String(), body)
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(p.body))
	for _, name := range forwardedHeaders {
		if v := p.request.Header.Values(name); len(v) > 0 {
			out.Header[name] = slices.Clone(v)
		}
	}
	out.Header.Set(engine.HeaderRequestID, p.c.requestID)
	out.Header.Set(headerTeam, string(p.c.team.Name))
	return out, nil
}

// headerTeam names the calling team in requests to a plain service. The caller's token is not
// forwarded.
const headerTeam = "Fennel-Team"

// forwardedHeaders are the request headers that are forwarded to a plain service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", HeaderIdempotencyKey, "If-Match", "If-None-Match", "User-Agent"}

// answerHeaders are the response headers of a plain service that are forwarded to the caller.
var answerHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After"}

func copyAnswerHeader(to, from http.Header) {
	for _, name := range answerHeaders {
		if v := from.Values(name); len(v) > 0 {
			to[name] = slices.Clone(v)
		}
	}
}

// readAnswer verifies that the answer belongs to this call and reads its first part.
func (p *plainCall) readAnswer(addr string, resp *http.Response) (*plainAnswer, error) {
	if resp.Header.Get(engine.HeaderStarted) == engine.StartedNo {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, p.g.opts.AnswerBuffer)) // for the log only
		resp.Body.Close()
		return nil, &engine.NotStartedError{Addr: addr, Status: resp.StatusCode, Message: string(message)}
	}
	resp.Body = activeBody{resp.Body, &p.progress}
	p.run = fennelerr.Unknown
	if got := resp.Header.Get(engine.HeaderRequestID); got != "" && got != p.c.requestID {
		mismatches.Inc()
		resp.Body.Close()
		return nil, &engine.MismatchError{Addr: addr, Want: p.c.requestID, Got: got}
	}
	buffered, err := io.ReadAll(io.LimitReader(resp.Body, p.g.opts.AnswerBuffer))
	if err != nil {
		resp.Body.Close()
		return nil, &engine.BrokenError{Addr: addr, Err: err}
	}
	p.run = fennelerr.Ran
	complete := int64(len(buffered)) < p.g.opts.AnswerBuffer
	return &plainAnswer{status: resp.StatusCode, header: resp.Header, buffered: buffered, complete: complete, body: resp.Body}, nil
}

// activeBody records when data of an answer arrives.
type activeBody struct {
	io.ReadCloser
	progress *progress
}

// Read implements io.Reader.
func (b activeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.progress.lastActivity = time.Now()
	}
	return n, err
}

// copyTo writes the buffered part of the body and then the rest. It calls progress after each
// write of the rest.
func (a *plainAnswer) copyTo(w io.Writer, progress func()) error {
	if _, err := w.Write(a.buffered); err != nil {
		return &callerGoneError{err}
	}
	if a.complete {
		return nil
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := a.body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return &callerGoneError{werr}
			}
			progress()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
