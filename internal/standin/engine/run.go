package standinengine

import (
	"sync"
	"time"
)

// runState is the lifecycle state of a run.
type runState int

const (
	runActive runState = iota
	runDone
	// runAborted means that the run was canceled or its replica failed; its stream
	// ends without a done marker.
	runAborted
)

// run is the execution of one accepted request. It outlives its connection, so that
// a client that lost the connection can resume after any event.
type run struct {
	id       string
	answer   *answer
	body     []byte
	priority int
	arrived  int64
	// firstEvent is the number of the first event that this run generates. It is above
	// 1 when the run continues another replica's stream.
	firstEvent int

	mu        sync.Mutex
	lastEvent int // number of the newest generated event
	state     runState
	changed   chan struct{} // closed and replaced on each change
	readers   int
	idleTimer *time.Timer // discards the run when no client resumes it in time
	stop      chan struct{}
}

func newRun(id string, a *answer, body []byte, first int) *run {
	return &run{
		id: id, answer: a, body: body, firstEvent: first, lastEvent: first - 1,
		changed: make(chan struct{}), stop: make(chan struct{}),
	}
}

// snapshot returns the newest event number, the state, and a channel that is closed
// on the next change.
func (r *run) snapshot() (lastEvent int, state runState, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEvent, r.state, r.changed
}

// advance generates the next event and reports whether the run has ended.
func (r *run) advance() (last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != runActive {
		return true
	}
	r.lastEvent++
	if r.lastEvent == r.answer.eventCount() {
		r.state = runDone
	}
	r.notify()
	return r.state == runDone
}

// abort ends an active run without a done marker; a completed run stays completed.
func (r *run) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != runActive {
		return
	}
	r.state = runAborted
	close(r.stop)
	r.notify()
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.idleTimer != nil {
		r.idleTimer.Stop()
		r.idleTimer = nil
	}
}

// detach removes a reader. When it was the last one, discard is called after the
// grace period unless a reader attaches first.
func (r *run) detach(grace time.Duration, discard func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.idleTimer = time.AfterFunc(grace, discard)
	}
}

func (r *run) stopIdleTimer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idleTimer != nil {
		r.idleTimer.Stop()
	}
}
