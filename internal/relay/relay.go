package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// Router chooses replicas and counts what runs on them.
type Router interface {
	Choose(req routing.Request) (routing.Choice, error)
	End(choice routing.Choice, res routing.Result)
	ReportLoad(id cluster.ReplicaID, load engine.Load, receivedAt time.Time)
}

// Options are the parts of a Relay; all are required but Log.
type Options struct {
	Router  Router
	Backend Backend
	Budget  *Budget
	// Peer finds the process that serves a replica; false when it is not listed.
	Peer func(choice routing.Choice) (conns.Peer, bool)
	// OnStall is told of replicas that this node's requests show to stand still, and
	// whether others work; may be nil.
	OnStall func(ids []cluster.ReplicaID, othersWork bool)
	Log     *slog.Logger
}

// Limits of a Relay.
const (
	// maxWhole bounds an answer that is not streamed, in bytes: it is held in
	// memory until it is known to be complete.
	maxWhole = 8 << 20
	// unsafeIdle is how long a connection may have been idle that carries a call
	// which can't be repeated: one that died meanwhile leaves the call's fate
	// unknown. Servers keep idle connections for seconds.
	unsafeIdle = 1500 * time.Millisecond
	// safeIdle is the same for calls that can be repeated.
	safeIdle = 8 * time.Second
	// gapFactor and gapFloor: a stream that was silent for so many of its longest
	// on-time pauses, or so long, goes on elsewhere, though its replica serves
	// others: its connection may have gone silent. Callers leave after eight pauses
	// or two seconds.
	gapFactor = 5
	gapFloor  = 1400 * time.Millisecond
	// firstShare is the part of its time that an idempotent call waits for its first
	// piece from a replica that serves others: a long queue looks the same as a
	// silent connection, and going elsewhere gives the place in it up.
	firstShare = 0.6
)

// Relay serves calls. All methods are safe for concurrent use.
type Relay struct {
	opts    Options
	stalls  *stallDetector
	returns *returns
	// running has the attempts by replica, to be told when one is lost.
	mu      sync.Mutex
	running map[cluster.ReplicaID]map[*attempt]struct{}
}

// New returns a Relay.
func New(opts Options) *Relay {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	return &Relay{opts: opts, stalls: newStallDetector(), returns: newReturns(), running: make(map[cluster.ReplicaID]map[*attempt]struct{})}
}

// errReplicaLost ends attempts on a replica that lost a member.
var errReplicaLost = errors.New("the replica lost a member")

// errStalled ends attempts on a replica that brings nothing to anybody.
var errStalled = errors.New("the replica stands still")

// errSilent ends attempts on a connection that brought nothing for too long.
var errSilent = errors.New("nothing came for too long")

// Run watches the replicas for ones that stand still, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	clock.Every(ctx, stallCheck, func(now time.Time) {
		found, othersWork := r.stalls.review(now)
		for _, id := range found {
			r.opts.Log.Warn("replica stands still", "replica", id, "moved", r.move(id, errStalled), "others_work", othersWork)
		}
		if len(found) > 0 && r.opts.OnStall != nil {
			r.opts.OnStall(found, othersWork)
		}
	})
}

// ReportStall takes another node's word that a replica stands still.
func (r *Relay) ReportStall(id cluster.ReplicaID, by cluster.NodeID, now time.Time) {
	if r.stalls.report(id, by, now) {
		r.opts.Log.Debug("replica stands still", "replica", id, "reported_by", by)
	}
}

// MarkHealthy takes the word that all members of a replica answer.
func (r *Relay) MarkHealthy(id cluster.ReplicaID, now time.Time) { r.stalls.vouch(id, now) }

// ReplicaLost ends the attempts on a replica that lost a member, so that they go
// on elsewhere at once: the engines hold them for seconds before they fail.
func (r *Relay) ReplicaLost(id cluster.ReplicaID) { r.move(id, errReplicaLost) }

// move ends the attempts on the replica that can go on elsewhere and are silent. On
// mere suspicion the last attempt that a call is allowed goes on: ended, its caller
// would have nothing, and the replica may only be slow.
func (r *Relay) move(id cluster.ReplicaID, cause error) (moved int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	lost := errors.Is(cause, errReplicaLost)
	for a := range r.running[id] {
		if (a.notLast || a.movable && lost) && a.silentFor(now) > lostSilence {
			a.cancel(cause)
			moved++
		}
	}
	return moved
}

// lostSilence is how long an attempt on a lost replica must have been silent to be
// moved. A member that left the list may still work until it has drained; its
// streams bring a piece every pass and end well where they are.
const lostSilence = 200 * time.Millisecond

// Running is the number of attempts under way.
func (r *Relay) Running() (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempts := range r.running {
		count += len(attempts)
	}
	return count
}

func (r *Relay) enter(id cluster.ReplicaID, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[id] == nil {
		r.running[id] = make(map[*attempt]struct{})
	}
	r.running[id][a] = struct{}{}
}

func (r *Relay) leave(id cluster.ReplicaID, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running[id], a)
	if len(r.running[id]) == 0 {
		delete(r.running, id)
	}
}
