package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// nodeBackoffs holds until when no calls are offered to nodes that did not take one.
type nodeBackoffs struct {
	mu    sync.Mutex
	byKey map[backoffKey]backoff
	// takenAt is when a node last took a call.
	takenAt time.Time
}

// backoffKey is a node, for calls to one group or, if that is empty, to all, or a zone.
type backoffKey struct {
	node  cluster.NodeID
	group cluster.GroupName
	zone  cluster.ZoneID
}

// backoff is the time until which a node is offered no calls.
type backoff struct {
	until  time.Time
	length time.Duration
}

// add backs the keys off for d, or for twice the time of their last backoff if that is longer and
// ended less than its length ago.
func (b *nodeBackoffs) add(d time.Duration, now time.Time, keys ...backoffKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, old := range b.byKey {
		if now.Sub(old.until) > old.length {
			delete(b.byKey, key)
		}
	}
	if b.byKey == nil {
		b.byKey = make(map[backoffKey]backoff)
	}
	for _, key := range keys {
		length := max(d, min(2*b.byKey[key].length, maxNodeBackoff))
		b.byKey[key] = backoff{now.Add(length), length}
	}
}

// contains reports whether any of the keys is backed off.
func (b *nodeBackoffs) contains(now time.Time, keys ...backoffKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(keys, func(key backoffKey) bool { return now.Before(b.byKey[key].until) })
}

// taken records that a node took a call.
func (b *nodeBackoffs) taken(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takenAt = now
}

// exhausted reports whether so many nodes are backed off, and none has lately taken a call, that
// asking yet another one is of no use.
func (b *nodeBackoffs) exhausted(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.takenAt) < nodeBackoff {
		return false
	}
	nodes := 0
	for key, backoff := range b.byKey {
		if key.node != "" && key.group == "" && now.Before(backoff.until) {
			nodes++
		}
	}
	return nodes >= maxBackedOffNodes
}
