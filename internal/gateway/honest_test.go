package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	standinservice "github.com/fennelcourse/fennelcourse/internal/standin/service"
)

// The caller of a failed request decides by our word whether to send it again.
// If "not-run" is said of a request that an engine did execute, work is done
// twice; so the executions at the engines are counted over all faults.
func TestNotRunIsNeverSaidOfARunAtAnEngine(t *testing.T) {
	cases := map[string]func(b *bench){
		"refused before starting":   func(b *bench) { b.engines[0].SetFaults(standinengine.Faults{Refuse: true}) },
		"not dialled":               func(b *bench) { b.router.choices[0].Addr = closedAddr(b.t) },
		"wrong generation":          func(b *bench) { b.router.choices[0].Replica.Generation = 99 },
		"another's answer for ever": func(b *bench) { b.engines[0].SetFaults(standinengine.Faults{SwapEcho: true}) },
		"truncated for ever":        func(b *bench) { b.engines[0].SetFaults(standinengine.Faults{TruncateAfter: 1}) },
		"silent for ever":           func(b *bench) { b.engines[0].SetFaults(standinengine.Faults{StallAfter: 1}) },
		"crash on the request":      func(b *bench) { b.engines[0].SetFaults(standinengine.Faults{CrashMarker: "cold"}) },
		"frozen":                    func(b *bench) { b.engines[0].SetFaults(standinengine.Faults{Freeze: true}) },
		"dead":                      func(b *bench) { b.engines[0].Crash() },
		"no replica":                func(b *bench) { b.router.choices = nil },
	}
	for name, fault := range cases {
		for _, body := range []string{chatStrm, chatBody} {
			t.Run(name, func(t *testing.T) {
				b := newBench(t, 1, standinengine.Options{MaxGap: 10 * time.Millisecond}, func(b *bench) {
					b.opts.MaxAttempts = 2
					b.opts.Streamer = engine.NewStreamer(b.opts.Pools, 100*time.Millisecond)
					b.opts.ProbeTimeout = 100 * time.Millisecond
				})
				fault(b)
				b.checkHonest(b.chat(body), b.runs())
			})
		}
	}
}

// checkHonest holds a failed reply against the executions at the back end.
func (b *bench) checkHonest(r reply, runs int) {
	b.t.Helper()
	run := fennelerr.RunState(r.header.Get(HeaderRun))
	if r.status == http.StatusOK {
		require.Error(b.t, r.err, "a fault must not look like a clean end: %s", r.body)
		require.NotContains(b.t, r.body, engine.DoneMarker)
		return
	}
	require.Contains(b.t, []fennelerr.RunState{fennelerr.NotRun, fennelerr.Ran, fennelerr.Unknown}, run)
	if run == fennelerr.NotRun {
		require.Zero(b.t, runs, "said not-run, ran %d times", runs)
		require.NotEmpty(b.t, r.header.Get("Retry-After"))
	}
	if run == fennelerr.Ran {
		require.NotZero(b.t, runs)
	}
}

func closedAddr(t testing.TB) string {
	t.Helper()
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	return strings.TrimPrefix(srv.URL, "http://")
}

// plainBench is a bench with one plain service.
func plainBench(t *testing.T, change func(*bench)) (*bench, *standinservice.Server) {
	t.Helper()
	svc := standinservice.New(nil)
	srv := httptest.NewServer(svc.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	b := newBench(t, 0, standinengine.Options{}, func(b *bench) {
		b.services = fixedServices{strings.TrimPrefix(srv.URL, "http://")}
		b.opts.CallTimeout = 300 * time.Millisecond
		if change != nil {
			change(b)
		}
	})
	return b, svc
}

// A deposit is taken while the back end refuses, loses its answer, crashes, hangs
// or answers for somebody else. The front desk sends it again with the same key;
// the skier must be charged once at most, and "not-run" must be true.
func TestDepositUnderFaultsRunsAtMostOnce(t *testing.T) {
	cases := map[string]standinservice.Faults{
		"no fault":         {},
		"refused":          {Refuse: true},
		"answer lost":      {LoseAnswer: true},
		"crash before":     {CrashBefore: true},
		"crash after":      {CrashAfter: true},
		"too slow":         {SlowMs: 1500},
		"another's answer": {SwapEcho: true},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			b, svc := plainBench(t, nil)
			svc.SetFaults(f)
			first := b.send(http.MethodPost, "/deposits/7", `{"amount":40}`, HeaderIdempotencyKey, "k1")
			if first.status >= http.StatusInternalServerError {
				b.checkHonest(first, svc.Runs().ByKey["k1"])
			}
			if f.SwapEcho {
				require.Equal(t, string(fennelerr.Unknown), first.header.Get(HeaderRun), "another's receipt must not be handed on")
			}
			svc.SetFaults(standinservice.Faults{})
			again := b.send(http.MethodPost, "/deposits/7", `{"amount":40}`, HeaderIdempotencyKey, "k1")
			if first.header.Get(HeaderRun) == string(fennelerr.NotRun) {
				require.Equal(t, http.StatusCreated, again.status, "a call that was not run may be sent again")
			}
			if first.status == http.StatusCreated {
				require.Equal(t, first.body, again.body)
				require.Equal(t, "true", again.header.Get(HeaderReplayed))
			}
			require.LessOrEqual(t, svc.Runs().ByKey["k1"], 1)
		})
	}
}

// The process is paused between claiming a key and sending the call, for so long
// that the key may have been claimed and the deposit taken through another node.
// Sending it now could charge the skier twice.
func TestLapsedClaimIsNotDispatched(t *testing.T) {
	b, svc := plainBench(t, nil)
	b.claims.lapsed.Store(true)
	r := b.send(http.MethodPost, "/deposits/7", `{}`, HeaderIdempotencyKey, "k3")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	b.checkHonest(r, svc.Runs().Total)

	set := testSet(t)
	set.Routes[0].Once = rules.OnceRequired
	m := newBench(t, 1, standinengine.Options{}, func(b *bench) { b.opts.Rules = fixedRules{set} })
	m.claims.lapsed.Store(true)
	r = m.send(http.MethodPost, engine.ChatPath, chatBody, HeaderIdempotencyKey, "k4")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	m.checkHonest(r, m.runs())

	b.claims.lapsed.Store(false)
	require.Equal(t, http.StatusCreated, b.send(http.MethodPost, "/deposits/7", `{}`, HeaderIdempotencyKey, "k3").status)
}

// A note is posted without a key on a route that demands none. The back end runs
// it and loses the answer: sending it to a second server would book it twice.
func TestUnkeyedCallIsNotRepeatedOnceSent(t *testing.T) {
	b, svc := plainBench(t, func(b *bench) { b.services = append(b.services, b.services[0]) })
	svc.SetFaults(standinservice.Faults{LoseAnswer: true})
	r := b.send(http.MethodPost, "/notes/1", `{"text":"wide toe box"}`)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, string(fennelerr.Unknown), r.header.Get(HeaderRun))
	require.Equal(t, 1, svc.Runs().Total)

	// Reading may be repeated: the second server answers.
	svc.SetFaults(standinservice.Faults{LoseAnswer: true, Calls: 1})
	require.Equal(t, http.StatusOK, b.send(http.MethodGet, "/notes/1", "").status)
}

// An idle connection to the back end was closed just as the call goes out.
// net/http would send a request that has an Idempotency-Key again by itself, and
// nobody here would know that it went out twice.
func TestClaimedCallTakesAFreshConnection(t *testing.T) {
	b, svc := plainBench(t, nil)
	require.Equal(t, http.StatusOK, b.send(http.MethodGet, "/notes/1", "").status) // leaves an idle connection
	svc.SetFaults(standinservice.Faults{LoseAnswer: true})
	r := b.send(http.MethodPost, "/deposits/7", `{}`, HeaderIdempotencyKey, "k2")
	require.Equal(t, string(fennelerr.Unknown), r.header.Get(HeaderRun))
	require.Equal(t, 1, svc.Runs().ByKey["k2"])
}

// The first token comes just as the caller's time is up, and the request is being
// cancelled. A caller shown that token would then see its answer cut off; it must
// get the refusal alone, with the time to come back.
func TestTokenAtTheDeadlineIsNotShown(t *testing.T) {
	seen := httptest.NewRecorder()
	s := testSession(t, seen)
	s.first.Store(firstLate)
	took := s.take(engine.Event{ID: 1, Data: []byte(`{"id":"chatcmpl-r","choices":[{"index":0,"delta":{"content":"a"}}]}`)})
	refused := typed(s.gone(t.Context(), took))
	require.Equal(t, fennelerr.Timeout, refused.Code)
	require.Equal(t, fennelerr.Ran, refused.Run)
	require.NotZero(t, refused.RetryAfter)
	require.Empty(t, seen.Body.String(), "nothing reached the caller")
}
