package standinengine

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// prefixCache is an LRU cache of prompt prefixes. It logs insertions and evictions
// as events, which are published with a delay and with some dropped.
type prefixCache struct {
	capacity  int
	lag       time.Duration
	dropEvery int64

	mu      sync.Mutex
	lastUse map[uint64]int64 // prefix hash -> value of useSeq at the last use
	useSeq  int64
	seq     int64
	events  []timedCacheEvent
}

type timedCacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// maxCacheEvents limits the event log. A client that polls too late sees a gap in
// the sequence numbers.
const maxCacheEvents = 4096

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		capacity: o.CacheBlocks, lag: o.CacheEventLag, dropEvery: int64(o.CacheEventGap),
		lastUse: map[uint64]int64{},
	}
}

// touch inserts or refreshes the prompt's prefixes and returns the number of blocks
// that were not cached.
func (c *prefixCache) touch(text string, now time.Time) (uncached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range engine.PrefixHashes(text) {
		c.useSeq++
		if _, ok := c.lastUse[h]; !ok {
			uncached++
			c.appendEvent(engine.CacheEvent{PrefixHash: h}, now)
		}
		c.lastUse[h] = c.useSeq
	}
	for len(c.lastUse) > c.capacity {
		c.evictOldest(now)
	}
	return uncached
}

func (c *prefixCache) evictOldest(now time.Time) {
	var oldest uint64
	age := c.useSeq + 1
	for h, at := range c.lastUse {
		if at < age {
			oldest, age = h, at
		}
	}
	delete(c.lastUse, oldest)
	c.appendEvent(engine.CacheEvent{PrefixHash: oldest, Evicted: true}, now)
}

func (c *prefixCache) appendEvent(e engine.CacheEvent, now time.Time) {
	c.seq++
	if c.dropEvery > 0 && c.seq%c.dropEvery == 0 {
		return
	}
	e.Seq = c.seq
	c.events = append(c.events, timedCacheEvent{at: now, event: e})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after seq that are at least lag old, and the
// sequence number to continue from.
func (c *prefixCache) eventsAfter(seq int64, now time.Time) (events []engine.CacheEvent, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = seq
	for _, e := range c.events {
		if e.event.Seq > seq && now.Sub(e.at) >= c.lag {
			events = append(events, e.event)
			next = e.event.Seq
		}
	}
	return events, next
}
