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

// Defaults and bounds of a Keeper.
const (
	tickEvery = time.Second
	// OutageWindowLength is a window's length while something is down or stranded,
	// QuietWindow otherwise: what a node that dies takes along with it.
	OutageWindowLength = time.Minute
	WindowLength    = 5 * time.Minute
	// MaxPending bounds the windows that wait for the store: a day of eventful ones.
	MaxPending = 1440
	// maxPendingIntervals bounds what they hold, at about 350 bytes each.
	maxPendingIntervals = 50_000
	windowsPerTxn       = 16
	writeTimeout        = 2 * time.Second
	maxRetryWait        = 30 * time.Second
)

var (
	windowsWritten = metrics.NewCounter("fennel_ledger_windows_written_total")
	windowsDropped = metrics.NewCounter("fennel_ledger_windows_dropped_total")
)

// Writer runs a Recorder on the clock and brings its windows to the store.
type Writer struct {
	store store.Store
	opts  RecorderOptions
	log   *slog.Logger

	mu       sync.Mutex
	recorder *Recorder
	cutAt    time.Time
	pending  []Window
	held     int // intervals in pending
}

// NewWriter starts observing now; Run does the rest.
func NewWriter(s store.Store, opts RecorderOptions, log *slog.Logger) *Writer {
	now := time.Now()
	return &Writer{store: s, opts: opts, log: log, recorder: NewRecorder(opts, now), cutAt: now}
}

// Record takes an event in. Events of one replica come in order.
func (k *Writer) Record(ev Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recorder.Apply(ev)
}

// Run observes until ctx ends and then writes what is left, within the timeout
// of one write.
func (k *Writer) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	wait, next := tickEvery, time.Time{}
	for {
		select {
		case <-ctx.Done():
			k.cut()
			k.flush(context.WithoutCancel(ctx))
			return
		case now := <-tick.C:
			k.tick(now)
			if now.Before(next) {
				continue
			}
			if k.flush(ctx) {
				wait, next = tickEvery, time.Time{}
			} else {
				wait = min(2*wait, maxRetryWait)
				next = now.Add(wait)
			}
		}
	}
}

// Pending returns how many windows wait for the store.
func (k *Writer) Pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.pending)
}

func (k *Writer) tick(now time.Time) {
	k.mu.Lock()
	k.recorder.Tick(now)
	length := WindowLength
	if k.recorder.HasIntervals() {
		length = OutageWindowLength
	}
	due := now.Sub(k.cutAt) >= length
	k.mu.Unlock()
	if due {
		k.cut()
	}
}

// cut moves the recorder's window to the pending ones. When too much waits, the
// oldest windows are dropped whole: their time then shows as unobserved, which
// is the truth about what can still be accounted for.
func (k *Writer) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, ok := k.recorder.CloseWindow()
	k.cutAt = k.recorder.last
	if !ok {
		return
	}
	k.pending = append(k.pending, w)
	k.held += len(w.Intervals)
	for len(k.pending) > MaxPending || (k.held > maxPendingIntervals && len(k.pending) > 1) {
		k.held -= len(k.pending[0].Intervals)
		k.log.Error("ledger window dropped", "zone", w.Zone, "seq", k.pending[0].Seq, "reason", "the store is down for too long")
		k.pending = k.pending[1:]
		windowsDropped.Inc()
	}
}

// flush writes the pending windows in order and reports whether none is left. A
// window's key is its own, so that one whose answer was lost can be sent again:
// the guard fails, and its presence shows that it has been written.
func (k *Writer) flush(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		batch := k.head()
		if len(batch) == 0 {
			return true
		}
		there, err := k.write(ctx, batch)
		if err != nil {
			k.log.Warn("ledger not written", "zone", k.opts.Zone, "windows", len(batch), "error", err)
			return false
		}
		k.written(there)
	}
}

// write puts all windows of a batch, or finds which of them are in the store already.
func (k *Writer) write(ctx context.Context, batch []Window) (there []Window, err error) {
	var txn store.Txn
	for _, w := range batch {
		key := windowKey(w)
		txn.Guards = append(txn.Guards, store.Absent(key))
		txn.Then = append(txn.Then, store.Put(key, encode(w), 0))
	}
	res, err := k.store.Txn(ctx, txn)
	if err != nil {
		return nil, err
	}
	if res.Succeeded {
		return batch, nil
	}
	for _, w := range batch {
		kv, _, err := k.store.Get(ctx, windowKey(w))
		if err != nil {
			return nil, err
		}
		if kv != nil {
			there = append(there, w)
		}
	}
	return there, nil
}

func (k *Writer) head() []Window {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Window(nil), k.pending[:min(len(k.pending), windowsPerTxn)]...)
}

// written removes the windows that are in the store. While they were written,
// older ones may have been dropped.
func (k *Writer) written(there []Window) {
	done := make(map[uint64]bool, len(there))
	for _, w := range there {
		done[w.Seq] = true
		windowsWritten.Inc()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var left []Window
	k.held = 0
	for _, w := range k.pending {
		if !done[w.Seq] {
			left = append(left, w)
			k.held += len(w.Intervals)
		}
	}
	k.pending = left
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // windows and corrections hold nothing that fails to encode
	}
	return b
}
