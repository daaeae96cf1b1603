package wire

import (
	"fmt"
)

// DropReason says why a packet was dropped. Its text is a metrics label.
type DropReason string

// Reasons for dropping a received packet.
const (
	Oversized      DropReason = "oversized"
	Truncated      DropReason = "truncated"
	UnknownVersion DropReason = "unknown-version"
	UnknownKey     DropReason = "unknown-key"
	Forged         DropReason = "forged"
	Malformed      DropReason = "malformed"
	TooOld         DropReason = "too-old"
	FromFuture     DropReason = "from-future"
	Replayed       DropReason = "replayed"
	OldIncarnation DropReason = "old-incarnation"
	// TooManySenders means that the replay table is full of senders heard lately.
	TooManySenders DropReason = "too-many-senders"
	// OtherSystem means that a node of a system with another name has the same key.
	OtherSystem DropReason = "other-system"
)

var allReasons = []DropReason{
	Oversized, Truncated, UnknownVersion, UnknownKey, Forged, Malformed,
	TooOld, FromFuture, Replayed, OldIncarnation, TooManySenders, OtherSystem,
}

// DropError says that a received packet was not accepted.
type DropError struct {
	Reason DropReason
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

func drop(reason DropReason) *DropError { return &DropError{Reason: reason} }

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
