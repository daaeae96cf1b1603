// Package health decides which committed replicas are healthy. It is separate from
// routing, which only receives healthy or unhealthy and the load of each replica.
//
// A replica is healthy if each of its VMs has confirmed the committed (replica,
// generation) within the last Bounds.MaxAge, no member is leaving, and no node has since
// reported a member as missing or in another generation.
package health

import (
	"fmt"
	"math"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// Bounds holds the maximum ages of evidence and the poll intervals.
type Bounds struct {
	// MaxAge is the maximum age of a confirmation; after that the replica is unhealthy.
	// It limits how long the loss of a VM can go undetected if nothing reports it.
	MaxAge time.Duration
	// MaxDigestAge is the maximum age of the last digest of all members while only
	// responses to ordinary requests confirm the replica.
	MaxDigestAge time.Duration
	// MaxMemberSilence is the longest time for which the serving VM may not have heard
	// from a member.
	MaxMemberSilence time.Duration
	// PollIdle and PollBusy are the poll intervals of a replica without and with recent
	// responses; PollUnhealthy is the interval of an unhealthy one.
	PollIdle, PollBusy, PollUnhealthy time.Duration
}

// DefaultMaxAge keeps the polls of a node's share of idle replicas of 32 VMs within half
// of its budget of 6 KB/s; docs/placement.md has the figures.
const DefaultMaxAge = 8 * time.Second

// BoundsFor derives the bounds from the maximum age of a confirmation. Replicas are
// polled often enough that one lost poll does not make them unhealthy.
func BoundsFor(maxAge time.Duration) Bounds {
	part := maxAge / 8
	return Bounds{
		MaxAge: maxAge, MaxDigestAge: 15 * part, MaxMemberSilence: 3 * part,
		PollIdle: 3 * part, PollBusy: 5 * part, PollUnhealthy: part,
	}
}

// DefaultBounds returns the bounds for DefaultMaxAge.
func DefaultBounds() Bounds { return BoundsFor(DefaultMaxAge) }

// Transition is a change of a replica between healthy and unhealthy.
type Transition struct {
	Replica cluster.Replica
	Healthy bool
	Reason  string
}

// PollResult is the result of one poll of a replica's serving VM.
type PollResult struct {
	Replica cluster.ReplicaID
	// Generation is the committed generation at the time the poll was sent.
	Generation int64
	Sent       time.Time
	State      engine.State
	Err        error
}

// Observation is another node's report about a replica.
type Observation struct {
	Replica    cluster.ReplicaID
	Generation int64
	// ConfirmedAt is zero if the peer never saw the replica healthy.
	ConfirmedAt time.Time
	// BrokenAt is when the peer last saw a member missing or in another generation. It is
	// zero if the peer never did or knows of a newer confirmation.
	BrokenAt time.Time
	Load     *engine.Load
}

// entry is the evidence about one committed replica. Evidence about a generation other
// than the committed one is ignored.
type entry struct {
	replica   cluster.Replica
	digestAt  time.Time // when all members last confirmed the replica
	servingAt time.Time // when the serving VM last answered an ordinary request
	// ownDigestAt and ownBrokenAt are the results of this node's own polls.
	ownDigestAt   time.Time
	ownBrokenAt   time.Time
	brokenAt      time.Time
	brokenReason  string
	leavingReason string // names a member that is leaving according to the VM list
	load          engine.Load
	healthy       bool
	reason        string
	polling       bool
	pollRequested bool // a request on the replica failed: poll immediately
	polledAt      time.Time
}

// Tracker is the decision logic of the checker, without clock or I/O: it takes events and
// the time and returns transitions. It is not safe for concurrent use; Checker runs
// several, each under a lock.
type Tracker struct {
	bounds  Bounds
	entries map[cluster.ReplicaID]*entry
	leaving map[cluster.VMID]bool
}

// NewTracker returns an empty Tracker.
func NewTracker(b Bounds) *Tracker {
	return &Tracker{bounds: b, entries: make(map[cluster.ReplicaID]*entry), leaving: make(map[cluster.VMID]bool)}
}

// SetReplicas sets the committed replicas. A new generation starts unconfirmed.
func (t *Tracker) SetReplicas(replicas []cluster.Replica, now time.Time) []Transition {
	var out []Transition
	next := make(map[cluster.ReplicaID]*entry, len(replicas))
	for _, r := range replicas {
		old := t.entries[r.ID]
		if old != nil && old.replica.Generation == r.Generation {
			old.replica = r
			next[r.ID] = old
			continue
		}
		e := &entry{replica: r, reason: reasonUnconfirmed}
		if old != nil && old.healthy {
			out = append(out, Transition{Replica: r, Reason: reasonUnconfirmed})
		}
		next[r.ID] = e
	}
	for id, old := range t.entries {
		if next[id] == nil && old.healthy {
			out = append(out, Transition{Replica: old.replica, Reason: "broken up"})
		}
	}
	t.entries = next
	for _, e := range t.entries {
		e.leavingReason = t.leavingMember(e.replica)
	}
	return append(out, t.Expire(now)...)
}

// SetVMs updates the set of leaving VMs from the platform's VM list. A VM that is missing
// from the list does not make its replica unhealthy while it answers, because the list
// lags behind.
func (t *Tracker) SetVMs(list cluster.VMList, now time.Time) []Transition {
	clear(t.leaving)
	for _, vm := range list.VMs {
		if vm.State == cluster.VMLeaving {
			t.leaving[vm.ID] = true
		}
	}
	for _, e := range t.entries {
		e.leavingReason = t.leavingMember(e.replica)
	}
	return t.Expire(now)
}

func (t *Tracker) leavingMember(r cluster.Replica) string {
	for _, vm := range r.Members {
		if t.leaving[vm] {
			return "VM " + string(vm) + " is leaving"
		}
	}
	return ""
}

// HandlePollResult updates the replica with the result of a poll.
func (t *Tracker) HandlePollResult(result PollResult, now time.Time) []Transition {
	e := t.entries[result.Replica]
	if e == nil {
		return nil
	}
	e.polling = false
	if e.replica.Generation != result.Generation {
		return nil
	}
	if result.Err != nil {
		return t.handlePollFailure(e, result, now)
	}
	if !result.State.Load.AsOf.Before(e.load.AsOf) {
		e.load = result.State.Load
	}
	oldest, problem := t.checkMembers(e.replica, result)
	if problem != "" {
		e.ownBrokenAt = later(e.ownBrokenAt, result.Sent)
		return t.markBroken(e, problem, result.Sent, now)
	}
	e.digestAt = later(e.digestAt, oldest)
	e.ownDigestAt = later(e.ownDigestAt, oldest)
	return t.reevaluate(e, now)
}

// handlePollFailure makes the replica unhealthy unless a response to an ordinary request
// came after the poll was sent: then the engine works and only answers polls slowly. The
// failure is not reported to peers, because it may lie between this node and the VM.
func (t *Tracker) handlePollFailure(e *entry, result PollResult, now time.Time) []Transition {
	if e.servingAt.After(result.Sent) {
		return nil
	}
	return t.markBroken(e, "serving VM does not answer", result.Sent, now)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// checkMembers returns the time at which, according to the serving VM's state, all members
// last confirmed the replica, or the problem that the state shows.
func (t *Tracker) checkMembers(r cluster.Replica, result PollResult) (time.Time, string) {
	assignment := result.State.Assignment
	switch {
	case result.State.VM != r.Serving:
		return time.Time{}, fmt.Sprintf("address of %s is answered by %s", r.Serving, result.State.VM)
	case assignment.Replica != r.ID || assignment.Generation != r.Generation:
		return time.Time{}, fmt.Sprintf("VM %s is in %s generation %d", r.Serving, assignment.Replica, assignment.Generation)
	case !result.State.Loaded:
		return time.Time{}, fmt.Sprintf("VM %s is loading", r.Serving)
	}
	if result.State.Summary != nil {
		return t.checkSummary(r, result)
	}
	digests := make(map[cluster.VMID]engine.MemberDigest, len(result.State.Members))
	for _, d := range result.State.Members {
		digests[d.VM] = d
	}
	oldest := result.Sent
	for _, vm := range r.Members {
		d, ok := digests[vm]
		if !ok && vm == r.Serving {
			continue
		}
		seenAgo := time.Duration(d.SeenAgoMs) * time.Millisecond
		switch {
		case !ok:
			return time.Time{}, fmt.Sprintf("VM %s is missing", vm)
		case d.Replica != r.ID || d.Generation != r.Generation:
			return time.Time{}, fmt.Sprintf("VM %s is in %s generation %d", vm, d.Replica, d.Generation)
		case seenAgo < 0 || seenAgo > t.bounds.MaxMemberSilence:
			return time.Time{}, fmt.Sprintf("VM %s last heard %v ago", vm, seenAgo)
		}
		if at := result.Sent.Add(-seenAgo); at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, ""
}

// checkSummary is checkMembers for a brief state, which holds a hash instead of the members.
func (t *Tracker) checkSummary(r cluster.Replica, result PollResult) (time.Time, string) {
	if result.State.Summary.Hash != engine.ReplicaHash(r) {
		return time.Time{}, "a VM is missing or disagrees"
	}
	seenAgo := time.Duration(result.State.Summary.OldestMs) * time.Millisecond
	if seenAgo < 0 || seenAgo > t.bounds.MaxMemberSilence {
		return time.Time{}, fmt.Sprintf("a VM last heard %v ago", seenAgo)
	}
	return result.Sent.Add(-seenAgo), ""
}

// ConfirmServing records a response to an ordinary request: the serving VM generated
// tokens at the given time in the given generation, which needs every member.
func (t *Tracker) ConfirmServing(id cluster.ReplicaID, generation int64, at, now time.Time) []Transition {
	e := t.entries[id]
	if e == nil || e.replica.Generation != generation || at.After(now) {
		return nil
	}
	if !at.After(e.servingAt) {
		return nil
	}
	e.servingAt = at
	return t.reevaluate(e, now)
}

// Observe records other nodes' reports. A reported failure counts from the time it was
// observed until a newer confirmation: a peer that does not poll the replica may repeat
// an old failure until it receives a newer confirmation.
func (t *Tracker) Observe(observations []Observation, now time.Time) []Transition {
	var out []Transition
	for _, o := range observations {
		e := t.entries[o.Replica]
		if e == nil || e.replica.Generation != o.Generation {
			continue
		}
		if o.Load != nil && o.Load.AsOf.After(e.load.AsOf) {
			e.load = *o.Load
		}
		if !o.BrokenAt.IsZero() && !o.BrokenAt.After(now) {
			out = append(out, t.markBroken(e, "a peer saw it broken", o.BrokenAt, now)...)
			continue
		}
		if o.ConfirmedAt.After(e.digestAt) && !o.ConfirmedAt.After(now) {
			e.digestAt = o.ConfirmedAt
		}
		out = append(out, t.reevaluate(e, now)...)
	}
	return out
}

// RequestPoll makes the replica due for a poll immediately, after a request on it failed.
func (t *Tracker) RequestPoll(id cluster.ReplicaID) {
	if e := t.entries[id]; e != nil {
		e.pollRequested = true
	}
}

// Expire re-evaluates all replicas, as confirmations expire with time.
func (t *Tracker) Expire(now time.Time) []Transition {
	var out []Transition
	for _, e := range t.entries {
		out = append(out, t.reevaluate(e, now)...)
	}
	return out
}

func (t *Tracker) markBroken(e *entry, reason string, at, now time.Time) []Transition {
	if at.After(e.brokenAt) || e.brokenReason == "" {
		e.brokenAt, e.brokenReason = at, reason
	}
	return t.reevaluate(e, now)
}

const (
	reasonUnconfirmed = "not confirmed yet"
	noPoll            = time.Duration(math.MaxInt64)
)

// reevaluate evaluates the entry again and returns a transition if its state changed.
func (t *Tracker) reevaluate(e *entry, now time.Time) []Transition {
	healthy, reason := t.evaluate(e, now)
	changed := healthy != e.healthy
	e.healthy, e.reason = healthy, reason
	if !changed {
		return nil
	}
	return []Transition{{Replica: e.replica, Healthy: healthy, Reason: reason}}
}

func (t *Tracker) evaluate(e *entry, now time.Time) (bool, string) {
	if e.brokenReason != "" && e.digestAt.After(e.brokenAt) {
		e.brokenReason = ""
	}
	digestAge := now.Sub(e.digestAt)
	switch {
	case e.replica.Leaving:
		return false, "replica is leaving"
	case e.leavingReason != "":
		return false, e.leavingReason
	case e.brokenReason != "":
		return false, e.brokenReason
	case e.digestAt.IsZero():
		return false, reasonUnconfirmed
	case digestAge > t.bounds.MaxDigestAge:
		return false, "members not confirmed for too long"
	case now.Sub(e.confirmedAt()) > t.bounds.MaxAge:
		return false, "confirmation too old"
	default:
		return true, "all members confirm"
	}
}

// confirmedAt returns the time of the newest confirmation of any kind.
func (e *entry) confirmedAt() time.Time { return later(e.digestAt, e.servingAt) }

// Due returns the replicas that this node should poll now and marks them as being
// polled. Replicas that other nodes are responsible for are polled only if their
// confirmation is about to expire, since the responsible node may have failed.
func (t *Tracker) Due(responsible func(cluster.ReplicaID) bool, now time.Time) []cluster.Replica {
	var out []cluster.Replica
	for id, e := range t.entries {
		if e.polling || now.Sub(e.polledAt) < t.interval(e, responsible(id), now) {
			continue
		}
		e.polling, e.pollRequested, e.polledAt = true, false, now
		out = append(out, e.replica)
	}
	return out
}

func (t *Tracker) interval(e *entry, responsible bool, now time.Time) time.Duration {
	nearlyExpired := now.Sub(e.confirmedAt()) > t.bounds.MaxAge*2/3 || now.Sub(e.digestAt) > t.bounds.MaxDigestAge*2/3
	switch {
	case e.pollRequested:
		return 0
	case !responsible && !nearlyExpired:
		return noPoll
	case !e.healthy:
		return t.bounds.PollUnhealthy
	case now.Sub(e.servingAt) < t.bounds.PollIdle:
		return t.bounds.PollBusy
	default:
		return t.bounds.PollIdle
	}
}
