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
	at      time.Time
	done    chan struct{}
	crashed bool
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
	c, first := d.begin(p, time.Now())
	if first {
		checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
		defer cancel()
		c.crashed = d.opts.Backend.Refuses(checkCtx, p) && (d.opts.Reach == nil || d.opts.Reach.Probe(context.WithoutCancel(ctx)))
		close(c.done)
	}
	select {
	case <-c.done:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}

// begin returns the check of the process that is under way or recent, or a new one.
func (d *crashDetector) begin(p conns.Peer, now time.Time) (c *crashCheck, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for peer, old := range d.checks {
		if now.Sub(old.at) > crashCheckTTL {
			delete(d.checks, peer)
		}
	}
	if c = d.checks[p]; c != nil {
		return c, false
	}
	c = &crashCheck{at: now, done: make(chan struct{})}
	d.checks[p] = c
	return c, true
}
