package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Gossip tells the peers of the zone one source's state between the heartbeats.
//
// What a node runs on a replica changes within a few hundred milliseconds. Nodes that
// hear of each other once a second send the same replica more than it can take, so
// gossip goes out as often as its bytes allow.
type Gossip struct {
	Source Source
	// Budget is bytes per second, IP and UDP headers included. The fewer the peers, the
	// more often each hears.
	Budget int
	// TTL is how long a peer counts what it is told. With so many peers that each would
	// know it for less than a third of the time, none is sent; zero sends always.
	TTL time.Duration
}

const (
	// gossipGap is the least time between two gossip datagrams.
	gossipGap = 25 * time.Millisecond
	// gossipIdle is the time until the next look while there is no peer to send to.
	gossipIdle = 250 * time.Millisecond
	// gossipBody bounds the body of a gossip datagram.
	gossipBody = 400
)

// Gossip decides whom the next gossip datagram goes to: the live peer of the zone that was
// sent one longest ago. An empty Addrs means that there is none, or more than most.
func (s *State) Gossip(most int) Outgoing {
	if s.namesake.superseded || s.self.Leaving {
		return Outgoing{}
	}
	var next *member
	peers := 0
	for _, m := range s.order {
		if !s.inOwnZone(m) || m.status != Alive {
			continue
		}
		peers++
		if next == nil || m.gossipedAt < next.gossipedAt {
			next = m
		}
	}
	if next == nil || peers > most {
		return Outgoing{}
	}
	s.gossiped++
	next.gossipedAt = s.gossiped
	return Outgoing{Addrs: []string{next.datagramAddr}, Datagram: s.briefDatagram(), Limit: gossipBody}
}

func (s *State) briefDatagram() *wirepb.Datagram {
	return &wirepb.Datagram{Node: string(s.self.Node), Zone: string(s.self.Zone), Incarnation: s.self.Incarnation, Brief: true}
}

// Broadcast is a datagram to all live peers of the zone.
func (s *State) Broadcast() Outgoing {
	send := Outgoing{Datagram: s.briefDatagram(), Limit: gossipBody}
	if s.namesake.superseded {
		return send
	}
	for _, m := range s.order {
		if s.inOwnZone(m) && m.status == Alive {
			send.Addrs = append(send.Addrs, m.datagramAddr)
		}
	}
	return send
}

// Broadcast sends a section to all live peers of the zone at once. It costs a datagram
// for each: it is for what is rare and urgent. Datagrams are lost.
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

// knows returns the live member that sent a gossip datagram. One from a process that no
// heartbeat was heard of says nothing: there is no address to answer to.
func (s *State) knows(d *wirepb.Datagram, now time.Time) (Member, bool) {
	m := s.members[cluster.NodeID(d.Node)]
	if m == nil || m.incarnation != d.Incarnation {
		return Member{}, false
	}
	return m.view(now), true
}

// sendGossip tells one peer after the other until ctx ends.
func (s *Service) sendGossip(ctx context.Context) {
	most := s.gossip.MaxPeers()
	for ctx.Err() == nil {
		s.mu.Lock()
		send := s.state.Gossip(most)
		s.mu.Unlock()
		pause := gossipIdle
		if len(send.Addrs) > 0 {
			fill(send.Datagram, send.Limit, []Source{s.gossip.Source}, s.log)
			s.transmit(send)
			pause = s.gossip.pause(proto.Size(send.Datagram))
		}
		if !wait(ctx, pause) {
			return
		}
	}
}

// leastGossip is the body of a gossip datagram that tells of a few values.
const leastGossip = 80

// mostSilence is the longest time between two datagrams to one peer, in lives of what
// they tell.
const mostSilence = 3

// MaxPeers is the number of peers up to which gossip is sent.
func (g Gossip) MaxPeers() int {
	if g.TTL <= 0 {
		return maxMembers
	}
	return int(mostSilence * g.TTL / g.pause(leastGossip))
}

// pause is the time that a gossip datagram of so many bytes of body uses up.
func (g Gossip) pause(body int) time.Duration {
	return max(gossipGap, time.Duration(float64(body+packetOverhead)/float64(g.Budget)*float64(time.Second)))
}
