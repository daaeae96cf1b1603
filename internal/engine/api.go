// Package engine is the published HTTP protocol of the model engines and of the
// plain services beside them, and the client that speaks it.
//
// One engine process runs on each backend server VM. The serving VM of a replica
// (rank 0) accepts requests for the whole replica. All bodies are JSON; answers
// to requests are server-sent events.
package engine

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Paths of the engine's HTTP interface.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	// StatePath answers State. On a serving VM it includes a digest of all members.
	// With BriefQuery it answers State.Brief; an engine that does not know the
	// query answers the whole State.
	StatePath  = "/engine/state"
	BriefQuery = "brief=1"
	// OrdersPath takes an Order by POST and answers OrderResult.
	OrdersPath = "/engine/orders"
	// CancelPath takes a CancelRequest by POST; cancelling an unknown request is not an error.
	CancelPath = "/engine/cancel"
	// CacheEventsPath answers CacheEvents for ?after=SEQ.
	CacheEventsPath = "/engine/cache-events"
)

// Headers between fenneld and backend servers.
const (
	// HeaderRequestID is sent by fenneld and echoed by the backend server. A
	// different echo means the answer belongs to another request.
	HeaderRequestID = "Fennel-Request-Id"
	// HeaderReplica and HeaderGeneration name the replica that the request is
	// meant for; an engine that is not in it refuses with StartedNo.
	HeaderReplica    = "Fennel-Replica"
	HeaderGeneration = "Fennel-Generation"
	// HeaderResumeAfter is the id of the last event received; the stream goes on
	// with the next one. Sent with the same request id on a new connection to the
	// same replica.
	HeaderResumeAfter = "Fennel-Resume-After"
	// HeaderContinue is "1" when another replica is asked to continue after
	// HeaderResumeAfter events whose text is in the body's field "fennel_prefix".
	HeaderContinue = "Fennel-Continue"
	// HeaderPriority is 0 (lowest) to 9.
	HeaderPriority = "Fennel-Priority"
	// HeaderStarted is "no" on a refusal by a backend server that did not start the call.
	HeaderStarted = "Fennel-Started"
	// HeaderMaxGap is, on a stream, the longest time in milliseconds that the
	// engine leaves between two events or keep-alive comments.
	HeaderMaxGap = "Fennel-Max-Gap-Ms"
	// HeaderCanContinue is "1" on a stream that another replica of the same
	// model version can continue.
	HeaderCanContinue = "Fennel-Can-Continue"
)

// StartedNo is the value of HeaderStarted on a refusal that ran nothing.
const StartedNo = "no"

// DoneMarker is the data of the last event of every whole stream.
const DoneMarker = "[DONE]"

// FieldPrefix is the body field that carries the text generated so far when
// another replica is asked to continue.
const FieldPrefix = "fennel_prefix"

// Role is what an engine process does within its replica.
type Role string

// Roles of an engine.
const (
	RoleIdle    Role = "idle"
	RoleServing Role = "serving"
	RoleWorker  Role = "worker"
)

// Load is an engine's report about itself. It lags; AsOf says by how much.
type Load struct {
	AsOf    time.Time `json:"as_of"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// KVUsed is the used share of the KV cache, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// TokensPerSecond is generated tokens over the engine's last second.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// MaxRunning is how many requests the engine batches at most.
	MaxRunning int `json:"max_running"`
}

// Assignment is what an engine believes it belongs to; zero when idle.
type Assignment struct {
	Replica    cluster.ReplicaID `json:"replica,omitempty"`
	Generation int64             `json:"generation,omitempty"`
	Members    []cluster.VMID    `json:"members,omitempty"`
	Serving    cluster.VMID      `json:"serving,omitempty"`
	Role       Role              `json:"role"`
	Model      string            `json:"model,omitempty"`
	Version    string            `json:"version,omitempty"`
	Adapters   []string          `json:"adapters,omitempty"`
	// Addrs gives the members' ip:port, so that the serving VM can watch its
	// members; a member without an entry is looked up by the engine's own means.
	Addrs map[cluster.VMID]string `json:"addrs,omitempty"`
}

// MemberDigest is the serving VM's view of one member, taken on the fabric.
type MemberDigest struct {
	VM         cluster.VMID      `json:"vm"`
	Replica    cluster.ReplicaID `json:"replica"`
	Generation int64             `json:"generation"`
	// SeenAgo is how long ago, in milliseconds, the serving VM last heard this member.
	SeenAgoMs int64 `json:"seen_ago_ms"`
}

// State is the answer of StatePath.
type State struct {
	VM cluster.VMID `json:"vm"`
	// Boot changes whenever the engine process starts anew.
	Boot       string     `json:"boot"`
	Assignment Assignment `json:"assignment"`
	// Loaded is true once the weights of the assignment's model are loaded.
	Loaded bool `json:"loaded"`
	// Fence is the highest fencing number seen in an order.
	Fence       cluster.Fence `json:"fence"`
	ChecksFence bool          `json:"checks_fence"`
	Load        Load          `json:"load"`
	// Members is filled on a serving VM only: all members, itself too.
	Members []MemberDigest `json:"members,omitempty"`
	// Summary stands for Members and the assignment's lists in a brief State.
	Summary *MemberSummary `json:"summary,omitempty"`
	// MaxGapMs is the engine's promised longest silence within a stream.
	MaxGapMs int64 `json:"max_gap_ms"`
}

// OrderKind is what an order asks for.
type OrderKind string

// Orders. OrderAssign sets the whole assignment, OrderRelease returns the VM to
// idle, OrderLoad changes version and adapters within the assignment.
const (
	OrderAssign  OrderKind = "assign"
	OrderRelease OrderKind = "release"
	OrderLoad    OrderKind = "load"
)

// Order is an instruction of the zone's placement lease holder to one engine.
type Order struct {
	ID         string        `json:"id"`
	Kind       OrderKind     `json:"kind"`
	VM         cluster.VMID  `json:"vm"`
	Fence      cluster.Fence `json:"fence"`
	Assignment Assignment    `json:"assignment"`
}

// OrderResult answers an order. A refused order changed nothing.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	State    State  `json:"state"`
}

// CancelRequest stops a running request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CacheEvent says that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// PrefixHash is the xxhash64 of the prefix text, cut at a multiple of PrefixBlock bytes.
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted,omitempty"`
}

// PrefixBlock is the granularity in bytes at which prompt prefixes are cached.
const PrefixBlock = 256

// CacheEvents is the answer of CacheEventsPath; a jump in Seq is a gap.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}
