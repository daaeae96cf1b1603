package membership_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire"
)

// Over real sockets, nodes discover each other and one is killed, while an attacker without
// the key sends invalid datagrams and replays recorded ones. The remaining nodes must see
// the failure, and the attacker must have no effect on their views.
func TestOverUDP(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	const interval = 20 * time.Millisecond
	timing := membership.Timing{Interval: interval, SuspectAfter: 40 * interval, DeadAfter: 80 * interval}
	keys, err := wire.NewKeyring(wire.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	require.NoError(t, err)
	var all []*node
	var seeds []string
	recorded := make(chan []byte, 1)
	record := func(_ string, packet []byte) bool {
		select {
		case recorded <- append([]byte(nil), packet...):
		default:
		}
		return false
	}
	for i := range 3 {
		n := &node{name: fmt.Sprintf("node-%d", i)}
		n.transport, err = wire.Listen(wire.Options{Addr: "127.0.0.1:0", Keys: keys, Log: slog.New(slog.DiscardHandler), Drop: record})
		require.NoError(t, err)
		seeds = append(seeds, n.transport.Addr())
		n.Service = membership.New(membership.Options{
			Node: cluster.NodeID(n.name), Zone: "zone-a", Seeds: seeds[:1], Transport: n.transport,
			Timing: timing, SendBudget: membership.DefaultSendBudget * int(time.Second/interval), Log: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(t.Context())
		n.stop = cancel
		n.done.Go(func() { n.Run(ctx) })
		all = append(all, n)
	}
	eventually := func(what string, ok func() bool) {
		t.Helper()
		require.Eventually(t, ok, 20*time.Second, interval, what)
	}
	eventually("all see all", func() bool { return sees(all, all, membership.Alive) })

	attacker, err := net.Dial("udp", seeds[0])
	require.NoError(t, err)
	packet := <-recorded
	for _, bad := range [][]byte{packet[:5], append([]byte{9}, packet[1:]...), make([]byte, 2000), packet, packet} {
		_, err = attacker.Write(bad)
		require.NoError(t, err)
	}
	require.NoError(t, attacker.Close())
	all[2].kill()
	eventually("the others see the failure", func() bool { return sees(all[:2], all[2:], membership.Dead) })
	require.True(t, sees(all[:2], all[:2], membership.Alive))
	dropped := all[0].transport.Counters().Dropped
	require.EqualValues(t, 1, dropped[wire.Truncated])
	require.EqualValues(t, 1, dropped[wire.UnknownVersion])
	require.EqualValues(t, 1, dropped[wire.Oversized])
	require.EqualValues(t, 2, dropped[wire.Replayed]+dropped[wire.TooOld], "%v", dropped)
	all[0].kill()
	all[1].kill()
	goleak.VerifyNone(t, leaks)
}
