package standinengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

const (
	maxBody         = 8 << 20
	defaultPriority = 5
)

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, true, err.Error())
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	if id == "" {
		id = randomID()
	}
	w.Header().Set(engine.HeaderRequestID, id)
	after, resume, err := resumePoint(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, true, err.Error())
		return
	}
	if resume && r.Header.Get(engine.HeaderContinue) != "1" {
		s.resume(w, r, id, after)
		return
	}
	s.startRun(w, r, id, body, after)
}

// resumePoint returns the number of the last event that the client has received,
// and whether the request has the header that gives it.
func resumePoint(r *http.Request) (after int, resume bool, err error) {
	text := r.Header.Get(engine.HeaderResumeAfter)
	if text == "" {
		return 0, false, nil
	}
	after, err = strconv.Atoi(text)
	if err == nil && after < 0 {
		err = fmt.Errorf("%s must not be negative", engine.HeaderResumeAfter)
	}
	return after, true, err
}

// resume attaches the client to a run whose connection was lost.
func (s *Server) resume(w http.ResponseWriter, r *http.Request, id string, after int) {
	s.mu.Lock()
	run := s.runs[id]
	faults := s.takeStreamFaultsLocked()
	s.mu.Unlock()
	if run == nil || after > run.answer.eventCount() || after < run.firstEvent-1 {
		writeError(w, http.StatusNotFound, false, "no request to resume with this ID and event number")
		return
	}
	s.stream(w, r, run, after, faults)
}

// startRun starts a run, or rejects the request as not started.
func (s *Server) startRun(w http.ResponseWriter, r *http.Request, id string, body []byte, after int) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		writeError(w, http.StatusBadRequest, true, "body is not JSON: "+err.Error())
		return
	}
	ans := newAnswer(r.URL.Path, id, req)
	if reason := s.continueRefusal(ans, after); reason != "" {
		writeError(w, http.StatusBadRequest, true, reason)
		return
	}
	run := newRun(id, ans, body, after+1)
	run.priority = priorityOf(r)
	s.mu.Lock()
	reason := s.refusalLocked(r, id, time.Now())
	if reason == "" && !s.startLocked(run) {
		reason = "batch and queue are full"
	}
	faults := Faults{}
	if reason == "" {
		faults = s.takeStreamFaultsLocked()
	}
	s.mu.Unlock()
	if reason != "" {
		// A request whose ID is running already has been started, so the response must
		// not say that it was not.
		writeError(w, http.StatusServiceUnavailable, reason != reasonRunning, reason)
		return
	}
	s.stream(w, r, run, after, faults)
}

// continueRefusal returns why the answer cannot be continued after the given event,
// or "".
func (s *Server) continueRefusal(a *answer, after int) (reason string) {
	if after == 0 {
		return ""
	}
	if !s.opts.CanContinue {
		return "this engine cannot continue another replica's stream"
	}
	sent := min(after, len(a.tokens))
	if after > len(a.tokens)+1 || strings.Join(a.tokens[:sent], "") != a.req.Prefix {
		return "fennel_prefix does not match the event to continue after"
	}
	return ""
}

func priorityOf(r *http.Request) int {
	p, err := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if err != nil {
		return defaultPriority
	}
	return p
}

const reasonRunning = "a request with this ID is already running"

// refusalLocked returns why the engine cannot start the request, or "".
func (s *Server) refusalLocked(r *http.Request, id string, now time.Time) string {
	generation := strconv.FormatInt(s.assignment.Generation, 10)
	switch {
	case s.closedLocked():
		return "engine is shutting down"
	case s.runs[id] != nil:
		return reasonRunning
	case s.faults.Refuse:
		return "refused by an injected fault"
	case s.assignment.Role != engine.RoleServing:
		return "VM does not serve a replica"
	case r.Header.Get(engine.HeaderReplica) != string(s.assignment.Replica),
		r.Header.Get(engine.HeaderGeneration) != generation:
		return "VM is not assigned to that replica and generation"
	case !s.loadedLocked(now):
		return "model is not loaded"
	case !s.healthyLocked(now):
		return "a member of the replica is missing"
	}
	return ""
}

// takeStreamFaultsLocked returns the faults for the next stream and decrements the
// number of streams left to affect.
func (s *Server) takeStreamFaultsLocked() Faults {
	f := s.faults
	if f.Streams == 0 {
		return f
	}
	s.faults.Streams--
	if s.faults.Streams == 0 {
		s.faults = s.faults.withoutStreamFaults()
	}
	return f
}

func (f Faults) withoutStreamFaults() Faults {
	return Faults{
		Refuse: f.Refuse, Freeze: f.Freeze, SlowBy: f.SlowBy, ReportIdle: f.ReportIdle,
		FreezeLoadReport: f.FreezeLoadReport, CrashMarker: f.CrashMarker,
	}
}

// stream sends the run's events after the given one until the run ends.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, run *run, after int, f Faults) {
	run.attach()
	defer run.detach(s.opts.ResumeGrace, func() { s.discard(run) })
	s.mu.Lock()
	crashSignal := s.crashSignal
	s.mu.Unlock()
	out := &eventWriter{w: w, rc: http.NewResponseController(w), run: run, faults: f, crashSignal: crashSignal}
	out.writeHeader(s.opts)
	for next := after + 1; ; {
		last, state, changed := run.snapshot()
		for ; next <= last; next++ {
			s.awaitThaw(r)
			if out.endBefore(next, r) || !out.send(next) {
				return
			}
		}
		switch state {
		case runDone:
			return
		case runAborted:
			panic(http.ErrAbortHandler)
		}
		if !s.awaitChange(r, out, changed) {
			return
		}
	}
}

// awaitChange waits for the run to change, or sends a keep-alive comment after half
// of MaxGap. It returns false when the client has disconnected.
func (s *Server) awaitChange(r *http.Request, out *eventWriter, changed <-chan struct{}) bool {
	keepAlive := time.NewTimer(s.opts.MaxGap / 2)
	defer keepAlive.Stop()
	select {
	case <-changed:
	case <-keepAlive.C:
		s.awaitThaw(r)
		out.writeKeepAlive()
	case <-out.crashSignal:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return false
	}
	return true
}

func (s *Server) awaitThaw(r *http.Request) {
	select {
	case <-s.thawed():
	case <-r.Context().Done():
	case <-s.done:
	}
}

// eventWriter writes a run's events to one connection and injects the stream faults.
type eventWriter struct {
	w           http.ResponseWriter
	rc          *http.ResponseController
	run         *run
	faults      Faults
	crashSignal <-chan struct{} // closed on a crash
}

func (o *eventWriter) writeHeader(opts Options) {
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(engine.HeaderMaxGap, strconv.FormatInt(opts.MaxGap.Milliseconds(), 10))
	if opts.CanContinue {
		h.Set(engine.HeaderCanContinue, "1")
	}
	if o.faults.SwapEcho {
		h.Set(engine.HeaderRequestID, "swapped-"+o.run.id)
	}
	o.w.WriteHeader(http.StatusOK)
	_ = o.rc.Flush()
}

// endBefore reports whether a fault ends the stream before the next event. It
// aborts the connection or stalls if that is the fault.
func (o *eventWriter) endBefore(next int, r *http.Request) bool {
	sent := next - 1
	switch {
	case o.faults.TruncateAfter > 0 && sent >= o.faults.TruncateAfter:
		return true
	case o.faults.AbortAfter > 0 && sent >= o.faults.AbortAfter:
		panic(http.ErrAbortHandler)
	case o.faults.StallAfter > 0 && sent >= o.faults.StallAfter:
		select {
		case <-r.Context().Done():
			return true
		case <-o.crashSignal:
			panic(http.ErrAbortHandler)
		}
	}
	return false
}

// send writes event n as modified by the faults. It returns false when the
// connection is lost.
func (o *eventWriter) send(n int) bool {
	switch n {
	case o.faults.Skip, o.faults.Reorder:
		return true
	case o.faults.Reorder + 1:
		if o.faults.Reorder > 0 {
			return o.write(n) && o.write(n-1)
		}
	case o.faults.Repeat:
		if !o.write(n) {
			return false
		}
	}
	return o.write(n)
}

func (o *eventWriter) write(n int) bool {
	data := o.run.answer.data(n)
	if o.faults.SwapEcho || (o.faults.SwapFrom > 0 && n >= o.faults.SwapFrom) {
		data = o.swappedData(n)
	}
	if _, err := fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", n, data); err != nil {
		return false
	}
	return o.rc.Flush() == nil
}

// swappedData returns event n of another request's answer.
func (o *eventWriter) swappedData(n int) string {
	other := *o.run.answer
	other.id = "chatcmpl-swapped"
	other.req.Seed++
	other.tokens = other.req.tokens()
	return other.data(n)
}

func (o *eventWriter) writeKeepAlive() {
	_, _ = io.WriteString(o.w, ": keep-alive\n\n") // a disconnect cancels the request's context
	_ = o.rc.Flush()
}
