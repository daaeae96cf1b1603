// Package wiretest provides a simulated in-memory datagram network for tests, with
// configurable packet loss and partitions, and TLS certificates. The network works with
// the fake clock of testing/synctest.
package wiretest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/wire"
)

// Delay is the one-way latency of the network.
const Delay = time.Millisecond

// Network delivers packets between the connections attached to it.
type Network struct {
	mu      sync.Mutex
	rng     *rand.Rand
	conns   map[string]*conn
	loss    float64
	blocked func(from, to string) bool
	tap     func(from, to string, packet []byte)
}

// New returns a network without packet loss whose random choices are seeded with seed.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 1)), conns: make(map[string]*conn)}
}

// SetLoss sets the probability that a packet is lost.
func (n *Network) SetLoss(p float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = p
}

// Block drops all packets for which f returns true; nil ends it.
func (n *Network) Block(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = f
}

// Tap sets a function that is called with every packet sent, including lost ones.
func (n *Network) Tap(f func(from, to string, packet []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = f
}

// Attach returns a connection with the given address. It replaces an existing connection
// with this address, as when a process restarts.
func (n *Network) Attach(addr string) wire.PacketConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &conn{net: n, addr: addr}
	c.thawed = sync.NewCond(&n.mu)
	n.conns[addr] = c
	return c
}

// Inject delivers a packet immediately, regardless of SetLoss and Block.
func (n *Network) Inject(from, to string, packet []byte) {
	n.deliver(from, to, append([]byte(nil), packet...))
}

// Freeze suspends the process at addr as SIGSTOP does: its sends block, and packets sent
// to it are queued in its socket buffer. Thaw resumes it.
func (n *Network) Freeze(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr].frozen = true
}

// Thaw resumes a frozen process and delivers the queued packets.
func (n *Network) Thaw(addr string) {
	n.mu.Lock()
	c := n.conns[addr]
	c.frozen = false
	queued := c.queued
	c.queued = nil
	c.thawed.Broadcast()
	n.mu.Unlock()
	for _, p := range queued {
		n.deliver(p.from, addr, p.packet)
	}
}

// socketBuffer is the number of packets queued for a frozen process; further ones are
// lost.
const socketBuffer = 256

type queuedPacket struct {
	from   string
	packet []byte
}

type conn struct {
	net     *Network
	addr    string
	handler func(packet []byte, from string)
	closed  bool
	frozen  bool
	queued  []queuedPacket
	thawed  *sync.Cond
}

func (c *conn) WriteTo(packet []byte, addr string) error {
	n := c.net
	n.mu.Lock()
	for c.frozen {
		c.thawed.Wait()
	}
	lost := c.closed || n.rng.Float64() < n.loss
	if n.blocked != nil && n.blocked(c.addr, addr) {
		lost = true
	}
	tap := n.tap
	n.mu.Unlock()
	copied := append([]byte(nil), packet...)
	if tap != nil {
		tap(c.addr, addr, copied)
	}
	if !lost {
		time.AfterFunc(Delay, func() { n.deliver(c.addr, addr, copied) })
	}
	return nil
}

func (n *Network) deliver(from, to string, packet []byte) {
	n.mu.Lock()
	c := n.conns[to]
	if c == nil || c.closed || c.handler == nil {
		n.mu.Unlock()
		return
	}
	if c.frozen {
		if len(c.queued) < socketBuffer {
			c.queued = append(c.queued, queuedPacket{from, packet})
		}
		n.mu.Unlock()
		return
	}
	handler := c.handler
	n.mu.Unlock()
	handler(packet, from)
}

func (c *conn) Receive(handler func(packet []byte, from string)) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.handler = handler
}

func (c *conn) Addr() string { return c.addr }

func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.closed = true
	c.frozen = false
	c.thawed.Broadcast()
	return nil
}
