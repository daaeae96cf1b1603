package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/peer"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

type fakeSource struct{ hang bool }

func (f fakeSource) FetchRules(ctx context.Context, have int64) (*wirepb.FetchRulesResponse, error) {
	if f.hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wirepb.FetchRulesResponse{Revision: have + 1, Text: "rules"}, nil
}

func (f fakeSource) FetchGrouping(_ context.Context, zone cluster.ZoneID, _ int64) (*wirepb.FetchGroupingResponse, error) {
	return nil, fennelerr.New(fennelerr.NotFound, "no grouping of %s", zone)
}

func (f fakeSource) FetchVMs(_ context.Context, haveSum uint64) (*wirepb.FetchVMsResponse, error) {
	if f.hang {
		return nil, context.DeadlineExceeded // as when the caller's time ends here first
	}
	return &wirepb.FetchVMsResponse{AsOfUnixNs: 1, Sum: haveSum}, nil
}

func serve(t *testing.T, source fakeSource) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(source, source, source))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestFetch(t *testing.T) {
	client, err := peer.NewClient(peer.ClientOptions{Plaintext: true})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	addr := serve(t, fakeSource{})
	resp, err := client.FetchRules(t.Context(), addr, 41)
	require.NoError(t, err)
	require.EqualValues(t, 42, resp.Revision)
	vms, err := client.FetchVMs(t.Context(), addr, 7)
	require.NoError(t, err)
	require.EqualValues(t, 7, vms.Sum)
	_, err = client.FetchGrouping(t.Context(), addr, "serra-a", 0)
	require.True(t, fennelerr.Is(err, fennelerr.NotFound), err)
	_, err = client.FetchGrouping(t.Context(), addr, "", 0)
	require.True(t, fennelerr.Is(err, fennelerr.InvalidRequest), err)
}

// A peer is frozen or its zone is cut off in the middle of a call. The caller
// must get its thread back soon, so that it can ask another peer.
func TestFetchGivesUp(t *testing.T) {
	client, err := peer.NewClient(peer.ClientOptions{Plaintext: true, Timeout: 50 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	_, err = client.FetchRules(t.Context(), serve(t, fakeSource{hang: true}), 0)
	require.True(t, fennelerr.Is(err, fennelerr.Timeout), err)
}

// A call's time ends at the peer a moment before it ends at the caller. The caller must
// take that for a timeout all the same, and not for a peer that is not ready.
func TestDeadlineThatEndsAtThePeerIsATimeout(t *testing.T) {
	client, err := peer.NewClient(peer.ClientOptions{Plaintext: true})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	_, err = client.FetchVMs(t.Context(), serve(t, fakeSource{hang: true}), 0)
	require.True(t, fennelerr.Is(err, fennelerr.Timeout), err)
}

func TestClientNeedsTLSUnlessPlainIsAllowed(t *testing.T) {
	_, err := peer.NewClient(peer.ClientOptions{})
	require.True(t, fennelerr.Is(err, fennelerr.InvalidRequest))
}
