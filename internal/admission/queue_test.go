package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// countedLimit is a team limit with an exact count of what was taken.
type countedLimit struct{ taken, most int }

func (l *countedLimit) room() int { return l.most - l.taken }
func (l *countedLimit) take() bool {
	if l.taken >= l.most {
		return false
	}
	l.taken++
	return true
}

// queueModel checks a queue against what must hold after every event.
type queueModel struct {
	q       *queue
	now     time.Time
	limits  []*countedLimit
	waiting map[*ticket]bool
	running []*ticket
}

func (m *queueModel) dispatch(t *rapid.T) {
	for _, tk := range m.q.dispatch(m.now) {
		require.True(t, m.waiting[tk], "dispatched once, and only what waits")
		require.True(t, tk.startBy.After(m.now), "never after it is too late")
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
		require.LessOrEqual(t, l.taken, l.most)
		own := m.q.teams[team(i)]
		if own == nil {
			continue
		}
		require.Equal(t, l.taken, own.running)
		require.GreaterOrEqual(t, own.work, 0.0)
		if len(own.waiting) > 0 && l.room() > 0 {
			require.GreaterOrEqual(t, m.q.running, m.q.slots, "nobody waits beside a free slot")
		}
	}
}

func (m *queueModel) arrive(t *rapid.T) {
	who := rapid.IntRange(0, len(m.limits)-1).Draw(t, "team")
	tk := &ticket{team: team(who), cost: float64(rapid.IntRange(1, 500).Draw(t, "cost")), settled: make(chan struct{})}
	if seconds := rapid.IntRange(0, 20).Draw(t, "seconds"); seconds > 0 {
		tk.given, tk.deadline = true, m.now.Add(time.Duration(seconds)*time.Second)
	}
	free := m.q.running < m.q.slots && m.limits[who].room() > 0 && len(m.q.team(tk.team, 1, m.limits[who]).waiting) == 0
	if refusal := m.q.arrive(m.now, tk, float64(who+1), m.limits[who]); refusal != nil {
		require.False(t, free, "refused beside a free slot")
		require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
		require.LessOrEqual(t, refusal.RetryAfter, maxRetry*time.Second)
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
			l.taken--
		}
	}
	m.q.finish(m.now, tk, rapid.Bool().Draw(t, "answered"))
	m.dispatch(t)
}

// Requests arrive, end, are given up and expire in any order while capacity
// changes. A slot lost or a ticket settled twice would show up as a caller who
// waits for ever, or as more running than the engines can take.
func TestQueueHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{q: newQueue(DefaultMaxWait), now: epoch, waiting: map[*ticket]bool{}}
		for range 3 {
			m.limits = append(m.limits, &countedLimit{most: rapid.IntRange(0, 6).Draw(t, "limit")})
		}
		m.q.setSlots(m.now, 4)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"finish": m.finish,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				m.dispatch(t)
			},
			"leave": func(t *rapid.T) {
				for _, team := range m.q.order {
					if len(team.waiting) == 0 {
						continue
					}
					tk := team.waiting[len(team.waiting)/2]
					require.True(t, m.q.leave(tk))
					require.False(t, m.q.leave(tk))
					delete(m.waiting, tk)
					break
				}
				m.dispatch(t)
			},
			"slots": func(t *rapid.T) {
				m.q.setSlots(m.now, rapid.IntRange(0, 8).Draw(t, "slots"))
				m.dispatch(t)
			},
		})
	})
}
