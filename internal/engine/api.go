// Package engine defines the published HTTP protocol of the model engines and of the
// plain services that run beside them, and implements its client.
//
// One engine process runs on each backend server VM. The serving VM of a replica
// (rank 0) accepts requests for the entire replica. All bodies are JSON; responses
// to model requests are server-sent events.
package engine

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Paths of the engine's HTTP interface.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	// StatePath returns State, which on a serving VM includes a digest of all members.
	// With BriefQuery it returns State.Brief; an engine that does not support the
	// query returns the full State.
	StatePath  = "/engine/state"
	BriefQuery = "brief=1"
	// OrdersPath accepts an Order by POST and returns OrderResult.
	OrdersPath = "/engine/orders"
	// CancelPath accepts a CancelRequest by POST; canceling an unknown request is not an error.
	CancelPath = "/engine/cancel"
	// CacheEventsPath returns CacheEvents for ?after=SEQ.
	CacheEventsPath = "/engine/cache-events"
)

// Headers between fenneld and backend servers.
const (
	// HeaderRequestID is sent by fenneld and echoed by the backend server. A
	// different value in the response means that it belongs to another request.
	HeaderRequestID = "Fennel-Request-Id"
	// HeaderReplica and HeaderGeneration identify the replica that the request is
	// addressed to; an engine that is not part of it refuses with StartedNo.
	HeaderReplica    = "Fennel-Replica"
	HeaderGeneration = "Fennel-Generation"
	// HeaderResumeAfter is the id of the last event received; the stream resumes
	// with the next one. It is sent with the same request id on a new connection to
	// the same replica.
	HeaderResumeAfter = "Fennel-Resume-After"
	// HeaderContinue is "1" if another replica is asked to continue after
	// HeaderResumeAfter events, whose text is in the body's field "fennel_prefix".
	HeaderContinue = "Fennel-Continue"
	// HeaderPriority is 0 (lowest) to 9.
	HeaderPriority = "Fennel-Priority"
	// HeaderStarted is "no" on a refusal by a backend server that did not start the request.
	HeaderStarted = "Fennel-Started"
	// HeaderMaxGap is, on a stream, the longest time in milliseconds that the
	// engine leaves between two events or keep-alive comments.
	HeaderMaxGap = "Fennel-Max-Gap-Ms"
	// HeaderCanContinue is "1" on a stream that another replica of the same
	// model version can continue.
	HeaderCanContinue = "Fennel-Can-Continue"
)

// StartedNo is the value of HeaderStarted on a refusal without execution.
const StartedNo = "no"

// DoneMarker is the data of the last event of every complete stream.
const DoneMarker = "[DONE]"

// FieldPrefix is the body field that carries the text generated so far when
// another replica is asked to continue.
const FieldPrefix = "fennel_prefix"

// Role is the role of an engine process within its replica.
type Role string

// Roles of an engine.
const (
	RoleIdle    Role = "idle"
	RoleServing Role = "serving"
	RoleWorker  Role = "worker"
)

// Load is an engine's report of its own load. It lags; AsOf is the time of measurement.
type Load struct {
	AsOf    time.Time `json:"as_of"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// KVUsed is the used fraction of the KV cache, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// TokensPerSecond is the number of tokens generated in the last second.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// MaxRunning is the maximum number of requests that the engine batches.
	MaxRunning int `json:"max_running"`
}

// Assignment is the replica membership that an engine has adopted; zero if idle.
type Assignment struct {
	Replica    cluster.ReplicaID `json:"replica,omitempty"`
	Generation int64             `json:"generation,omitempty"`
	Members    []cluster.VMID    `json:"members,omitempty"`
	Serving    cluster.VMID      `json:"serving,omitempty"`
	Role       Role              `json:"role"`
	Model      string            `json:"model,omitempty"`
	Version    string            `json:"version,omitempty"`
	Adapters   []string          `json:"adapters,omitempty"`
	// Addrs maps members to ip:port, so that the serving VM can monitor them; the engine
	// itself resolves the address of a member without an entry.
	Addrs map[cluster.VMID]string `json:"addrs,omitempty"`
}

// MemberDigest is the serving VM's view of one member, obtained over the fabric.
type MemberDigest struct {
	VM         cluster.VMID      `json:"vm"`
	Replica    cluster.ReplicaID `json:"replica"`
	Generation int64             `json:"generation"`
	// SeenAgoMs is the time in milliseconds since the serving VM last heard from
	// this member.
	SeenAgoMs int64 `json:"seen_ago_ms"`
}

// State is the response of StatePath.
type State struct {
	VM cluster.VMID `json:"vm"`
	// Boot changes with each start of the engine process.
	Boot       string     `json:"boot"`
	Assignment Assignment `json:"assignment"`
	// Loaded is true once the weights of the assignment's model are loaded.
	Loaded bool `json:"loaded"`
	// Fence is the highest fencing token received in an order.
	Fence       cluster.Fence `json:"fence"`
	ChecksFence bool          `json:"checks_fence"`
	Load        Load          `json:"load"`
	// Members lists all members including the VM itself; only on a serving VM.
	Members []MemberDigest `json:"members,omitempty"`
	// Summary replaces Members and the assignment's lists in a brief State.
	Summary *MemberSummary `json:"summary,omitempty"`
	// MaxGapMs is the longest gap within a stream that the engine guarantees.
	MaxGapMs int64 `json:"max_gap_ms"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Kinds of orders. OrderAssign sets the entire assignment, OrderRelease returns the VM
// to idle, OrderLoad changes the version and the adapters within the assignment.
const (
	OrderAssign  OrderKind = "assign"
	OrderRelease OrderKind = "release"
	OrderLoad    OrderKind = "load"
)

// Order is an instruction from the holder of the zone's placement lease to one engine.
type Order struct {
	ID         string        `json:"id"`
	Kind       OrderKind     `json:"kind"`
	VM         cluster.VMID  `json:"vm"`
	Fence      cluster.Fence `json:"fence"`
	Assignment Assignment    `json:"assignment"`
}

// OrderResult is the response to an order. A refused order has no effect.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	State    State  `json:"state"`
}

// CancelRequest stops a running request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CacheEvent records that a prompt prefix was added to or evicted from an engine's cache.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// PrefixHash is the xxhash64 of the prefix text, cut at a multiple of PrefixBlock bytes.
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted,omitempty"`
}

// PrefixBlock is the granularity in bytes at which prompt prefixes are cached.
const PrefixBlock = 256

// CacheEvents is the response of CacheEventsPath; a jump in Seq means lost events.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}
