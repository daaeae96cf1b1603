package clock

import (
	"context"
	"sync"
	"time"
)

// slicesPerTimeout is the number of equal parts in which a Watchdog measures its timeout.
const slicesPerTimeout = 8

// Watchdog calls a function once the process has run for a timeout without Reset.
//
// A process that was stopped, or had no processor, wakes with all timers due and with data in its
// sockets that it has not read. An ordinary timer takes the pause for a silence of the peers. A
// Watchdog measures its timeout in slices, and leaves out those that end late.
type Watchdog struct {
	f     func()
	slice time.Duration

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	// left is the number of slices left, 0 once the watchdog has fired or was stopped. excused is the
	// number of late slices that may still be left out, so that a process that is always late times
	// out all the same.
	left, excused int
}

// NewWatchdog starts a watchdog that calls f in a goroutine of its own.
func NewWatchdog(timeout time.Duration, f func()) *Watchdog {
	w := &Watchdog{f: f, slice: timeout / slicesPerTimeout, left: slicesPerTimeout, excused: slicesPerTimeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.slice, w.endSlice)
	w.startSlice(time.Now())
	return w
}

// Reset starts the timeout again, unless the watchdog has fired or was stopped.
func (w *Watchdog) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left > 0 {
		w.left, w.excused = slicesPerTimeout, slicesPerTimeout
		w.startSlice(time.Now())
	}
}

// Stop ends the watchdog. A call of its function may be under way.
func (w *Watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = 0
	w.timer.Stop()
}

func (w *Watchdog) endSlice() {
	if w.countSlice(time.Now()) {
		w.f()
	}
}

// countSlice counts the slice that has ended and starts the next one. It reports whether it was the
// last.
func (w *Watchdog) countSlice(now time.Time) (last bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := now.Sub(w.due) > w.slice/2
	switch {
	case w.left == 0 || now.Before(w.due): // stopped or reset meanwhile
		return false
	case late && w.excused > 0:
		w.excused--
	default:
		w.left--
	}
	if w.left == 0 {
		return true
	}
	w.startSlice(now)
	return false
}

// startSlice starts the next slice. The caller holds w.mu.
func (w *Watchdog) startSlice(now time.Time) {
	w.due = now.Add(w.slice)
	w.timer.Reset(w.slice)
}

// WithRunningTimeout returns a context that ends with ctx, or once the process has run for the
// timeout. Unlike that of context.WithTimeout, it does not end while answers that arrived during a
// pause of the process wait to be read.
func WithRunningTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := NewWatchdog(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		w.Stop()
		cancel(nil)
	}
}
