package memstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	lostAnswer, err := s.beginCall(ctx, KindGrant, nil)
	if err != nil {
		return 0, err
	}
	ttl = max(time.Second, (ttl + time.Second - 1).Truncate(time.Second))
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, expires: s.now().Add(ttl), keys: make(map[string]struct{})}
	s.resetTimerLocked()
	s.mu.Unlock()
	return id, lostAnswer
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if _, err := s.beginCall(ctx, KindKeepAlive, nil); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	l, ok := s.leases[id]
	if !ok {
		return 0, leaseNotFound("keepalive", id)
	}
	l.expires = s.now().Add(l.ttl)
	s.resetTimerLocked()
	return l.ttl, nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	lostAnswer, err := s.beginCall(ctx, KindRevoke, nil)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.expireLocked()
	if _, ok := s.leases[id]; !ok {
		s.mu.Unlock()
		return leaseNotFound("revoke", id)
	}
	s.endLeaseLocked(id)
	s.mu.Unlock()
	return lostAnswer
}

// ExpireLeases removes expired leases and deletes their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
}

func (s *Store) expireLocked() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *Store) endLeaseLocked(id store.LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	next := s.revision + 1
	for key := range l.keys {
		s.deleteLocked(key, next)
	}
	s.commitLocked(next)
}

// resetTimerLocked sets the timer to the earliest expiry, so that watchers are
// notified of it without a call to the store.
func (s *Store) resetTimerLocked() {
	if !s.autoExpire || len(s.leases) == 0 {
		return
	}
	var earliest time.Time
	for _, l := range s.leases {
		if earliest.IsZero() || l.expires.Before(earliest) {
			earliest = l.expires
		}
	}
	wait := max(0, earliest.Sub(s.now()))
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.onTimer)
		return
	}
	s.timer.Reset(wait)
}

func (s *Store) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.resetTimerLocked()
}

func (s *Store) checkLeasesLocked(ops []store.Op) error {
	for _, op := range ops {
		if op.Kind != store.OpPut || op.Lease == 0 {
			continue
		}
		if _, ok := s.leases[op.Lease]; !ok {
			return leaseNotFound("txn", op.Lease)
		}
	}
	return nil
}

func (s *Store) attachLocked(id store.LeaseID, key string) {
	if l, ok := s.leases[id]; ok {
		l.keys[key] = struct{}{}
	}
}

func (s *Store) detachLocked(id store.LeaseID, key string) {
	if l, ok := s.leases[id]; ok {
		delete(l.keys, key)
	}
}

func leaseNotFound(op string, id store.LeaseID) error {
	return newError(op, store.LeaseNotFound, errors.Errorf("lease %d not found", id))
}
