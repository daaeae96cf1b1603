package relay_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

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

func TestMain(m *testing.M) {
	// The datagram library starts a goroutine pool when its package is initialized.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// listRouter chooses its replicas in order, skipping the excluded ones and those that are
// full by their last load report.
type listRouter struct {
	ids   []cluster.ReplicaID
	mu    sync.Mutex
	loads map[cluster.ReplicaID]engine.Load
	// limits holds the limits that the replicas named last; 0 for none.
	limits map[cluster.ReplicaID]float64
	// pushbacks holds for how long the replicas wanted no requests.
	pushbacks map[cluster.ReplicaID]time.Duration
	// leaving holds the replicas whose servers said that they are about to shut down.
	leaving []cluster.ReplicaID
	// canceled holds for each request whether its result says nothing of its replica.
	canceled []bool
}

func (l *listRouter) hasRoom(id cluster.ReplicaID, limit routing.Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	load, reported := l.loads[id]
	return !reported || float64(load.Running+load.Waiting+1) <= limit.PerSlot*float64(load.MaxRunning)+limit.Extra
}

func (l *listRouter) Choose(req routing.Request) (routing.Choice, error) {
	full := false
	for _, id := range l.ids {
		excluded := !l.hasRoom(id, req.Limit)
		full = full || excluded
		for _, other := range req.Exclude {
			excluded = excluded || other == id
		}
		if !excluded {
			return routing.Choice{Replica: cluster.Replica{ID: id, Serving: cluster.VMID(id)}}, nil
		}
	}
	if full {
		return routing.Choice{}, &routing.FullError{Group: req.Group}
	}
	return routing.Choice{}, fennelerr.New(fennelerr.NoReplica, "none left").WithRun(fennelerr.NotRun)
}

func (l *listRouter) End(_ routing.Choice, res routing.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.canceled = append(l.canceled, res.Canceled)
}

func (l *listRouter) ReportRateLimit(choice routing.Choice, perSecond float64, _, _ time.Time) bool {
	id := choice.Replica.ID
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = make(map[cluster.ReplicaID]float64)
	}
	l.limits[id] = perSecond
	return false
}

func (l *listRouter) ReportPushback(choice routing.Choice, d time.Duration, _ time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pushbacks == nil {
		l.pushbacks = make(map[cluster.ReplicaID]time.Duration)
	}
	l.pushbacks[choice.Replica.ID] = d
	return true
}

func (*listRouter) PushbackLeft(routing.Choice, time.Time) time.Duration { return 0 }

func (l *listRouter) ReportLeaving(choice routing.Choice, _ time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(l.leaving, choice.Replica.ID) {
		return false
	}
	l.leaving = append(l.leaving, choice.Replica.ID)
	return true
}

func (l *listRouter) ReportLoad(id cluster.ReplicaID, load engine.Load, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads[id] = load
}

// handler is the behavior of a backend server: it answers an attempt or fails it.
type handler func(ctx context.Context, a relay.Attempt) (*relay.Reply, error)

// fakeBackend calls the handler of each replica and records the attempts.
type fakeBackend struct {
	mu       sync.Mutex
	handlers map[cluster.ReplicaID]handler
	attempts []relay.Attempt
}

func (b *fakeBackend) Send(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
	b.mu.Lock()
	b.attempts = append(b.attempts, a)
	handle := b.handlers[a.Replica]
	b.mu.Unlock()
	return handle(ctx, a)
}

func (*fakeBackend) Refuses(context.Context, conns.Peer) bool { return false }

func (*fakeBackend) HasSuccessor(context.Context, conns.Peer) bool { return false }
func (*fakeBackend) Accepts(context.Context, conns.Peer) bool      { return true }

func (b *fakeBackend) sent() []relay.Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempts
}

// streamPieces streams the pieces after ResumeAfter up to the last one. Then it fails with
// err, which is io.EOF for a complete answer, or stays silent if err is nil.
func streamPieces(last int, err error) handler {
	return func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
		after, _ := strconv.Atoi(a.ResumeAfter)
		return &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{"By": {string(a.Replica)}}},
			Body: &fakeBody{ctx: ctx, next: after + 1, last: last, err: err}}, nil
	}
}

type fakeBody struct {
	ctx        context.Context
	next, last int
	err        error
	closed     bool
}

func (b *fakeBody) Next() ([]byte, string, error) {
	if b.next <= b.last {
		id := strconv.Itoa(b.next)
		b.next++
		return []byte(id + ";"), id, nil
	}
	if b.err == nil {
		<-b.ctx.Done()
		return nil, "", &relay.BrokenError{Reason: "ended", Err: b.ctx.Err()}
	}
	return nil, "", b.err
}

func (b *fakeBody) ReadAll(int64) ([]byte, error) {
	if b.err != nil && b.err != io.EOF {
		return nil, b.err
	}
	return []byte("whole"), nil
}

func (b *fakeBody) Close() { b.closed = true }

// respondWith answers at once with the status.
func respondWith(status int) handler {
	return func(context.Context, relay.Attempt) (*relay.Reply, error) {
		return &relay.Reply{Head: call.Head{Status: status, Header: http.Header{}}, Body: &fakeBody{err: io.EOF}}, nil
	}
}

// failWith fails the attempt with err.
func failWith(err error) handler {
	return func(context.Context, relay.Attempt) (*relay.Reply, error) { return nil, err }
}

var (
	errReset   = &relay.BrokenError{Reason: "reset", Err: io.ErrUnexpectedEOF}
	errFull    = &relay.NotRunError{Reason: "full", Received: true}
	errRefused = &relay.NotRunError{Reason: "connection refused"}
)

// recorder is a call.Sink that records what the caller receives.
type recorder struct {
	head    call.Head
	text    string
	ended   bool
	aborted *fennelerr.Error
	refused *fennelerr.Error
}

func (r *recorder) Respond(head call.Head, body []byte) error {
	r.head, r.text, r.ended = head, string(body), true
	return nil
}
func (r *recorder) Start(head call.Head) error   { r.head = head; return nil }
func (r *recorder) WritePiece(data []byte) error { r.text += string(data); return nil }
func (r *recorder) End() error                   { r.ended = true; return nil }
func (r *recorder) Abort(err *fennelerr.Error)   { r.aborted = err }
func (r *recorder) Refuse(err *fennelerr.Error)  { r.refused = err }

// fixture is a relay with a fake backend.
type fixture struct {
	relay   *relay.Relay
	router  *listRouter
	backend *fakeBackend
}

func newFixture(t *testing.T, slack float64, order []cluster.ReplicaID, handlers map[cluster.ReplicaID]handler) *fixture {
	t.Helper()
	router := &listRouter{ids: order, loads: make(map[cluster.ReplicaID]engine.Load)}
	f := newFixtureWith(t, slack, router, &fakeBackend{handlers: handlers})
	f.router = router
	return f
}

// newFixtureWith is newFixture with another router, and options that change modifies; the fixture's own router is nil.
func newFixtureWith(t *testing.T, slack float64, router relay.Router, backend *fakeBackend, change ...func(*relay.Options)) *fixture {
	t.Helper()
	f := &fixture{backend: backend}
	opts := relay.Options{
		Router: router, Backend: f.backend,
		Budget: relay.NewBudget(relay.BudgetOptions{Slack: slack, Window: 10 * time.Second, Nodes: 1}),
		Peer:   func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },

		Suspects: suspect.New(suspect.Options{Log: slog.New(slog.DiscardHandler)}), Departure: func(conns.Peer) relay.Departure { return relay.Departure{} },
	}
	for _, c := range change {
		c(&opts)
	}
	f.relay = relay.New(opts)
	return f
}

func (f *fixture) serve(ctx context.Context, terms rules.RoutePolicy) *recorder {
	if terms.MaxAttempts == 0 {
		terms.MaxAttempts = 2
	}
	if terms.Timeout == 0 {
		terms.Timeout = 5 * time.Second
	}
	terms.Split = []rules.WeightedService{{Service: "s", Weight: 1}}
	got := &recorder{}
	model := ""
	if terms.Kind == rules.CallStream {
		model = "m"
	}
	f.relay.Serve(ctx, &call.Call{ID: "id-1", Model: model, Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now()}, got)
	return got
}

var (
	safeTerms         = rules.RoutePolicy{Kind: rules.CallSafe}
	unsafeTerms       = rules.RoutePolicy{Kind: rules.CallUnsafe}
	resumableTerms    = rules.RoutePolicy{Kind: rules.CallStream, Resumable: true, TargetGap: 100 * time.Millisecond, Target: 100 * time.Millisecond}
	nonResumableTerms = rules.RoutePolicy{Kind: rules.CallStream}
)

func requireNotRun(t *testing.T, e *fennelerr.Error) {
	t.Helper()
	require.NotNil(t, e)
	require.Equal(t, fennelerr.NotRun, e.Run)
	require.Positive(t, e.RetryAfter, "the refusal has a retry time")
}
