// Package early is a stand-in of a backend server that answers a request before it has read its body.
package early

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// End is how the server ends its connection after an answer.
type End string

// Ends of a connection. Both Reset and CloseUnread are a reset on the wire; HalfClose reads the rest of the
// request after the end of the answer.
const (
	Reset       End = "reset"
	CloseUnread End = "close with unread bytes"
	HalfClose   End = "half-close"
)

// Answer describes what the server does with a request.
type Answer struct {
	// BodyBytes is how much of the request's body the server reads before it answers.
	BodyBytes int64
	// Text is the answer as it is sent, with its head.
	Text string
	// Pause is the time between the answer and the end of the connection.
	Pause time.Duration
	End   End
}

// Serve answers one request on each connection until the listener is closed.
func Serve(listener *net.TCPListener, answer func(*http.Request) Answer) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go serve(conn, answer)
	}
}

func serve(conn *net.TCPConn, answer func(*http.Request) Answer) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	a := answer(r)
	_, _ = io.CopyN(io.Discard, r.Body, a.BodyBytes) // the client may be gone
	_, _ = io.WriteString(conn, a.Text)              // likewise
	time.Sleep(a.Pause)
	switch a.End {
	case Reset:
		_ = conn.SetLinger(0) // fails only on a closed connection
	case CloseUnread:
		awaitBytes(conn)
	case HalfClose:
		_ = conn.CloseWrite() // likewise
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// awaitBytes waits until bytes of the client are unread, or the connection has ended.
func awaitBytes(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN && err != unix.EINTR
	})
}
