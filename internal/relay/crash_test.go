package relay_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
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

// outcomeRecorder implements relay.Suspects. It records how the runs ended.
type outcomeRecorder struct {
	err      error
	outcomes []suspect.Outcome
}

func (r *outcomeRecorder) Refuse(suspect.Request) error { return nil }
func (r *outcomeRecorder) AdmitRequest(context.Context, suspect.Request) (suspect.Admission, error) {
	return suspect.Admission{}, r.err
}
func (*outcomeRecorder) MayRetryOn(cluster.ReplicaID) bool { return true }
func (r *outcomeRecorder) BeginRequest(suspect.Request, cluster.ReplicaID, int64, suspect.Admission) suspect.Run {
	return r
}
func (r *outcomeRecorder) Piece()                {}
func (r *outcomeRecorder) End(o suspect.Outcome) { r.outcomes = append(r.outcomes, o) }

// refusingBackend is a fakeBackend whose servers refuse further connections.
type refusingBackend struct {
	fakeBackend
	refuses bool
}

func (b *refusingBackend) Refuses(context.Context, conns.Peer) bool { return b.refuses }
func (b *refusingBackend) Accepts(context.Context, conns.Peer) bool { return !b.refuses }

// fixedReach is a relay.Reachability that never changes.
type fixedReach struct{ lost bool }

// probedReach is a fixedReach whose loss only a probe shows.
type probedReach struct{ fixedReach }

func (probedReach) Unreachable() bool { return false }

func (fixedReach) Failed(string)                {}
func (fixedReach) Answered()                    {}
func (r fixedReach) Unreachable() bool          { return r.lost }
func (r fixedReach) Probe(context.Context) bool { return !r.lost }
func (r fixedReach) SomeReachable() bool        { return !r.lost }

// serveOnce serves an unsafe call with one attempt.
func serveOnce(b relay.Backend, suspects relay.Suspects, leaving, pathLost bool) *recorder {
	r := relay.New(relay.Options{
		Router: &listRouter{ids: []cluster.ReplicaID{"a"}, loads: make(map[cluster.ReplicaID]engine.Load)}, Backend: b,
		Budget:   relay.NewBudget(relay.BudgetOptions{Window: 10 * time.Second, Nodes: 1}),
		Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
		Suspects: suspects, Leaving: func(conns.Peer) bool { return leaving }, Reach: probedReach{fixedReach{pathLost}}, Log: slog.New(slog.DiscardHandler),
	})
	terms := rules.RoutePolicy{Kind: rules.CallUnsafe, MaxAttempts: 1, Timeout: time.Second, Split: []rules.WeightedService{{Service: "s", Weight: 1}}}
	got := &recorder{}
	r.Serve(context.Background(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now()}, got)
	return got
}

// Guards against requests that count as crashing servers because they ran on one that left as
// planned, was cut off, or gave a wrong answer.
func TestOnlyACrashMakesSuspects(t *testing.T) {
	lost := &relay.BrokenError{Reason: "no answer", ConnectionLost: true, Err: io.ErrUnexpectedEOF}
	for name, c := range map[string]struct {
		err                        error
		refuses, leaving, pathLost bool
		want                       suspect.Outcome
	}{
		"process has ended":              {err: lost, refuses: true, want: suspect.Crashed},
		"connection reset or silent":     {err: lost, want: suspect.Abandoned},
		"no other server is reachable":   {err: lost, refuses: true, pathLost: true, want: suspect.Abandoned},
		"planned end":                    {err: lost, refuses: true, leaving: true, want: suspect.Abandoned},
		"answer of another request":      {err: &relay.BrokenError{Reason: "id", Err: io.EOF}, refuses: true, want: suspect.Abandoned},
		"never reached the server":       {err: errRefused, refuses: true, want: suspect.Abandoned},
		"complete answer, then the end ": {refuses: true, want: suspect.Finished},
	} {
		t.Run(name, func(t *testing.T) {
			handle := respondWith(200)
			if c.err != nil {
				handle = failWith(c.err)
			}
			b := &refusingBackend{fakeBackend{handlers: map[cluster.ReplicaID]handler{"a": handle}}, c.refuses}
			suspects := &outcomeRecorder{}
			serveOnce(b, suspects, c.leaving, c.pathLost)
			require.Equal(t, []suspect.Outcome{c.want}, suspects.outcomes)
		})
	}
}

// Guards against a quarantined request that reaches a server, or is refused without saying that
// it has not run.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	b := &refusingBackend{}
	refusal := fennelerr.New(fennelerr.Quarantined, "quarantined").WithRun(fennelerr.NotRun).WithRetryAfter(time.Minute)
	got := serveOnce(b, &outcomeRecorder{err: refusal}, false, false)
	require.Empty(t, b.sent())
	requireNotRun(t, got.refused)
	require.Equal(t, fennelerr.Quarantined, got.refused.Code)
}
