package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
)

// Defaults of a Client.
const (
	DefaultCallTimeout = 2 * time.Second
	defaultDialTimeout = time.Second
	idleConnTimeout    = 90 * time.Second
	// maxResponseBytes bounds a response; a digest of 32 members needs about 4 KB.
	maxResponseBytes = 1 << 20
)

// CallErrorKind classifies a failed call to an engine.
type CallErrorKind string

// Kinds of failed calls. Only CallNotSent proves that the engine did not receive the call.
const (
	CallNotSent   CallErrorKind = "not-sent"
	CallNoAnswer  CallErrorKind = "no-answer"
	CallBadStatus CallErrorKind = "bad-status"
	CallBadAnswer CallErrorKind = "bad-answer"
)

// CallError is any failure of a Client call.
type CallError struct {
	Kind   CallErrorKind
	Op     string
	Addr   string
	Status int // HTTP status, for CallBadStatus
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("engine %s %s: %s status=%d: %v", e.Op, e.Addr, e.Kind, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client makes short control calls to engines. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a Client with the given timeout per call; zero means
// DefaultCallTimeout.
func NewClient(timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	dialer := &net.Dialer{Timeout: min(timeout, defaultDialTimeout)}
	transport := httpbounds.New(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnTimeout,
	})
	return &Client{http: &http.Client{Transport: transport}, timeout: timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// State returns the state of the engine at addr (ip:port).
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var state State
	err := c.call(ctx, request{op: "state", method: http.MethodGet, addr: addr, path: StatePath}, &state)
	return state, err
}

// BriefState returns the state with a summary of the members.
func (c *Client) BriefState(ctx context.Context, addr string) (State, error) {
	var state State
	path := StatePath + "?" + BriefQuery
	err := c.call(ctx, request{op: "state", method: http.MethodGet, addr: addr, path: path}, &state)
	return state, err
}

// Order sends an order. A refusal is an OrderResult with Accepted false, not an error.
func (c *Client) Order(ctx context.Context, addr string, order Order) (OrderResult, error) {
	var result OrderResult
	err := c.call(ctx, request{op: "order", method: http.MethodPost, addr: addr, path: OrdersPath, body: order}, &result)
	return result, err
}

// Cancel cancels the request with the given id.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	body := CancelRequest{RequestID: id}
	return c.call(ctx, request{op: "cancel", method: http.MethodPost, addr: addr, path: CancelPath, body: body}, nil)
}

// CacheEvents returns the cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, addr string, after int64) (CacheEvents, error) {
	var events CacheEvents
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	path := CacheEventsPath + "?" + query.Encode()
	err := c.call(ctx, request{op: "cache-events", method: http.MethodGet, addr: addr, path: path}, &events)
	return events, err
}

type request struct {
	op, method, addr, path string
	body                   any
}

// call makes one HTTP exchange and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := r.build(ctx)
	if err != nil {
		return r.newError(CallNotSent, 0, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r.newError(callErrorKind(err), 0, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return r.newError(CallNoAnswer, resp.StatusCode, err)
	}
	if len(body) > maxResponseBytes {
		return r.newError(CallBadAnswer, resp.StatusCode, errors.Errorf("response exceeds %d bytes", maxResponseBytes))
	}
	return r.decode(resp.StatusCode, body, out)
}

func (r request) build(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		data, err := json.Marshal(r.body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.addr+r.path, body)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// decode accepts an OrderResult also with status 409, with which an engine may refuse
// an order that has a stale fencing token.
func (r request) decode(status int, body []byte, out any) error {
	refusedOrder := r.op == "order" && status == http.StatusConflict
	if status/100 != 2 && !refusedOrder {
		return r.newError(CallBadStatus, status, errors.New(http.StatusText(status)))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return r.newError(CallBadAnswer, status, err)
	}
	return nil
}

func (r request) newError(kind CallErrorKind, status int, err error) error {
	return &CallError{Kind: kind, Op: r.op, Addr: r.addr, Status: status, Err: err}
}

func callErrorKind(err error) CallErrorKind {
	if op, ok := errors.Into[*net.OpError](err); ok && op.Op == "dial" {
		return CallNotSent
	}
	return CallNoAnswer
}
