package logqueue_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
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

// Guards against a process that panics at its end because calls that it breaks off still log.
func TestLineAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	w := logqueue.New(&out)
	w.Close()
	n, err := w.Write([]byte("line\n"))
	require.NoError(t, err)
	require.Equal(t, len("line\n"), n)
	require.Empty(t, out.String())
}

// gate is a buffer whose writes wait for open.
type gate struct {
	bytes.Buffer
	open chan struct{}
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(b)
}

// Guards against a log that lacks lines and does not say so.
func TestLogSaysHowManyLinesWereDropped(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	w := logqueue.New(out)
	const written = 2 * logqueue.Capacity
	for range written {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(out.open)
	w.Close()
	kept := strings.Count(out.String(), "line\n")
	require.True(t, strings.Contains(out.String(), fmt.Sprintf("msg=\"log lines dropped\" count=%d\n", written-kept)))
}

// shortWriter writes at most limit bytes per call, and fails every second call without
// writing anything, like a full pipe.
type shortWriter struct {
	bytes.Buffer
	limit int
	calls int
}

func (w *shortWriter) Write(b []byte) (int, error) {
	w.calls++
	if w.calls%2 == 0 {
		return 0, syscall.EAGAIN
	}
	n, err := w.Buffer.Write(b[:min(len(b), w.limit)])
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return n, err
}

// Guards against a line that is cut and merged with the next one after a short write.
func TestShortWritesKeepLinesWhole(t *testing.T) {
	out := &shortWriter{limit: 700}
	w := logqueue.New(out)
	var want strings.Builder
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	w.Close()
	require.Equal(t, want.String(), out.String())
}

// failingWriter fails after limit bytes.
type failingWriter struct {
	bytes.Buffer
	limit int
}

func (w *failingWriter) Write(b []byte) (int, error) {
	n, _ := w.Buffer.Write(b[:min(len(b), w.limit-w.Len())])
	if n < len(b) {
		return n, syscall.EPIPE
	}
	return n, nil
}

// Guards against lines that are lost without being counted when the destination fails.
func TestLinesThatAreNotWrittenAreCounted(t *testing.T) {
	droppedLines := metrics.GetOrCreateCounter("fennel_log_lines_dropped_total")
	before := droppedLines.Get()
	out := &failingWriter{limit: 25}
	w := logqueue.New(out)
	for i := range 10 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	w.Close()
	written := strings.Count(out.String(), "\n")
	require.EqualValues(t, 10-written, droppedLines.Get()-before)
}

// Guards against lines that are cut or run into each other because the log's reader is slower than its writer.
func TestLinesAreWholeThroughAFullPipe(t *testing.T) {
	for name, flags := range map[string]int{"blocking": 0, "not blocking": syscall.O_NONBLOCK} {
		t.Run(name, func(t *testing.T) {
			const lines, length = 3000, 400 // many times what a pipe holds
			var fds [2]int
			require.NoError(t, syscall.Pipe2(fds[:], flags))
			reader, out := os.NewFile(uintptr(fds[0]), "reader"), os.NewFile(uintptr(fds[1]), "writer")
			w := logqueue.New(out)
			received := make(chan []string)
			go func() {
				var got []string
				scanner := bufio.NewScanner(reader)
				for scanner.Scan() {
					got = append(got, scanner.Text())
					if len(got)%100 == 0 {
						time.Sleep(time.Millisecond)
					}
				}
				received <- got
			}()
			for i := range lines {
				_, err := fmt.Fprintf(w, "%0*d\n", length, i)
				require.NoError(t, err)
			}
			w.Close()
			require.NoError(t, out.Close())
			for i, line := range <-received {
				require.Equal(t, fmt.Sprintf("%0*d", length, i), line)
			}
			require.NoError(t, reader.Close())
		})
	}
}
