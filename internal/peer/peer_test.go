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

func (f fakeSource) FetchRules(ctx context.Context, haveRevision int64) (*wirepb.FetchRulesResponse, error) {
	if f.hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wirepb.FetchRulesResponse{Revision: haveRevision + 1, Text: "rules"}, nil
}

func (f fakeSource) FetchGrouping(_ context.Context, zone cluster.ZoneID, _ int64) (*wirepb.FetchGroupingResponse, error) {
	return nil, fennelerr.New(fennelerr.NotFound, "no grouping of zone %s", zone)
}

func (f fakeSource) FetchVMs(_ context.Context, haveSum uint64) (*wirepb.FetchVMsResponse, error) {
	if f.hang {
		return nil, context.DeadlineExceeded // the caller's deadline expires at the peer first
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

// A call to a peer that is frozen or partitioned away must end after the timeout, so that
// the caller can try another peer.
func TestFetchTimesOut(t *testing.T) {
	client, err := peer.NewClient(peer.ClientOptions{Plaintext: true, Timeout: 50 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	_, err = client.FetchRules(t.Context(), serve(t, fakeSource{hang: true}), 0)
	require.True(t, fennelerr.Is(err, fennelerr.Timeout), err)
}

// A deadline that expires at the peer just before it expires at the caller must be reported
// as a timeout and not as a peer that is not ready.
func TestDeadlineExpiredAtPeerIsTimeout(t *testing.T) {
	client, err := peer.NewClient(peer.ClientOptions{Plaintext: true})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	_, err = client.FetchVMs(t.Context(), serve(t, fakeSource{hang: true}), 0)
	require.True(t, fennelerr.Is(err, fennelerr.Timeout), err)
}

func TestNewClientRequiresTLSOrPlaintext(t *testing.T) {
	_, err := peer.NewClient(peer.ClientOptions{})
	require.True(t, fennelerr.Is(err, fennelerr.InvalidRequest))
}
