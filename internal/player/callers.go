package player

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// callers send calls and note what they get.
type callers struct {
	sys *Simulation
	rng *rand.Rand

	mu       sync.Mutex
	sent     int
	tokens   map[string]int
	results  []CallResult
	routes   map[string]*rules.Route
	inFlight sync.WaitGroup
}

// Outcome is what a caller got.
type Outcome string

// Outcomes of a call.
const (
	OnTime  Outcome = "on-time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// CallResult is one call and what came of it. Times count from its first sending.
type CallResult struct {
	Kind    string
	SentAt  time.Duration
	Outcome Outcome
	// FirstPiece is when the first piece came, MaxGap the longest time without one after it.
	FirstPiece, MaxGap time.Duration
	Attempts           int
	// Work is the part of a replica's time that the call takes, by the engine's figures.
	Work time.Duration
}

// run sends calls until the scenario's length has passed, and waits for their ends.
func (c *callers) run() {
	began := time.Now()
	for {
		rate, kind := c.drawKind(time.Since(began))
		time.Sleep(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
		at := time.Since(began)
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

// hintSpread is how far off callers' guesses at their answers' sizes are.
const hintSpread = 0.5

// drawKind is the rate of all calls at a moment, and the kind of the next.
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
	left := c.rng.Float64() * rate
	for i := range rates {
		if left -= rates[i]; left < 0 || i == len(rates)-1 {
			return rate, &c.sys.scenario.Kinds[i]
		}
	}
	return rate, nil
}

func (t TokenDistribution) sample(rng *rand.Rand) float64 {
	tokens := t.Mean * math.Exp(t.Spread*rng.NormFloat64()-t.Spread*t.Spread/2)
	if t.Max > 0 {
		tokens = min(tokens, t.Max)
	}
	return max(tokens, 1)
}

// Limits of a caller's timeout.
const (
	// minTimeout is the least time without a piece after which callers leave; they
	// wait for longestTargets targets and longestPauses pauses if these are longer.
	minTimeout     = 2 * time.Second
	timeoutTargets = 4
	timeoutGaps    = 8
	// retryWaitDivisor is the part of the time left in which a refused caller comes back.
	retryWaitDivisor = 3
)

// runCall takes a call through its tries: a refused caller comes back once.
func (c *callers) runCall(n *node, k *CallKind, id string, at time.Duration, prompt, answer, hint int) {
	sent := time.Now()
	fate := CallResult{Kind: k.Name, SentAt: at, Outcome: Failed, Work: c.sys.scenario.work(k, prompt, answer)}
	resume := ""
	for try := range 2 {
		fate.Attempts = try + 1
		s := c.attempt(n, k, fmt.Sprintf("%s-%d", id, try), sent, prompt, answer, hint, resume)
		fate.recordAttempt(s, k)
		if s.ended {
			break
		}
		left := k.Deadline - time.Since(sent)
		switch {
		case s.refused != nil:
			fate.Outcome = Refused
			time.Sleep(min(s.refused.RetryAfter, left/retryWaitDivisor))
		case s.pieces > 0:
			resume = fmt.Sprint(s.pieces)
		}
		n = c.sys.otherNode(n, c.rng)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, fate)
}

// recordAttempt takes a try's part into the call's fate.
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

func (c *callers) attempt(n *node, k *CallKind, id string, sent time.Time, prompt, answer, hint int, resume string) *sink {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &sink{sent: sent, timeout: max(minTimeout, timeoutTargets*k.Target, timeoutGaps*k.TargetGap)}
	s.timer = time.AfterFunc(s.timeout, cancel)
	defer s.timer.Stop()
	c.mu.Lock()
	c.tokens[id] = answer
	route := c.routes[k.Name]
	c.mu.Unlock()
	now := time.Now()
	n.serve(ctx, &call.Call{ID: id, Route: route, RulesRevision: 1, Model: k.Model, PromptTokens: prompt, MaxOutputTokens: int(k.Answer.Max), OutputTokensHint: hint,
		Priority: k.Priority, ReceivedAt: now, Deadline: sent.Add(k.Deadline), ResumeAfter: resume}, s)
	return s
}

// answerTokens is how many tokens the answer to a call has.
func (c *callers) answerTokens(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens[id]
}

// sink notes when pieces come; it implements call.Sink.
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
