package platform_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
)

func send(t *testing.T, method, url, body string, into any) int {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	if into != nil {
		require.NoError(t, json.NewDecoder(res.Body).Decode(into))
	}
	return res.StatusCode
}

// Tests setting the VM list and the faults over HTTP. The etcd gateway's messages
// are covered by the tests of the store driver.
func TestVMListAndFaultsOverHTTP(t *testing.T) {
	p := platform.New(platform.Options{})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	defer http.DefaultClient.CloseIdleConnections()
	vms := srv.URL + platform.PathVMs
	var list cluster.VMList
	require.Equal(t, http.StatusNoContent, send(t, http.MethodPut, vms, `[{"id":"a","zone":"z","state":"live"}]`, nil))
	require.Equal(t, http.StatusOK, send(t, http.MethodGet, vms, "", &list))
	require.Equal(t, cluster.VMID("a"), list.VMs[0].ID)

	faults := srv.URL + platform.PathFaults
	require.Equal(t, http.StatusNoContent, send(t, http.MethodPost, faults, `{"freeze_vms":true,"store":{"down":true}}`, nil))
	require.Equal(t, http.StatusNoContent, send(t, http.MethodPut, vms, `[]`, nil))
	var frozen cluster.VMList
	send(t, http.MethodGet, vms, "", &frozen)
	require.Len(t, frozen.VMs, 1, "the VM list must not change while frozen")
	get := `{"key":"aw=="}`
	require.Equal(t, http.StatusServiceUnavailable, send(t, http.MethodPost, srv.URL+etcdjson.PathRange, get, nil))

	require.Equal(t, http.StatusNoContent, send(t, http.MethodPost, faults, `{}`, nil))
	list = cluster.VMList{}
	send(t, http.MethodGet, vms, "", &list)
	require.Empty(t, list.VMs)
	require.True(t, list.AsOf.After(frozen.AsOf))
	require.Equal(t, http.StatusOK, send(t, http.MethodPost, srv.URL+etcdjson.PathPut, `{"key":"aw==","value":"dg=="}`, nil))
	var got etcdjson.RangeResponse
	send(t, http.MethodPost, srv.URL+etcdjson.PathRange, get, &got)
	require.Equal(t, "v", string(got.KVs[0].Value))

	var calls map[string]int64
	send(t, http.MethodGet, srv.URL+platform.PathCalls, "", &calls)
	require.Equal(t, map[string]int64{"get": 2, "txn": 1, "vms": 3}, calls)

	for body, status := range map[string]int{
		`{"key":`:                           http.StatusBadRequest,
		`{"key":"YQ==","range_end":"eg=="}`: http.StatusBadRequest, // not a prefix
	} {
		require.Equal(t, status, send(t, http.MethodPost, srv.URL+etcdjson.PathRange, body, nil), body)
	}
	require.Equal(t, http.StatusBadRequest, send(t, http.MethodPost, faults, `no`, nil))
}
