package claims

import (
	"context"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// settlement is a write that follows a claim: it records the outcome or deletes the
// claim. It is retried until the store answers.
type settlement struct {
	write *write
	bytes int
	// attempted is closed after the first attempt, whatever its result.
	attempted chan struct{}
	// onResult is called once with the result, unless the settlement is dropped.
	onResult func(writeResult)
	// onDrop is called instead of onResult if the queue is full.
	onDrop func()
}

// settlementQueue writes settlements to the store in batches. While the store is down
// they wait in memory, up to maxBytes.
type settlementQueue struct {
	flusher  flusher
	maxBatch int
	maxBytes int
	linger   time.Duration

	wake chan struct{}

	mu    sync.Mutex
	queue []*settlement
	bytes int
	// flushing is the number of settlements taken from the queue without a result yet.
	flushing int
	idle     chan struct{} // closed and replaced when no settlement is queued or in flight
}

// Bounds of the backoff between attempts while the store is down.
const (
	minSettleBackoff = 100 * time.Millisecond
	maxSettleBackoff = 5 * time.Second
)

// settlementOverhead is the size counted for each settlement in addition to its key
// and value.
const settlementOverhead = 512

func newSettlementQueue(f flusher, maxBatch, maxBytes int, linger time.Duration) *settlementQueue {
	return &settlementQueue{
		flusher:  f,
		maxBatch: maxBatch,
		maxBytes: maxBytes,
		linger:   linger,
		wake:     make(chan struct{}, 1),
		idle:     make(chan struct{}),
	}
}

// add queues a settlement, or drops it if the queue is full. The claim of a dropped
// settlement stays pending in the store, and repeats get "outcome unknown".
func (s *settlementQueue) add(st *settlement) {
	st.attempted = make(chan struct{})
	st.bytes = settlementOverhead + len(st.write.op.Key) + len(st.write.op.Value)
	s.mu.Lock()
	full := s.bytes+st.bytes > s.maxBytes
	if !full {
		s.queue = append(s.queue, st)
		s.bytes += st.bytes
	}
	s.mu.Unlock()
	if full {
		settlementsDropped.Inc()
		close(st.attempted)
		st.onDrop()
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// hasRoomFor reports whether the queue stays below half of its limit with a value of n
// more bytes. Above half of the limit, answers are recorded without their bodies.
func (s *settlementQueue) hasRoomFor(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes+n < s.maxBytes/2
}

// run flushes settlements until ctx ends.
func (s *settlementQueue) run(ctx context.Context) {
	backoff := minSettleBackoff
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		if !clock.Pause(ctx, s.linger) {
			return
		}
		for batch := s.nextBatch(); len(batch) > 0; batch = s.nextBatch() {
			if s.flush(ctx, batch) {
				backoff = minSettleBackoff
				continue
			}
			if !clock.Pause(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, maxSettleBackoff)
		}
	}
}

// nextBatch removes up to maxBatch settlements with distinct keys from the queue.
func (s *settlementQueue) nextBatch() []*settlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make(map[string]bool)
	var batch []*settlement
	for len(s.queue) > 0 && len(batch) < s.maxBatch && !keys[s.queue[0].write.op.Key] {
		keys[s.queue[0].write.op.Key] = true
		batch = append(batch, s.queue[0])
		s.queue = s.queue[1:]
	}
	s.flushing += len(batch)
	return batch
}

// flush tries one batch and reports whether the store answered. Settlements without an
// answer go back to the front of the queue.
func (s *settlementQueue) flush(ctx context.Context, batch []*settlement) bool {
	writes := make([]*write, len(batch))
	for i, st := range batch {
		writes[i] = st.write
	}
	s.flusher.flush(ctx, writes)
	var retry, done []*settlement
	results := make(map[*settlement]writeResult, len(batch))
	for _, st := range batch {
		r := <-st.write.result
		results[st] = r
		if r.err != nil && r.err.Kind == store.Unavailable {
			retry = append(retry, st)
		} else {
			done = append(done, st)
		}
	}
	for _, st := range done {
		st.onResult(results[st])
	}
	s.requeue(retry, done)
	for _, st := range batch {
		st.markAttempted()
	}
	return len(retry) == 0
}

func (s *settlementQueue) requeue(retry, done []*settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(retry, s.queue...)
	for _, st := range done {
		s.bytes -= st.bytes
	}
	s.flushing -= len(retry) + len(done)
	if len(s.queue) == 0 && s.flushing == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

func (st *settlement) markAttempted() {
	select {
	case <-st.attempted:
	default:
		close(st.attempted)
	}
}

// pending returns the number of unfinished settlements and a channel that is closed
// when there are none.
func (s *settlementQueue) pending() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) + s.flushing, s.idle
}
