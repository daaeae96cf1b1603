package suspect

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// shards is the number of locks over fingerprints, and of those over replicas.
const shards = 16

// recordsPerShard bounds the memory: a record is some 300 bytes.
const recordsPerShard = 1024

// Options configures a Tracker.
type Options struct {
	Node cluster.NodeID
	// Peers counts the live nodes that may run the same request; nil means none.
	Peers func() int
	// Rank is this node's place among the live nodes for a key, as in membership;
	// nil means 0. It orders the nodes that want a replica for a retry alone.
	Rank func(key string) int
	// TriggerHeartbeat asks for a datagram soon; it must not block. Nil means none.
	TriggerHeartbeat func()
	// Clock is the time; nil means time.Now.
	Clock  func() time.Time
	Timing Timing
	Log    *slog.Logger
}

// Tracker knows the suspects and quarantines of one node. All methods are safe
// for concurrent use.
type Tracker struct {
	node   cluster.NodeID
	peers  func() int
	rank   func(key string) int
	nudge  func()
	now    func() time.Time
	timing Timing
	log    *slog.Logger

	byKey     [shards]keyShard
	byReplica [shards]crashShard
	telling   telling
}

type keyShard struct {
	mu      sync.Mutex
	records map[key]*record
}

var (
	metricCrashed     = metrics.NewCounter(`fennel_suspect_crashed_runs_total`)
	metricRetried     = metrics.NewCounter(`fennel_suspect_retried_alone_total`)
	metricCleared     = metrics.NewCounter(`fennel_suspect_cleared_total`)
	metricQuarantined = metrics.NewCounter(`fennel_suspect_quarantined_total`)
	metricRefused     = metrics.NewCounter(`fennel_suspect_refused_requests_total`)
	metricEvicted     = metrics.NewCounter(`fennel_suspect_evicted_records_total`)
)

// New returns a tracker that suspects nothing.
func New(opts Options) *Tracker {
	t := &Tracker{
		node: opts.Node, peers: opts.Peers, rank: opts.Rank, nudge: opts.TriggerHeartbeat, now: opts.Clock,
		timing: opts.Timing.withDefaults(), log: opts.Log,
	}
	if t.peers == nil {
		t.peers = func() int { return 0 }
	}
	if t.rank == nil {
		t.rank = func(string) int { return 0 }
	}
	if t.nudge == nil {
		t.nudge = func() {}
	}
	if t.now == nil {
		t.now = time.Now
	}
	if t.log == nil {
		t.log = slog.Default()
	}
	for i := range shards {
		t.byKey[i].records = make(map[key]*record)
		t.byReplica[i].alone = make(map[cluster.ReplicaID]map[key]time.Time)
		t.byReplica[i].freed = make(map[cluster.ReplicaID]time.Time)
	}
	return t
}

func (t *Tracker) keyShard(k key) *keyShard { return &t.byKey[uint64(k)%shards] }

func (t *Tracker) crashShard(replica cluster.ReplicaID) *crashShard {
	return &t.byReplica[xxhash.Sum64String(string(replica))%shards]
}

// Begin records that fp runs on the replica. The returned func ends it and must
// be called once. A retry alone that finishes clears the fingerprint.
func (t *Tracker) Begin(fp Fingerprint, replica cluster.ReplicaID, generation int64, alone bool) (end func(Outcome)) {
	k, began := fp.key(), t.now()
	if alone {
		t.beginAlone(k, replica)
	}
	var once sync.Once
	return func(how Outcome) {
		once.Do(func() {
			if alone {
				t.crashShard(replica).endAlone(replica, k, t.now())
			}
			switch {
			case how == Crashed:
				t.crashed(k, replica, generation, began, alone)
			case alone && how == Finished:
				t.finishedAlone(k)
			case alone:
				t.abandonedAlone(k)
			}
		})
	}
}

// aloneAtMost bounds belief in a run of this node whose end is never called.
const aloneAtMost = time.Hour

func (t *Tracker) beginAlone(k key, replica cluster.ReplicaID) {
	now := t.now()
	t.crashShard(replica).setAlone(replica, k, now.Add(aloneAtMost))
	t.update(k, func(r *record) {
		r.run = run{node: t.node, heard: now, begun: true, replica: replica}
		r.tells = tells{}
	})
	t.nudge()
}

// MayRetryOn reports whether this node may put a suspect on the replica now, alone:
// no suspect runs there as far as is known, and the nodes that come before this
// one for the replica have had their turn. Without turns, all nodes would choose
// at the same moment, after a crash or when a replica gets free, and put two
// suspects on one replica; a crash there tells nothing.
func (t *Tracker) MayRetryOn(replica cluster.ReplicaID) bool {
	turn := time.Duration(t.rank("retry/"+string(replica))) * t.timing.RetryTurn
	return t.crashShard(replica).freeFor(replica, t.now()) >= turn
}

func (t *Tracker) crashed(k key, replica cluster.ReplicaID, generation int64, began time.Time, alone bool) {
	metricCrashed.Inc()
	now := t.now()
	c := t.crashShard(replica).local(replica, generation, k, began, now, rand.Uint64())
	if c == nil {
		t.abandonedAlone(k)
		return
	}
	t.startTurns(now)
	var onTrial bool
	t.change(k, func(r *record) {
		r.addEvidence(evidence{crash: c.id, replica: replica, at: c.at}, now, t.timing)
		if alone {
			r.accuse(now, t.timing)
			onTrial = r.phase == accused
		}
	})
	t.log.Warn("replica crashed under a request", "fingerprint", k, "replica", replica, "generation", generation, "alone", alone, "crash", c.id)
	t.nudge()
	if !onTrial {
		return
	}
	if t.peers() == 0 {
		t.judge(k, c.id, replica)
		return
	}
	time.AfterFunc(t.timing.VerdictDelay, func() { t.judge(k, c.id, replica) })
}

// startTurns starts the turns on all replicas anew: now many want one.
func (t *Tracker) startTurns(now time.Time) {
	for i := range t.byReplica {
		t.byReplica[i].startTurns(now)
	}
}

// judge looks at the others that were in flight in the crash, one lock at a time.
func (t *Tracker) judge(k key, crash uint64, replica cluster.ReplicaID) {
	otherSuspect := false
	shard := t.crashShard(replica)
	for _, other := range append(shard.keysOf(crash), shard.aloneOn(replica)...) {
		if other != k && t.hasPrior(other, crash) {
			otherSuspect = true
		}
	}
	guilty := false
	var crashes int
	t.update(k, func(r *record) {
		guilty = r.judge(crash, otherSuspect, t.now(), t.timing)
		crashes = len(r.evidence)
	})
	t.log.Warn("verdict on a suspect", "fingerprint", k, "guilty", guilty, "replica", replica, "crashes", crashes, "other_suspect", otherSuspect)
	if guilty {
		metricQuarantined.Inc()
	}
	if otherSuspect {
		// The suspects of a shared crash get their verdicts together and are retried
		// together. When the turns of the crash are over, both may take any replica,
		// and where word of the first is lost they share one again: a single request
		// then cost four or five replicas (25 of 1,200 simulated runs at 30% loss cost more
		// than two, 4 of them more than three; with new turns 19, none more than three).
		t.startTurns(t.now())
	}
	t.nudge()
}

func (t *Tracker) hasPrior(k key, crash uint64) bool {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	return r != nil && r.hasPrior(crash)
}

// abandonedAlone leaves the suspicion as it was and the next retry to whoever waits.
func (t *Tracker) abandonedAlone(k key) {
	t.update(k, func(r *record) {
		if r.run.node == t.node {
			r.run = run{}
		}
	})
}

func (t *Tracker) finishedAlone(k key) {
	if t.clear(k, t.now()) {
		metricCleared.Inc()
		t.nudge()
	}
}

// clear ends a suspicion and reports whether that was news.
func (t *Tracker) clear(k key, at time.Time) bool {
	var was []evidence
	var ended run
	news := false
	t.update(k, func(r *record) {
		was, ended = r.evidence, r.run
		news = r.clear(at, t.now(), t.timing)
	})
	if !news {
		return false
	}
	t.log.Info("suspect cleared", "fingerprint", k)
	t.crashShard(ended.replica).endAlone(ended.replica, k, t.now())
	for _, e := range was {
		t.crashShard(e.replica).exonerate(e.crash, k)
	}
	return true
}

// update applies f to the record of k if there is one, and wakes those who wait.
func (t *Tracker) update(k key, f func(r *record)) {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[k]; r != nil {
		r.lapse(t.now(), t.timing)
		f(r)
		r.notify()
	}
}

// change applies f to the record of k, which it adds if there is none.
func (t *Tracker) change(k key, f func(r *record)) {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	if r == nil {
		s.makeRoom()
		r = &record{key: k, until: t.now().Add(t.timing.SuspectFor)}
		s.records[k] = r
	}
	r.lapse(t.now(), t.timing)
	f(r)
	r.notify()
}

// makeRoom evicts the least valuable record of a full shard: a cleared one, else
// a suspect, else a quarantine, and of these the one that ends first.
func (s *keyShard) makeRoom() {
	if len(s.records) < recordsPerShard {
		return
	}
	var victim *record
	for _, r := range s.records {
		if victim == nil || r.value() < victim.value() || r.value() == victim.value() && r.until.Before(victim.until) {
			victim = r
		}
	}
	victim.notify()
	delete(s.records, victim.key)
	metricEvicted.Inc()
}

func (r *record) value() int {
	switch {
	case r.phase == cleared:
		return 0
	case r.phase == suspected && !r.probation:
		return 1
	default:
		return 2
	}
}

// wait returns a channel that closes with the next change.
func (r *record) wait() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

func (r *record) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
