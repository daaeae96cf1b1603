package relay_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// Guards against a stream that is moved although its replica, which left the list or is out of the node's reach, still sends to it.
func TestStreamThatReceivesPiecesIsNotHedged(t *testing.T) {
	for name, lose := range map[string]func(*relay.Relay){
		"the replica is lost": func(r *relay.Relay) { r.ReplicaLost("a") },
		"no path to servers":  func(r *relay.Relay) { r.LostServers() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				working := streamWithSilence(time.Now(), period{}, 20, 50*time.Millisecond)
				f := newFixture(t, 10, ab, handlers{"a": working, "b": working})
				time.AfterFunc(520*time.Millisecond, func() { lose(f.relay) })
				got := f.serve(t.Context(), resumableTerms)
				require.Equal(t, answerOf(20), got.text)
				require.Len(t, f.backend.sent(), 1)
			})
		})
	}
}

// Guards against a call that is moved off a stalled replica right after it was sent there.
func TestNewCallOnAStalledReplicaIsNotHedgedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := newFixture(t, 10, ab, handlers{
			"a": streamWithSilence(start, period{100 * time.Millisecond, 600 * time.Millisecond}, 20, 20*time.Millisecond),
			"b": streamPieces(20, io.EOF),
		})
		ctx, stop := context.WithCancel(t.Context())
		go f.relay.Run(ctx)
		var callers sync.WaitGroup
		callers.Go(func() { f.serve(t.Context(), resumableTerms) })
		time.Sleep(475 * time.Millisecond)
		callers.Go(func() {
			terms := resumableTerms
			terms.MaxAttempts = 3
			require.Equal(t, answerOf(20), f.serve(t.Context(), terms).text)
		})
		callers.Wait()
		require.Len(t, f.backend.sent(), 3, "the first call alone is hedged")
		stop()
		synctest.Wait()
	})
}

// Guards against a hedge that gets no slot of a half-full replica though its call has waited for long.
func TestLaterHedgeMayUseAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, ab, handlers{"a": streamWithSilence(time.Now(), period{0, 4 * time.Second}, 5, 10*time.Millisecond), "b": streamPieces(5, io.EOF)})
		f.router.ReportLoad("b", engine.Load{Running: 6, MaxRunning: 8}, time.Now())
		ctx, stop := context.WithCancel(t.Context())
		go f.relay.Run(ctx)
		start := time.Now()
		require.Equal(t, answerOf(5), f.serve(t.Context(), resumableTerms).text)
		require.Less(t, time.Since(start), 2*time.Second)
		require.Len(t, f.backend.sent(), 2)
		stop()
		synctest.Wait()
	})
}

// Guards against results that blame a replica which lost a member for the hedge of its streams.
func TestLostReplicaIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10, ab, handlers{"a": streamPieces(1, nil), "b": streamPieces(3, io.EOF)})
		time.AfterFunc(300*time.Millisecond, func() { f.relay.ReplicaLost("a") })
		require.Equal(t, answerOf(3), f.serve(t.Context(), resumableTerms).text)
		require.ElementsMatch(t, []bool{true, false}, f.router.canceled)
	})
}

// aloneRequests implements relay.Suspects: each request is to run alone, and none is a suspect any more.
type aloneRequests struct{ outcomeRecorder }

func (*aloneRequests) AdmitRequest(context.Context, suspect.Request) (suspect.Admission, error) {
	return suspect.Admission{Alone: true}, nil
}

// Guards against a second run of a request that was admitted to run alone.
func TestRequestThatRunsAloneIsNotHedged(t *testing.T) { requireNoHedge(t, &aloneRequests{}) }

// Guards against a line that names the silence of a server which answered in time and failed.
func TestUnansweredCallNamesOnlyRealSilences(t *testing.T) {
	for took, named := range map[time.Duration]bool{100 * time.Millisecond: false, 400 * time.Millisecond: true} {
		synctest.Test(t, func(t *testing.T) {
			failing := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
				if err := pause(ctx, took); err != nil {
					return nil, err
				}
				return nil, errReset
			}
			log := &strings.Builder{}
			r := relay.New(relay.Options{
				Router: &listRouter{ids: ab, loads: make(map[cluster.ReplicaID]engine.Load)}, Backend: &fakeBackend{handlers: handlers{"a": failing, "b": failing}},
				Budget:   relay.NewBudget(relay.BudgetOptions{Slack: 10, Window: 10 * time.Second, Nodes: 1}),
				Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
				Suspects: suspect.New(suspect.Options{Log: slog.New(slog.DiscardHandler)}), Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
				Log: slog.New(slog.NewTextHandler(log, nil)),
			})
			terms := safeTerms
			terms.MaxAttempts, terms.Timeout, terms.Split = 1, time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
			require.NotNil(t, serveTerms(r, terms).refused)
			_, unanswered, _ := strings.Cut(log.String(), `msg="call not answered"`)
			require.NotEmpty(t, unanswered)
			require.Equal(t, named, strings.Contains(unanswered, "silent_replica="), fmt.Sprint(took))
		})
	}
}

// Guards against pieces that the caller gets twice because an attempt that was slower long ago still delivers some while nothing else does.
func TestSupersededAttemptDeliversNothingDuringALaterHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		deaf := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			reply, err := streamWithSilence(start, period{100 * time.Millisecond, 2 * time.Second}, 20, 10*time.Millisecond)(ctx, a)
			if err == nil {
				reply.Body = &deafBody{*reply.Body.(*pacedBody)}
			}
			return reply, err
		}
		f := newFixture(t, 10, []cluster.ReplicaID{"a", "b", "c"}, handlers{
			"a": deaf,
			"b": streamWithSilence(start, period{700 * time.Millisecond, 10 * time.Second}, 20, 50*time.Millisecond),
			"c": streamWithSilence(start, period{0, 3 * time.Second}, 20, 10*time.Millisecond),
		})
		time.AfterFunc(400*time.Millisecond, func() { f.relay.ReplicaLost("a") })
		time.AfterFunc(time.Second, func() { f.relay.ReplicaLost("b") })
		require.Equal(t, answerOf(20), f.serve(t.Context(), resumableTerms).text)
		require.Len(t, f.backend.sent(), 3)
	})
}

// Guards against hedges of a call whose caller has left.
func TestAbandonedCallIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deaf := func(context.Context, relay.Attempt) (*relay.Reply, error) {
			time.Sleep(2 * time.Second)
			return nil, errReset
		}
		f := newFixture(t, 10, ab, handlers{"a": deaf, "b": respondWith(200)})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(500*time.Millisecond, leave)
		time.AfterFunc(time.Second, func() { f.relay.ReplicaLost("a") })
		f.serve(ctx, resumableTerms)
		require.Len(t, f.backend.sent(), 1)
	})
}

// Guards against a call that runs on more servers than its route allows: the server of a replica that lost a
// member may go on, and the call was counted on another one before.
func TestLostReplicaBesideACountedServerIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := newFixture(t, 10, []cluster.ReplicaID{"a", "b", "c"}, handlers{
			"a": streamWithSilence(start, period{100 * time.Millisecond, time.Minute}, 60, 50*time.Millisecond),
			"b": streamWithSilence(start, period{2 * time.Second, 3 * time.Second}, 60, 50*time.Millisecond),
			"c": streamPieces(60, io.EOF),
		})
		time.AfterFunc(2300*time.Millisecond, func() { f.relay.ReplicaLost("b") })
		terms := resumableTerms
		terms.MaxAttempts, terms.Timeout = 2, time.Minute
		require.Equal(t, answerOf(60), f.serve(t.Context(), terms).text)
		require.Len(t, f.backend.sent(), 2)
	})
}
