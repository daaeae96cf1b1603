package logqueue_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/logqueue"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := logqueue.New(&out)
	for i := range 100 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 100)
	require.Equal(t, "line 99", lines[99])
}

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) { <-w.unblock; return len(b), nil }

// Guards against requests that wait for the log: when its destination blocks, Write
// returns at once and lines beyond the capacity are dropped.
func TestBlockedDestinationDoesNotBlockWrite(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := logqueue.New(out)
	for range 3 * logqueue.Capacity {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(out.unblock)
	w.Close()
}
