package wire

import (
	"fmt"
)

// DropReason is the reason why a packet was dropped. It is used as a metric label.
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
	// TooManySenders means that the replay window is full of recently active senders.
	TooManySenders DropReason = "too-many-senders"
	// OtherSystem means that the sender has the same key but belongs to a system with
	// another name.
	OtherSystem DropReason = "other-system"
)

var allReasons = []DropReason{
	Oversized, Truncated, UnknownVersion, UnknownKey, Forged, Malformed,
	TooOld, FromFuture, Replayed, OldIncarnation, TooManySenders, OtherSystem,
}

// DropError reports that a received packet was dropped.
type DropError struct {
	Reason DropReason
	// Node is the sender's name; it is empty unless the packet was authentic.
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

// Unwrap returns the underlying error.
func (e *DropError) Unwrap() error { return e.Cause }

func newDropError(reason DropReason) *DropError { return &DropError{Reason: reason} }

// SendError reports that a datagram was not sent.
type SendError struct {
	Addr string
	// Size is the length of the encoded body in bytes if it was too large, otherwise zero.
	Size  int
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Size > 0 {
		return fmt.Sprintf("wire: datagram body of %d bytes exceeds the limit of %d bytes", e.Size, MaxBody)
	}
	return fmt.Sprintf("wire: send to %s: %v", e.Addr, e.Cause)
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Cause }

// ConfigError reports an invalid setting.
type ConfigError struct {
	Field string
	Cause error
}

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("wire: setting %s: %v", e.Field, e.Cause) }

// Unwrap returns the underlying error.
func (e *ConfigError) Unwrap() error { return e.Cause }
