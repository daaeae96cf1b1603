package suspect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// phase is where a fingerprint stands.
type phase int

const (
	// suspected: to be retried alone.
	suspected phase = iota
	// accused: crashed alone; the verdict waits for word of other suspects.
	accused
	// quarantined: refused until the record's time.
	quarantined
	// cleared: ran alone to its end. Kept for a while against late marks.
	cleared
)

// evidence is one crash that a fingerprint was in flight in.
type evidence struct {
	crash   uint64
	replica cluster.ReplicaID
	at      time.Time
}

// maxEvidence bounds the crashes remembered of one fingerprint.
const maxEvidence = 4

// run is a retry alone, running or announced.
type run struct {
	node cluster.NodeID
	// heard is when the runner last said so; here, when it was announced.
	heard   time.Time
	begun   bool
	replica cluster.ReplicaID
}

// record is what is known of one fingerprint. Its methods are the decisions: they
// take the time and touch nothing else.
type record struct {
	key      key
	phase    phase
	evidence []evidence
	// until is when the present phase ends.
	until time.Time
	// quarantinedAt is when the first quarantine of the present row began.
	quarantinedAt time.Time
	clearedAt     time.Time
	// probation is set once the fingerprint was quarantined.
	probation bool
	run       run

	// changed is closed when those who wait should look again; nil when nobody waits.
	changed chan struct{}
	tells   tells
}

// action is what a request may do now.
type action int

const (
	free action = iota
	refuse
	wait
	claim
)

// decision says what a request may do and why. until bounds a wait.
type decision struct {
	action action
	until  time.Time
	reason string
}

// admit decides on a request with this fingerprint.
func (r *record) admit(self cluster.NodeID, now time.Time, t Timing) decision {
	r.lapse(now, t)
	switch r.phase {
	case quarantined:
		return decision{action: refuse, until: r.until, reason: "quarantined"}
	case accused:
		return decision{action: wait, until: r.until, reason: "verdict pending"}
	case cleared:
		return decision{action: free, reason: "cleared"}
	}
	if end, running := r.runEnds(self, now, t); running {
		return decision{action: wait, until: end, reason: "retried by " + string(r.run.node)}
	}
	return decision{action: claim, reason: "suspect"}
}

// runEnds reports whether a retry is under way and when belief in it ends.
func (r *record) runEnds(self cluster.NodeID, now time.Time, t Timing) (time.Time, bool) {
	if r.run.node == "" {
		return time.Time{}, false
	}
	end := r.run.heard.Add(t.RunnerTTL)
	if r.run.node == self {
		end = r.run.heard.Add(t.ClaimTTL)
		if r.run.begun {
			end = now.Add(t.ClaimTTL)
		}
	}
	return end, now.Before(end)
}

// lapse moves a record on whose phase has ended.
func (r *record) lapse(now time.Time, t Timing) {
	if now.Before(r.until) {
		return
	}
	switch r.phase {
	case quarantined:
		r.phase = suspected
		r.until = r.until.Add(t.ProbationFor)
		r.evidence = nil
	case accused:
		r.phase = suspected
		r.until = now.Add(t.SuspectFor)
	}
}

// dead reports whether the record can be forgotten.
func (r *record) dead(self cluster.NodeID, now time.Time, t Timing) bool {
	r.lapse(now, t)
	if _, running := r.runEnds(self, now, t); running {
		return false
	}
	return !now.Before(r.until)
}

// addEvidence records that the fingerprint was in flight in a crash, once for
// each crash. It reports whether that was news.
func (r *record) addEvidence(e evidence, now time.Time, t Timing) bool {
	if slices.ContainsFunc(r.evidence, func(have evidence) bool { return have.crash == e.crash }) {
		return false
	}
	if r.phase == cleared {
		if !e.at.After(r.clearedAt) {
			return false
		}
		r.phase = suspected
		r.evidence = nil
	}
	if len(r.evidence) == maxEvidence {
		r.evidence = slices.Delete(r.evidence, 0, 1)
	}
	r.evidence = append(r.evidence, e)
	if r.phase == suspected {
		r.until = later(r.until, now.Add(t.SuspectFor))
	}
	return true
}

// accuse follows a crash while the fingerprint ran alone.
func (r *record) accuse(now time.Time, t Timing) {
	r.run = run{}
	if r.phase == suspected {
		r.phase = accused
		r.until = now.Add(t.VerdictDelay + verdictSlack)
	}
}

// verdictSlack keeps an accused record waiting until its verdict has been taken.
const verdictSlack = time.Second

// hasPrior reports whether there is something against the fingerprint beside one crash.
func (r *record) hasPrior(crash uint64) bool {
	if r.probation || r.phase == quarantined {
		return true
	}
	return slices.ContainsFunc(r.evidence, func(e evidence) bool { return e.crash != crash })
}

// judge ends an accusation. Another suspect in flight on the same replica leaves
// it open which of them crashed it: quarantining both would bar an innocent one.
func (r *record) judge(crash uint64, otherSuspect bool, now time.Time, t Timing) (guilty bool) {
	if r.phase != accused {
		return false
	}
	if otherSuspect || !r.hasPrior(crash) {
		r.phase = suspected
		r.until = now.Add(t.SuspectFor)
		return false
	}
	r.phase = quarantined
	r.probation = true
	r.quarantinedAt = now
	r.until = now.Add(t.QuarantineFor)
	r.tells = tells{}
	return true
}

// prolong follows a request that was refused: as long as it is sent again, its
// quarantine goes on, up to a bound for the case that it was not to blame.
func (r *record) prolong(now time.Time, t Timing) {
	r.until = later(r.until, earlier(now.Add(t.QuarantineFor), r.quarantinedAt.Add(t.MaxQuarantine)))
}

// extendSlack is the least gain for which a peer's later end is taken over. Every
// hop adds its delay to a remaining time; without a threshold two nodes would
// hand each other ever later ends.
const extendSlack = 5 * time.Second

// adopt takes over a peer's quarantine and reports whether it was news.
func (r *record) adopt(remaining time.Duration, now time.Time, t Timing) bool {
	end := now.Add(min(remaining, t.QuarantineFor))
	if r.phase == quarantined {
		if end.After(r.until.Add(extendSlack)) {
			r.until = end
		}
		return false
	}
	if !r.probation {
		r.quarantinedAt = now
	}
	r.phase = quarantined
	r.probation = true
	r.until = end
	r.run = run{}
	r.tells = tells{}
	return true
}

// clear follows a retry alone that did not crash. It reports whether that was news.
func (r *record) clear(at, now time.Time, t Timing) bool {
	if r.phase != suspected {
		return false
	}
	for _, e := range r.evidence {
		if e.at.After(at) {
			return false
		}
	}
	r.phase = cleared
	r.clearedAt = at
	r.probation = false
	r.evidence = nil
	r.run = run{}
	r.until = now.Add(t.SuspectFor)
	r.tells = tells{}
	return true
}

// hearRunner takes note of another node's retry, announced or running, and
// reports whether that was news.
func (r *record) hearRunner(self cluster.NodeID, other run, now time.Time, t Timing) bool {
	if r.phase != suspected {
		return false
	}
	if r.run.node == other.node {
		news := r.run.replica != other.replica
		if other.heard.After(r.run.heard) {
			r.run = other
		}
		return news
	}
	if _, running := r.runEnds(self, now, t); running && !other.beats(r.run, r.key, self) {
		return false
	}
	r.run = other
	return true
}

// crashedSince reports whether the replica of a run crashed under this
// fingerprint after the runner's word: the run is over, and the word is late.
func (r *record) crashedSince(word run) bool {
	return slices.ContainsFunc(r.evidence, func(e evidence) bool {
		return e.replica == word.replica && !e.at.Before(word.heard)
	})
}

// beats decides which of two nodes that announced the same retry keeps it: one
// that has begun, else the one that ranks higher for the key. All nodes decide
// alike, but for a node's own run that has begun and cannot be taken back.
func (a run) beats(b run, k key, self cluster.NodeID) bool {
	if b.node == self && b.begun {
		return false
	}
	if a.begun != b.begun {
		return a.begun
	}
	return rank(k, a.node) > rank(k, b.node)
}

// rank orders the nodes for one key, differently for each key.
func rank(k key, node cluster.NodeID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(k))
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// tells counts how often a mark was passed on, for choosing what to tell next.
type tells struct {
	count int
	last  uint64
}

// urgentTells is how often a mark is told before it joins the rotation.
const urgentTells = 4

// rank orders marks: new ones first, then those told least recently.
func (t tells) rank() uint64 {
	if t.count < urgentTells {
		return uint64(t.count)
	}
	return urgentTells + t.last
}
