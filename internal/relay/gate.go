package relay

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/conns"
)

// Gate decides whether an attempt's request is sent on a connection that has opened. A nil Gate is open.
type Gate struct {
	state atomic.Int32
	// mayPass reports whether the server takes requests.
	mayPass func() bool
}

// States of a Gate. The request is sent only after gatePassed, and never after gateClosed.
const (
	gateOpen int32 = iota
	gatePassed
	gateClosed
)

// Enter is called before anything of the request is sent on a connection that is open. It reports whether the request may be sent.
func (g *Gate) Enter() bool {
	if g == nil {
		return true
	}
	return g.state.CompareAndSwap(gateOpen, gatePassed) && g.check()
}

// Leave is called after Enter if the connection turned out to be closed before anything was sent. It
// reports whether another connection may be opened.
func (g *Gate) Leave() bool {
	if g == nil {
		return true
	}
	g.state.CompareAndSwap(gatePassed, gateOpen)
	return g.check()
}

// check closes the gate if the server takes no requests, and reports whether the gate is not closed.
func (g *Gate) check() bool {
	if !g.mayPass() {
		g.state.Store(gateClosed)
	}
	return !g.isClosed()
}

// close closes the gate and returns true, unless the request may have been sent.
func (g *Gate) close() bool { return g.state.CompareAndSwap(gateOpen, gateClosed) }

// finish is called once the attempt has been sent or has failed, after which it can't be withdrawn. It reports
// whether the gate was closed before.
func (g *Gate) finish() (closed bool) {
	g.state.CompareAndSwap(gateOpen, gatePassed)
	return g.isClosed()
}

func (g *Gate) isClosed() bool { return g.state.Load() == gateClosed }

// errWithdrawn is the cause of attempts that were withdrawn before anything was sent.
var errWithdrawn = errors.New("the server wants no requests")

// maxWithdrawals is the number of times that a call may be chosen for a server again from which it was
// withdrawn. It bounds the attempts of a call at servers that ask for very short times.
const maxWithdrawals = 8

var withdrawnTotal = metrics.NewCounter("fennel_relay_withdrawn_attempts_total")

// newGate returns the gate of an attempt on a replica. It is closed during a pushback of the replica's server.
func (s *session) newGate(to destination) *Gate {
	if to.node != nil {
		return nil
	}
	return &Gate{mayPass: func() bool { return s.r.opts.Router.PushbackLeft(to.choice, time.Now()) == 0 }}
}

// withdrawWaiting withdraws the attempts that wait for a connection to a server which now wants no requests,
// and returns their number. The router knows the pushback already: attempts that begin later, and those whose connection opens
// meanwhile, are withdrawn by their gates.
func (r *Relay) withdrawWaiting(peer conns.Peer) (withdrawn int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempts := range r.running {
		for a := range attempts {
			if a.to.peer == peer && a.gate.close() {
				a.cancel(errWithdrawn)
				withdrawn++
			}
		}
	}
	return withdrawn
}

// withdrawn returns the error of an attempt of which nothing was sent because its server wants no requests.
func (a *attempt) withdrawn() *NotRunError {
	a.cancel(errWithdrawn)
	withdrawnTotal.Inc()
	return &NotRunError{Reason: "withdrawn", Err: errWithdrawn}
}

// mayReturn reports whether the call may go to the attempt's server again although the attempt failed: it
// was withdrawn, and the router sends nothing there during the pushback. The caller holds s.mu.
func (s *session) mayReturn(err error) bool {
	if !errors.Is(err, errWithdrawn) {
		return false
	}
	s.withdrawals++
	return s.withdrawals <= maxWithdrawals
}
