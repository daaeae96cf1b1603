package relay_test

import (
	"context"
	"io"
	"net/http"
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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listRouter hands out its replicas in order, without the excluded ones and those that
// have no room by their last report.
type listRouter struct {
	ids   []cluster.ReplicaID
	mu    sync.Mutex
	loads map[cluster.ReplicaID]engine.Load
}

func (l *listRouter) hasRoom(id cluster.ReplicaID, limit routing.Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	load, told := l.loads[id]
	return !told || float64(load.Running+load.Waiting+1) <= limit.PerSlot*float64(load.MaxRunning)+limit.Extra
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

func (*listRouter) End(routing.Choice, routing.Result) {}

func (l *listRouter) ReportLoad(id cluster.ReplicaID, load engine.Load, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads[id] = load
}

// script is what one backend server does with each attempt in turn.
type script func(ctx context.Context, a relay.Attempt) (*relay.Reply, error)

// scripted runs a script for each replica and notes the attempts.
type scripted struct {
	mu       sync.Mutex
	by       map[cluster.ReplicaID]script
	attempts []relay.Attempt
}

func (s *scripted) Send(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	run := s.by[a.Replica]
	s.mu.Unlock()
	return run(ctx, a)
}

func (s *scripted) sent() []relay.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts
}

// pieces streams pieces from after the one that the caller has up to the last; then
// it ends with err, io.EOF for a whole answer, or stays silent for nil.
func pieces(last int, err error) script {
	return func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
		after, _ := strconv.Atoi(a.ResumeAfter)
		return &relay.Reply{Head: call.Head{Status: 200, Header: http.Header{"By": {string(a.Replica)}}},
			Body: &scriptedBody{ctx: ctx, next: after + 1, last: last, err: err}}, nil
	}
}

type scriptedBody struct {
	ctx        context.Context
	next, last int
	err        error
	closed     bool
}

func (b *scriptedBody) Next() ([]byte, string, error) {
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

func (b *scriptedBody) ReadAll(int64) ([]byte, error) {
	if b.err != nil && b.err != io.EOF {
		return nil, b.err
	}
	return []byte("whole"), nil
}

func (b *scriptedBody) Close() { b.closed = true }

// answers replies at once with a status.
func answers(status int) script {
	return func(context.Context, relay.Attempt) (*relay.Reply, error) {
		return &relay.Reply{Head: call.Head{Status: status, Header: http.Header{}}, Body: &scriptedBody{err: io.EOF}}, nil
	}
}

func fails(err error) script {
	return func(context.Context, relay.Attempt) (*relay.Reply, error) { return nil, err }
}

var (
	broken = &relay.BrokenError{Reason: "reset", Err: io.ErrUnexpectedEOF}
	shed   = &relay.NotRunError{Reason: "full", Received: true}
	noDial = &relay.NotRunError{Reason: "connection refused"}
)

// recorder is a sink that keeps what the caller got.
type recorder struct {
	head    call.Head
	text    string
	ended   bool
	aborted *fennelerr.Error
	refused *fennelerr.Error
}

func (r *recorder) Whole(head call.Head, body []byte) error {
	r.head, r.text, r.ended = head, string(body), true
	return nil
}
func (r *recorder) Start(head call.Head) error  { r.head = head; return nil }
func (r *recorder) Piece(data []byte) error     { r.text += string(data); return nil }
func (r *recorder) End() error                  { r.ended = true; return nil }
func (r *recorder) Abort(err *fennelerr.Error)  { r.aborted = err }
func (r *recorder) Refuse(err *fennelerr.Error) { r.refused = err }

// world is a relay before scripted servers.
type world struct {
	relay   *relay.Relay
	backend *scripted
}

func newWorld(t *testing.T, slack float64, order []cluster.ReplicaID, by map[cluster.ReplicaID]script) *world {
	t.Helper()
	w := &world{backend: &scripted{by: by}}
	w.relay = relay.New(relay.Options{
		Router: &listRouter{ids: order, loads: make(map[cluster.ReplicaID]engine.Load)}, Backend: w.backend,
		Budget: relay.NewBudget(relay.BudgetOptions{Slack: slack, Window: 10 * time.Second, Nodes: 1}),
		Peer:   func(c routing.Choice) (conns.Peer, bool) { return conns.Peer{Server: c.Replica.Serving}, true },
	})
	return w
}

func (w *world) serve(ctx context.Context, terms rules.Terms) *recorder {
	if terms.MaxAttempts == 0 {
		terms.MaxAttempts = 2
	}
	if terms.Timeout == 0 {
		terms.Timeout = 5 * time.Second
	}
	terms.Split = []rules.Weighted{{Service: "s", Weight: 1}}
	got := &recorder{}
	model := ""
	if terms.Kind == rules.CallStream {
		model = "m"
	}
	w.relay.Serve(ctx, &call.Call{ID: "id-1", Model: model, Route: &rules.Route{Terms: &terms}, ReceivedAt: time.Now()}, got)
	return got
}

var (
	safe       = rules.Terms{Kind: rules.CallSafe}
	unsafeCall = rules.Terms{Kind: rules.CallUnsafe}
	resumable  = rules.Terms{Kind: rules.CallStream, Resumable: true, TargetGap: 100 * time.Millisecond, Target: 100 * time.Millisecond}
	once       = rules.Terms{Kind: rules.CallStream}
)

func requireNotRun(t *testing.T, e *fennelerr.Error) {
	t.Helper()
	require.NotNil(t, e)
	require.Equal(t, fennelerr.NotRun, e.Run)
	require.Positive(t, e.RetryAfter, "a caller is told when to come back")
}
