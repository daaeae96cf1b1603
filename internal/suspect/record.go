package suspect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// phase is the state of a fingerprint.
type phase int

const (
	// suspected: must be retried alone.
	suspected phase = iota
	// awaitingVerdict: a replica crashed while the fingerprint ran alone; the verdict
	// waits for reports of other suspects.
	awaitingVerdict
	// quarantined: refused until record.until.
	quarantined
	// cleared: a retry alone finished. The record is kept for a while so that late
	// marks do not revive the suspicion.
	cleared
)

// evidence is one crash in which the fingerprint was in flight.
type evidence struct {
	crash   uint64
	replica cluster.ReplicaID
	at      time.Time
}

// maxEvidence bounds the crashes remembered per fingerprint.
const maxEvidence = 4

// retry is a run alone, claimed or running.
type retry struct {
	node cluster.NodeID
	// reportedAt is when another node last reported its retry or, for a retry of this
	// node, when it was claimed or started.
	reportedAt time.Time
	started    bool
	replica    cluster.ReplicaID
}

// record is the state of one fingerprint. Its methods implement the rules; they take
// the current time as an argument and have no side effects outside the record.
type record struct {
	key      key
	phase    phase
	evidence []evidence
	// until is when the current phase ends.
	until time.Time
	// quarantinedAt is when the first of consecutive quarantines began.
	quarantinedAt time.Time
	clearedAt     time.Time
	// probation is set from the first quarantine until the fingerprint is cleared.
	probation bool
	// part is set if the key is that of a part of prompts.
	part  bool
	retry retry

	// changed is closed when the record changes; nil if no request waits.
	changed chan struct{}
	sends   sendStats
}

// action is what a request may do now.
type action int

const (
	allow action = iota
	refuse
	wait
	claim
)

// decision is the result for one request. until bounds a wait.
type decision struct {
	action action
	until  time.Time
	reason string
}

// admit decides what a request with this fingerprint may do.
func (r *record) admit(self cluster.NodeID, now time.Time, t Timing) decision {
	r.advance(now, t)
	switch r.phase {
	case quarantined:
		return decision{action: refuse, until: r.until, reason: "quarantined"}
	case awaitingVerdict:
		return decision{action: wait, until: r.until, reason: "verdict pending"}
	case cleared:
		return decision{action: allow, reason: "cleared"}
	}
	if end, running := r.retryDeadline(self, now, t); running {
		return decision{action: wait, until: end, reason: "retried by " + string(r.retry.node)}
	}
	return decision{action: claim, reason: "suspect"}
}

// retryDeadline reports whether a retry is claimed or running and when it is assumed to
// have ended without a further report.
func (r *record) retryDeadline(self cluster.NodeID, now time.Time, t Timing) (time.Time, bool) {
	if r.retry.node == "" {
		return time.Time{}, false
	}
	end := r.retry.reportedAt.Add(t.RunnerTTL)
	if r.retry.node == self {
		end = r.retry.reportedAt.Add(t.ClaimTTL)
		if r.retry.started {
			end = now.Add(t.ClaimTTL)
		}
	}
	return end, now.Before(end)
}

// advance moves a record to the next phase if the current one has ended.
func (r *record) advance(now time.Time, t Timing) {
	if now.Before(r.until) {
		return
	}
	if r.phase == quarantined {
		r.phase = suspected
		r.until = r.until.Add(t.ProbationFor)
		r.evidence = nil
	}
}

// expired reports whether the record can be deleted.
func (r *record) expired(self cluster.NodeID, now time.Time, t Timing) bool {
	r.advance(now, t)
	if _, running := r.retryDeadline(self, now, t); running {
		return false
	}
	return !now.Before(r.until)
}

// addEvidence records that the fingerprint was in flight in a crash, once per crash. It
// reports whether the crash was new.
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

// awaitVerdict handles a crash during a run alone. Only a verdict or the expiry of the
// record ends the phase: a request must not run again because a verdict is late.
func (r *record) awaitVerdict(now time.Time, t Timing) {
	r.retry = retry{}
	if r.phase == suspected {
		r.phase = awaitingVerdict
		r.until = now.Add(t.SuspectFor)
	}
}

// hasOtherEvidence reports whether the fingerprint is quarantined, on probation or was
// in flight in another crash.
func (r *record) hasOtherEvidence(crashID uint64) bool {
	if r.probation || r.phase == quarantined {
		return true
	}
	return slices.ContainsFunc(r.evidence, func(e evidence) bool { return e.crash != crashID })
}

// decideVerdict ends the phase awaitingVerdict and reports whether the fingerprint was
// quarantined. If another suspect was in flight on the replica, either may have caused
// the crash; quarantining both would refuse an innocent request.
func (r *record) decideVerdict(crashID uint64, otherSuspect bool, now time.Time, t Timing) (quarantine bool) {
	if r.phase != awaitingVerdict {
		return false
	}
	if otherSuspect || !r.hasOtherEvidence(crashID) {
		r.phase = suspected
		r.until = now.Add(t.SuspectFor)
		return false
	}
	r.phase = quarantined
	r.probation = true
	r.quarantinedAt = now
	r.until = now.Add(t.QuarantineFor)
	r.sends = sendStats{}
	return true
}

// extend handles a refused request: a quarantine continues as long as the request is
// sent again. MaxQuarantine bounds it in case the request was quarantined by mistake.
func (r *record) extend(now time.Time, t Timing) {
	r.until = later(r.until, earlier(now.Add(t.QuarantineFor), r.quarantinedAt.Add(t.MaxQuarantine)))
}

// minExtension is how much later a peer's quarantine must end to replace the known end.
// Each hop adds its delay to the remaining time; without a threshold two nodes would
// extend each other's quarantine indefinitely.
const minExtension = 5 * time.Second

// adoptQuarantine applies a peer's quarantine and reports whether it was new.
func (r *record) adoptQuarantine(remaining time.Duration, now time.Time, t Timing) bool {
	end := now.Add(min(remaining, t.QuarantineFor))
	if r.phase == quarantined {
		if end.After(r.until.Add(minExtension)) {
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
	r.retry = retry{}
	r.sends = sendStats{}
	return true
}

// clear handles a retry alone that finished. It reports whether the record changed.
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
	r.retry = retry{}
	r.until = now.Add(t.SuspectFor)
	r.sends = sendStats{}
	return true
}

// withdraw removes a crash that another request caused. Without other evidence the fingerprint is
// cleared.
func (r *record) withdraw(crashID uint64, now time.Time, t Timing) {
	r.evidence = slices.DeleteFunc(r.evidence, func(e evidence) bool { return e.crash == crashID })
	if r.phase != suspected && r.phase != awaitingVerdict || r.probation {
		return
	}
	r.phase = suspected
	if len(r.evidence) > 0 {
		return
	}
	r.phase = cleared
	r.clearedAt = now
	r.retry = retry{}
	r.until = now.Add(t.SuspectFor)
	r.sends.count = urgentSends // the other nodes learn it from the quarantine of the part
}

// observeRetry applies another node's report of a claimed or running retry. It reports
// whether the report was new.
func (r *record) observeRetry(self cluster.NodeID, other retry, now time.Time, t Timing) bool {
	if r.phase != suspected {
		return false
	}
	if r.retry.node == other.node {
		isNew := r.retry.replica != other.replica
		if other.reportedAt.After(r.retry.reportedAt) {
			r.retry = other
		}
		return isNew
	}
	if _, running := r.retryDeadline(self, now, t); running && !other.takesPrecedence(r.retry, r.key, self) {
		return false
	}
	r.retry = other
	return true
}

// crashedSince reports whether the replica crashed under this fingerprint after the
// given report of a retry. The retry has then ended and the report is late.
func (r *record) crashedSince(report retry) bool {
	return slices.ContainsFunc(r.evidence, func(e evidence) bool {
		return e.replica == report.replica && !e.at.Before(report.reportedAt)
	})
}

// takesPrecedence decides which of two nodes with the same claim keeps it: one whose
// retry has started, otherwise the one with the higher claimRank. All nodes decide
// identically, except that a node never yields a retry of its own that has started,
// because it cannot be undone.
func (r retry) takesPrecedence(other retry, k key, self cluster.NodeID) bool {
	if other.node == self && other.started {
		return false
	}
	if r.started != other.started {
		return r.started
	}
	return claimRank(k, r.node) > claimRank(k, other.node)
}

// claimRank orders the nodes for a key; the order differs between keys.
func claimRank(k key, node cluster.NodeID) uint64 {
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

// sendStats counts how often a mark was sent, to choose the marks to send next.
type sendStats struct {
	count int
	last  uint64
}

// urgentSends is how often a mark is sent before it joins the rotation.
const urgentSends = 4

// priority orders marks: new ones first, then those sent least recently.
func (s sendStats) priority() uint64 {
	if s.count < urgentSends {
		return uint64(s.count)
	}
	return urgentSends + s.last
}
