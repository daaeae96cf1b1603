package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Defaults of Options.
const (
	DefaultMaxBody           = 4 << 20
	DefaultFirstTokenTimeout = 30 * time.Second
	DefaultCallTimeout       = 20 * time.Second
	DefaultWriteTimeout      = 30 * time.Second
	DefaultProbeTimeout      = time.Second
	DefaultMaxAttempts       = 6
	DefaultKeepAlive         = 5 * time.Second
	DefaultAnswerBuffer      = 1 << 20
	cancelTimeout            = 2 * time.Second
	claimFinishTimeout       = 5 * time.Second
	maxRefusalRetryAfter     = time.Minute
)

// Prober asks an engine for its state over a new connection.
type Prober interface {
	State(ctx context.Context, addr string) (engine.State, error)
	Cancel(ctx context.Context, addr, requestID string) error
}

// Options are the parts a Gateway is made of. All but the sizes and times are
// required; those take the defaults above when zero.
type Options struct {
	Node cluster.NodeID
	// Protocol speaks the callers' protocol.
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
	// OnReplicaFailed is told of replicas that failed a request, so that the
	// health check looks at once; may be nil.
	OnReplicaFailed func(replica cluster.Replica, reason string)
	// NewRequestID returns a request id that no other request of any node has.
	NewRequestID func() string

	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// FirstTokenTimeout is how long a caller waits for the first token when it names no bound itself.
	FirstTokenTimeout time.Duration
	// CallTimeout bounds a call to a plain service.
	CallTimeout time.Duration
	// WriteTimeout is how long a caller may take no bytes before it counts as gone.
	WriteTimeout time.Duration
	ProbeTimeout time.Duration
	// MaxAttempts bounds dispatches without progress of one request.
	MaxAttempts int
	// KeepAlive is how often a streaming caller hears a comment while nothing else comes.
	KeepAlive time.Duration
	// AnswerBuffer is how much of a plain service's answer is read before the first byte goes on, in bytes.
	AnswerBuffer int64
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.FirstTokenTimeout, DefaultFirstTokenTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.AnswerBuffer, DefaultAnswerBuffer)
	if o.OnReplicaFailed == nil {
		o.OnReplicaFailed = func(cluster.Replica, string) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Gateway is the callers' http.Handler.
type Gateway struct {
	opts Options
	// background counts cancels and claim records still on their way.
	background sync.WaitGroup
	// refused counts refusals by team since the start: *atomic.Int64 by cluster.TeamID.
	refused sync.Map
}

func (g *Gateway) noteRefused(c caller) {
	if c.team == nil {
		return
	}
	count, _ := g.refused.LoadOrStore(c.team.Name, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
}

// RefusedRequests returns how many requests of the team were refused since the start.
func (g *Gateway) RefusedRequests(team cluster.TeamID) int64 {
	if count, ok := g.refused.Load(team); ok {
		return count.(*atomic.Int64).Load()
	}
	return 0
}

// Wait returns when nothing that the gateway started in the background runs any more.
func (g *Gateway) Wait() { g.background.Wait() }

// New returns a Gateway.
func New(opts Options) *Gateway {
	opts.setDefaults()
	return &Gateway{opts: opts}
}

// caller is an authenticated request before its target is known.
type caller struct {
	set  *rules.Set
	team *rules.Team
	id   string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := g.opts.NewRequestID()
	w.Header().Set(engine.HeaderRequestID, id)
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

func (g *Gateway) authenticate(r *http.Request, id string) (caller, error) {
	c := caller{id: id, set: g.opts.Rules.Current()}
	if c.set == nil {
		return c, fennelerr.New(fennelerr.NotReady, "no rules are known on this node yet").
			WithRun(fennelerr.NotRun).WithRetryAfter(time.Second)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return c, fennelerr.New(fennelerr.Unauthenticated, "send the team's token as 'Authorization: Bearer TOKEN'").
			WithField("Authorization").WithRun(fennelerr.NotRun)
	}
	c.team = c.set.TeamByToken(token)
	if c.team == nil {
		return c, fennelerr.New(fennelerr.Unauthenticated, "no team has this token").
			WithField("Authorization").WithRun(fennelerr.NotRun)
	}
	return c, nil
}

// route finds the rule of a request or refuses it.
func (g *Gateway) route(c caller, path, model string) (*rules.Route, error) {
	rt := c.set.Match(rules.Request{Path: path, Model: model, Team: c.team.Name})
	if rt != nil {
		return rt, nil
	}
	if model != "" {
		return nil, fennelerr.New(fennelerr.ModelNotFound, "no rule serves model %q on %s to team %s", model, path, c.team.Name).
			WithField("model").WithRun(fennelerr.NotRun)
	}
	return nil, fennelerr.New(fennelerr.NotFound, "no rule serves path %s to team %s", path, c.team.Name).
		WithField("path").WithRun(fennelerr.NotRun)
}
