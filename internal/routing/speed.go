package routing

import "time"

// speed tracks how fast a replica answers, to find stragglers: replicas that
// answer whole but much slower than their group, as a VM with a throttled
// accelerator does. Callers notice them as single slow answers that no load
// explains.
type speed struct {
	firstToken time.Duration // moving averages
	perToken   time.Duration
	samples    int
	// avoidUntil ends the present avoidance; backoff is the next one's length.
	avoidUntil time.Time
	backoff    time.Duration
	// onTrial is set from the end of an avoidance until the replica has shown
	// itself sound; one request at a time tests it.
	onTrial   bool
	trials    int // running now
	trialGood int // answered whole since the trial began
	failures  int
}

const (
	// speedAlpha is the weight of a new sample in the moving averages.
	speedAlpha = 0.3
	// speedSamples is how many answers are needed to judge a replica.
	speedSamples = 4
	// trialSamples is how many good answers end a trial.
	trialSamples = 3
	// A straggler is slower than the group's median by these factors and by
	// more than slowFloor, which keeps noise on fast replicas out.
	slowTokens    = 2.0
	slowFirst     = 4.0
	slowFloor     = 2 * time.Millisecond
	slowFirstTime = 250 * time.Millisecond
	firstBackoff  = 5 * time.Second
	maxBackoff    = 160 * time.Second
	// failureBackoff is the avoidance after failuresToAvoid failed requests in a row.
	failureBackoff  = time.Second
	failuresToAvoid = 2
)

// groupSpeed is the median of a group's replicas.
type groupSpeed struct {
	firstToken, perToken time.Duration
}

// note counts one ended request.
func (s *speed) note(res Result, now time.Time) {
	if res.Canceled {
		return
	}
	if !res.OK {
		s.failures++
		if s.failures >= failuresToAvoid && now.After(s.avoidUntil) {
			s.avoid(now, failureBackoff)
		}
		return
	}
	s.failures = 0
	s.trialGood++
	if res.Tokens < 2 || res.FirstToken <= 0 {
		return
	}
	perToken := (res.Duration - res.FirstToken) / time.Duration(res.Tokens-1)
	if s.samples == 0 {
		s.firstToken, s.perToken = res.FirstToken, perToken
	} else {
		s.firstToken = blend(s.firstToken, res.FirstToken)
		s.perToken = blend(s.perToken, perToken)
	}
	s.samples++
}

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(speedAlpha*float64(sample-old))
}

// slow reports whether the replica is a straggler beside its group.
func (s *speed) slow(g groupSpeed) bool {
	if s.samples == 0 {
		return false
	}
	if g.perToken > 0 && s.perToken > g.perToken+slowFloor &&
		float64(s.perToken) > slowTokens*float64(g.perToken) {
		return true
	}
	return g.firstToken > 0 && s.firstToken > g.firstToken+slowFirstTime &&
		float64(s.firstToken) > slowFirst*float64(g.firstToken)
}

// judge decides about avoidance; mayAvoid is false when too much of the group
// is avoided already, for then the median is not to be trusted.
func (s *speed) judge(g groupSpeed, mayAvoid bool, now time.Time) {
	if s.avoided(now) {
		return
	}
	if s.onTrial && s.trialGood < trialSamples || !s.onTrial && s.samples < speedSamples {
		return
	}
	if !s.slow(g) {
		s.onTrial, s.backoff = false, 0
		return
	}
	if !mayAvoid {
		return
	}
	s.backoff = min(max(2*s.backoff, firstBackoff), maxBackoff)
	s.avoid(now, s.backoff)
}

// avoid keeps requests away for d; what is learnt afterwards decides anew.
func (s *speed) avoid(now time.Time, d time.Duration) {
	s.avoidUntil = now.Add(d)
	s.onTrial, s.trialGood, s.samples = true, 0, 0
}

func (s *speed) avoided(now time.Time) bool { return now.Before(s.avoidUntil) }

// closedForTrial reports whether a trial runs already, so that no second request joins it.
func (s *speed) closedForTrial() bool { return s.onTrial && s.trials > 0 }
