package ledger

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Intervals and limits of a Writer.
const (
	tickInterval = time.Second
	// OutageWindowLength is the length of a window while a replica is down or
	// accelerators are stranded, WindowLength the length otherwise. A node that is
	// killed loses up to one window and those that wait for the store.
	OutageWindowLength = time.Minute
	WindowLength       = 5 * time.Minute
	// MaxPending is the largest number of windows that wait for the store: one day of
	// windows of OutageWindowLength.
	MaxPending = 1440
	// maxPendingIntervals bounds the intervals in these windows, of about 350 bytes
	// each.
	maxPendingIntervals = 50_000
	windowsPerTxn       = 16
	writeTimeout        = 2 * time.Second
	maxRetryWait        = 30 * time.Second
)

var (
	windowsWritten = metrics.NewCounter("fennel_ledger_windows_written_total")
	windowsDropped = metrics.NewCounter("fennel_ledger_windows_dropped_total")
)

// Writer runs a Recorder on the system clock and writes its windows to the store.
type Writer struct {
	store store.Store
	opts  RecorderOptions
	log   *slog.Logger

	mu               sync.Mutex
	recorder         *Recorder
	windowStart      time.Time
	pending          []Window
	pendingIntervals int // intervals in pending
}

// NewWriter returns a Writer that observes from now on. The caller must call Run.
func NewWriter(s store.Store, opts RecorderOptions, log *slog.Logger) *Writer {
	now := time.Now()
	return &Writer{store: s, opts: opts, log: log, recorder: NewRecorder(opts, now), windowStart: now}
}

// Record adds an event to the current window. Events of one replica must be recorded
// in order.
func (wr *Writer) Record(ev Event) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.recorder.Apply(ev)
}

// Run observes until ctx ends and then writes the remaining windows within
// writeTimeout.
func (wr *Writer) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	wait, retryAt := tickInterval, time.Time{}
	for {
		select {
		case <-ctx.Done():
			wr.closeWindow()
			wr.flush(context.WithoutCancel(ctx))
			return
		case now := <-tick.C:
			wr.tick(now)
			if now.Before(retryAt) {
				continue
			}
			if wr.flush(ctx) {
				wait, retryAt = tickInterval, time.Time{}
			} else {
				wait = min(2*wait, maxRetryWait)
				retryAt = now.Add(wait)
			}
		}
	}
}

// Pending returns the number of windows that wait for the store.
func (wr *Writer) Pending() int {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return len(wr.pending)
}

func (wr *Writer) tick(now time.Time) {
	wr.mu.Lock()
	wr.recorder.Tick(now)
	length := WindowLength
	if wr.recorder.HasIntervals() {
		length = OutageWindowLength
	}
	due := now.Sub(wr.windowStart) >= length
	wr.mu.Unlock()
	if due {
		wr.closeWindow()
	}
}

// closeWindow closes the recorder's window and appends it to the pending windows. Above
// the limits the oldest windows are dropped together with their covered time, so that
// reports show this time as unobserved and not as time without outages.
func (wr *Writer) closeWindow() {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	w, ok := wr.recorder.CloseWindow()
	wr.windowStart = wr.recorder.last
	if !ok {
		return
	}
	wr.pending = append(wr.pending, w)
	wr.pendingIntervals += len(w.Intervals)
	for len(wr.pending) > MaxPending || (wr.pendingIntervals > maxPendingIntervals && len(wr.pending) > 1) {
		wr.pendingIntervals -= len(wr.pending[0].Intervals)
		wr.log.Error("dropped a ledger window", "zone", w.Zone, "seq", wr.pending[0].Seq, "reason", "too many windows are waiting for the store")
		wr.pending = wr.pending[1:]
		windowsDropped.Inc()
	}
}

// flush writes the pending windows in order and reports whether none is left. Every
// window has a unique key, so a window can be sent again after a lost answer: the guard
// fails, and the existing key shows that the window was written.
func (wr *Writer) flush(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		batch := wr.nextBatch()
		if len(batch) == 0 {
			return true
		}
		stored, err := wr.write(ctx, batch)
		if err != nil {
			wr.log.Warn("writing ledger windows failed", "zone", wr.opts.Zone, "windows", len(batch), "error", err)
			return false
		}
		wr.removeWritten(stored)
	}
}

// write writes a batch and returns the windows that are in the store: all of them, or
// those that were there already if the transaction's guards failed.
func (wr *Writer) write(ctx context.Context, batch []Window) (stored []Window, err error) {
	var txn store.Txn
	for _, w := range batch {
		key := windowKey(w)
		txn.Guards = append(txn.Guards, store.Absent(key))
		txn.Then = append(txn.Then, store.Put(key, encode(w), 0))
	}
	res, err := wr.store.Txn(ctx, txn)
	if err != nil {
		return nil, err
	}
	if res.Succeeded {
		return batch, nil
	}
	for _, w := range batch {
		kv, _, err := wr.store.Get(ctx, windowKey(w))
		if err != nil {
			return nil, err
		}
		if kv != nil {
			stored = append(stored, w)
		}
	}
	return stored, nil
}

func (wr *Writer) nextBatch() []Window {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return append([]Window(nil), wr.pending[:min(len(wr.pending), windowsPerTxn)]...)
}

// removeWritten removes the stored windows from the pending ones. It compares sequence
// numbers, since closeWindow may have dropped windows during the write.
func (wr *Writer) removeWritten(stored []Window) {
	isStored := make(map[uint64]bool, len(stored))
	for _, w := range stored {
		isStored[w.Seq] = true
		windowsWritten.Inc()
	}
	wr.mu.Lock()
	defer wr.mu.Unlock()
	var remaining []Window
	wr.pendingIntervals = 0
	for _, w := range wr.pending {
		if !isStored[w.Seq] {
			remaining = append(remaining, w)
			wr.pendingIntervals += len(w.Intervals)
		}
	}
	wr.pending = remaining
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: every field of windows and corrections can be encoded
	}
	return b
}
