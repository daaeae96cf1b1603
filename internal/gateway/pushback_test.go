package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// Guards against engines that get requests while they have asked for none, and callers who are told another time to return.
func TestEngineThatAsksForNoRequestsGetsNone(t *testing.T) {
	const calls, pause = 10, 5
	var refused atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.ChatPath {
			refused.Add(1)
		}
		w.Header().Set(engine.HeaderStarted, engine.StartedNo)
		w.Header().Set("Retry-After", strconv.Itoa(pause))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(busy.Close)
	addr := strings.TrimPrefix(busy.URL, "http://")
	withBusyEngines := func(engines, busyOnes int) *fixture {
		return newFixture(t, engines, standinengine.Options{}, func(b *fixture) {
			for i := range busyOnes {
				b.addrs[i] = addr
			}
			useRealRouterAndAdmitter(b, nil, false, calls)
		})
	}
	b := withBusyEngines(2, 1)
	for i := range calls {
		requireCompleteStream(t, b.chat(numberedChat(i)), numberedChat(i))
	}
	require.LessOrEqual(t, refused.Load(), int64(1))
	refused.Store(0)
	b = withBusyEngines(1, 1)
	for i := range calls {
		reply := b.chat(numberedChat(i))
		require.Equal(t, string(fennelerr.NotRun), reply.header.Get(HeaderRun))
		if i > 0 {
			require.Equal(t, fennelerr.Overloaded.HTTPStatus(), reply.status, reply.body)
			seconds, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, pause, seconds, 1)
		}
	}
	require.EqualValues(t, 1, refused.Load())
}
