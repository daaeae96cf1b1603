// Package etcdgw is the store driver for the platform's key-value service: the
// published etcd v3 JSON gateway over net/http.
//
// It tells the three outcomes of a write apart as package store asks. A request
// that never got a connection is refused. Once it had one, bytes may have gone
// out, and only an answer from the service makes the outcome known. Another
// endpoint is tried for reads, and for writes that certainly had no effect.
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

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
)

// Defaults of Options.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultWatchIdleTimeout   = 30 * time.Second
)

// maxAnswer bounds one answer, so that a broken peer can't fill the memory.
const maxAnswer = 64 << 20

// idlePerEndpoint is how many idle connections are kept for reuse.
const idlePerEndpoint = 8

// Options configures a Client.
type Options struct {
	// Endpoints are base URLs such as "https://10.0.0.5:2379"; at least one.
	Endpoints []string
	// Timeout bounds one attempt of one call; zero is DefaultTimeout.
	Timeout time.Duration
	// DialTimeout bounds the connection set-up within an attempt.
	DialTimeout time.Duration
	// WatchIdleTimeout is how long a watch may bring nothing before it is opened anew,
	// since its connection may have gone silent; zero is DefaultWatchIdle.
	WatchIdleTimeout time.Duration
	// TLS is used for https endpoints; nil takes the system's roots.
	TLS *tls.Config
	// Token is sent as a bearer token when set.
	Token string
}

// Client is a store.Store. It is safe for concurrent use.
type Client struct {
	endpoints []string
	timeout   time.Duration
	watchIdle time.Duration
	token     string
	transport *http.Transport
	http      *http.Client
	// preferred indexes the endpoint that answered last.
	preferred atomic.Int64
}

var _ store.Store = (*Client)(nil)

// New returns a client; it makes no call.
func New(opts Options) *Client {
	dialer := &net.Dialer{Timeout: orDefault(opts.DialTimeout, DefaultDialTimeout)}
	// One HTTP/1.1 connection per call in flight: a silent connection then
	// holds up one call and not all of them.
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     opts.TLS,
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     time.Minute,
	}
	c := &Client{
		timeout:   orDefault(opts.Timeout, DefaultTimeout),
		watchIdle: orDefault(opts.WatchIdleTimeout, DefaultWatchIdleTimeout),
		token:     opts.Token,
		transport: transport,
		http:      &http.Client{Transport: transport},
	}
	for _, e := range opts.Endpoints {
		c.endpoints = append(c.endpoints, strings.TrimRight(e, "/"))
	}
	return c
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// call describes one call of the gateway.
type call struct {
	op   string
	path string
	// write is set when the call may change the store.
	write bool
}

var (
	callGet       = call{op: "get", path: etcdjson.PathRange}
	callRange     = call{op: "range", path: etcdjson.PathRange}
	callTxn       = call{op: "txn", path: etcdjson.PathTxn, write: true}
	callGrant     = call{op: "grant", path: etcdjson.PathGrant, write: true}
	callKeepAlive = call{op: "keepalive", path: etcdjson.PathKeepAlive}
	callRevoke    = call{op: "revoke", path: etcdjson.PathRevoke, write: true}
	callWatch     = call{op: "watch", path: etcdjson.PathWatch}
)

// do makes the call on the endpoints in turn, starting with the one that
// answered last, until one answers or a further try could repeat a write.
func (c *Client) do(ctx context.Context, k call, req, res any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return failure(k, store.Invalid, store.Refused, err)
	}
	if len(c.endpoints) == 0 {
		return failure(k, store.Invalid, store.Refused, errors.New("no endpoints"))
	}
	first := c.preferred.Load()
	var last *store.Error
	for i := range int64(len(c.endpoints)) {
		at := (first + i) % int64(len(c.endpoints))
		last = c.attempt(ctx, k, c.endpoints[at], body, res)
		if last == nil || last.Kind != store.Unavailable {
			c.preferred.Store(at)
			return asError(last)
		}
		c.preferred.Store((at + 1) % int64(len(c.endpoints)))
		if last.Outcome == store.Unknown || ctx.Err() != nil {
			return last
		}
	}
	return last
}

// asError keeps a nil *store.Error from becoming a non-nil error.
func asError(err *store.Error) error {
	if err == nil {
		return nil
	}
	return err
}

func (c *Client) attempt(ctx context.Context, k call, endpoint string, body []byte, res any) *store.Error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, sent, err := c.post(ctx, k, endpoint, body)
	if err != nil {
		return c.unanswered(k, sent, err)
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return c.unanswered(k, true, err)
	}
	if answer.StatusCode != http.StatusOK {
		return refusal(k, answer.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, res); err != nil {
		return c.unanswered(k, true, errors.Wrap(err, "unreadable answer"))
	}
	return nil
}

// post sends the request; sent reports whether it got a connection, after which
// bytes may have gone out.
func (c *Client) post(ctx context.Context, k call, endpoint string, body []byte) (answer *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, endpoint+k.path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", etcdjson.ContentType)
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_etcdgw_calls_total{op=%q}`, k.op)).Inc()
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	answer, err = c.http.Do(req)
	return answer, connected.Load(), err
}

// unanswered is the failure of a call that the service didn't answer. Idle
// connections are dropped: when one of them has gone silent, the others may
// have too, and the next call would wait on one of those.
func (c *Client) unanswered(k call, sent bool, err error) *store.Error {
	outcome := store.Refused
	if sent {
		c.transport.CloseIdleConnections()
		if k.write {
			outcome = store.Unknown
		}
	}
	return failure(k, store.Unavailable, outcome, err)
}

// refusal reads the gateway's error. Only codes that the service gives before it
// takes a write in prove that the write had no effect.
func refusal(k call, status int, raw []byte) *store.Error {
	var e etcdjson.Error
	_ = json.Unmarshal(raw, &e) // a body that isn't the gateway's leaves code 0
	cause := errors.Errorf("status %d code %d: %s", status, e.Code, e.Message)
	switch e.Code {
	case etcdjson.CodeNotFound:
		return failure(k, store.LeaseNotFound, store.Refused, cause)
	case etcdjson.CodeOutOfRange:
		return failure(k, store.Compacted, store.Refused, cause)
	case etcdjson.CodeInvalidArgument, etcdjson.CodePermissionDenied, etcdjson.CodeFailedPrecond,
		etcdjson.CodeUnimplemented, etcdjson.CodeUnauthenticated:
		return failure(k, store.Invalid, store.Refused, cause)
	case etcdjson.CodeResourceExhausted:
		return failure(k, store.Unavailable, store.Refused, cause)
	}
	outcome := store.Refused
	if k.write {
		outcome = store.Unknown
	}
	return failure(k, store.Unavailable, outcome, cause)
}

func failure(k call, kind store.ErrorKind, outcome store.Outcome, err error) *store.Error {
	return &store.Error{Kind: kind, Outcome: outcome, Op: k.op, Err: err}
}
