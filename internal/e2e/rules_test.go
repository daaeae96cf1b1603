package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/ctl"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

const rulesInForceLogLine = `msg="rules in force" .*event=rules_in_force revision=(\d+)`

// nodesWithoutEngines is a system of that many nodes in one zone, without engines and
// with baseRules in force.
func nodesWithoutEngines(t *testing.T, count int) *system {
	t.Helper()
	s := newSystem(t)
	s.startService(zone, "caixa")
	s.publish()
	for i := range count {
		s.startNode(cluster.NodeID(fmt.Sprintf("serra-a-%d", i+1)), zone, "", "")
	}
	s.applyRules(baseRules)
	return s
}

// rulesFile writes a file of baseRules and one more line.
func (s *system) rulesFile(name, line string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	require.NoError(s.t, os.WriteFile(path, []byte(baseRules+line+"\n"), 0o600))
	return path
}

func limitLine(inflight int, by string) string {
	return fmt.Sprintf("limit team=school-a share=20 inflight=%d # asked for by: %s", inflight, by)
}

// rulesRevision is the newest rules revision in the store.
func (s *system) rulesRevision() int64 {
	s.t.Helper()
	kv, _, err := s.store().Get(s.t.Context(), store.RulesKey)
	require.NoError(s.t, err)
	require.NotNil(s.t, kv)
	return kv.ModRevision
}

func (n *node) awaitRevision(revision int64) {
	n.await(fmt.Sprintf(`%s .*`, strings.Replace(rulesInForceLogLine, `(\d+)`, fmt.Sprint(revision), 1)))
}

// requireIncreasingRevisions fails if the node ever put a lower revision into force after
// a higher one.
func (s *system) requireIncreasingRevisions(n *node) {
	s.t.Helper()
	var seen []int64
	for _, m := range n.matches(rulesInForceLogLine) {
		seen = append(seen, parseInt(s, m[1]))
	}
	require.True(s.t, slices.IsSorted(seen), "%s: %v", n.name, seen)
}

func isReady(s *system, n *node) bool {
	return s.call(n, http.MethodGet, "/readyz", "", nil).status == http.StatusOK
}

// A change is accepted while one node is paused. Then the store goes down, the paused
// node resumes with the old rules, and other nodes are killed and replaced by new ones
// without state. If a new node adopted the first rules that it receives, some nodes would
// serve by rules that have been replaced. A new node must not be ready before it has the
// newest revision.
func TestNewNodeNeverAdoptsOldRules(t *testing.T) {
	t.Parallel()
	s := nodesWithoutEngines(t, 3)
	first := s.rulesRevision()
	old := s.nodes[2]
	old.signal(syscall.SIGSTOP)
	out, code := s.ctl("rules", "apply", "--author", "Ana", s.rulesFile("second", limitLine(8, "Ana")))
	require.Zero(t, code, out)
	second := s.rulesRevision()
	require.Greater(t, second, first)
	for _, n := range s.nodes[:2] {
		n.awaitRevision(second)
	}
	out, code = s.ctl("rules", "wait", fmt.Sprint(second), "--timeout", "3s")
	require.Equal(t, int(ctl.ExitNotInForce), code, out)
	require.Contains(t, out, "2 of 3 nodes")
	require.Contains(t, out, "serra-a-3 (serra-a)")

	s.faults(platform.Faults{Store: memstore.Faults{Down: true}, VMsDown: true})
	s.nodes[1].kill()
	replaced := s.nodes[1]
	s.nodes = []*node{old, s.nodes[0]} // the seeds, the one with old rules first
	fresh := s.startNode("serra-a-2", zone, "", "")
	old.signal(syscall.SIGCONT)
	require.Eventually(t, func() bool { return isReady(s, fresh) }, waitTimeout, pollEvery)
	fresh.awaitRevision(second)
	require.Len(t, fresh.matches(rulesInForceLogLine), 1)
	require.Equal(t, second, parseInt(s, fresh.matches(rulesInForceLogLine)[0][1]))
	old.awaitRevision(second)

	// Replace also the last node that was running when the change was accepted.
	s.nodes[1].kill()
	gone := s.nodes[1]
	s.nodes = []*node{old, fresh}
	third := s.startNode("serra-a-1", zone, "", "")
	third.awaitRevision(second)
	s.faults(platform.Faults{})
	out, code = s.ctl("rules", "apply", "--author", "Ana", "--wait", s.rulesFile("third", limitLine(9, "Ana")))
	require.Zero(t, code, out)
	for _, n := range []*node{old, fresh, third, replaced, gone} {
		s.requireIncreasingRevisions(n)
	}
}

// Two operators edit the same revision and apply their changes through two nodes at once.
// If both were accepted, one would silently undo the other. One must be accepted; the
// other operator must see what changed and lose none of their own edits.
func TestConcurrentApplyByTwoOperators(t *testing.T) {
	t.Parallel()
	s := nodesWithoutEngines(t, 2)
	for round := range 3 {
		base := fmt.Sprint(s.rulesRevision())
		authors := []string{"Ana", "Bruno"}
		outs, codes := make([]string, 2), make([]int, 2)
		var both sync.WaitGroup
		for i, author := range authors {
			file := s.rulesFile("race-"+author, limitLine(10*round+10+i, author))
			viaOne := *s
			viaOne.nodes = []*node{s.nodes[i]}
			both.Go(func() { outs[i], codes[i] = viaOne.ctl("rules", "apply", "--base", base, "--author", author, file) })
		}
		both.Wait()
		winner := slices.Index(codes, int(ctl.ExitOK))
		require.ElementsMatch(t, []int{int(ctl.ExitOK), int(ctl.ExitConflict)}, codes, "%s", outs)
		loser := 1 - winner
		require.Contains(t, outs[loser], "conflict: "+authors[winner])
		require.Contains(t, outs[loser], limitLine(10*round+10+winner, authors[winner]))
		for i := range s.nodes {
			s.nodes[i].awaitRevision(s.rulesRevision())
			viaOne := *s
			viaOne.nodes = []*node{s.nodes[i]}
			shown, code := viaOne.ctl("rules", "show")
			require.Zero(t, code, shown)
			require.Contains(t, shown, limitLine(10*round+10+winner, authors[winner]))
			require.NotContains(t, shown, limitLine(10*round+10+loser, authors[loser]))
		}
	}
}

// maxPropagationTime is the documented bound from acceptance to force on all nodes.
const maxPropagationTime = 16 * time.Second

// While only some nodes have a change, callers are served by old and new rules at once.
// The time from acceptance until the change is in force on the last node is bounded; it
// is measured from the log lines of the nodes.
func TestRulesInForceEverywhere(t *testing.T) {
	t.Parallel()
	const nodes, changes = 8, 5
	s := nodesWithoutEngines(t, nodes)
	var took []time.Duration
	for i := range changes {
		out, code := s.ctl("rules", "apply", "--author", "Ana", s.rulesFile("change", limitLine(20+i, "Ana")))
		require.Zero(t, code, out)
		revision := s.rulesRevision()
		accepted := time.Time{}
		var inForceAt []time.Time
		for _, n := range s.nodes {
			n.awaitRevision(revision)
			at := logTime(s, n, fmt.Sprintf(`time=(\S+) .*event=rules_in_force revision=%d `, revision))
			inForceAt = append(inForceAt, at)
			if accepted.IsZero() || at.Before(accepted) {
				accepted = at // the node that wrote it puts it into force before it answers
			}
		}
		for _, at := range inForceAt {
			took = append(took, at.Sub(accepted))
		}
	}
	slices.Sort(took)
	t.Logf("%d nodes, %d changes: in force after median %v, worst %v", nodes, changes, took[len(took)/2], took[len(took)-1])
	require.Less(t, took[len(took)-1], maxPropagationTime)
}

func logTime(s *system, n *node, pattern string) time.Time {
	s.t.Helper()
	at, err := time.Parse(time.RFC3339Nano, n.await(pattern))
	require.NoError(s.t, err)
	return at
}
