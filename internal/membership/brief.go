package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Briefs tell the peers of the zone one source's news between the heartbeats.
//
// What a node runs on a replica is old news after a few hundred milliseconds: a request
// takes about a second. Nodes that hear of each other once a second send the same
// replica more than it can take, and its callers wait while others idle. One notices
// late first pieces under a load that the replicas could bear. So the news goes out as
// often as its bytes allow: with four nodes and twice the usual calls 0.89 of the calls'
// worth is earned, with news once a second 0.80 (load player, overload).
type Briefs struct {
	Source Source
	// Budget is bytes per second, IP and UDP headers included. The fewer the peers, the
	// more often each hears.
	Budget int
}

const (
	// briefGap is the least time between two briefs.
	briefGap = 25 * time.Millisecond
	// briefRest is the time until the next look while nobody is there to be told.
	briefRest = 250 * time.Millisecond
	// briefBody bounds the body of a brief.
	briefBody = 400
)

// Brief decides whom the next brief goes to: the live peer of the zone that was told
// longest ago. An empty Addrs means that there is none.
func (s *State) Brief() Send {
	if s.namesake.superseded || s.self.Leaving {
		return Send{}
	}
	var next *member
	for _, m := range s.order {
		if s.inOwnZone(m) && m.status == Alive && (next == nil || m.briefed < next.briefed) {
			next = m
		}
	}
	if next == nil {
		return Send{}
	}
	s.briefs++
	next.briefed = s.briefs
	d := &wirepb.Datagram{Node: string(s.self.Node), Zone: string(s.self.Zone), Incarnation: s.self.Incarnation, Brief: true}
	return Send{Addrs: []string{next.datagramAddr}, Datagram: d, Limit: briefBody}
}

// knows returns the live member that sent a brief. A brief of a process that no
// heartbeat was heard of says nothing: there is no address to answer to.
func (s *State) knows(d *wirepb.Datagram, now time.Time) (Member, bool) {
	m := s.members[cluster.NodeID(d.Node)]
	if m == nil || m.incarnation != d.Incarnation {
		return Member{}, false
	}
	return m.view(now), true
}

// brief tells one peer after the other until ctx ends.
func (s *Service) brief(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		send := s.state.Brief()
		s.mu.Unlock()
		rest := briefRest
		if len(send.Addrs) > 0 {
			fill(send.Datagram, send.Limit, []Source{s.briefs.Source}, s.log)
			s.transmit(send)
			rest = s.briefs.rest(proto.Size(send.Datagram))
		}
		if !wait(ctx, rest) {
			return
		}
	}
}

// rest is the time that a brief of so many bytes of body uses up.
func (b Briefs) rest(body int) time.Duration {
	return max(briefGap, time.Duration(float64(body+packetOverhead)/float64(b.Budget)*float64(time.Second)))
}
