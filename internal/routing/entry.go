package routing

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// entry is the state of one replica. All other fields are guarded by lock, which is the lock of
// the replica's shard.
type entry struct {
	lock *sync.Mutex

	replica cluster.Replica
	addr    string
	// slots is the batch size as listed; 0 if only load reports give it.
	slots     int
	coldUntil time.Time
	coldRate  float64
	engine    *enginemodel.Profile
	// process serves the replica, limit and signals are what it has said of itself.
	process process
	limit   *rateLimit
	signals signals
	removed bool
	// healthyGeneration is the generation confirmed by the health check; 0 for none.
	healthyGeneration int64

	outstanding int
	// work is this node's work on the replica.
	work     enginemodel.Work
	suspects int
	history  history
	report   loadReport
	peers    []peerCount
	speed    speed

	// cacheBoot and cacheEpoch invalidate prefix entries of an earlier engine process.
	cacheBoot  string
	cacheEpoch uint32
	cacheSeq   int64
}

// loadReport is the last load report and the number of this node's requests in flight at
// the time it describes.
type loadReport struct {
	load        engine.Load
	receivedAt  time.Time
	ownAtReport int
}

// peerCount is another node's outstanding requests on the replica, and how many of their prompt
// tokens are unread.
type peerCount struct {
	node   cluster.NodeID
	n      int
	unread int
	at     time.Time
}

// eligible reports whether the replica may receive new requests.
func (e *entry) eligible() bool {
	return !e.removed && !e.replica.Leaving && e.signals.leavingAt.IsZero() && e.addr != "" &&
		e.healthyGeneration != 0 && e.healthyGeneration == e.replica.Generation
}

// limited reports whether this node has used its share of what the replica takes: of the limit
// that it named, or of the rate that it takes while its server is cold.
func (e *entry) limited(now time.Time, shares Shares) bool {
	return !e.limit.allows(now, now.Before(e.coldUntil), e.coldRate, shares)
}

// inFlight estimates the requests running and waiting on the replica. meanRemote is the
// group's mean remote load per unit of capacity.
//
// Remote load is known with a delay, and all nodes act on the same data: the replica that
// looked least loaded would receive the next requests of every node and be the most loaded
// one before any node learns of it, while others idle. Replicas would alternate between
// empty and full with each gossip round. Therefore a replica's deviation from the mean only
// counts with the weight RemoteLoadWeight. Own requests are known exactly and count fully.
func (e *entry) inFlight(now time.Time, o Options, capacity, meanRemote float64) float64 {
	expected := meanRemote * capacity
	return float64(e.outstanding) + expected + o.RemoteLoadWeight*(e.remoteLoad(now, o)-expected)
}

// capacity returns the batch size by the replica's own report, or as listed.
func (e *entry) capacity() int {
	if e.report.load.MaxRunning > 0 {
		return e.report.load.MaxRunning
	}
	return e.slots
}

// remoteLoad returns the known number of requests of other nodes on the replica.
//
// A report lags, and it may stop or be wrong. The counts that peers report are the lower
// bound: an engine that always reports zero still fills up in this estimate and cannot
// attract all requests. Load reported beyond that is weighted down as the report ages.
func (e *entry) remoteLoad(now time.Time, o Options) float64 {
	known := float64(e.peerTotal(now, o.PeerExpiry))
	age := now.Sub(e.report.receivedAt)
	if e.report.receivedAt.IsZero() || age >= o.ReportExpiry {
		return known
	}
	reported := float64(e.report.load.Running + e.report.load.Waiting - e.report.ownAtReport)
	freshness := 1 - float64(age)/float64(o.ReportExpiry)
	return known + max(reported-known, 0)*freshness
}

func (e *entry) peerTotal(now time.Time, expiry time.Duration) (total int) {
	for _, p := range e.peers {
		if now.Sub(p.at) < expiry {
			total += p.n
		}
	}
	return total
}

func (e *entry) setPeer(count peerCount, expiry time.Duration) {
	kept := e.peers[:0]
	for _, p := range e.peers {
		if p.node != count.node && count.at.Sub(p.at) < expiry {
			kept = append(kept, p)
		}
	}
	if count.n > 0 {
		kept = append(kept, count)
	}
	e.peers = kept
}

// boundedCapacity limits a replica's reported capacity to twice the group's median: a
// replica that reports an arbitrary number would look idle under any load. A replica that
// reports none counts with the median.
func boundedCapacity(reported int, median float64) float64 {
	switch {
	case reported < 1 && median > 0:
		return median
	case reported < 1:
		return defaultCapacity
	case median > 0:
		return min(float64(reported), 2*median)
	}
	return float64(reported)
}

// defaultCapacity is used while no replica of the group has reported its capacity.
const defaultCapacity = 8

// history is a ring buffer of recent own outstanding counts. A load report that lags is
// compared with the count at the time it describes.
type history struct {
	times  [historyLen]time.Time
	counts [historyLen]int
	next   int
}

const (
	historyLen  = 8
	historyStep = 50 * time.Millisecond
)

func (h *history) record(now time.Time, count int) {
	last := (h.next + historyLen - 1) % historyLen
	if now.Sub(h.times[last]) < historyStep {
		return
	}
	h.times[h.next], h.counts[h.next] = now, count
	h.next = (h.next + 1) % historyLen
}

// countAt returns the last count recorded at or before t, or current if there is none.
func (h *history) countAt(t time.Time, current int) int {
	for i := range historyLen {
		k := (h.next - 1 - i + 2*historyLen) % historyLen
		if h.times[k].IsZero() {
			return current
		}
		if !h.times[k].After(t) {
			return h.counts[k]
		}
	}
	return current
}
