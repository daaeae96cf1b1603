package rulestore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// text is a rules file with one service for each name.
func text(names ...string) string {
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "service name=%s # asked for by: Ana\n", n)
	}
	return b.String()
}

// fleet connects holders in one process: fetches are plain calls.
type fleet struct {
	t     assert.TestingT
	store store.Store

	mu    sync.Mutex
	nodes map[cluster.NodeID]*node
	cut   map[cluster.NodeID]bool // answers no fetch
	seed  uint64
}

// node is one holder and the revisions that came into force on it.
type node struct {
	*Holder
	id   cluster.NodeID
	stop func()

	mu   sync.Mutex
	seen []*rules.Set
}

func newFleet(t assert.TestingT, s store.Store) *fleet {
	return &fleet{t: t, store: s, nodes: make(map[cluster.NodeID]*node), cut: make(map[cluster.NodeID]bool)}
}

// FetchRules implements PeerFetcher.
func (f *fleet) FetchRules(_ context.Context, id cluster.NodeID, have int64) (*wirepb.FetchRulesResponse, error) {
	f.mu.Lock()
	n, cut := f.nodes[id], f.cut[id]
	f.mu.Unlock()
	if n == nil || cut {
		return nil, fmt.Errorf("%s can't be reached", id)
	}
	return n.FetchRules(have), nil
}

// start adds a node that has nothing, or replaces the one with this name by a new
// one. Every revision in force on it must be higher than the one before.
func (f *fleet) start(id cluster.NodeID, watch bool, timing Timing) *node {
	f.seed++
	n := &node{id: id}
	n.Holder = New(Options{
		Store:  f.store,
		Peers:  f,
		Rand:   rand.New(rand.NewPCG(f.seed, 1)),
		IsWatcher:  func() bool { return watch },
		Timing: timing,
	})
	n.OnChange(func(set *rules.Set) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.seen) > 0 {
			assert.Greater(f.t, set.Revision, n.seen[len(n.seen)-1].Revision, "%s went back", id)
		}
		n.seen = append(n.seen, set)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	n.stop = func() { cancel(); <-done }
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[id] = n
	return n
}

// history returns what came into force, in order.
func (n *node) history() []*rules.Set {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.seen)
}

// failures collects what assertions find inside a bubble, where the test of
// package rapid can't be used.
type failures struct {
	mu   sync.Mutex
	text []string
}

// Errorf implements assert.TestingT.
func (f *failures) Errorf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text = append(f.text, fmt.Sprintf(format, args...))
}

// setCut makes a node answer no fetch and show nothing, or ends that.
func (f *fleet) setCut(id cluster.NodeID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = cut
}

// gossip shows every node's revision to every other node.
func (f *fleet) gossip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a != b && !f.cut[a.id] && !f.cut[b.id] {
				b.ObservePeer(a.id, a.Revision())
			}
		}
	}
}

// untilAllAt gossips each second until all nodes have the revision, or a minute.
func (f *fleet) untilAllAt(revision int64) time.Duration {
	const step = 100 * time.Millisecond
	waited := time.Duration(0)
	for ; waited < time.Minute; waited += step {
		behind := false
		for _, n := range f.nodes {
			behind = behind || n.Revision() < revision
		}
		if !behind {
			break
		}
		if waited%time.Second == 0 {
			f.gossip()
		}
		time.Sleep(step)
	}
	return waited
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.stop()
	}
}

// mustApply accepts a file with a write id of its own and returns its revision.
func mustApply(t require.TestingT, h *Holder, base int64, content string) int64 {
	res, err := h.Apply(context.Background(), ApplyRequest{BaseRevision: base, Text: content, Author: "Ana", WriteID: "id-" + checksum(content)[:8] + fmt.Sprint(base)})
	require.NoError(t, err)
	return res.Revision
}

// lateRead is a store whose answers to reads are held back.
type lateRead struct {
	*memstore.Store
	release chan struct{}
}

func (l *lateRead) Get(ctx context.Context, key string) (*store.KV, int64, error) {
	kv, revision, err := l.Store.Get(ctx, key)
	<-l.release
	return kv, revision, err
}

// badWatch is a store whose watches are altered on their way.
type badWatch struct {
	*memstore.Store
	alter func(in <-chan store.WatchBatch, out chan<- store.WatchBatch)
}

func (b *badWatch) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	in, err := b.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		b.alter(in, out)
	}()
	return out, nil
}
