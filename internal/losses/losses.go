// Package losses determines from nodes' logs why calls were late, refused or failed. It
// reads only files and makes no network calls, because it is used after an incident, when
// the nodes involved may be gone.
package losses

import "time"

// Outcome is the result of a call from the caller's point of view.
type Outcome string

// Possible outcomes of a call.
const (
	OnTime  Outcome = "on-time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// Cause is the reason why a call was not answered on time. Each such call has exactly one
// cause: that of its first failed attempt.
type Cause string

// Possible causes.
const (
	// Queued: the replica was working but had more requests than slots.
	Queued Cause = "queued-on-a-working-replica"
	// Slow: the replica was working and had free slots, but the first part of the response
	// was late.
	Slow Cause = "slow-with-free-slots"
	// ReplicaStalled: the replica lost a member or made no progress on any request.
	ReplicaStalled Cause = "replica-stood-still"
	// Unreachable: no connection to the replica's head VM could be opened.
	Unreachable Cause = "head-not-reachable"
	// ServerRejected: the backend server declined to run the call.
	ServerRejected Cause = "server-would-not-take-it"
	// NoCapacity: this system refused the call, because no healthy replica had free capacity
	// or there was none.
	NoCapacity Cause = "refused-by-us"
	// StreamPaused: the first part of the response was on time, a later part was not.
	StreamPaused Cause = "stream-paused"
	// StreamBroken: the connection broke, or the response was malformed.
	StreamBroken Cause = "stream-broke"
	// ServerFailed: the backend server ran the call and reported an error of its own.
	ServerFailed Cause = "server-failed"
	// CallerGone: the caller disconnected or its deadline passed before any other failure.
	CallerGone Cause = "caller-left-or-time-up"
	// Other: the logs do not show the cause.
	Other Cause = "not-told"
)

// Causes returns all causes in display order.
func Causes() []Cause {
	return []Cause{Queued, Slow, ReplicaStalled, Unreachable, ServerRejected, NoCapacity, StreamPaused, StreamBroken, ServerFailed, CallerGone, Other}
}

// Call is one call as served by one node.
type Call struct {
	Request string
	// Node and Zone identify the node that served the call. They are empty if the start of
	// the node's log is missing.
	Node, Zone string
	// Group is the model group or the plain service that was called.
	Group string
	// At is when the call arrived at the node.
	At      time.Time
	Outcome Outcome
	// Cause is empty if the call was answered on time.
	Cause Cause
}

// Inventory counts the VMs by state at one time, as logged by the placement leader.
type Inventory struct {
	At time.Time `json:"At"`
	// Held VMs belong to replicas. Free VMs have weights loaded but belong to no replica,
	// Cold VMs have no weights, and Loading VMs are loading weights.
	Held    int `json:"Held"`
	Free    int `json:"Free"`
	Cold    int `json:"Cold"`
	Loading int `json:"Loading"`
}
