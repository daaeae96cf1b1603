package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// countedLimit is a team limit that counts the acquired units exactly.
type countedLimit struct{ acquired, limit int }

func (l *countedLimit) available() int { return l.limit - l.acquired }
func (l *countedLimit) tryAcquire() bool {
	if l.acquired >= l.limit {
		return false
	}
	l.acquired++
	return true
}

// queueModel checks the queue's invariants after every event.
type queueModel struct {
	q       *queue
	now     time.Time
	limits  []*countedLimit
	waiting map[*ticket]bool
	running []*ticket
}

func (m *queueModel) dispatch(t *rapid.T) {
	for _, tk := range m.q.dispatch(m.now) {
		require.True(t, m.waiting[tk], "only waiting tickets are dispatched, each once")
		require.True(t, tk.startBy.After(m.now), "dispatched before startBy")
		delete(m.waiting, tk)
		m.running = append(m.running, tk)
	}
	for tk := range m.waiting {
		if tk.refusal != nil {
			delete(m.waiting, tk)
		}
	}
	m.check(t)
}

func (m *queueModel) check(t *rapid.T) {
	require.Equal(t, len(m.running), m.q.running)
	require.Equal(t, len(m.waiting), m.q.waitingCount())
	for i, l := range m.limits {
		require.LessOrEqual(t, l.acquired, l.limit)
		own := m.q.teams[team(i)]
		if own == nil {
			continue
		}
		require.Equal(t, l.acquired, own.running)
		require.GreaterOrEqual(t, own.queuedWork, 0.0)
		if len(own.waiting) > 0 && l.available() > 0 {
			require.GreaterOrEqual(t, m.q.running, m.q.slots, "a ticket waits although a slot is free")
		}
	}
}

func (m *queueModel) arrive(t *rapid.T) {
	index := rapid.IntRange(0, len(m.limits)-1).Draw(t, "team")
	tk := &ticket{team: team(index), cost: float64(rapid.IntRange(1, 500).Draw(t, "cost")), decided: make(chan struct{})}
	if seconds := rapid.IntRange(0, 20).Draw(t, "seconds"); seconds > 0 {
		tk.hasDeadline, tk.deadline = true, m.now.Add(time.Duration(seconds)*time.Second)
	}
	free := m.q.running < m.q.slots && m.limits[index].available() > 0 && len(m.q.team(tk.team, 1, m.limits[index]).waiting) == 0
	if refusal := m.q.enqueue(m.now, tk, float64(index+1), m.limits[index]); refusal != nil {
		require.False(t, free, "refused although a slot is free")
		require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
		require.LessOrEqual(t, refusal.RetryAfter, maxRetryAfter*time.Second)
		return
	}
	m.waiting[tk] = true
	m.dispatch(t)
}

func (m *queueModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	tk := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	for k, l := range m.limits {
		if tk.team == team(k) {
			l.acquired--
		}
	}
	m.q.finish(m.now, tk, rapid.Bool().Draw(t, "answered"))
	m.dispatch(t)
}

// Requests arrive, finish, are canceled and expire in any order while the capacity
// changes. A leaked slot or a ticket decided twice would leave a caller waiting forever
// or run more requests than the engines can take.
func TestQueueHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &queueModel{q: newQueue(DefaultMaxWait), now: simStart, waiting: map[*ticket]bool{}}
		for range 3 {
			model.limits = append(model.limits, &countedLimit{limit: rapid.IntRange(0, 6).Draw(t, "limit")})
		}
		model.q.setSlots(model.now, 4)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": model.arrive,
			"finish": model.finish,
			"time": func(t *rapid.T) {
				model.now = model.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				model.dispatch(t)
			},
			"leave": func(t *rapid.T) {
				for _, team := range model.q.byName {
					if len(team.waiting) == 0 {
						continue
					}
					tk := team.waiting[len(team.waiting)/2]
					require.True(t, model.q.remove(tk))
					require.False(t, model.q.remove(tk))
					delete(model.waiting, tk)
					break
				}
				model.dispatch(t)
			},
			"slots": func(t *rapid.T) {
				model.q.setSlots(model.now, rapid.IntRange(0, 8).Draw(t, "slots"))
				model.dispatch(t)
			},
		})
	})
}
