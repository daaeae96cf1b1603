package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// queue decides who gets the slots of one group on this node. It is pure: it
// has no clock, lock or goroutine, and gives the same decisions for the same
// events.
//
// Teams share the slots by start-time fair queueing: each team has a virtual
// finish time that moves on by the slot time its requests take, divided by its
// weight, and the waiting team that is furthest behind goes next. A team that
// sends ten times its share waits behind itself only.
type queue struct {
	slots   int
	limited bool // false until a capacity was set: then all run at once
	running int
	virtual float64
	hold    holdEstimate
	start   startEstimate
	maxWait time.Duration
	teams   map[cluster.TeamID]*teamQueue
	// order lists the teams by name, so that ties fall the same way each time.
	order []*teamQueue
}

// teamQueue is one team's part of a queue. Work is in slot-seconds.
type teamQueue struct {
	name    cluster.TeamID
	weight  float64
	limit   teamLimit
	finish  float64
	running int
	waiting []*ticket
	work    float64 // expected slot-seconds of all that wait
	turned  turnedAway
}

// ticket is one request that waits or runs.
type ticket struct {
	team     cluster.TeamID
	cost     float64
	expected float64 // slot-seconds
	deadline time.Time
	// startBy is the deadline less the time that the first token will take.
	startBy time.Time
	// given is true when the caller named the deadline.
	given   bool
	started time.Time
	// settled is closed when the ticket leaves the queue; refusal says why, nil when it runs.
	settled chan struct{}
	refusal *fennelerr.Error
}

// teamLimit is a team's in-flight limit over the whole system, as far as this
// node may use it. It is shared by the queues of all groups.
type teamLimit interface {
	// room is how many more requests of the team may run here at once.
	room() int
	// take uses one of them up; false when there is none.
	take() bool
}

func newQueue(maxWait time.Duration) *queue {
	return &queue{maxWait: maxWait, teams: map[cluster.TeamID]*teamQueue{}}
}

func (q *queue) team(name cluster.TeamID, weight float64, limit teamLimit) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{name: name}
		q.teams[name] = t
		at, _ := slices.BinarySearchFunc(q.order, name, func(t *teamQueue, n cluster.TeamID) int { return cmp.Compare(t.name, n) })
		q.order = slices.Insert(q.order, at, t)
	}
	t.weight, t.limit = weight, limit
	return t
}

// arrive queues the ticket or refuses it at once; whether it runs now is up to
// the dispatch that follows.
func (q *queue) arrive(now time.Time, t *ticket, weight float64, limit teamLimit) *fennelerr.Error {
	team := q.team(t.team, weight, limit)
	t.expected = q.hold.expect(t.cost)
	if !t.given {
		t.deadline = now.Add(q.maxWait)
	}
	t.startBy = t.deadline.Add(-q.startMargin(now, t))
	if refusal := q.refusal(now, team, t, team.work); refusal != nil {
		return refusal
	}
	team.waiting = append(team.waiting, t)
	team.work += t.expected
	return nil
}

// startMargin is how much before its deadline the ticket must leave the queue. It
// is at most half of what the caller waits: after a bad moment the margin can
// exceed the whole of it, and a node that then refused everything would run
// nothing from which it could learn that the moment has passed.
func (q *queue) startMargin(now time.Time, t *ticket) time.Duration {
	if !t.given {
		return 0
	}
	margin := time.Duration(q.start.margin() * float64(time.Second))
	return min(margin, max(t.deadline.Sub(now)/2, 0))
}

// refusal says whether a ticket with the given work of its team ahead cannot
// start before its deadline by the measured rate.
func (q *queue) refusal(now time.Time, team *teamQueue, t *ticket, ahead float64) *fennelerr.Error {
	limit := team.limit.room() + team.running
	switch {
	case limit <= 0:
		return refuse(fennelerr.LimitExceeded, q.hold.expectOr(assumedHold), "the team's in-flight limit leaves this node no room")
	case q.limited && q.slots <= 0:
		return refuse(fennelerr.Overloaded, noCapacityRetry, "the group has no capacity")
	case !q.limited && limit > team.running:
		return nil
	}
	share := min(q.share(team), float64(limit))
	wait := q.wait(team, ahead, share, limit)
	left := t.startBy.Sub(now).Seconds()
	if wait <= left {
		return nil
	}
	retry := wait - max(left, 0) + team.turned.add(t.expected, share, now)/share
	if share == float64(limit) {
		return refuse(fennelerr.LimitExceeded, retry, "the team's in-flight limit is reached and the wait is too long")
	}
	return refuse(t.lateCode(), retry, "by the measured rate the request cannot start in time")
}

// lateCode is the code of a refusal for want of time.
func (t *ticket) lateCode() fennelerr.Code {
	if t.given {
		return fennelerr.DeadlineTooShort
	}
	return fennelerr.Overloaded
}

// share is how many slots the team can count on while it waits: its weighted
// part among the teams that run or wait, or what those without a queue leave
// over, if that is more.
func (q *queue) share(team *teamQueue) float64 {
	if !q.limited {
		return float64(unlimitedShare)
	}
	slots := float64(q.slots)
	left, waiting, active := slots, team.weight, team.weight
	for _, o := range q.order {
		if o == team {
			continue
		}
		if len(o.waiting) > 0 {
			waiting += o.weight
		} else {
			left -= float64(o.running)
		}
		if len(o.waiting) > 0 || o.running > 0 {
			active += o.weight
		}
	}
	return max(slots*team.weight/active, left*team.weight/waiting, minShare)
}

const (
	unlimitedShare = 1 << 20
	// minShare keeps waits finite for a team whose turn is far off.
	minShare = 0.05
)

// wait estimates the seconds until a ticket with that work ahead gets a slot.
func (q *queue) wait(team *teamQueue, ahead, share float64, limit int) float64 {
	if q.running < q.slots && len(team.waiting) == 0 && team.running < limit {
		return 0
	}
	if !q.hold.known {
		return 0 // nothing was measured: the deadline in the queue decides
	}
	return (ahead + q.hold.mean) / share
}

// dispatch hands free slots to waiting tickets and refuses those whose deadline
// passed. It returns the tickets that run now.
func (q *queue) dispatch(now time.Time) (run []*ticket) {
	for !q.limited || q.running < q.slots {
		team := q.next(now)
		if team == nil {
			return run
		}
		if !team.limit.take() {
			continue // another group took the last one since
		}
		t := team.pop()
		start := max(q.virtual, team.finish)
		q.virtual = start
		team.finish = start + t.expected/team.weight
		team.running++
		q.running++
		t.started = now
		run = append(run, t)
	}
	return run
}

// next is the waiting team that is furthest behind its share and has room.
func (q *queue) next(now time.Time) (best *teamQueue) {
	var bestStart float64
	for _, team := range q.order {
		q.dropExpired(now, team)
		if len(team.waiting) == 0 || team.limit.room() <= 0 {
			continue
		}
		if start := max(q.virtual, team.finish); best == nil || start < bestStart {
			best, bestStart = team, start
		}
	}
	return best
}

func (q *queue) dropExpired(now time.Time, team *teamQueue) {
	for len(team.waiting) > 0 && !team.waiting[0].startBy.After(now) {
		t := team.pop()
		q.settleRefused(now, team, t)
	}
}

// settleRefused ends a ticket that waited in vain.
func (q *queue) settleRefused(now time.Time, team *teamQueue, t *ticket) {
	share := q.share(team)
	retry := (team.work+q.hold.expectOr(assumedHold)+team.turned.add(t.expected, share, now))/share - t.startBy.Sub(now).Seconds()
	t.refusal = refuse(t.lateCode(), retry, "the request waited for a slot in vain")
	close(t.settled)
}

func (team *teamQueue) pop() *ticket {
	t := team.waiting[0]
	team.waiting[0] = nil
	team.waiting = team.waiting[1:]
	team.work = max(team.work-t.expected, 0)
	return t
}

// leave takes a waiting ticket out; false when it does not wait any more.
func (q *queue) leave(t *ticket) bool {
	team := q.teams[t.team]
	i := slices.Index(team.waiting, t)
	if i < 0 {
		return false
	}
	team.waiting = slices.Delete(team.waiting, i, i+1)
	team.work = max(team.work-t.expected, 0)
	return true
}

// expire refuses a waiting ticket whose deadline came; false when it does not wait any more.
func (q *queue) expire(now time.Time, t *ticket) bool {
	if !q.leave(t) {
		return false
	}
	q.settleRefused(now, q.teams[t.team], t)
	return true
}

// finish returns the slot of a ticket that ran and charges the team for the
// time it really took. Failed requests say nothing about how long answers take.
func (q *queue) finish(now time.Time, t *ticket, answered bool) {
	team := q.teams[t.team]
	held := now.Sub(t.started).Seconds()
	team.running--
	q.running--
	team.finish += (held - t.expected) / team.weight
	if answered {
		q.hold.note(held, t.cost)
	}
}

// firstToken learns how long the ticket's first token took from its dispatch.
func (q *queue) firstToken(now time.Time, t *ticket) { q.start.note(now.Sub(t.started).Seconds()) }

// setSlots changes the capacity and refuses at once those who can no longer make
// their deadline, such as after the loss of a replica.
func (q *queue) setSlots(now time.Time, slots int) {
	shrunk := q.limited && slots < q.slots
	q.slots, q.limited = slots, true
	if !shrunk {
		return
	}
	for _, team := range q.order {
		q.review(now, team)
	}
}

// reviewMargin keeps those whose chance is merely worse than it was.
const reviewMargin = 1.5

func (q *queue) review(now time.Time, team *teamQueue) {
	share := min(q.share(team), float64(max(team.limit.room()+team.running, 1)))
	kept, ahead := team.waiting[:0], 0.0
	for _, t := range team.waiting {
		left := t.startBy.Sub(now).Seconds()
		if q.hold.known && (ahead+q.hold.mean)/share > reviewMargin*left || q.slots <= 0 {
			team.work = ahead
			q.settleRefused(now, team, t)
			continue
		}
		kept = append(kept, t)
		ahead += t.expected
	}
	clear(team.waiting[len(kept):])
	team.waiting, team.work = kept, ahead
}

func (q *queue) waitingCount() (n int) {
	for _, t := range q.order {
		n += len(t.waiting)
	}
	return n
}
