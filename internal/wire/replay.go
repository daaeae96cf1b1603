package wire

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// maxSenders limits the number of senders in a ReplayWindow. It is more than twice the
// number of nodes of the largest planned system.
const maxSenders = 1024

// windowBits is the size of the window of sequence numbers: a datagram that lags the
// newest one by as much or more is dropped.
const windowBits = 64

// ReplayWindow records which datagrams of each sender were accepted. It is not safe for
// concurrent use.
//
// Without it, an attacker could replay a recorded datagram to make a dead node appear
// alive or to restore a quarantine; the age limit alone allows that for some seconds.
// Forgetting a sender is safe, because it happens only once all datagrams recorded from
// it exceed the age limit.
type ReplayWindow struct {
	maxAge  time.Duration
	maxSkew time.Duration
	senders map[string]*sender
}

type sender struct {
	incarnation uint64
	newest      uint64
	// seen has bit i set if sequence newest-i was accepted.
	seen         uint64
	lastAccepted time.Time
}

// NewReplayWindow returns an empty window; zero durations mean the defaults.
func NewReplayWindow(maxAge, maxSkew time.Duration) *ReplayWindow {
	if maxAge <= 0 {
		maxAge = DefaultMaxAge
	}
	if maxSkew <= 0 {
		maxSkew = DefaultMaxSkew
	}
	return &ReplayWindow{maxAge: maxAge, maxSkew: maxSkew, senders: make(map[string]*sender)}
}

// Accept records an authentic datagram, or returns a *DropError if it must be dropped.
func (w *ReplayWindow) Accept(d *wirepb.Datagram, now time.Time) error {
	if reason := w.check(d, now); reason != "" {
		return &DropError{Reason: reason, Node: d.Node}
	}
	return nil
}

func (w *ReplayWindow) check(d *wirepb.Datagram, now time.Time) DropReason {
	age := now.Sub(time.UnixMilli(d.SentUnixMs))
	if age > w.maxAge+w.maxSkew {
		return TooOld
	}
	if age < -w.maxSkew {
		return FromFuture
	}
	s := w.senders[d.Node]
	if s == nil {
		if !w.ensureCapacity(now) {
			return TooManySenders
		}
		s = &sender{}
		w.senders[d.Node] = s
	}
	reason := s.accept(d)
	if reason == "" {
		s.lastAccepted = now
	}
	return reason
}

func (s *sender) accept(d *wirepb.Datagram) DropReason {
	if d.Incarnation < s.incarnation {
		return OldIncarnation
	}
	if d.Incarnation > s.incarnation {
		s.incarnation = d.Incarnation
		s.newest = d.Sequence
		s.seen = 1
		return ""
	}
	if d.Sequence > s.newest {
		s.seen = s.seen<<(d.Sequence-s.newest) | 1
		s.newest = d.Sequence
		return ""
	}
	distance := s.newest - d.Sequence
	if distance >= windowBits {
		return TooOld
	}
	bit := uint64(1) << distance
	if s.seen&bit != 0 {
		return Replayed
	}
	s.seen |= bit
	return ""
}

// ensureCapacity reports whether there is room for another sender. If the window is full,
// it first forgets the senders whose datagrams would all exceed the age limit.
func (w *ReplayWindow) ensureCapacity(now time.Time) bool {
	if len(w.senders) < maxSenders {
		return true
	}
	forgetAfter := w.maxAge + 2*w.maxSkew
	for name, s := range w.senders {
		if now.Sub(s.lastAccepted) > forgetAfter {
			delete(w.senders, name)
		}
	}
	return len(w.senders) < maxSenders
}
