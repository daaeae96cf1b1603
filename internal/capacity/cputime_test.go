package capacity_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cpuTime returns the user and system time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
