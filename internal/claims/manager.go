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

// Defaults of Options, and bounds that callers rely on.
const (
	DefaultRetention    = 24 * time.Hour
	DefaultPendingLimit = 5 * time.Minute
	DefaultMaxBatch     = 100
	DefaultLinger       = 2 * time.Millisecond
	DefaultSettlementLinger = 20 * time.Millisecond
	DefaultTimeout      = 1500 * time.Millisecond
	DefaultMaxSettlementBytes = 32 << 20
	// DispatchWindow is how long after Claim a call may still be dispatched; see
	// Claim.StillHeld.
	DispatchWindow = time.Minute
	// MaxClockSkew is how far the wall clocks of callers, nodes and store may be
	// apart. Only the length of the retention depends on it.
	MaxClockSkew = time.Minute
	// MinRetention leaves room for the bounds above.
	MinRetention = 10 * time.Minute

	// keyTimeMargin is how long before the retention's end a key that carries
	// its time is refused.
	keyTimeMargin = 2*MaxClockSkew + DispatchWindow
	// attemptShare: the first transaction may take this part of Options.Timeout.
	attemptShare = 3
	// downFor is how long claims are refused at once after the store failed.
	downFor = time.Second
	// recheckAfter is when a claim write that was lost is looked for once more.
	recheckAfter = 30 * time.Second
	// releaseWait bounds how long Release waits for the store.
	releaseWait = 250 * time.Millisecond
	// maxFreed bounds the claims remembered as never run.
	maxFreed = 100_000
	// maxRounds bounds the writes made for one Claim.
	maxRounds = 4
)

// Options configures a Manager. Store, Node and Incarnation are required.
type Options struct {
	Store store.Store
	Node  cluster.NodeID
	// Incarnation differs for every start of the node's process.
	Incarnation uint64
	// Now is the clock; nil is time.Now. Its values must carry a monotonic part.
	Now func() time.Time
	// Retention is how long a key is remembered at least, from its claim on.
	Retention time.Duration
	// PendingLimit is longer than any call takes: a claim pending for longer
	// counts as lost, and its fate as unknown.
	PendingLimit time.Duration
	// RequireUUIDv7Keys refuses keys that don't carry their time (UUID version 7).
	RequireUUIDv7Keys bool
	// MaxBatch bounds the claims in one transaction, Linger the wait for more.
	MaxBatch int
	Linger   time.Duration
	// SettlementLinger is the wait for more outcomes to record in one transaction.
	SettlementLinger time.Duration
	// Timeout bounds the time that Claim tries to reach the store.
	Timeout time.Duration
	// MaxSettlementBytes bounds the bytes of outcomes that wait for the store.
	MaxSettlementBytes int
	Log          *slog.Logger
}

var settlementsDropped = metrics.NewCounter("fennel_claims_settlements_dropped_total")

func count(result string) {
	metrics.GetOrCreateCounter(`fennel_claims_calls_total{result="` + result + `"}`).Inc()
}

// Manager makes and settles this node's claims. It is safe for concurrent use.
type Manager struct {
	opts   Options
	self   writer
	seq    atomic.Uint64
	leases *leases
	claims *batcher
	settle *settler
	active active
	freed  *freedClaims
	down   *breaker

	stopped context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// New starts a manager; Close stops it.
func New(opts Options) *Manager {
	setDefaults(&opts)
	stopped, stop := context.WithCancel(context.Background())
	down := &breaker{now: opts.Now}
	f := flusher{store: opts.Store, attempt: opts.Timeout / attemptShare, limit: opts.Timeout}
	m := &Manager{
		opts:    opts,
		self:    writer{Node: opts.Node, Incarnation: opts.Incarnation},
		leases:  newLeases(opts.Store, opts.Retention, opts.Timeout/attemptShare, opts.Now),
		claims:  newBatcher(f, down, opts.MaxBatch, opts.Linger),
		settle:  newSettler(f, opts.MaxBatch, opts.MaxSettlementBytes, opts.SettlementLinger),
		freed:   newFreedClaims(maxFreed),
		down:    down,
		stopped: stopped,
		stop:    stop,
	}
	m.running.Go(func() { m.claims.run(stopped) })
	m.running.Go(func() { m.settle.run(stopped) })
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

func setDefault[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}

// Close waits until the outcomes of all calls are recorded or ctx ends, then
// stops. Claims that follow are refused.
func (m *Manager) Close(ctx context.Context) {
	for {
		n, idle := m.settle.pending()
		if n == 0 || ctx.Err() != nil {
			break
		}
		select {
		case <-idle:
		case <-ctx.Done():
		}
	}
	m.stop()
	m.running.Wait()
	if n, _ := m.settle.pending(); n > 0 {
		m.opts.Log.Warn("claims closed with outcomes not recorded", "outcomes", n)
	}
}

// Claim makes the call this node's to dispatch, or returns the recorded answer
// of its earlier run, or a *fennelerr.Error that says why neither is possible.
// It returns early when ctx ends; a claim that comes through later is given back.
func (m *Manager) Claim(ctx context.Context, call Call) (*Claim, *Answer, error) {
	now := m.opts.Now()
	if err := checkKey(call.Key, now, m.opts.Retention, m.opts.RequireUUIDv7Keys); err != nil {
		count(string(err.Code))
		return nil, nil, err
	}
	c := &Claim{
		manager: m,
		call:    call,
		digest:  digestOf(call),
		made:    now,
		rec:     newRecord(m.self.writeID(m.seq.Add(1)), call, now),
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
		return nil, nil, refuse(fennelerr.Canceled, fennelerr.NotRun, "the caller left before the key was claimed")
	}
}

// outcome is what Claim returns; exactly one field is set.
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

// resolve writes the claim, or finds out why it can't be written.
func (m *Manager) resolve(ctx context.Context, c *Claim) outcome {
	guard := store.Absent(c.digest.storeKey())
	for range maxRounds {
		r := m.write(ctx, c, guard)
		switch {
		case r.err != nil && r.err.Kind == store.LeaseNotFound:
			m.leases.forget(c.lease)
			continue
		case r.err != nil:
			return m.unavailable(c, r.err)
		case r.applied:
			c.revision = r.revision
			m.note(c, "claimed", "the key was free")
			return outcome{claim: c}
		case r.found == nil: // the claim to be taken over has gone meanwhile
			guard = store.Absent(c.digest.storeKey())
			continue
		}
		rec, err := decodeRecord(r.found.Value)
		if err != nil {
			rec = record{State: Unknown, Body: c.rec.Body} // written by something else: never run over it
		}
		o := m.decide(c, rec, m.freed.has(rec.ID))
		if o.answer != nil || o.err != nil {
			m.active.end(c.digest, c.rec.ID)
			return o
		}
		guard = store.ModifiedAt(r.found.Key, r.found.ModRevision)
	}
	return m.unavailable(c, &store.Error{Kind: store.Unavailable, Outcome: store.Unknown, Op: "txn", Err: errKeepsChanging})
}

// write makes one round of the claim's write. The clock is read before the lease
// is: should this process be paused anywhere after, StillHeld notices.
func (m *Manager) write(ctx context.Context, c *Claim, guard store.Guard) writeResult {
	if m.down.open() {
		return writeResult{err: refusedAsDown()}
	}
	lease, err := m.leases.current(ctx)
	if err != nil {
		m.down.trip()
		return writeResult{err: refusedBeforeWrite(err)}
	}
	c.lease = lease
	return m.claims.do(m.stopped, newWrite(guard, store.Put(c.digest.storeKey(), c.rec.encode(), lease)))
}

var errKeepsChanging = errors.New("the key kept changing")

// refusedBeforeWrite is a failure to get the lease: whatever became of that, the
// claim itself was not written.
func refusedBeforeWrite(err error) *store.Error {
	return &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "lease", Err: err}
}

// decide answers a repeat; an outcome without fields means that the claim found
// may be taken over.
func (m *Manager) decide(c *Claim, rec record, freed bool) outcome {
	v, reason := decide(found{
		rec:          rec,
		call:         c.call,
		self:         m.self,
		freed:        freed,
		now:          m.opts.Now(),
		pendingLimit: m.opts.PendingLimit,
	})
	m.note(c, v.String(), reason)
	switch v {
	case replay:
		return outcome{answer: rec.Answer}
	case takeOver:
		return outcome{}
	default:
		return outcome{err: refusal(v)}
	}
}

// unavailable refuses a call whose claim could not be made for sure. This node
// alone could have dispatched it and won't, so it was not run. Its claim may
// stand in the store all the same and is looked for until it is gone.
func (m *Manager) unavailable(c *Claim, err *store.Error) outcome {
	m.active.end(c.digest, c.rec.ID)
	if err.Outcome == store.Unknown {
		m.freed.add(c.rec.ID)
		m.removeLost(c, true)
	}
	m.note(c, "store-unavailable", err.Error())
	refused := refuse(fennelerr.StoreUnavailable, fennelerr.NotRun, "the key can't be claimed now; the call was not run")
	return outcome{err: refused.WithRetryAfter(downFor)}
}

func (m *Manager) note(c *Claim, result, reason string) {
	count(result)
	m.opts.Log.Info("claim", "key", string(c.digest), "team", c.call.Team, "id", string(c.rec.ID), "result", result, "reason", reason)
}
