package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

var groups = []rules.Group{{Name: "m", Model: "m", VMs: 3}}

// member returns a listed member of the replica "m/7" of epoch 7.
func member(id string, rank int, state fleet.State) fleet.Server {
	return fleet.Server{ID: cluster.VMID(id), Membership: &fleet.Membership{Replica: fleet.ReplicaName("m", 7), Epoch: 7, Rank: rank, State: state}}
}

func singleReplica(t *testing.T, servers ...fleet.Server) fleet.Replica {
	t.Helper()
	replicas := fleet.Replicas(fleet.List{Servers: servers}, groups)
	require.Len(t, replicas, 1)
	return replicas[0]
}

func TestReplicaServesOnlyIfHealthy(t *testing.T) {
	complete := singleReplica(t, member("a", 0, fleet.Open), member("b", 1, fleet.Ready), member("c", 2, fleet.Ready))
	require.True(t, complete.Serves())
	require.EqualValues(t, "m/7.7", complete.ID())
	require.Equal(t, "m", complete.Model)

	draining := member("c", 2, fleet.Ready)
	draining.Draining = true
	for name, servers := range map[string][]fleet.Server{
		"a member is not listed":    {member("a", 0, fleet.Open), member("b", 1, fleet.Ready)},
		"a member is joining":       {member("a", 0, fleet.Open), member("b", 1, fleet.Ready), member("c", 2, fleet.Joining)},
		"a member is draining":      {member("a", 0, fleet.Open), member("b", 1, fleet.Ready), draining},
		"two members with one rank": {member("a", 0, fleet.Open), member("b", 1, fleet.Ready), member("c", 1, fleet.Ready)},
		"the head is not open":      {member("a", 0, fleet.Ready), member("b", 1, fleet.Ready), member("c", 2, fleet.Ready)},
		"the head is broken":        {member("a", 0, fleet.Broken), member("b", 1, fleet.Ready), member("c", 2, fleet.Ready)},
		"the head is not listed":    {member("b", 1, fleet.Ready), member("c", 2, fleet.Ready)},
	} {
		r := singleReplica(t, servers...)
		require.False(t, r.Serves(), name)
	}
}

// A member whose entry expired may still be working, so its replica keeps serving. Without its
// head, or with a draining member, it does not.
func TestReplicaMayKeepServing(t *testing.T) {
	r := singleReplica(t, member("a", 0, fleet.Open), member("b", 1, fleet.Ready))
	require.True(t, r.MayKeepServing())
	r = singleReplica(t, member("b", 1, fleet.Ready), member("c", 2, fleet.Ready))
	require.False(t, r.MayKeepServing())
	leaving := member("b", 1, fleet.Ready)
	leaving.Draining = true
	r = singleReplica(t, member("a", 0, fleet.Open), leaving)
	require.False(t, r.MayKeepServing())
}

func TestModelOfReplicaName(t *testing.T) {
	require.Equal(t, "a/b", fleet.ModelOf(fleet.ReplicaName("a/b", 12)))
	require.Empty(t, fleet.ModelOf("unnumbered"))
}
