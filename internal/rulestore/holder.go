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

// PeerFetcher asks a peer for the rules it has in force; see Holder.FetchRules.
type PeerFetcher interface {
	FetchRules(ctx context.Context, node cluster.NodeID, have int64) (*wirepb.FetchRulesResponse, error)
}

// Options configures a Holder. Store and Peers are required.
type Options struct {
	Store store.Store
	Peers PeerFetcher
	Log   *slog.Logger
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// Rand is the source of jitter; nil is seeded at random.
	Rand *rand.Rand
	// IsWatcher says whether this node is to watch the store now; nil is always.
	IsWatcher func() bool
	// Timing is DefaultTiming when zero.
	Timing Timing
	// CallTimeout bounds one call to the store or a peer; zero is 5 s.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = 5 * time.Second
	// tickEvery is how often waiting decisions are looked at.
	tickEvery = 200 * time.Millisecond
)

// Holder holds the rules in force on one node. It is safe for concurrent use.
type Holder struct {
	opts Options
	log  *slog.Logger
	// current is read by every request, so without a lock.
	current atomic.Pointer[rules.Set]

	// adopting serializes changes of current and the listeners' calls.
	adopting  sync.Mutex
	listeners []func(*rules.Set)

	mu     sync.Mutex // guards state to recent; never held across I/O
	state  *state
	runCtx context.Context // nil unless Run is running
	work   *sync.WaitGroup
	recent recentSteps

	watch watchControl
}

// New returns a Holder that has no rules yet.
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

// Current returns the rules in force here, or nil before the first are known.
func (h *Holder) Current() *rules.Set { return h.current.Load() }

// Revision returns the revision in force here, or zero.
func (h *Holder) Revision() int64 {
	if set := h.Current(); set != nil {
		return set.Revision
	}
	return 0
}

// OnChange calls f with each set that comes into force, in order, and at once with
// the one in force. f must be quick and must not call Apply.
func (h *Holder) OnChange(f func(*rules.Set)) {
	h.adopting.Lock()
	defer h.adopting.Unlock()
	h.listeners = append(h.listeners, f)
	if set := h.Current(); set != nil {
		f(set)
	}
}

// ObservePeer notes the revision that a peer's datagram shows.
func (h *Holder) ObservePeer(node cluster.NodeID, revision int64) {
	h.post(peerShown{node, revision})
}

// Run keeps the node at the newest rules until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	var work sync.WaitGroup
	h.mu.Lock()
	h.runCtx, h.work = ctx, &work
	h.mu.Unlock()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		duty := h.opts.IsWatcher()
		h.keepWatch(ctx, &work, duty)
		h.post(ticked{duty})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	h.mu.Lock()
	h.runCtx, h.work = nil, nil
	h.mu.Unlock()
	work.Wait()
}

// post decides on an event and starts the work that follows from it.
func (h *Holder) post(ev event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runCtx == nil {
		// Nothing would carry actions out. What is in force is noted all the same.
		if ev, ok := ev.(adopted); ok {
			h.state.adopt(ev.revision)
		}
		return
	}
	for _, a := range h.state.step(ev, h.opts.Now()) {
		h.startLocked(a)
	}
}

func (h *Holder) startLocked(a action) {
	ctx := h.runCtx
	switch a := a.(type) {
	case fetchPeer:
		h.work.Go(func() { h.fetch(ctx, a.node) })
	case checkStore:
		h.work.Go(func() { h.check(ctx) })
	case readStore:
		h.work.Go(func() { h.read(ctx) })
	case restartWatch:
		h.watch.restart()
	}
}

// check asks for the newest revision without the text, which may be large.
func (h *Holder) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	countStoreCall("check")
	res, err := h.opts.Store.Range(ctx, store.RulesKey, store.RangeOptions{Limit: 1, KeysOnly: true})
	if err != nil {
		h.log.Warn("rules check failed", "event", "rules_check_failed", "err", err)
		h.post(storeChecked{})
		return
	}
	revision := int64(0)
	if len(res.KVs) == 1 && res.KVs[0].Key == store.RulesKey {
		revision = res.KVs[0].ModRevision
	}
	if have := h.Revision(); revision < have {
		// The store was emptied or restored from a backup. Going back to it would
		// undo accepted changes, so the node stays where it is and says so.
		h.log.Error("the store's rules are older than those in force", "event", "rules_store_behind", "store_revision", revision, "in_force", have)
	}
	h.post(storeChecked{revision: revision, ok: true})
}

// read takes the whole file from the store.
func (h *Holder) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	file, err := h.readFile(ctx)
	if err != nil {
		h.log.Warn("rules read failed", "event", "rules_read_failed", "err", err)
		h.post(storeRead{})
		return
	}
	if file.revision != 0 {
		err = h.offer(offer{revision: file.revision, text: file.record.Text, source: "store"})
	}
	h.post(storeRead{ok: err == nil})
}

// storedFile is the file as read from the store.
type storedFile struct {
	// revision is zero when the store has no rules.
	revision int64
	record   fileRecord
	// storeRevision is the store's own, of all keys.
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

// offer is an intact text of an accepted revision.
type offer struct {
	revision int64
	text     string
	source   string
	// base and edits lead to text from an older revision, when known.
	base  int64
	edits []rules.Edit
}

// offer puts the text into force unless something as new is in force already. It
// fails only if the text can't be parsed by this version of the program.
func (h *Holder) offer(o offer) error {
	h.adopting.Lock()
	defer h.adopting.Unlock()
	if !h.accepts(o.revision) {
		return nil
	}
	set, err := rules.Parse(o.text)
	if err != nil {
		// Another version of the program accepted a rule that this one doesn't
		// know. Operators see the node named by `fennelctl rules wait`; it goes on
		// with the rules it has.
		h.log.Error("accepted rules can't be read here", "event", "rules_unreadable", "revision", o.revision, "err", err)
		h.post(unreadable{o.revision})
		return err
	}
	set.Revision = o.revision
	h.publish(o, set)
	countAdopted(o.source, o.revision)
	h.log.Info("rules in force", "event", "rules_in_force", "revision", o.revision, "source", o.source, "routes", len(set.Routes), "teams", len(set.Teams), "groups", len(set.Groups))
	h.post(adopted{o.revision})
	for _, f := range h.listeners {
		f(set)
	}
	return nil
}

// accepts is the last word on a text; adopting is held.
func (h *Holder) accepts(revision int64) bool {
	if have := h.Revision(); have > 0 {
		return revision > have
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.accepts(revision)
}
