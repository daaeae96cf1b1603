package e2e

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// direction says which way a link holds bytes back.
type direction int

const (
	nothing direction = iota
	toService
	toCaller
)

// link passes bytes between nodes and a backend server. It can hold back what
// goes one way on all connections, and shows when it does; and it can lose track
// of the connections that are open.
type link struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	held   direction
	free   chan struct{} // closed while nothing is held
	caught chan struct{} // gets one for each piece held back
	conns  []net.Conn
	silent *atomic.Bool // of the connections opened since the last mute
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{ln: ln, target: target, free: make(chan struct{}), caught: make(chan struct{}, 1024), silent: &atomic.Bool{}}
	close(l.free)
	var wg sync.WaitGroup
	wg.Go(func() { l.accept(&wg) })
	t.Cleanup(func() {
		ln.Close()
		l.cut()
		l.hold(nothing)
		wg.Wait()
	})
	return l
}

func (l *link) addr() string { return l.ln.Addr().String() }

func (l *link) hold(d direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nothing {
		close(l.free)
	}
	if d != nothing {
		l.free = make(chan struct{})
	}
	l.held = d
}

// cut breaks all connections; what is held back on them is lost.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
	l.conns = nil
}

// mute makes all connections open now pass nothing any more, while they stay open
// and new ones work.
func (l *link) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent.Store(true)
	l.silent = &atomic.Bool{}
}

// awaitHeld waits until a piece is held back.
func (l *link) awaitHeld(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return len(l.caught) > 0 }, waitTimeout, pollEvery)
	<-l.caught
}

func (l *link) accept(wg *sync.WaitGroup) {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			in.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, in, out)
		silent := l.silent
		l.mu.Unlock()
		wg.Go(func() { l.pump(out, in, toService, silent) })
		wg.Go(func() { l.pump(in, out, toCaller, silent) })
	}
}

func (l *link) pump(to, from net.Conn, way direction, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			if err != nil {
				return // the other end never learns of it
			}
			continue
		}
		if err != nil {
			to.Close()
			return
		}
		l.mu.Lock()
		held, free := l.held == way, l.free
		l.mu.Unlock()
		if held {
			l.caught <- struct{}{}
			<-free
		}
		if _, err := to.Write(buf[:n]); err != nil {
			from.Close()
			return
		}
	}
}
