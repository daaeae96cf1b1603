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

// Two systems run with the same datagram key and the same names for their nodes, as
// copied settings or two trials on one machine have it. An address of the one reaches
// the other, since addresses are given out anew. Each node then meets its namesake, and
// one of the two falls silent: an operator waits in vain for a change to be in force on
// it, though it has it. With a name for each system they don't hear each other at all.
func TestTwoSystemsThatLearnOfEachOther(t *testing.T) {
	meet := func(t *testing.T, nameA, nameB string) (silent int) {
		synctest.Test(t, func(t *testing.T) {
			net := wiretest.New(21)
			a := startSystem(t, net, nameA, 1, 4, addrOf)
			time.Sleep(100 * time.Millisecond) // starts differ, and with them the incarnations
			b := startSystem(t, net, nameB, 1, 4, func(zone, i int) string { return fmt.Sprintf("10.9.%d.%d:7000", zone, i+1) })
			a.within(joinBound, "each system sees its own", func() bool {
				return sees(a.all, a.all, membership.Alive) && sees(b.all, b.all, membership.Alive)
			})
			// A seed of the one, long gone, has its address taken by a node of the other.
			stray := b.runAs(0, 4, "10.9.0.5:7000", 0, addrOf(0, 0))
			b.all = append(b.all, stray)
			time.Sleep(joinBound)
			synctest.Wait()
			for _, n := range append(a.all, b.all...) {
				if n.Superseded() {
					silent++
				}
			}
		})
		return silent
	}
	require.NotZero(t, meet(t, "", ""), "the fault shows without names")
	require.Zero(t, meet(t, "urubici", "kucera"))
}

// A settings file was copied, and two processes run under one name; the older one
// falls silent. Then the newer one is stopped. Nobody hears the first one though it
// serves, and every change of the rules seems not to be in force on it until it is
// restarted. It has to notice that its namesake is gone, and only then to speak again.
func TestSilentNodeSpeaksAgainWhenItsNamesakeIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ns := start(t, 22, 1, 4)
		ns.within(joinBound, "all see all", func() bool { return sees(ns.all, ns.all, membership.Alive) })
		first, rest := ns.all[3], ns.all[:3]
		copied := ns.run(0, 3, "10.0.0.99:7000")
		ns.all = append(ns.all, copied)
		ns.within(healBound, "the first one falls silent", first.Superseded)
		for range 60 {
			time.Sleep(time.Second)
			synctest.Wait()
			require.True(t, first.Superseded(), "it spoke while its namesake lived")
			require.False(t, copied.Superseded())
		}
		copied.kill()
		ns.within(deadBound+healBound, "the first one speaks again", func() bool {
			return !first.Superseded() && sees(rest, []*node{first}, membership.Alive) && sees([]*node{first}, rest, membership.Alive)
		})
	})
}

// The same while no other node answers: nobody can be misled then, and the node need
// not wait for an operator.
func TestSilentNodeThatNobodyAnswersSpeaksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ns := start(t, 23, 1, 2)
		ns.within(joinBound, "all see all", func() bool { return sees(ns.all, ns.all, membership.Alive) })
		first := ns.all[1]
		copied := ns.run(0, 1, "10.0.0.99:7000")
		ns.all = append(ns.all, copied)
		ns.within(healBound, "the first one falls silent", first.Superseded)
		copied.kill()
		ns.all[0].kill()
		ns.within(deadBound, "it speaks again", func() bool { return !first.Superseded() })
	})
}
