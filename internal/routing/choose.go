package routing

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// Choose picks a replica and counts the request on it until End is called.
func (t *Table) Choose(req Request) (Choice, error) { return t.ChooseAt(t.opts.Now(), req) }

// maxPicks is the number of picks made for a request when picked replicas become ineligible
// before the request is counted on them.
const maxPicks = 4

// ChooseAt is Choose at a given time.
func (t *Table) ChooseAt(now time.Time, req Request) (Choice, error) {
	rnd := NewRandom(t.opts.Seed, t.picks.Add(1))
	for range maxPicks {
		pick := t.pick(now, req, rnd)
		if pick.Full || pick.Pushback.Replicas > 0 {
			fullTotal.Inc()
			return Choice{}, &FullError{Group: req.Group, Considered: pick.Considered, Pushback: pick.Pushback, OnlyPushback: !pick.Full}
		}
		if !pick.Found {
			break
		}
		if choice, ok := t.begin(now, req, pick); ok {
			chosenTotal.Inc()
			return choice, nil
		}
	}
	refusedTotal.Inc()
	return Choice{}, t.noReplica(req.Group, now)
}

// noReplica is the error of a request that no replica may take.
func (t *Table) noReplica(group cluster.GroupName, now time.Time) error {
	err := fennelerr.New(fennelerr.NoReplica, "no healthy replica of group %s may take the request", group)
	if leaving, age := t.leavingIn(group, now); leaving > 0 {
		err = fennelerr.New(fennelerr.NoReplica, "no healthy replica of group %s may take the request: %d leave, the last said so %v ago", group, leaving, age.Round(time.Millisecond))
	}
	return err.WithOp("routing.choose").WithRun(fennelerr.NotRun).WithRetryAfter(noReplicaRetryAfter)
}

// noReplicaRetryAfter is the retry time when a group has no eligible replica. A replaced
// member takes at least this long to be confirmed.
const noReplicaRetryAfter = 2 * time.Second

// Peek returns the replica that would be picked, without counting a request on it.
func (t *Table) Peek(req Request) (Choice, bool) {
	rnd := NewRandom(t.opts.Seed, 0)
	p := t.pick(t.opts.Now(), req, rnd)
	if !p.Found {
		return Choice{Considered: p.Considered}, false
	}
	e := p.Candidate.entry
	e.lock.Lock()
	defer e.lock.Unlock()
	return Choice{Replica: e.replica, Addr: e.addr, Reason: p.Reason, Considered: p.Considered}, true
}

func (t *Table) pick(now time.Time, req Request, rnd *Random) Pick {
	g := (*t.groups.Load())[req.Group]
	if g == nil {
		return Pick{}
	}
	v := view{table: t, snap: g.current(t.opts, now), group: req.Group, now: now, correction: g.accuracy.correction()}
	return t.opts.Policy.Pick(v, req, rnd)
}

// begin counts the request on the picked replica. It returns false if the replica is no
// longer eligible.
func (t *Table) begin(now time.Time, req Request, pick Pick) (Choice, bool) {
	e := pick.Candidate.entry
	choice, epoch, ok := e.begin(now, req, pick, t.opts.Shares)
	if !ok {
		return Choice{}, false
	}
	if g := (*t.groups.Load())[req.Group]; g != nil {
		choice.accuracy = g.accuracy
	}
	for _, h := range req.PrefixHashes {
		t.prefix.add(h, e, epoch, now)
	}
	if choice.Predicted > 0 && t.opts.OnAssigned != nil {
		t.opts.OnAssigned()
	}
	return choice, true
}

func (e *entry) begin(now time.Time, req Request, pick Pick, shares Shares) (Choice, uint32, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if !e.eligible() || e.limited(now, shares) || e.signals.pushback.left(now) > 0 || (req.Alone && e.suspects > 0) {
		return Choice{}, 0, false
	}
	e.history.record(now, e.outstanding)
	use := e.limit.take(now, shares)
	e.outstanding++
	unread := e.peerUnread(now, peerUnreadExpiry) + e.work.UnreadTokens
	trial := e.speed.onTrial && !e.speed.avoided(now)
	if trial {
		e.speed.trials++
	}
	if req.Alone {
		e.suspects++
	}
	return Choice{
		Replica: e.replica, Addr: e.addr, Reason: pick.Reason, Considered: pick.Considered,
		Alone: req.Alone, entry: e, process: e.process, trial: trial,
		Predicted: pick.Predicted, PredictedHome: pick.PredictedHome, Limit: use, limit: e.limit, UnreadTokens: unread, assigned: e.assign(req),
	}, e.cacheEpoch, true
}

// End removes the request from the replica's count and records its result.
func (t *Table) End(choice Choice, res Result) { t.EndAt(t.opts.Now(), choice, res) }

// EndAt is End at a given time.
func (t *Table) EndAt(now time.Time, choice Choice, res Result) {
	e := choice.entry
	if e == nil {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	e.history.record(now, e.outstanding)
	e.outstanding--
	e.unassign(choice.assigned)
	if choice.trial {
		e.speed.trials = max(e.speed.trials-1, 0)
	}
	if choice.Alone {
		e.suspects--
	}
	if e.replica.Serving == choice.Replica.Serving {
		e.speed.record(res, now)
	}
}
