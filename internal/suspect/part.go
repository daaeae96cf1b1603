package suspect

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/clock"
)

// Part identifies one part of the prompts for a model, by a hash of the model and the part's ID.
type Part uint64

// PartsOf returns the parts of a prompt that other requests may share: all but the last one.
func PartsOf(model string, ids []uint64) []Part {
	if len(ids) < 2 {
		return nil
	}
	parts := make([]Part, len(ids)-1)
	for i, id := range ids[:len(ids)-1] {
		b := binary.BigEndian.AppendUint64([]byte(model), id)
		parts[i] = Part(xxhash.Sum64(b))
	}
	return parts
}

// String returns the part in hex, as it appears in logs.
func (p Part) String() string { return key(p).String() }

// fingerprint returns a fingerprint whose key is the part.
func (p Part) fingerprint() (fp Fingerprint) {
	binary.BigEndian.PutUint64(fp[:], uint64(p))
	return fp
}

// maxLoggedParts bounds the parts in one log line.
const maxLoggedParts = 8

// JoinParts lists parts for a log line.
func JoinParts(parts []Part) string {
	var text []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		text = append(text, p.String())
	}
	return strings.Join(text, ",")
}

// heldPartSize is the encoded size of a heldPart in bytes.
const heldPartSize = keySize + 4

func (h heldPart) append(b []byte) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(b, uint64(h.part)), h.request)
}

func parseHeldParts(b []byte) (held []heldPart) {
	for ; len(b) >= heldPartSize; b = b[heldPartSize:] {
		held = append(held, heldPart{part: Part(binary.BigEndian.Uint64(b)), request: binary.BigEndian.Uint32(b[keySize:])})
	}
	return held
}

// modelHash is the hash of a model that nodes exchange.
func modelHash(model string) uint32 { return uint32(xxhash.Sum64String(model)) }

var metricPartsQuarantined = metrics.NewCounter(`fennel_suspect_quarantined_parts_total`)

// partsAnswered records an answer to a request that began at a time. It withdraws earlier crashes
// as evidence against the parts, on all nodes.
func (t *Tracker) partsAnswered(req Request, at time.Time) {
	if req.Model == "" {
		return
	}
	for _, p := range t.parts.answered(modelHash(req.Model), req.Parts, at) {
		t.log.Info("part cleared", "part", p, "answer_age", t.now().Sub(at))
		t.upsert(key(p), func(r *record) { r.clearPart(at, t.now(), t.timing) })
		t.triggerHeartbeat()
	}
}

// clearPart records an answer to a request with the part, so that the other nodes learn of it.
func (r *record) clearPart(at, now time.Time, t Timing) {
	if r.phase == quarantined || r.probation {
		return
	}
	r.phase, r.part = cleared, true
	r.clearedAt = at
	r.until = now.Add(t.SuspectFor)
	r.sends = sendStats{}
}

// partAnsweredElsewhere applies another node's report of an answer and reports whether it was new.
func (t *Tracker) partAnsweredElsewhere(p Part, at time.Time) (changed bool) {
	if !t.parts.withdraw(p, at) {
		return false
	}
	t.upsert(key(p), func(r *record) { r.clearPart(at, t.now(), t.timing) })
	return true
}

// partsCrashed records a crash under a request whose answer had not begun.
func (t *Tracker) partsCrashed(c *crash, req Request) {
	var held []heldPart
	for _, p := range t.parts.suspects(req.Parts, partsPerMark, c.at) {
		held = append(held, heldPart{part: p, request: uint32(req.Fingerprint.key())})
	}
	if t.addCrashParts(c, modelHash(req.Model), held, t.now()) {
		t.triggerHeartbeat()
	}
}

// addCrashParts adds the parts of requests to a crash, as evidence against them. It reports whether
// any was new.
func (t *Tracker) addCrashParts(c *crash, model uint32, held []heldPart, now time.Time) bool {
	t.crashShard(c.replica).setModel(c, model)
	added := t.crashShard(c.replica).addParts(c, held)
	var candidates []Part
	for _, h := range added {
		if _, quarantine := t.quarantinedUntil(key(h.part)); quarantine {
			t.explain(h.part, now)
			return true
		}
		candidates = append(candidates, h.part)
	}
	for _, h := range added {
		t.parts.crashed(h.part, partCrash{crash: c.id, at: c.at, request: h.request})
	}
	if len(added) > 0 {
		clock.NewWatchdog(partVerdictDelay, func() { t.judgeParts(model, candidates) })
	}
	return len(added) > 0
}

// partVerdictDelay is how long a verdict on parts waits for the other requests that were in flight
// in the crash, and for answers.
const partVerdictDelay = 150 * time.Millisecond

// judgeParts quarantines one of the parts if the evidence suffices.
func (t *Tracker) judgeParts(model uint32, candidates []Part) {
	now := t.now()
	crashesSince := func(since time.Time) int { return t.crashesSince(model, since) }
	if p, count, found := t.parts.culprit(model, candidates, now, crashesSince); found {
		t.quarantinePart(p, count, now)
	}
}

// crashesSince counts the crashes of replicas of a model since a time.
func (t *Tracker) crashesSince(model uint32, since time.Time) (n int) {
	for i := range t.byReplica {
		n += t.byReplica[i].crashesSince(model, since)
	}
	return n
}

// quarantinePart refuses requests with the part on every node.
func (t *Tracker) quarantinePart(p Part, count partCount, now time.Time) {
	isNew := false
	t.upsert(key(p), func(r *record) {
		r.part = true
		isNew = r.adoptQuarantine(t.timing.QuarantineFor, now, t.timing)
	})
	if !isNew {
		return
	}
	metricPartsQuarantined.Inc()
	t.log.Warn("part quarantined", "part", p, "crashes", count.crashes, "replicas", count.replicas, "requests", count.requests, "weight", count.weight, "answers_before", count.answers, "for", t.timing.QuarantineFor)
	t.onQuarantined(key(p).String())
	t.explain(p, now)
	t.triggerHeartbeat()
}

// explain withdraws the crashes that requests with the part caused as evidence against all other
// requests and parts.
func (t *Tracker) explain(p Part, now time.Time) {
	for i := range t.byReplica {
		for _, c := range t.byReplica[i].explain(p) {
			t.parts.explain(c)
			for _, k := range c.keys {
				t.update(k, func(r *record) { r.withdraw(c.id, now, t.timing) })
			}
		}
	}
}
