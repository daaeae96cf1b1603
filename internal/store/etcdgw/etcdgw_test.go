package etcdgw_test

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdgw"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/internal/store/storetest"
)

// shortTimeout is for calls that are expected to time out.
const shortTimeout = 50 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startPlatform(t *testing.T) (*platform.Server, string) {
	t.Helper()
	p := platform.New(platform.Options{})
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(p.Store().Close)
	return p, srv.URL
}

func newClient(t *testing.T, opts etcdgw.Options) *etcdgw.Client {
	t.Helper()
	c := etcdgw.New(opts)
	t.Cleanup(c.Close)
	return c
}

// unreachableEndpoint returns the URL of a port without a listener.
func unreachableEndpoint(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return "http://" + l.Addr().String()
}

func TestConformance(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.Store {
		_, url := startPlatform(t)
		return newClient(t, etcdgw.Options{Endpoints: []string{url}})
	})
}

func putTxn() store.Txn {
	return store.Txn{Then: []store.Op{store.Put("/k", []byte("1"), 0)}}
}

func requireOutcome(t *testing.T, err error, want store.Outcome) {
	t.Helper()
	storeErr, ok := errors.Into[*store.Error](err)
	require.True(t, ok, "%v", err)
	require.Equal(t, store.Unavailable, storeErr.Kind, "%v", err)
	require.Equal(t, want, storeErr.Outcome, "%v", err)
}

// Whichever way the service fails, the caller of a write must learn whether the
// write may have taken effect. If a driver reported a lost response as Refused, the
// caller would repeat the write, and a deposit could be charged twice.
func TestFailedWriteOutcome(t *testing.T) {
	cases := []struct {
		name    string
		faults  platform.Faults
		outcome store.Outcome
		applied bool
	}{
		{"response lost", platform.Faults{Store: memstore.Faults{LoseAnswers: 1}}, store.Unknown, true},
		{"write lost", platform.Faults{Store: memstore.Faults{DropWrites: 1}}, store.Unknown, false},
		{"unavailable", platform.Faults{Store: memstore.Faults{Down: true}}, store.Unknown, false},
		{"silent", platform.Faults{Silent: true}, store.Unknown, false},
		{"slow", platform.Faults{Store: memstore.Faults{Delay: time.Hour}}, store.Unknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, url := startPlatform(t)
			p.SetFaults(c.faults)
			client := newClient(t, etcdgw.Options{Endpoints: []string{url}, Timeout: shortTimeout})
			_, err := client.Txn(t.Context(), putTxn())
			requireOutcome(t, err, c.outcome)
			p.SetFaults(platform.Faults{})
			kv, _, err := p.Store().Get(t.Context(), "/k")
			require.NoError(t, err)
			require.Equal(t, c.applied, kv != nil)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		client := newClient(t, etcdgw.Options{Endpoints: []string{unreachableEndpoint(t)}})
		_, err := client.Txn(t.Context(), putTxn())
		requireOutcome(t, err, store.Refused)
	})
	t.Run("truncated response body", func(t *testing.T) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"succeeded":`)
		}))
		t.Cleanup(srv.Close)
		client := newClient(t, etcdgw.Options{Endpoints: []string{srv.URL}})
		_, err := client.Txn(t.Context(), putTxn())
		requireOutcome(t, err, store.Unknown)
	})
}

// When one endpoint fails, calls that certainly had no effect are retried on another
// endpoint without an error to the caller. A write that may have taken effect must
// not be retried.
func TestEndpointFailover(t *testing.T) {
	t.Run("a write fails over from an unreachable endpoint", func(t *testing.T) {
		_, url := startPlatform(t)
		client := newClient(t, etcdgw.Options{Endpoints: []string{unreachableEndpoint(t), url}})
		storetest.Put(t, client, "/k", "1")
	})
	t.Run("a write with unknown outcome is not retried", func(t *testing.T) {
		first, firstURL := startPlatform(t)
		second, secondURL := startPlatform(t)
		first.SetFaults(platform.Faults{Store: memstore.Faults{DropWrites: 1}})
		client := newClient(t, etcdgw.Options{Endpoints: []string{firstURL, secondURL}})
		_, err := client.Txn(t.Context(), putTxn())
		requireOutcome(t, err, store.Unknown)
		require.Zero(t, second.Calls()[string(memstore.KindTxn)])
	})
	t.Run("a read fails over from a silent endpoint", func(t *testing.T) {
		silent, silentURL := startPlatform(t)
		silent.SetFaults(platform.Faults{Silent: true})
		good, goodURL := startPlatform(t)
		storetest.Put(t, good.Store(), "/k", "1")
		client := newClient(t, etcdgw.Options{Endpoints: []string{silentURL, goodURL}, Timeout: 10 * shortTimeout})
		kv, _, err := client.Get(t.Context(), "/k")
		require.NoError(t, err)
		require.Equal(t, "1", string(kv.Value))
	})
}

// A middlebox drops the state of a watch's connection, which stays open but delivers
// nothing. Without the idle timeout the node would keep outdated rules indefinitely
// although the operators' change was accepted.
func TestIdleWatchIsReopened(t *testing.T) {
	p, url := startPlatform(t)
	var opened atomic.Int64
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if opened.Add(1) > 1 {
			p.Handler().ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"result":{"header":{"revision":"1"},"created":true}}`+"\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(proxy.Close)
	client := newClient(t, etcdgw.Options{Endpoints: []string{proxy.URL}, WatchIdleTimeout: shortTimeout})
	ch, err := client.Watch(t.Context(), "/", 0)
	require.NoError(t, err)
	storetest.Put(t, newClient(t, etcdgw.Options{Endpoints: []string{url}}), "/k", "1")
	batch := <-ch
	require.NoError(t, batch.Err)
	require.Equal(t, "/k", batch.Events[0].KV.Key)
}

func TestWatchErrors(t *testing.T) {
	p, url := startPlatform(t)
	client := newClient(t, etcdgw.Options{Endpoints: []string{url}})
	first := storetest.Put(t, client, "/k", "1")

	ch, err := client.Watch(t.Context(), "/", 0)
	require.NoError(t, err)
	p.SetFaults(platform.Faults{Store: memstore.Faults{Down: true}})
	require.Error(t, (<-ch).Err, "the store went down")
	_, err = client.Watch(t.Context(), "/", 0)
	requireOutcome(t, err, store.Refused)

	p.SetFaults(platform.Faults{})
	p.Store().Compact(storetest.Put(t, client, "/k", "2"))
	ch, err = client.Watch(t.Context(), "/", first)
	require.NoError(t, err)
	storeErr, ok := errors.Into[*store.Error]((<-ch).Err)
	require.True(t, ok)
	require.Equal(t, store.Compacted, storeErr.Kind)
}

func TestTLSAndToken(t *testing.T) {
	p := platform.New(platform.Options{})
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = io.WriteString(w, `{"code":16,"message":"invalid auth token"}`)
			return
		}
		p.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	roots := x509.NewCertPool()
	roots.AddCert(srv.Certificate())
	good := etcdgw.Options{Endpoints: []string{srv.URL}, TLS: &tls.Config{RootCAs: roots}, Token: "secret"}
	storetest.Put(t, newClient(t, good), "/k", "1")

	bad := good
	bad.TLS = good.TLS.Clone()
	bad.Token = "wrong"
	_, err := newClient(t, bad).Txn(t.Context(), putTxn())
	storeErr, ok := errors.Into[*store.Error](err)
	require.True(t, ok)
	require.Equal(t, store.Invalid, storeErr.Kind)
	require.Equal(t, store.Refused, storeErr.Outcome)
}
