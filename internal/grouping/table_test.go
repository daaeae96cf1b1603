package grouping

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

func putReplica(t *testing.T, s store.Store, r cluster.Replica) {
	value, err := json.Marshal(r)
	require.NoError(t, err)
	_, err = s.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put(store.ReplicaKey(testZone, r.ID), value, 0)}})
	require.NoError(t, err)
}

func deleteReplica(t *testing.T, s store.Store, id cluster.ReplicaID) {
	_, err := s.Txn(t.Context(), store.Txn{Then: []store.Op{store.Delete(store.ReplicaKey(testZone, id))}})
	require.NoError(t, err)
}

// startTable runs a table until the test ends. Listeners are registered first, so that they see
// every change.
func startTable(t *testing.T, opts TableOptions, listeners ...func(cluster.Grouping)) *Table {
	opts.Zone, opts.Log = testZone, slog.New(slog.DiscardHandler)
	table := NewTable(opts)
	for _, listener := range listeners {
		table.OnChange(listener)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { table.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return table
}

func ids(g cluster.Grouping) []cluster.ReplicaID {
	out := []cluster.ReplicaID{}
	for _, r := range g.Replicas {
		out = append(out, r.ID)
	}
	return out
}

// The store goes down while replicas serve. The table must keep its contents, and catch up once
// the store is back.
func TestTableKeepsContentsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		putReplica(t, s, cluster.Replica{ID: "r2", Generation: 1})
		table := startTable(t, TableOptions{Store: s})
		<-table.Ready()
		putReplica(t, s, cluster.Replica{ID: "r1", Generation: 1})
		synctest.Wait()
		require.Equal(t, []cluster.ReplicaID{"r1", "r2"}, ids(table.Current()))

		s.SetFaults(downFaults)
		time.Sleep(10 * time.Minute)
		require.Equal(t, []cluster.ReplicaID{"r1", "r2"}, ids(table.Current()))
		s.SetFaults(healthyFaults)
		deleteReplica(t, s, "r2")
		time.Sleep(2 * DefaultRetryInterval)
		synctest.Wait()
		require.Equal(t, []cluster.ReplicaID{"r1"}, ids(table.Current()))
	})
}

// A watch repeats events after a reconnect. Applying an old event again would restore a
// replica that was broken up.
func TestTableIgnoresRepeatedEvents(t *testing.T) {
	value, err := json.Marshal(cluster.Replica{ID: "r1", Generation: 1})
	require.NoError(t, err)
	g := cluster.Grouping{Zone: testZone, Revision: 7}
	put := store.Event{Type: store.EventPut, KV: store.KV{Key: store.ReplicaKey(testZone, "r1"), Value: value, ModRevision: 5}}
	next, err := applyEvents(g, store.WatchBatch{Events: []store.Event{put}, Revision: 7})
	require.NoError(t, err)
	require.Zero(t, next.Revision)
	put.KV.ModRevision = 8
	next, err = applyEvents(g, store.WatchBatch{Events: []store.Event{put}, Revision: 8})
	require.NoError(t, err)
	require.Equal(t, []cluster.ReplicaID{"r1"}, ids(next))
	require.Empty(t, g.Replicas, "the previous grouping is unchanged")
}

type fakePeers struct{ grouping cluster.Grouping }

func (p *fakePeers) FetchGrouping(context.Context, cluster.ZoneID, int64) (cluster.Grouping, error) {
	return p.grouping, nil
}

// A node starts while the store is down and gets its table from a peer. Later another peer, or
// a store member that lags, offers an older table. Applying it would route callers to replicas
// that no longer exist.
func TestTableNeverRevertsToOlderRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		s.SetFaults(downFaults)
		peers := &fakePeers{grouping: cluster.Grouping{Zone: testZone, Revision: 9, Replicas: []cluster.Replica{{ID: "r1", Generation: 2}}}}
		var seen []int64
		table := startTable(t, TableOptions{Store: s, Peers: peers}, func(g cluster.Grouping) { seen = append(seen, g.Revision) })
		<-table.Ready()
		synctest.Wait()
		require.False(t, table.Offer(cluster.Grouping{Zone: testZone, Revision: 8}))
		require.False(t, table.Offer(cluster.Grouping{Zone: "other", Revision: 80}))
		require.Equal(t, int64(9), table.Current().Revision)
		// The store recovers with a lower revision than the peer had.
		s.SetFaults(healthyFaults)
		time.Sleep(time.Minute)
		require.Equal(t, []cluster.ReplicaID{"r1"}, ids(table.Current()))
		require.True(t, table.Offer(cluster.Grouping{Zone: testZone, Revision: 10}))
		require.Equal(t, []int64{9, 10}, seen)
	})
}

// eventDroppingStore loses every watch event, as a broken proxy in front of the store may.
type eventDroppingStore struct{ store.Store }

func (s eventDroppingStore) Watch(ctx context.Context, _ string, from int64) (<-chan store.WatchBatch, error) {
	return s.Store.Watch(ctx, "no/such/prefix", from)
}

// A watch stays open but misses events. Without the check of the head key, the node would route
// by an outdated table until it is restarted.
func TestTableRecoversMissedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, 2, pairGroup)
		table := startTable(t, TableOptions{Store: eventDroppingStore{tb.store}})
		<-table.Ready()
		n := tb.start("n1", nil)
		replicas := tb.settle(1)
		time.Sleep(DefaultHeadCheckInterval + 2*DefaultRetryInterval)
		synctest.Wait()
		require.Equal(t, replicas, table.Current().Replicas)
		n.stop()
	})
}
