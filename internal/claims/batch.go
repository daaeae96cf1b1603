package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// breaker refuses calls for a moment after the store has failed, so that callers
// are answered at once instead of waiting in line for a store that is down.
type breaker struct {
	now   func() time.Time
	until atomic.Int64 // Unix nanoseconds
}

func (b *breaker) open() bool { return b.now().UnixNano() < b.until.Load() }

func (b *breaker) trip() { b.until.Store(b.now().Add(downFor).UnixNano()) }

var errDown = errors.New("the store did not answer a moment ago")

// refusedAsDown is the failure of a write that was not sent.
func refusedAsDown() *store.Error {
	return &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "txn", Err: errDown}
}

// batcher gathers writes for a short while and flushes them together.
type batcher struct {
	flusher
	breaker  *breaker
	in       chan *write
	maxBatch int
	linger   time.Duration
	// slots bounds the transactions in flight.
	slots chan struct{}
}

func newBatcher(f flusher, br *breaker, maxBatch int, linger time.Duration) *batcher {
	f.onDown = br.trip
	return &batcher{flusher: f, breaker: br, in: make(chan *write), maxBatch: maxBatch, linger: linger, slots: make(chan struct{}, maxFlushes)}
}

// maxFlushes bounds a node's claim transactions in flight.
const maxFlushes = 4

// run gathers and flushes until ctx ends; flushes outlive it by at most their limit.
func (b *batcher) run(ctx context.Context) {
	var next *write
	for {
		if next == nil {
			select {
			case next = <-b.in:
			case <-ctx.Done():
				return
			}
		}
		var batch []*write
		batch, next = b.gather(ctx, next)
		b.slots <- struct{}{}
		go func() {
			b.flushUnlessDown(context.WithoutCancel(ctx), batch)
			<-b.slots
		}()
	}
}

func (b *batcher) flushUnlessDown(ctx context.Context, batch []*write) {
	if b.breaker.open() {
		fail(batch, refusedAsDown(), false)
		return
	}
	b.flush(ctx, batch) // a store that does not answer trips the breaker
}

// gather collects a batch of different keys; a second write on a key of the
// batch is returned as next and opens the following one.
func (b *batcher) gather(ctx context.Context, first *write) (batch []*write, next *write) {
	linger := time.NewTimer(b.linger)
	defer linger.Stop()
	keys := map[string]bool{first.op.Key: true}
	batch = append(batch, first)
	for len(batch) < b.maxBatch {
		select {
		case w := <-b.in:
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

// do hands a write in and waits for its result; every flush ends within its
// limit, so the wait does too. stopped ends when the batcher does.
func (b *batcher) do(stopped context.Context, w *write) writeResult {
	select {
	case b.in <- w:
		return <-w.result
	case <-stopped.Done():
		return writeResult{err: &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "txn", Err: stopped.Err()}}
	}
}
