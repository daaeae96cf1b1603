package claims

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// write is one guarded operation on one claim's key.
type write struct {
	guard store.Guard
	op    store.Op
	// result has room for one, so that nobody waits for a writer that left.
	result chan writeResult
}

// writeResult is what became of a write. With err nil and applied false the
// guard did not hold, and found is the key as it was, nil if absent.
type writeResult struct {
	applied  bool
	revision int64
	found    *store.KV
	err      *store.Error
}

func newWrite(guard store.Guard, op store.Op) *write {
	return &write{guard: guard, op: op, result: make(chan writeResult, 1)}
}

// holds reports whether the write's guard holds on the key as found.
func (w *write) holds(kv *store.KV) bool {
	var have store.KV
	if kv != nil {
		have = *kv
	}
	if w.guard.Target == store.GuardModRevision {
		return have.ModRevision == w.guard.Equal
	}
	return have.CreateRevision == w.guard.Equal
}

// landed reports whether the key as found shows that the write has taken effect
// already. Values hold a unique write id, so equal bytes are proof.
func (w *write) landed(kv *store.KV) bool {
	if w.op.Kind == store.OpDelete {
		return kv == nil
	}
	return kv != nil && bytes.Equal(kv.Value, w.op.Value)
}

// flusher brings batches of writes to the store.
type flusher struct {
	store store.Store
	// attempt bounds the first transaction for a batch, limit all of them.
	attempt, limit time.Duration
	// onDown is told that the store did not answer, before the writes are: whoever hears
	// of the failure and comes again must find the breaker open. Told after them, one in
	// forty such callers waited for another batch. May be nil.
	onDown func()
}

// flush writes the batch, whose keys are all different, in as few transactions
// as it can, and gives every write its result.
//
// A transaction applies only if all guards hold, so one repeated key would fail
// the others along with it. Its else branch therefore reads all the keys: the
// writes whose guards don't hold are answered from that, and the rest are sent
// again. A transaction with unknown outcome is sent again as it is: if it had
// taken effect, the guards fail and the reads show the writes' own values.
//
// It reports whether the store answered. Each try gets twice the time of the one
// before: the first soon gives up a connection that has gone silent, the last
// waits for a store that is merely slow.
func (f *flusher) flush(ctx context.Context, batch []*write) (answered bool) {
	ctx, cancel := context.WithTimeout(ctx, f.limit)
	defer cancel()
	unsure := false
	attempt, backoff := f.attempt, firstBackoff
	for len(batch) > 0 {
		res, err := f.send(ctx, attempt, batch)
		switch {
		case err == nil && res.Succeeded:
			answer(batch, writeResult{applied: true, revision: res.Revision})
			return true
		case err == nil:
			batch = settled(batch, res.Gets)
		case err.Kind == store.LeaseNotFound && len(batch) > 1:
			return f.flushSingly(ctx, batch)
		case err.Kind != store.Unavailable || (err.Outcome == store.Refused && !unsure) || !clock.Pause(ctx, backoff):
			answered := err.Kind != store.Unavailable
			if !answered && f.onDown != nil {
				f.onDown()
			}
			fail(batch, err, unsure)
			return answered
		default:
			unsure = true
			attempt, backoff = 2*attempt, 2*backoff
		}
	}
	return true
}

// firstBackoff is the wait before a transaction is sent again; it doubles.
const firstBackoff = 10 * time.Millisecond

func (f *flusher) send(ctx context.Context, limit time.Duration, batch []*write) (store.TxnResult, *store.Error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	// A driver that breaks its promise is taken at the worst.
	return res, &store.Error{Kind: store.Unavailable, Outcome: store.Unknown, Op: "txn", Err: err}
}

// flushSingly finds the write whose lease has ended: the others go through.
func (f *flusher) flushSingly(ctx context.Context, batch []*write) (answered bool) {
	answered = true
	for _, w := range batch {
		answered = f.flush(ctx, []*write{w}) && answered
	}
	return answered
}

// settled answers the writes that are decided by the keys found and returns the
// others. At least one guard did not hold, so the batch shrinks.
func settled(batch []*write, gets []*store.KV) []*write {
	var rest []*write
	for i, w := range batch {
		kv := gets[i]
		switch {
		case w.landed(kv):
			r := writeResult{applied: true}
			if kv != nil {
				r.revision = kv.ModRevision
			}
			w.result <- r
		case w.holds(kv):
			rest = append(rest, w)
		default:
			w.result <- writeResult{found: kv}
		}
	}
	return rest
}

func answer(batch []*write, r writeResult) {
	for _, w := range batch {
		w.result <- r
	}
}

// fail answers a batch whose last try failed. When an earlier try had an unknown
// outcome, a last one that was refused doesn't make it known.
func fail(batch []*write, err *store.Error, unsure bool) {
	failure := *err
	if unsure {
		failure.Outcome = store.Unknown
	}
	answer(batch, writeResult{err: &failure})
}
