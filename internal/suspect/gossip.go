package suspect

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// telling numbers the sections, for choosing what was told least recently.
type telling struct{ round atomic.Uint64 }

// item is a mark that could be told, and where to note that it was.
type item struct {
	rank  uint64
	class class
	size  int
	add   func(s *membership.Section)
	noted func(round uint64)
}

// class orders marks of equal rank: late word of a crash can bar an innocent
// request, late word of a clearing only makes one wait.
type class int

const (
	classQuarantine class = iota
	classCrash
	classRun
	classCleared
)

// Section returns the marks to tell next, within budget bytes: new ones first, each
// several times since datagrams are lost, then the quarantines in rotation. It
// also forgets what has ended.
func (t *Tracker) Section(budget int) membership.Section {
	now := t.now()
	var items []item
	for i := range t.byKey {
		items = append(items, t.recordItems(&t.byKey[i], now)...)
	}
	for i := range t.byReplica {
		items = append(items, t.crashItems(&t.byReplica[i], now)...)
	}
	slices.SortStableFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.class, b.class))
	})
	round := t.telling.round.Add(1)
	var section membership.Section
	for _, it := range items {
		if it.size > budget {
			continue
		}
		budget -= it.size
		it.add(&section)
		it.noted(round)
	}
	return section
}

// markSize is the size of a mark as a field of the datagram.
func markSize(m proto.Message) int {
	const fieldNumber = 18 // the highest in use: two bytes of tag
	return protowire.SizeTag(fieldNumber) + protowire.SizeBytes(proto.Size(m))
}

func (t *Tracker) recordItems(s *keyShard, now time.Time) []item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []item
	for k, r := range s.records {
		if r.dead(t.node, now, t.timing) {
			r.notify()
			delete(s.records, k)
			continue
		}
		if it, ok := t.recordItem(s, r, now); ok {
			items = append(items, it)
		}
	}
	return items
}

func (t *Tracker) recordItem(s *keyShard, r *record, now time.Time) (item, bool) {
	it := item{rank: r.tells.rank(), noted: func(round uint64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.tells.count++
		r.tells.last = round
	}}
	if r.phase == quarantined {
		m := &wirepb.QuarantineMark{
			Fingerprint: r.key.bytes(), ExpiresInMs: r.until.Sub(now).Milliseconds(), Crashes: int32(len(r.evidence)),
		}
		it.size, it.class = markSize(m), classQuarantine
		it.add = func(s *membership.Section) { s.Quarantines = append(s.Quarantines, m) }
		return it, true
	}
	m := t.suspectMark(r, now)
	if m == nil {
		return item{}, false
	}
	it.size, it.class = markSize(m), classRun
	if m.Cleared {
		it.class = classCleared
	}
	it.add = func(s *membership.Section) { s.Suspects = append(s.Suspects, m) }
	return it, true
}

// suspectMark tells of a clearing while it is new, and of a retry while it lasts.
func (t *Tracker) suspectMark(r *record, now time.Time) *wirepb.SuspectMark {
	if r.phase == cleared && r.tells.count < urgentTells {
		return &wirepb.SuspectMark{Fingerprint: r.key.bytes(), Cleared: true, AgeMs: now.Sub(r.clearedAt).Milliseconds()}
	}
	if _, running := r.runEnds(t.node, now, t.timing); r.phase != suspected || !running {
		return nil
	}
	m := &wirepb.SuspectMark{
		Fingerprint: r.key.bytes(), RunningAlone: true, Runner: string(r.run.node), Replica: string(r.run.replica),
	}
	if r.run.node != t.node {
		m.AgeMs = now.Sub(r.run.heard).Milliseconds()
	}
	return m
}

func (t *Tracker) crashItems(s *crashShard, now time.Time) []item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []item
	for _, c := range s.crashes {
		if now.Sub(c.at) > crashTold {
			continue
		}
		for i, keys := range slices.Collect(slices.Chunk(c.keys, chunkKeys)) {
			items = append(items, s.chunkItem(c, i, keys, now))
		}
	}
	return items
}

func (s *crashShard) chunkItem(c *crash, chunk int, keys []key, now time.Time) item {
	m := &wirepb.CrashMark{
		CrashId: c.id, Replica: string(c.replica), Generation: c.generation, AgeMs: now.Sub(c.at).Milliseconds(),
	}
	for _, k := range keys {
		m.Fingerprints = append(m.Fingerprints, k.bytes()...)
	}
	return item{
		rank:  c.tells[chunk].rank(),
		class: classCrash,
		size:  markSize(m),
		add:   func(section *membership.Section) { section.Crashes = append(section.Crashes, m) },
		noted: func(round uint64) {
			s.mu.Lock()
			defer s.mu.Unlock()
			c.tells[chunk].count++
			c.tells[chunk].last = round
		},
	}
}

// Receive takes in the marks of a peer's datagram.
func (t *Tracker) Receive(_ membership.Member, d *wirepb.Datagram) {
	now := t.now()
	news := false
	for _, m := range d.Crashes {
		news = t.receiveCrash(m, now) || news
	}
	for _, m := range d.Suspects {
		news = t.receiveSuspect(m, now) || news
	}
	for _, m := range d.Quarantines {
		news = t.receiveQuarantine(m, now) || news
	}
	if news {
		t.nudge()
	}
}

func (t *Tracker) receiveCrash(m *wirepb.CrashMark, now time.Time) bool {
	replica := cluster.ReplicaID(m.Replica)
	at := now.Add(-ageOf(m.AgeMs))
	var keys []key
	for b := m.Fingerprints; len(b) >= keySize; b = b[keySize:] {
		k, _ := keyFrom(b)
		keys = append(keys, k)
	}
	if t.crashShard(replica).unheard(m.CrashId, replica, m.Generation, at) {
		t.startTurns(now)
	}
	c, news := t.crashShard(replica).remote(m.CrashId, replica, m.Generation, at, keys)
	for _, k := range news {
		t.change(k, func(r *record) {
			r.addEvidence(evidence{crash: c.id, replica: replica, at: c.at}, now, t.timing)
		})
	}
	return len(news) > 0
}

func (t *Tracker) receiveSuspect(m *wirepb.SuspectMark, now time.Time) bool {
	k, ok := keyFrom(m.Fingerprint)
	if !ok {
		return false
	}
	at := now.Add(-ageOf(m.AgeMs))
	if m.Cleared {
		return t.clear(k, at)
	}
	if !m.RunningAlone || cluster.NodeID(m.Runner) == t.node || ageOf(m.AgeMs) >= t.timing.RunnerTTL {
		return false
	}
	heard := run{
		node: cluster.NodeID(m.Runner), heard: at, begun: m.Replica != "", replica: cluster.ReplicaID(m.Replica),
	}
	news, believed := false, false
	t.change(k, func(r *record) {
		news = r.hearRunner(t.node, heard, now, t.timing)
		believed = r.run.node == heard.node && r.run.replica == heard.replica && !r.crashedSince(heard)
	})
	if believed && heard.begun {
		t.crashShard(heard.replica).setAlone(heard.replica, k, at.Add(t.timing.RunnerTTL))
	}
	return news
}

func (t *Tracker) receiveQuarantine(m *wirepb.QuarantineMark, now time.Time) bool {
	k, ok := keyFrom(m.Fingerprint)
	if !ok || m.ExpiresInMs <= 0 {
		return false
	}
	news := false
	t.change(k, func(r *record) {
		news = r.adopt(time.Duration(m.ExpiresInMs)*time.Millisecond, now, t.timing)
	})
	if news {
		t.log.Warn("quarantine heard of", "fingerprint", k, "expires_in_ms", m.ExpiresInMs)
	}
	return news
}

// ageOf bounds an age that a peer claims.
func ageOf(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAgeMs)) * time.Millisecond
}

const maxAgeMs = int64(24 * time.Hour / time.Millisecond)
