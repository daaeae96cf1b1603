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
		refuse(w, http.StatusBadRequest, true, err.Error())
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	if id == "" {
		id = newBoot()
	}
	w.Header().Set(engine.HeaderRequestID, id)
	after, resume, err := resumePoint(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, true, err.Error())
		return
	}
	if resume && r.Header.Get(engine.HeaderContinue) != "1" {
		s.resume(w, r, id, after)
		return
	}
	s.accept(w, r, id, body, after)
}

// resumePoint returns the last event that the caller has and whether it names one.
func resumePoint(r *http.Request) (after int, resume bool, err error) {
	text := r.Header.Get(engine.HeaderResumeAfter)
	if text == "" {
		return 0, false, nil
	}
	after, err = strconv.Atoi(text)
	if err == nil && after < 0 {
		err = fmt.Errorf("%s: negative", engine.HeaderResumeAfter)
	}
	return after, true, err
}

// resume goes on with a run whose connection was lost.
func (s *Server) resume(w http.ResponseWriter, r *http.Request, id string, after int) {
	s.mu.Lock()
	run := s.runs[id]
	faults := s.takeStreamFaultsLocked()
	s.mu.Unlock()
	if run == nil || after > run.answer.eventCount() || after < run.first-1 {
		refuse(w, http.StatusNotFound, false, "no such request to resume")
		return
	}
	s.stream(w, r, run, after, faults)
}

// accept begins a run, or refuses it as not started.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, id string, body []byte, after int) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		refuse(w, http.StatusBadRequest, true, "body is not JSON: "+err.Error())
		return
	}
	ans := newAnswer(r.URL.Path, id, req)
	if reason := s.cannotContinue(ans, after); reason != "" {
		refuse(w, http.StatusBadRequest, true, reason)
		return
	}
	run := newRun(id, ans, body, after+1)
	run.priority = priorityOf(r)
	s.mu.Lock()
	reason := s.refusalLocked(r, id, time.Now())
	if reason == "" && !s.startLocked(run) {
		reason = "full"
	}
	faults := Faults{}
	if reason == "" {
		faults = s.takeStreamFaultsLocked()
	}
	s.mu.Unlock()
	if reason != "" {
		// A request whose id runs here already did start, so nothing is promised for it.
		refuse(w, http.StatusServiceUnavailable, reason != reasonRunning, reason)
		return
	}
	s.stream(w, r, run, after, faults)
}

func (s *Server) cannotContinue(a *answer, after int) (reason string) {
	if after == 0 {
		return ""
	}
	if !s.opts.CanContinue {
		return "this engine cannot continue another replica's stream"
	}
	made := min(after, len(a.tokens))
	if after > len(a.tokens)+1 || strings.Join(a.tokens[:made], "") != a.req.Prefix {
		return "fennel_prefix does not fit the event to continue after"
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

const reasonRunning = "request id is running already"

// refusalLocked returns why this engine does not start the request, or "".
func (s *Server) refusalLocked(r *http.Request, id string, now time.Time) string {
	generation := strconv.FormatInt(s.assignment.Generation, 10)
	switch {
	case s.closedLocked():
		return "stopping"
	case s.runs[id] != nil:
		return reasonRunning
	case s.faults.Refuse:
		return "told to refuse"
	case s.assignment.Role != engine.RoleServing:
		return "not a serving vm"
	case r.Header.Get(engine.HeaderReplica) != string(s.assignment.Replica),
		r.Header.Get(engine.HeaderGeneration) != generation:
		return "not in that replica and generation"
	case !s.loadedLocked(now):
		return "not loaded"
	case !s.wholeLocked(now):
		return "a member is missing"
	}
	return ""
}

// takeStreamFaultsLocked returns the faults for the next stream and counts it.
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
		MuteLoad: f.MuteLoad, CrashMarker: f.CrashMarker,
	}
}

// stream sends the run's events after the given one until its end.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, run *run, after int, f Faults) {
	run.attach()
	defer run.detach(s.opts.ResumeGrace, func() { s.forget(run) })
	s.mu.Lock()
	gone := s.gone
	s.mu.Unlock()
	out := &eventWriter{w: w, rc: http.NewResponseController(w), run: run, faults: f, gone: gone}
	out.writeHead(s.opts)
	for next := after + 1; ; {
		made, state, changed := run.view()
		for ; next <= made; next++ {
			s.awaitThaw(r)
			if out.endsBefore(next, r) || !out.send(next) {
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

// awaitChange waits for the next event and keeps the stream alive meanwhile;
// false when the caller is gone.
func (s *Server) awaitChange(r *http.Request, out *eventWriter, changed <-chan struct{}) bool {
	keepAlive := time.NewTimer(s.opts.MaxGap / 2)
	defer keepAlive.Stop()
	select {
	case <-changed:
	case <-keepAlive.C:
		s.awaitThaw(r)
		out.comment()
	case <-out.gone:
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

// eventWriter writes one connection's share of a run, with its faults.
type eventWriter struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	run    *run
	faults Faults
	gone   <-chan struct{} // closed when the engine crashes
}

func (o *eventWriter) writeHead(opts Options) {
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

// endsBefore ends the stream early where a fault says so.
func (o *eventWriter) endsBefore(next int, r *http.Request) bool {
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
		case <-o.gone:
			panic(http.ErrAbortHandler)
		}
	}
	return false
}

// send writes event n, or what a fault makes of it; false when the connection is gone.
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
		data = o.swapped(n)
	}
	if _, err := fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", n, data); err != nil {
		return false
	}
	return o.rc.Flush() == nil
}

// swapped is the same event of another request's answer.
func (o *eventWriter) swapped(n int) string {
	other := *o.run.answer
	other.id = "chatcmpl-swapped"
	other.req.Seed++
	other.tokens = other.req.tokens()
	return other.data(n)
}

func (o *eventWriter) comment() {
	_, _ = io.WriteString(o.w, ": keep-alive\n\n") // a lost peer shows in the request's context
	_ = o.rc.Flush()
}
