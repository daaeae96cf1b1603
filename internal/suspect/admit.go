package suspect

import (
	"context"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// Admit returns a Quarantined error for a quarantined fingerprint. For a suspect it
// waits until no other run retries it, claims the retry and returns alone set: the
// caller must then run the request on a replica without other suspects. A suspect that
// is quarantined while it waits is refused immediately.
func (t *Tracker) Admit(ctx context.Context, fp Fingerprint) (alone bool, err error) {
	k := fp.key()
	for {
		d, changed := t.decide(k)
		switch d.action {
		case allow:
			return false, nil
		case refuse:
			metricRefused.Inc()
			t.log.Info("quarantined request refused", "fingerprint", k, "until", d.until)
			return false, t.quarantineError(k, d.until)
		case claim:
			t.triggerHeartbeat()
			if t.confirmClaim(ctx, k) {
				metricRetried.Inc()
				t.log.Info("suspect retried alone", "fingerprint", k)
				return true, nil
			}
		case wait:
			t.waitUntil(ctx, changed, d.until)
		}
		if ctx.Err() != nil {
			t.releaseClaim(k)
			return false, waitError(ctx)
		}
	}
}

// Quarantined reports whether fp is currently refused. Unlike Admit, it does not change
// the record.
func (t *Tracker) Quarantined(fp Fingerprint) bool {
	k := fp.key()
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	return r != nil && r.phase == quarantined && t.now().Before(r.until)
}

// decide determines, under the lock, what a request with this fingerprint may do. It
// also enters a claim and extends a quarantine. The channel is set for a wait and
// closes when the record changes.
func (t *Tracker) decide(k key) (decision, <-chan struct{}) {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	if r == nil {
		return decision{action: allow}, nil
	}
	now := t.now()
	if r.expired(t.node, now, t.timing) {
		delete(s.records, k)
		return decision{action: allow}, nil
	}
	d := r.admit(t.node, now, t.timing)
	switch d.action {
	case refuse:
		r.extend(now, t.timing)
		d.until = r.until
	case claim:
		r.retry = retry{node: t.node, reportedAt: now}
		r.sends = sendStats{}
		r.notify()
	case wait:
		return d, r.wait()
	}
	return d, nil
}

// confirmClaim waits for ClaimDelay, in which a competing claim of another node may
// arrive, and reports whether this node still holds the claim.
func (t *Tracker) confirmClaim(ctx context.Context, k key) bool {
	if t.peers() == 0 {
		return true
	}
	end := t.now().Add(t.timing.ClaimDelay)
	for {
		changed, held := t.claimState(k)
		if !held {
			return false
		}
		if !t.now().Before(end) {
			return true
		}
		t.waitUntil(ctx, changed, end)
		if ctx.Err() != nil {
			return false
		}
	}
}

func (t *Tracker) claimState(k key) (changed <-chan struct{}, held bool) {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	if r == nil || r.phase != suspected || r.retry.node != t.node {
		return nil, false
	}
	return r.wait(), true
}

func (t *Tracker) releaseClaim(k key) {
	t.update(k, func(r *record) {
		if r.retry.node == t.node && !r.retry.started {
			r.retry = retry{}
		}
	})
}

func (t *Tracker) waitUntil(ctx context.Context, changed <-chan struct{}, until time.Time) {
	timer := time.NewTimer(until.Sub(t.now()))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func waitError(ctx context.Context) error {
	code := fennelerr.Canceled
	if ctx.Err() == context.DeadlineExceeded {
		code = fennelerr.Timeout
	}
	return fennelerr.Wrap(ctx.Err(), code, "waiting for another run of the same request, which was in flight when a replica crashed").
		WithOp("suspect.admit").WithRun(fennelerr.NotRun)
}

func (t *Tracker) quarantineError(k key, until time.Time) error {
	left := until.Sub(t.now()).Round(time.Second)
	return fennelerr.New(fennelerr.Quarantined,
		"replicas crashed while this request ran, the last one while it was the only suspect there; "+
			"it is refused for %s more, or longer if it is sent again (fingerprint %s)", left, k).
		WithOp("suspect.admit").WithRun(fennelerr.NotRun).WithRetryAfter(left)
}
