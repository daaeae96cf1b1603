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

// All replicas of a group were lost, and one has just become whole again.
// Status says so, and a caller who waited for it sends at once: he must not be
// refused as if the group were still without a replica.
func TestWholeReplicaTakesCallersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		n := &Node{
			capacityChanged: make(chan struct{}, 1),
			rules:           rulestore.New(rulestore.Options{Store: memstore.New(memstore.Options{})}),
			routing:         routing.NewTable(routing.Options{Zone: "serra-a"}),
			admission:       admission.New(admission.Options{Self: admission.Node{ID: "n1", Zone: "serra-a"}}),
		}
		n.admission.SetCapacity("fit", 0)
		request := admission.Request{Team: "bancada", Group: "fit", Cost: 1, Deadline: time.Now().Add(reviewEvery / 2)}
		_, err := n.admission.Acquire(ctx, request)
		require.Error(t, err)

		done := make(chan struct{})
		go func() { n.review(ctx); close(done) }()
		replica := cluster.Replica{ID: "fit.1", Group: "fit", Zone: "serra-a", Generation: 1, Members: []cluster.VMID{"a"}, Serving: "a"}
		n.routing.SetReplicas("serra-a", []routing.Entry{{Replica: replica, Addr: "127.0.0.1:1"}})
		n.routing.SetHealthy(replica.ID, replica.Generation, true)
		n.wakeReview()
		synctest.Wait()
		slot, err := n.admission.Acquire(ctx, request)
		require.NoError(t, err)
		slot.Release(1)
		stop()
		<-done
	})
}
