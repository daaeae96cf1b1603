package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Defaults of Options, and fixed limits.
const (
	DefaultMaxBody           = 4 << 20
	DefaultFirstTokenTimeout = 30 * time.Second
	DefaultCallTimeout       = 20 * time.Second
	DefaultWriteTimeout      = 30 * time.Second
	DefaultProbeTimeout      = time.Second
	DefaultMaxReplicaWait    = 10 * time.Second
	DefaultMaxAttempts       = 6
	DefaultKeepAlive         = 5 * time.Second
	DefaultAnswerBuffer      = 1 << 20
	engineCancelTimeout      = 2 * time.Second
	claimSettleTimeout       = 5 * time.Second
	maxRefusalRetryAfter     = time.Minute
)

// Prober queries and cancels requests at an engine, over new connections.
type Prober interface {
	State(ctx context.Context, addr string) (engine.State, error)
	Cancel(ctx context.Context, addr, requestID string) error
}

// Options configures a Gateway. Log, OnReplicaFailed, the sizes and the durations are optional
// and take the defaults above if zero; everything else is required.
type Options struct {
	Node cluster.NodeID
	// Protocol implements the API that callers use.
	Protocol   Protocol
	Rules      RuleSource
	Router     Router
	Services   Services
	Admitter   Admitter
	Claimer    Claimer
	Quarantine Quarantine
	Pools      *engine.Pools
	Streamer   *engine.Streamer
	Prober     Prober
	Log        *slog.Logger
	// OnReplicaFailed is called when a replica failed a request, so that its health is
	// checked at once. It may be nil.
	OnReplicaFailed func(replica cluster.Replica, reason string)
	// Reachable reports whether this node reaches the engines at all. While it does not, an engine
	// that does not answer has not crashed. It may be nil.
	Reachable func(ctx context.Context) bool
	// Uploads ends when bodies that are still arriving are refused, as the node is stopping. It may be nil.
	Uploads context.Context
	// NewRequestID returns a request ID that is unique over all nodes.
	NewRequestID func() string

	// MaxBody is the largest accepted request body, in bytes.
	MaxBody int64
	// FirstTokenTimeout limits the wait for the first token if the caller sets no limit.
	FirstTokenTimeout time.Duration
	// CallTimeout limits a call to a plain service.
	CallTimeout time.Duration
	// WriteTimeout is how long a write may block before the caller counts as disconnected.
	WriteTimeout time.Duration
	// ProbeTimeout limits the query of an engine's state after a failed attempt.
	ProbeTimeout time.Duration
	// MaxReplicaWait limits the wait for a replica that takes a request whose answer has begun or
	// which is a suspect, and the wait for a silent replica if the request can't be sent elsewhere.
	MaxReplicaWait time.Duration
	// MaxAttempts limits the consecutive attempts of a request that make no progress.
	MaxAttempts int
	// KeepAlive is the interval of comments that are sent on an idle stream.
	KeepAlive time.Duration
	// AnswerBuffer is how much of a plain service's answer is read before any of it is
	// forwarded, in bytes. A failure within this part can still be retried or reported.
	AnswerBuffer int64
}

func (o *Options) setDefaults() {
	setIfUnset(&o.MaxBody, DefaultMaxBody)
	setIfUnset(&o.FirstTokenTimeout, DefaultFirstTokenTimeout)
	setIfUnset(&o.CallTimeout, DefaultCallTimeout)
	setIfUnset(&o.WriteTimeout, DefaultWriteTimeout)
	setIfUnset(&o.ProbeTimeout, DefaultProbeTimeout)
	setIfUnset(&o.MaxReplicaWait, DefaultMaxReplicaWait)
	setIfUnset(&o.MaxAttempts, DefaultMaxAttempts)
	setIfUnset(&o.KeepAlive, DefaultKeepAlive)
	setIfUnset(&o.AnswerBuffer, DefaultAnswerBuffer)
	if o.OnReplicaFailed == nil {
		o.OnReplicaFailed = func(cluster.Replica, string) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

func setIfUnset[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Gateway is the http.Handler for callers' requests.
type Gateway struct {
	opts Options
	// background tracks cancel requests that are still being sent.
	background sync.WaitGroup
	// refusals counts refused requests since the start: *atomic.Int64 by cluster.TeamID.
	refusals sync.Map
}

// countTeamRefusal counts a refused request of an authenticated caller.
func (g *Gateway) countTeamRefusal(c caller) {
	if c.team == nil {
		return
	}
	count, _ := g.refusals.LoadOrStore(c.team.Name, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
}

// RefusedRequests returns how many requests of the team were refused since the start.
func (g *Gateway) RefusedRequests(team cluster.TeamID) int64 {
	if count, ok := g.refusals.Load(team); ok {
		return count.(*atomic.Int64).Load()
	}
	return 0
}

// Wait waits until all background work of the gateway has ended.
func (g *Gateway) Wait() { g.background.Wait() }

// New returns a Gateway.
func New(opts Options) *Gateway {
	opts.setDefaults()
	return &Gateway{opts: opts}
}

// caller holds a request's ID, the rules it is handled by and the team that sent it. team is
// nil if authentication failed.
type caller struct {
	rules     *rules.Set
	team      *rules.Team
	requestID string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := g.opts.NewRequestID()
	w.Header().Set(engine.HeaderRequestID, id)
	defer g.logPanic(id)
	c, err := g.authenticate(r, id)
	if err != nil {
		g.refuse(w, r, c, err)
		return
	}
	switch r.URL.Path {
	case modelsPath:
		g.serveModels(w, r, c)
	case engine.ChatPath, engine.CompletionsPath:
		g.serveModel(w, r, c)
	default:
		g.servePlain(w, r, c)
	}
}

// logPanic names the request of a panic, which net/http only logs with its stack.
func (g *Gateway) logPanic(requestID string) {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		g.opts.Log.Error("panic", "request", requestID, "err", p)
	}
	panic(p)
}

// recoverPanic ends a panic of a goroutine beside the request's own, which would end the process.
func (s *session) recoverPanic() {
	if p := recover(); p != nil {
		s.g.opts.Log.Error("panic", "request", s.c.requestID, "err", p, "stack", string(debug.Stack()))
	}
}

func (g *Gateway) authenticate(r *http.Request, id string) (caller, error) {
	c := caller{requestID: id, rules: g.opts.Rules.Current()}
	if c.rules == nil {
		return c, fennelerr.New(fennelerr.NotReady, "no rules are known on this node yet").
			WithRun(fennelerr.NotRun).WithRetryAfter(time.Second)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return c, fennelerr.New(fennelerr.Unauthenticated, "send the team's token as 'Authorization: Bearer TOKEN'").
			WithField("Authorization").WithRun(fennelerr.NotRun)
	}
	c.team = c.rules.TeamByToken(token)
	if c.team == nil {
		return c, fennelerr.New(fennelerr.Unauthenticated, "no team has this token").
			WithField("Authorization").WithRun(fennelerr.NotRun)
	}
	return c, nil
}

// route returns the rule that matches a request, or an error if there is none.
func (g *Gateway) route(c caller, path, model string) (*rules.Route, error) {
	route := c.rules.Match(rules.Request{Path: path, Model: model, Team: c.team.Name})
	if route != nil {
		return route, nil
	}
	if model != "" {
		return nil, fennelerr.New(fennelerr.ModelNotFound, "no rule serves model %q on %s to team %s", model, path, c.team.Name).
			WithField("model").WithRun(fennelerr.NotRun)
	}
	return nil, fennelerr.New(fennelerr.NotFound, "no rule serves path %s to team %s", path, c.team.Name).
		WithField("path").WithRun(fennelerr.NotRun)
}
