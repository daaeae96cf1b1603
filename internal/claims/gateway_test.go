package claims

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdgw"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// Two nodes get the same calls concurrently over real connections, while the store
// loses the answers of some writes. Each call must run once, and a third node must
// then replay its answer.
func TestOverTheJSONGateway(t *testing.T) {
	p := platform.New(platform.Options{})
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(p.Store().Close)
	start := func(name string) *node {
		client := etcdgw.New(etcdgw.Options{Endpoints: []string{srv.URL}})
		t.Cleanup(client.Close)
		return startNode(client, cluster.NodeID(name), 1)
	}
	var b backend
	const bookings = 50
	a, other := start("a"), start("b")
	require.Equal(t, ran.withKey("warm-up"), mustServe(t, a, &b, "warm-up"))
	p.SetFaults(platform.Faults{Store: memstore.Faults{LoseAnswers: 2}})
	var wg sync.WaitGroup
	for i := range bookings {
		for _, n := range []*node{a, other} {
			wg.Go(func() {
				r := mustServe(t, n, &b, fmt.Sprintf("k%d", i))
				require.NotEqual(t, fennelerr.NotRun, r.run, "%+v", r)
			})
		}
	}
	wg.Wait()
	a.Close(t.Context())
	other.Close(t.Context())
	third := start("c")
	defer third.kill()
	for i := range bookings {
		key := fmt.Sprintf("k%d", i)
		require.Equal(t, ran.withKey(key), mustServe(t, third, &b, key))
		require.Equal(t, 1, b.count(key))
	}
}

func mustServe(t *testing.T, n *node, b *backend, key string) reply {
	r, alive := serve(t.Context(), n, b, callOf(key, "body"), endsAnswered)
	require.True(t, alive)
	return r
}
