package player

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// callers generates the scenario's calls and records their results.
type callers struct {
	sys *Simulation
	rng *rand.Rand

	mu   sync.Mutex
	sent int
	// tokens holds the length in tokens of the answer to each call, by call ID.
	tokens   map[string]int
	results  []CallResult
	routes   map[string]*rules.Route
	inFlight sync.WaitGroup
}

// Outcome is the result of a call as its caller sees it.
type Outcome string

// Outcomes of a call.
const (
	OnTime  Outcome = "on-time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// CallResult is one call and its result.
type CallResult struct {
	Kind string
	// SentAt counts from the start of the load.
	SentAt  time.Duration
	Outcome Outcome
	// FirstPiece is the time from the first attempt until the first piece, MaxGap the
	// longest time between two consecutive pieces.
	FirstPiece, MaxGap time.Duration
	Attempts           int
	// Node is the node of the first attempt, and FirstServed whether that attempt was
	// answered in full.
	Node        cluster.NodeID
	FirstServed bool
	// RefusedAfter is the longest time that an attempt took to be refused; 0 if none was.
	RefusedAfter time.Duration
	// Quarantined is set if the call was refused as one that crashes servers.
	Quarantined bool
	// FirstPart is the first part of the call's prompt.
	FirstPart uint64
	// Work is the time of a replica that the call takes, computed from the engine's figures.
	Work time.Duration
}

// run sends calls until the scenario's length has passed, then waits for all of them to
// finish.
func (c *callers) run() {
	start := time.Now()
	for {
		rate, kind := c.drawKind(time.Since(start))
		time.Sleep(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
		at := time.Since(start)
		if at >= c.sys.scenario.Length {
			break
		}
		node := c.sys.pickNode(c.rng)
		c.sent++
		id := fmt.Sprintf("call-%d", c.sent)
		prompt, answer := int(kind.Prompt.sample(c.rng)), int(kind.Answer.sample(c.rng))
		hint := int(float64(answer) * math.Exp(hintSpread*c.rng.NormFloat64()))
		c.inFlight.Go(func() { c.runCall(node, kind, id, at, prompt, answer, hint) })
	}
	c.inFlight.Wait()
}

// hintSpread is the standard deviation of the logarithm of the error in callers' hints on
// the length of their answers.
const hintSpread = 0.5

// drawKind returns the total call rate at a moment and draws the kind of the next call.
func (c *callers) drawKind(at time.Duration) (rate float64, kind *CallKind) {
	rates := make([]float64, len(c.sys.scenario.Kinds))
	for i, k := range c.sys.scenario.Kinds {
		rates[i] = k.Rate
		for _, b := range c.sys.scenario.Bursts {
			if (b.Kind == "" || b.Kind == k.Name) && at >= b.At && at < b.At+b.Duration {
				rates[i] *= b.Factor
			}
		}
		rate += rates[i]
	}
	remaining := c.rng.Float64() * rate
	for i := range rates {
		if remaining -= rates[i]; remaining < 0 || i == len(rates)-1 {
			return rate, &c.sys.scenario.Kinds[i]
		}
	}
	return rate, nil
}

// sample draws a length of at least one token.
func (t TokenDistribution) sample(rng *rand.Rand) float64 {
	tokens := t.Mean * math.Exp(t.Spread*rng.NormFloat64()-t.Spread*t.Spread/2)
	if t.Max > 0 {
		tokens = min(tokens, t.Max)
	}
	return max(tokens, 1)
}

// Limits of a caller's patience.
const (
	// A caller gives up when no piece has come for the longest of minTimeout,
	// timeoutTargets times its target, and timeoutGaps times its target gap.
	minTimeout     = 2 * time.Second
	timeoutTargets = 4
	timeoutGaps    = 8
	// A refused caller retries after at most the time left until its deadline divided
	// by retryWaitDivisor.
	retryWaitDivisor = 3
)

// runCall sends a call and retries it once, at a random node of the zone, if it is refused
// or breaks off.
func (c *callers) runCall(n *node, k *CallKind, id string, at time.Duration, prompt, answer, hint int) {
	sent := time.Now()
	r := request{uri: "/" + id, parts: promptParts(k, id), sent: sent, prompt: prompt, answer: answer, hint: hint}
	result := CallResult{Kind: k.Name, Node: n.id, SentAt: at, Outcome: Failed, FirstPart: r.parts[0], Work: c.sys.scenario.work(k, prompt, answer)}
	for try := range 2 {
		result.Attempts = try + 1
		r.id = fmt.Sprintf("%s-%d", id, try)
		began := time.Now()
		s := c.attempt(n, k, r)
		if s.refused != nil {
			result.RefusedAfter = max(result.RefusedAfter, time.Since(began))
		}
		result.recordAttempt(s, k)
		result.FirstServed = result.FirstServed || s.ended && try == 0
		if s.ended {
			break
		}
		remaining := k.Deadline - time.Since(sent)
		switch {
		case s.refused != nil:
			result.Outcome = Refused
			result.Quarantined = s.refused.Code == fennelerr.Quarantined
			time.Sleep(min(s.refused.RetryAfter, remaining/retryWaitDivisor))
		case s.pieces > 0:
			r.resume = fmt.Sprint(s.pieces)
		}
		n = c.sys.retryNode(n, c.rng)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
}

// recordAttempt merges the result of one attempt into the call's.
func (f *CallResult) recordAttempt(s *sink, k *CallKind) {
	if s.pieces > 0 && f.FirstPiece == 0 {
		f.FirstPiece = s.firstAt.Sub(s.sent)
	}
	f.MaxGap = max(f.MaxGap, s.maxGap)
	switch {
	case !s.ended:
		f.Outcome = Failed
	case f.FirstPiece <= k.Target && f.MaxGap <= k.TargetGap:
		f.Outcome = OnTime
	default:
		f.Outcome = Late
	}
}

// request is one attempt of a call. prompt, answer and hint are numbers of tokens.
type request struct {
	id, uri string
	body    []byte
	parts   []uint64
	// sent is when the caller sent the first attempt.
	sent                 time.Time
	prompt, answer, hint int
	// resume is the id of the piece after which the answer is resumed, or empty.
	resume string
}

// attempt sends a call to a node once.
func (c *callers) attempt(n *node, k *CallKind, r request) *sink {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &sink{sent: r.sent, timeout: max(minTimeout, timeoutTargets*k.Target, timeoutGaps*k.TargetGap)}
	s.timer = time.AfterFunc(s.timeout, cancel)
	defer s.timer.Stop()
	c.mu.Lock()
	c.tokens[r.id] = r.answer
	route := c.routes[k.Name]
	c.mu.Unlock()
	now := time.Now()
	n.serve(ctx, &call.Call{ID: r.id, URI: r.uri, Body: r.body, Route: route, RulesRevision: 1, Model: k.Model, PromptTokens: r.prompt, PromptParts: r.parts,
		MaxOutputTokens: int(k.Answer.Max), OutputTokensHint: r.hint, Priority: k.Priority, ReceivedAt: now, Deadline: r.sent.Add(k.Deadline), ResumeAfter: r.resume}, s)
	return s
}

// answerTokens returns the length in tokens of the answer to a call.
func (c *callers) answerTokens(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens[id]
}

// sink records when the pieces of an answer arrive. It implements call.Sink.
type sink struct {
	sent            time.Time
	timeout         time.Duration
	timer           *time.Timer
	firstAt, lastAt time.Time
	maxGap          time.Duration
	pieces          int
	ended           bool
	refused         *fennelerr.Error
}

// Respond implements call.Sink.
func (s *sink) Respond(call.Head, []byte) error { s.ended = true; return nil }

// Start implements call.Sink.
func (s *sink) Start(call.Head) error { return nil }

// WritePiece implements call.Sink.
func (s *sink) WritePiece([]byte) error {
	now := time.Now()
	if s.pieces == 0 {
		s.firstAt = now
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.pieces++
	s.lastAt = now
	s.timer.Reset(s.timeout)
	return nil
}

// End implements call.Sink.
func (s *sink) End() error { s.ended = true; return nil }

// Abort implements call.Sink.
func (s *sink) Abort(*fennelerr.Error) {}

// Refuse implements call.Sink.
func (s *sink) Refuse(err *fennelerr.Error) { s.refused = err }
