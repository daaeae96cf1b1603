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

	mu     sync.Mutex
	next   int
	truth  map[string]int
	fates  []CallResult
	routes map[string]*rules.Route
	doing  sync.WaitGroup
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
		rate, kind := c.draw(time.Since(began))
		time.Sleep(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
		at := time.Since(began)
		if at >= c.sys.scenario.Length {
			break
		}
		node := c.sys.pickNode(c.rng)
		c.next++
		id := fmt.Sprintf("call-%d", c.next)
		prompt, answer := int(kind.Prompt.draw(c.rng)), int(kind.Answer.draw(c.rng))
		hint := int(float64(answer) * math.Exp(hintSpread*c.rng.NormFloat64()))
		c.doing.Go(func() { c.one(node, kind, id, at, prompt, answer, hint) })
	}
	c.doing.Wait()
}

// hintSpread is how far off callers' guesses at their answers' sizes are.
const hintSpread = 0.5

// draw is the rate of all calls at a moment, and the kind of the next.
func (c *callers) draw(at time.Duration) (rate float64, kind *CallKind) {
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

func (t TokenDistribution) draw(rng *rand.Rand) float64 {
	tokens := t.Mean * math.Exp(t.Spread*rng.NormFloat64()-t.Spread*t.Spread/2)
	if t.Max > 0 {
		tokens = min(tokens, t.Max)
	}
	return max(tokens, 1)
}

// Limits of a caller's timeout.
const (
	// shortestGap is the least time without a piece after which callers leave; they
	// wait for longestTargets targets and longestPauses pauses if these are longer.
	shortestGap    = 2 * time.Second
	longestTargets = 4
	longestPauses  = 8
	// returnPart is the part of the time left in which a refused caller comes back.
	returnPart = 3
)

// one takes a call through its tries: a refused caller comes back once.
func (c *callers) one(n *node, k *CallKind, id string, at time.Duration, prompt, answer, hint int) {
	sent := time.Now()
	fate := CallResult{Kind: k.Name, SentAt: at, Outcome: Failed, Work: c.sys.scenario.work(k, prompt, answer)}
	resume := ""
	for try := range 2 {
		fate.Attempts = try + 1
		s := c.try(n, k, fmt.Sprintf("%s-%d", id, try), sent, prompt, answer, hint, resume)
		fate.note(s, k)
		if s.ended {
			break
		}
		left := k.Deadline - time.Since(sent)
		switch {
		case s.refused != nil:
			fate.Outcome = Refused
			time.Sleep(min(s.refused.RetryAfter, left/returnPart))
		case s.pieces > 0:
			resume = fmt.Sprint(s.pieces)
		}
		n = c.sys.otherNode(n, c.rng)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fates = append(c.fates, fate)
}

// note takes a try's part into the call's fate.
func (f *CallResult) note(s *sink, k *CallKind) {
	if s.pieces > 0 && f.FirstPiece == 0 {
		f.FirstPiece = s.first.Sub(s.sent)
	}
	f.MaxGap = max(f.MaxGap, s.pause)
	switch {
	case !s.ended:
		f.Outcome = Failed
	case f.FirstPiece <= k.Target && f.MaxGap <= k.TargetGap:
		f.Outcome = OnTime
	default:
		f.Outcome = Late
	}
}

func (c *callers) try(n *node, k *CallKind, id string, sent time.Time, prompt, answer, hint int, resume string) *sink {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &sink{sent: sent, timeout: max(shortestGap, longestTargets*k.Target, longestPauses*k.TargetGap)}
	s.timer = time.AfterFunc(s.timeout, cancel)
	defer s.timer.Stop()
	c.mu.Lock()
	c.truth[id] = answer
	route := c.routes[k.Name]
	c.mu.Unlock()
	now := time.Now()
	n.serve(ctx, &call.Call{ID: id, Route: route, RulesRevision: 1, Model: k.Model, PromptTokens: prompt, MaxOutputTokens: int(k.Answer.Max), OutputTokensHint: hint,
		Priority: k.Priority, ReceivedAt: now, Deadline: sent.Add(k.Deadline), ResumeAfter: resume}, s)
	return s
}

// answerOf is how many tokens the answer to a call has.
func (c *callers) answerOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.truth[id]
}

// sink notes when pieces come; it implements call.Sink.
type sink struct {
	sent        time.Time
	timeout     time.Duration
	timer       *time.Timer
	first, last time.Time
	pause       time.Duration
	pieces      int
	ended       bool
	refused     *fennelerr.Error
}

// Respond implements call.Sink.
func (s *sink) Respond(call.Head, []byte) error { s.ended = true; return nil }

// Start implements call.Sink.
func (s *sink) Start(call.Head) error { return nil }

// WritePiece implements call.Sink.
func (s *sink) WritePiece([]byte) error {
	now := time.Now()
	if s.pieces == 0 {
		s.first = now
	} else {
		s.pause = max(s.pause, now.Sub(s.last))
	}
	s.pieces++
	s.last = now
	s.timer.Reset(s.timeout)
	return nil
}

// End implements call.Sink.
func (s *sink) End() error { s.ended = true; return nil }

// Abort implements call.Sink.
func (s *sink) Abort(*fennelerr.Error) {}

// Refuse implements call.Sink.
func (s *sink) Refuse(err *fennelerr.Error) { s.refused = err }
