package wire

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// maxSenders bounds the replay table: more than twice the nodes of the largest plan.
const maxSenders = 1024

// windowBits is how far a datagram may be overtaken by later ones and still be accepted.
const windowBits = 64

// ReplayWindow remembers which datagrams were accepted, by sender. It is not safe for
// concurrent use.
//
// Without it, whoever records a datagram could send it again and make a dead
// node look alive or bring back a quarantine; the age bound alone leaves that
// open for some seconds. A forgotten sender is harmless: it is forgotten only
// once its recorded datagrams are all too old.
type ReplayWindow struct {
	maxAge  time.Duration
	maxSkew time.Duration
	senders map[string]*sender
}

type sender struct {
	incarnation uint64
	newest      uint64
	// seen has bit i set when sequence newest-i was accepted.
	seen  uint64
	heard time.Time
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

// Accept records an authentic datagram, or says why it must be dropped.
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
		if !w.makeRoom(now) {
			return TooManySenders
		}
		s = &sender{}
		w.senders[d.Node] = s
	}
	reason := s.accept(d)
	if reason == "" {
		s.heard = now
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
	behind := s.newest - d.Sequence
	if behind >= windowBits {
		return TooOld
	}
	bit := uint64(1) << behind
	if s.seen&bit != 0 {
		return Replayed
	}
	s.seen |= bit
	return ""
}

// makeRoom forgets senders whose datagrams would all be refused by age, when the table is full.
func (w *ReplayWindow) makeRoom(now time.Time) bool {
	if len(w.senders) < maxSenders {
		return true
	}
	forget := w.maxAge + 2*w.maxSkew
	for name, s := range w.senders {
		if now.Sub(s.heard) > forget {
			delete(w.senders, name)
		}
	}
	return len(w.senders) < maxSenders
}
