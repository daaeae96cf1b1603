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

// Outgoing is one datagram and the addresses to send it to.
type Outgoing struct {
	Addrs    []string
	Datagram *wirepb.Datagram
	// Limit is the maximum encoded size in bytes, including the sections of other packages.
	Limit int
}

// Tick updates the members' statuses and returns the next heartbeat. revision is the rules
// revision in force on this node. Addrs is empty if there is no target.
func (s *State) Tick(now time.Time, revision int64) Outgoing {
	s.tick++
	s.updateStatuses(now)
	if s.duplicate.superseded {
		return Outgoing{}
	}
	allowed := s.budget * (1 - extraShare) * s.timing.Interval.Seconds()
	body, entryShare := minBody, changedEntryShare
	if s.learning(now) {
		allowed *= joinFactor
		body, entryShare = joinBody, joinEntryShare
	}
	addrs := s.takeTargets(s.targets(now), max(1, int(allowed/float64(body+packetOverhead))))
	if len(addrs) == 0 {
		return Outgoing{}
	}
	limit := min(max(int(allowed)/len(addrs)-packetOverhead, minBody), wire.MaxBody)
	d := s.baseDatagram(revision)
	d.ZoneNodes, d.ZonePeak = uint32(s.runningNodes(now)), uint32(s.zonePeak(now))
	d.AskedIds, s.unknownBeatIDs = s.unknownBeatIDs, nil
	s.addEntries(d, limit, entryShare)
	s.addBeats(d, limit*beatShare/100, s.inOwnZone)
	s.addBeats(d, proto.Size(d)+limit*remoteBeatShare/100, s.inOtherZone)
	return Outgoing{Addrs: addrs, Datagram: d, Limit: limit}
}

// Shares of a heartbeat's size limit, in percent: the fill level up to which changed
// entries are added, the fill level up to which heartbeats of the own zone are added, and
// the additional space for heartbeats of other zones.
const (
	changedEntryShare = 55
	joinEntryShare    = 75
	beatShare         = 80
	remoteBeatShare   = 10
)

// prioritySends is the number of heartbeats in which a changed member's entry is sent ahead
// of the rotation.
const prioritySends = 4

// ExtraHeartbeat returns a datagram to send before the next regular heartbeat, after a new
// rules revision or quarantine. Extra heartbeats have a budget of their own; when it is
// used up, the next regular heartbeat carries the update. ChargeExtraHeartbeat deducts
// what was sent.
func (s *State) ExtraHeartbeat(now time.Time, revision int64) Outgoing {
	rate := s.budget * extraShare
	s.extraCredit = min(s.extraCredit+now.Sub(s.extraCreditAt).Seconds()*rate, rate*extraBurst)
	s.extraCreditAt = now
	affordable := int(s.extraCredit / (maxExtraBody + packetOverhead))
	if affordable == 0 || s.duplicate.superseded {
		return Outgoing{}
	}
	targets := s.zonePeers(fanout)
	targets = append(targets, s.linkTargets()...)
	return Outgoing{Addrs: s.takeTargets(targets, affordable), Datagram: s.baseDatagram(revision), Limit: maxExtraBody}
}

// ChargeExtraHeartbeat deducts an extra heartbeat of that many bytes, sent to that many
// targets, from the budget.
func (s *State) ChargeExtraHeartbeat(bytes, targets int) {
	s.extraCredit -= float64(targets * (bytes + packetOverhead))
}

// LeaveAnnouncement returns the datagram that informs all live peers of the zone that this
// node is leaving. It is sent once per process and does not count against the budget.
func (s *State) LeaveAnnouncement(revision int64) Outgoing {
	if s.duplicate.superseded {
		return Outgoing{}
	}
	return Outgoing{Addrs: s.takeTargets(s.zonePeers(len(s.order)), maxMembers), Datagram: s.baseDatagram(revision), Limit: wire.MaxBody}
}

// learning reports whether this node still learns which nodes there are: it has just started, or has
// lately got to know another one.
func (s *State) learning(now time.Time) bool {
	return s.tick <= joinTicks || now.Sub(s.started) < joinTime && now.Sub(s.addedAt) < settleTime
}

func (s *State) baseDatagram(revision int64) *wirepb.Datagram {
	return &wirepb.Datagram{
		Node:          string(s.self.Node),
		Zone:          string(s.self.Zone),
		Incarnation:   s.self.Incarnation,
		Leaving:       s.self.Leaving,
		RulesRevision: revision,
		DatagramAddr:  s.self.DatagramAddr,
		PeerAddr:      s.self.PeerAddr,
		// Overwritten by the transport; set here so that their size is counted.
		Sequence:   s.tick<<sequenceBits | 1,
		SentUnixMs: maxUnixMs,
		System:     maxSystem,
	}
}

// Upper bounds of the fields set by the transport, for size estimates.
const (
	sequenceBits = 4
	maxUnixMs    = 1<<42 - 1
	maxSystem    = 1<<32 - 1
)

// target is an address to send to, and its member if known.
type target struct {
	addr   string
	member *member
}

// takeTargets returns the addresses of the first n targets and records that they were sent to.
func (s *State) takeTargets(targets []target, n int) []string {
	targets = targets[:min(n, len(targets))]
	addrs := make([]string, 0, len(targets))
	for _, t := range targets {
		if t.member != nil {
			t.member.sentTick = s.tick
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

// targets lists the targets of the next heartbeat, most important first. While this node learns which
// nodes there are, those not yet heard come first: they know others than the few that it has heard.
func (s *State) targets(now time.Time) []target {
	var targets []target
	if s.learning(now) {
		targets = s.unconfirmedTargets()
	}
	targets = append(targets, s.zonePeers(fanout)...)
	for _, addr := range s.requesters {
		targets = append(targets, target{addr: addr})
	}
	s.requesters = nil
	targets = append(targets, s.linkTargets()...)
	if !s.learning(now) {
		targets = append(targets, s.unconfirmedTargets()...)
	}
	targets = append(targets, s.probeTargets()...)
	targets = append(targets, s.seedTargets()...)
	if s.staleAddr != "" {
		targets = append(targets, target{addr: s.staleAddr})
		s.staleAddr = ""
	}
	return targets
}

// zonePeers returns the n live or suspect peers of the zone that were sent to least
// recently, or all of them if there are at most allToAll.
func (s *State) zonePeers(n int) []target {
	peers := s.leastRecentlySent(func(m *member) bool {
		return m.zone == s.self.Zone && (m.status == Alive || m.status == Suspect)
	})
	if len(peers) > max(n, allToAll) {
		peers = peers[:n]
	}
	return targetsOf(peers)
}

// linkTargets returns one member of each other zone that this node has a link to. Each
// link is held by nodesPerLink nodes of a zone, so its cost does not depend on the number
// of nodes. Zones without a live member are contacted as well, which is how the end of a
// partition is detected.
func (s *State) linkTargets() []target {
	var picked []*member
	nodes := s.eligibleNodes()
	for _, zone := range s.otherZones() {
		if rank(nodes, s.self.Node, "link/"+string(zone)) >= min(nodesPerLink, len(nodes)) {
			continue
		}
		candidates := s.leastRecentlySent(func(m *member) bool {
			return m.zone == zone && m.status == Alive && !m.leaving
		})
		if len(candidates) == 0 {
			candidates = s.leastRecentlySent(func(m *member) bool { return m.zone == zone })
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

// probeTargets returns a dead member of the zone, which answers if it lives again.
func (s *State) probeTargets() []target {
	dead := s.leastRecentlySent(func(m *member) bool { return m.zone == s.self.Zone && m.status == Dead })
	return targetsOf(dead[:min(1, len(dead))])
}

// unconfirmedTargets returns a few members of the zone that have not been heard. Their answer confirms
// them.
func (s *State) unconfirmedTargets() []target {
	unconfirmed := s.leastRecentlySent(func(m *member) bool { return m.zone == s.self.Zone && m.status == Unconfirmed })
	return targetsOf(unconfirmed[:min(fanout, len(unconfirmed))])
}

// seedTargets returns seeds whose address is not that of a live member. Until a peer of the
// zone is heard it returns several per heartbeat, since a node does not know which seeds
// are in its zone; afterwards it returns one every seedRetryTicks heartbeats.
func (s *State) seedTargets() []target {
	zoneAlive := false
	heard := make(map[string]bool)
	for _, m := range s.order {
		if m.status == Alive {
			zoneAlive = zoneAlive || s.inOwnZone(m)
			heard[m.datagramAddr] = true
		}
	}
	n := seedsPerHeartbeat
	if zoneAlive {
		n = 1
	}
	if zoneAlive && s.tick%seedRetryTicks != 0 {
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

// leastRecentlySent returns the members that match, least recently sent to first and in
// random order if equal.
func (s *State) leastRecentlySent(match func(*member) bool) []*member {
	var found []*member
	for _, m := range s.order {
		if match(m) {
			found = append(found, m)
		}
	}
	s.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b *member) int { return compareUint(a.sentTick, b.sentTick) })
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

// addBeats adds the heartbeats of live members, least recently forwarded first, while the
// datagram stays within limit.
func (s *State) addBeats(d *wirepb.Datagram, limit int, match func(*member) bool) {
	live := s.liveMembers(match, func(m *member) uint64 { return m.beatSentTick })
	room := limit - proto.Size(d) - beatListsSize
	for _, m := range live {
		revisionDelta := m.revision - d.RulesRevision
		room -= 4 + protowire.SizeVarint(m.sequence) + protowire.SizeVarint(protowire.EncodeZigZag(revisionDelta))
		if room < 0 {
			return
		}
		d.BeatIds = append(d.BeatIds, m.beatID)
		d.BeatSequences = append(d.BeatSequences, m.sequence)
		d.BeatRevisions = append(d.BeatRevisions, revisionDelta)
		m.beatSentTick = s.tick
	}
}

// beatListsSize is the size of the tags and lengths of the three packed lists.
const beatListsSize = 3 * 4

// addEntries adds the entry that comes first by priority if the datagram stays within
// limit, and then recently changed entries while it stays within share percent of limit.
func (s *State) addEntries(d *wirepb.Datagram, limit, share int) {
	live := s.liveMembers(func(*member) bool { return true }, (*member).entryPriority)
	size := proto.Size(d)
	for i, m := range live {
		if i > 0 && m.entrySends >= prioritySends {
			return
		}
		e := m.entry()
		size += protowire.SizeTag(entriesField) + protowire.SizeBytes(proto.Size(e))
		if size > limit || i > 0 && size > limit*share/100 {
			return
		}
		d.Members = append(d.Members, e)
		m.entrySentTick = s.tick
		m.entrySends++
	}
}

// entriesField is the field number of Datagram.members.
const entriesField = 10

// entryPriority orders entries for sending: changed ones first, then the least recently sent.
func (m *member) entryPriority() uint64 {
	if m.entrySends < prioritySends {
		return uint64(m.entrySends)
	}
	return prioritySends + m.entrySentTick
}

func (s *State) liveMembers(match func(*member) bool, lastSent func(*member) uint64) []*member {
	var live []*member
	for _, m := range s.order {
		if (m.status == Alive || m.status == Suspect) && match(m) {
			live = append(live, m)
		}
	}
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b *member) int { return compareUint(lastSent(a), lastSent(b)) })
	return live
}
