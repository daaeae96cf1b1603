package relay_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
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

// outcomeRecorder implements relay.Suspects. It records how the runs ended.
type outcomeRecorder struct {
	err      error
	outcomes []suspect.Outcome
	// refuse returns the error of each further check for quarantined parts; nil refuses none.
	refuse func() error
}

func (r *outcomeRecorder) Refuse(suspect.Request) error {
	if r.refuse == nil {
		return nil
	}
	return r.refuse()
}
func (r *outcomeRecorder) AdmitRequest(context.Context, suspect.Request) (suspect.Admission, error) {
	return suspect.Admission{}, r.err
}
func (*outcomeRecorder) IsSuspect(suspect.Request) bool    { return false }
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
func (r fixedReach) Reachable(string) bool      { return !r.lost }

// serveOnce serves an unsafe call with one attempt.
func serveOnce(b relay.Backend, suspects relay.Suspects, departure relay.Departure, pathLost bool) *recorder {
	return serveKind(b, suspects, departure, pathLost, rules.CallUnsafe)
}

// serveKind serves a call of the kind with one attempt.
func serveKind(b relay.Backend, suspects relay.Suspects, departure relay.Departure, pathLost bool, kind rules.CallKind) *recorder {
	return serveOn(newCrashRelay(b, suspects, departure, pathLost), kind)
}

func newCrashRelay(b relay.Backend, suspects relay.Suspects, departure relay.Departure, pathLost bool) *relay.Relay {
	opts := crashOptions(b, suspects)
	opts.Departure, opts.Reach = func(conns.Peer) relay.Departure { return departure }, probedReach{fixedReach{pathLost}}
	return relay.New(opts)
}

// crashOptions returns the options of a relay with one server, without Departure and Reach.
func crashOptions(b relay.Backend, suspects relay.Suspects) relay.Options {
	return relay.Options{
		Router: &listRouter{ids: []cluster.ReplicaID{"a"}, loads: make(map[cluster.ReplicaID]engine.Load)}, Backend: b,
		Budget:   relay.NewBudget(relay.BudgetOptions{Window: 10 * time.Second, Nodes: 1}),
		Peer:     func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
		Suspects: suspects, Log: slog.New(slog.DiscardHandler),
	}
}

func serveOn(r *relay.Relay, kind rules.CallKind) *recorder {
	return serveTerms(r, rules.RoutePolicy{Kind: kind, MaxAttempts: 1, Timeout: time.Second, Split: []rules.WeightedService{{Service: "s", Weight: 1}}})
}

// serveTerms serves a call on a route with the terms.
func serveTerms(r *relay.Relay, terms rules.RoutePolicy) *recorder {
	got := &recorder{}
	r.Serve(context.Background(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now()}, got)
	return got
}

// noticeGiven is the departure of a process that gave notice some time ago.
func noticeGiven(ago time.Duration) relay.Departure {
	return relay.Departure{NoticeAt: time.Now().Add(-ago)}
}

// Guards against requests that count as crashing servers because they ran on one that left as
// planned, was cut off, or gave a wrong answer.
func TestOnlyACrashMakesSuspects(t *testing.T) {
	lost := &relay.BrokenError{Reason: "no answer", ConnectionLost: true, Err: io.ErrUnexpectedEOF}
	for name, c := range map[string]struct {
		err               error
		refuses, pathLost bool
		departure         relay.Departure
		want              suspect.Outcome
	}{
		"process has ended":              {err: lost, refuses: true, want: suspect.Crashed},
		"connection reset or silent":     {err: lost, want: suspect.Abandoned},
		"no other server is reachable":   {err: lost, refuses: true, pathLost: true, want: suspect.Abandoned},
		"planned end":                    {err: lost, refuses: true, departure: noticeGiven(2 * time.Second), want: suspect.Abandoned},
		"notice that comes with the end": {err: lost, refuses: true, departure: noticeGiven(time.Second), want: suspect.Crashed},
		"successor is listed already":    {err: lost, departure: relay.Departure{Replaced: true}, want: suspect.Crashed},
		"planned restart":                {err: lost, departure: relay.Departure{Replaced: true, NoticeAt: noticeGiven(2 * time.Second).NoticeAt}, want: suspect.Abandoned},
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
			serveOnce(b, suspects, c.departure, c.pathLost)
			require.Equal(t, []suspect.Outcome{c.want}, suspects.outcomes)
		})
	}
}

// Guards against a quarantined request that reaches a server, or is refused without saying that
// it has not run.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	b := &refusingBackend{}
	refusal := fennelerr.New(fennelerr.Quarantined, "quarantined").WithRun(fennelerr.NotRun).WithRetryAfter(time.Minute)
	got := serveOnce(b, &outcomeRecorder{err: refusal}, relay.Departure{}, false)
	require.Empty(t, b.sent())
	requireNotRun(t, got.refused)
	require.Equal(t, fennelerr.Quarantined, got.refused.Code)
}

// Guards against an answer without length or chunks that is cut short by the end of its server and passed on as complete.
func TestUnframedAnswerOfAnEndedServerIsIncomplete(t *testing.T) {
	whole := &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{}}}
	for _, c := range []struct {
		name                                 string
		kind                                 rules.CallKind
		unframed, refuses, leaving, complete bool
	}{
		{"stream, server runs", rules.CallStream, true, false, false, true},
		{"stream, server crashed", rules.CallStream, true, true, false, false},
		{"stream, server left as planned", rules.CallStream, true, true, true, false},
		{"framed stream, server crashed", rules.CallStream, false, true, false, true},
		{"plain, server runs", rules.CallUnsafe, true, false, false, true},
		{"plain, server crashed", rules.CallUnsafe, true, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			handle := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
				reply := *whole
				reply.Unframed, reply.Body = c.unframed, &fakeBody{ctx: ctx, next: 1, last: 3, err: io.EOF}
				return &reply, nil
			}
			b := &refusingBackend{fakeBackend{handlers: map[cluster.ReplicaID]handler{"a": handle}}, c.refuses}
			departure := relay.Departure{}
			if c.leaving {
				departure = noticeGiven(2 * time.Second)
			}
			got := serveKind(b, &outcomeRecorder{}, departure, false, c.kind)
			require.Equal(t, c.complete, got.ended)
			if !c.complete && c.kind == rules.CallUnsafe {
				require.Equal(t, fennelerr.Unknown, got.refused.Run)
			}
		})
	}
}

// Guards against an answer cut short by the end of a server whose successor already accepts connections.
func TestUnframedAnswerOfAReplacedServerIsIncomplete(t *testing.T) {
	handle := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
		return &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{}}, Unframed: true, Body: &fakeBody{ctx: ctx, next: 1, last: 3, err: io.EOF}}, nil
	}
	b := &refusingBackend{fakeBackend{handlers: map[cluster.ReplicaID]handler{"a": handle}}, false}
	require.False(t, serveKind(b, &outcomeRecorder{}, relay.Departure{Replaced: true}, false, rules.CallStream).ended)
	require.True(t, serveKind(b, &outcomeRecorder{}, relay.Departure{}, false, rules.CallStream).ended)
}

// successorBackend is a fakeBackend whose servers' addresses were taken by other processes.
type successorBackend struct{ refusingBackend }

func (*successorBackend) HasSuccessor(context.Context, conns.Peer) bool { return true }

// Guards against an answer cut short by a crash that looks complete, as this node stood still while the server's successor began to listen.
func TestUnframedAnswerOfAServerWithASuccessorIsIncomplete(t *testing.T) {
	for _, kind := range []rules.CallKind{rules.CallStream, rules.CallUnsafe, rules.CallSafe} {
		handle := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
			return &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{}}, Unframed: true, Body: &fakeBody{ctx: ctx, next: 1, last: 3, err: io.EOF}}, nil
		}
		b := &successorBackend{refusingBackend{fakeBackend: fakeBackend{handlers: map[cluster.ReplicaID]handler{"a": handle}}}}
		require.False(t, serveKind(b, &outcomeRecorder{}, relay.Departure{}, false, kind).ended, "%v", kind)
	}
}

// Guards against a check from before the server's end that makes an incomplete answer look complete.
func TestUnframedAnswerIsCheckedAnew(t *testing.T) {
	b := &refusingBackend{}
	handle := func(ctx context.Context, _ relay.Attempt) (*relay.Reply, error) {
		return &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{}}, Unframed: true, Body: &fakeBody{ctx: ctx, next: 1, last: 3, err: io.EOF}}, nil
	}
	b.handlers = map[cluster.ReplicaID]handler{"a": handle}
	r := newCrashRelay(b, &outcomeRecorder{}, relay.Departure{}, false)
	require.True(t, serveOn(r, rules.CallStream).ended)
	b.refuses = true
	require.False(t, serveOn(r, rules.CallStream).ended)
}

var errQuarantined = fennelerr.New(fennelerr.Quarantined, "quarantined").WithRun(fennelerr.NotRun).WithRetryAfter(time.Minute)

// Guards against a request with a quarantined part that is sent because it was waiting as its quarantine began.
func TestRequestQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	checks := 0
	suspects := &outcomeRecorder{refuse: func() error {
		if checks++; checks > 1 {
			return errQuarantined
		}
		return nil
	}}
	b := &refusingBackend{}
	got := serveOnce(b, suspects, relay.Departure{}, false)
	require.Empty(t, b.sent())
	requireNotRun(t, got.refused)
	require.Equal(t, fennelerr.Quarantined, got.refused.Code)
}

// Guards against a request with a quarantined part that is handed over to a node that does not know the quarantine.
func TestRequestWithQuarantinedPartIsNotHandedOver(t *testing.T) {
	suspects := &outcomeRecorder{refuse: func() error { return errQuarantined }}
	others := &otherNodes{}
	r := relay.New(relay.Options{Suspects: suspects, Reach: fixedReach{lost: true}, NodeClient: others, Log: slog.New(slog.DiscardHandler),
		Budget: relay.NewBudget(relay.BudgetOptions{Window: 10 * time.Second, Nodes: 1}),
		Nodes:  func() []relay.Node { return []relay.Node{{ID: "node-1", Addr: "addr-1"}} }})
	got := serveOn(r, rules.CallStream)
	require.Empty(t, others.sent)
	requireNotRun(t, got.refused)
}

// stepBackend is a refusingBackend whose checks take their results from a list, the last one again and again.
type stepBackend struct {
	refusingBackend
	refusals steps
}

func (b *stepBackend) Refuses(context.Context, conns.Peer) bool { return b.refusals.next() }

// stepReach is a Reachability whose probes take their results from a list, the last one again and again.
type stepReach struct {
	fixedReach
	probes steps
}

func (r *stepReach) Probe(context.Context) bool { return r.probes.next() }

type steps []bool

func (s *steps) next() bool {
	result := (*s)[0]
	if len(*s) > 1 {
		*s = (*s)[1:]
	}
	return result
}

// Guards against requests that count as crashing servers because their path to the servers was lost, or came back, just then.
func TestPathThatChangesDuringTheCheckMakesNoSuspects(t *testing.T) {
	lost := &relay.BrokenError{Reason: "no answer", ConnectionLost: true, Err: io.ErrUnexpectedEOF}
	for name, c := range map[string]struct {
		refusals, probes steps
		replaced         bool
		want             suspect.Outcome
	}{
		"lost to one server after the other": {refusals: steps{true}, probes: steps{true, false}, want: suspect.Abandoned},
		"back after the server was checked":  {refusals: steps{true, false}, probes: steps{true}, want: suspect.Abandoned},
		"whole, the process has ended":       {refusals: steps{true}, probes: steps{true}, want: suspect.Crashed},
		"whole, the process started again":   {refusals: steps{true, false}, probes: steps{true}, replaced: true, want: suspect.Crashed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &stepBackend{refusingBackend{fakeBackend: fakeBackend{handlers: map[cluster.ReplicaID]handler{"a": failWith(lost)}}}, c.refusals}
				suspects, listed := &outcomeRecorder{}, 0
				opts := crashOptions(b, suspects)
				opts.Reach = &stepReach{probes: c.probes}
				opts.Departure = func(conns.Peer) relay.Departure {
					listed++
					return relay.Departure{Replaced: c.replaced && listed > 1}
				}
				serveOn(relay.New(opts), rules.CallUnsafe)
				require.Equal(t, []suspect.Outcome{c.want}, suspects.outcomes)
			})
		})
	}
}
