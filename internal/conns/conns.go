// Package conns pools connections to backend servers.
//
// Each connection has its own http.Transport, which dials only once. A shared
// transport retries some requests by itself if an idle connection turns out to be
// closed; a call that may run at most once would then run twice, and no counter would
// show the second send. Here every send is one that the caller of RoundTrip asked for.
package conns

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
	"github.com/fennelcourse/fennelcourse/internal/sockets"
)

// Connection timeouts and pool size.
const (
	// dialTimeout is well above a round trip between zones (2 ms) and leaves time for
	// one lost SYN packet, which is retransmitted after 1 s.
	dialTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout applies to connections whose server sends no Keep-Alive timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutMargin is subtracted from the server's Keep-Alive timeout, so that no
	// request is sent while the server closes the connection.
	idleTimeoutMargin = time.Second
	shardCount        = 16
)

// Peer identifies the process at the other end of a connection. Another process at the
// same address, or a restart under the same id, is a different peer and must not get
// connections of the first one.
type Peer struct {
	Server cluster.VMID
	Addr   string
	// StartedUnixMs is the start time of the process in Unix milliseconds.
	StartedUnixMs int64
}

// NotSentError reports a request of which no byte left this node.
type NotSentError struct {
	Addr string
	// Refused is set if the connection was refused: nothing listens at the address.
	Refused bool
	Err     error
}

// Error returns the address and the cause.
func (e *NotSentError) Error() string { return "not sent to " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// errConnClosed is returned by the second dial of a connection's transport.
var errConnClosed = errors.New("the idle connection was closed")

var (
	dialsTotal  = metrics.NewCounter("fennel_conns_dials_total")
	reusedTotal = metrics.NewCounter("fennel_conns_reused_total")
)

// Pool holds idle connections by peer, in shards with a lock each.
type Pool struct {
	// Dial opens connections; nil for TCP connections to the peer's address.
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	dialTimeout time.Duration
	shards      [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	idle map[Peer][]*Conn
}

// NewPool returns an empty pool of connections to backend servers.
func NewPool() *Pool { return NewPoolWithTimeout(dialTimeout) }

// NewPoolWithTimeout returns an empty pool whose connections must open within a timeout.
func NewPoolWithTimeout(timeout time.Duration) *Pool {
	p := &Pool{dialTimeout: timeout}
	for i := range p.shards {
		p.shards[i].idle = make(map[Peer][]*Conn)
	}
	return p
}

// Conn is one connection, which is dialed on first use. It carries one request at a time.
type Conn struct {
	peer        Peer
	dialer      func(ctx context.Context, network, addr string) (net.Conn, error)
	transport   *httpbounds.Transport
	dialed      atomic.Bool
	socket      atomic.Pointer[socket] // nil until dialed
	opening     opening
	gate        func() bool
	upload      upload
	lingering   atomic.Pointer[lingeringConn]
	uses        int
	idleTimeout time.Duration
	idleSince   time.Time
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.uses > 1 }

// Get returns an idle connection to the peer that has been idle for at most maxIdle,
// or a new one.
func (p *Pool) Get(peer Peer, maxIdle time.Duration, now time.Time) *Conn {
	for c := p.takeIdle(peer, maxIdle, now); c != nil; c = p.takeIdle(peer, maxIdle, now) {
		if !c.isReusable() {
			c.Close()
			continue
		}
		c.uses++
		reusedTotal.Inc()
		return c
	}
	c := &Conn{peer: peer, dialer: p.Dial, idleTimeout: defaultIdleTimeout, uses: 1}
	if c.dialer == nil {
		c.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
			return sockets.DialWatched(ctx, p.dialTimeout, network, addr)
		}
	}
	c.transport = httpbounds.New(&http.Transport{DialContext: c.dial, DisableCompression: true, MaxIdleConnsPerHost: 1, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10})
	return c
}

// takeIdle removes and returns the most recently used connection, which is the most
// likely to be still open.
func (p *Pool) takeIdle(peer Peer, maxIdle time.Duration, now time.Time) *Conn {
	s := p.shard(peer)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[peer]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		s.idle[peer] = list
		if idle := now.Sub(c.idleSince); idle <= min(maxIdle, c.idleTimeout) {
			return c
		}
		c.Close()
	}
	delete(s.idle, peer)
	return nil
}

// Put returns a connection to the pool. Its last response must have been read to the end. A
// connection whose server still reads the request's body carries no further request.
func (p *Pool) Put(c *Conn, now time.Time) {
	if c.upload.isPending() {
		return
	}
	c.idleSince = now
	s := p.shard(c.peer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle[c.peer] = append(s.idle[c.peer], c)
}

// Refuses reports whether a connection to the peer's address is refused. It returns false if the
// address does not respond until ctx ends.
func (p *Pool) Refuses(ctx context.Context, peer Peer) bool { return isRefused(p.tryDial(ctx, peer)) }

// Accepts reports whether the peer's address accepts a connection before ctx ends.
func (p *Pool) Accepts(ctx context.Context, peer Peer) bool { return p.tryDial(ctx, peer) == nil }

// tryDial opens a connection and closes it.
func (p *Pool) tryDial(ctx context.Context, peer Peer) error {
	dialsTotal.Inc()
	conn, err := sockets.Dialer(p.dialTimeout).DialContext(ctx, "tcp", peer.Addr)
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(Peer) bool { return false }, time.Time{}) }

// Sweep closes connections that were idle for too long and those to peers that are no
// longer known.
func (p *Pool) Sweep(known func(Peer) bool, now time.Time) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for peer, list := range s.idle {
			kept := list[:0]
			for _, c := range list {
				if known(peer) && now.Sub(c.idleSince) <= c.idleTimeout {
					kept = append(kept, c)
					continue
				}
				c.Close()
			}
			clear(list[len(kept):])
			if s.idle[peer] = kept; len(kept) == 0 {
				delete(s.idle, peer)
			}
		}
		s.mu.Unlock()
	}
}

func (p *Pool) shard(peer Peer) *shard {
	return &p.shards[xxhash.Sum64String(peer.Addr)%shardCount]
}

// dial opens the connection; a second dial fails. It ends with the request.
func (c *Conn) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if c.dialed.Swap(true) {
		return nil, errConnClosed
	}
	dialsTotal.Inc()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.opening.request, cancel)()
	conn, err := c.dialer(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if !c.opening.adopt(conn) {
		return nil, errWithheld
	}
	if c.withheld() {
		_ = conn.Close() // nothing was sent
		return nil, errWithheld
	}
	s := &socket{Conn: conn}
	c.socket.Store(s)
	lingering := &lingeringConn{socket: s, upload: &c.upload}
	c.lingering.Store(lingering)
	return lingering, nil
}

// RoundTrip sends one request. The error is a *NotSentError if no byte of the request
// can have left this node; after any other error the request may have reached the peer.
func (c *Conn) RoundTrip(req *http.Request) (*http.Response, error) {
	if c.dialed.Load() {
		if c.withheld() {
			return nil, &NotSentError{Addr: c.peer.Addr, Err: errWithheld}
		}
	} else {
		c.opening.request = req.Context()
	}
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { c.upload.finish() }}
	c.upload.begin(req.Context(), req.Body)
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if !gotConn.Load() {
			c.opening.abandon()
			return nil, &NotSentError{Addr: c.peer.Addr, Refused: isRefused(err), Err: err}
		}
		return nil, err
	}
	c.upload.answered.Store(true)
	if timeout, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = max(timeout-idleTimeoutMargin, 0)
	}
	return resp, nil
}

// Close closes the connection. No request may be in flight on it.
func (c *Conn) Close() {
	if l := c.lingering.Load(); l != nil && c.upload.isPending() {
		l.abort()
	}
	c.transport.CloseIdleConnections()
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for _, part := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		n, err := strconv.Atoi(value)
		return time.Duration(n) * time.Second, err == nil && n >= 0
	}
	return 0, false
}
