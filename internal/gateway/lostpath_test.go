package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/reach"
	"github.com/fennelcourse/fennelcourse/internal/soak"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// Guards against a sound request that is refused for minutes because the node lost its path to the engines while it ran.
func TestLostPathIsNoCrashOfEngines(t *testing.T) {
	const engines = 12
	var proxies []*soak.Proxy
	b := newFixture(t, engines, standinengine.Options{}, func(b *fixture) {
		b.opts.Quarantine = suspect.New(suspect.Options{Node: "node-a", Log: slog.New(slog.DiscardHandler)})
		peers := make([]conns.Peer, engines)
		for i, addr := range b.addrs {
			proxy, err := soak.NewProxy(addr)
			require.NoError(t, err)
			t.Cleanup(proxy.Close)
			proxies = append(proxies, proxy)
			b.router.choices[i].Addr = proxy.Addr()
			peers[i] = conns.Peer{Addr: proxy.Addr()}
		}
		b.opts.Reachable = reach.NewDetector(reach.Options{Accepts: dials, Servers: func() (local, others []conns.Peer) { return peers, nil }}).Probe
	})
	body := func(i int) string {
		return fmt.Sprintf(`{"model":"assistente-fit","stream":true,"messages":[{"role":"user","content":"hello %d"}]}`, i)
	}
	for i := range engines { // opens connections to all engines, which stay open through the cut
		b.chat(body(i))
		b.router.choices = append(b.router.choices[1:], b.router.choices[0])
	}
	for _, p := range proxies {
		p.Cut(true)
	}
	cutOff := b.chat(body(engines))
	require.NotEqual(t, fennelerr.Quarantined.HTTPStatus(), cutOff.status, cutOff.body)
	for _, p := range proxies {
		require.NoError(t, p.Restore())
	}
	requireCompleteStream(t, b.send(http.MethodPost, "/v1/chat/completions", body(engines)), body(engines))
}

func dials(ctx context.Context, p conns.Peer) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
