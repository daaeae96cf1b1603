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

// maxBatch bounds the replicas changed in one transaction; stores commonly take
// 128 operations.
const maxBatch = 48

// CommitErrorKind says why a commit did not happen or may not have happened.
type CommitErrorKind string

// Kinds of commit failures. After each of them the ledger is read anew before
// the next write.
const (
	// CommitLeaseLost: another node holds or held the lease since.
	CommitLeaseLost CommitErrorKind = "lease-lost"
	// CommitConflict: the table is not as it was read, though the lease holds:
	// an earlier write of this holder took effect late.
	CommitConflict CommitErrorKind = "overtaken"
	// CommitNotApplied: the answer was lost and the write is not in the store (yet).
	CommitNotApplied CommitErrorKind = "not-applied"
	// CommitFailed: the store refused or could not be reached.
	CommitFailed CommitErrorKind = "failed"
)

// CommitError is a commit that is not known to have happened.
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
	// Digest is the tableDigest of the zone's replicas after the write, by which
	// readers notice that their watch skipped an event.
	Digest string `json:"digest"`
}

// tableDigest identifies a table by its replicas' ids, generations and leaving
// marks, whatever their order.
func tableDigest(replicas []cluster.Replica) string {
	var sum uint64
	for _, r := range replicas {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s/%d/%t", r.ID, r.Generation, r.Leaving))
	}
	return strconv.FormatUint(sum, 16)
}

// committer writes a zone's replicas. It is used by one goroutine.
//
// Every transaction is guarded by the lease key's create revision, by the mod
// revision of each key it changes and by that of the zone's head key, which it
// moves. So a paused former holder's write fails, and so does an earlier write
// of this holder that was delayed on the way and arrives after a later one.
type committer struct {
	store store.Store
	zone  cluster.ZoneID
	lease *Lease

	assignments *placement.Assignments
	mod         map[cluster.ReplicaID]int64
	headMod     int64
}

// load reads head and table. The head is read first: if the table moves in
// between, the next write is refused by the head's guard.
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
	c.assignments, c.mod, c.headMod = assignments, read.ModRevisions, 0
	if head != nil {
		c.headMod = head.ModRevision
	}
	return nil
}

// commit writes changes, which the assignments have already, in one transaction and
// notes their new revisions.
func (c *committer) commit(ctx context.Context, changes []placement.Change) error {
	writeID := newWriteID()
	txn, err := c.transaction(changes, writeID)
	if err != nil {
		return err
	}
	result, err := c.store.Txn(ctx, txn)
	if err != nil {
		return c.readBack(ctx, changes, writeID, err)
	}
	if !result.Succeeded {
		return c.refused(result)
	}
	c.applied(changes, result.Revision)
	return nil
}

func (c *committer) transaction(changes []placement.Change, writeID string) (store.Txn, error) {
	head := store.GroupingHeadKey(c.zone)
	value, err := json.Marshal(headRecord{WriteID: writeID, Fence: c.lease.Fence(), Digest: tableDigest(c.assignments.Replicas())})
	if err != nil {
		return store.Txn{}, errors.Wrap(err, "encode head")
	}
	txn := store.Txn{
		Guards: []store.Guard{c.lease.Guard(), unchanged(head, c.headMod)},
		Then:   []store.Op{store.Put(head, value, 0)},
		Else:   []store.Op{store.GetOp(c.lease.key)},
	}
	for _, change := range changes {
		key := store.ReplicaKey(c.zone, change.Replica.ID)
		txn.Guards = append(txn.Guards, unchanged(key, c.mod[change.Replica.ID]))
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

func unchanged(key string, mod int64) store.Guard {
	if mod == 0 {
		return store.Absent(key)
	}
	return store.ModifiedAt(key, mod)
}

func (c *committer) refused(result store.TxnResult) error {
	if len(result.Gets) == 1 && result.Gets[0] != nil && result.Gets[0].CreateRevision == int64(c.lease.Fence()) {
		return &CommitError{Kind: CommitConflict, Err: errors.New("table moved")}
	}
	return &CommitError{Kind: CommitLeaseLost, Err: errors.New("lease key changed")}
}

// readBack settles a write whose answer was lost by the head's write id.
func (c *committer) readBack(ctx context.Context, changes []placement.Change, writeID string, cause error) error {
	if !isUnknown(cause) {
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
	c.applied(changes, head.ModRevision)
	return nil
}

func (c *committer) applied(changes []placement.Change, revision int64) {
	c.headMod = revision
	for _, change := range changes {
		if change.Removed {
			delete(c.mod, change.Replica.ID)
			continue
		}
		c.mod[change.Replica.ID] = revision
	}
}
