package relay_test

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// panicking panics in the goroutine of its attempt.
func panicking(context.Context, relay.Attempt) (*relay.Reply, error) { panic("bad bytes") }

// panickingNodes panics in place of handing a call over.
type panickingNodes struct{}

func (panickingNodes) Send(context.Context, relay.Attempt) (*relay.Reply, error) { panic("bad bytes") }

// newLoggedFixture is newFixture with a log and other options.
func newLoggedFixture(t *testing.T, h handlers, log *bytes.Buffer, change func(*relay.Options)) *fixture {
	router := &listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}
	f := newFixtureWith(t, 10, router, &fakeBackend{handlers: h}, func(o *relay.Options) {
		o.Log = slog.New(slog.NewTextHandler(log, nil))
		if change != nil {
			change(o)
		}
	})
	f.router = router
	return f
}

// panickingSuspects panics as the goroutine of a timer asks whether a call may be hedged.
type panickingSuspects struct{ relay.Suspects }

func (panickingSuspects) IsSuspect(suspect.Request) bool { panic("bad record") }

// Guards against a panic of an attempt that ends the process or its call, or leaves the request counted on its replica or against its model's limit.
func TestPanicFailsOnlyItsAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		first, second handler
		change        func(*relay.Options)
		ends          int
		event         string
	}{
		"first attempt": {first: panicking, second: streamPieces(3, io.EOF), ends: 2},
		"hedge":         {first: streamWithSilence(time.Time{}, period{}, 3, 1500*time.Millisecond), second: panicking, ends: 2},
		"hedge decision": {first: streamWithSilence(time.Time{}, period{}, 3, 1500*time.Millisecond), ends: 1, event: "hedge panicked", change: func(o *relay.Options) {
			o.Suspects = panickingSuspects{o.Suspects}
		}},
		"hand-over": {first: streamPieces(3, io.EOF), ends: 0, change: func(o *relay.Options) {
			o.Reach, o.NodeClient = fixedReach{lost: true}, panickingNodes{}
			o.Nodes = func() []relay.Node { return []relay.Node{{ID: "n", Addr: "1"}} }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				f := newLoggedFixture(t, handlers{"a": c.first, "b": c.second}, &log, c.change)
				got := f.serve(t.Context(), resumableTerms)
				if name != "hand-over" {
					require.Equal(t, answerOf(3), got.text)
				} else {
					require.NotNil(t, got.refused)
				}
				require.Contains(t, log.String(), `msg="`+cmp.Or(c.event, "attempt panicked")+`" request=id-1`)
				require.Len(t, f.router.canceled, c.ends)
				require.Zero(t, f.relay.Running())
				require.InDelta(t, 1, f.relay.Room(), 0, "requests are still counted")
			})
		})
	}
}

// panickingSink panics as it writes a complete answer.
type panickingSink struct{ recorder }

func (*panickingSink) Respond(call.Head, []byte) error { panic("invalid WriteHeader code 0") }

// Guards against a replica that looks full because its requests whose answers could not be written stay counted.
func TestPanicOfTheSinkEndsTheCounts(t *testing.T) {
	var log bytes.Buffer
	f := newLoggedFixture(t, handlers{"a": respondWith(0), "b": respondWith(0)}, &log, nil)
	terms := safeTerms
	terms.MaxAttempts, terms.Timeout, terms.Split = 2, time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
	var calls sync.WaitGroup
	for range 18 {
		calls.Go(func() {
			f.relay.Serve(t.Context(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now()}, &panickingSink{})
		})
	}
	calls.Wait()
	require.Len(t, f.router.canceled, 18)
	require.Zero(t, f.relay.Running())
}

// panicAt returns a function that panics when it is called for the nth time.
func panicAt(n int64) func() {
	var calls atomic.Int64
	return func() {
		if calls.Add(1) == n {
			panic("bad list")
		}
	}
}

// Guards against a panic between the choice of a replica and its attempt that leaves the call counted there, or its caller without an answer.
func TestPanicBetweenChoiceAndAttemptEndsTheCounts(t *testing.T) {
	silentOnce := handlers{"a": streamWithSilence(time.Time{}, period{}, 3, 1500*time.Millisecond), "b": streamPieces(3, io.EOF)}
	failsOnce := handlers{"a": streamPieces(0, io.ErrUnexpectedEOF), "b": streamPieces(3, io.EOF)}
	for name, c := range map[string]struct {
		handlers handlers
		peerCall int64 // the look-up of a replica's server that panics
		answered bool
		run      fennelerr.RunState
	}{
		"first attempt":  {handlers: silentOnce, peerCall: 1, run: fennelerr.NotRun},
		"second attempt": {handlers: failsOnce, peerCall: 2, run: fennelerr.Unknown},
		"hedge":          {handlers: silentOnce, peerCall: 2, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				router := &countingRouter{listRouter: listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}}
				panics := panicAt(c.peerCall)
				f := newFixtureWith(t, 10, router, &fakeBackend{handlers: c.handlers}, func(o *relay.Options) {
					o.Log = slog.New(slog.NewTextHandler(&log, nil))
					peer := o.Peer
					o.Peer = func(choice routing.Choice) (conns.Peer, bool) {
						panics()
						return peer(choice)
					}
				})
				got := f.serve(t.Context(), resumableTerms)
				if c.answered {
					require.Equal(t, answerOf(3), got.text)
				} else {
					require.NotNil(t, got.refused)
					require.Equal(t, c.run, got.refused.Run)
				}
				require.Contains(t, log.String(), "panicked\" request=id-1")
				require.Len(t, router.canceled, int(router.chosen.Load()))
				require.Zero(t, f.relay.Running())
				require.InDelta(t, 1, f.relay.Room(), 0, "requests are still counted")
			})
		})
	}
}
