package capacity

import "math"

// Cost is what a role costs the node that it costs most. NaN means that a slope
// is not measured yet.
type Cost struct {
	// BytesPerSec counts both directions, without TCP, UDP and IP headers
	// except where a constant of the code counts them.
	BytesPerSec float64
	// CoreShare is processor time for a second.
	CoreShare   float64
	MemoryBytes float64
}

// Role is one of the system's jobs.
type Role struct {
	Name string
	// On says which nodes have it.
	On string
	// State and Messages say what it keeps and sends.
	State, Messages string
	// Mechanism carries it today; Next is the mechanism to come at the plan's
	// size, empty where today's does.
	Mechanism, Next string
	// Control tells whether it counts towards the control budget.
	Control bool
	Cost    func(Size) Cost
}

const micro, milli = 1e-6, 1e-3

var notMeasured = math.NaN()

// Intervals and bounds of the code, repeated here for the computation.
const (
	listEvery         = 5.0  // settings.DefaultVMListEvery, in seconds
	heartbeatBudget   = 2800 // membership.DefaultSendBudget, headers included
	heartbeatTargets  = 4.3  // three of the zone and 2 x 16 links among 25 nodes
	cachePollBudget   = 1500 // routing.DefaultCacheBytes
	prefixesAtMost    = 65_536
	tableFetchEvery   = 1.0 // grouping.DefaultRetry, in seconds
	tableFetchPeers   = 3
	rulesDeltaToPeers = 101 // docs/rules.md, a change of one line
)

// Roles lists all roles in the order of the page.
func Roles() []Role {
	return []Role{
		gatewayRole, rulesRole, membershipRole, healthRole, watcherRole, placementRole, listRole,
		routingRole, admissionRole, claimsRole, suspectsRole, ledgerRole,
	}
}

var gatewayRole = Role{
	Name: "callers' gateway", On: "each node",
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
	Name: "rules holder", On: "each node", Control: true,
	State:     "the rules in force, 10,000 lines assumed",
	Messages:  "a change's record to two watching nodes a zone, its edits from peer to peer",
	Mechanism: "revision on heartbeats, edits by connect-go, one watch on two nodes a zone",
	Cost: func(s Size) Cost {
		changes := s.ChangesPerDay / secondsPerDay
		return Cost{
			BytesPerSec: changes * (rulesRecord.Value + 2*rulesDeltaToPeers),
			CoreShare:   changes * rulesFollow.Value * milli,
			MemoryBytes: rulesMemory.Value,
		}
	},
}

var membershipRole = Role{
	Name: "membership", On: "each node", Control: true,
	State:     "all nodes: address, incarnation, newest heartbeat, revision",
	Messages:  "a heartbeat a second to three nodes of the zone; two nodes a zone hold each link to another zone; loads, marks and demands ride along",
	Mechanism: "authenticated datagrams on gnet within a fixed budget of bytes; news beyond it waits for later heartbeats",
	Cost: func(s Size) Cost {
		return Cost{
			BytesPerSec: 2 * heartbeatBudget,
			CoreShare:   heartbeatTargets * (datagramSeal.Value + datagramOpen.Value) * micro,
			MemoryBytes: notMeasured,
		}
	},
}

var healthRole = Role{
	Name: "health check and polls", On: "each node", Control: true,
	State:     "the zone's committed replicas, their newest confirmations and loads",
	Messages:  "polls of serving VMs; each node polls each replica of its zone, since a confirmation turns nearly old (2 s) when the next poll is due (2 s), before peers have told theirs",
	Mechanism: "HTTP polls; the serving VM's answer names all members",
	Next:      "polls of quiet replicas only, each by one node; a digest of all members in place of their list, also on ordinary answers; older confirmations accepted",
	Cost: func(s Size) Cost {
		polls := s.ReplicasPerZone() * pollsPerNode.Value
		return Cost{
			BytesPerSec: polls * pollBytes(s.VMsPerReplica),
			CoreShare:   polls * pollCPU.Value * micro,
			MemoryBytes: s.ReplicasPerZone() * healthMemory.Value,
		}
	},
}

// pollBytes is the line through the polls at 4 and 32 VMs.
func pollBytes(vms int) float64 {
	slope := (pollBytes32.Value - pollBytes4.Value) / (32 - 4)
	return pollBytes4.Value + slope*float64(vms-4)
}

var watcherRole = Role{
	Name: "grouping table", On: "each node; two nodes a zone watch the store", Control: true,
	State:     "the zone's committed replicas",
	Messages:  "a node that does not watch fetches the whole table from three peers each second, and serves as many fetches",
	Mechanism: "two watches of the store a zone; connect-go for the others",
	Next:      "the table's revision on heartbeats; a fetch only when it rises, of the replicas changed since",
	Cost: func(s Size) Cost {
		fetches := tableFetchPeers / tableFetchEvery
		return Cost{
			BytesPerSec: 2 * fetches * tableFetchBytes(s),
			CoreShare:   fetches * tableFetchCPU.Value * micro * s.ReplicasPerZone() * float64(s.VMsPerReplica) / (265 * 32),
			MemoryBytes: s.ReplicasPerZone() * tableMemory.Value,
		}
	},
}

// tableFetchBytes is the measured fetch next to the zone's size.
func tableFetchBytes(s Size) float64 {
	if s.VMsPerReplica < 32 {
		return tableFetch17.Value
	}
	slope := (tableFetch265.Value - tableFetch8.Value) / (265 - 8)
	return tableFetch8.Value + slope*(s.ReplicasPerZone()-8)
}

var placementRole = Role{
	Name: "placement lease holder", On: "one node a zone", Control: true,
	State:     "the zone's VMs and engines as last seen, the committed table",
	Messages:  "lease kept alive; for each regrouping one transaction and an order to each VM",
	Mechanism: "the store's lease, its key's create revision as fencing number; orders by HTTP",
	Next:      "after a takeover the holder reads the engines' states at the budget's rate",
	Cost: func(s Size) Cost {
		vms := float64(s.VMsPerReplica)
		return Cost{
			BytesPerSec: s.Regroupings() * (tableStored.Value + vms*orderBytes.Value),
			CoreShare:   notMeasured,
			MemoryBytes: notMeasured,
		}
	},
}

var listRole = Role{
	Name: "VM list", On: "each node", Control: true,
	State:     "all VMs of all zones",
	Messages:  "the whole list from the platform every 5 s",
	Mechanism: "HTTP read of the whole list by each node",
	Next:      "each node reads a page of its zone's part of the list and passes changes to peers by connect-go; needs a list that can be asked by zone and page",
	Cost: func(s Size) Cost {
		return Cost{
			BytesPerSec: s.VMs() * listBytes.Value / listEvery,
			CoreShare:   s.VMs() * listCPU.Value * micro / listEvery,
			MemoryBytes: 2 * s.VMs() * listMemory.Value,
		}
	},
}

var routingRole = Role{
	Name: "routing table", On: "each node", Control: true,
	State:     "the zone's replicas with loads and speeds; 65,536 prefixes",
	Messages:  "cache events of the zone's replicas, read in turn",
	Mechanism: "HTTP polls within a fixed budget of bytes; loads on polls and heartbeats",
	Next:      "each node reads its share of the replicas and passes new prefixes on, within 500 B/s",
	Cost: func(s Size) Cost {
		return Cost{
			BytesPerSec: cachePollBudget,
			CoreShare:   s.RequestsPerSecond / float64(s.Nodes) * chooseTime.Value * micro,
			MemoryBytes: s.ReplicasPerZone()*entryMemory.Value + prefixesAtMost*prefixMemory.Value,
		}
	},
}

var admissionRole = Role{
	Name: "admission", On: "each node", Control: true,
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
	Name: "claims", On: "the node that dispatches the call",
	State:     "claims in progress; in the store about 456 B a claim for its retention",
	Messages:  "at most two store calls a booking",
	Mechanism: "create-if-absent in batched transactions, one lease a time bucket",
	Next:      "beyond 20 bookings a second for a day: fingerprints appended by a fenced owner (docs/claims.md)",
	Cost:      func(Size) Cost { return Cost{notMeasured, notMeasured, notMeasured} },
}

var suspectsRole = Role{
	Name: "suspects", On: "each node", Control: true,
	State:     "fingerprints of requests in flight when a replica crashed; quarantines",
	Messages:  "marks on heartbeats, within membership's bytes; nudges from a fifth of its budget",
	Mechanism: "datagrams",
	Cost:      func(Size) Cost { return Cost{0, notMeasured, notMeasured} },
}

var ledgerRole = Role{
	Name: "ledger", On: "two nodes a zone", Control: true,
	State:     "open intervals, windows not written yet",
	Messages:  "a window every minute while anything is down",
	Mechanism: "windows appended to the store under their own keys",
	Cost: func(Size) Cost {
		const windowsMeasured, windowsAtMost = 370, 1440
		return Cost{
			BytesPerSec: ledgerBytes.Value * windowsAtMost / windowsMeasured / secondsPerDay,
			CoreShare:   notMeasured, MemoryBytes: notMeasured,
		}
	},
}

// Sum adds the control roles up, as if one node had them all; what is not
// measured counts as nothing.
func Sum(s Size) Cost {
	var sum Cost
	for _, r := range Roles() {
		if !r.Control {
			continue
		}
		c := r.Cost(s)
		sum.BytesPerSec += zeroIfUnknown(c.BytesPerSec)
		sum.CoreShare += zeroIfUnknown(c.CoreShare)
		sum.MemoryBytes += zeroIfUnknown(c.MemoryBytes)
	}
	return sum
}

func zeroIfUnknown(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return v
}
