package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// lastProbe is a Prober that calls end after each query of a replica's state.
type lastProbe struct {
	Prober
	end func()
}

func (l lastProbe) State(ctx context.Context, addr string) (engine.State, error) {
	defer l.end()
	return l.Prober.State(ctx, addr)
}

// The connection of a claimed request stops passing data. The replica answers the probe and
// becomes unreachable before the resume. The resume's dial fails, but the request did start
// there, so on a second replica it would run twice.
func TestClaimedSessionDoesNotMoveOnceItMayHaveRun(t *testing.T) {
	set := testRuleSet(t)
	set.Routes[0].Once = rules.OnceRequired
	var proxy *tcpProxy
	b := newFixture(t, 2, standinengine.Options{MaxGap: 20 * time.Millisecond, TokenInterval: time.Hour}, func(b *fixture) {
		proxy = newTCPProxy(b.t, b.addrs[0])
		b.router.choices[0].Addr = proxy.addr()
		b.opts.Rules = fakeRules{set}
		b.opts.Prober = lastProbe{b.opts.Prober, func() { proxy.ln.Close() }}
		b.opts.FirstTokenTimeout = 5 * time.Second
	})
	go func() {
		for b.runs() == 0 {
			time.Sleep(time.Millisecond)
		}
		proxy.mute()
	}()
	r := b.send(http.MethodPost, engine.ChatPath, chatBody, HeaderIdempotencyKey, "k1")
	require.Equal(t, 1, b.runs())
	require.Equal(t, string(fennelerr.Unknown), r.header.Get(HeaderRun))
	require.Contains(t, r.body, string(fennelerr.OutcomeUnknown))
}

// A replica crashes on a request, and the next one rejects it without starting it. The rejection
// is only valid for the second replica: the first one did run the request.
func TestRejectionDoesNotHideEarlierRun(t *testing.T) {
	rejecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderStarted, engine.StartedNo)
		w.WriteHeader(http.StatusBadRequest)
	}))
	defer rejecting.Close()
	b := newFixture(t, 1, standinengine.Options{}, func(b *fixture) {
		second := routing.Choice{Addr: strings.TrimPrefix(rejecting.URL, "http://")}
		second.Replica.ID = "rejecting"
		b.router.choices = append(b.router.choices, second)
	})
	b.engines[0].SetFaults(standinengine.Faults{CrashMarker: "cold"})
	r := b.chat(chatBody)
	require.Equal(t, http.StatusBadRequest, r.status)
	b.requireTruthfulRunState(r, b.runs())
}
