package suspect

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// shardCount is the number of shards of the records, and of the crashes.
const shardCount = 16

// recordsPerShard bounds memory use: a record takes about 300 bytes.
const recordsPerShard = 1024

// Options configures a Tracker.
type Options struct {
	Node cluster.NodeID
	// Peers returns the number of live nodes that may run the same request; nil means
	// none.
	Peers func() int
	// Rank returns this node's rank among the live nodes for a key, as membership
	// defines it; nil means 0. It orders the nodes that want the same replica for a
	// retry alone.
	Rank func(key string) int
	// TriggerHeartbeat requests an early heartbeat. It must not block. Nil disables
	// early heartbeats.
	TriggerHeartbeat func()
	// Clock returns the current time; nil means time.Now.
	Clock  func() time.Time
	Timing Timing
	// OnQuarantined is called with the short fingerprint of a request that this node
	// quarantines; nil ignores it. It must not block.
	OnQuarantined func(fingerprint string)
	Log           *slog.Logger
}

// Tracker tracks suspected and quarantined fingerprints on one node. All methods are
// safe for concurrent use.
type Tracker struct {
	node             cluster.NodeID
	peers            func() int
	rank             func(key string) int
	triggerHeartbeat func()
	now              func() time.Time
	timing           Timing
	onQuarantined    func(fingerprint string)
	log              *slog.Logger

	byKey     [shardCount]keyShard
	byReplica [shardCount]crashShard
	sections  sectionCounter
	ranks     rankCache
	parts     *partTable
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

// New returns a tracker without suspects.
func New(opts Options) *Tracker {
	t := &Tracker{
		node: opts.Node, peers: opts.Peers, rank: opts.Rank, triggerHeartbeat: opts.TriggerHeartbeat, now: opts.Clock,
		timing: opts.Timing.withDefaults(), onQuarantined: opts.OnQuarantined, log: opts.Log,
	}
	if t.peers == nil {
		t.peers = func() int { return 0 }
	}
	if t.rank == nil {
		t.rank = func(string) int { return 0 }
	}
	if t.triggerHeartbeat == nil {
		t.triggerHeartbeat = func() {}
	}
	if t.onQuarantined == nil {
		t.onQuarantined = func(string) {}
	}
	if t.now == nil {
		t.now = time.Now
	}
	if t.log == nil {
		t.log = slog.Default()
	}
	t.parts = newPartTable(t.now())
	for i := range shardCount {
		t.byKey[i].records = make(map[key]*record)
		t.byReplica[i].retries = make(map[cluster.ReplicaID]map[key]retryOnReplica)
		t.byReplica[i].freeSince = make(map[cluster.ReplicaID]time.Time)
	}
	return t
}

func (t *Tracker) keyShard(k key) *keyShard { return &t.byKey[uint64(k)%shardCount] }

func (t *Tracker) crashShard(replica cluster.ReplicaID) *crashShard {
	return &t.byReplica[xxhash.Sum64String(string(replica))%shardCount]
}

// Begin records the start of a run of fp on the replica. The returned func ends the run
// and must be called once. A retry alone that finishes clears the fingerprint.
func (t *Tracker) Begin(fp Fingerprint, replica cluster.ReplicaID, generation int64, alone bool) (end func(Outcome)) {
	return t.BeginRequest(Request{Fingerprint: fp}, replica, generation, Admission{Alone: alone, suspected: alone}).End
}

// maxRetryDuration expires a retry of this node that is never ended.
const maxRetryDuration = time.Hour

func (t *Tracker) startRetry(k key, replica cluster.ReplicaID) {
	now := t.now()
	t.crashShard(replica).startRetry(replica, k, now, now.Add(maxRetryDuration))
	t.log.Info("retry alone started", "fingerprint", k, "replica", replica)
	t.update(k, func(r *record) {
		r.retry = retry{node: t.node, reportedAt: now, started: true, replica: replica}
		r.sends = sendStats{}
	})
	t.triggerHeartbeat()
}

// MayRetryOn reports whether this node may now run a suspect alone on the replica: the
// replica has not crashed within deadReplicaGrace, no suspect is known to run there, and
// the nodes ranked before this one for the replica have had their turn. Without turns, all
// nodes would choose at the same moment, after a crash or when a replica becomes free, and
// run two suspects on one replica; a crash would then not show which of them caused it.
func (t *Tracker) MayRetryOn(replica cluster.ReplicaID) bool {
	free := t.crashShard(replica).freeDuration(replica, t.now())
	switch {
	case free < 0:
		return false
	case free >= t.timing.MaxTurnWait:
		return true
	}
	return free >= time.Duration(t.ranks.get(replica, t.now(), t.rank))*t.timing.RetryTurn
}

// rankTTL is how long a rank is kept. Waiting suspects ask for the ranks for all replicas many
// times a second, and the work of each grows with the nodes.
const rankTTL = time.Second

// rankCache keeps this node's ranks for replicas.
type rankCache struct {
	mu    sync.Mutex
	since time.Time
	ranks map[cluster.ReplicaID]int
}

// get returns this node's rank for the replica.
func (c *rankCache) get(replica cluster.ReplicaID, now time.Time, rank func(key string) int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ranks == nil || now.Sub(c.since) >= rankTTL {
		c.since, c.ranks = now, make(map[cluster.ReplicaID]int)
	}
	r, known := c.ranks[replica]
	if !known {
		r = rank("retry/" + string(replica))
		c.ranks[replica] = r
	}
	return r
}

// recordCrash records that the replica crashed under a run. It returns the crash, or nil if it is
// no evidence.
func (t *Tracker) recordCrash(k key, replica cluster.ReplicaID, generation int64, began time.Time, alone bool) *crash {
	metricCrashed.Inc()
	now := t.now()
	c := t.crashShard(replica).recordLocal(replica, generation, k, began, now, rand.Uint64())
	if c == nil || t.crashShard(replica).isExplained(c) {
		t.log.Info("crash not counted", "fingerprint", k, "replica", replica, "generation", generation, "alone", alone, "explained", c != nil)
		t.retryAbandoned(k)
		return c
	}
	t.restartTurns(now)
	var undecided bool
	t.upsert(k, func(r *record) {
		r.addEvidence(evidence{crash: c.id, replica: replica, at: c.at}, now, t.timing)
		if alone {
			r.awaitVerdict(now, t.timing)
			undecided = r.phase == awaitingVerdict
		}
	})
	t.log.Warn("replica crashed under a request", "fingerprint", k, "replica", replica, "generation", generation, "alone", alone, "crash", c.id)
	t.triggerHeartbeat()
	switch {
	case undecided && t.peers() == 0:
		t.decideVerdict(k, c.id, replica, now)
	case undecided:
		t.scheduleVerdict(k, c.id, replica, now)
	}
	return c
}

// maxVerdictLateness is how late a verdict may be decided. A process that got no
// processor for longer may not have received the reports that the verdict waits for.
const maxVerdictLateness = time.Second

// scheduleVerdict decides the verdict after VerdictDelay, or waits again if it is late.
func (t *Tracker) scheduleVerdict(k key, crashID uint64, replica cluster.ReplicaID, crashedAt time.Time) {
	due := t.now().Add(t.timing.VerdictDelay)
	clock.NewWatchdog(t.timing.VerdictDelay, func() {
		if late := t.now().Sub(due); late > maxVerdictLateness {
			t.log.Warn("verdict postponed", "fingerprint", k, "replica", replica, "crash", crashID, "late", late)
			t.scheduleVerdict(k, crashID, replica, crashedAt)
			return
		}
		t.decideVerdict(k, crashID, replica, crashedAt)
	})
}

// restartTurns restarts the nodes' turns on all replicas, because several nodes now
// want to retry suspects.
func (t *Tracker) restartTurns(now time.Time) {
	for i := range t.byReplica {
		t.byReplica[i].restartTurns(now)
	}
}

// decideVerdict decides on a crash during a run alone. It inspects the other
// fingerprints in flight on the replica, holding one lock at a time.
func (t *Tracker) decideVerdict(k key, crashID uint64, replica cluster.ReplicaID, crashedAt time.Time) {
	shard := t.crashShard(replica)
	var inFlight []key
	for _, other := range shard.keysOf(crashID) {
		if other != k && t.hasOtherEvidence(other, crashID) {
			inFlight = append(inFlight, other)
		}
	}
	var running []key
	var runningFor []time.Duration
	for other, run := range shard.retriesOn(replica) {
		if other != k && t.hasOtherEvidence(other, crashID) {
			running = append(running, other)
			runningFor = append(runningFor, t.now().Sub(run.knownSince))
		}
	}
	otherSuspect := len(inFlight)+len(running) > 0
	quarantine, awaited := false, false
	var crashes int
	t.update(k, func(r *record) {
		awaited = r.phase == awaitingVerdict
		quarantine = r.decideVerdict(crashID, otherSuspect, t.now(), t.timing)
		crashes = len(r.evidence)
	})
	t.log.Warn("suspect evaluated", "fingerprint", k, "quarantined", quarantine, "replica", replica, "crash", crashID, "age", t.now().Sub(crashedAt),
		"crashes", crashes, "awaited", awaited, "inconclusive", otherSuspect,
		"suspects_in_crash", inFlight, "suspects_running", running, "running_for", runningFor)
	if quarantine {
		metricQuarantined.Inc()
		t.onQuarantined(k.String())
	}
	if otherSuspect {
		// The suspects of a shared crash get their verdicts, and so their retries, at
		// the same time. Once the turns after the crash have passed, both may choose
		// any replica, and if the report of the first retry is lost they share one
		// again: a single request then crashed four or five replicas. In 1,200
		// simulated runs at 30% loss, 25 lost more than two replicas and 4 of these
		// more than three; with restarted turns 19 did, none of them more than three.
		t.restartTurns(t.now())
	}
	t.triggerHeartbeat()
}

func (t *Tracker) hasOtherEvidence(k key, crashID uint64) bool {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	return r != nil && r.hasOtherEvidence(crashID)
}

// retryAbandoned ends the retry without a result; the next waiting request may retry.
func (t *Tracker) retryAbandoned(k key) {
	t.update(k, func(r *record) {
		if r.retry.node == t.node {
			r.retry = retry{}
		}
	})
}

func (t *Tracker) retryFinished(k key) {
	if t.clear(k, t.now()) {
		metricCleared.Inc()
		t.triggerHeartbeat()
	}
}

// clear ends a suspicion and reports whether the record changed.
func (t *Tracker) clear(k key, at time.Time) bool {
	var evidenceBefore []evidence
	var ended retry
	changed := false
	t.update(k, func(r *record) {
		evidenceBefore, ended = r.evidence, r.retry
		changed = r.clear(at, t.now(), t.timing)
	})
	if !changed {
		return false
	}
	t.log.Info("suspect cleared", "fingerprint", k)
	t.crashShard(ended.replica).endRetry(ended.replica, k, t.now())
	for _, e := range evidenceBefore {
		t.crashShard(e.replica).removeKey(e.crash, k)
	}
	return true
}

// update applies f to the record of k, if there is one, and notifies waiting requests.
func (t *Tracker) update(k key, f func(r *record)) {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[k]; r != nil {
		r.advance(t.now(), t.timing)
		f(r)
		r.notify()
	}
}

// upsert is like update but adds the record if there is none.
func (t *Tracker) upsert(k key, f func(r *record)) {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	if r == nil {
		s.evictIfFull()
		r = &record{key: k, until: t.now().Add(t.timing.SuspectFor)}
		s.records[k] = r
	}
	r.advance(t.now(), t.timing)
	f(r)
	r.notify()
}

// evictIfFull evicts a record from a full shard: a cleared one, else a suspect, else a
// quarantine, and among these the one that ends first.
func (s *keyShard) evictIfFull() {
	if len(s.records) < recordsPerShard {
		return
	}
	var evicted *record
	for _, r := range s.records {
		if evicted == nil || r.retentionPriority() < evicted.retentionPriority() ||
			r.retentionPriority() == evicted.retentionPriority() && r.until.Before(evicted.until) {
			evicted = r
		}
	}
	evicted.notify()
	delete(s.records, evicted.key)
	metricEvicted.Inc()
}

func (r *record) retentionPriority() int {
	switch {
	case r.phase == cleared:
		return 0
	case r.phase == suspected && !r.probation:
		return 1
	default:
		return 2
	}
}

// wait returns a channel that closes when the record next changes.
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
