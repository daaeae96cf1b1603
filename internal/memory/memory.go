// Package memory accounts for the bytes that a process holds for callers and backend servers:
// request bodies, and responses that their callers have not taken yet.
package memory

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// heapFraction is the fraction of the process's memory that is set as the Go memory limit,
	// above which the garbage collector works harder. The rest is for stacks, kernel buffers
	// that are charged to the process, and garbage not yet collected.
	heapFraction = 0.6
	// ownBytes is the heap that a process needs for itself: its copy of the store's lists, its
	// connections and the state of the other nodes.
	ownBytes = 32 << 20
	// accountFraction is the fraction of the other heap that may be held. The rest is for garbage
	// and for the response that exceeds the limit.
	accountFraction = 0.75
	// minLimit is the room for one body of the usual largest size on a process with little memory.
	minLimit = 8 << 20
)

// HeapLimit returns the Go memory limit of a process with the given memory; 0 for none.
func HeapLimit(memoryMB int) int64 { return int64(float64(memoryMB) * heapFraction * (1 << 20)) }

// Limit returns the limit of the account of a process with the given memory; 0 for none.
func Limit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return 0
	}
	return max(int64(float64(HeapLimit(memoryMB)-ownBytes)*accountFraction), minLimit)
}

const (
	// smallHold is the largest hold that may use the small room.
	smallHold = 128 << 10
	// Parts of the limit, in sixteenths. smallRoom is kept for small holds, so that calls that hold
	// much, as of servers whose responses have no end, leave room for others. The rest is shared: large
	// and small requests are admitted up to largeShared and smallShared, and responses up to the whole.
	smallRoom, sharedRoom    = 1, 15
	largeShared, smallShared = 10, 13
)

var (
	limitBytes = metrics.NewGauge("fennel_memory_limit_bytes", nil)
	refused    = map[bool]*metrics.Counter{
		true:  metrics.NewCounter(`fennel_memory_refusals_total{size="small"}`),
		false: metrics.NewCounter(`fennel_memory_refusals_total{size="large"}`),
	}
	responseWaits = metrics.NewCounter("fennel_memory_response_waits_total")
	usedTotal     atomic.Int64
	_             = metrics.NewGauge("fennel_memory_used_bytes", func() float64 { return float64(usedTotal.Load()) })
)

// Account is a limited number of bytes. All methods are safe for concurrent use, and allowed on
// a nil account, which has no limit.
type Account struct {
	limit int64

	mu sync.Mutex
	// shared and small are the bytes held in the two rooms.
	shared, small int64
	// waiting holds the responses that wait for room, in order of arrival.
	waiting []*waiter
	// overdrawn is the hold that may exceed the limit; nil for none. Without it, responses
	// that each hold a part of what they need could wait for each other.
	overdrawn *Hold
}

type waiter struct {
	hold    *Hold
	bytes   int64
	granted chan struct{}
}

// New returns an account with a limit in bytes; 0 for none.
func New(limit int64) *Account {
	limitBytes.Set(float64(limit))
	return &Account{limit: limit}
}

// Hold is what one call holds. All methods are safe for concurrent use, and allowed on a nil hold.
type Hold struct {
	account *Account
	// shared and small are the bytes in the two rooms. They and users are guarded by account.mu.
	shared, small int64
	users         int
}

func (h *Hold) bytes() int64 { return h.shared + h.small }

// Admit returns a hold of the given size for a new request, or false if there is no room for it.
func (a *Account) Admit(bytes int64) (*Hold, bool) {
	if a == nil {
		return nil, true
	}
	h := &Hold{account: a, users: 1}
	return h, h.TryGrow(bytes)
}

// TryGrow adds bytes for a part of a request, and returns false if there is no room for them.
func (h *Hold) TryGrow(bytes int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addSmall(h, bytes) {
		return true
	}
	small := h.bytes()+bytes <= smallHold
	if a.limit > 0 && !a.admits(h.small+bytes, small) {
		refused[small].Inc()
		return false
	}
	a.addShared(h, bytes)
	return true
}

// admits reports whether bytes of a request fit into the shared room; mu is held.
func (a *Account) admits(bytes int64, small bool) bool {
	if small {
		return a.shared+bytes <= a.limit/16*smallShared
	}
	return len(a.waiting) == 0 && a.shared+bytes <= a.limit/16*largeShared
}

// addSmall adds bytes to a hold in the small room, or returns false if there is no room or the hold is not
// small; mu is held.
func (a *Account) addSmall(h *Hold, bytes int64) bool {
	if h.bytes()+bytes > smallHold || a.small+bytes > a.limit/16*smallRoom {
		return false
	}
	h.small += bytes
	a.small += bytes
	usedTotal.Add(bytes)
	return true
}

// addShared adds bytes to a hold in the shared room, and moves it there; mu is held.
func (a *Account) addShared(h *Hold, bytes int64) {
	a.shared += h.small + bytes
	a.small -= h.small
	h.shared, h.small = h.bytes()+bytes, 0
	usedTotal.Add(bytes)
}

// remove takes bytes from a hold; mu is held.
func (a *Account) remove(h *Hold, bytes int64) {
	ofSmall := min(bytes, h.small)
	h.small -= ofSmall
	a.small -= ofSmall
	h.shared -= bytes - ofSmall
	a.shared -= bytes - ofSmall
	usedTotal.Add(-bytes)
}

// Grow adds bytes for a part of a response, and waits for room until ctx ends.
func (h *Hold) Grow(ctx context.Context, bytes int64) error {
	if h == nil {
		return nil
	}
	a := h.account
	a.mu.Lock()
	if a.addSmall(h, bytes) || len(a.waiting) == 0 && a.grant(h, bytes) {
		a.mu.Unlock()
		return nil
	}
	w := &waiter{hold: h, bytes: bytes, granted: make(chan struct{})}
	a.waiting = append(a.waiting, w)
	a.grantWaiting()
	a.mu.Unlock()
	responseWaits.Inc()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, other := range a.waiting {
		if other == w {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			a.grantWaiting()
			return context.Cause(ctx)
		}
	}
	return nil // granted meanwhile
}

// grant adds bytes to a hold if there is room, or if it may exceed the limit; mu is held.
func (a *Account) grant(h *Hold, bytes int64) bool {
	if a.limit > 0 && a.shared+h.small+bytes > a.limit/16*sharedRoom {
		if a.overdrawn != nil && a.overdrawn != h {
			return false
		}
		a.overdrawn = h
	}
	a.addShared(h, bytes)
	return true
}

// grantWaiting grants what waits, in order. The hold that may exceed the limit goes first: the
// others wait for its end, or for room in the small one. mu is held.
func (a *Account) grantWaiting() {
	kept := a.waiting[:0]
	blocked := false
	for _, w := range a.waiting {
		if !a.addSmall(w.hold, w.bytes) && (blocked && w.hold != a.overdrawn || !a.grant(w.hold, w.bytes)) {
			blocked = true
			kept = append(kept, w)
			continue
		}
		close(w.granted)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// Shrink gives bytes back.
func (h *Hold) Shrink(bytes int64) {
	if h == nil || bytes == 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.remove(h, bytes)
	h.account.grantWaiting()
}

// Retain adds a user, for whom the hold lasts until one more Release.
func (h *Hold) Retain() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.users++
}

// Release gives everything back once all users have released the hold.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.users--; h.users > 0 {
		return
	}
	a.remove(h, h.bytes())
	if a.overdrawn == h {
		a.overdrawn = nil
	}
	a.grantWaiting()
}

// Used returns the bytes held.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shared + a.small
}
