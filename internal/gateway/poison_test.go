package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
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

// Guards against new requests that share a message which crashes engines.
func TestMessageThatCrashesEnginesIsRefused(t *testing.T) {
	const engines, sends = 12, 12
	var uptime atomic.Int64
	quarantine := suspect.New(suspect.Options{Node: "node-a", Log: slog.New(slog.DiscardHandler),
		Clock: func() time.Time { return time.Now().Add(time.Duration(uptime.Load())) }})
	uptime.Store(int64(time.Minute))
	b := newFixture(t, engines, standinengine.Options{CrashMarker: "poison"}, func(b *fixture) { b.opts.Quarantine = quarantine })
	refused, crashed := 0, 0
	for i := range sends {
		body := `{"model":"assistente-fit","stream":true,"messages":[{"role":"system","content":"be kind"},{"role":"system","content":"%s"},{"role":"user","content":"question %d"}]}`
		if b.chat(fmt.Sprintf(body, "poison", i)).status == fennelerr.Quarantined.HTTPStatus() {
			refused++
		}
		crashed = b.removeCrashed()
		time.Sleep(250 * time.Millisecond)
		sound := fmt.Sprintf(body, "hello", i)
		requireCompleteStream(t, b.send(http.MethodPost, "/v1/chat/completions", sound), sound)
	}
	require.LessOrEqual(t, crashed, 3*2, "three requests that crash two engines each")
	require.GreaterOrEqual(t, refused, sends-3)
}

// removeCrashed removes crashed engines from the router and returns how many there are.
func (b *fixture) removeCrashed() (crashed int) {
	b.router.mu.Lock()
	defer b.router.mu.Unlock()
	for i, e := range b.engines {
		if e.Runs().Crashes > 0 {
			crashed++
			b.router.choices = slices.DeleteFunc(b.router.choices, func(c routing.Choice) bool { return c.Addr == b.addrs[i] })
		}
	}
	return crashed
}
