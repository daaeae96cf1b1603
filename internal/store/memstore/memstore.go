// Package memstore is the store.Store interface in memory, with revisions,
// guards, leases, watches and compaction as the platform's service has them,
// and with switches for the faults that the service shows.
//
// It serves tests directly and is the engine room of the platform's stand-in.
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

// Limits of the platform's service that the memory store keeps too.
const (
	// MaxTxnOps bounds the guards, and the operations of either branch, of one transaction.
	MaxTxnOps = 128
	// MaxValueBytes bounds one value.
	MaxValueBytes = 1 << 20
	// DefaultKeepRevisions is how many past revisions stay readable.
	DefaultKeepRevisions = 100_000
)

// Options configures a Store. The zero value is ready for use.
type Options struct {
	// Now is the clock for leases. With nil, time.Now is used and leases expire
	// by themselves; with a clock of its own, a test calls ExpireLeases.
	Now func() time.Time
	// KeepRevisions bounds the history kept for watches and old reads; zero is
	// DefaultKeepRevisions.
	KeepRevisions int
}

// Store is a key-value service in memory. It is safe for concurrent use.
type Store struct {
	now       func() time.Time
	ownTimers bool
	keep      int

	mu        sync.Mutex
	revision  int64
	compacted int64
	live      map[string]store.KV
	log       []change // revisions compacted+1 .. revision, in order
	leases    map[store.LeaseID]*lease
	nextLease store.LeaseID
	timer     *time.Timer
	// changed is closed and replaced whenever watchers have something to look at.
	changed chan struct{}

	faults faultState
}

// change is one entry of the history; prev allows reads of older revisions.
type change struct {
	event store.Event
	prev  *store.KV
}

var _ store.Store = (*Store)(nil)

// New returns an empty store at revision 1, as a fresh service has it.
func New(opts Options) *Store {
	s := &Store{
		now:       opts.Now,
		keep:      opts.KeepRevisions,
		revision:  1,
		compacted: 1,
		live:      make(map[string]store.KV),
		leases:    make(map[store.LeaseID]*lease),
		changed:   make(chan struct{}),
	}
	if s.now == nil {
		s.now = time.Now
		s.ownTimers = true
	}
	if s.keep == 0 {
		s.keep = DefaultKeepRevisions
	}
	s.faults.calls = make(map[Kind]int64)
	return s
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (*store.KV, int64, error) {
	if _, err := s.enter(ctx, KindGet, nil); err != nil {
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
	if _, err := s.enter(ctx, KindRange, nil); err != nil {
		return store.RangeResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	view := s.live
	if opts.Revision != 0 && opts.Revision != s.revision {
		past, err := s.viewAtLocked(opts.Revision)
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

// viewAtLocked rebuilds the keys as of an older revision by undoing the log.
func (s *Store) viewAtLocked(revision int64) (map[string]store.KV, error) {
	if revision < s.compacted {
		return nil, failure("range", store.Compacted, errors.Errorf("revision %d is compacted", revision))
	}
	if revision > s.revision {
		return nil, failure("range", store.Invalid, errors.Errorf("revision %d is in the future", revision))
	}
	view := maps.Clone(s.live)
	for i := len(s.log) - 1; i >= 0 && s.log[i].event.KV.ModRevision > revision; i-- {
		c := s.log[i]
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
	lost, err := s.enter(ctx, KindTxn, &txn)
	if err != nil {
		return store.TxnResult{}, err
	}
	res, err := s.apply(txn)
	if err != nil {
		return store.TxnResult{}, err
	}
	return res, lost
}

func (s *Store) apply(txn store.Txn) (store.TxnResult, error) {
	if err := validate(txn); err != nil {
		return store.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	res := store.TxnResult{Succeeded: s.holdLocked(txn.Guards)}
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

// validate refuses what the platform's service refuses, so that a caller meets
// the limits in its tests.
func validate(txn store.Txn) error {
	if max(len(txn.Guards), len(txn.Then), len(txn.Else)) > MaxTxnOps {
		return failure("txn", store.Invalid, errors.New("too many operations in one transaction"))
	}
	for _, ops := range [][]store.Op{txn.Then, txn.Else} {
		written := make(map[string]bool, len(ops))
		for _, op := range ops {
			if op.Key == "" {
				return failure("txn", store.Invalid, errors.New("empty key"))
			}
			if len(op.Value) > MaxValueBytes {
				return failure("txn", store.Invalid, errors.Errorf("value of %d bytes is too large", len(op.Value)))
			}
			if op.Kind == store.OpGet {
				continue
			}
			if written[op.Key] {
				return failure("txn", store.Invalid, errors.Errorf("key %q is written twice", op.Key))
			}
			written[op.Key] = true
		}
	}
	return nil
}

func (s *Store) holdLocked(guards []store.Guard) bool {
	for _, g := range guards {
		kv := s.live[g.Key] // the zero KV of an absent key has all revisions 0
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
	s.log = append(s.log, change{event: store.Event{Type: store.EventPut, KV: kv}, prev: prev})
}

func (s *Store) deleteLocked(key string, revision int64) {
	prev := s.prevLocked(key)
	if prev == nil {
		return
	}
	s.detachLocked(prev.Lease, key)
	delete(s.live, key)
	gone := store.KV{Key: key, ModRevision: revision}
	s.log = append(s.log, change{event: store.Event{Type: store.EventDelete, KV: gone}, prev: prev})
}

func (s *Store) prevLocked(key string) *store.KV {
	kv, ok := s.live[key]
	if !ok {
		return nil
	}
	return &kv
}

// commitLocked makes the changes logged under revision visible; a transaction
// that changed nothing uses up no revision.
func (s *Store) commitLocked(revision int64) {
	if len(s.log) == 0 || s.log[len(s.log)-1].event.KV.ModRevision != revision {
		return
	}
	s.revision = revision
	if excess := s.revision - s.compacted - int64(s.keep); excess > int64(s.keep)/4 {
		s.compactLocked(s.revision - int64(s.keep))
	}
	s.wakeLocked()
}

// Compact forgets the history up to revision; watches and reads from before it
// then fail with kind Compacted.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked(min(revision, s.revision))
	s.wakeLocked()
}

func (s *Store) compactLocked(revision int64) {
	if revision <= s.compacted {
		return
	}
	s.compacted = revision
	s.log = slices.Clone(s.log[s.logIndexLocked(revision+1):])
}

// logIndexLocked finds the first entry of the log with at least this revision.
func (s *Store) logIndexLocked(revision int64) int {
	i, _ := slices.BinarySearchFunc(s.log, revision, func(c change, want int64) int {
		return int(c.event.KV.ModRevision - want)
	})
	return i
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the newest revision; it isn't counted as a call.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Size returns the number of live keys and the bytes of their keys and values.
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

func failure(op string, kind store.ErrorKind, err error) *store.Error {
	return &store.Error{Kind: kind, Outcome: store.Refused, Op: op, Err: err}
}
