// Package wiretest is a small in-memory datagram network for tests: packets are
// delayed, lost and cut as the test says. It works on the fake clock of
// testing/synctest.
package wiretest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/wire"
)

// Delay is the time a packet travels, one way.
const Delay = time.Millisecond

// Network connects the conns attached to it.
type Network struct {
	mu     sync.Mutex
	rng    *rand.Rand
	conns  map[string]*conn
	loss   float64
	blocks func(from, to string) bool
	tap    func(from, to string, packet []byte)
}

// New returns a network without loss whose choices follow the seed.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 1)), conns: make(map[string]*conn)}
}

// SetLoss makes each packet be lost with probability p.
func (n *Network) SetLoss(p float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = p
}

// Block cuts the paths for which f is true; nil heals all.
func (n *Network) Block(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocks = f
}

// Tap shows every packet that is sent, also those that will be lost.
func (n *Network) Tap(f func(from, to string, packet []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = f
}

// Attach returns the conn of one address; a second one replaces the first, as
// when a process starts anew.
func (n *Network) Attach(addr string) wire.PacketConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &conn{net: n, addr: addr}
	c.thawed = sync.NewCond(&n.mu)
	n.conns[addr] = c
	return c
}

// Inject delivers a packet at once, without loss or cut.
func (n *Network) Inject(from, to string, packet []byte) {
	n.deliver(from, to, append([]byte(nil), packet...))
}

// Freeze stops the process behind addr as SIGSTOP does: its sends block and
// what it is sent waits in its socket. Thaw lets it go on.
func (n *Network) Freeze(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr].frozen = true
}

// Thaw ends Freeze and delivers what was waiting.
func (n *Network) Thaw(addr string) {
	n.mu.Lock()
	c := n.conns[addr]
	c.frozen = false
	waiting := c.waiting
	c.waiting = nil
	c.thawed.Broadcast()
	n.mu.Unlock()
	for _, p := range waiting {
		n.deliver(p.from, addr, p.packet)
	}
}

// socketBuffer is how many packets wait for a frozen process; more are lost.
const socketBuffer = 256

type waitingPacket struct {
	from   string
	packet []byte
}

type conn struct {
	net     *Network
	addr    string
	take    func(packet []byte, from string)
	closed  bool
	frozen  bool
	waiting []waitingPacket
	thawed  *sync.Cond
}

func (c *conn) WriteTo(packet []byte, addr string) error {
	n := c.net
	n.mu.Lock()
	for c.frozen {
		c.thawed.Wait()
	}
	lost := c.closed || n.rng.Float64() < n.loss
	if n.blocks != nil && n.blocks(c.addr, addr) {
		lost = true
	}
	tap := n.tap
	n.mu.Unlock()
	own := append([]byte(nil), packet...)
	if tap != nil {
		tap(c.addr, addr, own)
	}
	if !lost {
		time.AfterFunc(Delay, func() { n.deliver(c.addr, addr, own) })
	}
	return nil
}

func (n *Network) deliver(from, to string, packet []byte) {
	n.mu.Lock()
	c := n.conns[to]
	if c == nil || c.closed || c.take == nil {
		n.mu.Unlock()
		return
	}
	if c.frozen {
		if len(c.waiting) < socketBuffer {
			c.waiting = append(c.waiting, waitingPacket{from, packet})
		}
		n.mu.Unlock()
		return
	}
	take := c.take
	n.mu.Unlock()
	take(packet, from)
}

func (c *conn) Receive(take func(packet []byte, from string)) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.take = take
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
