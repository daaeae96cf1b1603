// Package grouping keeps the committed grouping of an availability zone. Table is each node's
// read-only view of it. Controller is the single writer: it holds the zone's placement lease
// and turns the plans of a placement policy into committed replicas and orders to the engines.
package grouping

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Peers fetches a zone's grouping from other nodes.
type Peers interface {
	// FetchGrouping returns the newest grouping known to the peers that were asked. A zero
	// Revision means that none is newer than have.
	FetchGrouping(ctx context.Context, zone cluster.ZoneID, have int64) (cluster.Grouping, error)
}

// TableOptions configures a Table. Zone, Store and Log are required.
type TableOptions struct {
	Zone  cluster.ZoneID
	Store store.Store
	Log   *slog.Logger
	// Peers is used while the store does not answer, and instead of the store on nodes that do
	// not watch it; may be nil.
	Peers Peers
	// ShouldWatch reports whether this node watches the store itself. The store counts each
	// watch, so only a few nodes of a zone should; nil means always.
	ShouldWatch func() bool
	// RetryInterval is the pause after a failed read, before jitter; zero means
	// DefaultRetryInterval.
	RetryInterval time.Duration
	// HeadCheckInterval is the time between two comparisons with the zone's head key, which
	// reveal events missed by the watch; zero means DefaultHeadCheckInterval.
	HeadCheckInterval time.Duration
}

// Defaults of a Table.
const (
	DefaultRetryInterval     = time.Second
	DefaultHeadCheckInterval = 10 * time.Second
	readTimeout              = 5 * time.Second
)

// Table is a node's view of one zone's committed grouping. It serves from memory while the
// store is down and never goes back to a lower revision.
type Table struct {
	opts TableOptions

	mu        sync.Mutex
	current   cluster.Grouping
	known     bool
	listeners []func(cluster.Grouping)
	ready     chan struct{}

	// notifyMu serializes calls to listeners, so that they see increasing revisions.
	notifyMu sync.Mutex
}

// NewTable returns an empty Table; Run fills it.
func NewTable(opts TableOptions) *Table {
	if opts.RetryInterval <= 0 {
		opts.RetryInterval = DefaultRetryInterval
	}
	if opts.HeadCheckInterval <= 0 {
		opts.HeadCheckInterval = DefaultHeadCheckInterval
	}
	if opts.ShouldWatch == nil {
		opts.ShouldWatch = func() bool { return true }
	}
	return &Table{opts: opts, current: cluster.Grouping{Zone: opts.Zone}, ready: make(chan struct{})}
}

// Current returns the newest known grouping; callers must not modify it.
func (t *Table) Current() cluster.Grouping {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Ready returns a channel that is closed once a grouping is known, from the store or a peer.
func (t *Table) Ready() <-chan struct{} { return t.ready }

// OnChange registers fn to be called after each change, in order of revision. It must be called
// before Run.
func (t *Table) OnChange(fn func(cluster.Grouping)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, fn)
}

// Offer applies a peer's grouping unless it is older, and reports whether it was applied.
func (t *Table) Offer(g cluster.Grouping) bool {
	if g.Zone != t.opts.Zone || g.Revision == 0 {
		return false
	}
	return t.update(g, "peer")
}

// update replaces the current grouping by g unless g is older. A read may be answered by a
// store member that lags; going back would route requests to replicas that no longer exist.
func (t *Table) update(g cluster.Grouping, source string) bool {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	t.mu.Lock()
	if t.known && g.Revision < t.current.Revision {
		t.mu.Unlock()
		return false
	}
	changed := !t.known || !slices.EqualFunc(t.current.Replicas, g.Replicas, sameReplica)
	t.current = g
	if !t.known {
		t.known = true
		close(t.ready)
	}
	listeners := slices.Clone(t.listeners)
	t.mu.Unlock()
	if !changed {
		return true
	}
	t.opts.Log.Info("grouping changed", "zone", g.Zone, "revision", g.Revision, "replicas", len(g.Replicas), "source", source)
	for _, fn := range listeners {
		fn(g)
	}
	return true
}

func sameReplica(a, b cluster.Replica) bool {
	return a.ID == b.ID && a.Generation == b.Generation && a.Leaving == b.Leaving && slices.Equal(a.Members, b.Members)
}

// Run keeps the table up to date until ctx ends.
func (t *Table) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if t.opts.ShouldWatch() || t.opts.Peers == nil {
			if err := t.watchStore(ctx); err != nil && ctx.Err() == nil {
				t.opts.Log.Warn("grouping watch ended", "zone", t.opts.Zone, "error", err)
			}
		}
		t.fetchFromPeers(ctx)
		pauseWithJitter(ctx, t.opts.RetryInterval)
	}
}

// fetchFromPeers applies the newest grouping of the peers. They are the only source while the
// store does not answer, and the usual one on nodes that do not watch it.
func (t *Table) fetchFromPeers(ctx context.Context) {
	if t.opts.Peers == nil || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	g, err := t.opts.Peers.FetchGrouping(ctx, t.opts.Zone, t.Current().Revision)
	if err != nil {
		t.opts.Log.Debug("grouping not fetched from peers", "zone", t.opts.Zone, "error", err)
		return
	}
	t.Offer(g)
}

// watchStore reads the whole zone and then applies watch events until an error occurs or the
// head key shows that the watch missed events.
func (t *Table) watchStore(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read, err := Read(ctx, t.opts.Store, t.opts.Zone)
	if err != nil {
		return err
	}
	t.update(read.Grouping, "store")
	events, err := t.opts.Store.Watch(ctx, store.ReplicasPrefix(t.opts.Zone), read.Grouping.Revision+1)
	if err != nil {
		return err
	}
	headCheck := time.NewTicker(t.opts.HeadCheckInterval)
	defer headCheck.Stop()
	for {
		select {
		case batch, open := <-events:
			if !open {
				return ctx.Err()
			}
			if err := t.apply(batch); err != nil {
				return err
			}
		case <-headCheck.C:
			if err := t.checkHead(ctx); err != nil {
				return err
			}
		}
	}
}

func (t *Table) apply(batch store.WatchBatch) error {
	if batch.Err != nil {
		return batch.Err
	}
	next, err := applyEvents(t.Current(), batch)
	if err != nil {
		return err
	}
	if next.Revision > 0 {
		t.update(next, "watch")
	}
	return nil
}

// WatchGapError reports that the watch missed events that the head key reveals.
type WatchGapError struct{ Revision, HeadRevision int64 }

// Error implements error.
func (e *WatchGapError) Error() string {
	return fmt.Sprintf("grouping: watch missed events: table is at revision %d, head at %d", e.Revision, e.HeadRevision)
}

// checkHead fails if the head key describes a different table than this one. An event that is
// still in transit causes the same mismatch; the reload that follows is harmless then.
func (t *Table) checkHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	kv, _, err := t.opts.Store.Get(ctx, store.GroupingHeadKey(t.opts.Zone))
	if err != nil || kv == nil {
		return err
	}
	var head headRecord
	if err := json.Unmarshal(kv.Value, &head); err != nil {
		return &DecodeError{Key: kv.Key, Err: err}
	}
	current := t.Current()
	if kv.ModRevision > current.Revision || head.Digest != tableDigest(current.Replicas) {
		return &WatchGapError{Revision: current.Revision, HeadRevision: kv.ModRevision}
	}
	return nil
}

// applyEvents returns the grouping after the batch, or a zero one if the batch contains nothing
// new: watches repeat events after a reconnect.
func applyEvents(g cluster.Grouping, batch store.WatchBatch) (cluster.Grouping, error) {
	next := g
	next.Replicas = slices.Clone(g.Replicas)
	next.Revision = max(g.Revision, batch.Revision)
	changed := false
	for _, event := range batch.Events {
		if event.KV.ModRevision <= g.Revision {
			continue
		}
		changed = true
		next.Revision = max(next.Revision, event.KV.ModRevision)
		id := cluster.ReplicaID(strings.TrimPrefix(event.KV.Key, store.ReplicasPrefix(g.Zone)))
		i, found := slices.BinarySearchFunc(next.Replicas, id, compareID)
		if found {
			next.Replicas = slices.Delete(next.Replicas, i, i+1)
		}
		if event.Type == store.EventDelete {
			continue
		}
		r, err := decodeReplica(event.KV)
		if err != nil {
			return cluster.Grouping{}, err
		}
		next.Replicas = slices.Insert(next.Replicas, i, r)
	}
	if !changed && next.Revision == g.Revision {
		return cluster.Grouping{}, nil
	}
	return next, nil
}

func compareID(r cluster.Replica, id cluster.ReplicaID) int { return cmp.Compare(r.ID, id) }

// Committed is a consistent read of a zone's replicas with their mod revisions.
type Committed struct {
	Grouping     cluster.Grouping
	ModRevisions map[cluster.ReplicaID]int64
}

// Read reads a zone's committed replicas at the newest revision.
func Read(ctx context.Context, s store.Store, zone cluster.ZoneID) (Committed, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := s.Range(ctx, store.ReplicasPrefix(zone), store.RangeOptions{})
	if err != nil {
		return Committed{}, err
	}
	read := Committed{
		Grouping:     cluster.Grouping{Zone: zone, Revision: result.Revision, Replicas: make([]cluster.Replica, 0, len(result.KVs))},
		ModRevisions: make(map[cluster.ReplicaID]int64, len(result.KVs)),
	}
	for _, kv := range result.KVs {
		r, err := decodeReplica(kv)
		if err != nil {
			return Committed{}, err
		}
		read.Grouping.Replicas = append(read.Grouping.Replicas, r)
		read.ModRevisions[r.ID] = kv.ModRevision
	}
	return read, nil
}

// DecodeError reports a stored replica or head record that cannot be decoded.
type DecodeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "grouping: cannot decode " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

func decodeReplica(kv store.KV) (cluster.Replica, error) {
	var r cluster.Replica
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return r, &DecodeError{Key: kv.Key, Err: err}
	}
	return r, nil
}

// pauseWithJitter waits for about d, so that nodes do not send their requests at the same time.
func pauseWithJitter(ctx context.Context, d time.Duration) {
	clock.Pause(ctx, d/2+rand.N(d))
}
