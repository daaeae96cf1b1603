package claims

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/singleflight"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Bucket length. A claim's lease may expire up to one bucket after the retention.
const (
	bucketsPerRetention = 24
	minBucket           = time.Minute
	maxBucket           = time.Hour
)

// leases provides the lease that the claims of all nodes share for the current time
// bucket. One lease per claim would cost a store call and a timer in the store each;
// a shared lease costs each node one read per bucket.
//
// The lease's TTL is the retention, plus the bucket length, since claims are added
// to it for that long, plus twice MaxClockSkew.
type leases struct {
	store         store.Store
	retention     time.Duration
	bucket        time.Duration
	lookupTimeout time.Duration
	now           func() time.Time

	lookups singleflight.Group

	mu     sync.Mutex
	cached bucketLease
}

type bucketLease struct {
	id     store.LeaseID
	number int64
	// readAt has a monotonic reading: a cached lease is used for at most one bucket
	// length, even if the wall clock jumps.
	readAt time.Time
}

func newLeases(s store.Store, retention, lookupTimeout time.Duration, now func() time.Time) *leases {
	bucket := min(max(retention/bucketsPerRetention, minBucket), maxBucket)
	return &leases{store: s, retention: retention, bucket: bucket, lookupTimeout: lookupTimeout, now: now}
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
	// The lookup is shared by concurrent callers, so it must not end with the context
	// of one of them.
	v, err, _ := l.lookups.Do("lease", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.lookupTimeout)
		defer cancel()
		id, err := l.readOrGrant(ctx, store.ClaimLeaseKey(number))
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

// invalidate removes a lease that the store no longer has from the cache.
func (l *leases) invalidate(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cached.id == id {
		l.cached = bucketLease{}
	}
}

// readOrGrant reads the bucket's lease or grants it. The bucket's key is attached to
// its own lease, so both expire together. A lease that ends up unused, because another
// node was first or a response was lost, has no keys attached and expires.
func (l *leases) readOrGrant(ctx context.Context, key string) (store.LeaseID, error) {
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
		_ = l.store.Revoke(ctx, id) // no keys are attached; if this fails, it expires
		return res.Gets[0].Lease, nil
	}
	return 0, errors.Errorf("claim lease key %s has no lease attached", key)
}
