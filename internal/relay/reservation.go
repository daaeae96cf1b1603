package relay

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// reservation counts a call on a replica and, for a replica of a model, against the limit of its group.
type reservation struct {
	r      *Relay
	target Target
	choice routing.Choice

	mu sync.Mutex
	// limited and chosen are true while the limit and the router count the call.
	limited, chosen bool
}

// end ends the counts with the result of the attempt. Further calls have no effect.
func (v *reservation) end(result routing.Result) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.chosen {
		v.chosen = false
		v.r.opts.Router.End(v.choice, result)
	}
	if v.limited {
		v.limited = false
		v.r.limits.end(v.target.Group)
	}
}

// cancel ends the counts of a call that was not sent to the replica.
func (v *reservation) cancel() { v.end(routing.Result{Canceled: true}) }

// reservations are those that a call has made.
type reservations struct {
	mu  sync.Mutex
	all []*reservation
}

func (l *reservations) add(v *reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, v)
}

// cancelOpen ends the counts that a panic has left open.
func (l *reservations) cancelOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.all {
		v.cancel()
	}
}

// reserve counts the call on the replica that choose returns for the session's target. It fails if the call
// may fill only a share of the group's limit that is used up.
func (s *session) reserve(share float64, choose func() (routing.Choice, error)) (*reservation, error) {
	v := &reservation{r: s.r, target: s.target}
	s.reservations.add(v)
	if v.target.OfModel {
		if !s.r.limits.begin(v.target.Group, share, time.Now()) {
			return nil, &routing.FullError{Group: v.target.Group}
		}
		v.limited = true
	}
	choice, err := choose()
	if err != nil {
		v.cancel()
		return nil, err
	}
	v.choice, v.chosen = choice, true
	return v, nil
}
