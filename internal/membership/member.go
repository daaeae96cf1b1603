package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Status is a node's view of another node.
type Status int

// A member is Unconfirmed until its heartbeat sequence is seen to increase, since an entry
// alone may describe a node that failed long ago.
const (
	Unconfirmed Status = iota
	Alive
	Suspect
	Dead
)

// String returns the status as written to logs and metrics.
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
	// RulesRevision is the revision in force on the node at its last known heartbeat.
	RulesRevision int64
	// HeardAgo is the time since a new heartbeat of the node arrived, directly or through
	// other nodes; negative if none did.
	HeardAgo time.Duration
	// DirectAgo is the time since a datagram arrived from the node itself; negative if none
	// did.
	DirectAgo time.Duration
}

// member is what State knows about another node.
type member struct {
	node         cluster.NodeID
	zone         cluster.ZoneID
	incarnation  uint64
	datagramAddr string
	peerAddr     string
	beatID       uint32
	// sequence is the highest known; heard is when it last increased.
	sequence uint64
	heard    time.Time
	direct   time.Time
	added    time.Time
	leaving  bool
	revision int64
	status   Status
	// sentTick is the number of the last heartbeat sent to it.
	sentTick uint64
	// lastGossip is the number of the last gossip datagram sent to it.
	lastGossip uint64
	// entrySentTick and beatSentTick are the numbers of the heartbeats that last carried
	// its entry and its sequence.
	entrySentTick, beatSentTick uint64
	// entrySends counts the heartbeats that carried its entry since its last change.
	entrySends int
}

// beatID identifies one incarnation of a node in four bytes. If the ids of two nodes
// collide, only the first node's heartbeats are forwarded, and the other's count when they
// arrive directly.
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
