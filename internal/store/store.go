// Package store defines the interface to the platform's key-value service.
//
// The drivers are sub-packages (memstore for tests, etcdgw for the etcd v3 JSON
// gateway) and pass the conformance tests in storetest.
//
// A write has one of three outcomes:
//
//   - applied: a nil error with TxnResult.Succeeded true
//   - refused: a nil error with Succeeded false (the guards did not hold), or an
//     *Error with Outcome Refused
//   - unknown: an *Error with Outcome Unknown. The write may or may not have taken
//     effect. The caller must not assume either; it includes a unique write id in
//     the value and reads the key back.
package store

import (
	"context"
	"fmt"
	"time"
)

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// KV is a stored key with its value and metadata. Revisions are global to the store.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          LeaseID
}

// RangeResult is a consistent read of a prefix at Revision.
type RangeResult struct {
	KVs      []KV // ordered by key
	Revision int64
	// More is true if Limit truncated the result.
	More bool
}

// RangeOptions limits a Range. The zero value reads all keys at the latest revision.
type RangeOptions struct {
	Limit    int64
	KeysOnly bool
	// StartAfter continues a paginated read after this key.
	StartAfter string
	// Revision selects the revision to read at; zero is the latest. A compacted
	// revision returns an Error of Kind Compacted.
	Revision int64
	// AllowStale permits a result that may be seconds old, if that is cheaper.
	AllowStale bool
}

// GuardTarget is the property of a key that a Guard compares.
type GuardTarget int

// Properties that a Guard compares, by equality only: callers need no other comparison.
const (
	// GuardCreateRevision zero means "the key does not exist".
	GuardCreateRevision GuardTarget = iota
	GuardModRevision
	GuardLease
)

// Guard is a condition on one key that must hold for a transaction to be applied.
type Guard struct {
	Key    string
	Target GuardTarget
	Equal  int64
}

// OpKind is the kind of an Op.
type OpKind int

// Operations of a transaction.
const (
	OpPut OpKind = iota
	OpDelete
	OpGet
)

// Op is one operation inside a transaction.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Put returns a put operation; lease zero means the key does not expire.
func Put(key string, value []byte, lease LeaseID) Op {
	return Op{Kind: OpPut, Key: key, Value: value, Lease: lease}
}

// Delete returns a delete operation.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// GetOp returns a read inside a transaction.
func GetOp(key string) Op { return Op{Kind: OpGet, Key: key} }

// Absent guards on the key not existing.
func Absent(key string) Guard { return Guard{Key: key, Target: GuardCreateRevision} }

// CreatedAt guards on the key's create revision, which serves as a fencing token.
func CreatedAt(key string, rev int64) Guard {
	return Guard{Key: key, Target: GuardCreateRevision, Equal: rev}
}

// ModifiedAt guards on the key's mod revision, for compare-and-swap.
func ModifiedAt(key string, rev int64) Guard {
	return Guard{Key: key, Target: GuardModRevision, Equal: rev}
}

// Txn is a transaction that applies Then atomically if all Guards hold, and Else
// (usually only reads) otherwise.
type Txn struct {
	Guards []Guard
	Then   []Op
	Else   []Op
}

// TxnResult is the result of a transaction that the store answered.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	// Gets holds the results of the OpGet operations of the executed branch in
	// order; nil for a key that does not exist.
	Gets []*KV
}

// EventType is the kind of a watch event.
type EventType int

// Watch event kinds.
const (
	EventPut EventType = iota
	EventDelete
)

// Event is a single change reported by a watch.
type Event struct {
	Type EventType
	KV   KV // a delete sets only Key and ModRevision
}

// WatchBatch holds the events of one or more consecutive revisions, or Err in the
// last batch before the channel is closed. A watch may repeat events after a
// reconnect; consumers must skip revisions that they have already applied.
type WatchBatch struct {
	Events   []Event
	Revision int64 // store revision that the watcher has reached with this batch
	Err      error
}

// Store is the platform's key-value service.
//
// Every method honours ctx and is safe for concurrent use.
type Store interface {
	// Get returns a nil KV and the store's revision for a key that does not exist.
	Get(ctx context.Context, key string) (*KV, int64, error)
	Range(ctx context.Context, prefix string, opts RangeOptions) (RangeResult, error)
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease; ttl is rounded up to whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns the remaining time. An expired
	// lease returns an Error of Kind LeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id LeaseID) error
	// Watch streams the changes under prefix with revision >= from; zero starts at
	// the next change. The channel is closed when ctx ends or after a batch with Err.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error)
}

// Outcome indicates whether a failed call may have changed the store.
type Outcome int

// Refused means that the call had no effect; Unknown means that it may have had one.
const (
	Refused Outcome = iota
	Unknown
)

// ErrorKind classifies store failures.
type ErrorKind int

// Kinds of store failures.
const (
	Unavailable ErrorKind = iota // not reachable, or no response in time
	LeaseNotFound
	Compacted
	Invalid
)

// Error describes a failed store call.
type Error struct {
	Kind    ErrorKind
	Outcome Outcome
	Op      string
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("store %s: kind=%s outcome=%s: %v", e.Op, e.Kind, e.Outcome, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// String returns the name of the kind as logged.
func (k ErrorKind) String() string {
	switch k {
	case LeaseNotFound:
		return "lease-not-found"
	case Compacted:
		return "compacted"
	case Invalid:
		return "invalid"
	default:
		return "unavailable"
	}
}

// String returns the name of the outcome as logged.
func (o Outcome) String() string {
	if o == Unknown {
		return "unknown"
	}
	return "refused"
}
