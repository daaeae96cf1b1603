package grouping

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// leaseMarginDivisor sets the fraction of a lease's TTL that is left unused: a quarter. It
// covers the difference in rate between this clock and the store's.
const leaseMarginDivisor = 4

// holderRecord is the value of the lease key.
type holderRecord struct {
	Node    cluster.NodeID `json:"node"`
	WriteID string         `json:"write_id"`
	// Addr is the ip:port of the holder's datagram listener; may be empty.
	Addr string `json:"addr,omitempty"`
}

// HolderAddr returns the ip:port of the holder's datagram listener from the value of the lease
// key, or "" if it names none.
func HolderAddr(leaseValue []byte) string {
	var record holderRecord
	if json.Unmarshal(leaseValue, &record) != nil {
		return "" // written by another version
	}
	return record.Addr
}

// LeaseOptions configure a Lease.
type LeaseOptions struct {
	Store store.Store
	Zone  cluster.ZoneID
	Node  cluster.NodeID
	TTL   time.Duration
	// Addr is the ip:port of the node's datagram listener, which other nodes learn from the
	// lease; may be empty.
	Addr string
	// SinceBoot is a clock that keeps counting while the VM is suspended; default
	// clock.SinceBoot.
	SinceBoot func() time.Duration
}

// Lease is the zone's placement lease as seen by its holder.
type Lease struct {
	store store.Store
	key   string
	id    store.LeaseID
	fence cluster.Fence
	ttl   time.Duration
	// sinceBoot is a clock that keeps counting while the VM is suspended.
	sinceBoot func() time.Duration

	mu         sync.Mutex
	extendedAt timestamp     // when the last successful extension was sent
	usableLife time.Duration // how long after extendedAt the holder may act
	lost       bool
}

// AcquireLease tries once to become the holder. It returns nil, nil if another node holds the
// lease. The fencing token is the create revision of the lease key.
func AcquireLease(ctx context.Context, opts LeaseOptions) (*Lease, error) {
	key := store.PlacementLeaseKey(opts.Zone)
	kv, _, err := opts.Store.Get(ctx, key)
	if err != nil || kv != nil {
		return nil, err
	}
	lease := &Lease{store: opts.Store, key: key, ttl: opts.TTL, usableLife: usableTTL(opts.TTL), sinceBoot: opts.SinceBoot}
	if lease.sinceBoot == nil {
		lease.sinceBoot = clock.SinceBoot
	}
	lease.extendedAt = lease.timestampNow()
	lease.id, err = opts.Store.Grant(ctx, opts.TTL)
	if err != nil {
		return nil, err
	}
	record := holderRecord{Node: opts.Node, WriteID: newWriteID(), Addr: opts.Addr}
	if err := lease.create(ctx, record); err != nil || lease.fence == 0 {
		lease.Revoke(ctx)
		return nil, err
	}
	return lease, nil
}

// create puts the lease key if it is absent. If the answer is lost, it reads the key back: the
// lease is ours if the key holds our write ID.
func (l *Lease) create(ctx context.Context, record holderRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode lease record")
	}
	result, err := l.store.Txn(ctx, store.Txn{
		Guards: []store.Guard{store.Absent(l.key)},
		Then:   []store.Op{store.Put(l.key, value, l.id)},
	})
	if err == nil {
		if result.Succeeded {
			l.fence = cluster.Fence(result.Revision)
		}
		return nil
	}
	if !outcomeUnknown(err) {
		return err
	}
	kv, _, readErr := l.store.Get(ctx, l.key)
	if readErr != nil {
		return readErr
	}
	var found holderRecord
	if kv != nil && json.Unmarshal(kv.Value, &found) == nil && found.WriteID == record.WriteID {
		l.fence = cluster.Fence(kv.CreateRevision)
	}
	return nil
}

// Fence returns the fencing token of this term.
func (l *Lease) Fence() cluster.Fence { return l.fence }

// Guard returns the condition that guards every write of this term. The key is written only
// once, so its mod revision equals its create revision; every driver can compare the mod
// revision.
func (l *Lease) Guard() store.Guard { return store.ModifiedAt(l.key, int64(l.fence)) }

// Remaining returns how much longer the holder may act at now; never negative.
func (l *Lease) Remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return 0
	}
	return max(0, l.usableLife-l.elapsed(l.extendedAt, now))
}

// Extend renews the lease once. A lease that the store no longer knows is marked lost.
func (l *Lease) Extend(ctx context.Context) error {
	sent := l.timestampNow()
	left, err := l.store.KeepAlive(ctx, l.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if e, ok := errors.Into[*store.Error](err); ok && e.Kind == store.LeaseNotFound {
			l.lost = true
		}
		return err
	}
	l.extendedAt = sent
	l.usableLife = usableTTL(min(left, l.ttl))
	return nil
}

// MarkLost marks the lease as lost after a guarded write has shown it.
func (l *Lease) MarkLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

// Lost reports whether the lease is known to be lost. A lease that was merely not extended in
// time is not.
func (l *Lease) Lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// Revoke releases the lease so that another node need not wait for it to expire. Failures are
// ignored, because the lease then expires by itself.
func (l *Lease) Revoke(ctx context.Context) {
	l.MarkLost()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = l.store.Revoke(ctx, l.id)
}

func usableTTL(life time.Duration) time.Duration { return life - life/leaseMarginDivisor }

// timestamp is a point in time on two clocks.
type timestamp struct {
	at        time.Time
	sinceBoot time.Duration
}

func (l *Lease) timestampNow() timestamp {
	return timestamp{at: time.Now(), sinceBoot: l.sinceBoot()}
}

// elapsed returns the time since the timestamp, by whichever clock shows the most. The
// monotonic clock of a suspended VM stops while the store's lease keeps running. The wall clock
// includes the suspension unless it was set back; the clock since boot always does.
func (l *Lease) elapsed(t timestamp, now time.Time) time.Duration {
	return max(now.Sub(t.at), now.Round(0).Sub(t.at.Round(0)), l.sinceBoot()-t.sinceBoot)
}

func outcomeUnknown(err error) bool {
	e, ok := errors.Into[*store.Error](err)
	return !ok || e.Outcome == store.Unknown
}
