package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/conns"
)

const (
	// crashCheckTimeout limits the connection attempt that shows whether a process has ended. A
	// refusal takes one round trip.
	crashCheckTimeout = 200 * time.Millisecond
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
	// refused is set if the address refused a connection, crashed if other servers were reachable
	// then.
	refused, crashed bool
}

func newCrashDetector(opts Options) *crashDetector {
	return &crashDetector{opts: opts, checks: make(map[conns.Peer]*crashCheck)}
}

// crashed reports whether an attempt failed because the process crashed: the connection ended,
// the process has not announced that it leaves, and nothing listens at its address any more.
// Silence is no evidence: a network partition or a power failure of the VM causes it too. Nor is
// a refusal on a node that reaches no other server either.
func (d *crashDetector) crashed(ctx context.Context, p conns.Peer, err error) bool {
	broken, ok := errors.Into[*BrokenError](err)
	if !ok || !broken.ConnectionLost || ctx.Err() != nil || d.opts.Leaving(p) {
		return false
	}
	c := d.check(ctx, p, false)
	return c != nil && c.crashed
}

// endedWith reports whether the process had ended when it ended an answer. It holds for a planned
// end too.
func (d *crashDetector) endedWith(ctx context.Context, p conns.Peer) bool {
	c := d.check(ctx, p, true)
	return c != nil && c.refused
}

// check returns the result of a check of the process, or nil if ctx ends before. With fresh set, an
// earlier result counts only if it shows that the process had ended.
func (d *crashDetector) check(ctx context.Context, p conns.Peer, fresh bool) *crashCheck {
	c, first := d.begin(p, time.Now(), fresh)
	if first {
		checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
		defer cancel()
		c.refused = d.opts.Backend.Refuses(checkCtx, p)
		c.crashed = c.refused && (d.opts.Reach == nil || d.opts.Reach.Probe(context.WithoutCancel(ctx)))
		close(c.done)
	}
	select {
	case <-c.done:
		return c
	case <-ctx.Done():
		return nil
	}
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
		return c.refused
	default:
		return false
	}
}
