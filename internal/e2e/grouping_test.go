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
	zone     = cluster.ZoneID("serra-a")
	acquired = `msg="placement lease acquired" .*fence=(\d+)`
)

// groupedSystem is three nodes before engines in the given domains.
func groupedSystem(t *testing.T, rules string, engineArgs []string, domains ...cluster.DomainID) (*system, *committedWatch) {
	t.Helper()
	s := newSystem(t)
	w := s.watchCommitted(zone)
	for _, domain := range domains {
		s.engine(zone, domain, engineArgs...)
	}
	s.service(zone, "caixa")
	s.publish()
	for i := range 3 {
		s.startNode(cluster.NodeID(fmt.Sprintf("serra-a-%d", i+1)), zone, "", "")
	}
	s.apply(rules)
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	return s, w
}

// holder returns the node that holds the placement lease and the others.
func (s *system) holder() (*node, []*node) {
	s.t.Helper()
	var holder *node
	var others []*node
	highest := int64(0)
	for _, n := range s.nodes {
		fence := int64(0)
		for _, m := range n.matches(acquired) {
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

// awaitHolderAmong waits until one of the nodes has acquired the lease.
func (s *system) awaitHolderAmong(nodes []*node, before int) {
	s.t.Helper()
	count := func() int {
		sum := 0
		for _, n := range nodes {
			sum += len(n.matches(acquired))
		}
		return sum
	}
	require.Eventually(s.t, func() bool { return count() > before }, waitTimeout, pollEvery, "nobody took the placement lease over")
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

// The node that orders VMs into replicas stands still in the middle of an order,
// as a VM does that its host migrates. Its lease lapses, another node takes over
// and regroups after further losses. Then the old order arrives and the old
// holder wakes and believes it holds the lease still. If either counted, one VM
// would compute for two replicas, and fitters would get each other's answers or
// none. An engine that checks fencing tokens refuses the old order. One that
// ignores them obeys until the new holder reads its state and puts it right;
// meanwhile nobody is routed to it, since no node finds what it says committed.
func TestHolderFrozenInTheMiddleOfAnOrder(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		args    []string
		rules   string
		refused bool
	}{
		"fence checked": {nil, fitRules, true},
		"fence ignored": {[]string{"--checks-fence=false"}, fitRules + "fence servers=fit checks=no # asked for by: Ana\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			frozenHolder(t, c.args, c.rules, c.refused)
		})
	}
}

func frozenHolder(t *testing.T, args []string, rules string, refused bool) {
	s := newSystem(t)
	w := s.watchCommitted(zone)
	for range 5 {
		s.engine(zone, "rack-1", args...)
	}
	s.service(zone, "caixa")
	// VMs 0 and 1, 2 and 3 form replicas; VM 4 is the spare.
	spare := s.vms[4].ID
	late := s.holdUp(spare)
	s.publish()
	for i := range 3 {
		s.startNode(cluster.NodeID(fmt.Sprintf("serra-a-%d", i+1)), zone, "", "")
	}
	s.apply(rules)
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	s.awaitEnginesAgree(w)
	old, others := s.holder()
	var pumps []*pump
	for _, n := range others {
		pumps = append(pumps, s.startPump(n))
	}
	taken := 0
	for _, n := range others {
		taken += len(n.matches(acquired))
	}

	late.armed.Store(true)
	s.engines[s.vms[0].ID].kill()
	order := <-late.held
	old.signal(syscall.SIGSTOP)
	s.awaitHolderAmong(others, taken)
	// The replica that the spare has joined loses its other VM, and the second
	// replica one of its own: what is left of both becomes one.
	s.engines[s.vms[1].ID].kill()
	s.engines[s.vms[2].ID].kill()
	s.awaitNoProblem(func() string {
		now := w.assigned()
		ordered := assignment{order.Assignment.Replica, order.Assignment.Generation}
		if now[spare] != now[s.vms[3].ID] || now[spare] == ordered {
			return fmt.Sprintf("the spare has not moved: %v", now)
		}
		return ""
	})
	s.awaitEnginesAgree(w)

	close(late.release)
	result := <-late.late
	require.Equal(t, !refused, result.Accepted, "%+v", result)
	old.signal(syscall.SIGCONT)
	misled := s.awaitEnginesAgree(w)
	old.await(`msg="placement lease given up"`)
	t.Logf("late order %s of fence %d: accepted %t; engines agreed with the table after %v", order.ID, order.Fence, result.Accepted, misled.Round(time.Millisecond))
	for _, n := range s.nodes {
		s.awaitServing(n)
	}
	s.awaitEnginesAgree(w)
	for _, p := range pumps {
		p.finish()
		require.Positive(t, p.ok.Load())
	}
	w.check(s, s.nodes...)
}

// A machine of a replica stops for a while and goes on as if nothing happened,
// or its engine process dies and is back a moment later with nothing loaded. The
// replica is not whole in between and its place in the table may be taken. A node
// that went by the address alone would send fitters to an engine that is in no
// replica, or in one that was broken up.
func TestVMComesBackAsIfNothingHappened(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		away, back func(s *system, id cluster.VMID)
	}{
		"paused": {
			func(s *system, id cluster.VMID) { s.engines[id].signal(syscall.SIGSTOP) },
			func(s *system, id cluster.VMID) { s.engines[id].signal(syscall.SIGCONT) },
		},
		"started anew": {
			func(s *system, id cluster.VMID) { s.engines[id].kill() },
			func(s *system, id cluster.VMID) { s.restart(id, "--checks-fence") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, w := groupedSystem(t, fitRules, nil, "rack-1", "rack-1", "rack-1", "rack-1", "rack-1")
			s.awaitEnginesAgree(w)
			vm := s.vms[0].ID
			first := w.assigned()[vm]
			for _, n := range s.nodes {
				n.await(isWhole(first))
			}
			pumps := []*pump{s.startPump(s.nodes[0]), s.startPump(s.nodes[1])}
			c.away(s, vm)
			s.awaitCommitted(w, vm, false) // the spare takes its place
			second := w.assigned()[s.vms[1].ID]
			require.NotEqual(t, first, second)
			whole := map[*node]int{}
			for _, n := range s.nodes {
				n.await(isWhole(second))
				whole[n] = len(n.matches(isWhole(first)))
			}
			c.back(s, vm)
			s.awaitEnginesAgree(w)
			for _, n := range s.nodes {
				require.Len(t, n.matches(isWhole(first)), whole[n], "%s counted an old generation as whole", n.name)
			}
			for _, p := range pumps {
				p.finish()
				require.Positive(t, p.ok.Load())
			}
			w.check(s, s.nodes...)
		})
	}
}

func notWhole(a assignment) string { return health(a, false) }

func isWhole(a assignment) string { return health(a, true) }

func health(a assignment, whole bool) string {
	return fmt.Sprintf(`msg=replica .*replica=%s generation=%d whole=%t`, regexp.QuoteMeta(string(a.replica)), a.generation, whole)
}

// A switch fails and every machine of one fabric domain is dark at once. Half of
// the replicas are gone in one moment; fitters must be served by the other half,
// and the dark ones must not be paired with machines of another domain.
func TestFabricDomainDark(t *testing.T) {
	t.Parallel()
	s, w := groupedSystem(t, fitRules, nil, "rack-1", "rack-1", "rack-1", "rack-1", "rack-2", "rack-2")
	s.awaitEnginesAgree(w)
	all := w.assigned()
	require.Len(t, all, 6)
	var pumps []*pump
	for _, n := range s.nodes {
		for _, a := range all {
			n.await(isWhole(a))
		}
		pumps = append(pumps, s.startPump(n))
	}
	dark := s.vms[:4]
	for _, vm := range dark {
		s.engines[vm.ID].signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		for _, vm := range dark {
			n.await(notWhole(all[vm.ID]))
		}
	}
	for _, p := range pumps {
		before := p.ok.Load()
		require.Eventually(t, func() bool { return p.ok.Load() > before }, waitTimeout, pollEvery)
	}
	for _, vm := range dark {
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
	require.NotEqual(t, now[s.vms[4].ID], now[s.vms[0].ID], "a replica over two domains")
	for _, p := range pumps {
		p.finish()
	}
	w.check(s, s.nodes...)
}
