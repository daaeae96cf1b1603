package engine

import (
	"io"
	"sync/atomic"
	"time"
)

// watchdog ends an exchange whose connection delivers no bytes for too long.
//
// What goes wrong: a connection stays open for good but passes nothing, so a
// read on it would block until the caller gives up; TCP keepalive notices only
// after minutes, or never when a middlebox answers it. It is armed only while a
// read waits, so a slow caller does not make the engine look silent.
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
	body io.Reader
	dog  *watchdog
	gap  time.Duration
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.dog.arm(b.gap)
	n, err := b.body.Read(p)
	b.dog.disarm()
	return n, err
}
