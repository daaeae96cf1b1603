package routing

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Shares splits a rate that a server takes from all nodes together between the nodes.
type Shares interface {
	Share(server cluster.VMID, perSecond float64) Share
}

// Share is a node's part of a rate.
type Share struct {
	// PerSecond is in requests per second; 0 for a node that is to send nothing.
	PerSecond float64
	// Rank is the node's rank, from 0 on, among the Nodes nodes that may send to the server. Nodes is
	// 0 while the node does not know the others.
	Rank, Nodes int
}

// SingleNode gives the whole rate to this node.
type SingleNode struct{}

// Share implements Shares.
func (SingleNode) Share(_ cluster.VMID, perSecond float64) Share { return Share{perSecond, 0, 1} }

const (
	// BurstTime is the time whose share of a rate a node may send at once, in addition to one
	// request. Without it, a replica whose rate is far above what arrives would refuse bursts.
	BurstTime = 125 * time.Millisecond
	// trialShare is the part of a limit that all nodes without a share may send together to learn of
	// its end, if nobody tells them.
	trialShare = 0.25
	// confirmationInterval is the shortest time between two requests of a node to a server of which
	// only another node reported that its limit has ended, until the server answers the first one. The
	// nodes' first ones are spread over it.
	confirmationInterval = 2 * time.Second
	// shareTTL is how long a node's share of a rate is kept. Ranking all nodes for each candidate of
	// each request would take too long.
	shareTTL = 200 * time.Millisecond
)

// LimitBasis is what a node's knowledge of a limit rests on.
type LimitBasis string

// The bases of limits. A trial is a request of a node without a share that shows whether the limit
// has ended; LimitUnconfirmed is an end that another node reported.
const (
	LimitAnswer      LimitBasis = "answer"
	LimitReported    LimitBasis = "report"
	LimitTrial       LimitBasis = "trial"
	LimitUnconfirmed LimitBasis = "unconfirmed"
)

// LimitUse is the limit under which a request is sent; the zero value if none was named.
type LimitUse struct {
	// PerSecond is the limit, Share this node's part of it, both in requests per second.
	PerSecond, Share float64
	Basis            LimitBasis
	// Age is how long ago the server said so.
	Age time.Duration
}

// rateLimit is what one process last said of the rate that it takes from all nodes, as far as this
// node knows, and this node's token bucket for that rate or for the rate of a cold server. The
// bucket holds one request, and the share of BurstTime, and is empty when it is first used.
//
// What the process said last, to whichever node, is in force until something later is known:
// silence does not end a limit.
type rateLimit struct {
	server cluster.VMID
	id     uint32
	// entries is the number of entries that use the limit; guarded by limitTable.mu.
	entries int
	// named is set once a limit is known.
	named atomic.Bool

	mu sync.Mutex
	// perSecond is 0 if the process named no limit. saidAt is when an answer that names the limit
	// arrived, or when the request was sent whose answer names none.
	perSecond float64
	saidAt    time.Time
	basis     LimitBasis
	// unconfirmed is set while no answer to this node confirms the reported end of a limit.
	unconfirmed bool
	// triedAt is when this node last sent a request without a share, or to confirm an end.
	triedAt time.Time
	// reports is how often this node has reported the limit since it began or ended.
	reports int

	tokens     float64
	refilledAt time.Time
	share      Share
	shareOf    float64
	shareAt    time.Time
}

// shareFor returns this node's share of a rate. The caller holds l.mu.
func (l *rateLimit) shareFor(perSecond float64, now time.Time, shares Shares) Share {
	if l.shareOf != perSecond || now.Sub(l.shareAt) >= shareTTL || now.Before(l.shareAt) {
		l.share, l.shareOf, l.shareAt = shares.Share(l.server, perSecond), perSecond, now
	}
	return l.share
}

// allows reports whether this node may send a request now. coldRate is what the server takes if it
// is cold.
func (l *rateLimit) allows(now time.Time, cold bool, coldRate float64, shares Shares) bool {
	if !cold && !l.named.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case cold && (l.perSecond <= 0 || coldRate < l.perSecond):
		return l.hasToken(now, l.shareFor(coldRate, now, shares).PerSecond)
	case l.perSecond > 0:
		share := l.shareFor(l.perSecond, now, shares)
		if share.PerSecond > 0 {
			return l.hasToken(now, share.PerSecond)
		}
		return l.trialDue(now, share)
	case l.unconfirmed:
		share := l.shareFor(1, now, shares)
		turn := time.Duration(share.Rank) * confirmationInterval / time.Duration(max(share.Nodes, 1))
		return now.Sub(l.saidAt) >= turn && now.Sub(l.triedAt) >= confirmationInterval
	}
	return true
}

// trialDue reports whether it is this node's turn to try whether the limit has ended. The nodes'
// turns are spread over a period in which all of them together send trialShare of the limit. The
// caller holds l.mu.
func (l *rateLimit) trialDue(now time.Time, share Share) bool {
	if share.Nodes == 0 {
		return false
	}
	interval := time.Duration(float64(time.Second) / (trialShare * l.perSecond))
	return now.Sub(l.saidAt) >= time.Duration(share.Rank+1)*interval && now.Sub(l.triedAt) >= time.Duration(share.Nodes)*interval
}

// hasToken reports whether the bucket holds a request. The caller holds l.mu.
func (l *rateLimit) hasToken(now time.Time, share float64) bool {
	if !l.refilledAt.IsZero() {
		l.tokens = min(1+share*BurstTime.Seconds(), l.tokens+share*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
	return l.tokens >= 1
}

// take counts a request and returns the limit under which it is sent.
func (l *rateLimit) take(now time.Time, shares Shares) LimitUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = max(0, l.tokens-1)
	use := LimitUse{PerSecond: l.perSecond, Basis: l.basis, Age: now.Sub(l.saidAt)}
	switch {
	case l.perSecond > 0:
		if use.Share = l.shareFor(l.perSecond, now, shares).PerSecond; use.Share > 0 {
			return use
		}
		use.Basis = LimitTrial
	case l.unconfirmed:
		use.Basis = LimitUnconfirmed
	default:
		return LimitUse{}
	}
	l.triedAt = now
	return use
}

// set adopts what the process said, unless something later is known. It reports whether a limit
// began, changed or ended.
func (l *rateLimit) set(perSecond float64, saidAt time.Time, basis LimitBasis) (changed bool) {
	if perSecond <= 0 && !l.named.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !saidAt.After(l.saidAt) {
		return false
	}
	changed = perSecond != l.perSecond
	if changed {
		l.reports = 0
	}
	if perSecond > 0 && l.perSecond <= 0 {
		l.tokens, l.refilledAt = 0, time.Time{}
	}
	if basis == LimitAnswer || perSecond > 0 {
		l.unconfirmed = false
	} else if changed {
		l.unconfirmed = true
	}
	l.perSecond, l.saidAt, l.basis = perSecond, saidAt, basis
	if perSecond > 0 {
		l.named.Store(true)
	}
	return changed
}

// isKept reports whether the limit is to be remembered although no entry uses it: the process may
// come to serve another replica.
func (l *rateLimit) isKept(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond > 0 && now.Sub(l.saidAt) < limitMemory
}

// limitMemory is how long the limit of a process that serves no replica is remembered.
const limitMemory = 10 * time.Minute

// limitTable holds the limits of processes, whichever replica they serve.
type limitTable struct {
	mu        sync.Mutex
	byProcess map[process]*rateLimit
	byID      map[uint32]*rateLimit
}

// acquire returns the limit of a process for an entry, which releases it later.
func (t *limitTable) acquire(p process, now time.Time) *rateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.byProcess[p]
	if l == nil {
		t.sweep(now)
		l = &rateLimit{server: p.server, id: p.id()}
		t.byProcess[p], t.byID[l.id] = l, l
	}
	l.entries++
	return l
}

func (t *limitTable) release(l *rateLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.entries--
}

// sweep drops the limits that no entry uses. The caller holds t.mu.
func (t *limitTable) sweep(now time.Time) {
	for p, l := range t.byProcess {
		if l.entries > 0 || l.isKept(now) {
			continue
		}
		delete(t.byProcess, p)
		if t.byID[l.id] == l {
			delete(t.byID, l.id)
		}
	}
}

// id identifies a process in reports. On a collision only one of the two gets reports.
func (p process) id() uint32 {
	text := string(p.server) + "\x00" + p.addr + "\x00" + strconv.FormatInt(p.startedAt.UnixMilli(), 10)
	return uint32(xxhash.Sum64String(text))
}

// ReportRateLimit records what the server of the chosen replica named in its answer to a request
// that was sent at sentAt: a limit, or none if perSecond is 0. An answer to a request that was sent
// before the limit was last named does not end it. It reports whether a limit began, changed or
// ended.
func (t *Table) ReportRateLimit(choice Choice, perSecond float64, sentAt, now time.Time) (changed bool) {
	l := choice.limit
	switch {
	case l == nil:
		return false
	case perSecond > 0:
		return l.set(perSecond, now, LimitAnswer)
	}
	return l.set(0, sentAt, LimitAnswer)
}
