// Package etcdgw is the store driver for the platform's key-value service. It uses
// the etcd v3 JSON gateway over net/http.
//
// It reports the three outcomes of a write that package store defines. A request
// that never got a connection is refused. Once it had a connection, bytes may have
// been sent, and only a response from the service makes the outcome known. The
// client fails over to another endpoint for reads, and for writes that certainly
// had no effect.
package etcdgw

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
)

// Defaults of Options.
const (
	DefaultTimeout          = 2 * time.Second
	DefaultDialTimeout      = 500 * time.Millisecond
	DefaultWatchIdleTimeout = 30 * time.Second
)

// maxResponseBytes limits the size of a response, so that a faulty server cannot exhaust memory.
const maxResponseBytes = 64 << 20

// maxIdleConnsPerEndpoint is the number of idle connections kept for reuse.
const maxIdleConnsPerEndpoint = 8

// Options configures a Client.
type Options struct {
	// Endpoints are base URLs such as "https://10.0.0.5:2379"; at least one.
	Endpoints []string
	// Timeout limits one attempt of a call; zero means DefaultTimeout.
	Timeout time.Duration
	// DialTimeout limits connection establishment within an attempt; zero means
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// WatchIdleTimeout is how long a watch may receive nothing before it is reopened,
	// since its connection may be dead; zero means DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
	// TLS is used for https endpoints; nil uses the system's root certificates.
	TLS *tls.Config
	// Token is sent as a bearer token when set.
	Token string
}

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	endpoints []string
	timeout   time.Duration
	watchIdle time.Duration
	token     string
	transport *httpbounds.Transport
	http      *http.Client
	// preferred is the index of the endpoint to try first.
	preferred atomic.Int64
}

var _ store.Store = (*Client)(nil)

// New returns a client without connecting to the service.
func New(opts Options) *Client {
	dialer := &net.Dialer{Timeout: orDefault(opts.DialTimeout, DefaultDialTimeout)}
	// HTTP/1.1 with one connection per call in flight, so that an unresponsive
	// connection blocks one call and not all of them.
	transport := httpbounds.New(&http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     opts.TLS,
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     time.Minute,
	})
	c := &Client{
		timeout:   orDefault(opts.Timeout, DefaultTimeout),
		watchIdle: orDefault(opts.WatchIdleTimeout, DefaultWatchIdleTimeout),
		token:     opts.Token,
		transport: transport,
		http:      &http.Client{Transport: transport},
	}
	for _, endpoint := range opts.Endpoints {
		c.endpoints = append(c.endpoints, strings.TrimRight(endpoint, "/"))
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// operation describes one method of the gateway.
type operation struct {
	name string
	path string
	// write is set if the call may change the store.
	write bool
}

var (
	opGet       = operation{name: "get", path: etcdjson.PathRange}
	opRange     = operation{name: "range", path: etcdjson.PathRange}
	opTxn       = operation{name: "txn", path: etcdjson.PathTxn, write: true}
	opGrant     = operation{name: "grant", path: etcdjson.PathGrant, write: true}
	opKeepAlive = operation{name: "keepalive", path: etcdjson.PathKeepAlive}
	opRevoke    = operation{name: "revoke", path: etcdjson.PathRevoke, write: true}
	opWatch     = operation{name: "watch", path: etcdjson.PathWatch}
)

// do tries the endpoints in turn, starting with the preferred one, until one
// responds or a retry could repeat a write.
func (c *Client) do(ctx context.Context, op operation, req, res any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return newError(op, store.Invalid, store.Refused, err)
	}
	if len(c.endpoints) == 0 {
		return newError(op, store.Invalid, store.Refused, errors.New("no endpoints"))
	}
	start := c.preferred.Load()
	var lastErr *store.Error
	for i := range int64(len(c.endpoints)) {
		index := (start + i) % int64(len(c.endpoints))
		lastErr = c.attempt(ctx, op, c.endpoints[index], body, res)
		if lastErr == nil || lastErr.Kind != store.Unavailable {
			c.preferred.Store(index)
			return asError(lastErr)
		}
		c.preferred.Store((index + 1) % int64(len(c.endpoints)))
		if lastErr.Outcome == store.Unknown || ctx.Err() != nil {
			return lastErr
		}
	}
	return lastErr
}

// asError converts err without turning a nil *store.Error into a non-nil error.
func asError(err *store.Error) error {
	if err == nil {
		return nil
	}
	return err
}

func (c *Client) attempt(ctx context.Context, op operation, endpoint string, body []byte, res any) *store.Error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, maybeSent, err := c.post(ctx, op, endpoint, body)
	if err != nil {
		return c.noResponseError(op, maybeSent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return c.noResponseError(op, true, err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(op, resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, res); err != nil {
		return c.noResponseError(op, true, errors.Wrap(err, "decode response"))
	}
	return nil
}

// post sends the request. maybeSent reports whether it got a connection, after which
// bytes may have been sent.
func (c *Client) post(ctx context.Context, op operation, endpoint string, body []byte) (resp *http.Response, maybeSent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, endpoint+op.path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", etcdjson.ContentType)
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_etcdgw_calls_total{op=%q}`, op.name)).Inc()
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err = c.http.Do(req)
	return resp, connected.Load(), err
}

// noResponseError returns the error of a call that the service did not answer. It
// closes the idle connections if the request may have been sent: when one connection
// is dead the others may be too, and the next call would wait on one of them.
func (c *Client) noResponseError(op operation, maybeSent bool, err error) *store.Error {
	outcome := store.Refused
	if maybeSent {
		c.transport.CloseIdleConnections()
		if op.write {
			outcome = store.Unknown
		}
	}
	return newError(op, store.Unavailable, outcome, err)
}

// responseError converts an error response of the gateway. Only the codes that the
// service returns before it processes a write prove that the write had no effect.
func responseError(op operation, status int, raw []byte) *store.Error {
	var apiErr etcdjson.Error
	_ = json.Unmarshal(raw, &apiErr) // code stays 0 if the body is not the gateway's
	cause := errors.Errorf("status %d code %d: %s", status, apiErr.Code, apiErr.Message)
	switch apiErr.Code {
	case etcdjson.CodeNotFound:
		return newError(op, store.LeaseNotFound, store.Refused, cause)
	case etcdjson.CodeOutOfRange:
		return newError(op, store.Compacted, store.Refused, cause)
	case etcdjson.CodeInvalidArgument, etcdjson.CodePermissionDenied, etcdjson.CodeFailedPrecond,
		etcdjson.CodeUnimplemented, etcdjson.CodeUnauthenticated:
		return newError(op, store.Invalid, store.Refused, cause)
	case etcdjson.CodeResourceExhausted:
		return newError(op, store.Unavailable, store.Refused, cause)
	}
	outcome := store.Refused
	if op.write {
		outcome = store.Unknown
	}
	return newError(op, store.Unavailable, outcome, cause)
}

func newError(op operation, kind store.ErrorKind, outcome store.Outcome, err error) *store.Error {
	return &store.Error{Kind: kind, Outcome: outcome, Op: op.name, Err: err}
}
