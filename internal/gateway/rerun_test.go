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

// lastWords is a Prober whose answer is the last that anybody gets from the replica.
type lastWords struct {
	Prober
	end func()
}

func (l lastWords) State(ctx context.Context, addr string) (engine.State, error) {
	defer l.end()
	return l.Prober.State(ctx, addr)
}

// A reservation made through a model runs on a replica when its connection goes
// silent. The replica still answers the probe and dies before the resume reaches
// it. That dial fails, but the request did start there: on a second replica it
// would be made twice.
func TestClaimedSessionNeverMovesOnceItMayHaveRun(t *testing.T) {
	set := testSet(t)
	set.Routes[0].Once = rules.OnceRequired
	var rel *relay
	b := newBench(t, 2, standinengine.Options{MaxGap: 20 * time.Millisecond, TokenInterval: time.Hour}, func(b *bench) {
		rel = newRelay(b.t, b.addrs[0])
		b.router.choices[0].Addr = rel.addr()
		b.opts.Rules = fixedRules{set}
		b.opts.Prober = lastWords{b.opts.Prober, func() { rel.ln.Close() }}
		b.opts.FirstTokenTimeout = 5 * time.Second
	})
	go func() {
		for b.runs() == 0 {
			time.Sleep(time.Millisecond)
		}
		rel.mute()
	}()
	r := b.send(http.MethodPost, engine.ChatPath, chatBody, HeaderIdempotencyKey, "k1")
	require.Equal(t, 1, b.runs())
	require.Equal(t, string(fennelerr.Unknown), r.header.Get(HeaderRun))
	require.Contains(t, r.body, string(fennelerr.OutcomeUnknown))
}

// A replica crashes under a request, and the next one rejects it unstarted. The
// rejection speaks for the second replica only: the first one did run it.
func TestRejectionElsewhereDoesNotUndoARun(t *testing.T) {
	rejecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderStarted, engine.StartedNo)
		w.WriteHeader(http.StatusBadRequest)
	}))
	defer rejecting.Close()
	b := newBench(t, 1, standinengine.Options{}, func(b *bench) {
		second := routing.Choice{Addr: strings.TrimPrefix(rejecting.URL, "http://")}
		second.Replica.ID = "rejecting"
		b.router.choices = append(b.router.choices, second)
	})
	b.engines[0].SetFaults(standinengine.Faults{CrashMarker: "cold"})
	r := b.chat(chatBody)
	require.Equal(t, http.StatusBadRequest, r.status)
	b.checkHonest(r, b.runs())
}
