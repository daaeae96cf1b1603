package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

func TestMain(m *testing.M) {
	// The datagram library starts a goroutine pool when its package is initialized.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// testPlatform returns a platform with an in-memory store, whose configuration is just
// its version number.
func testPlatform(t testing.TB) Platform {
	t.Helper()
	mem := memstore.New(memstore.Options{})
	t.Cleanup(mem.Close)
	return Platform{
		Store: mem, ServersPrefix: "servers/", ConfigKey: "config", ReadyPath: "/ready",
		Backend:      func(*conns.Pool) relay.Backend { return nil },
		NewHandler:   func(HandlerOptions) http.Handler { return http.NotFoundHandler() },
		DecodeServer: func(store.KV, time.Time) (fleet.Server, error) { return fleet.Server{}, errors.New("no servers") },
		DecodeConfig: func(kv store.KV) (*rules.Set, error) {
			version, err := strconv.ParseInt(string(kv.Value), 10, 64)
			if err != nil {
				return nil, errors.Wrap(err, "version")
			}
			return rules.Assemble(rules.Set{Revision: version}), nil
		},
	}
}

func newTestNode(t *testing.T) *Node { return newTestNodeOn(t, testPlatform(t)) }

func newTestNodeOn(t *testing.T, p Platform) *Node {
	t.Helper()
	cfg, err := settings.Parse([]byte("node: n\nzone: z\nregion: r\nlisten: {callers: \"127.0.0.1:0\", ready: \"127.0.0.1:0\"}\nplatform: {driver: managed, address: \"127.0.0.1:1\"}\n"))
	require.NoError(t, err)
	n, err := New(cfg, p, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = n.callers.Close()
		_ = n.ready.Close()
	})
	return n
}

func config(version string) fleet.Change {
	return fleet.Change{Revision: 1, Written: []store.KV{{Key: "config", Value: []byte(version)}}}
}

// A read that was overtaken by a later one can return an older configuration, and a
// configuration may be unreadable. Adopting the older one would accept revoked API keys.
func TestOlderOrInvalidConfigurationIsIgnored(t *testing.T) {
	n := newTestNode(t)
	require.Equal(t, "no configuration known yet", n.notReadyReason())
	for _, c := range []struct {
		stored string
		want   int64
	}{{"5", 5}, {"3", 5}, {"unreadable", 5}, {"5", 5}, {"9", 9}} {
		n.configChanged(config(c.stored))
		require.Equal(t, c.want, n.rules.Load().Revision, c.stored)
	}
	n.configChanged(fleet.Change{Revision: 1, Removed: []string{"config"}})
	require.EqualValues(t, 9, n.rules.Load().Revision, "a deleted configuration changes nothing")
}

// A starting node can have a configuration before it has read the server list, and would
// refuse every call: until then it reports not ready.
func TestNotReadyWithoutServerList(t *testing.T) {
	n := newTestNode(t)
	n.configChanged(config("1"))
	require.Equal(t, "no list of servers known yet", n.notReadyReason())
	n.stopping.Store(true)
	require.Equal(t, "stopping", n.notReadyReason())
}

func TestPlannedStopAnswersCallsThatWouldOutlastTheProcess(t *testing.T) {
	var n *Node
	arrived := make(chan struct{})
	p := testPlatform(t)
	p.NewHandler = func(HandlerOptions) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := n.untilExit(r.Context())
			defer cancel()
			close(arrived)
			<-ctx.Done()
			_, _ = io.WriteString(w, context.Cause(ctx).Error())
		})
	}
	n = newTestNodeOn(t, p)
	n.cfg.Drain.Notice, n.cfg.Process.Grace = time.Millisecond, shutdownMargin+3*answerMargin
	served := make(chan error, 1)
	go func() { served <- n.callers.Serve() }()
	answer := make(chan string, 1)
	go func() {
		res, err := http.Get("http://" + n.CallersAddr().String())
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		answer <- string(body)
	}()
	<-arrived
	require.NoError(t, n.stop(t.Context(), func() {}, context.Canceled))
	require.Equal(t, relay.ErrStopping.Error(), <-answer)
	require.NoError(t, <-served)
}

// Draining servers of a plain service and replicas that are not healthy take no calls. A
// replica that served before continues while only a member other than its head is
// missing from the list.
func TestRoutingEntries(t *testing.T) {
	member := func(id string, rank int, state fleet.State) fleet.Server {
		return fleet.Server{ID: cluster.VMID(id), Service: "models", Membership: &fleet.Membership{Replica: fleet.ReplicaName("m", 1), Epoch: 1, Rank: rank, State: state}}
	}
	set := rules.Assemble(rules.Set{Groups: []rules.Group{{Name: "m", Model: "m", VMs: 2, Servers: "models"}}})
	routable := func(before map[cluster.ReplicaID]bool, servers ...fleet.Server) (out []cluster.ReplicaID) {
		list := fleet.List{Servers: servers}
		for _, e := range routingEntries(fleet.Replicas(list, set.Groups), list.Servers, set, before) {
			out = append(out, e.Replica.ID)
		}
		return out
	}
	previous := map[cluster.ReplicaID]bool{"m/1.1": true}
	require.Equal(t, []cluster.ReplicaID{"m/1.1"}, routable(nil, member("a", 0, fleet.Open), member("b", 1, fleet.Ready)))
	require.Empty(t, routable(nil, member("a", 0, fleet.Open)), "never healthy before")
	require.Equal(t, []cluster.ReplicaID{"m/1.1"}, routable(previous, member("a", 0, fleet.Open)))
	require.Empty(t, routable(previous, member("b", 1, fleet.Ready)), "without its head")
	require.Equal(t, []cluster.ReplicaID{"desk"}, routable(nil, fleet.Server{ID: "desk", Service: "desk"}, fleet.Server{ID: "gone", Service: "desk", Draining: true}))
}
