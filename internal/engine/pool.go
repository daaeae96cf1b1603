package engine

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
)

// Defaults of PoolOptions.
const (
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is short: the longer a connection is idle, the likelier a
	// middlebox on its path has dropped its state.
	DefaultIdleTimeout = 20 * time.Second
	maxIdlePerHost     = 64
	poolShards         = 16
)

// PoolOptions configures connections to backend servers; zero fields mean the defaults.
type PoolOptions struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
}

// Pools keeps one connection pool per backend server address.
//
// An open connection can stop delivering data permanently while new connections work.
// The request that detects it calls Replace: from then on no request takes an idle
// connection of the old pool, which may be dead for the same reason.
type Pools struct {
	opts   PoolOptions
	shards [poolShards]poolShard
}

type poolShard struct {
	mu     sync.Mutex
	byAddr map[string]*httpbounds.Transport
}

// NewPools returns an empty set of pools.
func NewPools(opts PoolOptions) *Pools {
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = DefaultIdleTimeout
	}
	p := &Pools{opts: opts}
	for i := range p.shards {
		p.shards[i].byAddr = make(map[string]*httpbounds.Transport)
	}
	return p
}

// Get returns the pool of addr.
func (p *Pools) Get(addr string) *httpbounds.Transport {
	s := p.shard(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byAddr[addr]
	if t == nil {
		t = p.newTransport()
		s.byAddr[addr] = t
	}
	return t
}

// Replace installs a new pool for addr if the current one is still old. Requests in
// flight continue on their old connections; each detects by itself whether its
// connection is dead.
func (p *Pools) Replace(addr string, old *httpbounds.Transport) {
	s := p.shard(addr)
	s.mu.Lock()
	current := s.byAddr[addr]
	if current == old {
		s.byAddr[addr] = p.newTransport()
	}
	s.mu.Unlock()
	if old != nil {
		old.CloseIdleConnections()
	}
}

// Close closes the idle connections of all pools.
func (p *Pools) Close() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, t := range s.byAddr {
			t.CloseIdleConnections()
		}
		s.mu.Unlock()
	}
}

// Unpooled returns a transport that opens a new connection for every request. It is
// for probes and for calls that must not run into a dead connection.
func (p *Pools) Unpooled() *httpbounds.Transport {
	t := p.newTransport()
	t.DisableKeepAlives = true
	return t
}

func (p *Pools) shard(addr string) *poolShard {
	return &p.shards[xxhash.Sum64String(addr)%poolShards]
}

func (p *Pools) newTransport() *httpbounds.Transport {
	dialer := net.Dialer{Timeout: p.opts.DialTimeout}
	return httpbounds.New(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     p.opts.IdleTimeout,
		DisableCompression:  true,
	})
}
