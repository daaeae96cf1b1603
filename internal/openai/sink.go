package openai

import (
	"net/http"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// sink takes an answer to the caller.
type sink interface {
	// event passes on one event; an error means that the caller is gone.
	event(data []byte, c *chunk) error
	// committed reports whether the caller has received bytes.
	committed() bool
	// restart drops what was taken in; only allowed before committed.
	restart()
	// finish ends a whole answer.
	finish() error
	// abort ends a committed answer with an error's document.
	abort(document []byte)
	close()
}

// streamSink passes events on as they come.
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

// keepAlive writes a comment when a started stream has been still for a while,
// as during a resume, so that nothing between here and the caller gives it up.
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
				_ = s.write([]byte(": keep-alive\n\n")) // a caller gone shows at the next event
			}
			s.mu.Unlock()
		}
	}
}

func (s *streamSink) event(data []byte, _ *chunk) error {
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

// write sends bytes within the write timeout: a caller that takes nothing for
// that long counts as gone, else it would hold its replica slot for good.
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

func (s *streamSink) restart() {}

func (s *streamSink) finish() error {
	return s.event([]byte(engine.DoneMarker), nil)
}

func (s *streamSink) abort(document []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.write(sseEvent(document)) // the caller may be gone
}

func (s *streamSink) close() {
	close(s.stop)
	s.stopped.Wait()
}

// wholeSink collects the answer and sends it in one piece, so that before the
// end any failure can still be told by a status.
type wholeSink struct {
	w    http.ResponseWriter
	path string
	asm  *assembly
	// sent is the document after finish, else nil.
	sent []byte
}

func newWholeSink(w http.ResponseWriter, path string) *wholeSink {
	return &wholeSink{w: w, path: path, asm: newAssembly()}
}

func (s *wholeSink) event(_ []byte, c *chunk) error {
	s.asm.add(c)
	return nil
}

func (s *wholeSink) committed() bool { return s.sent != nil }

func (s *wholeSink) restart() { s.asm = newAssembly() }

func (s *wholeSink) finish() error {
	doc, err := s.asm.document(s.path)
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

func (s *wholeSink) abort([]byte) {}

func (s *wholeSink) close() {}
