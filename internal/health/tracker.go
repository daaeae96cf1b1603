// Package health decides which committed replicas are whole. It is apart from
// routing: routing only learns whole or not, and the loads.
//
// A replica is whole while every one of its VMs has confirmed the committed
// (replica, generation) not longer ago than Bounds.MaxAge, no member is leaving,
// and nobody has reported a missing or disagreeing member since.
package health

import (
	"fmt"
	"math"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// Bounds are the ages that the check allows.
type Bounds struct {
	// MaxAge is how old a confirmation may be before the replica counts as not
	// whole; it bounds how long a silent loss of a VM can go unnoticed.
	MaxAge time.Duration
	// MaxDigestAge is how old the last digest of all members may be while
	// ordinary answers alone show presence.
	MaxDigestAge time.Duration
	// MaxMemberSilence is how long the serving VM may not have heard a member.
	MaxMemberSilence time.Duration
	// PollIdle and PollBusy are the times between polls of a replica without
	// and with recent answers; PollUnhealthy is that of one that is not whole.
	PollIdle, PollBusy, PollUnhealthy time.Duration
}

// DefaultMaxAge keeps the polls of a node's share of quiet replicas of 32 VMs
// within half of its 6 KB a second; docs/placement.md has the figures.
const DefaultMaxAge = 8 * time.Second

// BoundsFor returns the bounds that go with the greatest age of a
// confirmation. A replica is polled so often that one lost poll does not matter.
func BoundsFor(maxAge time.Duration) Bounds {
	part := maxAge / 8
	return Bounds{
		MaxAge: maxAge, MaxDigestAge: 15 * part, MaxMemberSilence: 3 * part,
		PollIdle: 3 * part, PollBusy: 5 * part, PollUnhealthy: part,
	}
}

// DefaultBounds are the bounds within DefaultMaxAge.
func DefaultBounds() Bounds { return BoundsFor(DefaultMaxAge) }

// Transition is a change of a replica between whole and not whole.
type Transition struct {
	Replica cluster.Replica
	Healthy   bool
	Reason  string
}

// PollResult is the outcome of one poll of a replica's serving VM.
type PollResult struct {
	Replica cluster.ReplicaID
	// Generation is the committed one when the poll was sent.
	Generation int64
	Sent       time.Time
	State      engine.State
	Err        error
}

// Observation is what another node says of a replica.
type Observation struct {
	Replica    cluster.ReplicaID
	Generation int64
	// ConfirmedAt is zero if the peer never saw the replica whole.
	ConfirmedAt time.Time
	// BrokenAt is when the peer last saw a member missing or disagreeing; zero if
	// it knows of a newer confirmation, or never did.
	BrokenAt time.Time
	Load     *engine.Load
}

// entry is the knowledge about one committed replica. Evidence about another
// generation than the committed one never enters it.
type entry struct {
	replica    cluster.Replica
	digestAt   time.Time // when all members were last known to confirm
	presenceAt time.Time // when an ordinary answer last showed the replica at work
	// ownDigestAt and ownBrokenAt are what this node itself found by polling.
	ownDigestAt time.Time
	ownBrokenAt time.Time
	brokenAt    time.Time
	broken      string
	leaving     string // the member that the VM list says is leaving
	load        engine.Load
	whole       bool
	reason      string
	polling     bool
	doubted     bool // a request failed on it: poll at once
	polledAt    time.Time
}

// Tracker is the pure core of the check: events and the time in, transitions
// out. It is not safe for concurrent use; Check runs several, each under a lock.
type Tracker struct {
	bounds  Bounds
	entries map[cluster.ReplicaID]*entry
	leaving map[cluster.VMID]bool
}

// NewTracker returns an empty Tracker.
func NewTracker(b Bounds) *Tracker {
	return &Tracker{bounds: b, entries: make(map[cluster.ReplicaID]*entry), leaving: make(map[cluster.VMID]bool)}
}

// SetReplicas takes the committed replicas. A new generation starts unconfirmed.
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
		if old != nil && old.whole {
			out = append(out, Transition{Replica: r, Reason: reasonUnconfirmed})
		}
		next[r.ID] = e
	}
	for id, old := range t.entries {
		if next[id] == nil && old.whole {
			out = append(out, Transition{Replica: old.replica, Reason: "broken up"})
		}
	}
	t.entries = next
	for _, e := range t.entries {
		e.leaving = t.leavingMember(e.replica)
	}
	return append(out, t.Expire(now)...)
}

// SetVMs takes the platform's VM list: the second witness. A VM that is not
// listed breaks nothing while it answers, because the list lags.
func (t *Tracker) SetVMs(list cluster.VMList, now time.Time) []Transition {
	clear(t.leaving)
	for _, vm := range list.VMs {
		if vm.State == cluster.VMLeaving {
			t.leaving[vm.ID] = true
		}
	}
	for _, e := range t.entries {
		e.leaving = t.leavingMember(e.replica)
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

// HandlePollResult takes the outcome of a poll.
func (t *Tracker) HandlePollResult(a PollResult, now time.Time) []Transition {
	e := t.entries[a.Replica]
	if e == nil {
		return nil
	}
	e.polling = false
	if e.replica.Generation != a.Generation {
		return nil
	}
	if a.Err != nil {
		return t.unanswered(e, a, now)
	}
	if !a.State.Load.AsOf.Before(e.load.AsOf) {
		e.load = a.State.Load
	}
	oldest, problem := t.judge(e.replica, a)
	if problem != "" {
		e.ownBrokenAt = later(e.ownBrokenAt, a.Sent)
		return t.breakEntry(e, problem, a.Sent, now)
	}
	e.digestAt = later(e.digestAt, oldest)
	e.ownDigestAt = later(e.ownDigestAt, oldest)
	return t.refresh(e, now)
}

// unanswered breaks the replica unless an ordinary answer came after the poll
// was sent: then the engine is slow to answer polls but at work. It is not told
// to peers as a break, because the fault may lie between this node and the VM.
func (t *Tracker) unanswered(e *entry, a PollResult, now time.Time) []Transition {
	if e.presenceAt.After(a.Sent) {
		return nil
	}
	return t.breakEntry(e, "serving VM does not answer", a.Sent, now)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// judge returns when all members had confirmed, by the serving VM's state, or
// what speaks against it.
func (t *Tracker) judge(r cluster.Replica, a PollResult) (time.Time, string) {
	have := a.State.Assignment
	switch {
	case a.State.VM != r.Serving:
		return time.Time{}, fmt.Sprintf("address of %s is answered by %s", r.Serving, a.State.VM)
	case have.Replica != r.ID || have.Generation != r.Generation:
		return time.Time{}, fmt.Sprintf("VM %s is in %s generation %d", r.Serving, have.Replica, have.Generation)
	case !a.State.Loaded:
		return time.Time{}, fmt.Sprintf("VM %s is loading", r.Serving)
	}
	if a.State.Summary != nil {
		return t.judgeSummary(r, a)
	}
	digests := make(map[cluster.VMID]engine.MemberDigest, len(a.State.Members))
	for _, d := range a.State.Members {
		digests[d.VM] = d
	}
	oldest := a.Sent
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
		if at := a.Sent.Add(-seenAgo); at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, ""
}

// judgeSummary is judge for a brief state, in which the hash speaks for the members.
func (t *Tracker) judgeSummary(r cluster.Replica, a PollResult) (time.Time, string) {
	if a.State.Summary.Hash != engine.ReplicaHash(r) {
		return time.Time{}, "a VM is missing or disagrees"
	}
	seenAgo := time.Duration(a.State.Summary.OldestMs) * time.Millisecond
	if seenAgo < 0 || seenAgo > t.bounds.MaxMemberSilence {
		return time.Time{}, fmt.Sprintf("a VM last heard %v ago", seenAgo)
	}
	return a.Sent.Add(-seenAgo), ""
}

// ConfirmServing takes the sign of an ordinary answer: the serving VM generated
// tokens at the given time for the given generation, which needs every member.
func (t *Tracker) ConfirmServing(id cluster.ReplicaID, generation int64, at, now time.Time) []Transition {
	e := t.entries[id]
	if e == nil || e.replica.Generation != generation || at.After(now) {
		return nil
	}
	if !at.After(e.presenceAt) {
		return nil
	}
	e.presenceAt = at
	return t.refresh(e, now)
}

// Observe takes what other nodes saw. A report of a break counts from when it was
// seen until a confirmation that is newer: a peer without the duty to poll may
// tell an old one for as long as it has not heard better.
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
			out = append(out, t.breakEntry(e, "a peer saw it broken", o.BrokenAt, now)...)
			continue
		}
		if o.ConfirmedAt.After(e.digestAt) && !o.ConfirmedAt.After(now) {
			e.digestAt = o.ConfirmedAt
		}
		out = append(out, t.refresh(e, now)...)
	}
	return out
}

// RequestPoll makes the replica due for a poll at once: a request on it failed.
func (t *Tracker) RequestPoll(id cluster.ReplicaID) {
	if e := t.entries[id]; e != nil {
		e.doubted = true
	}
}

// Expire drops confirmations that have grown too old.
func (t *Tracker) Expire(now time.Time) []Transition {
	var out []Transition
	for _, e := range t.entries {
		out = append(out, t.refresh(e, now)...)
	}
	return out
}

func (t *Tracker) breakEntry(e *entry, reason string, at, now time.Time) []Transition {
	if at.After(e.brokenAt) || e.broken == "" {
		e.brokenAt, e.broken = at, reason
	}
	return t.refresh(e, now)
}

const (
	reasonUnconfirmed = "not confirmed yet"
	never             = time.Duration(math.MaxInt64)
)

// refresh judges the entry by its evidence and returns a transition if it changed.
func (t *Tracker) refresh(e *entry, now time.Time) []Transition {
	whole, reason := t.verdict(e, now)
	changed := whole != e.whole
	e.whole, e.reason = whole, reason
	if !changed {
		return nil
	}
	return []Transition{{Replica: e.replica, Healthy: whole, Reason: reason}}
}

func (t *Tracker) verdict(e *entry, now time.Time) (bool, string) {
	if e.broken != "" && e.digestAt.After(e.brokenAt) {
		e.broken = ""
	}
	digestAge := now.Sub(e.digestAt)
	switch {
	case e.replica.Leaving:
		return false, "replica is leaving"
	case e.leaving != "":
		return false, e.leaving
	case e.broken != "":
		return false, e.broken
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

// confirmedAt is the newest confirmation of any kind.
func (e *entry) confirmedAt() time.Time { return later(e.digestAt, e.presenceAt) }

// Due returns the replicas that this node should poll now and marks them as
// being polled. Replicas of other nodes' duty are polled only when their
// confirmation is about to run out: the node on duty may be gone.
func (t *Tracker) Due(duty func(cluster.ReplicaID) bool, now time.Time) []cluster.Replica {
	var out []cluster.Replica
	for id, e := range t.entries {
		if e.polling || now.Sub(e.polledAt) < t.interval(e, duty(id), now) {
			continue
		}
		e.polling, e.doubted, e.polledAt = true, false, now
		out = append(out, e.replica)
	}
	return out
}

func (t *Tracker) interval(e *entry, onDuty bool, now time.Time) time.Duration {
	nearlyOld := now.Sub(e.confirmedAt()) > t.bounds.MaxAge*2/3 || now.Sub(e.digestAt) > t.bounds.MaxDigestAge*2/3
	switch {
	case e.doubted:
		return 0
	case !onDuty && !nearlyOld:
		return never
	case !e.whole:
		return t.bounds.PollUnhealthy
	case now.Sub(e.presenceAt) < t.bounds.PollIdle:
		return t.bounds.PollBusy
	default:
		return t.bounds.PollIdle
	}
}
