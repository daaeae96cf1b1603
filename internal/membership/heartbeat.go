package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Outgoing is the decision to send one datagram to some addresses.
type Outgoing struct {
	Addrs    []string
	Datagram *wirepb.Datagram
	// Limit bounds the encoded datagram with the sections of other packages, in bytes.
	Limit int
}

// Tick ages the members and decides on the next heartbeat. revision is the rules
// revision in force here. An empty Addrs means there is nobody to send to.
func (s *State) Tick(now time.Time, revision int64) Outgoing {
	s.tick++
	s.age(now)
	if s.namesake.superseded {
		return Outgoing{}
	}
	allowed := s.budget * (1 - nudgeShare) * s.timing.Interval.Seconds()
	if s.tick <= joinTicks {
		allowed *= joinFactor
	}
	addrs := s.pick(s.targets(), max(1, int(allowed/(minBody+packetOverhead))))
	if len(addrs) == 0 {
		return Outgoing{}
	}
	limit := min(max(int(allowed)/len(addrs)-packetOverhead, minBody), wire.MaxBody)
	d := s.base(revision)
	d.AskedIds, s.strangers = s.strangers, nil
	s.addEntries(d, limit)
	s.addBeats(d, limit*beatShare/100, s.inOwnZone)
	s.addBeats(d, proto.Size(d)+limit*farBeatShare/100, s.inOtherZone)
	return Outgoing{Addrs: addrs, Datagram: d, Limit: limit}
}

// Shares of a heartbeat's room, in percent: how full it may get with entries,
// then with heartbeats of the zone, and what heartbeats of other zones add.
const (
	entryShare   = 55
	beatShare    = 80
	farBeatShare = 10
)

// entryRepeats is in how many heartbeats a changed member's entry goes out ahead
// of the rotation.
const entryRepeats = 4

// ExtraHeartbeat decides whether to send an extra datagram now, ahead of the next
// heartbeat: after a new rules revision or quarantine. Its bytes come from a
// budget of their own; when that is spent, the next heartbeat carries the news.
// What is sent is charged by ChargeNudge.
func (s *State) ExtraHeartbeat(now time.Time, revision int64) Outgoing {
	rate := s.budget * nudgeShare
	s.nudgeCredit = min(s.nudgeCredit+now.Sub(s.nudgedAt).Seconds()*rate, rate*nudgeBurst)
	s.nudgedAt = now
	affordable := int(s.nudgeCredit / (nudgeBody + packetOverhead))
	if affordable == 0 || s.namesake.superseded {
		return Outgoing{}
	}
	targets := s.zonePeers(fanout)
	targets = append(targets, s.linkTargets()...)
	return Outgoing{Addrs: s.pick(targets, affordable), Datagram: s.base(revision), Limit: nudgeBody}
}

// ChargeExtraHeartbeat takes a nudge of that many bytes, sent to so many targets, off the budget.
func (s *State) ChargeExtraHeartbeat(bytes, targets int) {
	s.nudgeCredit -= float64(targets * (bytes + packetOverhead))
}

// LeaveAnnouncement is the datagram that tells all live peers of the zone, at once, that
// this node is leaving. It is sent once in a node's life, outside of the budget.
func (s *State) LeaveAnnouncement(revision int64) Outgoing {
	if s.namesake.superseded {
		return Outgoing{}
	}
	return Outgoing{Addrs: s.pick(s.zonePeers(len(s.order)), maxMembers), Datagram: s.base(revision), Limit: wire.MaxBody}
}

func (s *State) base(revision int64) *wirepb.Datagram {
	return &wirepb.Datagram{
		Node:          string(s.self.Node),
		Zone:          string(s.self.Zone),
		Incarnation:   s.self.Incarnation,
		Leaving:       s.self.Leaving,
		RulesRevision: revision,
		DatagramAddr:  s.self.DatagramAddr,
		PeerAddr:      s.self.PeerAddr,
		// Stamped by the transport; set here so that the size is counted.
		Sequence:   s.tick<<sequenceBits | 1,
		SentUnixMs: maxUnixMs,
		System:     maxSystem,
	}
}

// Upper bounds of stamped fields, for counting bytes.
const (
	sequenceBits = 4
	maxUnixMs    = 1<<42 - 1
	maxSystem    = 1<<32 - 1
)

// target is an address to send to, with the member behind it if it is known.
type target struct {
	addr   string
	member *member
}

// pick takes the first n targets and notes that they were sent to.
func (s *State) pick(targets []target, n int) []string {
	targets = targets[:min(n, len(targets))]
	addrs := make([]string, 0, len(targets))
	for _, t := range targets {
		if t.member != nil {
			t.member.sentTo = s.tick
		}
		addrs = append(addrs, t.addr)
	}
	return addrs
}

func targetsOf(members []*member) []target {
	targets := make([]target, 0, len(members))
	for _, m := range members {
		targets = append(targets, target{addr: m.datagramAddr, member: m})
	}
	return targets
}

// targets lists whom the next heartbeat goes to, most important first.
func (s *State) targets() []target {
	targets := s.zonePeers(fanout)
	for _, addr := range s.askers {
		targets = append(targets, target{addr: addr})
	}
	s.askers = nil
	targets = append(targets, s.linkTargets()...)
	targets = append(targets, s.probe()...)
	targets = append(targets, s.seed()...)
	if s.staleAddr != "" {
		targets = append(targets, target{addr: s.staleAddr})
		s.staleAddr = ""
	}
	return targets
}

// zonePeers picks the live peers of the zone that were sent to least recently,
// all of them when they are few.
func (s *State) zonePeers(n int) []target {
	peers := s.leastRecent(func(m *member) bool {
		return m.zone == s.self.Zone && (m.status == Alive || m.status == Suspect)
	})
	if len(peers) > max(n, allToAll) {
		peers = peers[:n]
	}
	return targetsOf(peers)
}

// linkTargets picks one member of each other zone that this node talks to. Two
// nodes of a zone hold each link, so that links cost the same however many
// nodes there are. A zone without a live member is tried all the same: that is
// how the end of a cut is noticed.
func (s *State) linkTargets() []target {
	var picked []*member
	nodes := s.dutyNodes()
	for _, zone := range s.otherZones() {
		if place(nodes, s.self.Node, "link/"+string(zone)) >= min(linkHolders, len(nodes)) {
			continue
		}
		candidates := s.leastRecent(func(m *member) bool {
			return m.zone == zone && m.status == Alive && !m.leaving
		})
		if len(candidates) == 0 {
			candidates = s.leastRecent(func(m *member) bool { return m.zone == zone })
		}
		picked = append(picked, candidates[0])
	}
	return targetsOf(picked)
}

func (s *State) otherZones() []cluster.ZoneID {
	var zones []cluster.ZoneID
	for _, m := range s.order {
		if m.zone != s.self.Zone && !slices.Contains(zones, m.zone) {
			zones = append(zones, m.zone)
		}
	}
	return zones
}

// probe picks members of the zone that are not known to live: some of those only
// heard of, whose answer makes them known, and one of the dead.
func (s *State) probe() []target {
	unproved := s.leastRecent(func(m *member) bool { return m.zone == s.self.Zone && m.status == Unconfirmed })
	dead := s.leastRecent(func(m *member) bool { return m.zone == s.self.Zone && m.status == Dead })
	picked := unproved[:min(fanout, len(unproved))]
	picked = append(picked, dead[:min(1, len(dead))]...)
	return targetsOf(picked)
}

// seed picks seeds at which no live member is known: several with each heartbeat
// until a peer of the zone is heard, since a node does not know which seed is of
// its zone, and then one now and then.
func (s *State) seed() []target {
	zoneAlive := false
	heard := make(map[string]bool)
	for _, m := range s.order {
		if m.status == Alive {
			zoneAlive = zoneAlive || s.inOwnZone(m)
			heard[m.datagramAddr] = true
		}
	}
	n := seedsAtOnce
	if zoneAlive {
		n = 1
	}
	if zoneAlive && s.tick%seedEvery != 0 {
		return nil
	}
	var picked []target
	for range s.seeds {
		addr := s.seeds[s.seedCursor%len(s.seeds)]
		s.seedCursor++
		if !heard[addr] && len(picked) < n {
			picked = append(picked, target{addr: addr})
		}
		if len(picked) == n {
			break
		}
	}
	return picked
}

// leastRecent returns the members that pass, those not sent to for longest first,
// equals in random order.
func (s *State) leastRecent(pass func(*member) bool) []*member {
	var found []*member
	for _, m := range s.order {
		if pass(m) {
			found = append(found, m)
		}
	}
	s.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b *member) int { return compareUint(a.sentTo, b.sentTo) })
	return found
}

func compareUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (s *State) inOwnZone(m *member) bool   { return m.zone == s.self.Zone }
func (s *State) inOtherZone(m *member) bool { return m.zone != s.self.Zone }

// addBeats passes on heartbeats of members that live, those told least recently
// first, while the datagram stays within limit.
func (s *State) addBeats(d *wirepb.Datagram, limit int, pass func(*member) bool) {
	live := s.liveBy(pass, func(m *member) uint64 { return m.toldBeat })
	room := limit - proto.Size(d) - beatListsSize
	for _, m := range live {
		behind := m.revision - d.RulesRevision
		room -= 4 + protowire.SizeVarint(m.sequence) + protowire.SizeVarint(protowire.EncodeZigZag(behind))
		if room < 0 {
			return
		}
		d.BeatIds = append(d.BeatIds, m.beatID)
		d.BeatSequences = append(d.BeatSequences, m.sequence)
		d.BeatRevisions = append(d.BeatRevisions, behind)
		m.toldBeat = s.tick
	}
}

// beatListsSize is the tags and lengths of the three packed lists.
const beatListsSize = 3 * 4

// addEntries adds the entry of the live member told least recently if the
// datagram stays within limit, and those that changed since they were told while
// it stays within entryShare of it.
func (s *State) addEntries(d *wirepb.Datagram, limit int) {
	live := s.liveBy(func(*member) bool { return true }, (*member).entryRank)
	size := proto.Size(d)
	for i, m := range live {
		if i > 0 && m.entryTells >= entryRepeats {
			return
		}
		e := m.entry()
		size += protowire.SizeTag(entriesField) + protowire.SizeBytes(proto.Size(e))
		if size > limit || i > 0 && size > limit*entryShare/100 {
			return
		}
		d.Members = append(d.Members, e)
		m.toldEntry = s.tick
		m.entryTells++
	}
}

// entriesField is the field number of Datagram.members.
const entriesField = 10

// entryRank orders entries for telling: changed ones first, then by when they were told last.
func (m *member) entryRank() uint64 {
	if m.entryTells < entryRepeats {
		return uint64(m.entryTells)
	}
	return entryRepeats + m.toldEntry
}

func (s *State) liveBy(pass func(*member) bool, told func(*member) uint64) []*member {
	var live []*member
	for _, m := range s.order {
		if (m.status == Alive || m.status == Suspect) && pass(m) {
			live = append(live, m)
		}
	}
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b *member) int { return compareUint(told(a), told(b)) })
	return live
}
