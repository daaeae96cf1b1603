package membership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire/wiretest"
)

// Two systems use the same datagram key and node names, because settings were copied or two
// trials run on one machine. When an address is reassigned, a node of one system reaches
// the other system. Of two nodes with the same name one then stops sending, and operators
// do not see that a change is in force on it. With different system names the systems
// ignore each other's datagrams.
func TestTwoSystemsWithTheSameKeyAndNodeNames(t *testing.T) {
	run := func(t *testing.T, nameA, nameB string) (superseded int) {
		synctest.Test(t, func(t *testing.T) {
			net := wiretest.New(21)
			a := startSystem(t, net, nameA, 1, 4, addrOf)
			time.Sleep(100 * time.Millisecond) // so that the start times and incarnations differ
			b := startSystem(t, net, nameB, 1, 4, func(zone, i int) string { return fmt.Sprintf("10.9.%d.%d:7000", zone, i+1) })
			a.within(joinBound, "each system sees its own nodes", func() bool {
				return sees(a.all, a.all, membership.Alive) && sees(b.all, b.all, membership.Alive)
			})
			// A node of one system has as a seed an address that now belongs to the other.
			joined := b.runAs(0, 4, "10.9.0.5:7000", 0, addrOf(0, 0))
			b.all = append(b.all, joined)
			time.Sleep(joinBound)
			synctest.Wait()
			for _, n := range append(a.all, b.all...) {
				if n.Superseded() {
					superseded++
				}
			}
		})
		return superseded
	}
	require.NotZero(t, run(t, "", ""), "without names the fault must occur")
	require.Zero(t, run(t, "urubici", "kucera"))
}

// A settings file was copied and two processes use one name, so the older one stops sending.
// Then the newer one is stopped. The first process serves but is not heard, and no rules
// change is reported as in force on it until a restart. It must detect that the duplicate
// is gone and only then resume sending.
func TestSupersededNodeResumesWhenTheDuplicateIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ns := start(t, 22, 1, 4)
		ns.within(joinBound, "all see all", func() bool { return sees(ns.all, ns.all, membership.Alive) })
		first, rest := ns.all[3], ns.all[:3]
		copied := ns.run(0, 3, "10.0.0.99:7000")
		ns.all = append(ns.all, copied)
		ns.within(healBound, "the first one stops sending", first.Superseded)
		for range 60 {
			time.Sleep(time.Second)
			synctest.Wait()
			require.True(t, first.Superseded(), "it sent while its duplicate was alive")
			require.False(t, copied.Superseded())
		}
		copied.kill()
		ns.within(deadBound+healBound, "the first one resumes", func() bool {
			return !first.Superseded() && sees(rest, []*node{first}, membership.Alive) && sees([]*node{first}, rest, membership.Alive)
		})
	})
}

// As above, but no other node answers. Resuming can then confuse no peer, so the node must
// not wait for an operator.
func TestSupersededNodeResumesWhenNoNodeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ns := start(t, 23, 1, 2)
		ns.within(joinBound, "all see all", func() bool { return sees(ns.all, ns.all, membership.Alive) })
		first := ns.all[1]
		copied := ns.run(0, 1, "10.0.0.99:7000")
		ns.all = append(ns.all, copied)
		ns.within(healBound, "the first one stops sending", first.Superseded)
		copied.kill()
		ns.all[0].kill()
		ns.within(deadBound, "it resumes", func() bool { return !first.Superseded() })
	})
}
