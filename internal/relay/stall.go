package relay

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Timeouts for the detection of stalled replicas.
//
// A replica that lost a member keeps accepting requests but makes no progress until the
// engines give up after seconds. The list of servers shows the loss only after several
// heartbeats. A node's own streams show it first: a working replica sends a piece for
// every running request in each pass, which takes 50 to 150 ms with a full batch.
const (
	// stallTimeout is the longest time without a piece from a replica with several streams.
	stallTimeout = 400 * time.Millisecond
	// stallTimeoutFirst is the same for a few streams that have received nothing yet. Their
	// prompts may be the largest allowed, on a slow replica, or queued behind those of
	// other nodes.
	stallTimeoutFirst = 800 * time.Millisecond
	// stallQuarantine is how long a stalled replica gets no new requests unless something
	// arrives from it. It is about the time that the list takes to show a loss.
	stallQuarantine = 2500 * time.Millisecond
	// A replica may be silent for stallGapFactor times its longest recent gap, up to
	// maxStallTimeout. A replica with a slow member reads and generates several times
	// slower than the others and still works.
	stallGapFactor  = 3
	maxStallTimeout = 2 * time.Second
	// gapDecay is the time constant with which the longest gap decays.
	gapDecay = 2 * time.Second
	// stallCheckInterval is the time between two checks. A check that is late by more than
	// maxCheckDelay shows that this node itself had no processor.
	stallCheckInterval = 50 * time.Millisecond
	maxCheckDelay      = 50 * time.Millisecond
	// quietTimeout is how long a replica with streams may send nothing before it counts as silent for
	// hedges.
	quietTimeout = 200 * time.Millisecond
	// Up to isolatedShare of the replicas with streams, a silence is that of single replicas. Above
	// commonShare its cause is common, and the others have no room for the streams of all.
	isolatedShare = 0.125
	commonShare   = 0.5
	// reportLifetime is how long another node's report is valid.
	reportLifetime = time.Second
	// healthyLifetime is how long a replica whose members all respond is allowed the
	// longest timeout. It is overloaded, and its callers would only have to queue again
	// elsewhere.
	healthyLifetime = 2 * time.Second
	// fewStreams is the largest number of streams that cannot distinguish a stalled replica from
	// one that processes many prompts, before any of them has received a piece.
	fewStreams = 3
)

var stallsTotal = metrics.NewCounter("fennel_relay_replica_stalls_total")

// stallDetector tracks when each replica last sent anything to this node.
type stallDetector struct {
	mu       sync.Mutex
	replicas map[cluster.ReplicaID]*activity
}

type activity struct {
	// running is the number of this node's streams on the replica. lastActivity is when
	// anything last arrived, or when the first of the streams was sent.
	running      int
	lastActivity time.Time
	// waitingForFirst is true while nothing has arrived since the first stream was sent.
	waitingForFirst bool
	stalledSince    time.Time
	// longestGap is the longest recent time between two pieces.
	longestGap time.Duration
	// reportedBy is the last other node that reported the replica as stalled.
	reportedBy cluster.NodeID
	reportedAt time.Time
	// healthyUntil is when the last confirmation that the replica works expires.
	healthyUntil time.Time
}

// timeout returns how long the replica may send nothing.
func (a *activity) timeout(now time.Time) time.Duration {
	if now.Before(a.healthyUntil) {
		return maxStallTimeout
	}
	if a.waitingForFirst && a.running <= fewStreams {
		return stallTimeoutFirst
	}
	return min(max(stallTimeout, stallGapFactor*a.longestGap), maxStallTimeout)
}

// record records that something arrived from the replica.
func (a *activity) record(now time.Time) {
	gap := now.Sub(a.lastActivity)
	a.longestGap = time.Duration(float64(a.longestGap) * math.Exp(-float64(gap)/float64(gapDecay)))
	if !a.waitingForFirst {
		a.longestGap = max(a.longestGap, gap)
	}
	a.lastActivity, a.waitingForFirst, a.stalledSince = now, false, time.Time{}
}

// quarantined reports whether the replica was found stalled and gets no new requests.
func (a *activity) quarantined(now time.Time) bool {
	return !a.stalledSince.IsZero() && now.Sub(a.stalledSince) < stallQuarantine
}

// quiet reports whether nothing has come from the replica for quietTimeout.
func (a *activity) quiet(now time.Time) bool {
	return a.running > 0 && now.Sub(a.lastActivity) > quietTimeout
}

func newStallDetector() *stallDetector {
	return &stallDetector{replicas: make(map[cluster.ReplicaID]*activity)}
}

func (d *stallDetector) begin(id cluster.ReplicaID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.activity(id)
	if a.running == 0 {
		a.lastActivity, a.waitingForFirst = now, true
	}
	a.running++
}

func (d *stallDetector) end(id cluster.ReplicaID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.replicas[id]; a != nil {
		a.running--
	}
}

// recordActivity records that something arrived from the replica.
func (d *stallDetector) recordActivity(id cluster.ReplicaID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.replicas[id]; a != nil {
		a.record(now)
	}
}

// silentFor returns how long nothing has come from the replica.
func (d *stallDetector) silentFor(id cluster.ReplicaID, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.replicas[id]; a != nil && a.running > 0 {
		return now.Sub(a.lastActivity)
	}
	return 0
}

// stalled returns the replicas that are stalled.
func (d *stallDetector) stalled(now time.Time) (ids []cluster.ReplicaID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, a := range d.replicas {
		if a.quarantined(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// silent returns the replicas that are stalled, and those from which nothing has come for so long
// that they may be.
func (d *stallDetector) silent(now time.Time) (ids []cluster.ReplicaID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, a := range d.replicas {
		if a.quarantined(now) || a.quiet(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// spread says how many of the replicas with streams are silent.
type spread int

const (
	// isolatedSilence: one replica, or few of those with streams.
	isolatedSilence spread = iota
	partialSilence
	// commonSilence: most replicas with streams, and more than one.
	commonSilence
)

// silenceSpread returns how many replicas are silent. One that has yet to send its first piece counts
// only once it is silent.
func (d *stallDetector) silenceSpread(now time.Time) spread {
	d.mu.Lock()
	defer d.mu.Unlock()
	working, silent := 0, 0
	for _, a := range d.replicas {
		switch {
		case a.quiet(now):
			silent++
		case a.running > 0 && !a.waitingForFirst:
			working++
		}
	}
	share := float64(silent) / float64(silent+working)
	switch {
	case silent <= 1 || share <= isolatedShare:
		return isolatedSilence
	case share <= commonShare:
		return partialSilence
	}
	return commonSilence
}

// excuse leaves the time for which this node stood still out of the silence of all replicas.
func (d *stallDetector) excuse(stoodStill time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.replicas {
		if a.lastActivity = a.lastActivity.Add(stoodStill); a.lastActivity.After(now) {
			a.lastActivity = now
		}
	}
}

// check returns the replicas that stalled since the last check, and whether at least as
// many others work. If not, this node itself is more likely cut off.
func (d *stallDetector) check(now time.Time) (found []cluster.ReplicaID, othersWork bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	working := 0
	for id, a := range d.replicas {
		quarantined := a.quarantined(now)
		switch {
		case a.running == 0 && !quarantined && now.Sub(a.reportedAt) >= reportLifetime && now.After(a.healthyUntil):
			delete(d.replicas, id)
		case a.running > 0 && !quarantined && now.Sub(a.lastActivity) > a.timeout(now):
			a.stalledSince = now
			found = append(found, id)
			stallsTotal.Inc()
		case a.running > 0 && !a.waitingForFirst && now.Sub(a.lastActivity) < stallTimeout:
			working++
		}
	}
	return found, working >= len(found)
}

// activity returns the replica's activity, adding it if needed. The caller holds d.mu.
func (d *stallDetector) activity(id cluster.ReplicaID) *activity {
	a := d.replicas[id]
	if a == nil {
		a = &activity{}
		d.replicas[id] = a
	}
	return a
}

// report records another node's report that a replica is stalled, and returns whether the
// replica is now considered stalled. A single node may be cut off or have a bad link, and
// an overloaded replica looks stalled to some nodes. If this node has requests of its own
// on the replica, only those count; otherwise reports from two other nodes are needed.
func (d *stallDetector) report(id cluster.ReplicaID, by cluster.NodeID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.activity(id)
	if a.quarantined(now) || a.running > 0 || now.Before(a.healthyUntil) {
		return false
	}
	confirmed := a.reportedBy != "" && a.reportedBy != by && now.Sub(a.reportedAt) < reportLifetime
	a.reportedBy, a.reportedAt = by, now
	if confirmed {
		a.stalledSince = now
	}
	return confirmed
}

// markHealthy records that all members of a replica responded.
func (d *stallDetector) markHealthy(id cluster.ReplicaID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.activity(id)
	a.healthyUntil = now.Add(healthyLifetime)
	a.stalledSince, a.reportedBy = time.Time{}, ""
}
