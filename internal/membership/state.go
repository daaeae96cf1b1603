package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Self is what a node says of itself.
type Self struct {
	Node         cluster.NodeID
	Zone         cluster.ZoneID
	Incarnation  uint64
	DatagramAddr string
	PeerAddr     string
	Leaving      bool
}

// Change is a member's new status and why it fell.
type Change struct {
	Member Member
	From   Status
	Reason string
}

// State is the decision core: what is known of the members, whom to send to and
// what to tell. It has no clock, socket or goroutine, and is not safe for
// concurrent use. The same events at the same times with the same source of
// randomness give the same answers.
type State struct {
	self   Self
	seeds  []string
	timing Timing
	// budget is bytes per second.
	budget  float64
	started time.Time
	rng     *rand.Rand

	members map[cluster.NodeID]*member
	byBeat  map[uint32]*member
	// order lists the members by name, so that decisions do not depend on map order.
	order []*member

	tick        uint64
	gossiped    uint64
	seedCursor  int
	nudgeCredit float64
	nudgedAt    time.Time
	namesake    namesake
	// staleAddr is where a process spoke from whose incarnation is over.
	staleAddr string
	changes   []Change
	// strangers are ids of heartbeats that were passed on to this node and of which it
	// has no entry; askers are the addresses of nodes that lack one that it has.
	strangers []uint32
	askers    []string
}

// NewState returns a state that knows only itself and the seeds' addresses.
func NewState(self Self, seeds []string, timing Timing, sendBudget int, rng *rand.Rand, now time.Time) *State {
	if sendBudget <= 0 {
		sendBudget = DefaultSendBudget
	}
	return &State{
		self:        self,
		seeds:       slices.DeleteFunc(slices.Clone(seeds), func(addr string) bool { return addr == self.DatagramAddr }),
		timing:      timing.withDefaults(),
		budget:      float64(sendBudget),
		started:     now,
		rng:         rng,
		members:     make(map[cluster.NodeID]*member),
		byBeat:      make(map[uint32]*member),
		nudgeCredit: float64(sendBudget) * nudgeShare * nudgeBurst,
		nudgedAt:    now,
		// All nodes start at other seeds, lest one seed gets all the first datagrams.
		seedCursor: rng.IntN(max(1, len(seeds))),
	}
}

// Receive takes in one authentic datagram.
func (s *State) Receive(d *wirepb.Datagram, now time.Time) {
	if cluster.NodeID(d.Node) == s.self.Node {
		s.meetOwnName(&wirepb.Member{Incarnation: d.Incarnation, DatagramAddr: d.DatagramAddr, PeerAddr: d.PeerAddr}, now)
		return
	}
	m := s.meet(&wirepb.Member{
		Node: d.Node, Zone: d.Zone, Incarnation: d.Incarnation,
		DatagramAddr: d.DatagramAddr, PeerAddr: d.PeerAddr,
	}, now)
	if m == nil {
		return
	}
	m.direct = now
	s.rise(m, d.Sequence, d.RulesRevision, now)
	m.leaving = m.leaving || d.Leaving
	for _, e := range d.Members {
		s.receiveEntry(e, now)
	}
	s.receiveAsked(d)
	s.receiveBeats(d, now)
}

func (s *State) receiveEntry(e *wirepb.Member, now time.Time) {
	if cluster.NodeID(e.Node) == s.self.Node {
		s.meetOwnName(e, now)
		return
	}
	_, known := s.members[cluster.NodeID(e.Node)]
	m := s.meet(e, now)
	if m == nil {
		return
	}
	m.leaving = m.leaving || e.Leaving
	if known {
		s.rise(m, e.Sequence, e.RulesRevision, now)
		return
	}
	m.sequence = e.Sequence
	m.revision = e.RulesRevision
}

func (s *State) receiveBeats(d *wirepb.Datagram, now time.Time) {
	n := min(len(d.BeatIds), len(d.BeatSequences), len(d.BeatRevisions))
	for i := range n {
		if m := s.byBeat[d.BeatIds[i]]; m != nil {
			s.rise(m, d.BeatSequences[i], d.RulesRevision+d.BeatRevisions[i], now)
			continue
		}
		s.noteStranger(d.BeatIds[i])
	}
}

// maxAsked bounds the entries that one heartbeat asks for, and the nodes that the next
// one answers.
const maxAsked = 4

// noteStranger has the next heartbeat ask for an entry.
func (s *State) noteStranger(id uint32) {
	own := id == beatID(s.self.Node, s.self.Incarnation)
	if own || len(s.strangers) == maxAsked || slices.Contains(s.strangers, id) {
		return
	}
	s.strangers = append(s.strangers, id)
}

// receiveAsked has the next heartbeats tell the entries that a peer lacks, and the first
// of them go to it. Entries are lost like any datagram; left to their rotation, the last
// one of a zone would reach a node late.
func (s *State) receiveAsked(d *wirepb.Datagram) {
	for _, id := range d.AskedIds[:min(len(d.AskedIds), maxAsked)] {
		m := s.byBeat[id]
		if m == nil {
			continue
		}
		m.entryTells = 0
		if len(s.askers) < maxAsked && !slices.Contains(s.askers, d.DatagramAddr) {
			s.askers = append(s.askers, d.DatagramAddr)
		}
	}
}

// meet finds or adds the member that an entry speaks of, and returns nil when the
// entry is of an older incarnation or there is no room.
func (s *State) meet(e *wirepb.Member, now time.Time) *member {
	m := s.members[cluster.NodeID(e.Node)]
	switch {
	case m == nil:
		if len(s.members) >= maxMembers || e.Node == "" || e.Zone == "" {
			return nil
		}
		m = &member{node: cluster.NodeID(e.Node), added: now}
		s.members[m.node] = m
		at, _ := slices.BinarySearchFunc(s.order, m, compareNode)
		s.order = slices.Insert(s.order, at, m)
	case e.Incarnation < m.incarnation:
		return nil
	case e.Incarnation == m.incarnation:
		return m
	}
	s.dropBeat(m)
	m.zone = cluster.ZoneID(e.Zone)
	m.incarnation = e.Incarnation
	m.datagramAddr = e.DatagramAddr
	m.peerAddr = e.PeerAddr
	m.sequence = e.Sequence
	m.leaving = false
	m.entryTells = 0
	m.beatID = beatID(m.node, m.incarnation)
	if s.byBeat[m.beatID] == nil {
		s.byBeat[m.beatID] = m
	}
	return m
}

func compareNode(a, b *member) int { return strings.Compare(string(a.node), string(b.node)) }

func (s *State) dropBeat(m *member) {
	if s.byBeat[m.beatID] == m {
		delete(s.byBeat, m.beatID)
	}
}

// rise records a heartbeat that is newer than any seen. A heartbeat that was
// seen before proves nothing: it may be passed around long after its node died.
func (s *State) rise(m *member, sequence uint64, revision int64, now time.Time) {
	if sequence <= m.sequence {
		return
	}
	m.sequence = sequence
	m.revision = revision
	m.heard = now
	s.setStatus(m, Alive, "heard", now)
}

// ReceiveStale takes note of a datagram of an incarnation that is over. Its sender
// does not know: it was frozen, or its clock was set back. The next heartbeat
// goes to it too and carries the entry that tells it.
func (s *State) ReceiveStale(d *wirepb.Datagram) {
	m := s.members[cluster.NodeID(d.Node)]
	if m == nil || d.Incarnation >= m.incarnation {
		return
	}
	m.entryTells = 0
	s.staleAddr = d.DatagramAddr
}

// meetOwnName handles word of a higher incarnation of this node's own name.
//
// From the same address it is this node's own past, started before its clock was
// set back; peers drop what this one says, so it takes a higher incarnation.
// From another address it is the process that replaced this one, which was
// frozen meanwhile; this one falls silent, lest the two overrule each other for ever.
func (s *State) meetOwnName(e *wirepb.Member, now time.Time) {
	if e.Incarnation <= s.self.Incarnation {
		return
	}
	if e.DatagramAddr != s.self.DatagramAddr {
		if !s.namesake.superseded {
			s.namesake = namesake{superseded: true, seen: now, looked: now}
		}
		s.namesake.incarnation = max(s.namesake.incarnation, e.Incarnation)
		s.namesake.peerAddr = e.PeerAddr
		return
	}
	s.self.Incarnation = e.Incarnation + 1
}

// age moves silent members towards Dead and forgets those silent for long.
func (s *State) age(now time.Time) {
	for _, m := range s.order {
		s.ageOne(m, now)
	}
	s.forget(now)
}

func (s *State) ageOne(m *member, now time.Time) {
	if m.heard.IsZero() {
		return
	}
	suspectAfter, deadAfter := s.timing.SuspectAfter, s.timing.DeadAfter
	if m.zone != s.self.Zone {
		suspectAfter, deadAfter = s.timing.RemoteSuspectAfter, s.timing.RemoteDeadAfter
	}
	silent := now.Sub(m.heard)
	switch {
	case silent > deadAfter:
		s.setStatus(m, Dead, "silent", now)
	case silent > suspectAfter:
		s.setStatus(m, Suspect, "silent", now)
	}
}

func (s *State) setStatus(m *member, status Status, reason string, now time.Time) {
	if m.status == status {
		return
	}
	from := m.status
	m.status = status
	m.entryTells = 0
	s.changes = append(s.changes, Change{Member: m.view(now), From: from, Reason: reason})
}

// lastSeen is the newest sign of a member, for forgetting.
func (m *member) lastSeen() time.Time {
	if m.heard.After(m.added) {
		return m.heard
	}
	return m.added
}

func (s *State) forget(now time.Time) {
	var stale []*member
	kept := make(map[cluster.ZoneID]int)
	for _, m := range s.order {
		if m.status == Alive || m.status == Suspect || now.Sub(m.lastSeen()) <= s.timing.ForgetAfter {
			kept[m.zone]++
			continue
		}
		stale = append(stale, m)
	}
	slices.SortStableFunc(stale, func(a, b *member) int { return b.lastSeen().Compare(a.lastSeen()) })
	for _, m := range stale {
		if kept[m.zone] < contactsPerZone {
			kept[m.zone]++
			continue
		}
		s.remove(m)
	}
}

func (s *State) remove(m *member) {
	delete(s.members, m.node)
	s.dropBeat(m)
	if at, found := slices.BinarySearchFunc(s.order, m, compareNode); found {
		s.order = slices.Delete(s.order, at, at+1)
	}
}

// Leave marks this node as leaving: peers give it no further duties.
func (s *State) Leave() { s.self.Leaving = true }

// Superseded reports whether another process has this node's name.
func (s *State) Superseded() bool { return s.namesake.superseded }

// Self returns what this node says of itself now.
func (s *State) Self() Self { return s.self }

// Members returns the other nodes, ordered by name.
func (s *State) Members(now time.Time) []Member {
	views := make([]Member, 0, len(s.order))
	for _, m := range s.order {
		views = append(views, m.view(now))
	}
	return views
}

// TakeChanges returns the changes since the last call.
func (s *State) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}
