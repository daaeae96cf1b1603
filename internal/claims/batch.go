package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// circuitBreaker rejects calls for breakerCooldown after the store has failed, so that
// callers get an error at once instead of queueing for a store that is down.
type circuitBreaker struct {
	now   func() time.Time
	until atomic.Int64 // Unix nanoseconds
}

func (b *circuitBreaker) open() bool { return b.now().UnixNano() < b.until.Load() }

func (b *circuitBreaker) trip() { b.until.Store(b.now().Add(breakerCooldown).UnixNano()) }

var errCircuitOpen = errors.New("the store did not answer within the last second; the write was not sent")

// circuitOpenError returns the error for a write that the open breaker rejected.
func circuitOpenError() *store.Error {
	return &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "txn", Err: errCircuitOpen}
}

// batcher collects writes for up to linger and flushes them together.
type batcher struct {
	flusher
	breaker  *circuitBreaker
	writes   chan *write
	maxBatch int
	linger   time.Duration
	// slots limits the number of transactions in flight.
	slots chan struct{}
}

func newBatcher(f flusher, br *circuitBreaker, maxBatch int, linger time.Duration) *batcher {
	f.onUnavailable = br.trip
	return &batcher{flusher: f, breaker: br, writes: make(chan *write), maxBatch: maxBatch, linger: linger, slots: make(chan struct{}, maxFlushes)}
}

// maxFlushes is the largest number of claim transactions that a node has in flight.
const maxFlushes = 4

// run batches and flushes writes until ctx ends. Flushes in flight may outlast it
// by their total timeout.
func (b *batcher) run(ctx context.Context) {
	var next *write
	for {
		if next == nil {
			select {
			case next = <-b.writes:
			case <-ctx.Done():
				return
			}
		}
		var batch []*write
		batch, next = b.gather(ctx, next)
		b.slots <- struct{}{}
		go func() {
			b.flushUnlessOpen(context.WithoutCancel(ctx), batch)
			<-b.slots
		}()
	}
}

func (b *batcher) flushUnlessOpen(ctx context.Context, batch []*write) {
	if b.breaker.open() {
		deliverFailure(batch, circuitOpenError(), false)
		return
	}
	b.flush(ctx, batch) // trips the breaker if the store does not answer
}

// gather collects a batch of writes with distinct keys. A second write to a key of
// the batch ends it and is returned as next, the first write of the next batch.
func (b *batcher) gather(ctx context.Context, first *write) (batch []*write, next *write) {
	linger := time.NewTimer(b.linger)
	defer linger.Stop()
	keys := map[string]bool{first.op.Key: true}
	batch = append(batch, first)
	for len(batch) < b.maxBatch {
		select {
		case w := <-b.writes:
			if keys[w.op.Key] {
				return batch, w
			}
			keys[w.op.Key] = true
			batch = append(batch, w)
		case <-linger.C:
			return batch, nil
		case <-ctx.Done():
			return batch, nil
		}
	}
	return batch, nil
}

// submit queues a write and waits for its result. The wait is bounded, since every
// flush ends within its total timeout. stopped ends when the batcher stops.
func (b *batcher) submit(stopped context.Context, w *write) writeResult {
	select {
	case b.writes <- w:
		return <-w.result
	case <-stopped.Done():
		return writeResult{err: &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "txn", Err: stopped.Err()}}
	}
}
