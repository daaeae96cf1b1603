package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A settings file is copied to a second VM without changing the node's name, so two
// processes run under one name and the peers ignore one of them. That one must report
// itself as not ready, in its log, metrics and status, and must take part again without
// a restart once the other process has stopped.
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
