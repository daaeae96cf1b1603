package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fill begins as many requests as the limit allows, at most n.
func fill(g *concurrencyLimit, share float64, n int, now time.Time) (count int) {
	for range n {
		if g.begin(share, now) {
			count++
		}
	}
	return count
}

func TestLimitFollowsTheLoadOfReplicas(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newConcurrencyLimit(now)
	require.Equal(t, 100, fill(g, 1, 100, now), "no limit before any answer was late")
	for range minLimitSamples {
		g.record(2, true, now)
	}
	now = now.Add(limitWindow)
	g.record(2, true, now)
	require.InDelta(t, maxDecrease*100, g.limit, 0.1)
	require.Zero(t, fill(g, 1, 10, now))
	require.Equal(t, 5, fill(g, unlimitedShare, 5, now), "a request that was sent before goes on")
}

// Guards against a node that refuses calls for good after an overload.
func TestLimitRisesAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newConcurrencyLimit(now)
	g.limit = minLimit
	for range 100 {
		now = now.Add(limitWindow)
		for range minLimitSamples {
			g.record(0.5, false, now)
		}
	}
	require.Greater(t, g.limit, 100.0)
}

// Guards against a node that takes slow answers of replicas with free slots for an overload.
func TestLateAnswersOfReplicasWithFreeSlotsDoNotLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newConcurrencyLimit(now)
	for range 10 {
		now = now.Add(limitWindow)
		for range minLimitSamples {
			g.record(0.5, true, now)
		}
	}
	require.Equal(t, 1000, fill(g, 1, 1000, now))
}

// Guards against refused callers who come back and displace new ones, whose answers could be on
// time.
func TestReturningCallersLeavePartOfTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newConcurrencyLimit(now)
	g.limit = 10
	require.Equal(t, int(returningShare*10), fill(g, returningShare, 10, now))
	require.Equal(t, 10-int(returningShare*10), fill(g, 1, 10, now))
}

// Guards against a node that refuses the calls of all others once they arrive at it alone.
func TestLimitRisesFasterWhileReplicasAreHalfEmpty(t *testing.T) {
	for load, least := range map[float64]float64{0.4: 4, 0.8: 1.2} {
		now := time.Unix(1000, 0)
		g := newConcurrencyLimit(now)
		g.limit = 10
		for range 4 {
			now = now.Add(limitWindow)
			for range minLimitSamples {
				g.record(load, false, now)
			}
		}
		require.InDelta(t, least*10, g.limit, 0.35*least*10, "load %v", load)
	}
}
