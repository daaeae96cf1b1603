package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is what a proxy does to the bytes that pass it.
type ProxyMode int

// Modes of a proxy. DropResponses swallows what the far side sends, so that connections
// look alive and bring nothing; Disconnect resets them and refuses new ones.
const (
	Forward ProxyMode = iota
	Delay
	DropResponses
	Disconnect
)

// slowBy is what Slow holds each portion of bytes back.
const slowBy = 30 * time.Millisecond

// Proxy passes TCP connections to one address, and misbehaves on demand.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  ProxyMode
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// NewProxy returns a proxy to the target on an address of its own.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr is where the proxy takes connections.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetMode changes the mode. Cut resets open connections at once.
func (p *Proxy) SetMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Disconnect {
		p.resetLocked()
	}
}

// Reset resets the open connections, and takes new ones as before.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked()
}

func (p *Proxy) resetLocked() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an orderly end
		}
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
	p.wg.Wait()
}

func (p *Proxy) now() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == Disconnect {
			_ = near.Close()
			continue
		}
		p.wg.Go(func() { p.pass(near) })
	}
}

func (p *Proxy) pass(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.add(near, far)
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, false) })
	both.Go(func() { p.copy(near, far, true) })
	both.Wait()
	p.remove(near, far)
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

// copy passes one direction on; back is that of answers.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		mode := p.now()
		if mode == Delay {
			time.Sleep(slowBy)
		}
		if n > 0 && (mode != DropResponses || !back) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // an orderly end stays one
			}
			return
		}
		if err != nil {
			p.breakOff(to)
			return
		}
	}
}

// breakOff resets a connection whose other half was reset.
func (p *Proxy) breakOff(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
