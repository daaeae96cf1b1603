package entry

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// A plain server whose entry is removed still finishes its calls. If it counted as lost,
// its calls would be moved, and one call would run on more servers than its route allows.
func TestUnlistedPlainServerIsNotLost(t *testing.T) {
	require.False(t, lostMember("i-06aab1d23d", nil))
	require.True(t, lostMember("model/7.7", nil), "a replica of a model without listed members")
	healthy := fleet.Replica{Name: "model/8", Epoch: 8, Size: 1, Members: []fleet.Server{{ID: "a"}}}
	require.False(t, lostMember(healthy.ID(), []fleet.Replica{healthy}))
}

// Guards against routes that differ from those that the list gives, because they are derived from
// the changed servers alone.
func TestRoutesOfChangesEqualRoutesOfTheList(t *testing.T) {
	set := rules.Assemble(rules.Set{Groups: []rules.Group{{Name: "m", Model: "m", VMs: 2, Servers: "models"}}, Services: []rules.ServiceDecl{{Name: "plain"}}})
	rapid.Check(t, func(t *rapid.T) {
		servers := make(map[string]fleet.Server)
		p := Platform{Store: memstore.New(memstore.Options{}), Backend: func(*conns.Pool) relay.Backend { return nil }, ServersPrefix: "servers/", ConfigKey: "config",
			DecodeServer: func(kv store.KV, _ time.Time) (fleet.Server, error) { return servers[kv.Key], nil }}
		core := NewCore(&settings.Settings{Node: "n", Zone: "a"}, p, CoreOptions{Log: slog.New(slog.DiscardHandler)})
		core.rules.Store(set)
		for revision := range int64(rapid.IntRange(1, 20).Draw(t, "changes")) {
			change := fleet.Change{Revision: revision}
			for range rapid.IntRange(1, 3).Draw(t, "servers") {
				key := fmt.Sprint("vm-", rapid.IntRange(0, 9).Draw(t, "server"))
				if rapid.Bool().Draw(t, "removed") {
					delete(servers, key)
					change.Removed = append(change.Removed, key)
					continue
				}
				servers[key] = drawServer(t, cluster.VMID(key))
				change.Removed = slices.DeleteFunc(change.Removed, func(removed string) bool { return removed == key })
				change.Written = append(change.Written, store.KV{Key: key})
			}
			change.Written = slices.DeleteFunc(change.Written, func(kv store.KV) bool { return slices.Contains(change.Removed, kv.Key) })
			core.serversChanged(change)
			derived := maps.Clone(core.serving)
			require.Equal(t, derived, tableReplicas(core))
			core.updateRoutes()
			require.Equal(t, core.serving, derived)
			require.Equal(t, derived, tableReplicas(core))
		}
	})
}

func drawServer(t *rapid.T, id cluster.VMID) fleet.Server {
	s := fleet.Server{ID: id, Service: "models", Zone: "a", Addr: string(id), Slots: 1, Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		s.Service = "plain"
	case 1, 2:
		s.Membership = &fleet.Membership{Replica: fleet.ReplicaName("m", int64(rapid.IntRange(0, 2).Draw(t, "replica"))), Epoch: 1,
			Rank: rapid.IntRange(0, 1).Draw(t, "rank"), State: rapid.SampledFrom([]fleet.State{fleet.Open, fleet.Ready, fleet.Broken}).Draw(t, "state")}
	}
	return s
}

func tableReplicas(core *Core) map[cluster.ReplicaID]bool {
	ids := make(map[cluster.ReplicaID]bool)
	for _, s := range core.table.Statuses(time.Now()) {
		if s.Healthy {
			ids[s.Replica.ID] = true
		}
	}
	return ids
}
