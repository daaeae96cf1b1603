package entry

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/settings"
)

// Guards against the end of a server that left as planned being taken for a crash, and the reverse.
func TestFirstNoticeOfAProcessIsKept(t *testing.T) {
	start := time.Now()
	listed := fleet.Server{ID: "a", Addr: "1", StartedAt: time.UnixMilli(1)}
	draining, restarted := listed, listed
	draining.Draining = true
	restarted.StartedAt = time.UnixMilli(2)
	d, list := &departures{}, fleet.List{Servers: []fleet.Server{listed}}
	change := func(after time.Duration, servers ...fleet.Server) {
		next := fleet.List{Servers: servers}
		d.update(fleet.Delta{Servers: []cluster.VMID{"a"}}, &list, next, start.Add(after))
		list = next
	}
	change(0, listed)
	require.Zero(t, d.noticeOf(peerOf(&listed)))
	change(time.Second, draining)
	change(2 * time.Second)
	require.Equal(t, start.Add(time.Second), d.noticeOf(peerOf(&listed)), "the removal follows the notice")
	change(3*time.Second, listed)
	require.Zero(t, d.noticeOf(peerOf(&listed)), "an expired entry is back")
	change(4*time.Second, restarted)
	require.Equal(t, start.Add(4*time.Second), d.noticeOf(peerOf(&listed)))
	require.Zero(t, d.noticeOf(peerOf(&restarted)))
	change(4*time.Second+departureTTL, draining)
	change(5*time.Second+departureTTL, draining)
	require.Zero(t, d.noticeOf(peerOf(&listed)), "old notices are dropped")
	other := fleet.Server{ID: "b", Addr: "2", StartedAt: time.UnixMilli(1)}
	d.note(peerOf(&other), start.Add(time.Second))
	d.note(peerOf(&other), start.Add(2*time.Second))
	require.Equal(t, start.Add(time.Second), d.noticeOf(peerOf(&other)), "of the process itself")
}

// Guards against a server that said by mistake that it leaves and gets no requests again, and against one that leaves while the store is away.
func TestServerListedLongAfterItSaidItLeavesGetsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := NewCore(&settings.Settings{Node: "n", Zone: "a"}, testPlatform(t), CoreOptions{Log: slog.New(slog.DiscardHandler)})
		replica := cluster.Replica{ID: "a", Group: "service:s", Generation: 1, Serving: "a"}
		core.table.SetReplicas("", []routing.Entry{{Replica: replica, Addr: "127.0.0.1:1", Slots: 4}})
		core.table.SetHealthy(replica.ID, 1, true)
		choice, err := core.table.Choose(routing.Request{Group: replica.Group})
		require.NoError(t, err)
		core.table.ReportLeaving(choice, time.Now())
		ctx, stop := context.WithCancel(t.Context())
		var sweeps sync.WaitGroup
		sweeps.Go(func() { core.sweepLoop(ctx) })
		takesRequests := func(after time.Duration, confirm bool) bool {
			for range int(after / time.Second) {
				if confirm {
					require.NoError(t, core.mirror.Refresh(t.Context()))
				}
				time.Sleep(time.Second)
			}
			_, err := core.table.Choose(routing.Request{Group: replica.Group})
			return err == nil
		}
		require.False(t, takesRequests(leavingDoubtTime-time.Second, true))
		require.False(t, takesRequests(2*leavingDoubtTime, false), "the store is away")
		require.False(t, takesRequests(leavingDoubtTime-time.Second, true), "it is back")
		core.table.ReportLeaving(choice, time.Now())
		require.False(t, takesRequests(leavingDoubtTime-time.Second, true), "it has said so again")
		require.True(t, takesRequests(3*time.Second, true))
		stop()
		sweeps.Wait()
	})
}

// Guards against the end of a server being taken for a crash because its notice was given before this node started.
func TestServerThatIsNotListedLeavesAsPlanned(t *testing.T) {
	core := NewCore(&settings.Settings{Node: "n", Zone: "a"}, testPlatform(t), CoreOptions{Log: slog.New(slog.DiscardHandler)})
	ready := fleet.Server{ID: "ready", StartedAt: time.UnixMilli(1)}
	draining := fleet.Server{ID: "draining", StartedAt: time.UnixMilli(1), Draining: true}
	core.serverList.Store(&fleet.List{Servers: []fleet.Server{draining, ready}})
	require.Equal(t, relay.Departure{}, core.departure(peerOf(&ready)))
	for _, p := range []conns.Peer{peerOf(&draining), {Server: "gone"}} {
		require.NotZero(t, core.departure(p).NoticeAt)
		require.GreaterOrEqual(t, time.Since(core.departure(p).NoticeAt), departureTTL)
	}
	earlier := conns.Peer{Server: "ready", StartedUnixMs: 0}
	require.True(t, core.departure(earlier).Replaced)
}
