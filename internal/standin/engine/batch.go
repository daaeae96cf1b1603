package standinengine

import (
	"strings"
	"time"
)

// startLocked registers the run and starts or queues it. It returns false when
// both the batch and the queue are full. The caller holds s.mu.
func (s *Server) startLocked(r *run) bool {
	if s.running >= s.opts.MaxRunning && len(s.waiting) >= s.opts.MaxWaiting {
		return false
	}
	s.arrivals++
	r.arrived = s.arrivals
	s.runs[r.id] = r
	s.runsByID[r.id]++
	s.runsByBody[bodyKey(r.body)]++
	s.waiting = append(s.waiting, r)
	s.fillBatchLocked()
	return true
}

// fillBatchLocked moves waiting runs into the batch by priority, then by arrival.
func (s *Server) fillBatchLocked() {
	for s.running < s.opts.MaxRunning && len(s.waiting) > 0 {
		best := 0
		for i, r := range s.waiting {
			if runsBefore(r, s.waiting[best]) {
				best = i
			}
		}
		r := s.waiting[best]
		s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
		s.running++
		s.wg.Add(1)
		go s.generate(r)
	}
}

func runsBefore(a, b *run) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.arrived < b.arrived
}

// generate produces the run's events at the configured prefill and token rate.
func (s *Server) generate(r *run) {
	defer s.wg.Done()
	defer s.leaveBatch()
	if s.crashesOn(r.body) {
		s.Crash()
		return
	}
	prefill := time.Duration(s.cache.touch(r.answer.req.promptText(), time.Now())) * s.opts.PrefillPerBlock
	if !s.pause(r, prefill) {
		return
	}
	for s.pause(r, s.tokenInterval()) {
		s.tokens.Add(1)
		if r.advance() {
			return
		}
	}
}

// pause waits for d and then until the engine is not frozen. It returns false if
// the run is aborted meanwhile.
func (s *Server) pause(r *run, d time.Duration) bool {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.stop:
			return false
		}
	}
	select {
	case <-s.thawed():
		return true
	case <-r.stop:
		return false
	}
}

func (s *Server) leaveBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.fillBatchLocked()
}

func (s *Server) crashesOn(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, marker := range []string{s.opts.CrashMarker, s.faults.CrashMarker} {
		if marker != "" && strings.Contains(string(body), marker) {
			return true
		}
	}
	return false
}

func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.SlowBy > 0 {
		return time.Duration(float64(s.opts.TokenInterval) * s.faults.SlowBy)
	}
	return s.opts.TokenInterval
}

// discard aborts a run and removes it, so that it can no longer be resumed.
func (s *Server) discard(r *run) {
	r.abort()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(r)
}

func (s *Server) removeLocked(r *run) {
	if s.runs[r.id] == r {
		delete(s.runs, r.id)
	}
	for i, w := range s.waiting {
		if w == r {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// abortAllLocked aborts and removes all runs, for example because the replica lost
// a member. Their streams end without a done marker.
func (s *Server) abortAllLocked() {
	for _, r := range s.runs {
		r.abort()
		r.stopIdleTimer()
	}
	s.runs = map[string]*run{}
	s.waiting = nil
}
