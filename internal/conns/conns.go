// Package conns keeps connections to backend servers for reuse.
//
// Each connection has a transport of its own that dials once. A shared transport
// would send some requests again by itself when a kept connection turns out to be
// closed; a call that may run once only would run twice, and no count of sends
// would show it. Here nothing is sent that the caller of RoundTrip did not ask for.
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
	"github.com/fennelcourse/fennelcourse/internal/sockets"
)

// Times of connections.
const (
	// dialTimeout is well above a round trip between zones (2 ms) and a lost
	// opening packet (1 s until it is sent again).
	dialTimeout = 1500 * time.Millisecond
	// defaultKeep is how long a connection is kept whose server names no time.
	defaultKeep = 5 * time.Second
	// keepSlack is how much earlier than its server a connection is given up, so
	// that a request does not cross the server's close.
	keepSlack = time.Second
	shards    = 16
)

// Peer is the process at the other end. Another process at the same address, or
// another start under the same id, is another peer: it must not get what is kept
// for the first.
type Peer struct {
	Server cluster.VMID
	Addr   string
	StartedUnixMs   int64
}

// NotSentError is a request of which no byte left this node.
type NotSentError struct {
	Addr string
	// Refused is true when the address answered that nothing listens there.
	Refused bool
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent to " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// errSpent is the answer to a second dial of a connection's transport.
var errSpent = errors.New("the kept connection is closed")

var (
	dialsTotal  = metrics.NewCounter("fennel_conns_dials_total")
	reusedTotal = metrics.NewCounter("fennel_conns_reused_total")
)

// Pool keeps idle connections by peer.
type Pool struct{ shards [shards]shard }

type shard struct {
	mu   sync.Mutex
	idle map[Peer][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{}
	for i := range p.shards {
		p.shards[i].idle = make(map[Peer][]*Conn)
	}
	return p
}

// Conn is one connection, or the right to make one. It carries one request at a time.
type Conn struct {
	peer      Peer
	transport *http.Transport
	dialed    atomic.Bool
	uses      int
	keep      time.Duration
	idleSince time.Time
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.uses > 1 }

// Get returns a kept connection to the peer that has been idle for at most maxIdle,
// or a new one.
func (p *Pool) Get(peer Peer, maxIdle time.Duration, now time.Time) *Conn {
	if c := p.takeIdle(peer, maxIdle, now); c != nil {
		c.uses++
		reusedTotal.Inc()
		return c
	}
	c := &Conn{peer: peer, keep: defaultKeep, uses: 1}
	c.transport = &http.Transport{DialContext: c.dial, DisableCompression: true, MaxIdleConnsPerHost: 1, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	return c
}

// takeIdle takes the connection that was used last: it is the likeliest to work.
func (p *Pool) takeIdle(peer Peer, maxIdle time.Duration, now time.Time) *Conn {
	s := p.shard(peer)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[peer]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		s.idle[peer] = list
		if idle := now.Sub(c.idleSince); idle <= min(maxIdle, c.keep) {
			return c
		}
		c.Close()
	}
	delete(s.idle, peer)
	return nil
}

// Put keeps a connection whose last answer was read to its end.
func (p *Pool) Put(c *Conn, now time.Time) {
	c.idleSince = now
	s := p.shard(c.peer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle[c.peer] = append(s.idle[c.peer], c)
}

// Close closes all kept connections.
func (p *Pool) Close() { p.Sweep(func(Peer) bool { return false }, time.Time{}) }

// Sweep closes connections that were idle for too long and those to peers that
// are not known any more.
func (p *Pool) Sweep(known func(Peer) bool, now time.Time) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for peer, list := range s.idle {
			kept := list[:0]
			for _, c := range list {
				if known(peer) && now.Sub(c.idleSince) <= c.keep {
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
	return &p.shards[xxhash.Sum64String(peer.Addr)%shards]
}

// dial makes the one connection.
func (c *Conn) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if c.dialed.Swap(true) {
		return nil, errSpent
	}
	dialsTotal.Inc()
	return sockets.Dialer(dialTimeout).DialContext(ctx, network, addr)
}

// RoundTrip sends one request. A failure is a *NotSentError when no byte of it can
// have left this node; any other may have reached the peer.
func (c *Conn) RoundTrip(req *http.Request) (*http.Response, error) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if !got.Load() {
			return nil, &NotSentError{Addr: c.peer.Addr, Refused: isRefused(err), Err: err}
		}
		return nil, err
	}
	if keep, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		c.keep = max(keep-keepSlack, 0)
	}
	return resp, nil
}

// Close drops the connection.
func (c *Conn) Close() { c.transport.CloseIdleConnections() }

// keepAliveTimeout reads the server's word on how long it keeps idle connections.
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
