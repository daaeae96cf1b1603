// Package losses tells from nodes' log lines why calls were late, refused or failed. It
// reads files and talks to nobody: it is used after a bad hour, when the nodes of that
// hour may be gone.
package losses

import "time"

// Outcome is what a caller got.
type Outcome string

// Outcomes of calls.
const (
	OnTime  Outcome = "on-time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// Cause is why a call was not answered on time. Each such call has exactly one: that of
// its first attempt that went wrong.
type Cause string

// Causes of losses.
const (
	// Queued: the replica worked, and held more requests than it has slots.
	Queued Cause = "queued-on-a-working-replica"
	// Slow: the replica worked and had slots, and the first piece came late all the same.
	Slow Cause = "slow-with-free-slots"
	// ReplicaStalled: the replica lost a member, or brought nothing to anybody.
	ReplicaStalled Cause = "replica-stood-still"
	// Unreachable: no connection to the replica's serving VM came about.
	Unreachable Cause = "head-not-reachable"
	// ServerRejected: the server said that it would not run the call.
	ServerRejected Cause = "server-would-not-take-it"
	// NoCapacity: no whole replica had room, or there was none, by this system's own word.
	NoCapacity Cause = "refused-by-us"
	// StreamPaused: the first piece was on time, and a later one was not.
	StreamPaused Cause = "stream-paused"
	// StreamBroken: the connection broke off, or the answer was not one.
	StreamBroken Cause = "stream-broke"
	// ServerFailed: the server ran the call and failed by itself.
	ServerFailed Cause = "server-failed"
	// CallerGone: the caller went away, or its time was up, before anything else went wrong.
	CallerGone Cause = "caller-left-or-time-up"
	// Other is what these lines do not tell.
	Other Cause = "not-told"
)

// Causes lists all causes, in the order in which they are shown.
func Causes() []Cause {
	return []Cause{Queued, Slow, ReplicaStalled, Unreachable, ServerRejected, NoCapacity, StreamPaused, StreamBroken, ServerFailed, CallerGone, Other}
}

// Call is one call as one node served it.
type Call struct {
	Request string
	// Node and Zone are of the node that served it; empty if its log lacks its first lines.
	Node, Zone string
	// Group is the model, or the plain service.
	Group string
	// At is when the call came to the node.
	At      time.Time
	Outcome Outcome
	// Cause is empty for a call that was answered on time.
	Cause Cause
}

// Inventory is what the VMs did at a moment, by the node that places them.
type Inventory struct {
	At time.Time `json:"At"`
	// Held are in replicas; Free have weights and no replica; Cold have no weights;
	// Loading read some.
	Held    int `json:"Held"`
	Free    int `json:"Free"`
	Cold    int `json:"Cold"`
	Loading int `json:"Loading"`
}
