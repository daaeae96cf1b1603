// Package grouping keeps the committed grouping of an availability zone: Table
// is every node's view of it, Controller is the one writer, who holds the zone's
// placement lease and turns a placement policy's plans into committed replicas
// and orders to the engines.
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
	// FetchGrouping returns the newest grouping that any asked peer knows. A
	// zero Revision means that none knows one newer than have.
	FetchGrouping(ctx context.Context, zone cluster.ZoneID, have int64) (cluster.Grouping, error)
}

// TableOptions sets up a Table. Zone, Store and Log are required.
type TableOptions struct {
	Zone  cluster.ZoneID
	Store store.Store
	Log   *slog.Logger
	// Peers is asked while the store is silent, and instead of the store on
	// nodes that do not watch; may be nil.
	Peers Peers
	// ShouldWatch reports whether this node watches the store itself. The store
	// counts each watch, so only a few nodes of a zone should; nil means yes.
	ShouldWatch func() bool
	// RetryInterval is the pause after a failed read, before jitter; zero means DefaultRetry.
	RetryInterval time.Duration
	// HeadCheckInterval is the time between two comparisons with the zone's head key,
	// which show a watch that skipped an event; zero means DefaultHeadCheck.
	HeadCheckInterval time.Duration
}

// Defaults of a Table.
const (
	DefaultRetryInterval     = time.Second
	DefaultHeadCheckInterval = 10 * time.Second
	readTimeout              = 5 * time.Second
)

// Table is a node's view of one zone's committed grouping. It serves from memory
// while the store is down and never goes to a lower revision.
type Table struct {
	opts TableOptions

	mu        sync.Mutex
	current   cluster.Grouping
	known     bool
	listeners []func(cluster.Grouping)
	ready     chan struct{}

	// notify serialises calls to listeners, so that they see revisions rise.
	notify sync.Mutex
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

// Current returns the newest known grouping; callers must not change it.
func (t *Table) Current() cluster.Grouping {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Ready is closed once a grouping is known, from the store or from a peer.
func (t *Table) Ready() <-chan struct{} { return t.ready }

// OnChange registers fn to be called after each change, in order of revision.
// Register before Run.
func (t *Table) OnChange(fn func(cluster.Grouping)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, fn)
}

// Offer takes a grouping that a peer knows, if it is newer; it reports whether
// it was taken.
func (t *Table) Offer(g cluster.Grouping) bool {
	if g.Zone != t.opts.Zone || g.Revision == 0 {
		return false
	}
	return t.set(g, "peer")
}

// set moves to g unless it is older. A full read may be answered by a store
// member that lags; going back to it would hand requests to broken-up replicas.
func (t *Table) set(g cluster.Grouping, source string) bool {
	t.notify.Lock()
	defer t.notify.Unlock()
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
			if err := t.follow(ctx); err != nil && ctx.Err() == nil {
				t.opts.Log.Warn("grouping watch ended", "zone", t.opts.Zone, "error", err)
			}
		}
		t.askPeers(ctx)
		pause(ctx, t.opts.RetryInterval)
	}
}

// askPeers takes over what a peer knows: the only source while the store is
// silent, and the usual one on nodes that do not watch it.
func (t *Table) askPeers(ctx context.Context) {
	if t.opts.Peers == nil || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	g, err := t.opts.Peers.FetchGrouping(ctx, t.opts.Zone, t.Current().Revision)
	if err != nil {
		t.opts.Log.Debug("grouping from peers failed", "zone", t.opts.Zone, "error", err)
		return
	}
	t.Offer(g)
}

// follow reads the whole zone and then applies watch events until an error, or
// until the head key shows that the watch has skipped something.
func (t *Table) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read, err := Read(ctx, t.opts.Store, t.opts.Zone)
	if err != nil {
		return err
	}
	t.set(read.Grouping, "store")
	events, err := t.opts.Store.Watch(ctx, store.ReplicasPrefix(t.opts.Zone), read.Grouping.Revision+1)
	if err != nil {
		return err
	}
	check := time.NewTicker(t.opts.HeadCheckInterval)
	defer check.Stop()
	for {
		select {
		case batch, open := <-events:
			if !open {
				return ctx.Err()
			}
			if err := t.apply(batch); err != nil {
				return err
			}
		case <-check.C:
			if err := t.compareHead(ctx); err != nil {
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
		t.set(next, "watch")
	}
	return nil
}

// WatchGapError says that the watch did not bring what the head key shows.
type WatchGapError struct{ Revision, HeadRevision int64 }

// Error implements error.
func (e *WatchGapError) Error() string {
	return fmt.Sprintf("grouping: watch skipped events: have revision %d, head is at %d", e.Revision, e.HeadRevision)
}

// compareHead fails when the head key names another table than this one. An
// event that is still on its way looks the same; the read that follows is
// harmless then.
func (t *Table) compareHead(ctx context.Context) error {
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

// applyEvents returns the grouping after the batch, or a zero one when the batch
// brings nothing new: watches repeat events after a reconnect.
func applyEvents(g cluster.Grouping, batch store.WatchBatch) (cluster.Grouping, error) {
	next := g
	next.Replicas = slices.Clone(g.Replicas)
	next.Revision = max(g.Revision, batch.Revision)
	fresh := false
	for _, event := range batch.Events {
		if event.KV.ModRevision <= g.Revision {
			continue
		}
		fresh = true
		next.Revision = max(next.Revision, event.KV.ModRevision)
		id := cluster.ReplicaID(strings.TrimPrefix(event.KV.Key, store.ReplicasPrefix(g.Zone)))
		at, found := slices.BinarySearchFunc(next.Replicas, id, byID)
		if found {
			next.Replicas = slices.Delete(next.Replicas, at, at+1)
		}
		if event.Type == store.EventDelete {
			continue
		}
		r, err := decodeReplica(event.KV)
		if err != nil {
			return cluster.Grouping{}, err
		}
		next.Replicas = slices.Insert(next.Replicas, at, r)
	}
	if !fresh && next.Revision == g.Revision {
		return cluster.Grouping{}, nil
	}
	return next, nil
}

func byID(r cluster.Replica, id cluster.ReplicaID) int { return cmp.Compare(r.ID, id) }

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

// DecodeError says that a stored replica cannot be read.
type DecodeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "grouping: bad replica at " + e.Key + ": " + e.Err.Error()
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

// pause waits for about d, jittered so that nodes do not ask in step.
func pause(ctx context.Context, d time.Duration) {
	clock.Pause(ctx, d/2+rand.N(d))
}
