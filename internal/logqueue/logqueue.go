// Package logqueue writes log lines in the background, so that a slow log destination
// never delays a request.
package logqueue

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Capacity is the maximum number of queued lines, about one second of output on a busy
// node. Further lines are dropped and counted.
const Capacity = 4096

var dropped = metrics.NewCounter("fennel_log_lines_dropped_total")

// Writer is an io.Writer that queues lines and never blocks.
type Writer struct {
	lines     chan []byte
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// New returns a Writer that writes to out from a goroutine of its own.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, Capacity)}
	w.wg.Go(func() { w.run(out) })
	return w
}

// run writes the queued lines to out, combining all that are waiting into one call.
func (w *Writer) run(out io.Writer) {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for range len(w.lines) {
			batch = append(batch, <-w.lines...)
		}
		_, _ = out.Write(batch) // a failure to write the log cannot be reported anywhere
	}
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

// Close writes the queued lines and returns when they are written. Write must not be
// called after Close.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	w.wg.Wait()
}
