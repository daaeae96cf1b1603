package memstore

import (
	"context"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Watch implements store.Store. Watchers read the shared history independently;
// one that falls behind the retained history ends with an error of kind Compacted.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if _, err := s.beginCall(ctx, KindWatch, nil); err != nil {
		return nil, err
	}
	s.mu.Lock()
	if from <= 0 {
		from = s.revision + 1
	}
	s.mu.Unlock()
	out := make(chan store.WatchBatch)
	go s.streamEvents(ctx, prefix, from, out)
	return out, nil
}

func (s *Store) streamEvents(ctx context.Context, prefix string, next int64, out chan<- store.WatchBatch) {
	defer close(out)
	for {
		batch, changed := s.eventsSince(prefix, next)
		if batch.Err != nil || len(batch.Events) > 0 {
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
		}
		if batch.Err != nil {
			return
		}
		next = max(next, batch.Revision+1)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// eventsSince returns the events from revision next on, and a channel that is closed
// when there may be more.
func (s *Store) eventsSince(prefix string, next int64) (store.WatchBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.watchFault(); err != nil {
		return store.WatchBatch{Err: err}, nil
	}
	if next <= s.compacted {
		return store.WatchBatch{Err: newError("watch", store.Compacted, errors.Errorf("revision %d is compacted", next))}, nil
	}
	batch := store.WatchBatch{Revision: s.revision}
	for _, c := range s.history[s.historyIndexLocked(next):] {
		if strings.HasPrefix(c.event.KV.Key, prefix) {
			batch.Events = append(batch.Events, c.event)
		}
	}
	return batch, s.changed
}
