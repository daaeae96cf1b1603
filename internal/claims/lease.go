package claims

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/singleflight"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Bucket bounds: a claim's lease ends up to one bucket after the retention.
const (
	bucketsPerRetention = 24
	minBucket           = time.Minute
	maxBucket           = time.Hour
)

// leases finds the lease that all claims of the current time bucket share, over
// all nodes. One lease per claim would cost a call each and a timer each in the
// store; a shared one costs each node one read per bucket.
//
// The lease lives for the retention, plus the bucket's length, since claims are
// added to it for that long, plus twice the clock skew that nodes may have.
type leases struct {
	store     store.Store
	retention time.Duration
	bucket    time.Duration
	limit     time.Duration // bounds one look-up
	now       func() time.Time

	lookups singleflight.Group

	mu     sync.Mutex
	cached bucketLease
}

type bucketLease struct {
	id     store.LeaseID
	number int64
	// readAt has the monotonic clock: a cached lease is not used past one
	// bucket, whatever the wall clock says.
	readAt time.Time
}

func newLeases(s store.Store, retention, limit time.Duration, now func() time.Time) *leases {
	bucket := min(max(retention/bucketsPerRetention, minBucket), maxBucket)
	return &leases{store: s, retention: retention, bucket: bucket, limit: limit, now: now}
}

func (l *leases) ttl() time.Duration { return l.retention + l.bucket + 2*MaxClockSkew }

// current returns the lease for claims made now.
func (l *leases) current(ctx context.Context) (store.LeaseID, error) {
	now := l.now()
	number := now.UnixNano() / int64(l.bucket)
	l.mu.Lock()
	c := l.cached
	l.mu.Unlock()
	if c.id != 0 && c.number == number && now.Sub(c.readAt) < l.bucket {
		return c.id, nil
	}
	// Shared by the callers of the moment, so no caller's context ends it.
	v, err, _ := l.lookups.Do("lease", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.limit)
		defer cancel()
		id, err := l.find(ctx, store.ClaimLeaseKey(number))
		if err != nil {
			return store.LeaseID(0), err
		}
		l.mu.Lock()
		l.cached = bucketLease{id: id, number: number, readAt: now}
		l.mu.Unlock()
		return id, nil
	})
	return v.(store.LeaseID), err
}

// forget drops a cached lease that the store no longer knows.
func (l *leases) forget(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cached.id == id {
		l.cached = bucketLease{}
	}
}

// find reads the bucket's lease or makes it. The key is attached to the lease
// that it names, so both go together. A lease that was granted in vain, because
// another node was first or an answer was lost, holds no key and runs out.
func (l *leases) find(ctx context.Context, key string) (store.LeaseID, error) {
	kv, _, err := l.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if kv != nil && kv.Lease != 0 {
		return kv.Lease, nil
	}
	id, err := l.store.Grant(ctx, l.ttl())
	if err != nil {
		return 0, err
	}
	res, err := l.store.Txn(ctx, store.Txn{
		Guards: []store.Guard{store.Absent(key)},
		Then:   []store.Op{store.Put(key, nil, id)},
		Else:   []store.Op{store.GetOp(key)},
	})
	switch {
	case err != nil:
		return 0, err
	case res.Succeeded:
		return id, nil
	case len(res.Gets) == 1 && res.Gets[0] != nil && res.Gets[0].Lease != 0:
		_ = l.store.Revoke(ctx, id) // it holds nothing; if this fails it runs out
		return res.Gets[0].Lease, nil
	}
	return 0, errors.Errorf("claim lease key %s names no lease", key)
}
