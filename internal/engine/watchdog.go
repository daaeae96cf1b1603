package engine

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxTimerDelay is how late a watchdog's timer may be. A later one shows that this process had
	// no processor, and nothing about the connection.
	maxTimerDelay = 50 * time.Millisecond
	// lateReadGrace is the time after such a delay in which what has arrived is read.
	lateReadGrace = 200 * time.Millisecond
)

// watchdog cancels an exchange whose connection delivers no bytes for too long.
//
// A connection can stay open but deliver nothing, and a read on it would block until
// the caller disconnects: TCP keepalive detects this only after minutes, or never if a
// middlebox responds to it. The watchdog is armed only while a read waits, so that a
// slow caller is not mistaken for a silent engine.
type watchdog struct {
	cancel func()
	timer  *time.Timer
	fired  atomic.Bool

	mu  sync.Mutex
	due time.Time // zero while disarmed
}

func newWatchdog(cancel func()) *watchdog {
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(time.Hour, w.expire)
	w.timer.Stop()
	return w
}

func (w *watchdog) arm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armLocked(d)
}

func (w *watchdog) armLocked(d time.Duration) {
	w.due = time.Now().Add(d)
	w.timer.Reset(d)
}

func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Time{}
	w.timer.Stop()
}

// expire is called when the timer has fired, which may be after it was armed anew or disarmed.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch late := time.Since(w.due); {
	case w.due.IsZero() || late < 0:
	case late > maxTimerDelay:
		w.armLocked(lateReadGrace)
	default:
		w.fired.Store(true)
		w.cancel()
	}
}

// watchedBody arms the watchdog around each read.
type watchedBody struct {
	body     io.Reader
	watchdog *watchdog
	gap      time.Duration
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.watchdog.arm(b.gap)
	n, err := b.body.Read(p)
	b.watchdog.disarm()
	return n, err
}
