package claims

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Defaults of Options and limits that callers rely on.
const (
	DefaultRetention          = 24 * time.Hour
	DefaultPendingLimit       = 5 * time.Minute
	DefaultMaxBatch           = 100
	DefaultLinger             = 2 * time.Millisecond
	DefaultSettlementLinger   = 20 * time.Millisecond
	DefaultTimeout            = 1500 * time.Millisecond
	DefaultMaxSettlementBytes = 32 << 20
	// DispatchWindow is the time after Manager.Claim within which a call may be
	// dispatched; see Claim.StillHeld.
	DispatchWindow = time.Minute
	// MaxClockSkew is the largest tolerated difference between the wall clocks of
	// callers, nodes and the store. Only the length of the retention depends on it.
	MaxClockSkew = time.Minute
	// MinRetention is large enough for DispatchWindow and MaxClockSkew.
	MinRetention = 10 * time.Minute

	// keyTimeMargin is how long before the end of the retention a UUID version 7 key
	// is rejected.
	keyTimeMargin = 2*MaxClockSkew + DispatchWindow
	// firstTimeoutDivisor divides Options.Timeout to give the first transaction's
	// timeout.
	firstTimeoutDivisor = 3
	// breakerCooldown is how long claims are rejected at once after a store failure.
	breakerCooldown = time.Second
	// recheckDelay is the wait before a claim whose write had an unknown outcome is
	// looked up once more.
	recheckDelay = 30 * time.Second
	// releaseTimeout bounds how long Release waits for the store.
	releaseTimeout = 250 * time.Millisecond
	// maxNotRun is the capacity of notRunClaims.
	maxNotRun = 100_000
	// maxClaimAttempts is the number of writes tried for one Manager.Claim.
	maxClaimAttempts = 4
)

// Options configures a Manager. Store, Node and Incarnation are required.
type Options struct {
	Store store.Store
	Node  cluster.NodeID
	// Incarnation differs for every start of the node's process.
	Incarnation uint64
	// Now is the clock; nil means time.Now. Its values must have a monotonic reading.
	Now func() time.Time
	// Retention is the minimum time that a key is kept after its claim.
	Retention time.Duration
	// PendingLimit must exceed the duration of any call. The outcome of a claim that is
	// pending for longer counts as unknown.
	PendingLimit time.Duration
	// RequireUUIDv7Keys rejects keys that are not UUIDs of version 7, which contain a
	// timestamp.
	RequireUUIDv7Keys bool
	// MaxBatch is the largest number of claims in one transaction, Linger the longest
	// wait to fill it.
	MaxBatch int
	Linger   time.Duration
	// SettlementLinger is the wait for more outcomes to record in the same transaction.
	SettlementLinger time.Duration
	// Timeout bounds the time that Manager.Claim tries to reach the store.
	Timeout time.Duration
	// MaxSettlementBytes bounds the memory of the outcomes that wait for the store.
	MaxSettlementBytes int
	Log                *slog.Logger
}

var settlementsDropped = metrics.NewCounter("fennel_claims_settlements_dropped_total")

func count(result string) {
	metrics.GetOrCreateCounter(`fennel_claims_calls_total{result="` + result + `"}`).Inc()
}

// Manager creates this node's claims and records their outcomes. It is safe for
// concurrent use.
type Manager struct {
	opts        Options
	process     processID
	seq         atomic.Uint64
	leases      *leases
	claimWrites *batcher
	settlements *settlementQueue
	active      activeCalls
	notRun      *notRunClaims
	breaker     *circuitBreaker

	stopped context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
}

// New starts a manager; Close stops it.
func New(opts Options) *Manager {
	setDefaults(&opts)
	stopped, stop := context.WithCancel(context.Background())
	breaker := &circuitBreaker{now: opts.Now}
	f := flusher{store: opts.Store, firstTimeout: opts.Timeout / firstTimeoutDivisor, totalTimeout: opts.Timeout}
	m := &Manager{
		opts:        opts,
		process:     processID{Node: opts.Node, Incarnation: opts.Incarnation},
		leases:      newLeases(opts.Store, opts.Retention, opts.Timeout/firstTimeoutDivisor, opts.Now),
		claimWrites: newBatcher(f, breaker, opts.MaxBatch, opts.Linger),
		settlements: newSettlementQueue(f, opts.MaxBatch, opts.MaxSettlementBytes, opts.SettlementLinger),
		notRun:      newNotRunClaims(maxNotRun),
		breaker:     breaker,
		stopped:     stopped,
		stop:        stop,
	}
	m.workers.Go(func() { m.claimWrites.run(stopped) })
	m.workers.Go(func() { m.settlements.run(stopped) })
	return m
}

func setDefaults(o *Options) {
	setDefault(&o.Retention, DefaultRetention)
	o.Retention = max(o.Retention, MinRetention)
	setDefault(&o.PendingLimit, DefaultPendingLimit)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.Linger, DefaultLinger)
	setDefault(&o.SettlementLinger, DefaultSettlementLinger)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.MaxSettlementBytes, DefaultMaxSettlementBytes)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Close waits until the outcomes of all calls are recorded or ctx ends, and then stops
// the manager. Later claims are rejected.
func (m *Manager) Close(ctx context.Context) {
	for {
		n, idle := m.settlements.pending()
		if n == 0 || ctx.Err() != nil {
			break
		}
		select {
		case <-idle:
		case <-ctx.Done():
		}
	}
	m.stop()
	m.workers.Wait()
	if n, _ := m.settlements.pending(); n > 0 {
		m.opts.Log.Warn("closed the claim manager with unrecorded outcomes", "outcomes", n)
	}
}

// Claim claims the call's key. It returns the claim if this node may dispatch the
// call, the recorded answer if the call has run before, or a *fennelerr.Error that
// says why neither is possible. It returns early when ctx ends; a claim that succeeds
// after that is released.
func (m *Manager) Claim(ctx context.Context, call Call) (*Claim, *Answer, error) {
	now := m.opts.Now()
	if err := checkKey(call.Key, now, m.opts.Retention, m.opts.RequireUUIDv7Keys); err != nil {
		count(string(err.Code))
		return nil, nil, err
	}
	c := &Claim{
		manager:   m,
		call:      call,
		digest:    digestOf(call),
		createdAt: now,
		rec:       newRecord(m.process.writeID(m.seq.Add(1)), call, now),
	}
	if rec, ok := m.active.begin(c.digest, c.rec); !ok {
		o := m.decide(c, rec, false)
		return nil, o.answer, o.asError()
	}
	done := make(chan outcome)
	go func() {
		o := m.resolve(ctx, c)
		select {
		case done <- o:
		case <-ctx.Done():
			if o.claim != nil {
				o.claim.Release(context.Background())
			}
		}
	}()
	select {
	case o := <-done:
		return o.claim, o.answer, o.asError()
	case <-ctx.Done():
		return nil, nil, refuse(fennelerr.Canceled, fennelerr.NotRun, "the caller disconnected before the key was claimed")
	}
}

// outcome is the result of Manager.Claim; exactly one field is set. The result of
// Manager.decide has no field set if the existing claim may be taken over.
type outcome struct {
	claim  *Claim
	answer *Answer
	err    *fennelerr.Error
}

// asError keeps a nil *fennelerr.Error from becoming a non-nil error.
func (o outcome) asError() error {
	if o.err == nil {
		return nil
	}
	return o.err
}

// resolve writes the claim, or finds out why it can't be written and returns the
// recorded answer or the error.
func (m *Manager) resolve(ctx context.Context, c *Claim) outcome {
	guard := store.Absent(c.digest.storeKey())
	for range maxClaimAttempts {
		r := m.write(ctx, c, guard)
		switch {
		case r.err != nil && r.err.Kind == store.LeaseNotFound:
			m.leases.invalidate(c.lease)
			continue
		case r.err != nil:
			return m.unavailable(c, r.err)
		case r.applied:
			c.revision = r.revision
			m.logResult(c, "claimed", "the key was free")
			return outcome{claim: c}
		case r.found == nil: // the claim to take over was deleted in the meantime
			guard = store.Absent(c.digest.storeKey())
			continue
		}
		rec, err := decodeRecord(r.found.Value)
		if err != nil {
			rec = record{State: Unknown, Body: c.rec.Body} // not written by this package; never take it over
		}
		o := m.decide(c, rec, m.notRun.has(rec.ID))
		if o.answer != nil || o.err != nil {
			m.active.end(c.digest, c.rec.ID)
			return o
		}
		guard = store.ModifiedAt(r.found.Key, r.found.ModRevision)
	}
	return m.unavailable(c, &store.Error{Kind: store.Unavailable, Outcome: store.Unknown, Op: "txn", Err: errKeyContended})
}

// write makes one attempt to write the claim. Claim.createdAt was read before the
// lease is, so StillHeld detects any pause of the process from here on.
func (m *Manager) write(ctx context.Context, c *Claim, guard store.Guard) writeResult {
	if m.breaker.open() {
		return writeResult{err: circuitOpenError()}
	}
	lease, err := m.leases.current(ctx)
	if err != nil {
		m.breaker.trip()
		return writeResult{err: leaseError(err)}
	}
	c.lease = lease
	return m.claimWrites.submit(m.stopped, newWrite(guard, store.Put(c.digest.storeKey(), c.rec.encode(), lease)))
}

var errKeyContended = errors.New("every attempt to claim the key failed: the key or its lease kept changing")

// leaseError returns the error for a claim whose lease could not be obtained. Its
// outcome is Refused even if the lease's own outcome is unknown, because the claim
// was not written.
func leaseError(err error) *store.Error {
	return &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "lease", Err: err}
}

// decide logs and counts the decision for a repeat and returns its outcome, which is
// empty if the existing claim may be taken over.
func (m *Manager) decide(c *Claim, rec record, notRun bool) outcome {
	d, reason := decide(repeatCall{
		rec:          rec,
		call:         c.call,
		process:      m.process,
		notRun:       notRun,
		now:          m.opts.Now(),
		pendingLimit: m.opts.PendingLimit,
	})
	m.logResult(c, d.String(), reason)
	switch d {
	case replay:
		return outcome{answer: rec.Answer}
	case takeOver:
		return outcome{}
	default:
		return outcome{err: refusal(d)}
	}
}

// unavailable rejects a call whose claim is not confirmed by the store. Only this node
// could have dispatched the call and it won't, so the call was not run. If the write
// may have reached the store, removeUnconfirmed deletes it in the background.
func (m *Manager) unavailable(c *Claim, err *store.Error) outcome {
	m.active.end(c.digest, c.rec.ID)
	if err.Outcome == store.Unknown {
		m.notRun.add(c.rec.ID)
		m.removeUnconfirmed(c, true)
	}
	m.logResult(c, "store-unavailable", err.Error())
	refused := refuse(fennelerr.StoreUnavailable, fennelerr.NotRun, "the store is unavailable and the key can't be claimed; the call was not run")
	return outcome{err: refused.WithRetryAfter(breakerCooldown)}
}

func (m *Manager) logResult(c *Claim, result, reason string) {
	count(result)
	m.opts.Log.Info("claim", "key", string(c.digest), "team", c.call.Team, "id", string(c.rec.ID), "result", result, "reason", reason)
}
