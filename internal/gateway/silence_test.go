package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// unansweredProbe is a Prober that no replica answers. It calls asked on the first query.
type unansweredProbe struct {
	Prober
	asked func()
	once  sync.Once
}

func (p *unansweredProbe) State(ctx context.Context, _ string) (engine.State, error) {
	p.once.Do(p.asked)
	<-ctx.Done()
	return engine.State{}, ctx.Err()
}

// Guards against a crash on the record of a request that ended while its replica was queried.
func TestRequestEndedDuringProbeIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		timeoutMs  string
		disconnect bool
		status     int
	}{
		"caller gone":          {"60000", true, http.StatusOK},
		"first token deadline": {"200", false, fennelerr.Timeout.HTTPStatus()},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			b := newFixture(t, 1, standinengine.Options{}, func(b *fixture) {
				b.opts.ProbeTimeout, b.opts.Streamer = time.Hour, engine.NewStreamer(b.opts.Pools, 50*time.Millisecond)
				b.opts.Prober = &unansweredProbe{Prober: b.opts.Prober, asked: func() {
					if c.disconnect {
						disconnect()
					}
				}}
			})
			b.engines[0].SetFaults(standinengine.Faults{Freeze: true})
			req := httptest.NewRequestWithContext(ctx, http.MethodPost, engine.ChatPath, strings.NewReader(chatBody))
			req.Header.Set("Authorization", "Bearer "+testToken)
			req.Header.Set(HeaderTimeoutMs, c.timeoutMs)
			answer := httptest.NewRecorder()
			b.gateway.ServeHTTP(answer, req)
			require.Equal(t, c.status, answer.Code, answer.Body)
			require.Zero(t, b.quarantine.crashes.Load())
			require.Len(t, b.router.ended, 1)
			require.True(t, b.router.ended[0].Canceled)
		})
	}
}

// firstUnanswered is a Prober that calls then after the first query that a replica does not answer.
type firstUnanswered struct {
	Prober
	then func()
	once sync.Once
}

func (u *firstUnanswered) State(ctx context.Context, addr string) (engine.State, error) {
	state, err := u.Prober.State(ctx, addr)
	if err != nil {
		u.once.Do(u.then)
	}
	return state, err
}

// noRetries is an Admitter whose retry budget is used.
type noRetries struct{ *unlimitedAdmitter }

func (noRetries) AllowRetry(cluster.TeamID) bool { return false }

// Guards against answers that are ended because their replica stands still for a while.
func TestAnswerOutlivesTheSilenceOfItsReplica(t *testing.T) {
	cases := map[string]struct {
		engines    int
		engineOpts standinengine.Options
		change     func(*fixture)
	}{
		"the only replica":            {1, standinengine.Options{CanContinue: true}, nil},
		"all replicas are silent":     {2, standinengine.Options{CanContinue: true}, nil},
		"retry budget used":           {2, standinengine.Options{CanContinue: true}, func(b *fixture) { b.opts.Admitter = noRetries{b.admitter} }},
		"not continuable elsewhere":   {2, standinengine.Options{}, nil},
		"a request that may run once": {2, standinengine.Options{}, func(b *fixture) { b.opts.Rules = onceRequired(b.t) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.engineOpts.MaxGap, c.engineOpts.TokenInterval = 20*time.Millisecond, 10*time.Millisecond
			b := newFixture(t, c.engines, c.engineOpts, func(b *fixture) {
				b.opts.ProbeTimeout = 50 * time.Millisecond
				b.opts.Streamer = engine.NewStreamer(b.opts.Pools, 200*time.Millisecond)
				b.opts.Prober = &firstUnanswered{Prober: b.opts.Prober, then: func() { b.setFaults(standinengine.Faults{}) }}
				if c.change != nil {
					c.change(b)
				}
			})
			freeze := func() { b.setFaults(standinengine.Faults{Freeze: true}) }
			requireCompleteStream(t, b.chatDuring(chatStreamBody, freeze, HeaderIdempotencyKey, "k1"), chatStreamBody)
			require.Zero(t, b.admitter.held.Load())
			require.Zero(t, b.quarantine.crashes.Load())
		})
	}
}

func onceRequired(t testing.TB) fakeRules {
	set := testRuleSet(t)
	set.Routes[0].Once = rules.OnceRequired
	return fakeRules{set}
}

// setFaults sets the faults of all engines.
func (b *fixture) setFaults(f standinengine.Faults) {
	for _, e := range b.engines {
		e.SetFaults(f)
	}
}

// Guards against answers that wait for a replica which stays silent while another one is to be had.
func TestAnswerLeavesAReplicaThatStaysSilent(t *testing.T) {
	b := newFixture(t, 2, standinengine.Options{CanContinue: true, MaxGap: 20 * time.Millisecond, TokenInterval: 10 * time.Millisecond}, func(b *fixture) {
		b.opts.ProbeTimeout, b.opts.MaxReplicaWait = 50*time.Millisecond, time.Hour
	})
	requireCompleteStream(t, b.chatDuring(chatStreamBody, func() { b.engines[0].SetFaults(standinengine.Faults{Freeze: true}) }), chatStreamBody)
	require.Len(t, b.router.ended, 2)
	require.False(t, b.router.ended[0].OK)
	require.Zero(t, b.quarantine.crashes.Load())
}

// lateProbe is a Prober whose first query ends late and unanswered, as on a node that stood still.
type lateProbe struct {
	Prober
	queries int
}

func (l *lateProbe) State(ctx context.Context, _ string) (engine.State, error) {
	l.queries++
	if l.queries > 1 {
		return engine.State{}, nil
	}
	<-ctx.Done()
	time.Sleep(time.Second)
	return engine.State{}, ctx.Err()
}

// Guards against a node that stood still and takes that for a silent replica.
func TestProbeOnANodeThatStoodStillIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSession(t, httptest.NewRecorder())
		s.g.opts.Prober = &lateProbe{}
		require.Equal(t, replicaUnchanged, s.probe(t.Context(), routing.Choice{}))
	})
}

// busyRouter is a Router whose other replicas want no requests for the first choices.
type busyRouter struct {
	*fakeRouter
	err     error
	refused int
}

func (r *busyRouter) Choose(req routing.Request) (routing.Choice, error) {
	if len(req.Exclude) > 0 && r.refused < 3 {
		r.refused++
		return routing.Choice{}, r.err
	}
	return r.fakeRouter.Choose(req)
}

// Guards against answers that are ended because no replica takes them at once.
func TestAnswerThatHasBegunWaitsForAReplica(t *testing.T) {
	for name, err := range map[string]error{
		"replicas want no requests": &routing.FullError{Group: "fit"},
		"no healthy replica":        fennelerr.New(fennelerr.NoReplica, "none"),
	} {
		t.Run(name, func(t *testing.T) {
			router := &busyRouter{err: err}
			b := newFixture(t, 2, standinengine.Options{TokenInterval: 5 * time.Millisecond, CanContinue: true}, func(b *fixture) {
				router.fakeRouter, b.opts.Router = b.router, router
			})
			requireCompleteStream(t, b.chatDuring(chatStreamBody, func() { b.engines[0].Crash() }), chatStreamBody)
			require.Equal(t, 3, router.refused)
		})
	}
}

// Guards against requests that are quarantined because two replicas stood still while they ran there.
func TestSilentReplicasMakeNoSuspects(t *testing.T) {
	b := newFixture(t, 3, standinengine.Options{}, func(b *fixture) {
		b.opts.ProbeTimeout, b.opts.Streamer = 50*time.Millisecond, engine.NewStreamer(b.opts.Pools, 100*time.Millisecond)
		b.opts.Quarantine = suspect.New(suspect.Options{Node: "node-a", Log: slog.New(slog.DiscardHandler)})
	})
	for _, e := range b.engines[:2] {
		e.SetFaults(standinengine.Faults{Freeze: true})
	}
	for range 2 {
		requireCompleteStream(t, b.chat(chatStreamBody), chatStreamBody)
	}
}

// Guards against requests that are refused because their only replica stands still before it answers.
func TestRequestOutlivesTheSilenceOfItsReplica(t *testing.T) {
	for _, body := range []string{chatBody, chatStreamBody} {
		b := newFixture(t, 1, standinengine.Options{}, func(b *fixture) {
			b.opts.ProbeTimeout, b.opts.Streamer = 50*time.Millisecond, engine.NewStreamer(b.opts.Pools, 100*time.Millisecond)
			b.opts.Prober = &firstUnanswered{Prober: b.opts.Prober, then: func() { b.setFaults(standinengine.Faults{}) }}
		})
		b.setFaults(standinengine.Faults{Freeze: true})
		r := b.chat(body)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, 1, b.runs())
	}
}
