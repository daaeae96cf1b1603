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

// leaseMarginDivisor sets how much of a lease's life is left unused: a quarter.
// It covers the difference in rate between this clock and the store's.
const leaseMarginDivisor = 4

// holderRecord is the value of the lease key.
type holderRecord struct {
	Node    cluster.NodeID `json:"node"`
	WriteID string         `json:"write_id"`
}

// Lease is the zone's placement lease as its holder knows it.
type Lease struct {
	store store.Store
	key   string
	id    store.LeaseID
	fence cluster.Fence
	ttl   time.Duration

	mu    sync.Mutex
	since moment        // when the request that last extended the lease was sent
	life  time.Duration // how long after since the holder may act
	lost  bool
}

// AcquireLease tries once to become the holder; it returns nil, nil when another
// node is. The fencing number is the create revision of the lease key.
func AcquireLease(ctx context.Context, s store.Store, zone cluster.ZoneID, node cluster.NodeID, ttl time.Duration) (*Lease, error) {
	key := store.PlacementLeaseKey(zone)
	kv, _, err := s.Get(ctx, key)
	if err != nil || kv != nil {
		return nil, err
	}
	sent := momentNow()
	id, err := s.Grant(ctx, ttl)
	if err != nil {
		return nil, err
	}
	lease := &Lease{store: s, key: key, id: id, ttl: ttl, since: sent, life: usable(ttl)}
	record := holderRecord{Node: node, WriteID: newWriteID()}
	if err := lease.create(ctx, record); err != nil || lease.fence == 0 {
		lease.Revoke(ctx)
		return nil, err
	}
	return lease, nil
}

// create puts the lease key if it is absent. When the answer is lost, the key is
// read back: it is ours if it carries our write id.
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
	if !isUnknown(err) {
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

// Fence is the fencing number of this term.
func (l *Lease) Fence() cluster.Fence { return l.fence }

// Guard is the condition under which every write of this term is made. The key
// is written once, so its last change is its creation, which every driver can
// compare.
func (l *Lease) Guard() store.Guard { return store.ModifiedAt(l.key, int64(l.fence)) }

// Remaining is how much longer the holder may act at now; never negative.
func (l *Lease) Remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return 0
	}
	return max(0, l.life-l.since.elapsed(now))
}

// Extend keeps the lease alive once. A lease that the store no longer knows is lost.
func (l *Lease) Extend(ctx context.Context) error {
	sent := momentNow()
	left, err := l.store.KeepAlive(ctx, l.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if e, ok := errors.Into[*store.Error](err); ok && e.Kind == store.LeaseNotFound {
			l.lost = true
		}
		return err
	}
	l.since = sent
	l.life = usable(min(left, l.ttl))
	return nil
}

// MarkLost marks the lease as lost, when a guarded write shows that it is.
func (l *Lease) MarkLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

// Lost reports whether the lease is known to be over; one that was not extended in time
// is not lost by that.
func (l *Lease) Lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// Revoke gives the lease up, so that another node need not wait for it to lapse.
// A failure is ignored: the lease then lapses by itself.
func (l *Lease) Revoke(ctx context.Context) {
	l.MarkLost()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = l.store.Revoke(ctx, l.id)
}

func usable(life time.Duration) time.Duration { return life - life/leaseMarginDivisor }

// moment is a point in time by two clocks.
type moment struct {
	at   time.Time
	boot time.Duration
}

func momentNow() moment { return moment{at: time.Now(), boot: clock.SinceBoot()} }

// elapsed is the time since the moment by the clock that shows most. A suspended
// VM's monotonic clock stands still while the store's lease runs on; the time of
// day shows that, unless it was set back, and the clock since boot always does.
func (m moment) elapsed(now time.Time) time.Duration {
	return max(now.Sub(m.at), now.Round(0).Sub(m.at.Round(0)), clock.SinceBoot()-m.boot)
}

func isUnknown(err error) bool {
	e, ok := errors.Into[*store.Error](err)
	return !ok || e.Outcome == store.Unknown
}
