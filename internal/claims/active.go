package claims

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// activeShards spreads the calls in progress over locks.
const activeShards = 64

// active holds the calls that this node is claiming, running or still recording,
// by digest. A repeat of one is answered from here, without the store; that also
// keeps two writes on one key out of one batch.
type active struct {
	shards [activeShards]activeShard
}

type activeShard struct {
	mu    sync.Mutex
	calls map[digest]*activeCall
}

// activeCall is one call in progress at this node; rec changes to Done or
// Unknown while the outcome is on its way to the store.
type activeCall struct {
	id  writeID
	rec record
}

func (a *active) shard(d digest) *activeShard {
	return &a.shards[xxhash.Sum64String(string(d))%activeShards]
}

// begin enters a call, or returns the record of the one that is there already.
func (a *active) begin(d digest, rec record) (existing record, ok bool) {
	s := a.shard(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[d]; c != nil {
		return c.rec, false
	}
	if s.calls == nil {
		s.calls = make(map[digest]*activeCall)
	}
	s.calls[d] = &activeCall{id: rec.ID, rec: rec}
	return record{}, true
}

// update replaces the call's record if it is still the one that id entered.
func (a *active) update(d digest, rec record) {
	s := a.shard(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[d]; c != nil && c.id == rec.ID {
		c.rec = rec
	}
}

// end removes the call that id entered.
func (a *active) end(d digest, id writeID) {
	s := a.shard(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[d]; c != nil && c.id == id {
		delete(s.calls, d)
	}
}

func (a *active) size() int {
	n := 0
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		n += len(s.calls)
		s.mu.Unlock()
	}
	return n
}

// freedClaims remembers claims of this process that certainly never ran while
// their records may still stand in the store. Forgetting one is safe: its key
// then stays pending until it counts as lost.
type freedClaims struct {
	mu    sync.Mutex
	ids   map[writeID]struct{}
	order []writeID // oldest first
	limit int
}

func newFreedClaims(limit int) *freedClaims {
	return &freedClaims{ids: make(map[writeID]struct{}), limit: limit}
}

func (f *freedClaims) add(id writeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.ids[id]; ok {
		return
	}
	if len(f.order) >= f.limit {
		delete(f.ids, f.order[0])
		f.order = f.order[1:]
	}
	f.ids[id] = struct{}{}
	f.order = append(f.order, id)
}

func (f *freedClaims) has(id writeID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.ids[id]
	return ok
}
