package entry

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// newZonedCore returns a core that lists a replica and a plain server in each of the zones, and a
// function that changes one of them.
func newZonedCore(t *testing.T, zones ...cluster.ZoneID) (core *Core, change func(cluster.VMID, func(*fleet.Server))) {
	t.Helper()
	servers := make(map[string]fleet.Server)
	initial := fleet.Change{Revision: 1}
	for _, zone := range zones {
		for _, s := range []fleet.Server{
			{ID: cluster.VMID(zone + "-head"), Service: "models", Zone: zone, Addr: "10.0.0.1:80", Slots: 1,
				Membership: &fleet.Membership{Replica: "m/" + string(zone), Epoch: 1, State: fleet.Open}},
			{ID: cluster.VMID(zone + "-plain"), Service: "plain", Zone: zone, Addr: "10.0.0.2:80", Slots: 1},
		} {
			servers[string(s.ID)] = s
			initial.Written = append(initial.Written, store.KV{Key: string(s.ID)})
		}
	}
	p := testPlatform(t)
	p.EvacuationsPrefix = "evacuate/"
	p.DecodeServer = func(kv store.KV, _ time.Time) (fleet.Server, error) { return servers[kv.Key], nil }
	core = NewCore(&settings.Settings{Node: "n", Zone: zones[0]}, p, CoreOptions{Log: slog.New(slog.DiscardHandler)})
	core.rules.Store(rules.Assemble(rules.Set{
		Groups:   []rules.Group{{Name: "m", Model: "m", VMs: 1, Servers: "models"}},
		Services: []rules.ServiceDecl{{Name: "models", ColdTime: 3 * time.Second, ColdRate: 17}, {Name: "plain"}},
	}))
	core.serversChanged(initial)
	return core, func(id cluster.VMID, modify func(*fleet.Server)) {
		s := servers[string(id)]
		modify(&s)
		servers[string(id)] = s
		core.serversChanged(fleet.Change{Revision: 2, Written: []store.KV{{Key: string(id)}}})
	}
}

func evacuate(zone string) fleet.Change {
	return fleet.Change{Written: []store.KV{{Key: "evacuate/" + zone}}}
}

func reopen(zones ...string) (c fleet.Change) {
	for _, zone := range zones {
		c.Removed = append(c.Removed, "evacuate/"+zone)
	}
	return c
}

// zonesChosen returns the zones of the servers that take calls for the group when there are many
// at once.
func zonesChosen(core *Core, group cluster.GroupName) map[cluster.ZoneID]bool {
	zones := make(map[cluster.ZoneID]bool)
	for range 100 {
		if choice, err := core.table.Choose(routing.Request{Group: group}); err == nil {
			zones[choice.Replica.Zone] = true
			defer core.table.End(choice, routing.Result{Canceled: true})
		}
	}
	return zones
}

// Guards against calls that reach a server of an evacuated zone.
func TestNothingIsSentIntoAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, change := newZonedCore(t, "a", "b")
		for _, group := range []cluster.GroupName{"m", "service:plain"} {
			require.Equal(t, map[cluster.ZoneID]bool{"a": true, "b": true}, zonesChosen(core, group))
			core.evacuationsChanged(evacuate("b"))
			require.Equal(t, map[cluster.ZoneID]bool{"a": true}, zonesChosen(core, group))
			change("b-head", func(s *fleet.Server) { s.Slots++ })
			require.Equal(t, map[cluster.ZoneID]bool{"a": true}, zonesChosen(core, group), "after a change of the list")
			core.evacuationsChanged(evacuate("a"))
			require.Empty(t, zonesChosen(core, group), "all zones")
			core.evacuationsChanged(reopen("a", "b"))
			time.Sleep(maxColdTime)
		}
	})
}

// Guards against calls that crash a server which became cold during an evacuation, before its
// entry says so.
func TestReplicasOfAReopenedZoneAreColdAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newZonedCore(t, "a", "b")
		core.evacuationsChanged(evacuate("b"))
		core.evacuationsChanged(reopen("b"))
		require.Equal(t, map[cluster.ZoneID]bool{"a": true}, zonesChosen(core, "m"))
		require.Equal(t, map[cluster.ZoneID]bool{"a": true, "b": true}, zonesChosen(core, "service:plain"), "never cold")
		time.Sleep(4 * time.Second)
		require.Equal(t, map[cluster.ZoneID]bool{"a": true, "b": true}, zonesChosen(core, "m"))
	})
}

// Guards against calls that crash a cold server.
func TestColdServerTakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, change := newZonedCore(t, "a", "b")
		change("a-head", func(s *fleet.Server) { s.ColdUntil = time.Now().Add(time.Second) })
		require.Equal(t, map[cluster.ZoneID]bool{"b": true}, zonesChosen(core, "m"))
		time.Sleep(2 * time.Second)
		require.Equal(t, map[cluster.ZoneID]bool{"a": true, "b": true}, zonesChosen(core, "m"))
	})
}
