package standinengine

import (
	"sync"
	"time"
)

// runState is how far a run got.
type runState int

const (
	runActive runState = iota
	runDone
	// runAborted has no clean end: canceled, or the replica died under it.
	runAborted
)

// run is one accepted request. It outlives its connection, so that a caller who
// lost the connection can resume from any event.
type run struct {
	id       string
	answer   *answer
	body     []byte
	priority int
	arrived  int64
	// first is the number of the first event this run generates (above 1 when continued).
	first int

	mu      sync.Mutex
	made    int // events generated so far, as an absolute event number
	state   runState
	changed chan struct{} // closed and replaced at each change
	readers int
	idle    *time.Timer // aborts the run when nobody comes back
	stop    chan struct{}
}

func newRun(id string, a *answer, body []byte, first int) *run {
	return &run{
		id: id, answer: a, body: body, first: first, made: first - 1,
		changed: make(chan struct{}), stop: make(chan struct{}),
	}
}

// view returns the newest event number, the state and a channel closed at the next change.
func (r *run) view() (made int, state runState, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made, r.state, r.changed
}

// advance makes the next event and reports whether it was the last.
func (r *run) advance() (last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != runActive {
		return true
	}
	r.made++
	if r.made == r.answer.eventCount() {
		r.state = runDone
	}
	r.broadcast()
	return r.state == runDone
}

// abort ends the run without a clean end; a run that is done stays done.
func (r *run) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != runActive {
		return
	}
	r.state = runAborted
	close(r.stop)
	r.broadcast()
}

func (r *run) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.idle != nil {
		r.idle.Stop()
		r.idle = nil
	}
}

// detach starts the grace after which forget is called, unless someone reads again.
func (r *run) detach(grace time.Duration, forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.idle = time.AfterFunc(grace, forget)
	}
}

func (r *run) dropTimer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle != nil {
		r.idle.Stop()
	}
}
