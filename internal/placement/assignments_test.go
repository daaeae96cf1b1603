package placement

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// A faulty policy plans a VM into two replicas, or twice into one. Both replicas would
// load over each other's weights and mix up callers' answers, so Assignments must reject
// the action and stay unchanged.
func TestAssignmentsRefuseSharedVMs(t *testing.T) {
	assignments, err := NewAssignments("z", nil)
	require.NoError(t, err)
	_, err = assignments.Apply(Action{Kind: Form, Group: "g", Members: []cluster.VMID{"a", "b"}}, CommitMetadata{NewID: "r1", Fence: 3})
	require.NoError(t, err)
	before := assignments.Replicas()
	refused := []struct {
		action Action
		id     cluster.ReplicaID
	}{
		{Action{Kind: Form, Members: []cluster.VMID{"c", "a"}}, "r2"},
		{Action{Kind: Form, Members: []cluster.VMID{"c", "c"}}, "r2"},
		{Action{Kind: Form, Members: []cluster.VMID{"c"}}, "r1"},
		{Action{Kind: Form}, "r2"},
		{Action{Kind: Replace, Replica: "r1", OldMembers: []cluster.VMID{"a"}, NewMembers: []cluster.VMID{"b"}}, ""},
		{Action{Kind: Replace, Replica: "r1", OldMembers: []cluster.VMID{"x"}, NewMembers: []cluster.VMID{"c"}}, ""},
		{Action{Kind: Replace, Replica: "r1", OldMembers: []cluster.VMID{"a", "b"}, NewMembers: []cluster.VMID{"c"}}, ""},
		{Action{Kind: BreakUp, Replica: "r9"}, ""},
		{Action{Kind: Wait, Replica: "r1"}, ""},
	}
	for _, b := range refused {
		_, err := assignments.Apply(b.action, CommitMetadata{NewID: b.id, Fence: 3})
		_, ok := errors.Into[*AssignmentError](err)
		require.True(t, ok, "%+v: %v", b.action, err)
		require.Equal(t, before, assignments.Replicas())
		require.Equal(t, cluster.ReplicaID("r1"), assignments.ReplicaOf("a"))
		require.Empty(t, assignments.ReplicaOf("c"))
	}
	shared := []cluster.Replica{{ID: "r1", Members: []cluster.VMID{"a"}, Serving: "a"}, {ID: "r2", Members: []cluster.VMID{"a"}, Serving: "a"}}
	_, err = NewAssignments("z", shared)
	require.Error(t, err)
}

func TestAssignmentChanges(t *testing.T) {
	assignments, err := NewAssignments("z", nil)
	require.NoError(t, err)
	formed, err := assignments.Apply(Action{Kind: Form, Group: "g", Members: []cluster.VMID{"a", "b"}}, CommitMetadata{NewID: "r1", Model: "m", Fence: 3})
	require.NoError(t, err)
	want := cluster.Replica{ID: "r1", Group: "g", Model: "m", Zone: "z", Generation: 1, Fence: 3, Members: []cluster.VMID{"a", "b"}, Serving: "a"}
	require.Equal(t, Change{Replica: want}, formed)

	drained, err := assignments.Apply(Action{Kind: Drain, Replica: "r1"}, CommitMetadata{Fence: 4})
	require.NoError(t, err)
	require.True(t, drained.Replica.Leaving)
	require.Equal(t, int64(1), drained.Replica.Generation, "a drain must not reassign engines")

	replaced, err := assignments.Apply(Action{Kind: Replace, Replica: "r1", OldMembers: []cluster.VMID{"a"}, NewMembers: []cluster.VMID{"c"}}, CommitMetadata{Fence: 4})
	require.NoError(t, err)
	require.Equal(t, []cluster.VMID{"c", "b"}, replaced.Replica.Members)
	require.Equal(t, cluster.VMID("c"), replaced.Replica.Serving)
	require.False(t, replaced.Replica.Leaving)
	require.Equal(t, int64(2), replaced.Replica.Generation)
	require.Equal(t, []cluster.VMID{"a", "b"}, formed.Replica.Members, "committed values must not change")

	removed, err := assignments.Apply(Action{Kind: BreakUp, Replica: "r1"}, CommitMetadata{})
	require.NoError(t, err)
	require.True(t, removed.Removed)
	require.Empty(t, assignments.Replicas())
	require.Empty(t, assignments.ReplicaOf("b"))
}
