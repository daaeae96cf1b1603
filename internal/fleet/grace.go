package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Timing of the entries that expire in an outage.
const (
	// outageThreshold is the silence of the store, beyond watchIdleInterval, after which
	// entries may have expired because they could not be renewed. It is shorter than the
	// shortest heartbeat interval in use.
	outageThreshold = time.Second
	// expiryGracePeriod is how long after its recovery the store may lack the entries of live servers,
	// which are required to be listed again within about two seconds, and the time to read them.
	expiryGracePeriod = 2300 * time.Millisecond
	// maxRemovalDelay bounds the time from the end of an outage until a removal that was read is in
	// force. A node that was disconnected alone has to act on it within 3 s of its reconnection, of
	// which the rest is left for notifying the views.
	maxRemovalDelay = 2800 * time.Millisecond
	// maxProbeInterval bounds the time between the beginnings of two attempts to reach the store while
	// there is a copy, and so the time until the end of an outage is noticed. With a longer one the time
	// in which live servers are listed again would not fit below maxRemovalDelay.
	maxProbeInterval = 750 * time.Millisecond
)

// expiryGrace holds the entries that are kept after an outage although the store lacks them. A node
// can't tell an outage in which nobody could renew an entry from one of its own connection, in which
// servers left as usual. It keeps all removed entries, but never longer than a disconnected node may.
type expiryGrace struct {
	// expired maps the kept entries to the revisions at which their removal was read.
	expired map[string]int64
	// end is when the last outage's kept entries are removed.
	end time.Time
	// recoveredAt is when the store last confirmed the copy after an outage, and silence how long it had
	// not done so.
	recoveredAt time.Time
	silence     time.Duration
	// askedAt is when the latest attempt began that the store left unanswered, and lostAt when the first
	// one since the last contact failed; zero while the store answers.
	askedAt, lostAt time.Time
	timer           *time.Timer
}

// begin starts a grace period at the first contact after an outage.
func (g *expiryGrace) begin(contact time.Time) {
	g.recoveredAt = contact
	g.end = contact.Add(min(expiryGracePeriod, maxRemovalDelay-g.noticeDelay(contact)))
}

// noticeDelay returns how long before the contact the outage may have ended: when the last attempt began that
// the store left unanswered. An attempt takes at most readTimeout, so that a longer time, or none, shows that
// the node did not run meanwhile.
func (g *expiryGrace) noticeDelay(contact time.Time) time.Duration {
	if g.askedAt.IsZero() {
		return 0
	}
	return min(contact.Sub(g.askedAt), readTimeout)
}

// recordUnanswered records that the store left an attempt unanswered.
func (m *Mirror) recordUnanswered(began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if began.After(m.grace.askedAt) {
		m.grace.askedAt = began
	}
	if m.grace.lostAt.IsZero() {
		m.grace.lostAt = time.Now()
	}
}

// recordContact records when the store last answered, and reports whether that ended an outage; the
// caller holds m.mu.
func (m *Mirror) recordContact(at time.Time) (recovered bool) {
	g := &m.grace
	silence := at.Sub(m.lastContact)
	if silence <= 0 {
		return false
	}
	// Servers that could not register again before the next outage get as much time after it.
	lostAgain := len(g.expired) > 0 && !g.lostAt.IsZero() && at.Sub(g.lostAt) > outageThreshold
	if m.loaded && (lostAgain || silence > outageThreshold+watchIdleInterval) {
		g.begin(at)
		g.silence, recovered = silence, true
	}
	g.askedAt, g.lostAt = time.Time{}, time.Time{}
	m.lastContact = at
	return recovered
}

// keepsRemoved reports whether an entry is kept although the store lacks it; the caller holds m.mu.
func (m *Mirror) keepsRemoved(key string, now time.Time) bool {
	return now.Before(m.grace.end) && slices.ContainsFunc(m.views, func(v View) bool { return v.Renewed && strings.HasPrefix(key, v.Prefix) })
}

// continueGrace schedules the removal of the kept entries; the caller holds m.mu.
func (m *Mirror) continueGrace(recovered bool) {
	g := &m.grace
	if recovered {
		m.log.Info("copy confirmed again", "silence", g.silence.String(), "revision", m.revision, "kept", len(g.expired), "keys", sampleKeys(g.expired),
			"grace", g.end.Sub(g.recoveredAt).String())
	}
	if len(g.expired) == 0 {
		return
	}
	if g.timer == nil {
		g.timer = time.AfterFunc(time.Until(g.end), m.dropExpired)
		return
	}
	g.timer.Reset(time.Until(g.end))
}

// stopGrace leaves the kept entries as they are.
func (m *Mirror) stopGrace() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.grace.timer != nil {
		m.grace.timer.Stop()
	}
}

// dropExpired removes the expired entries that were not written again. While the store is lost again
// they are kept.
func (m *Mirror) dropExpired() {
	m.mu.Lock()
	g := &m.grace
	if !g.lostAt.IsZero() || time.Now().Before(g.end) {
		m.mu.Unlock()
		return
	}
	expired, sample := slices.Collect(maps.Keys(g.expired)), sampleKeys(g.expired)
	for _, key := range expired {
		delete(m.entries, key)
	}
	clear(g.expired)
	recoveredAt := g.recoveredAt
	m.mu.Unlock()
	if count := len(expired); count > 0 {
		m.log.Info("expired entries removed", "count", count, "keys", sample, "since_recovery", time.Since(recoveredAt).String(), "reason", "not renewed after the store recovered")
		m.notifySoon(expired)
	}
}

// maxLoggedKeys limits the keys in one line of the log.
const maxLoggedKeys = 8

// sampleKeys returns some of the keys, in order and with the revisions at which their removal was read.
func sampleKeys(removed map[string]int64) string {
	var sample []string
	for _, key := range slices.Sorted(maps.Keys(removed))[:min(len(removed), maxLoggedKeys)] {
		sample = append(sample, fmt.Sprintf("%s@%d", key, removed[key]))
	}
	return strings.Join(sample, ",")
}
