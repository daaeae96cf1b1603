package claims

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// activeShards is the number of independently locked parts of activeCalls.
const activeShards = 64

// activeCalls holds, by digest, the calls that this node is claiming, running or
// still recording. A repeat of one is answered from here without a store call,
// which also keeps two writes to one key out of the same batch.
type activeCalls struct {
	shards [activeShards]activeCallShard
}

type activeCallShard struct {
	mu    sync.Mutex
	calls map[digest]*activeCall
}

// activeCall is one call in progress at this node; rec changes to Done or
// Unknown while the outcome is on its way to the store.
type activeCall struct {
	id  writeID
	rec record
}

func (a *activeCalls) shard(d digest) *activeCallShard {
	return &a.shards[xxhash.Sum64String(string(d))%activeShards]
}

// begin adds a call. If the digest is present already, it returns the existing
// record and false.
func (a *activeCalls) begin(d digest, rec record) (existing record, ok bool) {
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

// update replaces the call's record if the call was added with the same write ID.
func (a *activeCalls) update(d digest, rec record) {
	s := a.shard(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[d]; c != nil && c.id == rec.ID {
		c.rec = rec
	}
}

// end removes the call that was added with id.
func (a *activeCalls) end(d digest, id writeID) {
	s := a.shard(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[d]; c != nil && c.id == id {
		delete(s.calls, d)
	}
}

func (a *activeCalls) size() int {
	n := 0
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		n += len(s.calls)
		s.mu.Unlock()
	}
	return n
}

// notRunClaims is a bounded set of this process's claims that were certainly never
// dispatched but whose records may still be in the store. Evicting one is safe: its
// key then stays pending until Options.PendingLimit.
type notRunClaims struct {
	mu    sync.Mutex
	ids   map[writeID]struct{}
	order []writeID // oldest first
	limit int
}

func newNotRunClaims(limit int) *notRunClaims {
	return &notRunClaims{ids: make(map[writeID]struct{}), limit: limit}
}

func (f *notRunClaims) add(id writeID) {
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

func (f *notRunClaims) has(id writeID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.ids[id]
	return ok
}
