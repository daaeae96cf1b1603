package routing

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

var (
	pushbacksTotal = metrics.NewCounter("fennel_routing_pushbacks_total")
	leavingTotal   = metrics.NewCounter("fennel_routing_leaving_servers_total")
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
	// leavingAt is when it last said that it is about to shut down; zero if it has not.
	leavingAt time.Time
}

// leavingTTL is how long it is remembered that a process is about to shut down. By then it has
// ended, or the list says that it leaves.
const leavingTTL = 10 * time.Minute

// expired reports whether nothing said is in force any more.
func (s signals) expired(now time.Time) bool {
	return s.pushback.left(now) == 0 && now.Sub(s.leavingAt) > leavingTTL
}

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
	adopted := false
	t.withEntry(choice.Replica.ID, func(e *entry) {
		if adopted = e.process == choice.process; adopted {
			e.setSignals(s, now)
		}
	})
	if !adopted {
		t.adoptSignals(choice.process, s, now)
	}
}

// adoptSignals sets the signals of a process that now serves another replica than the chosen one.
func (t *Table) adoptSignals(p process, s signals, now time.Time) {
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for _, e := range shard.entries {
			if e.process == p {
				e.setSignals(s, now)
			}
		}
		shard.mu.Unlock()
	}
}

// setSignals adopts the signals of the entry's process. After a pushback, one request at a time
// tests the replica.
func (e *entry) setSignals(s signals, now time.Time) {
	e.signals = s
	if left := s.pushback.left(now); left > 0 {
		e.speed.avoid(now, left)
	}
}

// ReportLeaving records that the server of the chosen replica is about to shut down, so that the
// replica gets no more requests. It reports whether the server had not said so before.
func (t *Table) ReportLeaving(choice Choice, now time.Time) (first bool) {
	t.reportSignal(choice, now, func(s *signals) {
		first = s.leavingAt.IsZero()
		s.leavingAt = now
	})
	if first {
		leavingTotal.Inc()
	}
	return first
}

// WithdrawLeaving has the replicas get requests again whose servers have not said since before that
// they are about to shut down. It returns these servers.
func (t *Table) WithdrawLeaving(before, now time.Time) (withdrawn []cluster.VMID) {
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for _, e := range shard.entries {
			if e.signals.leavingAt.IsZero() || !e.signals.leavingAt.Before(before) {
				continue
			}
			e.setSignals(t.signals.update(e.process, now, func(s *signals) { s.leavingAt = time.Time{} }), now)
			withdrawn = append(withdrawn, e.process.server)
			if g := (*t.groups.Load())[e.replica.Group]; g != nil {
				g.dirty.Store(true)
			}
		}
		shard.mu.Unlock()
	}
	return withdrawn
}

// leavingIn returns the number of a group's replicas that get no requests because their servers
// are about to shut down, and how long ago the last of them said so.
func (t *Table) leavingIn(name cluster.GroupName, now time.Time) (replicas int, age time.Duration) {
	g := (*t.groups.Load())[name]
	if g == nil {
		return 0, 0
	}
	for _, e := range *g.members.Load() {
		e.lock.Lock()
		if at := e.signals.leavingAt; !e.removed && !at.IsZero() {
			if replicas++; replicas == 1 || now.Sub(at) < age {
				age = now.Sub(at)
			}
		}
		e.lock.Unlock()
	}
	return replicas, age
}
