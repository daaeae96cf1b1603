package openai

import (
	"net/http"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// sink delivers a response to the caller.
type sink interface {
	// writeEvent delivers one event; an error means that the caller has disconnected.
	writeEvent(data []byte, c *chunk) error
	// committed reports whether any part of the response has been written.
	committed() bool
	// reset discards the events so far; only allowed before the response is committed.
	reset()
	// finish completes the response.
	finish() error
	// abort ends a committed response with an error document.
	abort(document []byte)
	close()
}

// streamSink forwards events as they arrive.
type streamSink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration

	mu      sync.Mutex
	started bool
	last    time.Time
	stop    chan struct{}
	stopped sync.WaitGroup
}

func newStreamSink(to call.Caller) *streamSink {
	s := &streamSink{w: to.W, rc: http.NewResponseController(to.W), timeout: to.WriteTimeout, stop: make(chan struct{})}
	s.stopped.Go(func() { s.keepAlive(to.KeepAlive) })
	return s
}

// keepAlive writes a comment after a pause in a started stream, for example during a
// resume, so that no proxy on the way to the caller times out the connection.
func (s *streamSink) keepAlive(every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			if s.started && now.Sub(s.last) >= every {
				_ = s.write([]byte(": keep-alive\n\n")) // writeEvent reports a disconnected caller
			}
			s.mu.Unlock()
		}
	}
}

func (s *streamSink) writeEvent(data []byte, _ *chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started = true
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set(call.HeaderRun, string(fennelerr.Ran))
		s.w.WriteHeader(http.StatusOK)
	}
	return s.write(sseEvent(data))
}

func sseEvent(data []byte) []byte {
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	return append(buf, "\n\n"...)
}

// write sends bytes within the write timeout. A caller that reads nothing for that long
// is treated as disconnected; it would otherwise occupy its replica slot indefinitely.
func (s *streamSink) write(p []byte) error {
	s.last = time.Now()
	_ = s.rc.SetWriteDeadline(s.last.Add(s.timeout)) // not supported by test recorders
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *streamSink) committed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

func (s *streamSink) reset() {}

func (s *streamSink) finish() error {
	return s.writeEvent([]byte(engine.DoneMarker), nil)
}

func (s *streamSink) abort(document []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.write(sseEvent(document)) // the caller may have disconnected
}

func (s *streamSink) close() {
	close(s.stop)
	s.stopped.Wait()
}

// bufferedSink collects the response and sends it at once, so that any failure before
// the end can still be reported by the HTTP status.
type bufferedSink struct {
	w    http.ResponseWriter
	path string
	acc  *accumulator
	// sent is the document that finish wrote; nil before.
	sent []byte
}

func newBufferedSink(w http.ResponseWriter, path string) *bufferedSink {
	return &bufferedSink{w: w, path: path, acc: newAccumulator()}
}

func (s *bufferedSink) writeEvent(_ []byte, c *chunk) error {
	s.acc.add(c)
	return nil
}

func (s *bufferedSink) committed() bool { return s.sent != nil }

func (s *bufferedSink) reset() { s.acc = newAccumulator() }

func (s *bufferedSink) finish() error {
	doc, err := s.acc.document(s.path)
	if err != nil {
		return err
	}
	s.sent = doc
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(call.HeaderRun, string(fennelerr.Ran))
	_, err = s.w.Write(doc)
	return err
}

func (s *bufferedSink) abort([]byte) {}

func (s *bufferedSink) close() {}
