package standinengine

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// prefixCache holds prompt prefixes, least recently used first out, and the log
// of events about them, which is published late and with gaps.
type prefixCache struct {
	capacity int
	lag      time.Duration
	gapEvery int64

	mu     sync.Mutex
	used   map[uint64]int64 // prefix hash -> last use
	clock  int64
	seq    int64
	events []timedCacheEvent
}

type timedCacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// maxCacheEvents bounds the log; older events are a gap to whoever asks late.
const maxCacheEvents = 4096

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		capacity: o.CacheBlocks, lag: o.CacheEventLag, gapEvery: int64(o.CacheEventGap),
		used: map[uint64]int64{},
	}
}

// touch caches the prompt's prefixes and returns how many blocks were not cached.
func (c *prefixCache) touch(text string, now time.Time) (uncached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range engine.PrefixHashes(text) {
		c.clock++
		if _, ok := c.used[h]; !ok {
			uncached++
			c.log(engine.CacheEvent{PrefixHash: h}, now)
		}
		c.used[h] = c.clock
	}
	for len(c.used) > c.capacity {
		c.evictOldest(now)
	}
	return uncached
}

func (c *prefixCache) evictOldest(now time.Time) {
	var oldest uint64
	age := c.clock + 1
	for h, at := range c.used {
		if at < age {
			oldest, age = h, at
		}
	}
	delete(c.used, oldest)
	c.log(engine.CacheEvent{PrefixHash: oldest, Evicted: true}, now)
}

func (c *prefixCache) log(e engine.CacheEvent, now time.Time) {
	c.seq++
	if c.gapEvery > 0 && c.seq%c.gapEvery == 0 {
		return
	}
	e.Seq = c.seq
	c.events = append(c.events, timedCacheEvent{at: now, event: e})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the events past seq that are old enough to be published.
func (c *prefixCache) after(seq int64, now time.Time) (events []engine.CacheEvent, next int64) {
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
