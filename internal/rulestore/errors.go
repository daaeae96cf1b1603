package rulestore

import (
	"fmt"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// ConflictError rejects a change whose base is no longer the newest revision. No
// part of the change took effect.
type ConflictError struct {
	// Base is the base revision of the rejected change.
	Base int64
	// Revision, Text and Author describe the newest accepted file; Revision is zero
	// if the store has no rules.
	Revision int64
	Text     string
	Author   string
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Revision == 0 {
		return fmt.Sprintf("the change was made from revision %d, but the store has no rules: apply it with base 0", e.Base)
	}
	return fmt.Sprintf("the change was made from revision %d, but %s has since changed the rules to revision %d", e.Base, e.Author, e.Revision)
}

// OutcomeUnknownError reports that a change may or may not have been accepted. A
// repeat with the same write id finds out without applying the change twice.
type OutcomeUnknownError struct {
	WriteID string
	Err     error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the store did not say whether the change was accepted (write id %s): apply it again with the same write id: %v", e.WriteID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// StoreBehindError rejects a change because the store's revision is lower than the
// one in force, as after a restore from a backup. No node would adopt the change,
// since none goes to a lower revision.
type StoreBehindError struct {
	Store, InForce int64
}

// Error implements error.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the store is at revision %d but revision %d of the rules is in force: was it restored from a backup?", e.Store, e.InForce)
}

// RequestError rejects a request with a missing or invalid field.
type RequestError struct {
	Field, Want string
}

// Error implements error.
func (e *RequestError) Error() string { return fmt.Sprintf("%s: want %s", e.Field, e.Want) }

// RevisionError reports that the text of a revision is not available.
type RevisionError struct {
	Revision int64
	Reason   string
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("rules revision %d: %s", e.Revision, e.Reason)
}

// RecordError reports a record that can't be encoded or decoded.
type RecordError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("rules record %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// ChecksumError reports a text whose checksum is not that of the accepted revision.
type ChecksumError struct {
	// Source is the store key or the peer that the text came from.
	Source   string
	Revision int64
}

// Error implements error.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("rules revision %d from %s does not match its checksum", e.Revision, e.Source)
}

// PeerError reports a failed fetch from a peer.
type PeerError struct {
	Node cluster.NodeID
	Err  error
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("fetch rules from peer %s: %v", e.Node, e.Err) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }
