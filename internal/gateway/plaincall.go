package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/recovery"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// plainCall is one call to a plain service over as many attempts as are safe. It is a
// recovery.Call.
type plainCall struct {
	g     *Gateway
	c     caller
	route *rules.Route
	in    *http.Request
	body  []byte
	right Claim
	run   fennelerr.RunState
	// repeatable allows a second attempt after bytes went out.
	repeatable bool
	// addrs are the service's backend servers, tried in turn; tried counts those that
	// were.
	addrs  []string
	tried  int
	answer *plainAnswer
}

// plainAnswer is a backend server's answer: the head is read, the rest still comes.
type plainAnswer struct {
	status int
	header http.Header
	head   []byte
	// whole is true when head is all of the body.
	whole bool
	body  io.ReadCloser
}

// do tries the service's backend servers in turn for as long as that is safe.
func (p *plainCall) do(ctx context.Context) (*plainAnswer, error) {
	p.addrs = p.g.opts.Services.ServiceAddrs(p.route.Service)
	if len(p.addrs) == 0 {
		return nil, fennelerr.New(fennelerr.NoReplica, "no backend server of %s is live", p.route.Service).
			WithRun(fennelerr.NotRun).WithRetryAfter(retryBudgetWait)
	}
	if err := recovery.Run(ctx, p); err != nil {
		return nil, err
	}
	return p.answer, nil
}

func (p *plainCall) addr() string { return p.addrs[p.tried-1] }

// Choose implements recovery.Call.
func (p *plainCall) Choose(context.Context) error {
	p.tried++
	p.g.opts.Log.Info("route", "request", p.c.id, "team", p.c.team.Name, "service", p.route.Service,
		"rule_line", p.route.Line, "addr", p.addr(), "attempt", p.tried, "claimed", p.right != nil)
	return mayDispatch(p.right)
}

// Attempt implements recovery.Call.
func (p *plainCall) Attempt(ctx context.Context) (err error) {
	p.answer, err = p.attempt(ctx, p.addr())
	return err
}

// Abandoned implements recovery.Call: a call without time is judged like any failed one.
func (p *plainCall) Abandoned(context.Context, error) error { return nil }

// Classify implements recovery.Call.
func (p *plainCall) Classify(ctx context.Context, err error) recovery.Failure {
	f := recovery.Failure{
		MayHaveRun: p.run != fennelerr.NotRun, Repeatable: p.repeatable,
		Attempts: p.tried, MaxAttempts: len(p.addrs), OutOfTime: ctx.Err() != nil,
		TakeRetry: func() bool { return p.g.opts.Admitter.AllowRetry(p.c.team.Name) },
	}
	if _, notStarted := errors.Into[*engine.NotStartedError](err); notStarted {
		f.Outcome = recovery.NotRun
	}
	return f
}

// Apply implements recovery.Call.
func (p *plainCall) Apply(ctx context.Context, d recovery.Decision, err error) error {
	p.g.opts.Log.Warn("attempt failed", "request", p.c.id, "addr", p.addr(), "run", p.run, "next", d.Step, "reason", d.Reason,
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
		e.RetryAfter = retryBudgetWait
	}
	return e
}

// attempt sends the call to one backend server.
//
// A call that may not be repeated goes over a new connection: a pooled one may
// have gone silent, and then nobody could tell whether the call ran. The body is
// not rewindable for the same reason: net/http sends a request with an
// Idempotency-Key again by itself when it can rewind the body.
func (p *plainCall) attempt(ctx context.Context, addr string) (*plainAnswer, error) {
	var sent bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	out, err := p.outgoing(httptrace.WithClientTrace(ctx, trace), addr)
	if err != nil {
		return nil, err
	}
	resp, err := p.transport(addr).RoundTrip(out)
	if err != nil && !sent {
		return nil, &engine.NotStartedError{Addr: addr, Err: err}
	}
	if err != nil {
		p.run = fennelerr.Unknown
		return nil, &engine.BrokenError{Addr: addr, Err: err}
	}
	return p.read(addr, resp)
}

func (p *plainCall) transport(addr string) http.RoundTripper {
	if p.repeatable {
		return p.g.opts.Pools.Get(addr)
	}
	return p.g.opts.Pools.Fresh()
}

func (p *plainCall) outgoing(ctx context.Context, addr string) (*http.Request, error) {
	url := *p.in.URL
	url.Scheme, url.Host = "http", addr
	var body io.Reader
	if len(p.body) > 0 {
		body = io.NopCloser(bytes.NewReader(p.body))
	}
	out, err := http.NewRequestWithContext(ctx, p.in.Method, url.String(), body)
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(p.body))
	for _, name := range forwardedHeaders {
		if v := p.in.Header.Values(name); len(v) > 0 {
			out.Header[name] = slices.Clone(v)
		}
	}
	out.Header.Set(engine.HeaderRequestID, p.c.id)
	out.Header.Set(headerTeam, string(p.c.team.Name))
	return out, nil
}

// headerTeam tells a plain service which team calls; the caller's token stays here.
const headerTeam = "Fennel-Team"

// forwardedHeaders are the caller's headers that a plain service gets.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", HeaderIdempotencyKey, "If-Match", "If-None-Match", "User-Agent"}

// answerHeaders are a plain service's headers that the caller gets.
var answerHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After"}

func copyAnswerHeader(to, from http.Header) {
	for _, name := range answerHeaders {
		if v := from.Values(name); len(v) > 0 {
			to[name] = slices.Clone(v)
		}
	}
}

// read checks whose answer it is and reads its head.
func (p *plainCall) read(addr string, resp *http.Response) (*plainAnswer, error) {
	if resp.Header.Get(engine.HeaderStarted) == engine.StartedNo {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, p.g.opts.AnswerBuffer)) // for the log only
		resp.Body.Close()
		return nil, &engine.NotStartedError{Addr: addr, Status: resp.StatusCode, Message: string(message)}
	}
	p.run = fennelerr.Unknown
	if got := resp.Header.Get(engine.HeaderRequestID); got != "" && got != p.c.id {
		mismatches.Inc()
		resp.Body.Close()
		return nil, &engine.MismatchError{Addr: addr, Want: p.c.id, Got: got}
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, p.g.opts.AnswerBuffer))
	if err != nil {
		resp.Body.Close()
		return nil, &engine.BrokenError{Addr: addr, Err: err}
	}
	p.run = fennelerr.Ran
	whole := int64(len(head)) < p.g.opts.AnswerBuffer
	return &plainAnswer{status: resp.StatusCode, header: resp.Header, head: head, whole: whole, body: resp.Body}, nil
}

// copyTo writes the head and then the rest; progress is called after each write.
func (a *plainAnswer) copyTo(w io.Writer, progress func()) error {
	if _, err := w.Write(a.head); err != nil {
		return &callerGoneError{err}
	}
	if a.whole {
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
