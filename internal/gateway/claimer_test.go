package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/claims"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdgw"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// newStoreClaimer returns a node's claimer that uses the platform's store over HTTP.
func newStoreClaimer(t *testing.T, url string, node cluster.NodeID) StoreClaimer {
	t.Helper()
	client := etcdgw.New(etcdgw.Options{Endpoints: []string{url}})
	t.Cleanup(client.Close)
	m := claims.New(claims.Options{Store: client, Node: node, Incarnation: 1, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(func() { m.Close(t.Context()) })
	return StoreClaimer{m}
}

// The store loses a response while a keyed call is claimed. The call must run once, and sending
// it again through another node must return the same answer. A call that is refused as not run
// because the store is down must not have run.
func TestCallWithClaimsInStoreRunsOnce(t *testing.T) {
	p := platform.New(platform.Options{})
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(p.Store().Close)
	claimer := newStoreClaimer(t, srv.URL, "a")
	b, svc := newServiceFixture(t, func(b *fixture) { b.opts.Claimer = claimer })
	deposit := func(key string) reply {
		return b.send(http.MethodPost, "/deposits/7", `{"amount":40}`, HeaderIdempotencyKey, key)
	}
	require.Equal(t, http.StatusCreated, deposit("warm-up").status)
	p.SetFaults(platform.Faults{Store: memstore.Faults{LoseAnswers: 1}})
	first := deposit("k1")
	require.Equal(t, http.StatusCreated, first.status)

	p.SetFaults(platform.Faults{Store: memstore.Faults{Down: true}})
	refused := deposit("k2")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, string(fennelerr.NotRun), refused.header.Get(HeaderRun))
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Zero(t, svc.Runs().ByKey["k2"])

	p.SetFaults(platform.Faults{})
	claimer.Manager.Close(t.Context()) // writes the outcomes to the store
	b.gateway.opts.Claimer = newStoreClaimer(t, srv.URL, "b")
	again := deposit("k1")
	require.Equal(t, first.body, again.body)
	require.Equal(t, "true", again.header.Get(HeaderReplayed))
	require.Equal(t, http.StatusCreated, deposit("k2").status)
	require.Equal(t, 1, svc.Runs().ByKey["k1"])
	require.Equal(t, 1, svc.Runs().ByKey["k2"])
}
