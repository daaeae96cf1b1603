package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to a target. During a cut it delivers nothing: connections that are open then, or are
// opened during it, stay silent for good.
type proxy struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut chan struct{} // closed when a cut begins
	on  bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, cut: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		cut, on := p.cut, p.on
		p.mu.Unlock()
		if on {
			go swallow(conn)
			continue
		}
		go p.serve(conn, cut)
	}
}

// setCut begins or ends a cut.
func (p *proxy) setCut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.on = on
	if on {
		close(p.cut)
		return
	}
	p.cut = make(chan struct{})
}

// swallow reads until the other side closes the connection.
func swallow(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

func (p *proxy) serve(conn net.Conn, cut chan struct{}) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go func() {
		copyUntil(conn, target, cut)
		select {
		case <-cut:
		default:
			_ = conn.Close()
		}
	}()
	copyUntil(target, conn, cut)
	_ = target.Close()
	select {
	case <-cut:
		swallow(conn)
	default:
		_ = conn.Close()
	}
}

// copyUntil copies until the end of the source; what it reads after the cut is dropped.
func copyUntil(to io.Writer, from io.Reader, cut chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-cut:
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
