package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Status is what a node believes of another one.
type Status int

// A member is Unconfirmed until its heartbeat is seen to rise: an entry alone may
// speak of a node that died long ago.
const (
	Unconfirmed Status = iota
	Alive
	Suspect
	Dead
)

// String returns the status as it appears in logs.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "unproved"
	}
}

// Member is another node as seen from this one.
type Member struct {
	Node         cluster.NodeID
	Zone         cluster.ZoneID
	Incarnation  uint64
	DatagramAddr string
	// PeerAddr is the ip:port of its connect-go services.
	PeerAddr string
	Status   Status
	Leaving  bool
	// RulesRevision is the revision in force there when it was last heard.
	RulesRevision int64
	// HeardAgo is the time since its heartbeat last rose here, by whichever path;
	// negative when it never did.
	HeardAgo time.Duration
	// DirectAgo is the time since a datagram of its own arrived; negative when none did.
	DirectAgo time.Duration
}

// member is an entry of State.
type member struct {
	node         cluster.NodeID
	zone         cluster.ZoneID
	incarnation  uint64
	datagramAddr string
	peerAddr     string
	beatID       uint32
	// sequence is the newest known; heard is when it last rose.
	sequence uint64
	heard    time.Time
	direct   time.Time
	added    time.Time
	leaving  bool
	revision int64
	status   Status
	// sentTo is the number of the heartbeat last sent to it.
	sentTo uint64
	// gossipedAt is the number of the gossip datagram last sent to it.
	gossipedAt uint64
	// toldEntry and toldBeat are the numbers of the heartbeats that last carried
	// its entry and its beat.
	toldEntry, toldBeat uint64
	// entryTells counts the heartbeats that carried its entry since it changed.
	entryTells int
}

// beatID names one incarnation of a node in four bytes. Should two nodes ever
// share an id, only the first is passed on, and the other one's heartbeats count
// when they arrive directly.
func beatID(node cluster.NodeID, incarnation uint64) uint32 {
	var d xxhash.Digest
	d.ResetWithSeed(incarnation)
	_, _ = d.WriteString(string(node))
	return uint32(d.Sum64())
}

func (m *member) view(now time.Time) Member {
	return Member{
		Node:          m.node,
		Zone:          m.zone,
		Incarnation:   m.incarnation,
		DatagramAddr:  m.datagramAddr,
		PeerAddr:      m.peerAddr,
		Status:        m.status,
		Leaving:       m.leaving,
		RulesRevision: m.revision,
		HeardAgo:      ago(m.heard, now),
		DirectAgo:     ago(m.direct, now),
	}
}

func ago(t, now time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t)
}

func (m *member) entry() *wirepb.Member {
	return &wirepb.Member{
		Node:          string(m.node),
		Zone:          string(m.zone),
		Incarnation:   m.incarnation,
		DatagramAddr:  m.datagramAddr,
		PeerAddr:      m.peerAddr,
		Sequence:      m.sequence,
		Leaving:       m.leaving,
		RulesRevision: m.revision,
	}
}
