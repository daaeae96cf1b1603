package routing

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// process is one start of a server.
type process struct {
	server    cluster.VMID
	addr      string
	startedAt time.Time
}

func (in Entry) process() process { return process{in.Replica.Serving, in.Addr, in.StartedAt} }

// signals are what a server has said of itself in its answers to this node.
type signals struct {
	pushback pushback
}

// expired reports whether nothing said is in force any more.
func (s signals) expired(now time.Time) bool { return s.pushback.left(now) == 0 }

// signalTable holds the signals of processes, whichever replica they serve: one that wants no
// requests still wants none as the head of another replica.
type signalTable struct {
	mu        sync.Mutex
	byProcess map[process]signals
}

func (t *signalTable) get(p process) signals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byProcess[p]
}

// update changes the signals of a process, drops those of others that have expired, and returns
// the changed ones.
func (t *signalTable) update(p process, now time.Time, change func(*signals)) signals {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byProcess[p]
	change(&s)
	for other, old := range t.byProcess {
		if old.expired(now) {
			delete(t.byProcess, other)
		}
	}
	if t.byProcess == nil {
		t.byProcess = make(map[process]signals)
	}
	t.byProcess[p] = s
	return s
}

// reportSignal changes the signals of the process that the choice was made for.
func (t *Table) reportSignal(choice Choice, now time.Time, change func(*signals)) {
	s := t.signals.update(choice.process, now, change)
	t.withEntry(choice.Replica.ID, func(e *entry) {
		if e.process == choice.process {
			e.setSignals(s, now)
		}
	})
}

// setSignals adopts the signals of the entry's process. After a pushback, one request at a time
// tests the replica.
func (e *entry) setSignals(s signals, now time.Time) {
	e.signals = s
	if left := s.pushback.left(now); left > 0 {
		e.speed.avoid(now, left)
	}
}
