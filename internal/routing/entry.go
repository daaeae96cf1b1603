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

// inFlight estimates what runs and waits on the replica.
//
// A report lags and may stop or lie. Requests of this node and its peers are
// known without it, so they are the floor: an engine that always reports zero
// still fills up in this estimate and cannot absorb everything. What a report
// says beyond that fades out as the report ages, for an old report says nothing
// about now.
func (e *entry) inFlight(now time.Time, o Options) float64 {
	peers := e.peerTotal(now, o.PeerExpiry)
	others := float64(peers)
	if age := now.Sub(e.report.receivedAt); !e.report.receivedAt.IsZero() && age < o.ReportExpiry {
		reported := float64(e.report.load.Running + e.report.load.Waiting - e.report.ownThen)
		fresh := 1 - float64(age)/float64(o.ReportExpiry)
		if extra := reported - others; extra > 0 {
			others += extra * fresh
		}
	}
	return float64(e.outstanding) + others
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

// capacity bounds what the replica claims to batch by twice the group's median:
// one that claims any number would look empty whatever runs on it.
func (e *entry) capacity(groupMedian float64) float64 {
	claimed := float64(e.report.load.MaxRunning)
	if claimed < 1 {
		claimed = assumedCapacity
		if groupMedian > 0 {
			claimed = groupMedian
		}
	}
	if groupMedian > 0 {
		return min(claimed, 2*groupMedian)
	}
	return claimed
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
