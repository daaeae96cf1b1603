package routing

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// entry is the state of one replica. All fields but lock are guarded by lock,
// the lock of the shard that the replica falls into.
type entry struct {
	lock *sync.Mutex

	replica cluster.Replica
	addr    string
	// slots is how many requests it batches, as listed; 0 where only reports tell.
	slots   int
	removed bool
	// wholeGeneration is the generation that the health check confirmed; 0 for none.
	wholeGeneration int64

	outstanding int
	suspects    int
	history     history
	report      report
	peers       []peerCount
	speed       speed

	// cacheBoot and cacheEpoch make prefix entries of an earlier engine process void.
	cacheBoot  string
	cacheEpoch uint32
	cacheSeq   int64
}

// report is the last load report and what this node had in flight when it was taken.
type report struct {
	load       engine.Load
	receivedAt time.Time
	ownThen    int
}

// peerCount is another node's outstanding requests on the replica.
type peerCount struct {
	node cluster.NodeID
	n    int
	at   time.Time
}

// eligible reports whether the replica may take new work.
func (e *entry) eligible() bool {
	return !e.removed && !e.replica.Leaving && e.addr != "" &&
		e.wholeGeneration != 0 && e.wholeGeneration == e.replica.Generation
}

// inFlight estimates what runs and waits on the replica, with usual as the
// group's mean of what others run on one unit of capacity.
//
// What others run is known late, and all nodes act on the same news: the replica
// that looked emptiest would get everybody's next requests and be the fullest
// before anyone hears of it, while others idle. One would notice replicas that
// swing between empty and full once a gossip round. Therefore only a part of
// a replica's difference from the usual counts. Own requests are known exactly
// and count whole.
func (e *entry) inFlight(now time.Time, o Options, capacity, usual float64) float64 {
	expected := usual * capacity
	return float64(e.outstanding) + expected + o.RemoteLoadWeight*(e.others(now, o)-expected)
}

// claimed is how many requests the replica batches by its own report, or as listed.
func (e *entry) claimed() int {
	if e.report.load.MaxRunning > 0 {
		return e.report.load.MaxRunning
	}
	return e.slots
}

// others is what others run on the replica as far as it is known.
//
// A report lags and may stop or lie. What peers say of themselves is the floor:
// an engine that always reports zero still fills up in this estimate and cannot
// absorb everything. What a report says beyond that fades out as the report
// ages, for an old report says nothing about now.
func (e *entry) others(now time.Time, o Options) float64 {
	known := float64(e.peerTotal(now, o.PeerExpiry))
	age := now.Sub(e.report.receivedAt)
	if e.report.receivedAt.IsZero() || age >= o.ReportExpiry {
		return known
	}
	reported := float64(e.report.load.Running + e.report.load.Waiting - e.report.ownThen)
	fresh := 1 - float64(age)/float64(o.ReportExpiry)
	return known + max(reported-known, 0)*fresh
}

func (e *entry) peerTotal(now time.Time, expiry time.Duration) (total int) {
	for _, p := range e.peers {
		if now.Sub(p.at) < expiry {
			total += p.n
		}
	}
	return total
}

func (e *entry) setPeer(node cluster.NodeID, n int, now time.Time, expiry time.Duration) {
	kept := e.peers[:0]
	for _, p := range e.peers {
		if p.node != node && now.Sub(p.at) < expiry {
			kept = append(kept, p)
		}
	}
	if n > 0 {
		kept = append(kept, peerCount{node: node, n: n, at: now})
	}
	e.peers = kept
}

// believedCapacity bounds what a replica claims to batch by twice the group's
// median: one that claims any number would look empty whatever runs on it. A
// replica that claims nothing counts as a median one.
func believedCapacity(claimed int, median float64) float64 {
	switch {
	case claimed < 1 && median > 0:
		return median
	case claimed < 1:
		return assumedCapacity
	case median > 0:
		return min(float64(claimed), 2*median)
	}
	return float64(claimed)
}

// assumedCapacity stands in while no replica of the group has reported.
const assumedCapacity = 8

// history remembers the own outstanding count of the last moments, so that a
// lagged report is compared with what was in flight when it was taken.
type history struct {
	at [historyLen]time.Time
	n  [historyLen]int
	w  int
}

const (
	historyLen  = 8
	historyStep = 50 * time.Millisecond
)

func (h *history) note(now time.Time, n int) {
	last := (h.w + historyLen - 1) % historyLen
	if now.Sub(h.at[last]) < historyStep {
		return
	}
	h.at[h.w], h.n[h.w] = now, n
	h.w = (h.w + 1) % historyLen
}

// countAt returns the count noted last before the moment, or else the present one.
func (h *history) countAt(moment time.Time, present int) int {
	for i := range historyLen {
		k := (h.w - 1 - i + 2*historyLen) % historyLen
		if h.at[k].IsZero() {
			return present
		}
		if !h.at[k].After(moment) {
			return h.n[k]
		}
	}
	return present
}
