package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An operator copies a settings file to a second VM and forgets to change the node's
// name. Both processes run, and one of them is heard by nobody. It has to say so where
// operators look, and to get no callers; and when the other one is stopped it has to
// take part again without a restart.
func TestCopiedSettingsFile(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.startNode("serra-a-1", "serra-a", "", "")
	first := s.startNode("serra-a-2", "serra-a", "", "")
	s.awaitAllHeard()
	copied := s.startNode("serra-a-2", "serra-a", "", "")
	first.await(`(msg="another process runs under this node's name, this node stops sending")`)
	require.Contains(t, s.metrics(first), "fennel_membership_superseded 1")
	s.nodes = []*node{first}
	out, _ := s.ctl("status")
	require.Contains(t, out, "not ready: a newer process runs under this node's name")
	copied.kill()
	first.await(`(msg="no other process runs under this node's name any more, this node resumes sending")`)
	require.Contains(t, s.metrics(first), "fennel_membership_superseded 0")
}
