package membership

import "time"

// Timing holds the intervals of the protocol. Zero fields take the defaults.
type Timing struct {
	// Interval is the time between two heartbeats of a node.
	Interval time.Duration
	// SuspectAfter and DeadAfter are the silence limits for members of the own zone.
	SuspectAfter, DeadAfter time.Duration
	// RemoteSuspectAfter and RemoteDeadAfter are the silence limits for members of other
	// zones, whose heartbeats arrive through other nodes and at longer intervals.
	RemoteSuspectAfter, RemoteDeadAfter time.Duration
	// ForgetAfter is the silence after which a dead member is removed, except for the last
	// contactsPerZone members of a zone.
	ForgetAfter time.Duration
}

// Defaults of Timing.
const (
	DefaultInterval           = time.Second
	DefaultSuspectAfter       = 8 * time.Second
	DefaultDeadAfter          = 16 * time.Second
	DefaultRemoteSuspectAfter = 45 * time.Second
	DefaultRemoteDeadAfter    = 90 * time.Second
	DefaultForgetAfter        = 10 * time.Minute
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
	// fanout is the number of peers of the zone that each heartbeat is sent to. With three,
	// a heartbeat reaches 25 nodes in three rounds.
	fanout = 3
	// allToAll is the number of peers up to which each heartbeat is sent to all of them.
	allToAll = 4
	// nodesPerLink is the number of nodes of a zone that send heartbeats to one other zone.
	nodesPerLink = 2
	// seedRetryTicks is the number of heartbeats between two attempts to reach a silent seed
	// once a peer of the zone is alive. Before that, each heartbeat is sent to
	// seedsPerHeartbeat seeds.
	seedRetryTicks = 5
	// probeTicks is the number of heartbeats between two that a dead member gets.
	probeTicks        = 3
	seedsPerHeartbeat = 3
	// contactsPerZone is the number of members of a zone that are never removed, so that a
	// zone is found again after a long partition.
	contactsPerZone = 3
	// maxMembers limits the member table to more than twice the nodes of the largest
	// planned system.
	maxMembers = 1024
)

// Bandwidth budget, including IP and UDP headers.
const (
	// DefaultSendBudget is the limit for regular and extra heartbeats, in bytes per second.
	// A node receives about as much as it sends, so its total stays below 6 KB/s.
	DefaultSendBudget = 2800
	// extraShare is the share of the budget reserved for extra heartbeats.
	extraShare = 0.2
	// extraBurst is the number of seconds for which unused budget for extra heartbeats accumulates.
	extraBurst = 30.0
	// joinTicks is the number of heartbeats after its start for which a node may use
	// joinFactor times the budget, and further ones up to joinTime while it gets to know others within
	// settleTime. Until it knows its zone it may take tasks that other nodes already have, and
	// after an outage all nodes start at once.
	joinTicks  = 8
	joinFactor = 3
	joinTime   = 30 * time.Second
	settleTime = 4 * time.Second
	// joinBody is the least size limit of a datagram meanwhile: with larger datagrams, less of the
	// budget goes into their heads.
	joinBody = 600
	// packetOverhead is the size of the IPv4 and UDP headers and of the authenticated
	// header.
	packetOverhead = 28 + 21
	// minBody is the minimum size limit of a datagram body, in bytes. Targets beyond what
	// the budget allows at this size are left for later heartbeats.
	minBody = 230
	// maxExtraBody limits the body of an extra heartbeat, in bytes.
	maxExtraBody = 420
)
