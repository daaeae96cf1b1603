package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/admission"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rulestore"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// After all replicas of a group were lost, one becomes healthy again, and its status shows
// it. A caller who waited for that sends at once, and must not be refused because admission
// learns the new capacity only at the next refresh.
func TestHealthyReplicaAcceptsCallersImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		n := &Node{
			capacityChanged: make(chan struct{}, 1),
			rules:           rulestore.New(rulestore.Options{Store: memstore.New(memstore.Options{})}),
			routing:         routing.NewTable(routing.Options{Zone: "serra-a"}),
			admission:       admission.New(admission.Options{Self: admission.Node{ID: "n1", Zone: "serra-a"}}),
		}
		n.admission.SetCapacity("fit", 0)
		request := admission.Request{Team: "bancada", Group: "fit", Cost: 1, Deadline: time.Now().Add(refreshInterval / 2)}
		_, err := n.admission.Acquire(ctx, request)
		require.Error(t, err)

		done := make(chan struct{})
		go func() { n.refreshLoop(ctx); close(done) }()
		replica := cluster.Replica{ID: "fit.1", Group: "fit", Zone: "serra-a", Generation: 1, Members: []cluster.VMID{"a"}, Serving: "a"}
		n.routing.SetReplicas("serra-a", []routing.Entry{{Replica: replica, Addr: "127.0.0.1:1"}})
		n.routing.SetHealthy(replica.ID, replica.Generation, true)
		n.signalCapacityChange()
		synctest.Wait()
		slot, err := n.admission.Acquire(ctx, request)
		require.NoError(t, err)
		slot.Release(1)
		stop()
		<-done
	})
}
