package capacity

import "math"

// Cost is the cost of a role on the node with the highest cost. NaN means that a slope
// has not been measured.
type Cost struct {
	BytesPerSec float64

	CoreShare   float64
	MemoryBytes float64
}

// Role is one of the functions that the system's nodes perform.
type Role struct {
	Name string

	RunsOn string

	State, Messages string

	Mechanism, PlannedMechanism string

	Serving, Control bool
	Cost             func(Size) Cost
}

const micro, milli = 1e-6, 1e-3

var notMeasured = math.NaN()

// Intervals and bounds of other packages, copied for the computation.
const (
	listReadInterval     = 5.0  // settings.DefaultVMListEvery, in seconds
	heartbeatTargets     = 4.3  // three in the zone, and 2 x 16 links to other zones spread over 25 nodes
	cachePollBudget      = 1500 // routing.DefaultCacheBytesPerSecond
	maxPrefixes          = 65_536
	tableFetchInterval   = 1.0      // grouping.DefaultRetry, in seconds
	healthTicksPerSecond = 4        // ticks of health per second; each looks up the duty node of every replica
	ownPollDelay         = 16.0 / 3 // two thirds of health.DefaultMaxAge, in seconds
	quietPollInterval    = 3.0      // health's PollQuiet, in seconds
	zoneFanout           = 3        // membership's fanout
	listReaders          = 2.0      // nodes of a zone that read the VM list
	directReadInterval   = 30.0     // vmlist.FallbackInterval, in seconds
	maxPeerMessage       = 2 << 20
)

// Roles returns all roles in the order of the page.
func Roles() []Role {
	return []Role{
		gatewayRole, rulesRole, membershipRole, healthRole, watcherRole, placementRole, listRole, listFollowerRole,
		routingRole, admissionRole, claimsRole, suspectsRole, ledgerRole,
	}
}

var gatewayRole = Role{
	Name: "callers' gateway", RunsOn: "each node", Serving: true,
	State:     "open streams, each with its connections and buffers",
	Messages:  "requests and answers of callers and engines; no control traffic",
	Mechanism: "HTTP by net/http on both sides, one pool of connections a VM",
	Cost: func(s Size) Cost {
		nodes := float64(s.Nodes)
		return Cost{
			CoreShare:   (s.RequestsPerSecond*requestCPU.Value + s.TokensPerSecond*tokenCPU.Value) * micro / nodes,
			MemoryBytes: s.OpenStreams() * streamMemory.Value / nodes,
		}
	},
}

var rulesRole = Role{
	Name: "rules holder", RunsOn: "each node", Control: true,
	State:     "the rules in force, 10,000 lines assumed",
	Messages:  "a change's record to two watching nodes a zone, its edits from peer to peer",
	Mechanism: "revision on heartbeats, edits by connect-go, one watch on two nodes a zone",
	Cost: func(s Size) Cost {
		changes := s.ChangesPerDay / secondsPerDay
		return Cost{
			BytesPerSec: changes * (rulesRecord.Value + 2*rulesDelta.Value),
			CoreShare:   changes * rulesFollow.Value * milli,
			MemoryBytes: rulesMemory.Value,
		}
	},
}

var membershipRole = Role{
	Name: "membership", RunsOn: "each node", Control: true,
	State:     "all nodes: address, incarnation, newest heartbeat, revision",
	Messages:  "a heartbeat a second to three nodes of the zone; two nodes a zone hold each link to another zone; loads, marks and demands ride along",
	Mechanism: "authenticated datagrams on gnet within a fixed budget of bytes; news beyond it waits for later heartbeats",
	Cost: func(s Size) Cost {
		return Cost{
			BytesPerSec: 2 * heartbeatBytes.Value,
			CoreShare:   (memberTick.Value + heartbeatTargets*(datagramSeal.Value+datagramOpen.Value)) * micro,
			MemoryBytes: float64(s.Nodes) * memberMemory.Value,
		}
	},
}

var healthRole = Role{
	Name: "health check and polls", RunsOn: "each node", Control: true,
	State:            "the zone's committed replicas, their newest confirmations and loads",
	Messages:         "a brief poll of each replica's serving VM every 3 s by one node of its zone, and by each other node that no peer has told for 5.3 s: beyond 8 nodes a zone that is nearly all",
	Mechanism:        "HTTP polls answered by a digest of all members; confirmations on ordinary answers and on heartbeats",
	PlannedMechanism: "heartbeats pass confirmations on, as they do heartbeats, and code them as lists of numbers; a duty looked up once a change of members",
	Cost: func(s Size) Cost {
		polls := s.ReplicasPerZone() * pollsNode.Value
		return Cost{
			BytesPerSec: polls * pollBrief.Value,
			CoreShare:   (polls*pollCPU.Value + healthTicksPerSecond*s.ReplicasPerZone()*dutyTime.Value) * micro,
			MemoryBytes: s.ReplicasPerZone() * healthMemory.Value,
		}
	},
}

// maxReportableReplicas returns the number of replicas whose status a node can send to all
// nodes of its zone before these poll the replicas themselves.
func (s Size) maxReportableReplicas() float64 {
	statuses := math.Floor(heartbeatFreeBytes.Value / statusBytes.Value)
	return statuses * zoneFanout * ownPollDelay / (s.NodesPerZone() - 1)
}

var watcherRole = Role{
	Name: "grouping table and its watchers", RunsOn: "each node; two nodes a zone watch the store", Control: true,
	State:            "the zone's committed replicas",
	Messages:         "a node that does not watch asks one peer each second, is asked as often, and gets the whole table after a change",
	Mechanism:        "two watches of the store a zone; connect-go for the others, by revision",
	PlannedMechanism: "the table's revision on heartbeats; a question only when it rises, answered by the replicas changed since",
	Cost: func(s Size) Cost {
		fetches := 1 / tableFetchInterval
		return Cost{
			BytesPerSec: 2 * (fetches*tableUnchangedFetch.Value + s.Regroupings()*tableFetchBytes(s)),
			CoreShare:   fetches * tableUnchangedCPU.Value * micro,
			MemoryBytes: s.ReplicasPerZone() * tableMemory.Value,
		}
	},
}

// tableFetchBytes interpolates the size of a zone's table linearly between the measured tables
// of 8 and 265 replicas of 32 VMs.
func tableFetchBytes(s Size) float64 {
	slope := (tableFetch265.Value - tableFetch8.Value) / (265 - 8)
	return tableFetch8.Value + slope*(s.ReplicasPerZone()-8)
}

var placementRole = Role{
	Name: "placement lease holder", RunsOn: "one node a zone", Control: true,
	State:            "the zone's VMs and engines as last seen, the committed table",
	Messages:         "lease kept alive; for each regrouping one transaction and an order to each VM",
	Mechanism:        "the store's lease, its key's create revision as fencing token; orders by HTTP",
	PlannedMechanism: "after a takeover the holder reads the engines' states at the budget's rate",
	Cost: func(s Size) Cost {
		vms := float64(s.VMsPerReplica)
		return Cost{
			BytesPerSec: s.Regroupings() * (tableStored.Value + vms*orderBytes.Value),
			CoreShare:   planTime.Value * milli * s.ReplicasPerZone() / 265,
			MemoryBytes: notMeasured,
		}
	},
}

const listNext = "each node reads a page of its zone's part of the list and passes changes to peers; needs a list that can be asked by zone and page, or by changes"

var listRole = Role{
	Name: "VM list, a reader", RunsOn: "two nodes a zone", Control: true,
	State:            "all VMs of all zones",
	Messages:         "the whole list from the platform every 5 s",
	Mechanism:        "HTTP read of the whole list",
	PlannedMechanism: listNext,
	Cost: func(s Size) Cost {
		return Cost{
			BytesPerSec: s.VMs() * listBytes.Value / listReadInterval,
			CoreShare:   s.VMs() * (listCPU.Value + listSumCPU.Value) * micro / listReadInterval,
			MemoryBytes: 2 * s.VMs() * listMemory.Value,
		}
	},
}

// listFollowerRole is not part of the sum, since a node either reads the list itself
// (listRole) or fetches it from a peer.
var listFollowerRole = Role{
	Name: "VM list, another node", RunsOn: "the others",
	State:            "the same",
	Messages:         "a question to a peer every 5 s, by the sum of the VMs; the whole list after each change of any VM, as long as it fits a message of 2 MiB, else from the platform every 30 s",
	Mechanism:        "connect-go",
	PlannedMechanism: listNext,
	Cost: func(s Size) Cost {
		perSecond := 2 * (listUnchangedFetch.Value/listReadInterval + s.listChangesPerSecond()*s.VMs()*listPeerBytes.Value)
		if s.VMs()*listMessage.Value > maxPeerMessage {
			perSecond = s.VMs() * listBytes.Value / directReadInterval
		}
		return Cost{
			BytesPerSec: perSecond,
			CoreShare:   2 * s.VMs() * listSumCPU.Value * micro / listReadInterval,
			MemoryBytes: 2 * s.VMs() * listMemory.Value,
		}
	},
}

// listChangesPerSecond returns the number of changes of the VM list per second: each
// failure or restart removes a VM from the list and later adds one.
func (s Size) listChangesPerSecond() float64 {
	return 2 * (s.VMFailuresPerDay + s.VMRestartsPerDay) / secondsPerDay
}

var routingRole = Role{
	Name: "routing table", RunsOn: "each node", Control: true,
	State:            "the zone's replicas with loads and speeds; 65,536 prefixes",
	Messages:         "cache events of the zone's replicas, read in turn",
	Mechanism:        "HTTP polls within a fixed budget of bytes; loads on polls and heartbeats",
	PlannedMechanism: "each node reads its share of the replicas and passes new prefixes on, within 500 B/s",
	Cost: func(s Size) Cost {
		return Cost{
			BytesPerSec: cachePollBudget,
			CoreShare:   s.RequestsPerSecond / float64(s.Nodes) * chooseTime.Value * micro,
			MemoryBytes: s.ReplicasPerZone()*entryMemory.Value + maxPrefixes*prefixMemory.Value,
		}
	},
}

var admissionRole = Role{
	Name: "admission", RunsOn: "each node", Control: true,
	State:     "queues and demand by team; other nodes' demand",
	Messages:  "demand by team on heartbeats, within membership's bytes",
	Mechanism: "datagrams; shares computed by each node alone",
	Cost: func(s Size) Cost {
		return Cost{
			CoreShare:   s.RequestsPerSecond / float64(s.Nodes) * acquireTime.Value * micro,
			MemoryBytes: notMeasured,
		}
	},
}

var claimsRole = Role{
	Name: "claims", RunsOn: "the node that dispatches the call", Serving: true,
	State:            "claims in progress; in the store about 456 B a claim for its retention",
	Messages:         "at most two store calls a booking",
	Mechanism:        "create-if-absent in batched transactions, one lease a time bucket",
	PlannedMechanism: "beyond 20 bookings a second for a day: fingerprints appended by a fenced owner (docs/claims.md)",
	Cost:             func(Size) Cost { return Cost{notMeasured, notMeasured, notMeasured} },
}

var suspectsRole = Role{
	Name: "suspects", RunsOn: "each node", Control: true,
	State:     "fingerprints of requests in flight when a replica crashed; quarantines",
	Messages:  "marks on heartbeats, within membership's bytes; nudges from a fifth of its budget",
	Mechanism: "datagrams",
	Cost: func(s Size) Cost {
		return Cost{CoreShare: s.RequestsPerSecond / float64(s.Nodes) * suspectTime.Value * micro, MemoryBytes: notMeasured}
	},
}

var ledgerRole = Role{
	Name: "ledger", RunsOn: "two nodes a zone", Control: true,
	State:     "open intervals, windows not written yet",
	Messages:  "a window every minute while anything is down",
	Mechanism: "windows appended to the store under their own keys",
	Cost: func(Size) Cost {
		const windowsMeasured, maxWindows = 370, 1440
		return Cost{
			BytesPerSec: ledgerBytes.Value * maxWindows / windowsMeasured / secondsPerDay,
			CoreShare:   notMeasured, MemoryBytes: notMeasured,
		}
	},
}

// Sum returns the total cost of the control roles on a node that performs all of them.
// Costs that have not been measured count as zero.
func Sum(s Size) Cost {
	var sum Cost
	for _, r := range Roles() {
		if !r.Control {
			continue
		}
		c := r.Cost(s)
		sum.BytesPerSec += zeroIfUnmeasured(c.BytesPerSec)
		sum.CoreShare += zeroIfUnmeasured(c.CoreShare)
		sum.MemoryBytes += zeroIfUnmeasured(c.MemoryBytes)
	}
	return sum
}

func zeroIfUnmeasured(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return v
}
