package rulestore

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// PeerFetcher requests the rules in force from a peer, which answers with
// Holder.FetchRules.
type PeerFetcher interface {
	FetchRules(ctx context.Context, node cluster.NodeID, have int64) (*wirepb.FetchRulesResponse, error)
}

// Options configures a Holder. Store and Peers are required.
type Options struct {
	Store store.Store
	Peers PeerFetcher
	Log   *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand is the source of jitter; nil means one with a random seed.
	Rand *rand.Rand
	// IsWatcher reports whether this node should watch the store now; nil means always.
	IsWatcher func() bool
	// Timing defaults to DefaultTiming.
	Timing Timing
	// CallTimeout bounds one call to the store or a peer; zero means 5 s.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = 5 * time.Second
	// tickInterval is how often time-dependent decisions are evaluated.
	tickInterval = 200 * time.Millisecond
)

// Holder holds the rules in force on one node. It is safe for concurrent use.
type Holder struct {
	opts Options
	log  *slog.Logger
	// current is atomic because every request reads it.
	current atomic.Pointer[rules.Set]

	// adoptMu serializes changes of current and calls of listeners.
	adoptMu   sync.Mutex
	listeners []func(*rules.Set)

	mu      sync.Mutex // guards state, runCtx, workers and recent; never held across I/O
	state   *state
	runCtx  context.Context // nil unless Run is running
	workers *sync.WaitGroup
	recent  recentChanges

	watch watchControl
}

// New returns a Holder without rules.
func New(opts Options) *Holder {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.IsWatcher == nil {
		opts.IsWatcher = func() bool { return true }
	}
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	if opts.CallTimeout == 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	return &Holder{opts: opts, log: opts.Log, state: newState(opts.Timing, opts.Rand, opts.Now())}
}

// Current returns the rules in force on this node, or nil if there are none yet.
func (h *Holder) Current() *rules.Set { return h.current.Load() }

// Revision returns the revision in force on this node, or zero if there is none yet.
func (h *Holder) Revision() int64 {
	if set := h.Current(); set != nil {
		return set.Revision
	}
	return 0
}

// OnChange registers f, which is called with each set that comes into force, in
// order, and immediately with the current one, if any. f must return quickly and
// must not call Apply, which would deadlock.
func (h *Holder) OnChange(f func(*rules.Set)) {
	h.adoptMu.Lock()
	defer h.adoptMu.Unlock()
	h.listeners = append(h.listeners, f)
	if set := h.Current(); set != nil {
		f(set)
	}
}

// ObservePeer records the revision announced in a peer's datagram.
func (h *Holder) ObservePeer(node cluster.NodeID, revision int64) {
	h.handle(peerObserved{node, revision})
}

// Run keeps this node at the newest revision until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	var work sync.WaitGroup
	h.mu.Lock()
	h.runCtx, h.workers = ctx, &work
	h.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		watcher := h.opts.IsWatcher()
		h.updateWatch(ctx, &work, watcher)
		h.handle(ticked{watcher})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	h.mu.Lock()
	h.runCtx, h.workers = nil, nil
	h.mu.Unlock()
	work.Wait()
}

// handle passes an event to the state and starts the resulting actions.
func (h *Holder) handle(ev event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runCtx == nil {
		// Actions can't be started, but the state must know the revision in force.
		if ev, ok := ev.(adopted); ok {
			h.state.adopt(ev.revision)
		}
		return
	}
	for _, a := range h.state.step(ev, h.opts.Now()) {
		h.startActionLocked(a)
	}
}

func (h *Holder) startActionLocked(a action) {
	ctx := h.runCtx
	switch a := a.(type) {
	case fetchPeer:
		h.workers.Go(func() { h.fetchFromPeer(ctx, a.node) })
	case checkStore:
		h.workers.Go(func() { h.checkRevision(ctx) })
	case readStore:
		h.workers.Go(func() { h.readRules(ctx) })
	case restartWatch:
		h.watch.restart()
	}
}

// checkRevision reads the newest revision from the store without the text, which may
// be large.
func (h *Holder) checkRevision(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	countStoreCall("check")
	res, err := h.opts.Store.Range(ctx, store.RulesKey, store.RangeOptions{Limit: 1, KeysOnly: true})
	if err != nil {
		h.log.Warn("checking the store for a newer rules revision failed", "event", "rules_check_failed", "err", err)
		h.handle(checkDone{})
		return
	}
	revision := int64(0)
	if len(res.KVs) == 1 && res.KVs[0].Key == store.RulesKey {
		revision = res.KVs[0].ModRevision
	}
	if have := h.Revision(); revision < have {
		// The store was emptied or restored from a backup. Adopting its revision
		// would undo accepted changes, so the node keeps its rules and logs an error.
		h.log.Error("the store's rules are older than those in force", "event", "rules_store_behind", "store_revision", revision, "in_force", have)
	}
	h.handle(checkDone{revision: revision, ok: true})
}

// readRules reads the complete file from the store and adopts it if it is newer.
func (h *Holder) readRules(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	file, err := h.readFile(ctx)
	if err != nil {
		h.log.Warn("reading the rules from the store failed", "event", "rules_read_failed", "err", err)
		h.handle(readDone{})
		return
	}
	if file.revision != 0 {
		err = h.adopt(candidate{revision: file.revision, text: file.record.Text, source: "store"})
	}
	h.handle(readDone{ok: err == nil})
}

// storedFile is the rules file read from the store.
type storedFile struct {
	// revision is zero if the store has no rules.
	revision int64
	record   fileRecord
	// storeRevision is the revision of the store as a whole.
	storeRevision int64
}

func (h *Holder) readFile(ctx context.Context) (storedFile, error) {
	countStoreCall("read")
	kv, storeRevision, err := h.opts.Store.Get(ctx, store.RulesKey)
	if err != nil || kv == nil {
		return storedFile{storeRevision: storeRevision}, err
	}
	record, err := decodeFile(kv)
	return storedFile{revision: kv.ModRevision, record: record, storeRevision: storeRevision}, err
}

// candidate is the verified text of an accepted revision, which comes into force
// if it is newer than the current one.
type candidate struct {
	revision int64
	text     string
	source   string
	// edits turn the text of revision base into text; nil if not known.
	base  int64
	edits []rules.Edit
}

// adopt puts the candidate into force unless the current revision is at least as new.
// It fails only if this version of the program can't parse the text.
func (h *Holder) adopt(o candidate) error {
	h.adoptMu.Lock()
	defer h.adoptMu.Unlock()
	if !h.accepts(o.revision) {
		return nil
	}
	set, err := rules.Parse(o.text)
	if err != nil {
		// Another version of the program accepted a rule that this one doesn't
		// know. The node keeps its rules, and `fennelctl rules wait` shows it as
		// behind.
		h.log.Error("cannot parse accepted rules, keeping those in force", "event", "rules_unreadable", "revision", o.revision, "err", err)
		h.handle(unreadable{o.revision})
		return err
	}
	set.Revision = o.revision
	h.publish(o, set)
	countAdopted(o.source, o.revision)
	h.log.Info("rules in force", "event", "rules_in_force", "revision", o.revision, "source", o.source, "routes", len(set.Routes), "teams", len(set.Teams), "groups", len(set.Groups))
	h.handle(adopted{o.revision})
	for _, f := range h.listeners {
		f(set)
	}
	return nil
}

// accepts reports whether a revision may come into force. The caller holds adoptMu.
func (h *Holder) accepts(revision int64) bool {
	if have := h.Revision(); have > 0 {
		return revision > have
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.accepts(revision)
}
