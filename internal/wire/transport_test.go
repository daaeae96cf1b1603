package wire_test

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

func listen(t *testing.T, opts wire.Options) *wire.Transport {
	t.Helper()
	opts.Addr = "127.0.0.1:0"
	opts.Log = slog.New(slog.DiscardHandler)
	if opts.Keys == nil {
		keys, err := wire.NewKeyring(wire.Key{ID: 1, Secret: []byte("0123456789abcdef")})
		require.NoError(t, err)
		opts.Keys = keys
	}
	tr, err := wire.Listen(opts)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, tr.Close()) })
	return tr
}

func newHeartbeat() *wirepb.Datagram {
	return &wirepb.Datagram{Node: "n1", Zone: "z1", Incarnation: 1, RulesRevision: 42}
}

// Forged, truncated, oversized, replayed and delayed packets arrive on a real socket.
// Each must be counted under its reason and none may reach the handler, while valid
// datagrams still do.
func TestTransportDropsAndCounts(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("over UDP", func(t *testing.T) {
		got := make(chan *wirepb.Datagram, 16)
		receiver := listen(t, wire.Options{Handler: func(d *wirepb.Datagram) { got <- d }})
		var recorded []byte
		sender := listen(t, wire.Options{Drop: func(_ string, p []byte) bool { recorded = append([]byte(nil), p...); return false }})
		late := listen(t, wire.Options{Now: func() time.Time { return time.Now().Add(-time.Minute) }})
		wrongKeys, err := wire.NewKeyring(wire.Key{ID: 1, Secret: []byte("not the same key")})
		require.NoError(t, err)
		forger := listen(t, wire.Options{Keys: wrongKeys})
		raw, err := net.Dial("udp", receiver.Addr())
		require.NoError(t, err)
		defer func() { _ = raw.Close() }()

		require.NoError(t, sender.Send(receiver.Addr(), newHeartbeat()))
		require.EqualValues(t, 42, (<-got).RulesRevision)
		require.NoError(t, forger.Send(receiver.Addr(), newHeartbeat()))
		require.NoError(t, late.Send(receiver.Addr(), newHeartbeat()))
		for _, packet := range [][]byte{recorded, recorded[:10], append(recorded, make([]byte, wire.MaxPacket)...)} {
			_, err = raw.Write(packet)
			require.NoError(t, err)
		}
		want := map[wire.DropReason]uint64{wire.Forged: 1, wire.TooOld: 1, wire.Replayed: 1, wire.Truncated: 1, wire.Oversized: 1}
		require.Eventually(t, func() bool { return len(receiver.Counters().Dropped) == len(want) }, 10*time.Second, time.Millisecond)
		require.Equal(t, want, receiver.Counters().Dropped)
		require.NoError(t, sender.SendAll([]string{receiver.Addr()}, newHeartbeat()))
		require.EqualValues(t, 2, (<-got).Sequence)
		require.Empty(t, got)
	})
}

func TestListenRejectsInvalidOptions(t *testing.T) {
	keys, err := wire.NewKeyring(wire.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	require.NoError(t, err)
	first, err := wire.Listen(wire.Options{Addr: "127.0.0.1:0", Keys: keys})
	require.NoError(t, err)
	defer func() { _ = first.Close() }()
	for _, opts := range []wire.Options{
		{Addr: "not an address", Keys: keys},
		{Addr: first.Addr(), Keys: keys},
	} {
		_, err := wire.Listen(opts)
		var configErr *wire.ConfigError
		require.ErrorAs(t, err, &configErr)
	}
}
