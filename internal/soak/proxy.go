package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// ProxyMode determines how a proxy handles the bytes it relays.
type ProxyMode int

// Modes of a proxy. Delay relays all bytes late. DropResponses discards the bytes that
// the target sends, so that connections stay open and deliver nothing. Silence discards
// both directions, and a connection that lost bytes stays silent afterwards. Disconnect
// resets open connections and closes new ones.
const (
	Forward ProxyMode = iota
	Delay
	DropResponses
	Silence
	Disconnect
)

// forwardDelay is the delay that Delay adds to each read.
const forwardDelay = 30 * time.Millisecond

// Proxy relays TCP connections to one address and injects network faults on demand.
type Proxy struct {
	target, addr string

	mu       sync.Mutex
	listener *standin.Listener // nil while the path is cut
	mode     ProxyMode
	conns    map[net.Conn]struct{}
	wg       sync.WaitGroup
}

// NewProxy starts a proxy to the target on an unused loopback address.
func NewProxy(target string) (*Proxy, error) {
	listener, err := standin.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, addr: listener.Addr().String(), conns: make(map[net.Conn]struct{})}
	p.listen(listener)
	return p, nil
}

// Addr returns the address on which the proxy accepts connections.
func (p *Proxy) Addr() string { return p.addr }

func (p *Proxy) listen(listener *standin.Listener) {
	p.listener = listener
	p.wg.Go(func() { p.accept(listener) })
}

// Cut has new connections refused until Restore. Open ones are reset or, if oneWay is set, deliver
// only what the client sends.
func (p *Proxy) Cut(oneWay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mode = DropResponses
	if !oneWay {
		p.resetLocked()
	}
}

// Restore reverts Cut. It fails if another process has taken the address.
func (p *Proxy) Restore() error {
	listener, err := standin.Listen(p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = Forward
	p.listen(listener)
	return nil
}

// Pause has the proxy accept no connection for some time, as a server with a full queue does.
func (p *Proxy) Pause(length time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return nil
	}
	return p.listener.Pause(length)
}

// SetMode changes the mode. Disconnect resets open connections at once.
func (p *Proxy) SetMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Disconnect {
		p.resetLocked()
	}
}

// Reset resets the open connections. The proxy still accepts new ones.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked()
}

func (p *Proxy) resetLocked() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close sends a reset in place of FIN
		}
		_ = conn.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.Cut(false)
	p.wg.Wait()
}

func (p *Proxy) currentMode() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept(listener *standin.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == Disconnect {
			_ = client.Close()
			continue
		}
		p.wg.Go(func() { p.relay(client) })
	}
}

func (p *Proxy) relay(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.add(client, server)
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, client, false) })
	directions.Go(func() { p.copy(client, server, true) })
	directions.Wait()
	p.remove(client, server)
}

func (p *Proxy) add(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Proxy) remove(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// copy relays one direction of a connection. isResponse is true for the direction
// from the target.
func (p *Proxy) copy(to, from net.Conn, isResponse bool) {
	buf := make([]byte, 16<<10)
	silent := false
	for {
		n, err := from.Read(buf)
		mode := p.currentMode()
		silent = silent || mode == Silence && n > 0
		if mode == Delay {
			time.Sleep(forwardDelay)
		}
		if n > 0 && !silent && (mode != DropResponses || !isResponse) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // passes the FIN on
			}
			return
		}
		if err != nil {
			p.resetConn(to)
			return
		}
	}
}

// resetConn resets a connection whose counterpart was reset.
func (p *Proxy) resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
