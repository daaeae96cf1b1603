package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Self is a node's description of itself.
type Self struct {
	Node         cluster.NodeID
	Zone         cluster.ZoneID
	Incarnation  uint64
	DatagramAddr string
	PeerAddr     string
	Leaving      bool
}

// Change is a change of a member's status and its reason.
type Change struct {
	Member Member
	From   Status
	Reason string
}

// State is the protocol's decision logic: the members' states, the targets of each
// datagram and its content. It has no clock, socket or goroutine and is not safe for
// concurrent use. It is deterministic for the same events, times and random source.
type State struct {
	self Self
	// seeds are those of other nodes; isSeed is set if this node is one, too.
	seeds  []string
	isSeed bool
	timing Timing
	// budget is the send budget in bytes per second.
	budget  float64
	started time.Time
	// addedAt is when the last member was added.
	addedAt time.Time
	rng     *rand.Rand

	members  map[cluster.NodeID]*member
	byBeatID map[uint32]*member
	// order lists the members by name, so that decisions do not depend on map order.
	order []*member

	tick          uint64
	gossipCount   uint64
	seedCursor    int
	extraCredit   float64
	extraCreditAt time.Time
	duplicate     duplicate
	// staleAddr is the address from which a process with an outdated incarnation sent.
	staleAddr string
	changes   []Change
	// unknownBeatIDs are ids of forwarded heartbeats for which this node has no entry.
	// requesters are the addresses of nodes that requested an entry that it has.
	unknownBeatIDs []uint32
	requesters     []string
	// said is the size of the zone as other nodes say.
	said zoneSize
}

// NewState returns a state that knows only itself and the seeds' addresses.
func NewState(self Self, seeds []string, timing Timing, sendBudget int, rng *rand.Rand, now time.Time) *State {
	if sendBudget <= 0 {
		sendBudget = DefaultSendBudget
	}
	return &State{
		self:          self,
		seeds:         slices.DeleteFunc(slices.Clone(seeds), func(addr string) bool { return addr == self.DatagramAddr }),
		isSeed:        slices.Contains(seeds, self.DatagramAddr),
		timing:        timing.withDefaults(),
		budget:        float64(sendBudget),
		started:       now,
		rng:           rng,
		members:       make(map[cluster.NodeID]*member),
		byBeatID:      make(map[uint32]*member),
		extraCredit:   float64(sendBudget) * extraShare * extraBurst,
		extraCreditAt: now,
		// Each node starts at a random seed, so that no seed gets all the first datagrams.
		seedCursor: rng.IntN(max(1, len(seeds))),
	}
}

// Receive processes one authenticated datagram.
func (s *State) Receive(d *wirepb.Datagram, now time.Time) {
	if cluster.NodeID(d.Node) == s.self.Node {
		s.receiveOwnName(&wirepb.Member{Incarnation: d.Incarnation, DatagramAddr: d.DatagramAddr, PeerAddr: d.PeerAddr}, now)
		return
	}
	m := s.upsertMember(&wirepb.Member{
		Node: d.Node, Zone: d.Zone, Incarnation: d.Incarnation,
		DatagramAddr: d.DatagramAddr, PeerAddr: d.PeerAddr,
	}, now)
	if m == nil {
		return
	}
	m.direct = now
	s.recordHeartbeat(m, d.Sequence, d.RulesRevision, now)
	m.leaving = m.leaving || d.Leaving
	if s.inOwnZone(m) {
		s.said.observe(int(d.ZoneNodes), int(d.ZonePeak), now)
	}
	for _, e := range d.Members {
		s.receiveEntry(e, now)
	}
	s.receiveEntryRequests(d)
	s.receiveBeats(d, now)
}

func (s *State) receiveEntry(e *wirepb.Member, now time.Time) {
	if cluster.NodeID(e.Node) == s.self.Node {
		s.receiveOwnName(e, now)
		return
	}
	_, known := s.members[cluster.NodeID(e.Node)]
	m := s.upsertMember(e, now)
	if m == nil {
		return
	}
	m.leaving = m.leaving || e.Leaving
	if known {
		s.recordHeartbeat(m, e.Sequence, e.RulesRevision, now)
		return
	}
	m.sequence = e.Sequence
	m.revision = e.RulesRevision
}

func (s *State) receiveBeats(d *wirepb.Datagram, now time.Time) {
	n := min(len(d.BeatIds), len(d.BeatSequences), len(d.BeatRevisions))
	for i := range n {
		if m := s.byBeatID[d.BeatIds[i]]; m != nil {
			s.recordHeartbeat(m, d.BeatSequences[i], d.RulesRevision+d.BeatRevisions[i], now)
			continue
		}
		s.requestEntry(d.BeatIds[i])
	}
}

// maxEntryRequests limits the entries that one heartbeat requests, and the requesters to
// which the next one is sent.
const maxEntryRequests = 4

// requestEntry makes the next heartbeat request the entry with that id.
func (s *State) requestEntry(id uint32) {
	own := id == beatID(s.self.Node, s.self.Incarnation)
	if own || len(s.unknownBeatIDs) == maxEntryRequests || slices.Contains(s.unknownBeatIDs, id) {
		return
	}
	s.unknownBeatIDs = append(s.unknownBeatIDs, id)
}

// receiveEntryRequests gives priority to the entries that a peer requests and makes the
// next heartbeat go to that peer. Datagrams with entries can be lost; with the rotation
// alone, a node would receive the last entry of its zone late.
func (s *State) receiveEntryRequests(d *wirepb.Datagram) {
	for _, id := range d.AskedIds[:min(len(d.AskedIds), maxEntryRequests)] {
		m := s.byBeatID[id]
		if m == nil {
			continue
		}
		m.entrySends = 0
		if len(s.requesters) < maxEntryRequests && !slices.Contains(s.requesters, d.DatagramAddr) {
			s.requesters = append(s.requesters, d.DatagramAddr)
		}
	}
}

// upsertMember finds, updates or adds the member that an entry describes. It returns nil if
// the entry is of an older incarnation or the table is full.
func (s *State) upsertMember(e *wirepb.Member, now time.Time) *member {
	m := s.members[cluster.NodeID(e.Node)]
	switch {
	case m == nil:
		if len(s.members) >= maxMembers || e.Node == "" || e.Zone == "" {
			return nil
		}
		m = &member{node: cluster.NodeID(e.Node), added: now}
		s.addedAt = now
		s.members[m.node] = m
		at, _ := slices.BinarySearchFunc(s.order, m, compareNode)
		s.order = slices.Insert(s.order, at, m)
	case e.Incarnation < m.incarnation:
		return nil
	case e.Incarnation == m.incarnation:
		return m
	}
	s.removeBeatID(m)
	m.zone = cluster.ZoneID(e.Zone)
	m.incarnation = e.Incarnation
	m.datagramAddr = e.DatagramAddr
	m.peerAddr = e.PeerAddr
	m.sequence = e.Sequence
	m.leaving = false
	m.entrySends = 0
	m.beatID = beatID(m.node, m.incarnation)
	if s.byBeatID[m.beatID] == nil {
		s.byBeatID[m.beatID] = m
	}
	return m
}

func compareNode(a, b *member) int { return strings.Compare(string(a.node), string(b.node)) }

func (s *State) removeBeatID(m *member) {
	if s.byBeatID[m.beatID] == m {
		delete(s.byBeatID, m.beatID)
	}
}

// recordHeartbeat records a heartbeat if it is newer than all previous ones of the member.
// An old one may still be forwarded long after its node failed.
func (s *State) recordHeartbeat(m *member, sequence uint64, revision int64, now time.Time) {
	if sequence <= m.sequence {
		return
	}
	m.sequence = sequence
	m.revision = revision
	m.heard = now
	s.setStatus(m, Alive, "heard", now)
}

// ReceiveStale handles a datagram of an outdated incarnation. Its sender was frozen or its
// clock was set back, and it does not know of the newer incarnation. The next heartbeat is
// also sent to it, with the entry of that incarnation.
func (s *State) ReceiveStale(d *wirepb.Datagram) {
	m := s.members[cluster.NodeID(d.Node)]
	if m == nil || d.Incarnation >= m.incarnation {
		return
	}
	m.entrySends = 0
	s.staleAddr = d.DatagramAddr
}

// receiveOwnName handles a report of a higher incarnation of this node's own name.
//
// If the address is the same, it is a previous process of this node, started before its
// clock was set back. Peers drop the datagrams of the current one, so it takes a higher
// incarnation. If the address differs, it is a process that replaced this one while it was
// frozen. This one stops sending; otherwise the two would override each other forever.
func (s *State) receiveOwnName(e *wirepb.Member, now time.Time) {
	if e.Incarnation <= s.self.Incarnation {
		return
	}
	if e.DatagramAddr != s.self.DatagramAddr {
		if !s.duplicate.superseded {
			s.duplicate = duplicate{superseded: true, seenAt: now, checkedAt: now}
		}
		s.duplicate.incarnation = max(s.duplicate.incarnation, e.Incarnation)
		s.duplicate.peerAddr = e.PeerAddr
		return
	}
	s.self.Incarnation = e.Incarnation + 1
}

// updateStatuses marks silent members as Suspect or Dead and removes those silent for long.
func (s *State) updateStatuses(now time.Time) {
	for _, m := range s.order {
		s.updateStatus(m, now)
	}
	s.removeForgotten(now)
}

func (s *State) updateStatus(m *member, now time.Time) {
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
	m.entrySends = 0
	s.changes = append(s.changes, Change{Member: m.view(now), From: from, Reason: reason})
}

// lastSeen returns when the member was last heard or, if later, added.
func (m *member) lastSeen() time.Time {
	if m.heard.After(m.added) {
		return m.heard
	}
	return m.added
}

func (s *State) removeForgotten(now time.Time) {
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
	s.removeBeatID(m)
	if at, found := slices.BinarySearchFunc(s.order, m, compareNode); found {
		s.order = slices.Delete(s.order, at, at+1)
	}
}

// Leave marks this node as leaving, so that peers no longer count it as responsible for
// any task.
func (s *State) Leave() { s.self.Leaving = true }

// Superseded reports whether a newer process uses this node's name.
func (s *State) Superseded() bool { return s.duplicate.superseded }

// Self returns this node's current description of itself.
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
