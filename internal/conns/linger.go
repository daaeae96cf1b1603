package conns

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/sockets"
)

const (
	// lingerTimeout is how long a server may at least go on reading a body after its answer.
	lingerTimeout = 10 * time.Second
	// flushPause is the time in which the transport sends the end of a body that it has read.
	flushPause       = 200 * time.Millisecond
	lingerCheckPause = 20 * time.Millisecond
)

// upload is the state of the request that a connection sends.
type upload struct {
	// answered is true once the head of the response was received, and aborted if the connection
	// is not to be used any longer.
	answered, aborted atomic.Bool
	// writes counts the writes in progress.
	writes atomic.Int32

	mu sync.Mutex
	// unfinished is true until the transport has written the whole body, or has failed to; after
	// is called then.
	unfinished bool
	after      func()
	// until is when the server must have read the body.
	until time.Time
}

// begin prepares for a request.
func (u *upload) begin(ctx context.Context, body io.ReadCloser) {
	u.answered.Store(false)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unfinished = body != nil && body != http.NoBody
	u.until = time.Now().Add(lingerTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(u.until) {
		u.until = deadline
	}
}

func (u *upload) finish() {
	u.mu.Lock()
	u.unfinished = false
	after := u.after
	u.after = nil
	u.mu.Unlock()
	if after != nil {
		after()
	}
}

func (u *upload) isUnfinished() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unfinished
}

// isPending reports whether a server that has answered is still to get the rest of the body.
func (u *upload) isPending() bool {
	return u.answered.Load() && !u.aborted.Load() && u.isUnfinished()
}

// AfterUpload calls f once the connection no longer uses the body of its request: at once if it
// has been sent.
func (c *Conn) AfterUpload(f func()) {
	u := &c.upload
	u.mu.Lock()
	if u.unfinished {
		u.after = f
		f = nil
	}
	u.mu.Unlock()
	if f != nil {
		f()
	}
}

// lingeringConn stays open while a server that has answered reads the rest of the request's
// body. The transport closes the connection of such a server, and goes on writing the body
// until a write fails.
type lingeringConn struct {
	*socket
	upload *upload
	once   sync.Once
}

// Write implements net.Conn.
func (l *lingeringConn) Write(p []byte) (int, error) {
	l.upload.writes.Add(1)
	defer l.upload.writes.Add(-1)
	return l.socket.Write(p)
}

// Close implements net.Conn.
func (l *lingeringConn) Close() error {
	if !l.upload.isPending() {
		return l.closeNow()
	}
	l.once.Do(func() { go l.linger() })
	return nil
}

// closeNow closes the connection. A request that was given up unanswered must not reach the server later, when
// a path that is down now is back.
func (l *lingeringConn) closeNow() error {
	if !l.upload.answered.Load() {
		_ = sockets.DiscardUnacknowledged(l.socket) // fails on a connection that is closed or has no socket
	}
	return l.socket.Close()
}

// linger closes the connection once the body has been written, or its time is over.
func (l *lingeringConn) linger() {
	defer func() { _ = l.socket.Close() }()
	finished := time.Now()
	l.upload.mu.Lock()
	until := l.upload.until
	l.upload.mu.Unlock()
	for time.Now().Before(until) && !l.upload.aborted.Load() {
		if l.upload.isUnfinished() || l.upload.writes.Load() > 0 {
			finished = time.Now()
		} else if time.Since(finished) > flushPause {
			return
		}
		time.Sleep(lingerCheckPause)
	}
}

// abort closes the connection at once.
func (l *lingeringConn) abort() {
	l.upload.aborted.Store(true)
	_ = l.closeNow()
}
