package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

var groups = []rules.Group{{Name: "m", Model: "m", VMs: 3}}

// member is a listed member of the replica "m/7" of epoch 7.
func member(id string, rank int, state fleet.State) fleet.Server {
	return fleet.Server{ID: cluster.VMID(id), Membership: &fleet.Membership{Replica: fleet.ReplicaName("m", 7), Epoch: 7, Rank: rank, State: state}}
}

func one(t *testing.T, servers ...fleet.Server) fleet.Replica {
	t.Helper()
	replicas := fleet.Replicas(fleet.List{Servers: servers}, groups)
	require.Len(t, replicas, 1)
	return replicas[0]
}

func TestReplicaServesOnlyWhole(t *testing.T) {
	whole := one(t, member("a", 0, fleet.Open), member("b", 1, fleet.Ready), member("c", 2, fleet.Ready))
	require.True(t, whole.Serves())
	require.EqualValues(t, "m/7.7", whole.ID())
	require.Equal(t, "m", whole.Model)

	draining := member("c", 2, fleet.Ready)
	draining.Draining = true
	for name, servers := range map[string][]fleet.Server{
		"a member not listed":   {member("a", 0, fleet.Open), member("b", 1, fleet.Ready)},
		"a member still joins":  {member("a", 0, fleet.Open), member("b", 1, fleet.Ready), member("c", 2, fleet.Joining)},
		"a member leaves":       {member("a", 0, fleet.Open), member("b", 1, fleet.Ready), draining},
		"two of one rank":       {member("a", 0, fleet.Open), member("b", 1, fleet.Ready), member("c", 1, fleet.Ready)},
		"the head is not open":  {member("a", 0, fleet.Ready), member("b", 1, fleet.Ready), member("c", 2, fleet.Ready)},
		"the head is broken":    {member("a", 0, fleet.Broken), member("b", 1, fleet.Ready), member("c", 2, fleet.Ready)},
		"the head is not there": {member("b", 1, fleet.Ready), member("c", 2, fleet.Ready)},
	} {
		r := one(t, servers...)
		require.False(t, r.Serves(), name)
	}
}

// A member lapses in the list and works on: its replica may go on. Without its
// head, or with a member that leaves, it may not.
func TestReplicaMayGoOn(t *testing.T) {
	r := one(t, member("a", 0, fleet.Open), member("b", 1, fleet.Ready))
	require.True(t, r.MayKeepServing())
	r = one(t, member("b", 1, fleet.Ready), member("c", 2, fleet.Ready))
	require.False(t, r.MayKeepServing())
	leaving := member("b", 1, fleet.Ready)
	leaving.Draining = true
	r = one(t, member("a", 0, fleet.Open), leaving)
	require.False(t, r.MayKeepServing())
}

func TestNamesSayTheModel(t *testing.T) {
	require.Equal(t, "a/b", fleet.ModelOf(fleet.ReplicaName("a/b", 12)))
	require.Empty(t, fleet.ModelOf("somebody's"))
}
