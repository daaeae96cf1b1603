package e2e

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// direction is the direction in which a link holds bytes back.
type direction int

const (
	holdNothing direction = iota
	toService
	toCaller
)

// link forwards bytes between nodes and a backend server. It can hold back the bytes of
// one direction on all connections and report that it does, and it can stop forwarding
// on the connections that are open.
type link struct {
	ln     net.Listener
	target string

	mu         sync.Mutex
	held       direction
	released   chan struct{} // closed while nothing is held back
	heldPieces chan struct{} // receives one value for each piece held back
	conns      []net.Conn
	silent     *atomic.Bool // belongs to the connections opened since the last mute
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{ln: ln, target: target, released: make(chan struct{}), heldPieces: make(chan struct{}, 1024), silent: &atomic.Bool{}}
	close(l.released)
	var wg sync.WaitGroup
	wg.Go(func() { l.accept(&wg) })
	t.Cleanup(func() {
		ln.Close()
		l.cut()
		l.hold(holdNothing)
		wg.Wait()
	})
	return l
}

func (l *link) addr() string { return l.ln.Addr().String() }

func (l *link) hold(d direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != holdNothing {
		close(l.released)
	}
	if d != holdNothing {
		l.released = make(chan struct{})
	}
	l.held = d
}

// cut closes all connections; bytes held back on them are lost.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
	l.conns = nil
}

// mute makes all connections that are open now pass nothing any more. They stay open, and
// new ones work.
func (l *link) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent.Store(true)
	l.silent = &atomic.Bool{}
}

// awaitHeld waits until a piece is held back.
func (l *link) awaitHeld(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return len(l.heldPieces) > 0 }, waitTimeout, pollEvery)
	<-l.heldPieces
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
		wg.Go(func() { l.copyBytes(out, in, toService, silent) })
		wg.Go(func() { l.copyBytes(in, out, toCaller, silent) })
	}
}

func (l *link) copyBytes(to, from net.Conn, way direction, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			if err != nil {
				return // the close is not passed on
			}
			continue
		}
		if err != nil {
			to.Close()
			return
		}
		l.mu.Lock()
		held, released := l.held == way, l.released
		l.mu.Unlock()
		if held {
			l.heldPieces <- struct{}{}
			<-released
		}
		if _, err := to.Write(buf[:n]); err != nil {
			from.Close()
			return
		}
	}
}
