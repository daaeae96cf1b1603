package rulestore

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Timing holds the intervals and delays by which a node follows the newest rules.
type Timing struct {
	// PeerGatherTime is how long a starting node collects its peers' revisions, counted
	// from the first datagram, before it adopts the highest of them if the store
	// doesn't answer. It covers a few datagrams: one from a seed, which names the
	// other nodes, and one each way to those.
	PeerGatherTime time.Duration
	// StartJitter spreads the reads of the complete file by nodes that start at the
	// same time, and a quarter of it spreads their checks. A node that gets the
	// rules from a peer first doesn't read the file.
	StartJitter time.Duration
	// FetchJitter spreads the fetches of nodes that learn of a change at the same time.
	FetchJitter time.Duration
	// CheckInterval is how often a watching node reads the newest revision from the
	// store, because an open watch can be dead without an error. It bounds the
	// delay of a change if every watch of the system is dead.
	CheckInterval time.Duration
	// SilenceTimeout is how long a node that doesn't watch may receive nothing from peers
	// before it checks the store; SilentCheckInterval spreads these checks and is
	// their mean interval.
	SilenceTimeout, SilentCheckInterval time.Duration
	// RetryMin and RetryMax bound the exponential backoff after failed calls.
	RetryMin, RetryMax time.Duration
	// PeerTTL is how long a peer's announced revision stays valid.
	PeerTTL time.Duration
}

// DefaultTiming returns intervals with which a change comes into force within
// 16 s on every node that exchanges datagrams with its peers.
func DefaultTiming() Timing {
	return Timing{
		PeerGatherTime:      4 * time.Second,
		StartJitter:         2 * time.Second,
		FetchJitter:         time.Second,
		CheckInterval:       10 * time.Second,
		SilenceTimeout:      15 * time.Second,
		SilentCheckInterval: 30 * time.Second,
		RetryMin:            time.Second,
		RetryMax:            30 * time.Second,
		PeerTTL:             30 * time.Second,
	}
}

// Events handled by state.step.
type (
	// event is one of the types below.
	event any
	// ticked is sent every tickInterval; watcher reports whether this node should
	// watch the store.
	ticked struct{ watcher bool }
	// peerObserved is a revision announced by a peer as in force.
	peerObserved struct {
		node     cluster.NodeID
		revision int64
	}
	// fetchDone ends a fetch from a peer; ok is false if the call failed, the peer had
	// nothing newer or its text could not be verified or parsed.
	fetchDone struct {
		node cluster.NodeID
		ok   bool
	}
	// checkDone ends a check of the store; revision zero means that it has no rules.
	checkDone struct {
		revision int64
		ok       bool
	}
	// readDone ends a read of the complete file.
	readDone struct{ ok bool }
	// watchObserved is a revision seen by the watch that could not be reached by edits.
	watchObserved struct{ revision int64 }
	// adopted is a revision that came into force on this node.
	adopted struct{ revision int64 }
	// unreadable is an accepted revision that this version of the program can't parse.
	unreadable struct{ revision int64 }
)

// Actions returned by state.step.
type (
	// action is one of the types below.
	action any
	// fetchPeer fetches the rules from a peer.
	fetchPeer struct{ node cluster.NodeID }
	// checkStore reads the newest revision from the store, without the text.
	checkStore struct{}
	// readStore reads the complete file from the store.
	readStore struct{}
	// restartWatch replaces a watch that missed a change.
	restartWatch struct{}
)

// peer is a node that announced a revision higher than the one in force here.
type peer struct {
	revision   int64
	observedAt time.Time
	notBefore  time.Time // after a failed fetch
}

// state is the decision logic by which a node follows the newest rules. It isn't
// safe for concurrent use.
type state struct {
	timing Timing
	rand   *rand.Rand

	inForce int64
	// unreadable is the highest revision that can't be parsed here. It isn't
	// requested again, since each attempt would fail in the same way. It still
	// counts as known, so that a node with an old program doesn't start with rules
	// that have been replaced.
	unreadable int64
	peers      map[cluster.NodeID]peer
	lastHeard  time.Time
	// gatherUntil ends the collection of peers' revisions; zero until the first
	// peer is heard.
	gatherUntil time.Time
	fetching    bool
	fetchAt     time.Time

	watcher, silent bool
	storeAnswered   bool
	storeRevision   int64
	storeCallActive bool
	nextCheck       time.Time
	nextRead        time.Time
	checkPause      time.Duration
	readPause       time.Duration
	watchStale      bool
}

func newState(timing Timing, rnd *rand.Rand, now time.Time) *state {
	s := &state{timing: timing, rand: rnd, peers: make(map[cluster.NodeID]peer), lastHeard: now}
	s.nextCheck = now.Add(s.jitter(timing.StartJitter / 4))
	s.nextRead = now.Add(s.jitter(timing.StartJitter))
	return s
}

// step handles one event and returns the resulting actions.
func (s *state) step(ev event, now time.Time) []action {
	switch ev := ev.(type) {
	case ticked:
		s.tick(ev.watcher, now)
	case peerObserved:
		s.observePeer(ev, now)
	case fetchDone:
		s.finishFetch(ev, now)
	case checkDone:
		s.finishCheck(ev, now)
	case readDone:
		s.finishRead(ev, now)
	case watchObserved:
		s.storeRevision = max(s.storeRevision, ev.revision)
	case adopted:
		s.adopt(ev.revision)
	case unreadable:
		s.unreadable = max(s.unreadable, ev.revision)
	}
	return s.decide(now)
}

// accepts reports whether a revision may come into force now.
func (s *state) accepts(revision int64) bool {
	if s.inForce > 0 {
		return revision > s.inForce
	}
	return revision > 0 && revision >= s.highestKnown()
}

// highestKnown returns the highest revision known to have been accepted. A node
// without rules adopts nothing lower: it may have had that revision in force before
// a restart, and callers would see an accepted change revert.
func (s *state) highestKnown() int64 {
	highest := s.storeRevision
	for _, p := range s.peers {
		highest = max(highest, p.revision)
	}
	return highest
}

func (s *state) tick(watcher bool, now time.Time) {
	s.watcher = watcher
	maps.DeleteFunc(s.peers, func(_ cluster.NodeID, p peer) bool {
		return now.Sub(p.observedAt) > s.timing.PeerTTL
	})
	silent := now.Sub(s.lastHeard) >= s.timing.SilenceTimeout
	if silent && !s.silent && !watcher {
		// A fault may silence a complete zone at once, so the first check is spread too.
		s.nextCheck = later(s.nextCheck, now.Add(s.jitter(s.timing.SilentCheckInterval)))
	}
	s.silent = silent
}

func (s *state) observePeer(ev peerObserved, now time.Time) {
	s.lastHeard = now
	if s.gatherUntil.IsZero() {
		s.gatherUntil = now.Add(s.timing.PeerGatherTime)
	}
	if ev.revision <= s.inForce {
		delete(s.peers, ev.node)
		return
	}
	p := s.peers[ev.node]
	p.revision, p.observedAt = ev.revision, now
	s.peers[ev.node] = p
}

func (s *state) finishFetch(ev fetchDone, now time.Time) {
	s.fetching = false
	if ev.ok {
		return
	}
	if p, known := s.peers[ev.node]; known {
		p.notBefore = now.Add(s.jitterAround(2 * s.timing.RetryMin))
		s.peers[ev.node] = p
	}
}

func (s *state) finishCheck(ev checkDone, now time.Time) {
	s.storeCallActive = false
	if !ev.ok {
		s.checkPause = s.nextBackoff(s.checkPause)
		s.nextCheck = now.Add(s.jitterAround(s.checkPause))
		return
	}
	s.checkPause = 0
	s.storeAnswered = true
	s.storeRevision = max(s.storeRevision, ev.revision)
	s.watchStale = s.watcher && s.inForce > 0 && ev.revision > s.inForce
	every := s.timing.SilentCheckInterval
	if s.watcher {
		every = s.timing.CheckInterval
	}
	s.nextCheck = now.Add(every*4/5 + s.jitter(every*2/5))
}

func (s *state) finishRead(ev readDone, now time.Time) {
	s.storeCallActive = false
	if ev.ok && s.storeRevision <= s.inForce {
		return
	}
	s.readPause = s.nextBackoff(s.readPause)
	s.nextRead = now.Add(s.jitterAround(s.readPause))
}

func (s *state) adopt(revision int64) {
	s.inForce = max(s.inForce, revision)
	s.readPause = 0
	maps.DeleteFunc(s.peers, func(_ cluster.NodeID, p peer) bool { return p.revision <= s.inForce })
}

func (s *state) decide(now time.Time) []action {
	var actions []action
	if s.watchStale {
		s.watchStale = false
		actions = append(actions, restartWatch{})
	}
	if node, ok := s.peerToFetch(now); ok {
		s.fetching = true
		s.fetchAt = time.Time{}
		actions = append(actions, fetchPeer{node})
	}
	switch {
	case s.storeCallActive:
	case s.wantsRead(now):
		s.storeCallActive = true
		actions = append(actions, readStore{})
	case s.wantsCheck(now):
		s.storeCallActive = true
		actions = append(actions, checkStore{})
	}
	return actions
}

// peerToFetch returns a random peer with the highest revision, once the fetch
// jitter has passed.
func (s *state) peerToFetch(now time.Time) (cluster.NodeID, bool) {
	if s.fetching || !s.newestKnown(now) {
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

// newestKnown reports whether the node knows enough to determine the newest revision: it has
// rules, the store has answered, or the time to gather peers' revisions is over.
func (s *state) newestKnown(now time.Time) bool {
	return s.inForce > 0 || s.storeAnswered || !s.gatherUntil.IsZero() && !now.Before(s.gatherUntil)
}

// bestPeers returns the fetchable peers with the highest revision, sorted by id.
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

// wantsRead reports whether to read the complete file: the store is known to have a
// newer one and no peer can provide it, which would save the store a large read.
func (s *state) wantsRead(now time.Time) bool {
	if s.storeRevision <= max(s.inForce, s.unreadable) || now.Before(s.nextRead) {
		return false
	}
	if s.watcher && s.inForce > 0 {
		return true // other nodes get the change from the watchers
	}
	return !s.fetching && len(s.bestPeers(now)) == 0
}

func (s *state) wantsCheck(now time.Time) bool {
	starting := s.inForce == 0 && !s.storeAnswered
	return (s.watcher || s.silent || starting) && !now.Before(s.nextCheck)
}

// nextBackoff returns the pause that follows pause in the exponential backoff.
func (s *state) nextBackoff(pause time.Duration) time.Duration {
	return min(max(2*pause, s.timing.RetryMin), s.timing.RetryMax)
}

// jitter returns a random duration between 0 and d.
func (s *state) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d) + 1))
}

// jitterAround returns a random duration between d/2 and 3d/2.
func (s *state) jitterAround(d time.Duration) time.Duration { return d/2 + s.jitter(d) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
