package standinservice

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

func TestExecutionsAreCountedUnderFaults(t *testing.T) {
	s := New(nil)
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	call := func(key string) (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, h.URL+"/deposits/1", strings.NewReader("10 EUR"))
		require.NoError(t, err)
		req.Header.Set(HeaderIdempotencyKey, key)
		req.Header.Set(engine.HeaderRequestID, "q-"+key)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			t.Cleanup(func() { resp.Body.Close() })
		}
		return resp, err
	}
	cases := []struct {
		name     string
		faults   Faults
		answered bool
		runs     int
	}{
		{"no-fault", Faults{}, true, 1},
		{"slow", Faults{SlowMs: 1}, true, 1},
		{"refused", Faults{Refuse: true}, true, 0},
		{"lost", Faults{LoseAnswer: true}, false, 1},
		{"crash-before", Faults{CrashBefore: true}, false, 0},
		{"crash-after", Faults{CrashAfter: true}, false, 1},
		{"swapped", Faults{SwapEcho: true}, true, 1},
	}
	for _, c := range cases {
		raw, _ := json.Marshal(c.faults)
		set, err := http.Post(h.URL+FaultsPath, "application/json", bytes.NewReader(raw))
		require.NoError(t, err, c.name)
		set.Body.Close()
		resp, err := call(c.name)
		require.Equal(t, c.answered, err == nil, c.name)
		require.Equal(t, c.runs, s.Runs().ByKey[c.name], c.name)
		if c.answered {
			require.Equal(t, c.faults.SwapEcho, resp.Header.Get(engine.HeaderRequestID) != "q-"+c.name, c.name)
			require.Equal(t, c.faults.Refuse, resp.Header.Get(engine.HeaderStarted) == engine.StartedNo, c.name)
		}
	}
	s.SetFaults(Faults{Calls: 1, Refuse: true})
	_, err := call("first")
	require.NoError(t, err)
	_, err = call("second")
	require.NoError(t, err)
	require.Equal(t, []int{0, 1}, []int{s.Runs().ByKey["first"], s.Runs().ByKey["second"]})
}
