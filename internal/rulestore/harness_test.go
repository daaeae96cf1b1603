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

// text returns a rules file with one service for each name.
func text(names ...string) string {
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "service name=%s # asked for by: Ana\n", n)
	}
	return b.String()
}

// fleet connects the holders of one process: a fetch from a peer is a function call.
type fleet struct {
	t     assert.TestingT
	store store.Store

	mu       sync.Mutex
	nodes    map[cluster.NodeID]*node
	isolated map[cluster.NodeID]bool // answers no fetch and exchanges no gossip
	seed     uint64
}

// node is one holder and the sets that came into force on it.
type node struct {
	*Holder
	id   cluster.NodeID
	stop func()

	mu      sync.Mutex
	adopted []*rules.Set
}

func newFleet(t assert.TestingT, s store.Store) *fleet {
	return &fleet{t: t, store: s, nodes: make(map[cluster.NodeID]*node), isolated: make(map[cluster.NodeID]bool)}
}

// FetchRules implements PeerFetcher.
func (f *fleet) FetchRules(_ context.Context, id cluster.NodeID, have int64) (*wirepb.FetchRulesResponse, error) {
	f.mu.Lock()
	n, isolated := f.nodes[id], f.isolated[id]
	f.mu.Unlock()
	if n == nil || isolated {
		return nil, fmt.Errorf("%s can't be reached", id)
	}
	return n.FetchRules(have), nil
}

// start adds a node without rules, or replaces the one of this name by it. It
// asserts that the node's revisions only increase.
func (f *fleet) start(id cluster.NodeID, watch bool, timing Timing) *node {
	f.seed++
	n := &node{id: id}
	n.Holder = New(Options{
		Store:     f.store,
		Peers:     f,
		Rand:      rand.New(rand.NewPCG(f.seed, 1)),
		IsWatcher: func() bool { return watch },
		Timing:    timing,
	})
	n.OnChange(func(set *rules.Set) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.adopted) > 0 {
			assert.Greater(f.t, set.Revision, n.adopted[len(n.adopted)-1].Revision, "%s adopted a lower revision", id)
		}
		n.adopted = append(n.adopted, set)
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

// history returns the sets that came into force, in order.
func (n *node) history() []*rules.Set {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.adopted)
}

// failureCollector collects assertion failures inside a synctest bubble, where the
// rapid.T can't be used.
type failureCollector struct {
	mu   sync.Mutex
	text []string
}

// Errorf implements assert.TestingT.
func (f *failureCollector) Errorf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text = append(f.text, fmt.Sprintf(format, args...))
}

// setIsolated sets whether a node is cut off from fetches and gossip.
func (f *fleet) setIsolated(id cluster.NodeID, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[id] = isolated
}

// gossip announces every node's revision to every other node.
func (f *fleet) gossip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a != b && !f.isolated[a.id] && !f.isolated[b.id] {
				b.ObservePeer(a.id, a.Revision())
			}
		}
	}
}

// waitForRevision gossips each second until all nodes have the revision, for at most
// a minute, and returns the time waited.
func (f *fleet) waitForRevision(revision int64) time.Duration {
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

// mustApply applies a file under a unique write id and returns its revision.
func mustApply(t require.TestingT, h *Holder, base int64, content string) int64 {
	res, err := h.Apply(context.Background(), ApplyRequest{BaseRevision: base, Text: content, Author: "Ana", WriteID: "id-" + checksum(content)[:8] + fmt.Sprint(base)})
	require.NoError(t, err)
	return res.Revision
}

// slowReadStore is a store that holds back the results of reads until release is closed.
type slowReadStore struct {
	*memstore.Store
	release chan struct{}
}

func (l *slowReadStore) Get(ctx context.Context, key string) (*store.KV, int64, error) {
	kv, revision, err := l.Store.Get(ctx, key)
	<-l.release
	return kv, revision, err
}

// faultyWatchStore is a store that passes the batches of its watches through transform.
type faultyWatchStore struct {
	*memstore.Store
	transform func(in <-chan store.WatchBatch, out chan<- store.WatchBatch)
}

func (b *faultyWatchStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	in, err := b.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		b.transform(in, out)
	}()
	return out, nil
}
