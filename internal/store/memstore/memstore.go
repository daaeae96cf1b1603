// Package memstore implements store.Store in memory, with the revisions, guards,
// leases, watches and compaction of the platform's service and with injection of
// the faults that the service can have.
//
// It is used directly by tests and as the backend of the simulated platform.
package memstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Limits of the platform's service that this implementation also enforces.
const (
	// MaxTxnOps limits the guards of one transaction, and the operations of each branch.
	MaxTxnOps = 128
	// MaxValueBytes limits the size of one value.
	MaxValueBytes = 1 << 20
	// DefaultKeepRevisions is the number of past revisions that stay readable.
	DefaultKeepRevisions = 100_000
)

// Options configures a Store. The zero value is ready for use.
type Options struct {
	// Now is the clock for leases. If nil, time.Now is used and leases expire
	// automatically; a test that sets it must call ExpireLeases.
	Now func() time.Time
	// KeepRevisions is the number of revisions retained for watches and for reads
	// at past revisions; zero means DefaultKeepRevisions.
	KeepRevisions int
}

// Store is an in-memory key-value store. It is safe for concurrent use.
type Store struct {
	now           func() time.Time
	autoExpire    bool
	keepRevisions int

	mu        sync.Mutex
	revision  int64
	compacted int64
	live      map[string]store.KV
	history   []change // revisions compacted+1 .. revision, in order
	leases    map[store.LeaseID]*lease
	nextLease store.LeaseID
	timer     *time.Timer
	// changed is closed and replaced to notify watchers.
	changed chan struct{}

	faults faultState
}

// change is an entry of the history; prev allows reads at older revisions.
type change struct {
	event store.Event
	prev  *store.KV
}

var _ store.Store = (*Store)(nil)

// New returns an empty store at revision 1, like a new etcd cluster.
func New(opts Options) *Store {
	s := &Store{
		now:           opts.Now,
		keepRevisions: opts.KeepRevisions,
		revision:      1,
		compacted:     1,
		live:          make(map[string]store.KV),
		leases:        make(map[store.LeaseID]*lease),
		changed:       make(chan struct{}),
	}
	if s.now == nil {
		s.now = time.Now
		s.autoExpire = true
	}
	if s.keepRevisions == 0 {
		s.keepRevisions = DefaultKeepRevisions
	}
	s.faults.calls = make(map[Kind]int64)
	return s
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (*store.KV, int64, error) {
	if _, err := s.beginCall(ctx, KindGet, nil); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return s.getLocked(key), s.revision, nil
}

func (s *Store) getLocked(key string) *store.KV {
	kv, ok := s.live[key]
	if !ok {
		return nil
	}
	kv.Value = slices.Clone(kv.Value)
	return &kv
}

// Range implements store.Store.
func (s *Store) Range(ctx context.Context, prefix string, opts store.RangeOptions) (store.RangeResult, error) {
	if _, err := s.beginCall(ctx, KindRange, nil); err != nil {
		return store.RangeResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	view := s.live
	if opts.Revision != 0 && opts.Revision != s.revision {
		past, err := s.snapshotAtLocked(opts.Revision)
		if err != nil {
			return store.RangeResult{}, err
		}
		view = past
	}
	res := store.RangeResult{Revision: s.revision}
	keys := make([]string, 0, len(view))
	for key := range view {
		if strings.HasPrefix(key, prefix) && key > opts.StartAfter {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if opts.Limit > 0 && int64(len(keys)) > opts.Limit {
		keys = keys[:opts.Limit]
		res.More = true
	}
	for _, key := range keys {
		kv := view[key]
		kv.Value = slices.Clone(kv.Value)
		if opts.KeysOnly {
			kv.Value = nil
		}
		res.KVs = append(res.KVs, kv)
	}
	return res, nil
}

// snapshotAtLocked reconstructs the keys at an older revision by undoing the history.
func (s *Store) snapshotAtLocked(revision int64) (map[string]store.KV, error) {
	if revision < s.compacted {
		return nil, newError("range", store.Compacted, errors.Errorf("revision %d is compacted", revision))
	}
	if revision > s.revision {
		return nil, newError("range", store.Invalid, errors.Errorf("revision %d is in the future", revision))
	}
	view := maps.Clone(s.live)
	for i := len(s.history) - 1; i >= 0 && s.history[i].event.KV.ModRevision > revision; i-- {
		c := s.history[i]
		if c.prev == nil {
			delete(view, c.event.KV.Key)
		} else {
			view[c.event.KV.Key] = *c.prev
		}
	}
	return view, nil
}

// Txn implements store.Store.
func (s *Store) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	lostAnswer, err := s.beginCall(ctx, KindTxn, &txn)
	if err != nil {
		return store.TxnResult{}, err
	}
	res, err := s.apply(txn)
	if err != nil {
		return store.TxnResult{}, err
	}
	return res, lostAnswer
}

func (s *Store) apply(txn store.Txn) (store.TxnResult, error) {
	if err := validate(txn); err != nil {
		return store.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	res := store.TxnResult{Succeeded: s.guardsHoldLocked(txn.Guards)}
	ops := txn.Then
	if !res.Succeeded {
		ops = txn.Else
	}
	if err := s.checkLeasesLocked(ops); err != nil {
		return store.TxnResult{}, err
	}
	next := s.revision + 1
	for _, op := range ops {
		switch op.Kind {
		case store.OpGet:
			res.Gets = append(res.Gets, s.getLocked(op.Key))
		case store.OpPut:
			s.putLocked(op, next)
		case store.OpDelete:
			s.deleteLocked(op.Key, next)
		}
	}
	s.commitLocked(next)
	res.Revision = s.revision
	return res, nil
}

// validate enforces the limits of the platform's service, so that tests detect
// transactions that exceed them.
func validate(txn store.Txn) error {
	if max(len(txn.Guards), len(txn.Then), len(txn.Else)) > MaxTxnOps {
		return newError("txn", store.Invalid, errors.New("too many guards or operations in one transaction"))
	}
	for _, ops := range [][]store.Op{txn.Then, txn.Else} {
		written := make(map[string]bool, len(ops))
		for _, op := range ops {
			if op.Key == "" {
				return newError("txn", store.Invalid, errors.New("empty key"))
			}
			if len(op.Value) > MaxValueBytes {
				return newError("txn", store.Invalid, errors.Errorf("value of %d bytes is too large", len(op.Value)))
			}
			if op.Kind == store.OpGet {
				continue
			}
			if written[op.Key] {
				return newError("txn", store.Invalid, errors.Errorf("key %q is written twice", op.Key))
			}
			written[op.Key] = true
		}
	}
	return nil
}

func (s *Store) guardsHoldLocked(guards []store.Guard) bool {
	for _, g := range guards {
		kv := s.live[g.Key] // the revisions of an absent key are zero
		var have int64
		switch g.Target {
		case store.GuardCreateRevision:
			have = kv.CreateRevision
		case store.GuardModRevision:
			have = kv.ModRevision
		case store.GuardLease:
			have = int64(kv.Lease)
		}
		if have != g.Equal {
			return false
		}
	}
	return true
}

func (s *Store) putLocked(op store.Op, revision int64) {
	prev := s.prevLocked(op.Key)
	kv := store.KV{
		Key:            op.Key,
		Value:          slices.Clone(op.Value),
		CreateRevision: revision,
		ModRevision:    revision,
		Version:        1,
		Lease:          op.Lease,
	}
	if prev != nil {
		kv.CreateRevision = prev.CreateRevision
		kv.Version = prev.Version + 1
		s.detachLocked(prev.Lease, op.Key)
	}
	s.attachLocked(op.Lease, op.Key)
	s.live[op.Key] = kv
	s.history = append(s.history, change{event: store.Event{Type: store.EventPut, KV: kv}, prev: prev})
}

func (s *Store) deleteLocked(key string, revision int64) {
	prev := s.prevLocked(key)
	if prev == nil {
		return
	}
	s.detachLocked(prev.Lease, key)
	delete(s.live, key)
	tombstone := store.KV{Key: key, ModRevision: revision}
	s.history = append(s.history, change{event: store.Event{Type: store.EventDelete, KV: tombstone}, prev: prev})
}

func (s *Store) prevLocked(key string) *store.KV {
	kv, ok := s.live[key]
	if !ok {
		return nil
	}
	return &kv
}

// commitLocked publishes the changes recorded at revision. A transaction without
// changes does not consume a revision.
func (s *Store) commitLocked(revision int64) {
	if len(s.history) == 0 || s.history[len(s.history)-1].event.KV.ModRevision != revision {
		return
	}
	s.revision = revision
	if excess := s.revision - s.compacted - int64(s.keepRevisions); excess > int64(s.keepRevisions)/4 {
		s.compactLocked(s.revision - int64(s.keepRevisions))
	}
	s.notifyWatchersLocked()
}

// Compact discards the history up to revision. Watches and reads from before it
// then fail with kind Compacted.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked(min(revision, s.revision))
	s.notifyWatchersLocked()
}

func (s *Store) compactLocked(revision int64) {
	if revision <= s.compacted {
		return
	}
	s.compacted = revision
	s.history = slices.Clone(s.history[s.historyIndexLocked(revision+1):])
}

// historyIndexLocked returns the index of the first history entry with at least this revision.
func (s *Store) historyIndexLocked(revision int64) int {
	i, _ := slices.BinarySearchFunc(s.history, revision, func(c change, want int64) int {
		return int(c.event.KV.ModRevision - want)
	})
	return i
}

func (s *Store) notifyWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the latest revision. It is not counted in Calls.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Size returns the number of keys and the total bytes of keys and values.
func (s *Store) Size() (keys, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, kv := range s.live {
		bytes += len(key) + len(kv.Value)
	}
	return len(s.live), bytes
}

// Close stops the lease timer.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

func newError(op string, kind store.ErrorKind, err error) *store.Error {
	return &store.Error{Kind: kind, Outcome: store.Refused, Op: op, Err: err}
}
