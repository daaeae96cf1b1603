package player

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// partitionedStore is the platform's store as seen by a node that a network partition can
// separate from it.
type partitionedStore struct {
	store.Store
	partitioned func() bool
}

// partitionTimeout is how long a call hangs during a partition before it fails, unless its
// context ends first, and how often a watch checks for a partition.
const partitionTimeout = 500 * time.Millisecond

var errPartitioned = errors.New("partitioned from the store")

// checkReachable blocks and then fails while the node is partitioned from the store.
func (s *partitionedStore) checkReachable(ctx context.Context) error {
	if !s.partitioned() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(partitionTimeout):
	}
	return &store.Error{Op: "call", Kind: store.Unavailable, Outcome: store.Refused, Err: errPartitioned}
}

// Get implements store.Store.
func (s *partitionedStore) Get(ctx context.Context, key string) (*store.KV, int64, error) {
	if err := s.checkReachable(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.Get(ctx, key)
}

// Range implements store.Store.
func (s *partitionedStore) Range(ctx context.Context, prefix string, opts store.RangeOptions) (store.RangeResult, error) {
	if err := s.checkReachable(ctx); err != nil {
		return store.RangeResult{}, err
	}
	return s.Store.Range(ctx, prefix, opts)
}

// Txn implements store.Store.
func (s *partitionedStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := s.checkReachable(ctx); err != nil {
		return store.TxnResult{}, err
	}
	return s.Store.Txn(ctx, txn)
}

// Grant implements store.Store.
func (s *partitionedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.checkReachable(ctx); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// KeepAlive implements store.Store.
func (s *partitionedStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := s.checkReachable(ctx); err != nil {
		return 0, err
	}
	return s.Store.KeepAlive(ctx, id)
}

// Watch implements store.Store. The watch ends when the node is partitioned from the store.
func (s *partitionedStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if err := s.checkReachable(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	in, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		defer cancel()
		lost := s.awaitPartition(ctx)
		for {
			select {
			case <-ctx.Done():
				return
			case <-lost:
				return
			case batch, ok := <-in:
				if !ok || s.partitioned() {
					return
				}
				select {
				case out <- batch:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return out, nil
}

// awaitPartition returns a channel that is closed once the node is partitioned from the store,
// unless ctx ends before. It has no ticker: one whose channel is polled in a synctest bubble
// crashes the race detector.
func (s *partitionedStore) awaitPartition(ctx context.Context) <-chan struct{} {
	lost := make(chan struct{})
	var check func()
	check = func() {
		switch {
		case ctx.Err() != nil:
		case s.partitioned():
			close(lost)
		default:
			time.AfterFunc(partitionTimeout, check)
		}
	}
	time.AfterFunc(partitionTimeout, check)
	return lost
}
