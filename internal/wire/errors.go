package wire

import (
	"fmt"
)

// Reason says why a packet was dropped. Its text is a metrics label.
type Reason string

// Reasons for dropping a received packet.
const (
	Oversized      Reason = "oversized"
	Truncated      Reason = "truncated"
	UnknownVersion Reason = "unknown-version"
	UnknownKey     Reason = "unknown-key"
	Forged         Reason = "forged"
	Malformed      Reason = "malformed"
	TooOld         Reason = "too-old"
	FromFuture     Reason = "from-future"
	Replayed       Reason = "replayed"
	OldIncarnation Reason = "old-incarnation"
	// TooManySenders means that the replay table is full of senders heard lately.
	TooManySenders Reason = "too-many-senders"
	// OtherSystem means that a node of a system with another name has the same key.
	OtherSystem Reason = "other-system"
)

var allReasons = []Reason{
	Oversized, Truncated, UnknownVersion, UnknownKey, Forged, Malformed,
	TooOld, FromFuture, Replayed, OldIncarnation, TooManySenders, OtherSystem,
}

// DropError says that a received packet was not accepted.
type DropError struct {
	Reason Reason
	// Node is the sender's name; empty unless the packet was authentic.
	Node  string
	Cause error
}

// Error implements error.
func (e *DropError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("wire: packet dropped: %s: %v", e.Reason, e.Cause)
	}
	return fmt.Sprintf("wire: packet dropped: %s", e.Reason)
}

// Unwrap returns the cause.
func (e *DropError) Unwrap() error { return e.Cause }

func drop(reason Reason) *DropError { return &DropError{Reason: reason} }

// SendError says that a datagram was not handed to the network.
type SendError struct {
	Addr string
	// Size is the encoded body in bytes when it was too large, else zero.
	Size  int
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Size > 0 {
		return fmt.Sprintf("wire: datagram of %d bytes exceeds %d", e.Size, MaxBody)
	}
	return fmt.Sprintf("wire: send to %s: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// ConfigError says which setting cannot be used.
type ConfigError struct {
	Field string
	Cause error
}

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("wire: setting %s: %v", e.Field, e.Cause) }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Cause }
