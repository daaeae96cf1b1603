package membership

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Gossip configures datagrams that carry the state of some sources to the peers of the zone
// between heartbeats.
//
// A node's load on a replica changes within a few hundred milliseconds. Nodes that learn
// each other's load only once a second overload the same replica, so gossip is sent as
// often as its bandwidth budget allows.
type Gossip struct {
	// Sources are called in this order, and each gets an equal part of the space that is left.
	Sources []Source
	// Changes are the sources of gossip that TriggerGossip requests; nil means Sources. The smaller
	// such a datagram is, the more peers get it at once. Those with Sources are then sent at least
	// every fullGossipInterval.
	Changes []Source
	// Budget is in bytes per second, including IP and UDP headers. With fewer peers, each
	// one receives gossip more often.
	Budget int
	// TTL is how long receivers use a report. With so many peers that each would have a
	// valid report less than a third of the time, none is sent. Zero means no such limit.
	TTL time.Duration
}

const (
	// minGossipInterval is the minimum time between two gossip datagrams.
	minGossipInterval = 25 * time.Millisecond
	// fullGossipInterval is the longest time between two datagrams with all sources while changes use
	// up the budget.
	fullGossipInterval = 250 * time.Millisecond
	// gossipIdleInterval is the time until the next attempt if there is no peer to send to.
	gossipIdleInterval = 250 * time.Millisecond
	// maxGossipBody limits the body of a gossip datagram, in bytes.
	maxGossipBody = 400
)

// Gossip returns the next gossip datagram, for the live peer of the zone that was sent one
// least recently. Addrs is empty if there is no such peer or there are more than maxPeers.
func (s *State) Gossip(maxPeers int) Outgoing {
	if s.duplicate.superseded || s.self.Leaving {
		return Outgoing{}
	}
	var next *member
	peers := 0
	for _, m := range s.order {
		if !s.inOwnZone(m) || m.status != Alive {
			continue
		}
		peers++
		if next == nil || m.lastGossip < next.lastGossip {
			next = m
		}
	}
	if next == nil || peers > maxPeers {
		return Outgoing{}
	}
	s.gossipCount++
	next.lastGossip = s.gossipCount
	return Outgoing{Addrs: []string{next.datagramAddr}, Datagram: s.briefDatagram(), Limit: maxGossipBody}
}

func (s *State) briefDatagram() *wirepb.Datagram {
	return &wirepb.Datagram{Node: string(s.self.Node), Zone: string(s.self.Zone), Incarnation: s.self.Incarnation, Brief: true}
}

// Broadcast returns a datagram for all live peers of the zone.
func (s *State) Broadcast() Outgoing {
	send := Outgoing{Datagram: s.briefDatagram(), Limit: maxGossipBody}
	if s.duplicate.superseded {
		return send
	}
	for _, m := range s.order {
		if s.inOwnZone(m) && m.status == Alive {
			send.Addrs = append(send.Addrs, m.datagramAddr)
		}
	}
	return send
}

// Broadcast sends a section to all live peers of the zone immediately. It costs one
// datagram per peer, so use it only for rare and urgent updates. Delivery is not
// guaranteed.
func (s *Service) Broadcast(section Section) {
	s.mu.Lock()
	send := s.state.Broadcast()
	s.mu.Unlock()
	if len(send.Addrs) == 0 {
		return
	}
	fill(send.Datagram, send.Limit, []Source{func(int) Section { return section }}, s.log)
	s.transmit(send)
}

// sender returns the member that sent a datagram. It returns false for a process from which
// no heartbeat was received: gossip has no address, so its sender cannot be contacted.
func (s *State) sender(d *wirepb.Datagram, now time.Time) (Member, bool) {
	m := s.members[cluster.NodeID(d.Node)]
	if m == nil || m.incarnation != d.Incarnation {
		return Member{}, false
	}
	return m.view(now), true
}

// minGossipBody is the size of a gossip body that reports a few values.
const minGossipBody = 80

// maxGossipSilence is the maximum time between two gossip datagrams to one peer, as a
// multiple of Gossip.TTL.
const maxGossipSilence = 3

// MaxPeers returns the number of peers up to which gossip is sent.
func (g Gossip) MaxPeers() int {
	if g.TTL <= 0 {
		return maxMembers
	}
	return int(maxGossipSilence * g.TTL / g.interval(minGossipBody))
}

// interval returns the time for which a datagram with that many bytes of body uses up the
// budget.
func (g Gossip) interval(body int) time.Duration {
	return max(minGossipInterval, time.Duration(float64(body+packetOverhead)/float64(g.Budget)*float64(time.Second)))
}
