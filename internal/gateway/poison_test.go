package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// A caller repeatedly sends a request that crashes every engine that runs it. With the usual
// retries, a single such request would crash all replicas of the group.
func TestPoisonRequestCrashesTwoReplicas(t *testing.T) {
	const engines, sends = 5, 4
	poison := `{"model":"assistente-fit","stream":true,"messages":[{"role":"user","content":"poison"}]}`
	b := newFixture(t, engines, standinengine.Options{CrashMarker: "poison"}, func(b *fixture) {
		b.opts.Quarantine = suspect.New(suspect.Options{Node: "node-a", Log: slog.New(slog.DiscardHandler)})
	})
	crashed := func() (total int) {
		for _, e := range b.engines {
			total += e.Runs().Crashes
		}
		return total
	}
	first := b.chat(poison)
	require.Equal(t, fennelerr.Quarantined.HTTPStatus(), first.status, first.body)
	require.NotEqual(t, string(fennelerr.NotRun), first.header.Get(HeaderRun), "it ran twice")
	require.Equal(t, 2, crashed())
	for range sends {
		again := b.chat(poison)
		require.Equal(t, fennelerr.Quarantined.HTTPStatus(), again.status, again.body)
		require.Equal(t, string(fennelerr.NotRun), again.header.Get(HeaderRun))
		require.NotEmpty(t, again.header.Get("Retry-After"))
		require.Contains(t, again.body, "crashed")
	}
	require.Equal(t, 2, crashed())
	for i := range 3 {
		body := fmt.Sprintf(`{"model":"assistente-fit","stream":true,"messages":[{"role":"user","content":"hello %d"}]}`, i)
		requireCompleteStream(t, b.send(http.MethodPost, "/v1/chat/completions", body), body)
	}
}
