package entry

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/wire"
)

// newProofPeers returns the part of a node that signs and verifies hand-overs.
func newProofPeers(t *testing.T, callers, secret string) *regionPeers {
	t.Helper()
	r := &regionPeers{cfg: &settings.Settings{Listen: settings.Listen{Callers: callers}}}
	ring, err := wire.NewKeyring(wire.Key{ID: 1, Secret: []byte(secret)})
	require.NoError(t, err)
	r.ring.Store(ring)
	return r
}

// Guards against callers whose calls count as handed over because they set the mark, or repeat one that they saw.
func TestOnlyANodeOfTheRegionHandsCallsOver(t *testing.T) {
	const secret = "0123456789abcdef"
	now := time.Now()
	from, to, other := newProofPeers(t, "10.0.0.1:1", secret), newProofPeers(t, "10.0.0.2:1", secret), newProofPeers(t, "10.0.0.3:1", secret)
	proof := from.signHandOver("id", 2, "10.0.0.2:1")
	require.True(t, to.verifiesHandOver("id", 2, proof, now))
	require.True(t, to.isHandOver("id", 2, proof))
	require.False(t, other.verifiesHandOver("id", 2, proof, now), "another node")
	require.False(t, to.verifiesHandOver("id-2", 2, proof, now), "another call")
	require.False(t, to.verifiesHandOver("id", 3, proof, now), "another number of attempts")
	require.False(t, to.verifiesHandOver("id", 2, proof, now.Add(2*maxProofAge)), "an old one")
	require.False(t, to.verifiesHandOver("id", 2, proof, now.Add(-2*maxProofAge)), "from the future")
	require.False(t, newProofPeers(t, "10.0.0.2:1", "another secret..").verifiesHandOver("id", 2, proof, now), "another key")
	require.False(t, (&regionPeers{cfg: to.cfg}).verifiesHandOver("id", 2, proof, now), "no key")
	require.Empty(t, (&regionPeers{}).signHandOver("id", 2, "10.0.0.2:1"))
	seconds, tag, _ := strings.Cut(proof, ".")
	for _, garbled := range []string{"", ".", "1", "x." + tag, seconds + ".", seconds + ".1.", seconds + ".1.zz", seconds + "." + tag + "00", proof[:len(proof)-1]} {
		require.False(t, to.verifiesHandOver("id", 2, garbled, now), garbled)
	}
}

// Guards against VMs that move between models for work which two nodes count, or a caller hides.
func TestCallThatWasHandedOverIsMeasuredOnce(t *testing.T) {
	retries := settings.Retries{Window: 10 * time.Second, Nodes: 1}
	core := NewCore(&settings.Settings{Node: "n", Zone: "a", Retries: retries}, testPlatform(t), CoreOptions{Log: slog.New(slog.DiscardHandler)})
	profile := enginemodel.Profile{Slots: 4, StepsPerPass: 1, PrefillChunk: 64, BaseStep: time.Millisecond, PrefillPerSecond: 1000, TimeFactor: 1}
	core.rules.Store(&rules.Set{Groups: []rules.Group{{Name: "m", Model: "m", Engine: profile}}})
	route := &rules.Route{Policy: &rules.RoutePolicy{Kind: rules.CallStream, Timeout: time.Second, MaxAttempts: 1, Split: []rules.WeightedService{{Service: "s", Weight: 1}}}}
	for _, handedOver := range []bool{true, false} {
		core.Serve(t.Context(), &call.Call{ID: "id", Model: "m", Route: route, PromptTokens: 10, MaxOutputTokens: 10, ReceivedAt: time.Now(), AttemptsLeft: 1, HandedOver: handedOver}, discardSink{})
		require.Equal(t, !handedOver, core.work.Own(time.Now())["m"] > 0)
	}
}

// discardSink is a call.Sink for answers that don't matter.
type discardSink struct{}

func (discardSink) Respond(call.Head, []byte) error { return nil }
func (discardSink) Start(call.Head) error           { return nil }
func (discardSink) WritePiece([]byte) error         { return nil }
func (discardSink) End() error                      { return nil }
func (discardSink) Abort(*fennelerr.Error)          {}
func (discardSink) Refuse(*fennelerr.Error)         {}
