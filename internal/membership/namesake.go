package membership

import (
	"context"
	"time"
)

// DuplicateStatus is what a look for another process under this node's name showed.
type DuplicateStatus int

const (
	// DuplicateUnknown: nobody that was asked answered.
	DuplicateUnknown DuplicateStatus = iota
	// DuplicateAlive: somebody hears the other process.
	DuplicateAlive
	// DuplicateGone: those who answered hear no such process any more.
	DuplicateGone
)

// CheckDuplicate asks the nodes at the addresses, ip:port of their connect-go services,
// whether they hear a process under this node's name. This node has fallen silent, so
// what they hear is the other one.
type CheckDuplicate func(ctx context.Context, addrs []string) DuplicateStatus

const (
	// lookEvery is the time between two looks: some of them fit into the time after
	// which a silent node counts as dead (16 s).
	lookEvery = 5 * time.Second
	// lookPeers is how many other nodes are asked beside the namesake itself: one of
	// them alone may be cut off, or have just started.
	lookPeers = 3
	// lookTimeout bounds one look.
	lookTimeout = 3 * time.Second
)

// namesake is another process that runs under this node's name.
type namesake struct {
	// superseded is true while this node keeps silent because of it.
	superseded  bool
	incarnation uint64
	peerAddr    string
	// seen is when it was last known to live, looked when it was last looked for.
	seen, looked time.Time
}

// lookFor returns whom to ask for the namesake now; none when it is not time.
func (s *State) lookFor(now time.Time) (addrs []string) {
	n := &s.namesake
	if !n.superseded || now.Sub(n.looked) < lookEvery {
		return nil
	}
	n.looked = now
	if n.peerAddr != "" {
		addrs = append(addrs, n.peerAddr)
	}
	others := s.leastRecent(func(m *member) bool { return m.peerAddr != "" && !m.leaving })
	for _, m := range others[:min(lookPeers, len(others))] {
		addrs = append(addrs, m.peerAddr)
		m.sentTo = s.tick
	}
	return addrs
}

// noteSighting takes what a look showed, and reports whether this node speaks again.
//
// Two processes under one name come from a settings file that was copied, or from a
// VM that was replaced while it was frozen. The one that fell silent would stay so for
// ever when the other is gone: no peer hears it, and no change of the rules is known to
// be in force there. So it takes the name back, with a higher incarnation, once nobody
// hears the other; and when nobody answers, after the time in which the dead are noticed.
func (s *State) noteSighting(sighting DuplicateStatus, now time.Time) (speaks bool) {
	n := &s.namesake
	switch {
	case !n.superseded:
		return false
	case sighting == DuplicateAlive:
		n.seen = now
		return false
	case sighting == DuplicateUnknown && now.Sub(n.seen) < s.timing.DeadAfter:
		return false
	}
	s.self.Incarnation = n.incarnation + 1
	s.namesake = namesake{}
	return true
}

// lookForNamesake asks for the process that has this node's name, when it is time.
func (s *Service) lookForNamesake(ctx context.Context) {
	if s.findNamesake == nil {
		return
	}
	s.mu.Lock()
	addrs := s.state.lookFor(s.now())
	s.mu.Unlock()
	if len(addrs) == 0 {
		return
	}
	s.looks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, lookTimeout)
		defer cancel()
		sighting := s.findNamesake(ctx, addrs)
		s.mu.Lock()
		speaks := s.state.noteSighting(sighting, s.now())
		incarnation := s.state.Self().Incarnation
		s.mu.Unlock()
		if speaks {
			s.log.Info("nobody else runs under this node's name any more, speaking again", "incarnation", incarnation, "asked", len(addrs))
		}
	})
}
