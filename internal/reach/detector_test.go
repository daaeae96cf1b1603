package reach_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/reach"
)

// network accepts connections to the servers below up; the others hang.
type network struct {
	up, dials atomic.Int32
}

func (n *network) accepts(ctx context.Context, server conns.Peer) bool {
	n.dials.Add(1)
	number, err := strconv.Atoi(string(server.Server))
	if err == nil && number < int(n.up.Load()) {
		return true
	}
	<-ctx.Done()
	return false
}

func serverAddr(i int) string { return "addr-" + strconv.Itoa(i) }

// The first localServers of the servers are in the detector's zone.
const servers, localServers = 20, 6

// withDetector runs test with a detector in virtual time; lost counts the calls of OnLost.
func withDetector(t *testing.T, test func(t *testing.T, d *reach.Detector, n *network, lost *atomic.Int32)) {
	synctest.Test(t, func(t *testing.T) {
		n, lost := &network{}, &atomic.Int32{}
		n.up.Store(servers)
		d := reach.NewDetector(reach.Options{
			Servers: func() (local, others []conns.Peer) {
				for i := range servers {
					peer := conns.Peer{Server: cluster.VMID(strconv.Itoa(i)), Addr: serverAddr(i)}
					if i < localServers {
						local = append(local, peer)
						continue
					}
					others = append(others, peer)
				}
				return local, others
			},
			Accepts: n.accepts, OnLost: func() { lost.Add(1) }, Log: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); d.Run(ctx) }()
		test(t, d, n, lost)
		cancel()
		<-done
	})
}

// Guards against a node that goes on trying servers one after the other, and one that never
// returns to them.
func TestLostPathIsFoundAndItsReturnToo(t *testing.T) {
	withDetector(t, func(t *testing.T, d *reach.Detector, n *network, lost *atomic.Int32) {
		n.up.Store(0)
		d.Failed("a")
		d.Failed("b")
		time.Sleep(time.Second)
		require.True(t, d.Unreachable())
		require.False(t, d.SomeReachable())
		require.False(t, d.Probe(t.Context()))
		require.EqualValues(t, 1, lost.Load())
		n.up.Store(servers)
		time.Sleep(2 * time.Second)
		require.False(t, d.Unreachable())
		require.True(t, d.Probe(t.Context()))
	})
}

// Guards against a node that takes a few dead or silent servers for a lost path.
func TestFailedServersAreNoLostPath(t *testing.T) {
	withDetector(t, func(t *testing.T, d *reach.Detector, n *network, _ *atomic.Int32) {
		n.up.Store(servers - 3)
		for range 100 {
			d.Failed("a")
			d.Failed("b")
			d.Failed("c")
			time.Sleep(50 * time.Millisecond)
			require.False(t, d.Unreachable())
		}
		require.LessOrEqual(t, n.dials.Load(), int32(48), "probes are rare")
	})
}

// Guards against the check of a crash that times out because other servers are silent.
func TestProbeDoesNotWaitForSilentServers(t *testing.T) {
	withDetector(t, func(t *testing.T, d *reach.Detector, n *network, _ *atomic.Int32) {
		n.up.Store(localServers) // the half of each probe that goes to other zones is silent
		began := time.Now()
		require.True(t, d.Probe(t.Context()))
		require.Zero(t, time.Since(began))
	})
}

// Guards against probes where single servers fail among others that answer.
func TestAnswersBetweenFailuresKeepThePath(t *testing.T) {
	withDetector(t, func(t *testing.T, d *reach.Detector, n *network, _ *atomic.Int32) {
		for range 100 {
			d.Failed("a")
			d.Answered()
			d.Failed("b")
			d.Answered()
		}
		time.Sleep(time.Second)
		require.Zero(t, n.dials.Load())
	})
}

// Guards against a node that swings between the servers and other nodes while few servers are
// reachable.
func TestPathIsRestoredOnlyWithMostServers(t *testing.T) {
	withDetector(t, func(t *testing.T, d *reach.Detector, n *network, lost *atomic.Int32) {
		n.up.Store(0)
		d.Failed("a")
		d.Failed("b")
		time.Sleep(time.Second)
		n.up.Store(1)
		time.Sleep(5 * time.Second)
		require.True(t, d.Unreachable())
		require.True(t, d.SomeReachable())
		require.EqualValues(t, 1, lost.Load())
	})
}

// Guards against calls sent to servers out of reach, or to none although some are reachable.
func TestReachableServersAreKnownWhileThePathIsLost(t *testing.T) {
	withDetector(t, func(t *testing.T, d *reach.Detector, n *network, _ *atomic.Int32) {
		n.up.Store(1)
		d.Failed("a")
		d.Failed("b")
		time.Sleep(3 * time.Second)
		for range 100 { // the server is probed every third time only
			require.True(t, d.Reachable(serverAddr(0)))
			require.False(t, d.Reachable(serverAddr(1)))
			time.Sleep(50 * time.Millisecond)
		}
		d.Failed(serverAddr(0))
		require.False(t, d.Reachable(serverAddr(0)))
		require.False(t, d.SomeReachable())
		time.Sleep(3 * time.Second)
		require.True(t, d.Reachable(serverAddr(0)), "probed again")
		n.up.Store(0)
		time.Sleep(5 * time.Second)
		require.False(t, d.Reachable(serverAddr(0)))
	})
}

// Guards against a node that hands calls over across the cut of its own zone, whose servers it
// still reaches.
func TestCutZoneIsNoLostPath(t *testing.T) {
	withDetector(t, func(t *testing.T, d *reach.Detector, n *network, _ *atomic.Int32) {
		n.up.Store(localServers)
		for range 100 {
			d.Failed("a")
			d.Failed("b")
			time.Sleep(100 * time.Millisecond)
			require.False(t, d.Unreachable())
		}
	})
}
