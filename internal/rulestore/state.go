package rulestore

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Timing sets how a node keeps up with the newest rules.
type Timing struct {
	// PeerGatherTime is how long a starting node listens to its peers, from the first it
	// hears, before it takes the highest revision among them, when the store
	// doesn't answer. It covers a few datagrams: one from a seed, which names the
	// other nodes, and one each way to those.
	PeerGatherTime time.Duration
	// StartJitter spreads the reads of the whole file by nodes that start at once,
	// and a quarter of it their checks. A node that a peer serves first doesn't read.
	StartJitter time.Duration
	// FetchJitter spreads the fetches of many nodes that hear of a change at once.
	FetchJitter time.Duration
	// CheckInterval is how often a watching node asks the store for the newest
	// revision, because an open watch can be silently dead. It bounds the delay
	// of a change when every watch of the system is dead.
	CheckInterval time.Duration
	// SilenceTimeout is how long a node that doesn't watch may hear nothing from peers
	// before it asks the store; SilentCheckInterval spreads and spaces these questions.
	SilenceTimeout, SilentCheckInterval time.Duration
	// RetryMin and RetryMax bound the growing pause between failed calls.
	RetryMin, RetryMax time.Duration
	// PeerTTL is how long a peer's word about its revision is believed.
	PeerTTL time.Duration
}

// DefaultTiming keeps a change within 16 s on every node that is heard.
func DefaultTiming() Timing {
	return Timing{
		PeerGatherTime:      4 * time.Second,
		StartJitter: 2 * time.Second,
		FetchJitter: time.Second,
		CheckInterval:  10 * time.Second,
		SilenceTimeout:     15 * time.Second,
		SilentCheckInterval: 30 * time.Second,
		RetryMin:    time.Second,
		RetryMax:    30 * time.Second,
		PeerTTL:     30 * time.Second,
	}
}

// Events that a state decides on.
type (
	// event is one of the types below.
	event any
	// ticked passes time; duty says whether this node is to watch the store.
	ticked struct{ duty bool }
	// peerShown is a revision that a peer says it has in force.
	peerShown struct {
		node     cluster.NodeID
		revision int64
	}
	// peerAnswered ends a fetch; ok means a text was received and is intact.
	peerAnswered struct {
		node cluster.NodeID
		ok   bool
	}
	// storeChecked ends a check; revision zero means that the store has no rules.
	storeChecked struct {
		revision int64
		ok       bool
	}
	// storeRead ends a read of the whole file.
	storeRead struct{ ok bool }
	// watchShowed is a revision seen by the watch that its edits didn't lead to.
	watchShowed struct{ revision int64 }
	// adopted is a revision now in force on this node.
	adopted struct{ revision int64 }
	// unreadable is an accepted revision that this node's version can't parse.
	unreadable struct{ revision int64 }
)

// Actions that a state asks for.
type (
	// action is one of the types below.
	action any
	// fetchPeer gets the rules from a peer.
	fetchPeer struct{ node cluster.NodeID }
	// checkStore asks the store for the newest revision, without the text.
	checkStore struct{}
	// readStore reads the whole file from the store.
	readStore struct{}
	// restartWatch replaces a watch that missed a change.
	restartWatch struct{}
)

// peer is one node that shows a revision higher than the one in force.
type peer struct {
	revision  int64
	shownAt   time.Time
	notBefore time.Time // after a failed fetch
}

// state decides how one node comes to the newest rules. It isn't safe for
// concurrent use.
type state struct {
	timing Timing
	rand   *rand.Rand

	inForce int64
	// unreadable isn't asked for again: each try would fail the same way. It still
	// counts as known, so that a node with an old program doesn't start with rules
	// that were replaced since.
	unreadable int64
	peers      map[cluster.NodeID]peer
	lastHeard  time.Time
	// gatherUntil is zero until the first peer is heard.
	gatherUntil time.Time
	fetching    bool
	fetchAt     time.Time

	duty, silent   bool
	storeAnswered  bool
	storeRevision  int64
	askingStore    bool
	nextCheck      time.Time
	nextRead       time.Time
	checkPause     time.Duration
	readPause      time.Duration
	watchMissedOne bool
}

func newState(timing Timing, rnd *rand.Rand, now time.Time) *state {
	s := &state{timing: timing, rand: rnd, peers: make(map[cluster.NodeID]peer), lastHeard: now}
	s.nextCheck = now.Add(s.jitter(timing.StartJitter / 4))
	s.nextRead = now.Add(s.jitter(timing.StartJitter))
	return s
}

// step takes one event and returns what is to be done.
func (s *state) step(ev event, now time.Time) []action {
	switch ev := ev.(type) {
	case ticked:
		s.tick(ev.duty, now)
	case peerShown:
		s.showPeer(ev, now)
	case peerAnswered:
		s.endFetch(ev, now)
	case storeChecked:
		s.endCheck(ev, now)
	case storeRead:
		s.endRead(ev, now)
	case watchShowed:
		s.storeRevision = max(s.storeRevision, ev.revision)
	case adopted:
		s.adopt(ev.revision)
	case unreadable:
		s.unreadable = max(s.unreadable, ev.revision)
	}
	return s.decide(now)
}

// accepts reports whether a text of this revision may come into force now.
func (s *state) accepts(revision int64) bool {
	if s.inForce > 0 {
		return revision > s.inForce
	}
	return revision > 0 && revision >= s.floor()
}

// floor is the highest revision that this node knows to have been accepted. A
// node without rules takes nothing lower: its former self may have had it in
// force, and callers would see an accepted change revert.
func (s *state) floor() int64 {
	floor := s.storeRevision
	for _, p := range s.peers {
		floor = max(floor, p.revision)
	}
	return floor
}

func (s *state) tick(duty bool, now time.Time) {
	s.duty = duty
	maps.DeleteFunc(s.peers, func(_ cluster.NodeID, p peer) bool {
		return now.Sub(p.shownAt) > s.timing.PeerTTL
	})
	silent := now.Sub(s.lastHeard) >= s.timing.SilenceTimeout
	if silent && !s.silent && !duty {
		// Whole zones fall silent at once, so the first question is spread too.
		s.nextCheck = latest(s.nextCheck, now.Add(s.jitter(s.timing.SilentCheckInterval)))
	}
	s.silent = silent
}

func (s *state) showPeer(ev peerShown, now time.Time) {
	s.lastHeard = now
	if s.gatherUntil.IsZero() {
		s.gatherUntil = now.Add(s.timing.PeerGatherTime)
	}
	if ev.revision <= s.inForce {
		delete(s.peers, ev.node)
		return
	}
	p := s.peers[ev.node]
	p.revision, p.shownAt = ev.revision, now
	s.peers[ev.node] = p
}

func (s *state) endFetch(ev peerAnswered, now time.Time) {
	s.fetching = false
	if ev.ok {
		return
	}
	if p, known := s.peers[ev.node]; known {
		p.notBefore = now.Add(s.around(2 * s.timing.RetryMin))
		s.peers[ev.node] = p
	}
}

func (s *state) endCheck(ev storeChecked, now time.Time) {
	s.askingStore = false
	if !ev.ok {
		s.checkPause = s.longer(s.checkPause)
		s.nextCheck = now.Add(s.around(s.checkPause))
		return
	}
	s.checkPause = 0
	s.storeAnswered = true
	s.storeRevision = max(s.storeRevision, ev.revision)
	s.watchMissedOne = s.duty && s.inForce > 0 && ev.revision > s.inForce
	every := s.timing.SilentCheckInterval
	if s.duty {
		every = s.timing.CheckInterval
	}
	s.nextCheck = now.Add(every*4/5 + s.jitter(every*2/5))
}

func (s *state) endRead(ev storeRead, now time.Time) {
	s.askingStore = false
	if ev.ok && s.storeRevision <= s.inForce {
		return
	}
	s.readPause = s.longer(s.readPause)
	s.nextRead = now.Add(s.around(s.readPause))
}

func (s *state) adopt(revision int64) {
	s.inForce = max(s.inForce, revision)
	s.readPause = 0
	maps.DeleteFunc(s.peers, func(_ cluster.NodeID, p peer) bool { return p.revision <= s.inForce })
}

func (s *state) decide(now time.Time) []action {
	var actions []action
	if s.watchMissedOne {
		s.watchMissedOne = false
		actions = append(actions, restartWatch{})
	}
	if node, ok := s.peerToFetch(now); ok {
		s.fetching = true
		s.fetchAt = time.Time{}
		actions = append(actions, fetchPeer{node})
	}
	switch {
	case s.askingStore:
	case s.wantsRead(now):
		s.askingStore = true
		actions = append(actions, readStore{})
	case s.wantsCheck(now):
		s.askingStore = true
		actions = append(actions, checkStore{})
	}
	return actions
}

// peerToFetch picks a peer with the highest revision once the jitter has passed.
func (s *state) peerToFetch(now time.Time) (cluster.NodeID, bool) {
	if s.fetching || !s.gathered(now) {
		return "", false
	}
	best := s.bestPeers(now)
	if len(best) == 0 {
		s.fetchAt = time.Time{}
		return "", false
	}
	if s.fetchAt.IsZero() {
		s.fetchAt = now.Add(s.jitter(s.timing.FetchJitter))
	}
	if now.Before(s.fetchAt) {
		return "", false
	}
	return best[s.rand.IntN(len(best))], true
}

// gathered reports whether enough is known to say what the newest revision is.
func (s *state) gathered(now time.Time) bool {
	return s.inForce > 0 || s.storeAnswered || !s.gatherUntil.IsZero() && !now.Before(s.gatherUntil)
}

// bestPeers lists, in order, the peers that show the highest revision that may
// come into force and are not in a pause after a failure.
func (s *state) bestPeers(now time.Time) []cluster.NodeID {
	highest := int64(0)
	for _, p := range s.peers {
		if s.fetchable(p, now) {
			highest = max(highest, p.revision)
		}
	}
	var best []cluster.NodeID
	for node, p := range s.peers {
		if p.revision == highest && s.fetchable(p, now) {
			best = append(best, node)
		}
	}
	slices.Sort(best)
	return best
}

func (s *state) fetchable(p peer, now time.Time) bool {
	return s.accepts(p.revision) && p.revision > s.unreadable && !now.Before(p.notBefore)
}

// wantsRead is true when the store is known to have a newer file and no peer is
// about to give it, which spares the store the large read.
func (s *state) wantsRead(now time.Time) bool {
	if s.storeRevision <= max(s.inForce, s.unreadable) || now.Before(s.nextRead) {
		return false
	}
	if s.duty && s.inForce > 0 {
		return true // the others wait for this node
	}
	return !s.fetching && len(s.bestPeers(now)) == 0
}

func (s *state) wantsCheck(now time.Time) bool {
	starting := s.inForce == 0 && !s.storeAnswered
	return (s.duty || s.silent || starting) && !now.Before(s.nextCheck)
}

// longer is the next pause after a failure.
func (s *state) longer(pause time.Duration) time.Duration {
	return min(max(2*pause, s.timing.RetryMin), s.timing.RetryMax)
}

// jitter is a random part of d.
func (s *state) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d) + 1))
}

// around is d, give or take half of it.
func (s *state) around(d time.Duration) time.Duration { return d/2 + s.jitter(d) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
