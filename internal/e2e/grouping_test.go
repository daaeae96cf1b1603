package e2e

import (
	"fmt"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

const (
	zone                 = cluster.ZoneID("serra-a")
	leaseAcquiredLogLine = `msg="placement lease acquired" .*fence=(\d+)`
)

// groupedSystem is a system of three nodes, one service and one engine for each of the
// given domains.
func groupedSystem(t *testing.T, rules string, engineArgs []string, domains ...cluster.DomainID) (*system, *committedWatch) {
	t.Helper()
	s := newSystem(t)
	w := s.watchCommitted(zone)
	for _, domain := range domains {
		s.startEngine(zone, domain, engineArgs...)
	}
	s.startService(zone, "caixa")
	s.publish()
	for i := range 3 {
		s.startNode(cluster.NodeID(fmt.Sprintf("serra-a-%d", i+1)), zone, "", "")
	}
	s.applyRules(rules)
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	return s, w
}

// holder returns the node that holds the placement lease, and the others.
func (s *system) holder() (*node, []*node) {
	s.t.Helper()
	var holder *node
	var others []*node
	highest := int64(0)
	for _, n := range s.nodes {
		fence := int64(0)
		for _, m := range n.matches(leaseAcquiredLogLine) {
			fence = parseInt(s, m[1])
		}
		if fence > highest {
			highest, holder = fence, n
		}
	}
	require.NotNil(s.t, holder)
	for _, n := range s.nodes {
		if n != holder {
			others = append(others, n)
		}
	}
	return holder, others
}

// awaitHolderAmong waits until the nodes have acquired the lease more often than before.
func (s *system) awaitHolderAmong(nodes []*node, before int) {
	s.t.Helper()
	count := func() int {
		sum := 0
		for _, n := range nodes {
			sum += len(n.matches(leaseAcquiredLogLine))
		}
		return sum
	}
	require.Eventually(s.t, func() bool { return count() > before }, waitTimeout, pollEvery, "no node took over the placement lease")
}

// awaitCommitted waits until the table holds the VM, or no longer holds it.
func (s *system) awaitCommitted(w *committedWatch, vm cluster.VMID, held bool) assignment {
	s.t.Helper()
	var have assignment
	require.Eventually(s.t, func() bool {
		var ok bool
		have, ok = w.assigned()[vm]
		return ok == held
	}, waitTimeout, pollEvery, "VM %s: want in a replica: %t", vm, held)
	return have
}

// The placement lease holder is paused in the middle of an order, as a VM is during a
// live migration. Its lease expires, another node takes over and regroups after
// further losses. Then the old order arrives, and the old holder resumes and still
// believes that it holds the lease. If either took effect, one VM would compute for
// two replicas, and callers would get each other's answers or none. An engine that
// checks fencing tokens refuses the old order. One that ignores them obeys it until
// the new holder reads its state and corrects it; meanwhile no node routes to it,
// since what it reports is not the committed assignment.
func TestHolderFrozenInTheMiddleOfAnOrder(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		args    []string
		rules   string
		refused bool
	}{
		"fencing token checked": {nil, baseRules, true},
		"fencing token ignored": {[]string{"--checks-fence=false"}, baseRules + "fence servers=fit checks=no # asked for by: Ana\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testFrozenHolder(t, c.args, c.rules, c.refused)
		})
	}
}

func testFrozenHolder(t *testing.T, args []string, rules string, refused bool) {
	s := newSystem(t)
	w := s.watchCommitted(zone)
	for range 5 {
		s.startEngine(zone, "rack-1", args...)
	}
	s.startService(zone, "caixa")
	// VMs 0 and 1, 2 and 3 form replicas; VM 4 is the spare.
	spare := s.vms[4].ID
	late := s.interposeRelay(spare)
	s.publish()
	for i := range 3 {
		s.startNode(cluster.NodeID(fmt.Sprintf("serra-a-%d", i+1)), zone, "", "")
	}
	s.applyRules(rules)
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	s.awaitEnginesAgree(w)
	old, others := s.holder()
	var chatLoops []*chatLoop
	for _, n := range others {
		chatLoops = append(chatLoops, s.startChats(n))
	}
	acquisitions := 0
	for _, n := range others {
		acquisitions += len(n.matches(leaseAcquiredLogLine))
	}

	late.holdNext.Store(true)
	s.engines[s.vms[0].ID].kill()
	order := <-late.held
	old.signal(syscall.SIGSTOP)
	s.awaitHolderAmong(others, acquisitions)
	// The replica that the spare joined loses its other VM, and the second replica
	// one of its VMs: the two remaining VMs form one replica.
	s.engines[s.vms[1].ID].kill()
	s.engines[s.vms[2].ID].kill()
	s.awaitNoProblem(func() string {
		now := w.assigned()
		ordered := assignment{order.Assignment.Replica, order.Assignment.Generation}
		if now[spare] != now[s.vms[3].ID] || now[spare] == ordered {
			return fmt.Sprintf("the spare VM has not been moved: %v", now)
		}
		return ""
	})
	s.awaitEnginesAgree(w)

	close(late.release)
	result := <-late.lateResult
	require.Equal(t, !refused, result.Accepted, "%+v", result)
	old.signal(syscall.SIGCONT)
	convergence := s.awaitEnginesAgree(w)
	old.await(`msg="placement lease given up"`)
	t.Logf("late order %s with fencing token %d: accepted %t; engines agreed with the table after %v", order.ID, order.Fence, result.Accepted, convergence.Round(time.Millisecond))
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	s.awaitEnginesAgree(w)
	for _, p := range chatLoops {
		p.finish()
		require.Positive(t, p.answered.Load())
	}
	w.check(s, s.nodes...)
}

// A VM of a replica is paused and resumes, or its engine process dies and restarts
// with nothing loaded. The replica is unhealthy in between, and another VM may take
// its place in the table. A node that went by the address alone would route to an
// engine that is in no replica, or in one that was broken up.
func TestVMReturnsAfterPauseOrRestart(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		interrupt, restore func(s *system, id cluster.VMID)
	}{
		"paused": {
			func(s *system, id cluster.VMID) { s.engines[id].signal(syscall.SIGSTOP) },
			func(s *system, id cluster.VMID) { s.engines[id].signal(syscall.SIGCONT) },
		},
		"restarted": {
			func(s *system, id cluster.VMID) { s.engines[id].kill() },
			func(s *system, id cluster.VMID) { s.restart(id, "--checks-fence") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, w := groupedSystem(t, baseRules, nil, "rack-1", "rack-1", "rack-1", "rack-1", "rack-1")
			s.awaitEnginesAgree(w)
			vm := s.vms[0].ID
			first := w.assigned()[vm]
			for _, n := range s.nodes {
				n.await(healthyLogLine(first))
			}
			chatLoops := []*chatLoop{s.startChats(s.nodes[0]), s.startChats(s.nodes[1])}
			c.interrupt(s, vm)
			s.awaitCommitted(w, vm, false) // the spare VM replaces it
			second := w.assigned()[s.vms[1].ID]
			require.NotEqual(t, first, second)
			healthyLines := map[*node]int{}
			for _, n := range s.nodes {
				n.await(healthyLogLine(second))
				healthyLines[n] = len(n.matches(healthyLogLine(first)))
			}
			c.restore(s, vm)
			s.awaitEnginesAgree(w)
			for _, n := range s.nodes {
				require.Len(t, n.matches(healthyLogLine(first)), healthyLines[n], "%s counted an old generation as healthy", n.name)
			}
			for _, p := range chatLoops {
				p.finish()
				require.Positive(t, p.answered.Load())
			}
			w.check(s, s.nodes...)
		})
	}
}

func unhealthyLogLine(a assignment) string { return healthLogLine(a, false) }

func healthyLogLine(a assignment) string { return healthLogLine(a, true) }

func healthLogLine(a assignment, healthy bool) string {
	return fmt.Sprintf(`msg=replica .*replica=%s generation=%d whole=%t`, regexp.QuoteMeta(string(a.replica)), a.generation, healthy)
}

// All VMs of one fabric domain fail at once, as when a switch fails: half of the
// replicas are lost. Callers must be served by the other half, and the failed VMs must
// not be grouped with VMs of another domain.
func TestFabricDomainFailure(t *testing.T) {
	t.Parallel()
	s, w := groupedSystem(t, baseRules, nil, "rack-1", "rack-1", "rack-1", "rack-1", "rack-2", "rack-2")
	s.awaitEnginesAgree(w)
	all := w.assigned()
	require.Len(t, all, 6)
	var chatLoops []*chatLoop
	for _, n := range s.nodes {
		for _, a := range all {
			n.await(healthyLogLine(a))
		}
		chatLoops = append(chatLoops, s.startChats(n))
	}
	failed := s.vms[:4]
	for _, vm := range failed {
		s.engines[vm.ID].signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		for _, vm := range failed {
			n.await(unhealthyLogLine(all[vm.ID]))
		}
	}
	for _, p := range chatLoops {
		before := p.answered.Load()
		require.Eventually(t, func() bool { return p.answered.Load() > before }, waitTimeout, pollEvery)
	}
	for _, vm := range failed {
		<-s.engines[vm.ID].done
		s.restart(vm.ID, "--checks-fence")
	}
	s.awaitNoProblem(func() string {
		if n := len(w.assigned()); n != 6 {
			return fmt.Sprintf("%d of 6 VMs are in replicas", n)
		}
		return ""
	})
	s.awaitEnginesAgree(w)
	now := w.assigned()
	require.NotEqual(t, now[s.vms[4].ID], now[s.vms[0].ID], "a replica spans two domains")
	for _, p := range chatLoops {
		p.finish()
	}
	w.check(s, s.nodes...)
}
