package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/conns"
)

const (
	// crashCheckTimeout limits the connection attempt that shows whether a process has ended. A
	// refusal takes one round trip.
	crashCheckTimeout = 200 * time.Millisecond
	// successorCheckTimeout limits the question which process listens at an address.
	successorCheckTimeout = 500 * time.Millisecond
	// pathSettleTime is how long a path to several servers may take to break or to come back. A crash
	// counts only if what shows it still holds after that time.
	pathSettleTime = 50 * time.Millisecond
	// crashCheckTTL is how long the result of a check holds for the other requests that broke
	// off with the same process.
	crashCheckTTL = time.Second
)

// crashDetector tells the crash of a process from other ends of its connections. All requests
// that a crash breaks off share one check.
type crashDetector struct {
	opts   Options
	mu     sync.Mutex
	checks map[conns.Peer]*crashCheck
}

type crashCheck struct {
	at   time.Time
	done chan struct{}
	// refused is set if the address refused a connection, crashed if it went on refusing, or the process
	// has started again, while other servers were reachable.
	refused, crashed bool
	// succeeded is set if another process has taken the address.
	succeeded bool
}

func newCrashDetector(opts Options) *crashDetector {
	return &crashDetector{opts: opts, checks: make(map[conns.Peer]*crashCheck)}
}

// lossCause is why an attempt lost its connection, as logged.
type lossCause string

const (
	lossNone lossCause = ""
	// lossCrash: the process has crashed. It is the only one that makes suspects.
	lossCrash lossCause = "crash"
	// lossPlanned: the process has ended as it had announced.
	lossPlanned lossCause = "planned-end"
	// lossConnection: the process goes on, or nothing is known of it.
	lossConnection lossCause = "connection"
	// lossPath: this node reaches no other server either, or the path changed meanwhile.
	lossPath lossCause = "path"
	// lossCaller: the caller left before the process was checked.
	lossCaller lossCause = "caller-left"
)

// Departure is what this node knows of the end of a process.
type Departure struct {
	// NoticeAt is when this node learned that the process leaves or is not listed any more; zero
	// if neither is the case.
	NoticeAt time.Time
	// Replaced is true if another start of the same server has taken its place.
	Replaced bool
}

// minNotice is the shortest time between the notice of a planned end and the end, as this node sees
// both. Servers go on for two seconds or more after their notice. An earlier end is a crash that
// the notice only coincides with, as when a request crashes a server that is about to leave.
const minNotice = 1500 * time.Millisecond

// planned reports whether an end of the process now is the one that was announced.
func (d Departure) planned(now time.Time) bool {
	return !d.NoticeAt.IsZero() && now.Sub(d.NoticeAt) >= minNotice
}

// lossCause returns why an attempt lost its connection. The process crashed if its end was not
// planned and nothing listens at its address any more, or its successor does. Silence is no
// evidence: a network partition or a power failure of the VM causes it too. Nor is a refusal on a
// node that reaches no other server either, or whose path changes.
func (d *crashDetector) lossCause(ctx context.Context, p conns.Peer, err error) lossCause {
	broken, ok := errors.Into[*BrokenError](err)
	if !ok || !broken.ConnectionLost {
		return lossNone
	}
	departure := d.opts.Departure(p)
	switch {
	case ctx.Err() != nil:
		return lossCaller
	case departure.planned(time.Now()):
		return lossPlanned
	case departure.Replaced:
		return lossCrash
	}
	c := d.check(ctx, p, false)
	switch {
	case c == nil:
		return lossCaller
	case c.crashed:
		return lossCrash
	case c.refused:
		return lossPath
	}
	return lossConnection
}

// endedWith reports whether the process had ended when it ended an answer. It holds for a planned
// end too. An address that accepts connections proves nothing: this node may have read the end late,
// after a standstill or a cut of the path, when a successor listens there.
func (d *crashDetector) endedWith(ctx context.Context, p conns.Peer) bool {
	if d.opts.Departure(p).Replaced {
		return true
	}
	c := d.check(ctx, p, true)
	return c != nil && (c.refused || c.succeeded)
}

// check returns the result of a check of the process, or nil if ctx ends before. With fresh set, an
// earlier result counts only if it shows that the process had ended.
func (d *crashDetector) check(ctx context.Context, p conns.Peer, fresh bool) *crashCheck {
	c, first := d.begin(p, time.Now(), fresh)
	if first {
		checkCtx := context.WithoutCancel(ctx) // other requests share the check
		c.refused = d.refuses(checkCtx, p)
		c.crashed = c.refused && d.crashConfirmed(checkCtx, p)
		c.succeeded = fresh && !c.refused && d.hasSuccessor(checkCtx, p)
		close(c.done)
	}
	select {
	case <-c.done:
		return c
	case <-ctx.Done():
		return nil
	}
}

func (d *crashDetector) refuses(ctx context.Context, p conns.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return d.opts.Backend.Refuses(ctx, p)
}

func (d *crashDetector) hasSuccessor(ctx context.Context, p conns.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, successorCheckTimeout)
	defer cancel()
	return d.opts.Backend.HasSuccessor(ctx, p)
}

// crashConfirmed reports whether a process whose address has refused a connection has crashed. A path
// breaks to one server after the other, and comes back so: a refusal and a probe of other servers at
// one moment don't tell that from a crash.
func (d *crashDetector) crashConfirmed(ctx context.Context, p conns.Peer) bool {
	if d.opts.Reach == nil {
		return true
	}
	if !d.opts.Reach.Probe(ctx) || !clock.Pause(ctx, pathSettleTime) {
		return false
	}
	ended := d.opts.Departure(p).Replaced || d.refuses(ctx, p)
	return ended && d.opts.Reach.Probe(ctx)
}

// begin returns the check of the process that is under way or recent, or a new one.
func (d *crashDetector) begin(p conns.Peer, now time.Time, fresh bool) (c *crashCheck, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for peer, old := range d.checks {
		if now.Sub(old.at) > crashCheckTTL {
			delete(d.checks, peer)
		}
	}
	if c = d.checks[p]; c != nil && (!fresh || c.showsEnd()) {
		return c, false
	}
	c = &crashCheck{at: now, done: make(chan struct{})}
	d.checks[p] = c
	return c, true
}

// showsEnd reports whether the check is complete and found that the process had ended.
func (c *crashCheck) showsEnd() bool {
	select {
	case <-c.done:
		return c.refused || c.succeeded
	default:
		return false
	}
}
