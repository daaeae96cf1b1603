package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) (client *Client, addr string) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client = NewClient(time.Second)
	t.Cleanup(client.Close)
	return client, strings.TrimPrefix(server.URL, "http://")
}

func TestClientCalls(t *testing.T) {
	client, addr := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET " + StatePath:
			_ = json.NewEncoder(w).Encode(State{VM: "a", Loaded: true})
		case "POST " + OrdersPath:
			var order Order
			if json.NewDecoder(r.Body).Decode(&order) != nil || order.Fence < 7 {
				w.WriteHeader(http.StatusConflict)
				_ = json.NewEncoder(w).Encode(OrderResult{Reason: "stale fencing token"})
				return
			}
			_ = json.NewEncoder(w).Encode(OrderResult{Accepted: true, State: State{VM: order.VM}})
		case "POST " + CancelPath:
			w.WriteHeader(http.StatusNoContent)
		case "GET " + CacheEventsPath:
			_ = json.NewEncoder(w).Encode(CacheEvents{Boot: r.URL.Query().Get("after")})
		}
	})
	state, err := client.State(t.Context(), addr)
	require.NoError(t, err)
	require.Equal(t, State{VM: "a", Loaded: true}, state)
	result, err := client.Order(t.Context(), addr, Order{VM: "a", Fence: 7})
	require.NoError(t, err)
	require.True(t, result.Accepted)
	result, err = client.Order(t.Context(), addr, Order{VM: "a", Fence: 6})
	require.NoError(t, err, "a refusal is a result")
	require.Equal(t, OrderResult{Reason: "stale fencing token"}, result)
	require.NoError(t, client.Cancel(t.Context(), addr, "x"))
	events, err := client.CacheEvents(t.Context(), addr, 42)
	require.NoError(t, err)
	require.Equal(t, "42", events.Boot)
}

// Engines stop, hang, send invalid responses or are replaced by another server. The
// sender of an order must know whether the engine may have executed it.
func TestClientErrorKinds(t *testing.T) {
	release := make(chan struct{})
	handlers := map[CallErrorKind]http.HandlerFunc{
		CallNoAnswer:  func(http.ResponseWriter, *http.Request) { <-release },
		CallBadStatus: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		CallBadAnswer: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
	}
	for kind, handler := range handlers {
		t.Run(string(kind), func(t *testing.T) {
			client, addr := newTestClient(t, handler)
			client.timeout = 50 * time.Millisecond
			if kind == CallNoAnswer {
				defer close(release)
			}
			requireKind(t, client, addr, kind)
		})
	}
	t.Run(string(CallNotSent), func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addr := listener.Addr().String()
		require.NoError(t, listener.Close())
		requireKind(t, NewClient(0), addr, CallNotSent)
	})
}

func requireKind(t *testing.T, client *Client, addr string, kind CallErrorKind) {
	t.Helper()
	_, err := client.State(t.Context(), addr)
	callErr, ok := errors.Into[*CallError](err)
	require.True(t, ok, "%v", err)
	require.Equal(t, kind, callErr.Kind, "%v", err)
}
