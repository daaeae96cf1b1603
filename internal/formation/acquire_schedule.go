package formation

import (
	"math/rand/v2"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
)

// Delays of attempts to acquire a free lease. A few nodes attempt first, and the others learn
// of the new holder before their turn comes. If all nodes attempted at once, the store would
// receive four calls from each node at the same moment.
const (
	// watcherSpread is the range of the random delay of nodes that watch the store directly.
	watcherSpread = 200 * time.Millisecond
	// standbyDelay is the fixed delay and standbySpread the range of the random delay of standby
	// nodes.
	standbyDelay  = 400 * time.Millisecond
	standbySpread = time.Second
	// leaseViewLag is how long this node's view of the lease may lag behind an attempt.
	leaseViewLag = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before the next attempt after the store did
	// not respond.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// outageGap is the time between two contacts with the store from which on it counts as having
	// recovered; an idle watch has one every two seconds.
	outageGap = 3 * time.Second
)

// acquireSchedule decides when a node attempts to acquire the lease.
type acquireSchedule struct {
	standby bool
	// nextAttempt is when the next attempt is due; zero while the lease is held.
	nextAttempt time.Time
	retry       clock.Backoff
	// failing is true after an attempt to which the store did not respond.
	failing bool
	// contact is when the store last confirmed this node's list of servers.
	contact time.Time
}

func newAcquireSchedule(standby bool) *acquireSchedule {
	return &acquireSchedule{standby: standby, retry: clock.Backoff{Min: minRetryDelay, Max: maxRetryDelay}}
}

// due reports whether to attempt to acquire the lease now, given whether it is free.
func (s *acquireSchedule) due(free bool, now time.Time) bool {
	if !free {
		s.nextAttempt = time.Time{}
		return false
	}
	if s.nextAttempt.IsZero() {
		s.nextAttempt = now.Add(s.randomDelay())
	}
	return !now.Before(s.nextAttempt)
}

func (s *acquireSchedule) randomDelay() time.Duration {
	if s.standby {
		return standbyDelay + rand.N(standbySpread)
	}
	return rand.N(watcherSpread)
}

// recordAttempt schedules the next attempt after one that the store responded to or not.
func (s *acquireSchedule) recordAttempt(responded bool, now time.Time) {
	s.failing = !responded
	if responded {
		s.nextAttempt = now.Add(leaseViewLag + s.randomDelay())
		s.retry.Reset()
		return
	}
	s.nextAttempt = now.Add(s.retry.Next())
}

// recordContact records when the store last confirmed this node's list. The first contact after an
// outage ends the delay that grew during it.
func (s *acquireSchedule) recordContact(at, now time.Time) {
	recovered := at.Sub(s.contact) > outageGap
	if at.After(s.contact) {
		s.contact = at
	}
	if !s.failing || !recovered {
		return
	}
	s.failing = false
	s.retry.Reset()
	if soon := now.Add(s.randomDelay()); soon.Before(s.nextAttempt) {
		s.nextAttempt = soon
	}
}
