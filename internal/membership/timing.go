package membership

import "time"

// Timing holds the intervals of the protocol. Zero fields take the defaults.
type Timing struct {
	// Interval is the time between two heartbeats of a node.
	Interval time.Duration
	// SuspectAfter and DeadAfter age members of the node's own zone.
	SuspectAfter, DeadAfter time.Duration
	// RemoteSuspectAfter and RemoteDeadAfter age members of other zones, whose
	// heartbeats arrive through third nodes and at longer intervals.
	RemoteSuspectAfter, RemoteDeadAfter time.Duration
	// ForgetAfter drops a dead member, except the last contactsPerZone of its zone.
	ForgetAfter time.Duration
}

// Defaults of Timing.
const (
	DefaultInterval        = time.Second
	DefaultSuspectAfter    = 8 * time.Second
	DefaultDeadAfter       = 16 * time.Second
	DefaultRemoteSuspectAfter = 45 * time.Second
	DefaultRemoteDeadAfter    = 90 * time.Second
	DefaultForgetAfter     = 10 * time.Minute
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.Interval, DefaultInterval)
	setDefault(&t.SuspectAfter, DefaultSuspectAfter)
	setDefault(&t.DeadAfter, DefaultDeadAfter)
	setDefault(&t.RemoteSuspectAfter, DefaultRemoteSuspectAfter)
	setDefault(&t.RemoteDeadAfter, DefaultRemoteDeadAfter)
	setDefault(&t.ForgetAfter, DefaultForgetAfter)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

const (
	// fanout is how many peers of its zone a node sends each heartbeat to. Three
	// reach 25 nodes in three rounds.
	fanout = 3
	// allToAll is the number of peers up to which each heartbeat goes to all.
	allToAll = 4
	// linkHolders is how many nodes of a zone talk to one other zone.
	linkHolders = 2
	// seedEvery is the number of heartbeats between two tries of a silent seed
	// once a peer of the zone is alive; before, seedsAtOnce are tried with each.
	seedEvery   = 5
	seedsAtOnce = 3
	// contactsPerZone members of a zone are never forgotten, so that a zone cut
	// off for long is found again.
	contactsPerZone = 3
	// maxMembers bounds the table: more than twice the nodes of the largest plan.
	maxMembers = 1024
)

// Budget of bytes, IP and UDP headers included.
const (
	// DefaultSendBudget is what a node sends a second in heartbeats and nudges. As
	// it receives as much, it stays below 6 KB/s in all.
	DefaultSendBudget = 2800
	// nudgeShare of the budget is kept for nudges.
	nudgeShare = 0.2
	// nudgeBurst is for how many seconds unused nudge budget is kept.
	nudgeBurst = 30.0
	// joinTicks is for how many heartbeats after its start a node may spend
	// joinFactor times the budget. Until it knows its zone it may take duties that
	// others hold already, and after an outage all nodes start at once.
	joinTicks  = 8
	joinFactor = 3
	// packetOverhead is the IPv4 and UDP headers and the authenticated header.
	packetOverhead = 28 + 21
	// minBody is the least room given to a datagram; more targets than the
	// budget allows at this size are left for later heartbeats.
	minBody = 230
	// nudgeBody bounds the body of a nudge.
	nudgeBody = 420
)
