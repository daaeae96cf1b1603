package conns

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errWithheld is the error of a request that its gate has kept from being sent.
var errWithheld = errors.New("the request was withheld")

// opening is the connection that a Conn dials for its first request. http.Transport lets a dial go on after
// its request has ended, and keeps the connection for requests that never come.
type opening struct {
	request context.Context
	mu      sync.Mutex
	conn    net.Conn
	// abandoned is set once the request has ended without the connection.
	abandoned bool
}

// adopt records the open connection, or closes it and returns false if it is not needed any more.
func (o *opening) adopt(conn net.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.abandoned {
		_ = conn.Close() // nothing was sent
		return false
	}
	o.conn = conn
	return true
}

// abandon closes the connection, also if it opens later.
func (o *opening) abandon() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abandoned = true
	if o.conn != nil {
		_ = o.conn.Close() // nothing was sent
	}
}

// SetGate sets the function that is asked, once the connection is open and before anything of the next
// request is sent, whether the request may be sent. Nil allows it.
func (c *Conn) SetGate(mayEnter func() bool) { c.gate = mayEnter }

func (c *Conn) withheld() bool { return c.gate != nil && !c.gate() }
