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

// sectionCounter numbers the sections, so that the marks sent least recently can be
// selected.
type sectionCounter struct{ last atomic.Uint64 }

// pendingMark is a mark that could be sent, with the function that records that it was.
type pendingMark struct {
	priority uint64
	class    markClass
	size     int
	add      func(s *membership.Section)
	onSent   func(round uint64)
}

// markClass orders marks of equal priority. A late crash mark can get an innocent
// request quarantined; a late clearing only makes a request wait.
type markClass int

const (
	classQuarantine markClass = iota
	classPart
	classCrash
	classRetry
	classCleared
)

// Section returns the marks to send next, within budget bytes: new marks first, each
// several times because datagrams get lost, then the quarantines in rotation. It also
// deletes expired records.
func (t *Tracker) Section(budget int) membership.Section { return t.section(budget, false) }

// UrgentSection is Section with only the marks that were sent fewer than urgentSends times.
func (t *Tracker) UrgentSection(budget int) membership.Section { return t.section(budget, true) }

func (t *Tracker) section(budget int, urgentOnly bool) membership.Section {
	now := t.now()
	var marks []pendingMark
	for i := range t.byKey {
		marks = append(marks, t.fingerprintMarks(&t.byKey[i], now)...)
	}
	for i := range t.byReplica {
		marks = append(marks, t.crashMarks(&t.byReplica[i], now)...)
	}
	slices.SortStableFunc(marks, func(a, b pendingMark) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class))
	})
	round := t.sections.last.Add(1)
	var section membership.Section
	for _, mark := range marks {
		if mark.size > budget || urgentOnly && mark.priority >= urgentSends {
			continue
		}
		budget -= mark.size
		mark.add(&section)
		mark.onSent(round)
	}
	return section
}

// markSize returns the encoded size of a mark as a field of the datagram.
func markSize(m proto.Message) int {
	const fieldNumber = 18 // the highest in use; its tag takes two bytes
	return protowire.SizeTag(fieldNumber) + protowire.SizeBytes(proto.Size(m))
}

func (t *Tracker) fingerprintMarks(s *keyShard, now time.Time) []pendingMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var marks []pendingMark
	for k, r := range s.records {
		if r.expired(t.node, now, t.timing) {
			r.notify()
			delete(s.records, k)
			continue
		}
		if mark, ok := t.fingerprintMark(s, r, now); ok {
			marks = append(marks, mark)
		}
	}
	return marks
}

func (t *Tracker) fingerprintMark(s *keyShard, r *record, now time.Time) (pendingMark, bool) {
	mark := pendingMark{priority: r.sends.priority(), onSent: func(round uint64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.sends.count++
		r.sends.last = round
	}}
	if r.phase == quarantined {
		m := &wirepb.QuarantineMark{
			Fingerprint: r.key.bytes(), ExpiresInMs: r.until.Sub(now).Milliseconds(), Crashes: int32(len(r.evidence)),
		}
		mark.size, mark.class = markSize(m), classQuarantine
		mark.add = func(s *membership.Section) { s.Quarantines = append(s.Quarantines, m) }
		return mark, true
	}
	m := t.suspectMark(r, now)
	if m == nil {
		return pendingMark{}, false
	}
	mark.size, mark.class = markSize(m), classRetry
	switch {
	case m.Cleared && r.part:
		mark.class = classPart
	case m.Cleared:
		mark.class = classCleared
	}
	mark.add = func(s *membership.Section) { s.Suspects = append(s.Suspects, m) }
	return mark, true
}

// suspectMark returns a mark for a recent clearing or for a retry that is under way;
// nil if there is neither.
func (t *Tracker) suspectMark(r *record, now time.Time) *wirepb.SuspectMark {
	if r.phase == cleared && r.sends.count < urgentSends {
		return &wirepb.SuspectMark{Fingerprint: r.key.bytes(), Cleared: true, AgeMs: now.Sub(r.clearedAt).Milliseconds()}
	}
	if _, running := r.retryDeadline(t.node, now, t.timing); r.phase != suspected || !running {
		return nil
	}
	m := &wirepb.SuspectMark{
		Fingerprint: r.key.bytes(), RunningAlone: true, Runner: string(r.retry.node), Replica: string(r.retry.replica),
	}
	if r.retry.node != t.node {
		m.AgeMs = now.Sub(r.retry.reportedAt).Milliseconds()
	}
	return m
}

func (t *Tracker) crashMarks(s *crashShard, now time.Time) []pendingMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var marks []pendingMark
	for _, c := range s.crashes {
		if now.Sub(c.at) > crashGossipDuration {
			continue
		}
		for i, parts := range slices.Collect(slices.Chunk(c.parts, partsPerMark)) {
			marks = append(marks, s.partMark(c, i, parts, now))
		}
		for i, keys := range slices.Collect(slices.Chunk(c.keys, keysPerMark)) {
			marks = append(marks, s.crashMark(c, i, keys, now))
		}
	}
	return marks
}

func (s *crashShard) crashMark(c *crash, chunk int, keys []key, now time.Time) pendingMark {
	m := c.mark(now)
	for _, k := range keys {
		m.Fingerprints = append(m.Fingerprints, k.bytes()...)
	}
	return s.pendingCrashMark(m, classCrash, &c.sends[chunk])
}

func (s *crashShard) partMark(c *crash, chunk int, parts []heldPart, now time.Time) pendingMark {
	m := c.mark(now)
	for _, h := range parts {
		m.Parts = h.append(m.Parts)
	}
	return s.pendingCrashMark(m, classPart, &c.partSends[chunk])
}

func (c *crash) mark(now time.Time) *wirepb.CrashMark {
	return &wirepb.CrashMark{CrashId: c.id, Replica: string(c.replica), Generation: c.generation, AgeMs: now.Sub(c.at).Milliseconds(), Model: c.model}
}

// pendingCrashMark returns a mark whose sends are counted in stats, which s.mu guards.
func (s *crashShard) pendingCrashMark(m *wirepb.CrashMark, class markClass, stats *sendStats) pendingMark {
	return pendingMark{
		priority: stats.priority(),
		class:    class,
		size:     markSize(m),
		add:      func(section *membership.Section) { section.Crashes = append(section.Crashes, m) },
		onSent: func(round uint64) {
			s.mu.Lock()
			defer s.mu.Unlock()
			stats.count++
			stats.last = round
		},
	}
}

// Receive applies the marks of a peer's datagram.
func (t *Tracker) Receive(_ membership.Member, d *wirepb.Datagram) {
	now := t.now()
	changed := false
	for _, m := range d.Crashes {
		changed = t.receiveCrash(m, now) || changed
	}
	for _, m := range d.Suspects {
		changed = t.receiveSuspect(m, now) || changed
	}
	for _, m := range d.Quarantines {
		changed = t.receiveQuarantine(m, now) || changed
	}
	if changed {
		t.triggerHeartbeat()
	}
}

func (t *Tracker) receiveCrash(m *wirepb.CrashMark, now time.Time) bool {
	replica := cluster.ReplicaID(m.Replica)
	at := now.Add(-clampAge(m.AgeMs))
	var keys []key
	for b := m.Fingerprints; len(b) >= keySize; b = b[keySize:] {
		k, _ := parseKey(b)
		keys = append(keys, k)
	}
	newSuspects := t.crashShard(replica).isNew(m.CrashId, replica, m.Generation, at)
	c, added := t.crashShard(replica).recordRemote(m.CrashId, replica, m.Generation, at, keys)
	explained := t.crashShard(replica).isExplained(c)
	for _, k := range added {
		if explained {
			break
		}
		t.upsert(k, func(r *record) {
			newSuspects = r.addEvidence(evidence{crash: c.id, replica: replica, at: c.at}, now, t.timing) || newSuspects
		})
	}
	newParts := t.addCrashParts(c, m.Model, parseHeldParts(m.Parts), now)
	if newSuspects {
		// A node that detects the crash later than others begins its own turns then.
		t.restartTurns(now)
	}
	if len(added) > 0 {
		t.log.Info("crash reported by another node", "replica", replica, "generation", m.Generation, "crash", c.id,
			"age", now.Sub(c.at), "fingerprints", added)
	}
	return len(added) > 0 || newParts
}

func (t *Tracker) receiveSuspect(m *wirepb.SuspectMark, now time.Time) bool {
	k, ok := parseKey(m.Fingerprint)
	if !ok {
		return false
	}
	at := now.Add(-clampAge(m.AgeMs))
	if m.Cleared {
		partChanged := t.partAnsweredElsewhere(Part(k), at)
		return t.clear(k, at) || partChanged
	}
	if !m.RunningAlone || cluster.NodeID(m.Runner) == t.node || clampAge(m.AgeMs) >= t.timing.RunnerTTL {
		return false
	}
	report := retry{
		node: cluster.NodeID(m.Runner), reportedAt: at, started: m.Replica != "", replica: cluster.ReplicaID(m.Replica),
	}
	changed, current := false, false
	t.upsert(k, func(r *record) {
		changed = r.observeRetry(t.node, report, now, t.timing)
		current = r.retry.node == report.node && r.retry.replica == report.replica && !r.crashedSince(report)
	})
	if current && report.started {
		if t.crashShard(report.replica).startRetry(report.replica, k, now, at.Add(t.timing.RunnerTTL)) {
			t.log.Info("retry alone reported by another node", "fingerprint", k, "runner", report.node, "replica", report.replica, "age", now.Sub(at))
		}
	}
	return changed
}

func (t *Tracker) receiveQuarantine(m *wirepb.QuarantineMark, now time.Time) bool {
	k, ok := parseKey(m.Fingerprint)
	if !ok || m.ExpiresInMs <= 0 {
		return false
	}
	return t.adoptQuarantine(k, time.Duration(m.ExpiresInMs)*time.Millisecond, now, "node")
}

// AdoptQuarantine applies a quarantine that was read from the store, in which it has no end of
// its own: it lasts as long as one that begins now. It returns false for an invalid fingerprint.
func (t *Tracker) AdoptQuarantine(fingerprint string) bool {
	k, ok := parseShort(fingerprint)
	if ok && t.adoptQuarantine(k, t.timing.QuarantineFor, t.now(), "store") {
		t.triggerHeartbeat()
	}
	return ok
}

// adoptQuarantine applies a quarantine and reports whether it was new. source says where it was
// learned.
func (t *Tracker) adoptQuarantine(k key, remaining time.Duration, now time.Time, source string) (isNew bool) {
	t.upsert(k, func(r *record) { isNew = r.adoptQuarantine(remaining, now, t.timing) })
	if isNew {
		t.log.Warn("quarantine reported by another node", "fingerprint", k, "expires_in_ms", remaining.Milliseconds(), "source", source)
		t.explain(Part(k), now)
	}
	return isNew
}

// clampAge bounds an age reported by a peer.
func clampAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAgeMs)) * time.Millisecond
}

const maxAgeMs = int64(24 * time.Hour / time.Millisecond)
