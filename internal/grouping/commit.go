package grouping

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// maxBatch bounds the number of replicas changed in one transaction. Stores commonly limit a
// transaction to 128 operations.
const maxBatch = 48

// CommitErrorKind is the reason why a commit failed or has an unknown outcome.
type CommitErrorKind string

// Kinds of commit failures. After any of them the table is read again before the next write.
const (
	// CommitLeaseLost: this node no longer holds the placement lease.
	CommitLeaseLost CommitErrorKind = "lease-lost"
	// CommitConflict: the table changed since it was read although the lease is still held,
	// because an earlier write of this holder took effect late.
	CommitConflict CommitErrorKind = "conflict"
	// CommitNotApplied: the answer was lost, and the write is not in the store, or not yet.
	CommitNotApplied CommitErrorKind = "not-applied"
	// CommitFailed: the store refused the write or could not be reached.
	CommitFailed CommitErrorKind = "failed"
)

// CommitError reports a commit that is not known to have been applied.
type CommitError struct {
	Kind CommitErrorKind
	Err  error
}

// Error implements error.
func (e *CommitError) Error() string { return fmt.Sprintf("grouping commit: %s: %v", e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *CommitError) Unwrap() error { return e.Err }

// headRecord is the value of the zone's head key.
type headRecord struct {
	WriteID string        `json:"write_id"`
	Fence   cluster.Fence `json:"fence"`
	// Digest is the tableDigest of the zone's replicas after the write. Readers compare it with
	// their own table to detect events missed by their watch.
	Digest string `json:"digest"`
}

// tableDigest identifies a table by the ID, generation and leaving flag of each replica,
// regardless of their order.
func tableDigest(replicas []cluster.Replica) string {
	var sum uint64
	for _, r := range replicas {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s/%d/%t", r.ID, r.Generation, r.Leaving))
	}
	return strconv.FormatUint(sum, 16)
}

// committer writes a zone's replicas. It is not safe for concurrent use.
//
// Each transaction is guarded by the lease key's create revision, by the mod revision of each
// key that it changes and by the mod revision of the zone's head key, which every commit
// rewrites. The guards reject a write of a former holder that was paused, and an earlier write
// of this holder that was delayed and arrives after a later one.
type committer struct {
	store store.Store
	zone  cluster.ZoneID
	lease *Lease

	assignments     *placement.Assignments
	modRevisions    map[cluster.ReplicaID]int64
	headModRevision int64
}

// load reads the head and the table. It reads the head first: if the table changes in between,
// the head's guard rejects the next write.
func (c *committer) load(ctx context.Context) error {
	head, _, err := c.store.Get(ctx, store.GroupingHeadKey(c.zone))
	if err != nil {
		return &CommitError{Kind: CommitFailed, Err: err}
	}
	read, err := Read(ctx, c.store, c.zone)
	if err != nil {
		return &CommitError{Kind: CommitFailed, Err: err}
	}
	assignments, err := placement.NewAssignments(c.zone, read.Grouping.Replicas)
	if err != nil {
		return err
	}
	c.assignments, c.modRevisions, c.headModRevision = assignments, read.ModRevisions, 0
	if head != nil {
		c.headModRevision = head.ModRevision
	}
	return nil
}

// commit writes the changes, already applied to the assignments, in one transaction and records
// the new revisions.
func (c *committer) commit(ctx context.Context, changes []placement.Change) error {
	writeID := newWriteID()
	txn, err := c.transaction(changes, writeID)
	if err != nil {
		return err
	}
	result, err := c.store.Txn(ctx, txn)
	if err != nil {
		return c.resolveUnknown(ctx, changes, writeID, err)
	}
	if !result.Succeeded {
		return c.guardFailed(result)
	}
	c.recordApplied(changes, result.Revision)
	return nil
}

func (c *committer) transaction(changes []placement.Change, writeID string) (store.Txn, error) {
	head := store.GroupingHeadKey(c.zone)
	value, err := json.Marshal(headRecord{WriteID: writeID, Fence: c.lease.Fence(), Digest: tableDigest(c.assignments.Replicas())})
	if err != nil {
		return store.Txn{}, errors.Wrap(err, "encode head")
	}
	txn := store.Txn{
		Guards: []store.Guard{c.lease.Guard(), unchangedGuard(head, c.headModRevision)},
		Then:   []store.Op{store.Put(head, value, 0)},
		Else:   []store.Op{store.GetOp(c.lease.key)},
	}
	for _, change := range changes {
		key := store.ReplicaKey(c.zone, change.Replica.ID)
		txn.Guards = append(txn.Guards, unchangedGuard(key, c.modRevisions[change.Replica.ID]))
		if change.Removed {
			txn.Then = append(txn.Then, store.Delete(key))
			continue
		}
		value, err := json.Marshal(change.Replica)
		if err != nil {
			return store.Txn{}, errors.Wrap(err, "encode replica")
		}
		txn.Then = append(txn.Then, store.Put(key, value, 0))
	}
	return txn, nil
}

func unchangedGuard(key string, modRevision int64) store.Guard {
	if modRevision == 0 {
		return store.Absent(key)
	}
	return store.ModifiedAt(key, modRevision)
}

func (c *committer) guardFailed(result store.TxnResult) error {
	if len(result.Gets) == 1 && result.Gets[0] != nil && result.Gets[0].CreateRevision == int64(c.lease.Fence()) {
		return &CommitError{Kind: CommitConflict, Err: errors.New("table changed since it was read")}
	}
	return &CommitError{Kind: CommitLeaseLost, Err: errors.New("lease key changed")}
}

// resolveUnknown determines by the write ID in the head whether a write whose answer was lost
// was applied.
func (c *committer) resolveUnknown(ctx context.Context, changes []placement.Change, writeID string, cause error) error {
	if !outcomeUnknown(cause) {
		return &CommitError{Kind: CommitFailed, Err: cause}
	}
	head, _, err := c.store.Get(ctx, store.GroupingHeadKey(c.zone))
	if err != nil {
		return &CommitError{Kind: CommitFailed, Err: err}
	}
	var record headRecord
	if head == nil || json.Unmarshal(head.Value, &record) != nil || record.WriteID != writeID {
		return &CommitError{Kind: CommitNotApplied, Err: cause}
	}
	c.recordApplied(changes, head.ModRevision)
	return nil
}

func (c *committer) recordApplied(changes []placement.Change, revision int64) {
	c.headModRevision = revision
	for _, change := range changes {
		if change.Removed {
			delete(c.modRevisions, change.Replica.ID)
			continue
		}
		c.modRevisions[change.Replica.ID] = revision
	}
}
