package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// queue decides which requests get the slots of one group on this node. It is
// deterministic: it has no clock, lock or goroutine, and the same events give the same
// decisions.
//
// Teams share the slots by start-time fair queueing. Each team has a virtual finish
// time, which advances by the slot time of its requests divided by the team's weight,
// and the waiting team with the earliest virtual start time goes next. A team that
// sends ten times its share delays only its own requests.
type queue struct {
	slots          int
	limited        bool // false until a capacity is set; until then all requests run at once
	running        int
	virtualTime    float64
	serviceTime    serviceTimeEstimate
	firstTokenTime firstTokenEstimate
	maxWait        time.Duration
	teams          map[cluster.TeamID]*teamQueue
	// byName holds the teams sorted by name, so that ties are broken deterministically.
	byName []*teamQueue
}

// teamQueue is one team's part of a queue.
type teamQueue struct {
	name          cluster.TeamID
	weight        float64
	limit         teamLimit
	virtualFinish float64
	running       int
	waiting       []*ticket
	queuedWork    float64 // expected slot-seconds of all waiting tickets
	refused       refusedBacklog
}

// ticket is a waiting or running request.
type ticket struct {
	team     cluster.TeamID
	cost     float64
	expected float64 // slot-seconds
	deadline time.Time
	// startBy is the latest dispatch time: the deadline less the expected time to the
	// first token.
	startBy time.Time
	// hasDeadline is true if the caller set the deadline.
	hasDeadline bool
	started     time.Time
	// decided is closed when the ticket is dispatched or refused; refusal is nil if it
	// was dispatched.
	decided chan struct{}
	refusal *fennelerr.Error
}

// teamLimit is this node's part of a team's in-flight limit. The queues of all groups
// share it.
type teamLimit interface {
	// available returns how many more requests of the team may run on this node.
	available() int
	// tryAcquire takes one unit of the limit; it returns false if none is left.
	tryAcquire() bool
}

func newQueue(maxWait time.Duration) *queue {
	return &queue{maxWait: maxWait, teams: map[cluster.TeamID]*teamQueue{}}
}

func (q *queue) team(name cluster.TeamID, weight float64, limit teamLimit) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{name: name}
		q.teams[name] = t
		at, _ := slices.BinarySearchFunc(q.byName, name, func(t *teamQueue, n cluster.TeamID) int { return cmp.Compare(t.name, n) })
		q.byName = slices.Insert(q.byName, at, t)
	}
	t.weight, t.limit = weight, limit
	return t
}

// enqueue adds the ticket to the queue or refuses it immediately. The next dispatch
// decides whether it runs now.
func (q *queue) enqueue(now time.Time, t *ticket, weight float64, limit teamLimit) *fennelerr.Error {
	team := q.team(t.team, weight, limit)
	t.expected = q.serviceTime.estimate(t.cost)
	if !t.hasDeadline {
		t.deadline = now.Add(q.maxWait)
	}
	t.startBy = t.deadline.Add(-q.startMargin(now, t))
	if refusal := q.checkAdmission(now, team, t, team.queuedWork); refusal != nil {
		return refusal
	}
	team.waiting = append(team.waiting, t)
	team.queuedWork += t.expected
	return nil
}

// startMargin returns how long before its deadline the ticket must leave the queue, at
// most half of the time to the deadline. After a latency spike the estimate can exceed
// the whole of that time; a node that then refused every request would never measure
// that latency has recovered.
func (q *queue) startMargin(now time.Time, t *ticket) time.Duration {
	if !t.hasDeadline {
		return 0
	}
	margin := time.Duration(q.firstTokenTime.margin() * float64(time.Second))
	return min(margin, max(t.deadline.Sub(now)/2, 0))
}

// checkAdmission returns a refusal if the limit, the capacity or, at the measured rate,
// the team's queued work ahead keeps the ticket from starting in time; otherwise nil.
func (q *queue) checkAdmission(now time.Time, team *teamQueue, t *ticket, ahead float64) *fennelerr.Error {
	limit := team.limit.available() + team.running
	switch {
	case limit <= 0:
		return newRefusal(fennelerr.LimitExceeded, q.serviceTime.meanOr(defaultServiceTime), "the team's in-flight limit leaves no capacity on this node")
	case q.limited && q.slots <= 0:
		return newRefusal(fennelerr.Overloaded, noCapacityRetryAfter, "the group has no capacity")
	case !q.limited && limit > team.running:
		return nil
	}
	share := min(q.share(team), float64(limit))
	wait := q.expectedWait(team, ahead, share, limit)
	left := t.startBy.Sub(now).Seconds()
	if wait <= left {
		return nil
	}
	retry := wait - max(left, 0) + team.refused.add(t.expected, share, now)/share
	if share == float64(limit) {
		return newRefusal(fennelerr.LimitExceeded, retry, "the team's in-flight limit is reached and the expected wait is too long")
	}
	return newRefusal(t.timeoutCode(), retry, "at the measured rate the request cannot start in time")
}

// timeoutCode returns the error code for a ticket that cannot start in time.
func (t *ticket) timeoutCode() fennelerr.Code {
	if t.hasDeadline {
		return fennelerr.DeadlineTooShort
	}
	return fennelerr.Overloaded
}

// share returns how many slots the team can expect while it waits: its weighted part
// among the teams that run or wait or, if larger, its weighted part among the waiting
// teams of what the others leave unused.
func (q *queue) share(team *teamQueue) float64 {
	if !q.limited {
		return float64(unlimitedShare)
	}
	slots := float64(q.slots)
	left, waiting, active := slots, team.weight, team.weight
	for _, o := range q.byName {
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
	// minShare keeps wait estimates finite for a team with a very small share.
	minShare = 0.05
)

// expectedWait estimates the seconds until a ticket with the given work ahead of it
// gets a slot.
func (q *queue) expectedWait(team *teamQueue, ahead, share float64, limit int) float64 {
	if q.running < q.slots && len(team.waiting) == 0 && team.running < limit {
		return 0
	}
	if !q.serviceTime.known {
		return 0 // nothing measured yet: the ticket waits until its deadline
	}
	return (ahead + q.serviceTime.mean) / share
}

// dispatch assigns free slots to waiting tickets and refuses tickets that can no longer
// start in time. It returns the dispatched tickets.
func (q *queue) dispatch(now time.Time) (run []*ticket) {
	for !q.limited || q.running < q.slots {
		team := q.nextTeam(now)
		if team == nil {
			return run
		}
		if !team.limit.tryAcquire() {
			continue // the queue of another group took the last unit concurrently
		}
		t := team.pop()
		start := max(q.virtualTime, team.virtualFinish)
		q.virtualTime = start
		team.virtualFinish = start + t.expected/team.weight
		team.running++
		q.running++
		t.started = now
		run = append(run, t)
	}
	return run
}

// nextTeam returns the waiting team with the earliest virtual start time whose limit is
// not used up.
func (q *queue) nextTeam(now time.Time) (best *teamQueue) {
	var bestStart float64
	for _, team := range q.byName {
		q.dropExpired(now, team)
		if len(team.waiting) == 0 || team.limit.available() <= 0 {
			continue
		}
		if start := max(q.virtualTime, team.virtualFinish); best == nil || start < bestStart {
			best, bestStart = team, start
		}
	}
	return best
}

func (q *queue) dropExpired(now time.Time, team *teamQueue) {
	for len(team.waiting) > 0 && !team.waiting[0].startBy.After(now) {
		t := team.pop()
		q.refuseWaiting(now, team, t)
	}
}

// refuseWaiting refuses a ticket that has waited in the queue.
func (q *queue) refuseWaiting(now time.Time, team *teamQueue, t *ticket) {
	share := q.share(team)
	retry := (team.queuedWork+q.serviceTime.meanOr(defaultServiceTime)+team.refused.add(t.expected, share, now))/share - t.startBy.Sub(now).Seconds()
	t.refusal = newRefusal(t.timeoutCode(), retry, "timed out waiting for a slot")
	close(t.decided)
}

func (team *teamQueue) pop() *ticket {
	t := team.waiting[0]
	team.waiting[0] = nil
	team.waiting = team.waiting[1:]
	team.queuedWork = max(team.queuedWork-t.expected, 0)
	return t
}

// remove removes a waiting ticket; it returns false if the ticket is not waiting.
func (q *queue) remove(t *ticket) bool {
	team := q.teams[t.team]
	i := slices.Index(team.waiting, t)
	if i < 0 {
		return false
	}
	team.waiting = slices.Delete(team.waiting, i, i+1)
	team.queuedWork = max(team.queuedWork-t.expected, 0)
	return true
}

// expire refuses a ticket that can no longer start in time; it returns false if the
// ticket is not waiting.
func (q *queue) expire(now time.Time, t *ticket) bool {
	if !q.remove(t) {
		return false
	}
	q.refuseWaiting(now, q.teams[t.team], t)
	return true
}

// finish returns the slot of a running ticket and corrects the team's virtual finish
// time by the actual slot time. Failed requests do not count towards the service time
// estimate.
func (q *queue) finish(now time.Time, t *ticket, answered bool) {
	team := q.teams[t.team]
	held := now.Sub(t.started).Seconds()
	team.running--
	q.running--
	team.virtualFinish += (held - t.expected) / team.weight
	if answered {
		q.serviceTime.observe(held, t.cost)
	}
}

// observeFirstToken records the time from dispatch to first token.
func (q *queue) observeFirstToken(now time.Time, t *ticket) {
	q.firstTokenTime.observe(now.Sub(t.started).Seconds())
}

// setSlots changes the capacity. If it shrinks, for example after the loss of a
// replica, waiting tickets that can no longer meet their deadline are refused
// immediately.
func (q *queue) setSlots(now time.Time, slots int) {
	shrunk := q.limited && slots < q.slots
	q.slots, q.limited = slots, true
	if !shrunk {
		return
	}
	for _, team := range q.byName {
		q.recheckWaiting(now, team)
	}
}

// recheckSlack keeps waiting tickets whose expected wait exceeds the time left only
// slightly.
const recheckSlack = 1.5

func (q *queue) recheckWaiting(now time.Time, team *teamQueue) {
	share := min(q.share(team), float64(max(team.limit.available()+team.running, 1)))
	kept, ahead := team.waiting[:0], 0.0
	for _, t := range team.waiting {
		left := t.startBy.Sub(now).Seconds()
		if q.serviceTime.known && (ahead+q.serviceTime.mean)/share > recheckSlack*left || q.slots <= 0 {
			team.queuedWork = ahead
			q.refuseWaiting(now, team, t)
			continue
		}
		kept = append(kept, t)
		ahead += t.expected
	}
	clear(team.waiting[len(kept):])
	team.waiting, team.queuedWork = kept, ahead
}

func (q *queue) waitingCount() (n int) {
	for _, t := range q.byName {
		n += len(t.waiting)
	}
	return n
}
