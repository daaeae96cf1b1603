package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
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
	// unfinished is true until the whole body was read by the transport, answered once the head
	// of the response was received, and aborted if the connection is not to be used any longer.
	unfinished, answered, aborted atomic.Bool
	// writes counts the writes in progress.
	writes atomic.Int32
	// until is when the server must have read the body.
	until time.Time
}

// begin prepares for a request and returns its body.
func (u *upload) begin(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	u.answered.Store(false)
	if body == nil || body == http.NoBody {
		u.unfinished.Store(false)
		return body
	}
	u.until = time.Now().Add(lingerTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(u.until) {
		u.until = deadline
	}
	u.unfinished.Store(true)
	return &uploadBody{ReadCloser: body, upload: u}
}

// isPending reports whether a server that has answered is still to get the rest of the body.
func (u *upload) isPending() bool {
	return u.unfinished.Load() && u.answered.Load() && !u.aborted.Load()
}

// uploadBody marks the upload as finished once the transport closes the body.
type uploadBody struct {
	io.ReadCloser
	upload *upload
}

// Close implements io.Closer.
func (b *uploadBody) Close() error {
	b.upload.unfinished.Store(false)
	return b.ReadCloser.Close()
}

// lingeringConn stays open while a server that has answered reads the rest of the request's
// body. The transport closes the connection of such a server, and goes on writing the body
// until a write fails.
type lingeringConn struct {
	net.Conn
	upload *upload
	once   sync.Once
}

// Write implements net.Conn.
func (l *lingeringConn) Write(p []byte) (int, error) {
	l.upload.writes.Add(1)
	defer l.upload.writes.Add(-1)
	return l.Conn.Write(p)
}

// Close implements net.Conn.
func (l *lingeringConn) Close() error {
	if !l.upload.isPending() {
		return l.Conn.Close()
	}
	l.once.Do(func() { go l.linger() })
	return nil
}

// linger closes the connection once the body has been written, or its time is over.
func (l *lingeringConn) linger() {
	defer func() { _ = l.Conn.Close() }()
	finished := time.Now()
	for time.Now().Before(l.upload.until) && !l.upload.aborted.Load() {
		if l.upload.unfinished.Load() || l.upload.writes.Load() > 0 {
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
	_ = l.Conn.Close()
}
