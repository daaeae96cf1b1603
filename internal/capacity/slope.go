package capacity

// Slope is one measured figure that the computation multiplies with a size.
type Slope struct {
	Name  string
	Value float64
	Unit  string
	// Command measured it, on the Date; both are empty while it is not measured yet.
	Command, Date string
}

// Measured reports whether there is a figure.
func (s Slope) Measured() bool { return s.Command != "" }

// Commands that measured the slopes.
const (
	goBench    = "go test -run xxx -bench "
	cmdPolls   = goBench + "'HealthPoll|GroupingFetch|Order|ReplicaStatus' -benchtime 300x ./internal/capacity"
	cmdMemory  = goBench + "'Memory|VMList' -benchtime 10x ./internal/capacity"
	cmdNodes   = goBench + "Nodes -benchtime 1x ./internal/capacity"
	cmdServing = goBench + "'Serving|HeldStreams' -benchtime 1x ./internal/capacity"
	cmdGateway = goBench + "'AddedTime|Requests|Take' -benchtime 300x ./internal/gateway"
	cmdWire    = goBench + "'Seal|Open' -benchtime 100000x ./internal/wire"
	cmdRouting = goBench + "Choose -benchtime 2000x ./internal/routing"
	cmdTable   = goBench + "TableMemory -benchtime 3x ./internal/routing"
	cmdAcquire = goBench + "Acquire -benchtime 20000x ./internal/admission"
	cmdRules   = goBench + "'Parse|SetMemory' -benchtime 20x ./internal/rules"
	cmdFollow  = goBench + "FollowChange -benchtime 20x ./internal/rulestore"
	cmdClaim   = goBench + "Claim -benchtime 3000x ./internal/claims"
	cmdLedger  = goBench + "Month -benchtime 10x ./internal/ledger"

	measuredOn = "2026-12-02"
)

// Slopes. All were measured on one machine of 12 cores that other work shared,
// so times are upper ends; bytes and counts do not depend on that.
var (
	requestCPU    = Slope{"gateway: a node's processor time for a request, without its tokens", 632, "µs", cmdServing, measuredOn}
	tokenCPU      = Slope{"gateway: a node's processor time for a token", 39.6, "µs", cmdServing, measuredOn}
	streamMemory  = Slope{"gateway: a node's resident memory for an open stream", 82_600, "B", cmdServing, measuredOn}
	addedFirst    = Slope{"gateway: added to the first token, median", 455, "µs", cmdGateway, measuredOn}
	addedToken    = Slope{"gateway: added to a token, median", 48, "µs", cmdGateway, measuredOn}
	allRequests   = Slope{"gateway: caller, node and engine in one process, answers of 16 tokens on 12 cores", 4217, "requests/s", cmdGateway, measuredOn}
	takeEvent     = Slope{"gateway: checking an event, without sockets", 2.9, "µs", cmdGateway, measuredOn}
	idleCPU       = Slope{"node: processor time of an idle node, 8 nodes and 2 replicas of 2 VMs in its zone", 5.3, "ms/s", cmdNodes, measuredOn}
	idleMemory    = Slope{"node: resident memory of an idle node", 24.7e6, "B", cmdNodes, measuredOn}
	datagrams8    = Slope{"membership: datagrams sent by a node of 8 in one zone, without IP and UDP headers", 900, "B/s", cmdNodes, measuredOn}
	datagramSeal  = Slope{"membership: signing a datagram", 3.2, "µs", cmdWire, measuredOn}
	datagramOpen  = Slope{"membership: checking a datagram", 4.0, "µs", cmdWire, measuredOn}
	statusBytes   = Slope{"membership: what a heartbeat says of one replica", 45, "B", cmdPolls, measuredOn}
	memberMemory  = Slope{Name: "membership: memory of a member", Unit: "B"}
	pollBytes2    = Slope{"health check: a poll, 2 VMs", 928, "B", cmdPolls, measuredOn}
	pollBytes4    = Slope{"health check: a poll, 4 VMs", 1229, "B", cmdPolls, measuredOn}
	pollBytes32   = Slope{"health check: a poll, 32 VMs", 5470, "B", cmdPolls, measuredOn}
	pollCPU       = Slope{"health check: time of a poll, 32 VMs, both ends", 243, "µs", cmdPolls, measuredOn}
	pollsPerNode  = Slope{"health check: polls of each replica by each node of its zone, the same with 2, 4 and 8 nodes", 0.425, "/s", cmdNodes, measuredOn}
	healthMemory  = Slope{"health check: memory of a replica, 32 VMs, its members' names included", 1924, "B", cmdMemory, measuredOn}
	tableFetch265 = Slope{"grouping table: a fetch from a peer, 265 replicas of 32 VMs, gzip by connect-go", 25_084, "B", cmdPolls, measuredOn}
	tableFetch8   = Slope{"grouping table: a fetch from a peer, 8 replicas of 32 VMs", 1231, "B", cmdPolls, measuredOn}
	tableFetch17  = Slope{"grouping table: a fetch from a peer, 17 replicas of 4 VMs", 905, "B", cmdPolls, measuredOn}
	tableFetchCPU = Slope{"grouping table: time of a fetch, 265 replicas of 32 VMs, both ends", 3379, "µs", cmdPolls, measuredOn}
	tableStored   = Slope{"grouping table: a replica of 32 VMs in the store", 823, "B", cmdMemory, measuredOn}
	tableMemory   = Slope{"grouping table: memory of a replica of 32 VMs", 1475, "B", cmdMemory, measuredOn}
	listBytes     = Slope{"VM list: a VM in a read", 105.3, "B", cmdMemory, measuredOn}
	listCPU       = Slope{"VM list: processor time of a read, for a VM, at 144,000", 2.53, "µs", cmdMemory, measuredOn}
	listMemory    = Slope{"VM list: memory of a VM", 184.4, "B", cmdMemory, measuredOn}
	storeCalls    = Slope{"platform store: calls of an idle zone of 8 nodes (2.00 with 4, 1.47 with 2)", 2.07, "/s", cmdNodes, measuredOn}
	orderBytes    = Slope{"placement: an order to a VM of a replica of 32", 4836, "B", cmdPolls, measuredOn}
	planTime      = Slope{Name: "placement: a plan for 265 replicas of 32 VMs", Unit: "ms"}
	rulesMemory   = Slope{"rules: memory of 10,000 lines", 6.1e6, "B", cmdRules, measuredOn}
	rulesParse    = Slope{"rules: checking 10,000 lines", 18.2, "ms", cmdRules, measuredOn}
	rulesFollow   = Slope{"rules: taking a change of one line among 10,000 into force", 15.7, "ms", cmdFollow, measuredOn}
	rulesRecord   = Slope{"rules: a change of one line, record to a watching node", 404, "B", "go test -v -run Bytes ./internal/rulestore", measuredOn}
	chooseTime    = Slope{"routing: choosing among 4,500 replicas", 2.9, "µs", cmdRouting, measuredOn}
	entryMemory   = Slope{"routing: memory of a replica", 966, "B", cmdTable, measuredOn}
	prefixMemory  = Slope{"routing: memory of a known prefix", 212, "B", cmdTable, measuredOn}
	acquireTime   = Slope{"admission: a free slot, 100 teams", 3.3, "µs", cmdAcquire, measuredOn}
	teamMemory    = Slope{Name: "admission: memory of a team", Unit: "B"}
	claimBytes    = Slope{"claims: bytes in the store of a claim as in the benchmark (487 with an answer of 200 B, docs/claims.md)", 456, "B", cmdClaim, measuredOn}
	claimCalls    = Slope{"claims: store calls of a claim, one caller (0.026 with 128)", 1.19, "calls", cmdClaim, measuredOn}
	claimMemory   = Slope{Name: "claims: memory of a claim in progress", Unit: "B"}
	ledgerBytes   = Slope{"ledger: an observer's day with ten outages of ten minutes, 370 windows", 107_441, "B", cmdLedger, measuredOn}
	suspectMemory = Slope{Name: "suspects: memory of a record", Unit: "B"}
)

// Slopes lists all of them in the order of the page.
func Slopes() []Slope {
	return []Slope{
		requestCPU, tokenCPU, streamMemory, addedFirst, addedToken, allRequests, takeEvent,
		idleCPU, idleMemory, datagrams8, datagramSeal, datagramOpen, statusBytes, memberMemory,
		pollBytes2, pollBytes4, pollBytes32, pollCPU, pollsPerNode, healthMemory,
		tableFetch17, tableFetch8, tableFetch265, tableFetchCPU, tableStored, tableMemory,
		listBytes, listCPU, listMemory, storeCalls, orderBytes, planTime,
		rulesMemory, rulesParse, rulesFollow, rulesRecord,
		chooseTime, entryMemory, prefixMemory, acquireTime, teamMemory,
		claimBytes, claimCalls, claimMemory, ledgerBytes, suspectMemory,
	}
}
