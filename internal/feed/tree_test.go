package feed_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

// treeNode is a node that mirrors the store and serves its copy as a feed.
type treeNode struct {
	mirror *fleet.Mirror
	server *httptest.Server
	addr   string
	zone   string

	mu   sync.Mutex
	seen map[string]bool // values of the watched key
	// feeds holds the feeds that the node has followed, in order.
	feeds []string
}

// Enabled implements slog.Handler.
func (n *treeNode) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs implements slog.Handler.
func (n *treeNode) WithAttrs([]slog.Attr) slog.Handler { return n }

// WithGroup implements slog.Handler.
func (n *treeNode) WithGroup(string) slog.Handler { return n }

// Handle implements slog.Handler. It records which feed the node follows.
func (n *treeNode) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "feed" {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.feeds = append(n.feeds, a.Value.String())
		}
		return true
	})
	return nil
}

// followed returns the feeds that the node has followed.
func (n *treeNode) followed() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.feeds)
}

func (n *treeNode) has(value string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen[value]
}

// newTree starts nodes in the zones by turns, which follow the first one, which watches the store.
func newTree(t *testing.T, s store.Store, nodes int, zones ...string) []*treeNode {
	t.Helper()
	var tree []*treeNode
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range nodes {
		n := &treeNode{seen: make(map[string]bool)}
		if len(zones) > 0 {
			n.zone = zones[i%len(zones)]
		}
		var source fleet.Feed
		n.server = httptest.NewUnstartedServer(nil)
		n.addr = n.server.Listener.Addr().String()
		if i > 0 {
			source = feed.NewFollower(feed.Options{Self: n.addr, Zone: n.zone, Roots: []string{tree[0].addr}, Prefixes: []string{"servers/"}, Timing: timing, Log: slog.New(n)})
		}
		n.mirror = fleet.NewMirror(s, source, slog.New(slog.DiscardHandler), fleet.View{Prefix: "servers/", OnChange: func(c fleet.Change) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, kv := range c.Written {
				n.seen[string(kv.Value)] = true
			}
		}})
		_, n.server.Config.Handler = wirepbconnect.NewFeedServiceHandler(&feed.Server{Source: n.mirror, Timing: timing}, feed.HandlerOptions()...)
		n.server.Start()
		running.Go(func() { n.mirror.Run(ctx) })
		tree = append(tree, n)
	}
	t.Cleanup(func() {
		cancel()
		for _, n := range tree {
			n.server.CloseClientConnections()
		}
		running.Wait()
		for _, n := range tree {
			n.server.Close()
		}
	})
	return tree
}

func put(t *testing.T, s store.Store, value string) {
	t.Helper()
	_, err := s.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put("servers/a", []byte(value), 0)}})
	require.NoError(t, err)
}

func requireAllSee(t *testing.T, tree []*treeNode, value string) {
	t.Helper()
	for i, n := range tree {
		require.Eventually(t, func() bool { return n.has(value) }, 20*time.Second, 5*time.Millisecond, "node %d never saw %s", i, value)
	}
}

// Guards against a feed whose load grows with the number of nodes: each accepts a few followers
// and redirects the others to these.
func TestFollowersFormATree(t *testing.T) {
	const nodes, maxFollowers = 40, 8
	s := memstore.New(memstore.Options{})
	put(t, s, "first")
	tree := newTree(t, s, nodes)
	requireAllSee(t, tree, "first")
	put(t, s, "second")
	requireAllSee(t, tree, "second")
	for i, n := range tree {
		require.LessOrEqual(t, n.mirror.Followers(), maxFollowers, "node %d", i)
	}
	require.Equal(t, maxFollowers, tree[0].mirror.Followers())
}

// Guards against nodes that lose the list because a node between them and the store dies: those
// below it follow another one.
func TestNodesBelowADeadNodeFollowAnother(t *testing.T) {
	s := memstore.New(memstore.Options{})
	put(t, s, "first")
	tree := newTree(t, s, 30)
	requireAllSee(t, tree, "first")
	var alive []*treeNode
	for i, n := range tree {
		if i > 0 && n.mirror.Followers() > 0 && len(alive) == i {
			n.server.Listener.Close()
			n.server.CloseClientConnections()
			continue
		}
		alive = append(alive, n)
	}
	require.Less(t, len(alive), len(tree))
	for i := range 5 {
		value := fmt.Sprintf("later-%d", i)
		put(t, s, value)
		requireAllSee(t, alive, value)
	}
}

// Guards against nodes that lose their feeds because another availability zone is cut off.
func TestZoneThatIsLostTakesNoFeedFromOthers(t *testing.T) {
	s := memstore.New(memstore.Options{})
	put(t, s, "first")
	tree := newTree(t, s, 60, "a", "b", "c", "lost")
	requireAllSee(t, tree, "first")
	followed := make(map[*treeNode][]string)
	var others []*treeNode
	for _, n := range tree {
		if n.zone == "lost" {
			n.server.Listener.Close()
			n.server.CloseClientConnections()
			continue
		}
		others = append(others, n)
		followed[n] = n.followed()
	}
	for i := range 5 {
		value := fmt.Sprintf("later-%d", i)
		put(t, s, value)
		requireAllSee(t, others, value)
	}
	for _, n := range others {
		require.Equal(t, followed[n], n.followed(), "a node of zone %s", n.zone)
	}
}

// Guards against copies of a copy that stay in use after the store was lost: the age is passed
// on, so that all nodes give up their feeds at about the same time.
func TestAgeOfTheCopyIsPassedOn(t *testing.T) {
	source := &fakeSource{heardAt: time.Now().Add(-700 * time.Millisecond), changes: make(chan *feed.Batch)}
	_, handler := wirepbconnect.NewFeedServiceHandler(&feed.Server{Source: source, Timing: timing}, feed.HandlerOptions()...)
	server := httptest.NewServer(handler)
	defer server.Close()
	f := feed.NewFollower(feed.Options{Roots: []string{strings.TrimPrefix(server.URL, "http://")}, Prefixes: []string{"servers/"}, Timing: timing, Log: slog.New(slog.DiscardHandler)})
	defer f.Close()
	var ages []time.Duration
	require.True(t, f.Follow(t.Context(), from(0), func(_ *feed.Batch, age time.Duration, _ bool) { ages = append(ages, age) }))
	require.GreaterOrEqual(t, ages[0], 700*time.Millisecond)
	require.Less(t, ages[len(ages)-1], time.Second)
}
