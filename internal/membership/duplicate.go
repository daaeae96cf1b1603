package membership

import (
	"context"
	"time"
)

// DuplicateStatus is the result of a check for another process with this node's name.
type DuplicateStatus int

const (
	// DuplicateUnknown means that none of the contacted nodes answered.
	DuplicateUnknown DuplicateStatus = iota
	// DuplicateAlive means that a node receives heartbeats from the other process.
	DuplicateAlive
	// DuplicateGone means that the nodes that answered no longer receive any.
	DuplicateGone
)

// CheckDuplicate asks the nodes at the addresses (ip:port of their connect-go services)
// whether they receive heartbeats under this node's name. This node has stopped sending,
// so such heartbeats come from the other process.
type CheckDuplicate func(ctx context.Context, addrs []string) DuplicateStatus

const (
	// duplicateCheckInterval is the time between two checks; several fit into the time after
	// which a silent node counts as dead (16 s).
	duplicateCheckInterval = 5 * time.Second
	// duplicateCheckPeers is the number of other nodes asked besides the duplicate itself; a
	// single one may be partitioned or just started.
	duplicateCheckPeers = 3
	// duplicateCheckTimeout limits the duration of one check.
	duplicateCheckTimeout = 3 * time.Second
)

// duplicate is another process that runs under this node's name.
type duplicate struct {
	// superseded is set while this node sends nothing because of the other process.
	superseded  bool
	incarnation uint64
	peerAddr    string
	// seenAt is when it was last known to be alive; checkedAt is when the last check began.
	seenAt, checkedAt time.Time
}

// duplicateCheckTargets returns the addresses to ask about the duplicate now, or none if no
// check is due.
func (s *State) duplicateCheckTargets(now time.Time) (addrs []string) {
	d := &s.duplicate
	if !d.superseded || now.Sub(d.checkedAt) < duplicateCheckInterval {
		return nil
	}
	d.checkedAt = now
	if d.peerAddr != "" {
		addrs = append(addrs, d.peerAddr)
	}
	others := s.leastRecentlySent(func(m *member) bool { return m.peerAddr != "" && !m.leaving })
	for _, m := range others[:min(duplicateCheckPeers, len(others))] {
		addrs = append(addrs, m.peerAddr)
		m.sentTick = s.tick
	}
	return addrs
}

// recordDuplicateStatus records the result of a check and reports whether this node resumes
// sending.
//
// Two processes get the same name from a copied settings file, or when a VM is replaced
// while it is frozen. Without this check the superseded one would never send again after
// the other is gone: no peer would receive its heartbeats, and no rules change would be
// known to be in force on it. So it takes the name back, with a higher incarnation, once no
// node receives heartbeats from the other process, or once no node has answered for the
// time after which a silent node counts as dead.
func (s *State) recordDuplicateStatus(status DuplicateStatus, now time.Time) (resumed bool) {
	d := &s.duplicate
	switch {
	case !d.superseded:
		return false
	case status == DuplicateAlive:
		d.seenAt = now
		return false
	case status == DuplicateUnknown && now.Sub(d.seenAt) < s.timing.DeadAfter:
		return false
	}
	s.self.Incarnation = d.incarnation + 1
	s.duplicate = duplicate{}
	return true
}

// checkForDuplicate starts a check for the process that has this node's name, if one is due.
func (s *Service) checkForDuplicate(ctx context.Context) {
	if s.checkDuplicate == nil {
		return
	}
	s.mu.Lock()
	addrs := s.state.duplicateCheckTargets(s.now())
	s.mu.Unlock()
	if len(addrs) == 0 {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, duplicateCheckTimeout)
		defer cancel()
		status := s.checkDuplicate(ctx, addrs)
		s.mu.Lock()
		resumed := s.state.recordDuplicateStatus(status, s.now())
		incarnation := s.state.Self().Incarnation
		s.mu.Unlock()
		if resumed {
			s.log.Info("no other process runs under this node's name any more, this node resumes sending", "incarnation", incarnation, "asked", len(addrs))
		}
	})
}
