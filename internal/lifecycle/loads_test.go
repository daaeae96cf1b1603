package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

var weights = rules.WeightStore{LoadsPerSecond: 4.5, LoadsAtOnce: 6}

// A holder dies right after it began loads: its successor's must stay within the weight store's rate with them.
func TestTwoHoldersInARowKeepTheRate(t *testing.T) {
	for _, perSecond := range []float64{1.25, 4.5, 20} {
		for _, first := range []int{0, 980} {
			t.Run(fmt.Sprint(perSecond, " from step ", first), func(t *testing.T) { twoHoldersKeepTheRate(t, perSecond, first) })
		}
	}
}

// twoHoldersKeepTheRate plays two holders of ten seconds each, with loads to begin from a step on.
func twoHoldersKeepTheRate(t *testing.T, perSecond float64, first int) {
	const window = 5 * time.Second
	allowed := perSecond*window.Seconds()*1.1 + 3
	now := time.Unix(1000, 0)
	var begun []time.Time
	l := newLoads()
	for step := range 2000 {
		if step == 1000 {
			l = newLoads() // the successor knows nothing of these loads
		}
		now = now.Add(10 * time.Millisecond)
		l.set(rules.WeightStore{LoadsPerSecond: perSecond, LoadsAtOnce: 1000}, false, now)
		if step >= first && l.begin(now, []cluster.VMID{cluster.VMID(fmt.Sprint(step))}, time.Second, 0) {
			begun = append(begun, now)
		}
	}
	for i := range begun {
		in := 0
		for _, at := range begun[i:] {
			if at.Sub(begun[i]) < window {
				in++
			}
		}
		require.LessOrEqual(t, float64(in), allowed)
	}
	require.Greater(t, float64(len(begun)), 0.75*perSecond*float64(2000-first)/100, "most of the rate is used")
}

func TestLoadsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLoads()
	l.set(weights, true, now)
	require.True(t, l.begin(now, []cluster.VMID{"a", "b", "c", "d"}, time.Second, 0))
	require.False(t, l.begin(now, []cluster.VMID{"e"}, time.Second, 2), "two places are kept free")
	require.True(t, l.begin(now, []cluster.VMID{"e", "f", "g"}, time.Second, 0), "a set may exceed the number")
	require.False(t, l.begin(now, []cluster.VMID{"h"}, time.Second, 0))
	require.True(t, l.begin(now, nil, time.Second, 0), "nothing to load needs no place")
	l.review(now, func(vm cluster.VMID) bool { return vm == "a" || vm == "b" })
	require.True(t, l.begin(now, []cluster.VMID{"h"}, time.Second, 0))
	l.review(now.Add(time.Minute), func(cluster.VMID) bool { return false })
	require.Empty(t, l.until, "a load that never ends holds its place no longer")
}

// Loads that begin after the first request take ten times as long: replicas that lose a VM then lack a spare.
func TestLoadsLeftBeginTogetherBeforeTheFirstRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLoads()
	full := []cluster.VMID{"a", "b", "c", "d", "e", "f"}
	l.set(weights, true, now)
	require.True(t, l.begin(now, full, time.Second, 0))
	now = now.Add(rushAfter - time.Millisecond)
	l.set(weights, true, now)
	require.False(t, l.begin(now, []cluster.VMID{"g"}, time.Second, 0), "too soon: it would delay the first replicas")
	now = now.Add(time.Millisecond)
	l.set(weights, true, now)
	require.True(t, l.begin(now, []cluster.VMID{"g"}, time.Second, 0))
	require.True(t, l.begin(now, []cluster.VMID{"h", "i", "j", "k"}, time.Second, 0))
	l.set(weights, false, now)
	require.False(t, l.begin(now, []cluster.VMID{"l"}, time.Second, 0), "loads cost again: the number at once holds")
}
