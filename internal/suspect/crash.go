package suspect

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// crash is one crash of a replica and the fingerprints that were in flight on it.
type crash struct {
	id         uint64
	replica    cluster.ReplicaID
	generation int64
	at         time.Time
	keys       []key
	// sends holds the send statistics for each mark of up to keysPerMark fingerprints.
	sends [maxCrashKeys / keysPerMark]sendStats
	// model is a hash of the replica's model. parts are those of the prompts of requests whose
	// answer had not begun, partSends the send statistics of their marks.
	model     uint32
	parts     []heldPart
	partSends [maxCrashParts / partsPerMark]sendStats
	// explained is set once one of the parts is quarantined.
	explained bool
}

// heldPart is a part of the prompt of a request that was in flight in a crash.
type heldPart struct {
	part Part
	// request identifies the request among those that hold the part.
	request uint32
}

const (
	// maxCrashKeys bounds the fingerprints recorded for one crash.
	maxCrashKeys = 128
	// keysPerMark is the number of fingerprints per mark. It is small enough for a mark
	// to fit into a datagram next to others.
	keysPerMark = 16
	// maxCrashParts bounds the parts recorded for one crash, partsPerMark those in one mark.
	maxCrashParts = 128
	partsPerMark  = 8
	// crashesPerShard bounds the crashes remembered per shard.
	crashesPerShard = 64
	// crashWindow is how long after a crash a request in flight on the replica may
	// detect it; a connection that has gone silent takes some time to fail.
	crashWindow = time.Minute
	// deadReplicaGrace is how long after a crash requests may still be routed to the
	// dead replica. Suspects are not retried there in this time: a crash would be no
	// evidence, and the verdict on the last crash could not tell them from the suspects
	// that were in flight in it.
	deadReplicaGrace = 5 * time.Second
	// sameCrashTolerance is the maximum difference between the times that two nodes
	// report for the same crash.
	sameCrashTolerance = 5 * time.Second
	// crashGossipDuration is how long a crash is included in sections.
	crashGossipDuration = time.Minute
)

// crashShard holds the crashes of a subset of the replicas and the retries running on
// them.
type crashShard struct {
	mu      sync.Mutex
	crashes []*crash // oldest first
	// retries holds, by replica, the suspects that run there on this or another node.
	retries map[cluster.ReplicaID]map[key]retryOnReplica
	// freeSince is when the last suspect left a replica. turnsStart is when the nodes'
	// turns last restarted.
	freeSince  map[cluster.ReplicaID]time.Time
	turnsStart time.Time
}

// retryOnReplica is a suspect's run on a replica.
type retryOnReplica struct {
	// knownSince is when this node started the run or first received a report of it.
	knownSince time.Time
	expiresAt  time.Time
}

// recordLocal finds or adds the crash that ended a run of this node; began is the start
// of the run. A run that began after a known crash of the replica belongs to a later
// crash. If it began within deadReplicaGrace of the crash, it reached the dead replica
// before health checks noticed; recordLocal then returns nil, since this is no evidence
// about the request.
func (s *crashShard) recordLocal(replica cluster.ReplicaID, generation int64, k key, began, now time.Time, newID uint64) *crash {
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
		if began.Sub(c.at) < deadReplicaGrace {
			return nil
		}
	}
	c := s.insert(newID, replica, generation, now)
	c.add(k)
	return c
}

// recordRemote finds or adds a crash reported by a peer and adds its fingerprints. It
// returns the crash and the fingerprints that were not known yet. Two nodes may have
// assigned different ids to the same crash.
func (s *crashShard) recordRemote(id uint64, replica cluster.ReplicaID, generation int64, at time.Time, keys []key) (*crash, []key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.find(id, replica, generation, at)
	if c == nil {
		c = s.insert(id, replica, generation, at)
	}
	var added []key
	for _, k := range keys {
		if c.add(k) {
			added = append(added, k)
		}
		delete(s.retries[replica], k)
	}
	return c, added
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
	if slices.Contains(c.keys, k) || len(c.keys) == maxCrashKeys {
		return false
	}
	c.sends[len(c.keys)/keysPerMark] = sendStats{}
	c.keys = append(c.keys, k)
	return true
}

// addParts adds parts to a crash and returns those that were not known yet.
func (s *crashShard) addParts(c *crash, held []heldPart) (added []heldPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range held {
		if len(c.parts) < maxCrashParts && !slices.Contains(c.parts, h) {
			c.partSends[len(c.parts)/partsPerMark] = sendStats{}
			c.parts = append(c.parts, h)
			added = append(added, h)
		}
	}
	return added
}

// crashesSince counts the crashes of replicas of a model since a time that are not explained.
func (s *crashShard) crashesSince(model uint32, since time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.crashes {
		if c.model == model && !c.explained && !c.at.Before(since) {
			n++
		}
	}
	return n
}

// setModel records the model that the crashed replica served; 0 if unknown.
func (s *crashShard) setModel(c *crash, model uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if model != 0 {
		c.model = model
	}
}

// explain marks the crashes of requests that hold the part as explained by it, and returns them.
func (s *crashShard) explain(p Part) (explained []explainedCrash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.crashes {
		e := explainedCrash{id: c.id, replica: c.replica}
		for _, h := range c.parts {
			if h.part == p {
				e.requests = append(e.requests, h.request)
			}
		}
		if len(e.requests) > 0 {
			c.explained = true
			e.keys = slices.Clone(c.keys)
			explained = append(explained, e)
		}
	}
	return explained
}

// explainedCrash is a crash caused by requests that hold a quarantined part.
type explainedCrash struct {
	id       uint64
	replica  cluster.ReplicaID
	keys     []key
	requests []uint32
}

func (s *crashShard) isExplained(c *crash) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.explained
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

// retriesOn returns the suspects whose retries on a replica are not known to have
// ended.
func (s *crashShard) retriesOn(replica cluster.ReplicaID) map[key]retryOnReplica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.retries[replica])
}

// removeKey removes a cleared fingerprint from a crash, so that it is no longer sent to
// peers.
func (s *crashShard) removeKey(id uint64, k key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.crashes {
		if c.id == id {
			c.keys = slices.DeleteFunc(c.keys, func(other key) bool { return other == k })
		}
	}
}

// find returns the crash with the given id, or one of the same replica and generation
// whose time is within sameCrashTolerance; nil if there is none.
func (s *crashShard) find(id uint64, replica cluster.ReplicaID, generation int64, at time.Time) *crash {
	for _, c := range s.crashes {
		if c.id == id || c.replica == replica && c.generation == generation && at.Sub(c.at).Abs() <= sameCrashTolerance {
			return c
		}
	}
	return nil
}

// isNew reports whether a peer's crash is not known yet. Two nodes that detected the
// same crash assign different ids; matched by id alone, the peer's crash would look new
// with every heartbeat.
func (s *crashShard) isNew(id uint64, replica cluster.ReplicaID, generation int64, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(id, replica, generation, at) == nil
}

// startRetry records that a suspect runs on a replica. It reports whether that was not
// known.
func (s *crashShard) startRetry(replica cluster.ReplicaID, k key, now, expiresAt time.Time) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retries[replica] == nil {
		s.retries[replica] = make(map[key]retryOnReplica)
	}
	run, known := s.retries[replica][k]
	if !known {
		run.knownSince = now
	}
	run.expiresAt = expiresAt
	s.retries[replica][k] = run
	return !known
}

// endRetry records that a suspect no longer runs on a replica.
func (s *crashShard) endRetry(replica cluster.ReplicaID, k key, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ran := s.retries[replica][k]; ran {
		s.removeRetry(replica, k, now)
	}
}

func (s *crashShard) removeRetry(replica cluster.ReplicaID, k key, now time.Time) {
	delete(s.retries[replica], k)
	if len(s.retries[replica]) == 0 {
		delete(s.retries, replica)
		s.freeSince[replica] = now
	}
}

// restartTurns restarts the nodes' turns on all replicas of the shard.
func (s *crashShard) restartTurns(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnsStart = now
	clear(s.freeSince)
}

// freeDuration returns how long the replica has been without a known suspect since
// turns last restarted and deadReplicaGrace after its last crash ended; it is negative
// while a suspect runs there or before that.
func (s *crashShard) freeDuration(replica cluster.ReplicaID, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, run := range s.retries[replica] {
		if now.Before(run.expiresAt) {
			return -1
		}
		s.removeRetry(replica, k, run.expiresAt)
	}
	since := later(s.freeSince[replica], s.turnsStart)
	for _, c := range s.crashes {
		if c.replica == replica {
			since = later(since, c.at.Add(deadReplicaGrace))
		}
	}
	return now.Sub(since)
}
