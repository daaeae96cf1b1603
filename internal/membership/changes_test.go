package membership_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Guards against a change that reaches one peer after the other: by the time that all have it, the
// requests that it reports have ended. Frequent changes must not exceed the budget.
func TestChangesReachManyPeersAtOnceWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, seconds = 12, 20
		ns := startGossiping(t, nodes)
		time.Sleep(5 * time.Second) // the budget for gossip recovers
		var mu sync.Mutex
		heard := make(map[cluster.NodeID]bool)
		for _, s := range ns.all[1:] {
			self := s.Self().Node
			s.OnDatagram(func(from membership.Member, d *wirepb.Datagram) {
				mu.Lock()
				defer mu.Unlock()
				if d.Brief && from.Node == ns.all[0].Self().Node {
					heard[self] = true
				}
			})
		}
		ns.all[0].TriggerGossip()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		mu.Lock()
		require.GreaterOrEqual(t, len(heard), (nodes-1)/2)
		mu.Unlock()
		before := countOf(ns.all[0])
		for range seconds * 50 {
			ns.all[0].TriggerGossip()
			time.Sleep(20 * time.Millisecond)
		}
		require.LessOrEqual(t, countOf(ns.all[0]).minus(before), (seconds+2)*(gossipBudget+membership.DefaultSendBudget))
	})
}
