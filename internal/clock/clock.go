// Package clock reads a clock that keeps counting while the VM is suspended, and provides
// cancelable waits, periodic calls and retry backoff.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM booted, including the time it was suspended.
//
// The monotonic clock of package time stops while a VM is suspended, and the wall
// clock can be set. A lease holder that measures its lease by either could resume,
// take an expired lease for valid, and act concurrently with its successor.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists on every Linux version that Go supports
	}
	return time.Duration(ts.Nano())
}
