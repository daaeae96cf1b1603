package routing

import "time"

// speed tracks the latency of a replica to detect stragglers: replicas that complete their
// answers but much more slowly than the rest of their group, such as a VM with a throttled
// accelerator. Callers see them as occasional slow answers that the load does not explain.
type speed struct {
	firstToken time.Duration // moving averages
	perToken   time.Duration
	samples    int
	// avoidUntil is the end of the current avoidance. backoff is the length of the last
	// one for slowness, which the next one doubles.
	avoidUntil time.Time
	backoff    time.Duration
	// onTrial is true from the start of an avoidance until the replica is found to have
	// recovered. After the avoidance, one request at a time tests it.
	onTrial        bool
	trials         int // trial requests running
	trialSuccesses int // requests answered since the avoidance started
	failures       int // failed requests in a row
}

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.3
	// minSamples is the number of answers needed to evaluate a replica.
	minSamples = 4
	// minTrialSuccesses is the number of answers needed to evaluate a replica on trial.
	minTrialSuccesses = 3
	// A straggler exceeds the group's median by one of these factors and by more than the
	// corresponding difference, which excludes noise on fast replicas.
	slowPerTokenFactor   = 2.0
	slowFirstTokenFactor = 4.0
	slowPerTokenMin      = 2 * time.Millisecond
	slowFirstTokenMin    = 250 * time.Millisecond
	initialBackoff       = 5 * time.Second
	maxBackoff           = 160 * time.Second
	// failureBackoff is the length of the avoidance after failuresToAvoid failed requests
	// in a row.
	failureBackoff  = time.Second
	failuresToAvoid = 2
)

// groupSpeed holds the medians over a group's replicas.
type groupSpeed struct {
	firstToken, perToken time.Duration
}

// record records the result of a request.
func (s *speed) record(res Result, now time.Time) {
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
	s.trialSuccesses++
	if res.Tokens < 2 || res.FirstToken <= 0 {
		return
	}
	perToken := (res.Duration - res.FirstToken) / time.Duration(res.Tokens-1)
	if s.samples == 0 {
		s.firstToken, s.perToken = res.FirstToken, perToken
	} else {
		s.firstToken = average(s.firstToken, res.FirstToken)
		s.perToken = average(s.perToken, perToken)
	}
	s.samples++
}

// average adds a sample to a moving average.
func average(old, sample time.Duration) time.Duration {
	return old + time.Duration(sampleWeight*float64(sample-old))
}

// slow reports whether the replica is a straggler compared with its group.
func (s *speed) slow(g groupSpeed) bool {
	if s.samples == 0 {
		return false
	}
	if g.perToken > 0 && s.perToken > g.perToken+slowPerTokenMin &&
		float64(s.perToken) > slowPerTokenFactor*float64(g.perToken) {
		return true
	}
	return g.firstToken > 0 && s.firstToken > g.firstToken+slowFirstTokenMin &&
		float64(s.firstToken) > slowFirstTokenFactor*float64(g.firstToken)
}

// evaluate starts or ends the avoidance of the replica. mayAvoid is false if too many
// replicas of the group are avoided already: the median is not reliable then.
func (s *speed) evaluate(g groupSpeed, mayAvoid bool, now time.Time) {
	if s.avoided(now) {
		return
	}
	if s.onTrial && s.trialSuccesses < minTrialSuccesses || !s.onTrial && s.samples < minSamples {
		return
	}
	if !s.slow(g) {
		s.onTrial, s.backoff = false, 0
		return
	}
	if !mayAvoid {
		return
	}
	s.backoff = min(max(2*s.backoff, initialBackoff), maxBackoff)
	s.avoid(now, s.backoff)
}

// avoid keeps requests away for d and resets the samples for the next evaluation.
func (s *speed) avoid(now time.Time, d time.Duration) {
	s.avoidUntil = now.Add(d)
	s.onTrial, s.trialSuccesses, s.samples = true, 0, 0
}

func (s *speed) avoided(now time.Time) bool { return now.Before(s.avoidUntil) }

// trialRunning reports whether a trial request is running, so that no second one is sent.
func (s *speed) trialRunning() bool { return s.onTrial && s.trials > 0 }
