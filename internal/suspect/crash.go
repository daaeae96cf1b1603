package suspect

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// crash is one crash of one replica and the fingerprints in flight on it.
type crash struct {
	id         uint64
	replica    cluster.ReplicaID
	generation int64
	at         time.Time
	keys       []key
	// tells counts for each part of chunkKeys fingerprints.
	tells [crashKeys / chunkKeys]tells
}

const (
	// crashKeys bounds the fingerprints of one crash.
	crashKeys = 128
	// chunkKeys is how many of them one mark carries, so that it fits beside others.
	chunkKeys = 16
	// crashesPerShard bounds the crashes remembered.
	crashesPerShard = 64
	// crashWindow is how long after a crash a request that was in flight on the
	// replica may notice it: a silent connection takes a while.
	crashWindow = time.Minute
	// deadGrace is for how long after a crash requests may still be sent to the
	// dead replica.
	deadGrace = 5 * time.Second
	// sameCrashGap is how far apart two nodes may date one crash.
	sameCrashGap = 5 * time.Second
	// crashTold is for how long a crash is passed on.
	crashTold = time.Minute
)

// crashShard holds the crashes of some replicas, and where suspects run.
type crashShard struct {
	mu      sync.Mutex
	crashes []*crash // oldest first
	// alone holds the suspects that run on a replica, here or elsewhere, with the
	// time until which that is believed.
	alone map[cluster.ReplicaID]map[key]time.Time
	// freed is when the last suspect left a replica; turns is when all turns began anew.
	freed map[cluster.ReplicaID]time.Time
	turns time.Time
}

// local finds or adds the crash that ended a run of this node which began at began.
// A run that began after a crash of the same replica met another crash; but soon
// after, it met the dead replica before its health was noticed, and nil is
// returned: that says nothing about the request.
func (s *crashShard) local(replica cluster.ReplicaID, generation int64, k key, began, now time.Time, newID uint64) *crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.crashes) {
		if c.replica != replica || c.generation != generation || now.Sub(c.at) > crashWindow {
			continue
		}
		if !began.After(c.at) {
			c.add(k)
			return c
		}
		if began.Sub(c.at) <= deadGrace {
			return nil
		}
	}
	c := s.insert(newID, replica, generation, now)
	c.add(k)
	return c
}

// remote finds or adds a crash that a peer told of, adds its fingerprints and
// returns it with those that are news. Both nodes may have named the same crash.
func (s *crashShard) remote(id uint64, replica cluster.ReplicaID, generation int64, at time.Time, keys []key) (*crash, []key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.find(id, replica, generation, at)
	if c == nil {
		c = s.insert(id, replica, generation, at)
	}
	var news []key
	for _, k := range keys {
		if c.add(k) {
			news = append(news, k)
		}
		delete(s.alone[replica], k)
	}
	return c, news
}

func (s *crashShard) insert(id uint64, replica cluster.ReplicaID, generation int64, at time.Time) *crash {
	if len(s.crashes) == crashesPerShard {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	c := &crash{id: id, replica: replica, generation: generation, at: at}
	s.crashes = append(s.crashes, c)
	return c
}

func (c *crash) add(k key) bool {
	if slices.Contains(c.keys, k) || len(c.keys) == crashKeys {
		return false
	}
	c.tells[len(c.keys)/chunkKeys] = tells{}
	c.keys = append(c.keys, k)
	return true
}

// keysOf returns the fingerprints known to have been in flight in a crash.
func (s *crashShard) keysOf(id uint64) []key {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.crashes {
		if c.id == id {
			return slices.Clone(c.keys)
		}
	}
	return nil
}

// aloneOn returns the suspects that are believed to run on a replica alone and
// whose end there has not been heard of.
func (s *crashShard) aloneOn(replica cluster.ReplicaID) []key {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.alone[replica]))
}

// exonerate takes a cleared fingerprint off a crash, so that it is told no more.
func (s *crashShard) exonerate(id uint64, k key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.crashes {
		if c.id == id {
			c.keys = slices.DeleteFunc(c.keys, func(other key) bool { return other == k })
		}
	}
}

// find returns the crash that a peer names by an id, or that it dates closely
// enough to be the same; nil if none is known.
func (s *crashShard) find(id uint64, replica cluster.ReplicaID, generation int64, at time.Time) *crash {
	for _, c := range s.crashes {
		if c.id == id || c.replica == replica && c.generation == generation && at.Sub(c.at).Abs() <= sameCrashGap {
			return c
		}
	}
	return nil
}

// unheard reports whether a peer's crash is not known yet. One that two nodes met
// has two ids: by the id alone the other's would be news with every heartbeat.
func (s *crashShard) unheard(id uint64, replica cluster.ReplicaID, generation int64, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(id, replica, generation, at) == nil
}

// setAlone notes that a suspect runs on a replica until a time.
func (s *crashShard) setAlone(replica cluster.ReplicaID, k key, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alone[replica] == nil {
		s.alone[replica] = make(map[key]time.Time)
	}
	s.alone[replica][k] = until
}

// endAlone notes that a suspect no longer runs on a replica.
func (s *crashShard) endAlone(replica cluster.ReplicaID, k key, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ran := s.alone[replica][k]; ran {
		s.remove(replica, k, now)
	}
}

func (s *crashShard) remove(replica cluster.ReplicaID, k key, now time.Time) {
	delete(s.alone[replica], k)
	if len(s.alone[replica]) == 0 {
		delete(s.alone, replica)
		s.freed[replica] = now
	}
}

// startTurns lets the nodes take their turns on all replicas from now on.
func (s *crashShard) startTurns(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns = now
	clear(s.freed)
}

// freeFor returns for how long no suspect has run on the replica while turns went
// on, as far as is known; negative while one runs.
func (s *crashShard) freeFor(replica cluster.ReplicaID, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, until := range s.alone[replica] {
		if now.Before(until) {
			return -1
		}
		s.remove(replica, k, until)
	}
	return now.Sub(later(s.freed[replica], s.turns))
}
