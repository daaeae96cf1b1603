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

// A caller that is told "not-run" may send its request again. If an engine did execute the
// request, the work is done twice.
func TestExecutedRequestIsNeverReportedNotRun(t *testing.T) {
	cases := map[string]func(b *fixture){
		"refused before starting": func(b *fixture) { b.engines[0].SetFaults(standinengine.Faults{Refuse: true}) },
		"connection refused":      func(b *fixture) { b.router.choices[0].Addr = unusedAddr(b.t) },
		"wrong generation":        func(b *fixture) { b.router.choices[0].Replica.Generation = 99 },
		"always another's answer": func(b *fixture) { b.engines[0].SetFaults(standinengine.Faults{SwapEcho: true}) },
		"always truncated":        func(b *fixture) { b.engines[0].SetFaults(standinengine.Faults{TruncateAfter: 1}) },
		"always silent":           func(b *fixture) { b.engines[0].SetFaults(standinengine.Faults{StallAfter: 1}) },
		"crash on the request":    func(b *fixture) { b.engines[0].SetFaults(standinengine.Faults{CrashMarker: "cold"}) },
		"frozen":                  func(b *fixture) { b.engines[0].SetFaults(standinengine.Faults{Freeze: true}) },
		"dead":                    func(b *fixture) { b.engines[0].Crash() },
		"no replica":              func(b *fixture) { b.router.choices = nil },
	}
	for name, fault := range cases {
		for _, body := range []string{chatStreamBody, chatBody} {
			t.Run(name, func(t *testing.T) {
				b := newFixture(t, 1, standinengine.Options{MaxGap: 10 * time.Millisecond}, func(b *fixture) {
					b.opts.MaxAttempts = 2
					b.opts.Streamer = engine.NewStreamer(b.opts.Pools, 100*time.Millisecond)
					b.opts.ProbeTimeout, b.opts.MaxReplicaWait = 100*time.Millisecond, 100*time.Millisecond
				})
				fault(b)
				b.requireTruthfulRunState(b.chat(body), b.runs())
			})
		}
	}
}

// requireTruthfulRunState compares the run state of a failed reply with the number of executions
// at the backend servers.
func (b *fixture) requireTruthfulRunState(r reply, runs int) {
	b.t.Helper()
	run := fennelerr.RunState(r.header.Get(HeaderRun))
	if r.status == http.StatusOK {
		require.Error(b.t, r.err, "the body must not end cleanly after a fault: %s", r.body)
		require.NotContains(b.t, r.body, engine.DoneMarker)
		return
	}
	require.Contains(b.t, []fennelerr.RunState{fennelerr.NotRun, fennelerr.Ran, fennelerr.Unknown}, run)
	if run == fennelerr.NotRun {
		require.Zero(b.t, runs, "reported not-run, but ran %d times", runs)
		require.NotEmpty(b.t, r.header.Get("Retry-After"))
	}
	if run == fennelerr.Ran {
		require.NotZero(b.t, runs)
	}
}

func unusedAddr(t testing.TB) string {
	t.Helper()
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	return strings.TrimPrefix(srv.URL, "http://")
}

// newServiceFixture returns a fixture with one plain service and no engines.
func newServiceFixture(t *testing.T, change func(*fixture)) (*fixture, *standinservice.Server) {
	t.Helper()
	svc := standinservice.New(nil)
	srv := httptest.NewServer(svc.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	b := newFixture(t, 0, standinengine.Options{}, func(b *fixture) {
		b.services = fakeServices{strings.TrimPrefix(srv.URL, "http://")}
		b.opts.CallTimeout = 300 * time.Millisecond
		if change != nil {
			change(b)
		}
	})
	return b, svc
}

// A keyed call is sent twice, the first time to a service that refuses it, loses its answer,
// crashes, hangs or returns the answer of another request. It must run at most once, and must
// not have run if the caller was told "not-run".
func TestKeyedCallUnderFaultsRunsAtMostOnce(t *testing.T) {
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
			b, svc := newServiceFixture(t, nil)
			svc.SetFaults(f)
			first := b.send(http.MethodPost, "/deposits/7", `{"amount":40}`, HeaderIdempotencyKey, "k1")
			if first.status >= http.StatusInternalServerError {
				b.requireTruthfulRunState(first, svc.Runs().ByKey["k1"])
			}
			if f.SwapEcho {
				require.Equal(t, string(fennelerr.Unknown), first.header.Get(HeaderRun), "the answer of another request must not be forwarded")
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

// A claim can expire if the process is paused between claiming a key and dispatching the call.
// The call may then already have run through another node and must not be dispatched.
func TestExpiredClaimIsNotDispatched(t *testing.T) {
	b, svc := newServiceFixture(t, nil)
	b.claims.expired.Store(true)
	r := b.send(http.MethodPost, "/deposits/7", `{}`, HeaderIdempotencyKey, "k3")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	b.requireTruthfulRunState(r, svc.Runs().Total)

	set := testRuleSet(t)
	set.Routes[0].Once = rules.OnceRequired
	m := newFixture(t, 1, standinengine.Options{}, func(b *fixture) { b.opts.Rules = fakeRules{set} })
	m.claims.expired.Store(true)
	r = m.send(http.MethodPost, engine.ChatPath, chatBody, HeaderIdempotencyKey, "k4")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	m.requireTruthfulRunState(r, m.runs())

	b.claims.expired.Store(false)
	require.Equal(t, http.StatusCreated, b.send(http.MethodPost, "/deposits/7", `{}`, HeaderIdempotencyKey, "k3").status)
}

// A service runs a call without an idempotency key and loses the answer. Sending the call to a
// second server would run it twice.
func TestUnkeyedCallIsNotRepeatedAfterSending(t *testing.T) {
	b, svc := newServiceFixture(t, func(b *fixture) { b.services = append(b.services, b.services[0]) })
	svc.SetFaults(standinservice.Faults{LoseAnswer: true})
	r := b.send(http.MethodPost, "/notes/1", `{"text":"wide toe box"}`)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, string(fennelerr.Unknown), r.header.Get(HeaderRun))
	require.Equal(t, 1, svc.Runs().Total)

	// A safe method may be repeated, so the second server answers.
	svc.SetFaults(standinservice.Faults{LoseAnswer: true, Calls: 1})
	require.Equal(t, http.StatusOK, b.send(http.MethodGet, "/notes/1", "").status)
}

// The service breaks a pooled connection while a keyed call is sent. net/http itself would resend
// a request with an Idempotency-Key, and the gateway would not know that it was sent twice.
func TestClaimedCallUsesNewConnection(t *testing.T) {
	b, svc := newServiceFixture(t, nil)
	require.Equal(t, http.StatusOK, b.send(http.MethodGet, "/notes/1", "").status) // leaves an idle connection
	svc.SetFaults(standinservice.Faults{LoseAnswer: true})
	r := b.send(http.MethodPost, "/deposits/7", `{}`, HeaderIdempotencyKey, "k2")
	require.Equal(t, string(fennelerr.Unknown), r.header.Get(HeaderRun))
	require.Equal(t, 1, svc.Runs().ByKey["k2"])
}

// The first token arrives at the deadline, while the request is being cancelled. If it were
// forwarded, the caller would receive an aborted answer. It must receive only the error, with
// RetryAfter.
func TestTokenAtDeadlineIsNotForwarded(t *testing.T) {
	seen := httptest.NewRecorder()
	s := testSession(t, seen)
	s.firstTokenState.Store(firstTokenTimedOut)
	err := s.handleEvent(engine.Event{ID: 1, Data: []byte(`{"id":"chatcmpl-r","choices":[{"index":0,"delta":{"content":"a"}}]}`)})
	refused := normalizeError(s.cancelError(t.Context(), err))
	require.Equal(t, fennelerr.Timeout, refused.Code)
	require.Equal(t, fennelerr.Ran, refused.Run)
	require.NotZero(t, refused.RetryAfter)
	require.Empty(t, seen.Body.String(), "nothing reached the caller")
}
