package capacity

// Slope is a measured unit cost that the computation multiplies with a size.
type Slope struct {
	Name  string
	Value float64
	Unit  string

	Command, Date string
}

// Measured reports whether the slope has been measured.
func (s Slope) Measured() bool { return s.Command != "" }

// Commands that measured the slopes.
const (
	goBench       = "go test -run xxx -bench "
	cmdPolls      = goBench + "'HealthPoll|GroupingFetch|Order|ReplicaStatus' -benchtime 300x ./internal/capacity"
	cmdMemory     = goBench + "'Memory|VMList$' -benchtime 10x ./internal/capacity"
	cmdLists      = goBench + "'VMListFetch|VMListSum' -benchtime 10x ./internal/capacity"
	cmdMembership = goBench + "'Tick|Receive|Responsible' -benchtime 2000x ./internal/membership"
	cmdHeartbeat  = goBench + "Heartbeat -benchtime 400x ./internal/capacity"
	cmdControl    = "go run ./cmd/controlbench cost --nodes 4,8,16,25,50 --seconds 10"
	cmdPlan       = goBench + "Plan -benchtime 20x ./internal/placement"
	cmdStreams    = goBench + "OpenStreams -benchtime 3x ./internal/gateway"
	cmdSuspect    = goBench + "Innocent -benchtime 20000x ./internal/suspect"
	cmdDelta      = "go test -v -run Bytes ./internal/rulestore"
	cmdNodes      = goBench + "Nodes -benchtime 1x ./internal/capacity"
	cmdServing    = goBench + "'Serving|HeldStreams' -benchtime 1x ./internal/capacity"
	cmdGateway    = goBench + "'AddedTime|Requests|HandleEvent' -benchtime 300x ./internal/gateway"
	cmdWire       = goBench + "'Seal|Open' -benchtime 100000x ./internal/wire"
	cmdRouting    = goBench + "Choose -benchtime 2000x ./internal/routing"
	cmdTable      = goBench + "TableMemory -benchtime 3x ./internal/routing"
	cmdAcquire    = goBench + "Acquire -benchtime 20000x ./internal/admission"
	cmdRules      = goBench + "'Parse|SetMemory' -benchtime 20x ./internal/rules"
	cmdFollow     = goBench + "FollowChange -benchtime 20x ./internal/rulestore"
	cmdClaim      = goBench + "Claim -benchtime 3000x ./internal/claims"
	cmdLedger     = goBench + "Month -benchtime 10x ./internal/ledger"

	measurementDate = "2026-12-02"
)

// All slopes were measured on one machine of 12 cores that ran other work at the same
// time. Times are therefore upper bounds; bytes and counts do not depend on that load.
var (
	requestCPU        = Slope{"gateway: a node's processor time for a request, without its tokens", 608, "µs", cmdServing, measurementDate}
	tokenCPU          = Slope{"gateway: a node's processor time for a token", 40, "µs", cmdServing, measurementDate}
	streamMemory      = Slope{"gateway: a node's resident memory for an open stream, after as many short ones", 106_700, "B", cmdServing, measurementDate}
	addedFirst        = Slope{"gateway: added to the first token, median", 455, "µs", cmdGateway, measurementDate}
	addedToken        = Slope{"gateway: added to a token, median, 128 tokens", 48, "µs", cmdGateway, measurementDate}
	requestThroughput = Slope{"gateway: caller, node and engine in one process, answers of 16 tokens on 12 cores", 4217, "requests/s", cmdGateway, measurementDate}
	checkEvent        = Slope{"gateway: checking an event, without sockets", 2.9, "µs", cmdGateway, measurementDate}
	streamHeap        = Slope{"gateway: heap and stacks of an open stream, caller and engine in the same process", 42_762, "B", cmdStreams, measurementDate}

	idleCPU       = Slope{"node: processor time of an idle node, 16 nodes and 17 replicas of 4 VMs in its zone", 7.4, "ms/s", cmdNodes, measurementDate}
	idleMemory    = Slope{"node: resident memory of the same node", 28.1e6, "B", cmdNodes, measurementDate}
	idleDatagrams = Slope{"node: datagrams that it sends, without IP and UDP headers", 1422, "B/s", cmdNodes, measurementDate}
	idleIO        = Slope{"node: all that it reads and writes besides datagrams, without TCP and IP headers, with its log and two reads of its metrics", 3904, "B/s", cmdNodes, measurementDate}

	heartbeatBytes     = Slope{"membership: sent by a node in 4 zones of 25, IP and UDP headers included, one run, from docs/membership.md", 2186, "B/s", cmdControl, measurementDate}
	datagramSeal       = Slope{"membership: signing a datagram", 3.2, "µs", cmdWire, measurementDate}
	datagramOpen       = Slope{"membership: checking a datagram", 4.0, "µs", cmdWire, measurementDate}
	statusBytes        = Slope{"membership: what a heartbeat says of one replica", 45, "B", cmdPolls, measurementDate}
	heartbeatFreeBytes = Slope{"membership: room in a heartbeat for what others have to tell, 17 zones of 25 nodes, node without links (405 with one zone)", 138, "B", cmdHeartbeat, measurementDate}
	memberMemory       = Slope{"membership: memory of a member, 425 nodes", 538, "B", cmdMembership, measurementDate}
	memberTick         = Slope{"membership: deciding on a heartbeat, 425 nodes", 641, "µs", cmdMembership, measurementDate}
	dutyTime           = Slope{"membership: a question whether a node has a duty, 25 nodes a zone (5.1 in another run, docs/membership.md)", 10.6, "µs", cmdMembership, measurementDate}

	pollBytes4   = Slope{"health check: a whole poll, 4 VMs", 1229, "B", cmdPolls, measurementDate}
	pollBytes32  = Slope{"health check: a whole poll, 32 VMs", 5470, "B", cmdPolls, measurementDate}
	pollBrief    = Slope{"health check: a brief poll, 32 VMs (665 with 4)", 666, "B", cmdPolls, measurementDate}
	pollCPU      = Slope{"health check: processor time of a brief poll, both ends", 83, "µs", cmdPolls, measurementDate}
	pollsNode    = Slope{"health check: polls of a quiet replica by each node of a zone of 16, 17 replicas (0.11 with 4 nodes; 0.054 with 8 nodes and 2 replicas)", 0.146, "/s", cmdNodes, measurementDate}
	healthMemory = Slope{"health check: memory of a replica, 32 VMs, its members' names included", 1952, "B", cmdMemory, measurementDate}

	tableFetch8         = Slope{"grouping table: a table from a peer, 8 replicas of 32 VMs", 1232, "B", cmdPolls, measurementDate}
	tableFetch265       = Slope{"grouping table: a table from a peer, 265 replicas of 32 VMs, gzip by connect-go", 25_085, "B", cmdPolls, measurementDate}
	tableUnchangedFetch = Slope{"grouping table: a question to a peer that knows nothing newer", 453, "B", cmdPolls, measurementDate}
	tableUnchangedCPU   = Slope{"grouping table: processor time of that question, both ends", 305, "µs", cmdPolls, measurementDate}
	tableStored         = Slope{"grouping table: a replica of 32 VMs in the store", 823, "B", cmdMemory, measurementDate}
	tableMemory         = Slope{"grouping table: memory of a replica of 32 VMs", 1475, "B", cmdMemory, measurementDate}

	listBytes          = Slope{"VM list: a VM in a read of the platform", 105.3, "B", cmdMemory, measurementDate}
	listCPU            = Slope{"VM list: processor time of a read, for a VM, at 144,000", 2.18, "µs", cmdMemory, measurementDate}
	listMemory         = Slope{"VM list: memory of a VM", 184.4, "B", cmdMemory, measurementDate}
	listPeerBytes      = Slope{"VM list: a VM in a list from a peer, gzip by connect-go; names here compress well", 6.2, "B", cmdLists, measurementDate}
	listUnchangedFetch = Slope{"VM list: a question to a peer that has the same VMs", 449, "B", cmdLists, measurementDate}
	listSumCPU         = Slope{"VM list: processor time of its sum, for a VM", 0.45, "µs", cmdLists, measurementDate}
	listMessage        = Slope{"VM list: a VM in a message between nodes before gzip, of 2 MiB at most", 107.8, "B", cmdLists, measurementDate}

	storeCalls = Slope{"platform store: calls of an idle zone of 16 nodes", 2.87, "/s", cmdNodes, measurementDate}
	orderBytes = Slope{"placement: an order to a VM of a replica of 32", 4836, "B", cmdPolls, measurementDate}
	planTime   = Slope{"placement: a plan for 265 replicas of 32 VMs, made once a second", 4.78, "ms", cmdPlan, measurementDate}

	rulesMemory = Slope{"rules: memory of 10,000 lines", 6.1e6, "B", cmdRules, measurementDate}
	rulesParse  = Slope{"rules: checking 10,000 lines", 18.2, "ms", cmdRules, measurementDate}
	rulesFollow = Slope{"rules: taking a change of one line among 10,000 into force", 15.7, "ms", cmdFollow, measurementDate}
	rulesRecord = Slope{"rules: a change of one line, record to a watching node", 404, "B", cmdDelta, measurementDate}
	rulesDelta  = Slope{"rules: a change of one line, edits to a peer", 101, "B", cmdDelta, measurementDate}

	chooseTime    = Slope{"routing: choosing among 4,500 replicas", 2.9, "µs", cmdRouting, measurementDate}
	entryMemory   = Slope{"routing: memory of a replica", 966, "B", cmdTable, measurementDate}
	prefixMemory  = Slope{"routing: memory of a known prefix", 212, "B", cmdTable, measurementDate}
	acquireTime   = Slope{"admission: a free slot, 100 teams", 3.3, "µs", cmdAcquire, measurementDate}
	teamMemory    = Slope{Name: "admission: memory of a team", Unit: "B"}
	claimBytes    = Slope{"claims: bytes in the store of a claim as in the benchmark (487 with an answer of 200 B, docs/claims.md)", 456, "B", cmdClaim, measurementDate}
	claimCalls    = Slope{"claims: store calls of a claim, one caller (0.026 with 128)", 1.19, "calls", cmdClaim, measurementDate}
	claimMemory   = Slope{Name: "claims: memory of a claim in progress", Unit: "B"}
	ledgerBytes   = Slope{"ledger: an observer's day with ten outages of ten minutes, 370 windows", 107_441, "B", cmdLedger, measurementDate}
	suspectTime   = Slope{"suspects: a request that crashes nothing", 0.26, "µs", cmdSuspect, measurementDate}
	suspectMemory = Slope{Name: "suspects: memory of a record", Unit: "B"}
)

// Slopes returns all slopes in the order of the page.
func Slopes() []Slope {
	return []Slope{
		requestCPU, tokenCPU, streamMemory, addedFirst, addedToken, requestThroughput, checkEvent, streamHeap,
		idleCPU, idleMemory, idleDatagrams, idleIO,
		heartbeatBytes, datagramSeal, datagramOpen, statusBytes, heartbeatFreeBytes, memberMemory, memberTick, dutyTime,
		pollBytes4, pollBytes32, pollBrief, pollCPU, pollsNode, healthMemory,
		tableFetch8, tableFetch265, tableUnchangedFetch, tableUnchangedCPU, tableStored, tableMemory,
		listBytes, listCPU, listMemory, listPeerBytes, listUnchangedFetch, listSumCPU, listMessage,
		storeCalls, orderBytes, planTime,
		rulesMemory, rulesParse, rulesFollow, rulesRecord, rulesDelta,
		chooseTime, entryMemory, prefixMemory, acquireTime, teamMemory,
		claimBytes, claimCalls, claimMemory, ledgerBytes, suspectTime, suspectMemory,
	}
}
