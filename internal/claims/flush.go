package claims

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// write is a guarded operation on the key of one claim.
type write struct {
	guard store.Guard
	op    store.Op
	// result is buffered, so that delivery never blocks on a submitter that has gone.
	result chan writeResult
}

// writeResult is the result of a write. If err is nil and applied is false, the guard
// did not hold and found is the key as read, nil if absent.
type writeResult struct {
	applied  bool
	revision int64
	found    *store.KV
	err      *store.Error
}

func newWrite(guard store.Guard, op store.Op) *write {
	return &write{guard: guard, op: op, result: make(chan writeResult, 1)}
}

// guardHolds reports whether the write's guard holds for the key as read.
func (w *write) guardHolds(kv *store.KV) bool {
	var have store.KV
	if kv != nil {
		have = *kv
	}
	if w.guard.Target == store.GuardModRevision {
		return have.ModRevision == w.guard.Equal
	}
	return have.CreateRevision == w.guard.Equal
}

// alreadyApplied reports whether the key as read shows that the write has taken
// effect. Every value contains a unique write ID, so equal bytes prove it.
func (w *write) alreadyApplied(kv *store.KV) bool {
	if w.op.Kind == store.OpDelete {
		return kv == nil
	}
	return kv != nil && bytes.Equal(kv.Value, w.op.Value)
}

// flusher writes batches to the store.
type flusher struct {
	store store.Store
	// firstTimeout bounds the first transaction of a batch, totalTimeout all of its
	// transactions together.
	firstTimeout, totalTimeout time.Duration
	// onUnavailable is called when the store did not answer, before the writes get their
	// results, so that a caller that retries on the failure finds the breaker open.
	// Called after them, one in forty such callers waited for another batch. May be nil.
	onUnavailable func()
}

// flush writes a batch with distinct keys in as few transactions as possible and
// delivers a result to every write. It reports whether the store answered.
//
// A transaction applies only if all guards hold, so one repeated key would fail the
// whole batch. The else branch therefore reads all keys: the writes whose guards
// don't hold are answered from these reads, and the rest are sent again. A
// transaction with an unknown outcome is sent again unchanged: if it has taken
// effect, the guards fail and the reads return the values that the writes put.
//
// The timeout doubles with each attempt: the first is short, to give up a hung
// connection soon; the last is long enough for a slow store.
func (f *flusher) flush(ctx context.Context, batch []*write) (answered bool) {
	ctx, cancel := context.WithTimeout(ctx, f.totalTimeout)
	defer cancel()
	maybeApplied := false
	timeout, backoff := f.firstTimeout, firstBackoff
	for len(batch) > 0 {
		res, err := f.send(ctx, timeout, batch)
		switch {
		case err == nil && res.Succeeded:
			deliver(batch, writeResult{applied: true, revision: res.Revision})
			return true
		case err == nil:
			batch = deliverDecided(batch, res.Gets)
		case err.Kind == store.LeaseNotFound && len(batch) > 1:
			return f.flushOneByOne(ctx, batch)
		case err.Kind != store.Unavailable || (err.Outcome == store.Refused && !maybeApplied) || !clock.Pause(ctx, backoff):
			answered := err.Kind != store.Unavailable
			if !answered && f.onUnavailable != nil {
				f.onUnavailable()
			}
			deliverFailure(batch, err, maybeApplied)
			return answered
		default:
			maybeApplied = true
			timeout, backoff = 2*timeout, 2*backoff
		}
	}
	return true
}

// firstBackoff is the wait before the first resend of a transaction; it doubles.
const firstBackoff = 10 * time.Millisecond

func (f *flusher) send(ctx context.Context, timeout time.Duration, batch []*write) (store.TxnResult, *store.Error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var txn store.Txn
	for _, w := range batch {
		txn.Guards = append(txn.Guards, w.guard)
		txn.Then = append(txn.Then, w.op)
		txn.Else = append(txn.Else, store.GetOp(w.op.Key))
	}
	res, err := f.store.Txn(ctx, txn)
	if err == nil {
		return res, nil
	}
	if failure, ok := errors.Into[*store.Error](err); ok {
		return res, failure
	}
	// The driver must return a *store.Error. Any other error may mean anything, so the
	// outcome counts as unknown.
	return res, &store.Error{Kind: store.Unavailable, Outcome: store.Unknown, Op: "txn", Err: err}
}

// flushOneByOne writes each operation in its own transaction, so that only the one
// whose lease has expired fails.
func (f *flusher) flushOneByOne(ctx context.Context, batch []*write) (answered bool) {
	answered = true
	for _, w := range batch {
		answered = f.flush(ctx, []*write{w}) && answered
	}
	return answered
}

// deliverDecided delivers results to the writes that the read keys decide and returns
// the others. At least one guard did not hold, so the batch shrinks.
func deliverDecided(batch []*write, gets []*store.KV) []*write {
	var rest []*write
	for i, w := range batch {
		kv := gets[i]
		switch {
		case w.alreadyApplied(kv):
			r := writeResult{applied: true}
			if kv != nil {
				r.revision = kv.ModRevision
			}
			w.result <- r
		case w.guardHolds(kv):
			rest = append(rest, w)
		default:
			w.result <- writeResult{found: kv}
		}
	}
	return rest
}

func deliver(batch []*write, r writeResult) {
	for _, w := range batch {
		w.result <- r
	}
}

// deliverFailure delivers err to a batch whose last attempt failed. If an earlier
// attempt had an unknown outcome, the outcome stays unknown even if the last attempt
// was refused.
func deliverFailure(batch []*write, err *store.Error, maybeApplied bool) {
	failure := *err
	if maybeApplied {
		failure.Outcome = store.Unknown
	}
	deliver(batch, writeResult{err: &failure})
}
