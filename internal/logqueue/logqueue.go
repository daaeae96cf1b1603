// Package logqueue writes log lines in the background, so that a slow log destination
// never delays a request.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// Capacity is the maximum number of queued lines, about one second of output on a busy
	// node. Further lines are dropped and counted.
	Capacity = 4096
	// retryInterval is the pause after a write that wrote nothing, as to a full pipe.
	retryInterval = 5 * time.Millisecond
	// closeTimeout is how long Close retries failing writes.
	closeTimeout = 500 * time.Millisecond
)

var dropped = metrics.NewCounter("fennel_log_lines_dropped_total")

// Writer is an io.Writer that queues lines and never blocks. Each line is either written
// completely or counted as dropped.
type Writer struct {
	lines   chan []byte
	closing chan struct{}
	wg      sync.WaitGroup
	// lost is the number of lines dropped since the last line that says so.
	lost atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// New returns a Writer that writes to out from a goroutine of its own.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, Capacity), closing: make(chan struct{})}
	w.wg.Go(func() { w.run(out) })
	return w
}

// run writes the queued lines to out, combining all that are waiting into one call.
func (w *Writer) run(out io.Writer) {
	var batch []byte
	failed := false
	for line := range w.lines {
		batch = w.appendLost(batch[:0])
		batch = append(batch, line...)
		for range len(w.lines) {
			batch = append(batch, <-w.lines...)
		}
		if !failed {
			batch = w.write(out, batch)
			failed = len(batch) > 0
		}
		if failed {
			dropped.Add(bytes.Count(batch, []byte{'\n'}))
		}
	}
}

// appendLost appends a line that says how many lines are missing, if any are.
func (w *Writer) appendLost(batch []byte) []byte {
	lost := w.lost.Swap(0)
	if lost == 0 {
		return batch
	}
	return fmt.Appendf(batch, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n", time.Now().Format(time.RFC3339Nano), lost)
}

// write writes the batch and returns what could not be written before Close gave up. A
// write that stops early is continued where it stopped: the rest of a line must not be
// lost, or the next line would be appended to its beginning.
func (w *Writer) write(out io.Writer, batch []byte) (unwritten []byte) {
	var giveUp <-chan time.Time
	closing := w.closing
	for len(batch) > 0 {
		n, _ := out.Write(batch) // a failure to write the log cannot be reported anywhere
		batch = batch[n:]
		if n > 0 {
			continue
		}
		select {
		case <-time.After(retryInterval):
		case <-closing:
			closing, giveUp = nil, time.After(closeTimeout)
		case <-giveUp:
			return batch
		}
	}
	return nil
}

// Write implements io.Writer. Each call must pass exactly one line. After Close, the line is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.enqueue(append([]byte(nil), line...)) {
		w.lost.Add(1)
		dropped.Inc()
	}
	return len(line), nil
}

// enqueue reports whether there was room for the line.
func (w *Writer) enqueue(line []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return false
	}
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and returns when they are written or have been counted as
// dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
		close(w.lines)
	}
	w.mu.Unlock()
	w.wg.Wait()
}
