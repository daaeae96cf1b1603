package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// evenLoad offers the given multiple of the replicas' capacity, divided evenly between
// the teams.
func evenLoad(replicas int, multiple float64) map[cluster.TeamID]float64 {
	const teams = 5
	out := map[cluster.TeamID]float64{}
	for i := range teams {
		out[team(i)] = multiple * capacityPerSecond(replicas) / teams
	}
	return out
}

func overload(seed uint64, multiple float64) load {
	return load{replicas: 20, nodes: 4, seed: seed, perSecond: evenLoad(20, multiple), seconds: 60}
}

// Requests arrive at twice the capacity, and refused or timed-out callers retry.
// Without a queue that refuses requests, replicas spend their capacity on requests
// whose callers have left, and almost no answer arrives in time.
func TestOverloadKeepsGoodput(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		full := runLoad(overload(seed, 1)).goodput()
		double := runLoad(overload(seed, 2))
		require.GreaterOrEqual(t, double.goodput(), 0.95*full, "seed %d", seed)

		naive := overload(seed, 2)
		naive.naive, naive.policy = true, routing.Naive{}
		require.Less(t, runLoad(naive).goodput(), 0.5*full, "without a queue goodput must collapse, seed %d", seed)
	}
}

// After a latency spike, when first tokens took longer than callers wait, a node must
// not refuse every request: it would never measure that latency has recovered, and
// callers would be refused by an idle system.
func TestRecoversFromLatencySpike(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		out := runLoad(overload(seed, 0.8))
		require.GreaterOrEqual(t, out.good*100, out.sent*97, "seed %d", seed)
	}
	q := newQueue(DefaultMaxWait)
	q.setSlots(simStart, 1)
	q.firstTokenTime = firstTokenEstimate{known: true, mean: 60, dev: 60}
	q.serviceTime = serviceTimeEstimate{known: true, mean: 600, perCost: 600}
	tk := &ticket{team: "t0", cost: 1, deadline: simStart.Add(waitTimeout), hasDeadline: true, decided: make(chan struct{})}
	require.Nil(t, q.enqueue(simStart, tk, 1, noLimit{}))
	require.Len(t, q.dispatch(simStart), 1)
}

// oneLargeTeam offers ten times the fair share for one team and 0.8 times the fair
// share for each of four others.
func oneLargeTeam(seed uint64) load {
	l := overload(seed, 0.8)
	l.perSecond[team(0)] *= 10 / 0.8
	return l
}

// One team sends ten times its share. The other teams, which stay below theirs, must
// hardly be affected.
func TestLargeTeamDoesNotAffectOthers(t *testing.T) {
	out := runLoad(oneLargeTeam(1))
	for i := 1; i < 5; i++ {
		require.GreaterOrEqual(t, out.goodOf[team(i)]*100, out.sentOf[team(i)]*95, "team %d: %v of %v", i, out.goodOf, out.sentOf)
	}
	require.GreaterOrEqual(t, out.goodput(), 0.93*capacityPerSecond(20), "the large team uses the remaining capacity")
}

// Two teams with weights 3 and 1 both send more than their share. Their throughput must
// follow the ratio of the weights.
func TestThroughputFollowsWeightsUnderOverload(t *testing.T) {
	l := overload(2, 0)
	l.perSecond = map[cluster.TeamID]float64{team(0): 2 * capacityPerSecond(20), team(1): 2 * capacityPerSecond(20)}
	l.weights = map[cluster.TeamID]float64{team(0): 30, team(1): 10}
	out := runLoad(l)
	require.InDelta(t, 3, float64(out.goodOf[team(0)])/float64(out.goodOf[team(1)]), 0.3)
}

// BenchmarkGoodput measures goodput (complete answers per second with the first token
// within 3 s) by offered load, in virtual time; one iteration is one seed.
func BenchmarkGoodput(b *testing.B) {
	for _, multiple := range []float64{0.5, 0.8, 1, 1.5, 2, 4} {
		for _, name := range []string{"fennel", "naive", "naive-with-cancel"} {
			b.Run(fmt.Sprintf("%s/load=%.1fx", name, multiple), func(b *testing.B) {
				good, refused, late := 0.0, 0.0, 0.0
				for i := range b.N {
					l := overload(uint64(i+1), multiple)
					if name != "fennel" {
						l.naive, l.policy, l.cancels = true, routing.Naive{}, name == "naive-with-cancel"
					}
					out := runLoad(l)
					good += out.goodput()
					refused += float64(out.refused) / out.seconds
					late += float64(out.timedOut) / out.seconds
				}
				n := float64(b.N)
				b.ReportMetric(good/n, "good/s")
				b.ReportMetric(100*good/n/capacityPerSecond(20), "%capacity")
				b.ReportMetric(refused/n, "refused/s")
				b.ReportMetric(late/n, "late/s")
			})
		}
	}
}

// BenchmarkOneLargeTeam measures the throughput of the four other teams while one sends
// ten times its share.
func BenchmarkOneLargeTeam(b *testing.B) {
	for _, name := range []string{"fennel", "naive", "naive-with-cancel"} {
		b.Run(name, func(b *testing.B) {
			others, large := 0.0, 0.0
			for i := range b.N {
				l := oneLargeTeam(uint64(i + 1))
				if name != "fennel" {
					l.naive, l.policy, l.cancels = true, routing.Naive{}, name == "naive-with-cancel"
				}
				out := runLoad(l)
				good, sent := 0, 0
				for t := 1; t < 5; t++ {
					good += out.goodOf[team(t)]
					sent += out.sentOf[team(t)]
				}
				others += float64(good) / float64(sent)
				large += float64(out.goodOf[team(0)]) / out.seconds
			}
			b.ReportMetric(100*others/float64(b.N), "%good-of-others")
			b.ReportMetric(large/float64(b.N), "large-good/s")
		})
	}
}

// BenchmarkPrefixHits measures how often the chosen replica has the prompt's prefix
// cached: 200 shared prefixes, 12 cached by each of 20 engines, load at 0.7 of the
// capacity.
func BenchmarkPrefixHits(b *testing.B) {
	noBonus := routing.DefaultPolicy()
	noBonus.PrefixBonus = 0
	cases := []struct {
		name        string
		policy      routing.Policy
		eventsEvery int
	}{
		{"events-every-1s", routing.DefaultPolicy(), 1},
		{"events-every-5s", routing.DefaultPolicy(), 5},
		{"events-every-30s", routing.DefaultPolicy(), 30},
		{"own-choices-only", routing.DefaultPolicy(), 0},
		{"load-only", noBonus, 1},
		{"naive", routing.Naive{}, 1},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			hits, good := 0.0, 0.0
			for i := range b.N {
				l := overload(uint64(i+1), 0.7)
				l.prefixes, l.policy, l.eventsEvery = 200, c.policy, c.eventsEvery
				out := runLoad(l)
				hits += float64(out.hits) / float64(out.hits+out.misses)
				good += float64(out.good) / float64(out.sent)
			}
			b.ReportMetric(100*hits/float64(b.N), "%hits")
			b.ReportMetric(100*good/float64(b.N), "%good")
		})
	}
}

// BenchmarkAcquire measures the cost of a free slot: acquire, first token, release.
func BenchmarkAcquire(b *testing.B) {
	for _, teams := range []int{10, 100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c := New(Options{Self: Node{ID: "n1", Zone: "a"}, LimitOf: limitedTo(64)})
			c.SetCapacity("g", 1000)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s, err := c.Acquire(b.Context(), Request{Team: team(i % teams), Group: "g"})
				if err != nil {
					b.Fatal(err)
				}
				s.FirstToken()
				s.Release(1)
			}
		})
	}
}

// The same events and seed must give the same decisions for every request, so that a
// recorded run can be replayed.
func TestSimulationIsDeterministic(t *testing.T) {
	l := overload(5, 1.5)
	l.seconds, l.prefixes, l.eventsEvery = 15, 50, 2
	require.Equal(t, runLoad(l), runLoad(l))
}
