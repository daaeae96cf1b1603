package routing

import (
	"sync"
	"time"
)

// prefixIndex maps prompt prefixes to the replicas that probably cache them. It
// is fed by the engines' cache events, which come late and with gaps, and by this
// node's own choices, which foretell what an engine will cache. It is a hint: a
// wrong entry costs a cache miss, nothing else. Its size is bounded.
type prefixIndex struct {
	shards [prefixShards]prefixShard
	expiry time.Duration
}

const (
	prefixShards = 32
	// maxHolders is how many replicas are remembered for one prefix.
	maxHolders = 4
)

type prefixShard struct {
	mu   sync.Mutex
	m    map[uint64]*prefixEntry
	ring []uint64 // insertion order, with a second chance for those used since
	hand int
}

type prefixEntry struct {
	holders [maxHolders]holder
	used    bool
}

// holder is one replica that caches the prefix. An entry that nothing renewed
// for the index's expiry is void, for its eviction may have been lost in a gap.
type holder struct {
	entry *entry
	epoch uint32
	at    time.Time
}

func newPrefixIndex(size int, expiry time.Duration) *prefixIndex {
	x := &prefixIndex{expiry: expiry}
	perShard := max(size/prefixShards, 1)
	for i := range x.shards {
		x.shards[i].m = make(map[uint64]*prefixEntry)
		x.shards[i].ring = make([]uint64, 0, perShard)
	}
	return x
}

func (x *prefixIndex) shard(hash uint64) *prefixShard { return &x.shards[hash%prefixShards] }

// add remembers the holder, in place of the same replica's or the oldest one.
func (x *prefixIndex) add(hash uint64, e *entry, epoch uint32, now time.Time) {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.m[hash]
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
		s.m[hash] = p
		return
	}
	for {
		old := s.m[s.ring[s.hand]]
		if old == nil || !old.used {
			break
		}
		old.used = false
		s.hand = (s.hand + 1) % len(s.ring)
	}
	delete(s.m, s.ring[s.hand])
	s.ring[s.hand] = hash
	s.hand = (s.hand + 1) % len(s.ring)
	s.m[hash] = p
}

func (x *prefixIndex) remove(hash uint64, e *entry) {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.m[hash]
	if p == nil {
		return
	}
	for i := range p.holders {
		if p.holders[i].entry == e {
			p.holders[i] = holder{}
		}
	}
}

// holders returns the live holders of the prefix; unused slots have a nil entry.
func (x *prefixIndex) holders(hash uint64, now time.Time) (out [maxHolders]holder) {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.m[hash]
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
