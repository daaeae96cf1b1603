package routing

import (
	"sync"
	"time"
)

// prefixIndex maps prompt prefixes to the replicas that probably cache them. It is updated
// from the engines' cache events, which arrive late and with gaps, and from this node's own
// picks, which predict what an engine will cache. A wrong entry only costs a cache miss. The
// size of the index is bounded.
type prefixIndex struct {
	shards [prefixShards]prefixShard
	expiry time.Duration
}

const (
	prefixShards = 32
	// maxHolders is the largest number of replicas recorded per prefix.
	maxHolders = 4
)

// prefixShard evicts entries with the second-chance (clock) algorithm.
type prefixShard struct {
	mu      sync.Mutex
	entries map[uint64]*prefixEntry
	ring    []uint64 // hashes in order of insertion
	hand    int      // index in ring of the next candidate for eviction
}

type prefixEntry struct {
	holders [maxHolders]holder
	used    bool
}

// holder is a replica that probably caches the prefix. A holder that has not been renewed
// within the index's expiry is ignored, because its eviction may have been lost in a gap.
type holder struct {
	entry *entry
	epoch uint32
	at    time.Time
}

func newPrefixIndex(size int, expiry time.Duration) *prefixIndex {
	x := &prefixIndex{expiry: expiry}
	perShard := max(size/prefixShards, 1)
	for i := range x.shards {
		x.shards[i].entries = make(map[uint64]*prefixEntry)
		x.shards[i].ring = make([]uint64, 0, perShard)
	}
	return x
}

func (x *prefixIndex) shard(hash uint64) *prefixShard { return &x.shards[hash%prefixShards] }

// add records the replica as a holder, replacing its previous record or the oldest one.
func (x *prefixIndex) add(hash uint64, e *entry, epoch uint32, now time.Time) {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.entries[hash]
	if p == nil {
		p = &prefixEntry{}
		s.insert(hash, p)
	}
	slot := 0
	for i, h := range p.holders {
		if h.entry == e {
			slot = i
			break
		}
		if h.at.Before(p.holders[slot].at) {
			slot = i
		}
	}
	p.holders[slot] = holder{entry: e, epoch: epoch, at: now}
}

func (s *prefixShard) insert(hash uint64, p *prefixEntry) {
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, hash)
		s.entries[hash] = p
		return
	}
	for {
		old := s.entries[s.ring[s.hand]]
		if old == nil || !old.used {
			break
		}
		old.used = false
		s.hand = (s.hand + 1) % len(s.ring)
	}
	delete(s.entries, s.ring[s.hand])
	s.ring[s.hand] = hash
	s.hand = (s.hand + 1) % len(s.ring)
	s.entries[hash] = p
}

func (x *prefixIndex) remove(hash uint64, e *entry) {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.entries[hash]
	if p == nil {
		return
	}
	for i := range p.holders {
		if p.holders[i].entry == e {
			p.holders[i] = holder{}
		}
	}
}

// holders returns the holders of the prefix that have not expired. Unused slots have a nil
// entry.
func (x *prefixIndex) holders(hash uint64, now time.Time) (out [maxHolders]holder) {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.entries[hash]
	if p == nil {
		return out
	}
	p.used = true
	for i, h := range p.holders {
		if h.entry != nil && now.Sub(h.at) < x.expiry {
			out[i] = h
		}
	}
	return out
}
