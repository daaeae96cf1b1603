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
// sent one longest ago. An empty Addrs means that there is none.
func (s *State) Gossip() Send {
	if s.namesake.superseded || s.self.Leaving {
		return Send{}
	}
	var next *member
	for _, m := range s.order {
		if s.inOwnZone(m) && m.status == Alive && (next == nil || m.gossipedAt < next.gossipedAt) {
			next = m
		}
	}
	if next == nil {
		return Send{}
	}
	s.gossiped++
	next.gossipedAt = s.gossiped
	d := &wirepb.Datagram{Node: string(s.self.Node), Zone: string(s.self.Zone), Incarnation: s.self.Incarnation, Brief: true}
	return Send{Addrs: []string{next.datagramAddr}, Datagram: d, Limit: gossipBody}
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
	for ctx.Err() == nil {
		s.mu.Lock()
		send := s.state.Gossip()
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

// pause is the time that a gossip datagram of so many bytes of body uses up.
func (g Gossip) pause(body int) time.Duration {
	return max(gossipGap, time.Duration(float64(body+packetOverhead)/float64(g.Budget)*float64(time.Second)))
}
