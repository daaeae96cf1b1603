package relay

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// Router chooses replicas and counts the requests running on them.
type Router interface {
	Choose(req routing.Request) (routing.Choice, error)
	End(choice routing.Choice, res routing.Result)
	ReportLoad(id cluster.ReplicaID, load engine.Load, receivedAt time.Time)
	// ReportRateLimit records the limit that a replica's server named, or 0 for none, in its answer to
	// a request sent at sentAt. It reports whether a limit began, changed or ended.
	ReportRateLimit(choice routing.Choice, perSecond float64, sentAt, now time.Time) (changed bool)
	// ReportPushback records that the chosen replica wants no requests from this node for d. It
	// reports whether the replica took requests before.
	ReportPushback(choice routing.Choice, d time.Duration, now time.Time) (began bool)
	// PushbackLeft returns how much longer the server of the chosen replica wants no requests from this node.
	PushbackLeft(choice routing.Choice, now time.Time) time.Duration
	// ReportLeaving records that the server of the chosen replica is about to shut down. It reports
	// whether the server had not said so before.
	ReportLeaving(choice routing.Choice, now time.Time) (first bool)
}

// Suspects tracks the requests that crash backend servers. *suspect.Tracker implements it.
type Suspects interface {
	// Refuse returns an error for a request that holds a quarantined part. It never waits.
	Refuse(req suspect.Request) error
	// AdmitRequest returns an error for a request that is quarantined or holds a quarantined part.
	AdmitRequest(ctx context.Context, req suspect.Request) (suspect.Admission, error)
	// IsSuspect reports whether the request, or a part of it, is suspected. It never waits.
	IsSuspect(req suspect.Request) bool
	// MayRetryOn reports whether this node may now run a suspect on the replica.
	MayRetryOn(replica cluster.ReplicaID) bool
	// BeginRequest records the start of a run.
	BeginRequest(req suspect.Request, replica cluster.ReplicaID, generation int64, a suspect.Admission) suspect.Run
}

// Options are the dependencies of a Relay. All are required except Rules, OnLeaving, OnRateLimit, OnStall, Reach, Paths and Log.
type Options struct {
	Router  Router
	Backend Backend
	Budget  *Budget
	// Rules returns the set of rules in force; nil if none is known, and then calls keep the route that
	// they came with.
	Rules func() *rules.Set
	// Peer returns the process that serves a replica, or false if it is not listed.
	Peer     func(choice routing.Choice) (conns.Peer, bool)
	Suspects Suspects
	// Departure returns what is known of the end of a process. A planned end is no crash.
	Departure func(p conns.Peer) Departure
	// OnLeaving is called when a process first says that it is about to shut down; may be nil.
	OnLeaving func(p conns.Peer)
	// OnRateLimit is called when an answer to the request shows that a server's limit, in requests per
	// second, began, changed or ended; may be nil.
	OnRateLimit func(server cluster.VMID, perSecond float64, request string)
	// OnStall is called with the replicas that this node's requests show to be stalled,
	// and with whether other replicas work; may be nil.
	OnStall func(ids []cluster.ReplicaID, othersWork bool)
	// Reach tells whether this node reaches the backend servers. While it does not, calls go
	// to another one of Nodes, by NodeClient, or are refused if that is nil. Reach may be nil; then
	// neither happens. Zone is this node's zone.
	Zone       cluster.ZoneID
	Reach      Reachability
	Nodes      func() []Node
	NodeClient NodeClient
	// Paths holds what the other nodes say of their paths to the servers; nil if nothing is known.
	Paths Paths
	Log   *slog.Logger
}

// Limits of a Relay.
const (
	// maxUnaryBytes limits the size of an answer that is not streamed. It is buffered
	// until it is complete.
	maxUnaryBytes = 8 << 20
	// maxIdleNonIdempotent is the longest idle time of a connection reused for a call
	// that cannot be repeated. If the connection has died meanwhile, it is unknown whether
	// the call ran. Servers keep idle connections open for seconds.
	maxIdleNonIdempotent = 1500 * time.Millisecond
	// maxIdleIdempotent is the same for calls that can be repeated.
	maxIdleIdempotent = 8 * time.Second
	// A stream that receives no piece for pieceTimeoutFactor times its target gap, and at
	// least minPieceTimeout, is hedged even if its own replica serves other streams: the
	// connection may be dead. Callers give up after eight target gaps or two seconds.
	pieceTimeoutFactor = 5
	minPieceTimeout    = 1400 * time.Millisecond
	// firstPieceShare is the fraction of its remaining time that an idempotent call waits
	// for the first piece from a replica that serves other calls before it is hedged. A long
	// queue looks the same as a dead connection.
	firstPieceShare = 0.6
)

// Relay serves calls. All methods are safe for concurrent use.
type Relay struct {
	opts    Options
	stalls  *stallDetector
	advisor *retryAdvisor
	limits  *concurrencyLimits
	crashes *crashDetector
	// nodeBackoffs holds the nodes that did not take calls over.
	nodeBackoffs nodeBackoffs
	// handOvers counts the calls for which another node was looked for.
	handOvers atomic.Uint64
	// running holds the attempts by replica, to hedge them when the replica fails.
	mu      sync.Mutex
	running map[cluster.ReplicaID]map[*attempt]struct{}
	// lastCheck is when Run last checked for stalled replicas, and lastLateCheck when it was last late;
	// nil if it never was.
	lastCheck, lastLateCheck atomic.Pointer[time.Time]
}

// New returns a Relay.
func New(opts Options) *Relay {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Rules == nil {
		opts.Rules = func() *rules.Set { return nil }
	}
	return &Relay{opts: opts, stalls: newStallDetector(), advisor: newRetryAdvisor(), limits: newConcurrencyLimits(), crashes: newCrashDetector(opts), running: make(map[cluster.ReplicaID]map[*attempt]struct{})}
}

// Run checks for stalled replicas until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	start := time.Now()
	r.lastCheck.Store(&start)
	clock.Every(ctx, stallCheckInterval, func(time.Time) {
		now := time.Now()
		late := now.Sub(*r.lastCheck.Swap(&now)) - stallCheckInterval
		if late > maxCheckDelay {
			r.lastLateCheck.Store(&now)
			r.opts.Log.Warn("node stood still", "for", late)
			r.stalls.excuse(late, now)
		}
		r.checkStalls(now)
	})
}

// checkStalls has the attempts on replicas that have stalled hedged if these stay silent.
func (r *Relay) checkStalls(now time.Time) {
	found, othersWork := r.stalls.check(now)
	delay := severalStalledDelay
	if r.stalls.silenceSpread(now) == isolatedSilence {
		delay = minIdleToHedge
	}
	for _, id := range found {
		r.recordFailure(string(id))
		silent := r.stalls.silentFor(id, now)
		r.hedgeAttempts(id, hedgeStalled, delay)
		r.opts.Log.Warn("replica stalled", "replica", id, "silent", silent, "others_responding", othersWork)
	}
	if len(found) > 0 && r.opts.OnStall != nil {
		r.opts.OnStall(found, othersWork)
	}
}

// stoodStill reports whether this node has just had no processor for so long that answers may have
// arrived which it has not read.
func (r *Relay) stoodStill(now time.Time) bool {
	last, late := r.lastCheck.Load(), r.lastLateCheck.Load()
	return last != nil && now.Sub(*last) > stallCheckInterval+maxCheckDelay || late != nil && now.Sub(*late) < hedgeRetryInterval
}

// ReportStall records another node's report that a replica is stalled.
func (r *Relay) ReportStall(id cluster.ReplicaID, by cluster.NodeID, now time.Time) {
	if r.stalls.report(id, by, now) {
		r.opts.Log.Debug("replica stall reported", "replica", id, "reported_by", by)
	}
}

// MarkHealthy records that all members of a replica responded.
func (r *Relay) MarkHealthy(id cluster.ReplicaID, now time.Time) { r.stalls.markHealthy(id, now) }

// ReplicaLost hedges the attempts on a replica that lost a member. The engines would hold them for
// seconds before failing them.
func (r *Relay) ReplicaLost(id cluster.ReplicaID) {
	r.hedgeAttempts(id, hedgeReplicaLost, minIdleToHedge)
}

// Running returns the number of attempts in progress.
func (r *Relay) Running() (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempts := range r.running {
		count += len(attempts)
	}
	return count
}

// recordFailure records that a server could not be reached or did not answer.
func (r *Relay) recordFailure(server string) {
	if r.opts.Reach != nil {
		r.opts.Reach.Failed(server)
	}
}

// recordAnswer records that a server answered.
func (r *Relay) recordAnswer() {
	if r.opts.Reach != nil {
		r.opts.Reach.Answered()
	}
}

func (r *Relay) register(id cluster.ReplicaID, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[id] == nil {
		r.running[id] = make(map[*attempt]struct{})
	}
	r.running[id][a] = struct{}{}
}

func (r *Relay) unregister(id cluster.ReplicaID, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running[id], a)
	if len(r.running[id]) == 0 {
		delete(r.running, id)
	}
}
