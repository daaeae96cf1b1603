package engine

import (
	"io"
	"sync/atomic"
	"time"
)

// watchdog cancels an exchange whose connection delivers no bytes for too long.
//
// A connection can stay open but deliver nothing, and a read on it would block until
// the caller disconnects: TCP keepalive detects this only after minutes, or never if a
// middlebox responds to it. The watchdog is armed only while a read waits, so that a
// slow caller is not mistaken for a silent engine.
type watchdog struct {
	timer *time.Timer
	fired atomic.Bool
}

func newWatchdog(cancel func()) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(time.Hour, func() {
		w.fired.Store(true)
		cancel()
	})
	w.timer.Stop()
	return w
}

func (w *watchdog) arm(d time.Duration) { w.timer.Reset(d) }
func (w *watchdog) disarm()             { w.timer.Stop() }

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
