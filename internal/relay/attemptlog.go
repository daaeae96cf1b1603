package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

var (
	attemptSeconds    = metrics.NewHistogram("fennel_relay_attempt_seconds")
	firstPieceSeconds = metrics.NewHistogram("fennel_relay_first_piece_seconds")
)

// logAttempt logs a finished attempt: the replica chosen and why, the load that the server
// reported, and the latencies beside the route's targets.
func (s *session) logAttempt(a *attempt, result routing.Result, err error) {
	attemptSeconds.Update(result.Duration.Seconds())
	if result.FirstToken > 0 {
		firstPieceSeconds.Update(result.FirstToken.Seconds())
	}
	terms, choice := s.call.Route.Policy, a.to.choice
	fields := []any{"request", s.call.ID, "fingerprint", a.suspect.Fingerprint.Short(), "route", terms.Name, "rules", s.call.RulesRevision, "rules_age", s.call.RulesAge, "team", s.call.Team,
		"group", a.to.target.Group, "attempt", a.number, "hedge", a.isHedge, "replica", choice.Replica.ID, "server", choice.Replica.Serving, "addr", choice.Addr,
		"reason", choice.Reason, "considered", choice.Considered, "alone", s.admission.Alone, "waited", a.started.Sub(s.call.ReceivedAt),
		"first", result.FirstToken, "target", terms.Target, "took", result.Duration}
	if s.streams() {
		fields = append(fields, "prompt", s.call.PromptTokens, "expected", s.call.ExpectedOutputTokens(), "work", s.call.EstimatedWork, "pieces", result.Tokens, "pause", s.longestGap(), "pause_target", terms.TargetGap)
	}
	if choice.Predicted > 0 {
		fields = append(fields, "predicted", choice.Predicted, "unread", choice.UnreadTokens)
	}
	if choice.PredictedHome > 0 {
		fields = append(fields, "predicted_home", choice.PredictedHome)
	}
	if len(a.suspect.Parts) > 0 {
		fields = append(fields, "parts", suspect.JoinParts(a.suspect.Parts))
	}
	if load := a.state.Load; load != nil {
		fields = append(fields, "running", load.Running, "waiting", load.Waiting, "slots", load.Slots)
	}
	if limit := choice.Limit; limit.Basis != "" {
		fields = append(fields, "limit", limit.PerSecond, "limit_share", limit.Share, "limit_basis", limit.Basis, "limit_age", limit.Age)
	}
	if a.state.RateLimit > 0 {
		fields = append(fields, "rate_limit", a.state.RateLimit)
	}
	if a.state.Pushback > 0 || a.state.Leaving {
		fields = append(fields, "pushback", a.state.Pushback, "leaving", a.state.Leaving)
	}
	if a.lossCause != lossNone {
		fields = append(fields, "connection_lost", a.lossCause)
	}
	if silent := a.idleFor(time.Now()); err != nil && silent > minIdleToHedge {
		fields = append(fields, "silent", silent)
	}
	s.r.opts.Log.Info("attempt", append(fields, "crashed", a.lossCause == lossCrash, "outcome", outcomeOf(err))...)
}

// longestGap returns the longest time between two pieces that the caller was sent.
func (s *session) longestGap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxGap
}
