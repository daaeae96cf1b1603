// Package logqueue writes log lines in the background, so that a slow log destination
// never delays a request.
package logqueue

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// Capacity is the maximum number of queued lines, about one second of output on a busy
	// node. Further lines are dropped and counted.
	Capacity = 4096
	// maxWrite is the size in bytes up to which lines are combined into one write. A pipe takes
	// as much in one piece; of a larger write a reader may get only the first part.
	maxWrite = 4096
	// retryInterval is the pause after a write that wrote nothing, as to a full pipe.
	retryInterval = 5 * time.Millisecond
	// closeTimeout is how long Close retries failing writes.
	closeTimeout = 500 * time.Millisecond
)

var dropped = metrics.NewCounter("fennel_log_lines_dropped_total")

// Writer is an io.Writer that queues lines and never blocks. Each line is either written
// completely or counted as dropped.
type Writer struct {
	lines     chan []byte
	closing   chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// New returns a Writer that writes to out from a goroutine of its own.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, Capacity), closing: make(chan struct{})}
	w.wg.Go(func() { w.run(out) })
	return w
}

// run writes the queued lines to out, combining those that are waiting up to maxWrite.
func (w *Writer) run(out io.Writer) {
	var batch []byte
	failed := false
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for range len(w.lines) {
			line = <-w.lines
			if len(batch)+len(line) > maxWrite {
				failed = w.flush(out, batch, failed)
				batch = batch[:0]
			}
			batch = append(batch, line...)
		}
		failed = w.flush(out, batch, failed)
	}
}

// flush writes the batch, unless an earlier write has failed, and reports whether it failed.
func (w *Writer) flush(out io.Writer, batch []byte, failed bool) bool {
	if !failed {
		batch = w.write(out, batch)
		failed = len(batch) > 0
	}
	if failed {
		dropped.Add(bytes.Count(batch, []byte{'\n'}))
	}
	return failed
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

// Write implements io.Writer. Each call must pass exactly one line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		dropped.Inc()
	}
	return len(line), nil
}

// Close writes the queued lines and returns when they are written or have been counted as
// dropped. Write must not be called after Close.
func (w *Writer) Close() {
	w.closeOnce.Do(func() {
		close(w.closing)
		close(w.lines)
	})
	w.wg.Wait()
}
