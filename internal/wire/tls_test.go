package wire_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wiretest"
)

// Certificates are rotated while a node runs. A node that kept the old ones would reject
// all its peers until a restart; a node that loaded incomplete files would reject them
// at once.
func TestTLSRotationWithoutRestart(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	dir := t.TempDir()
	files := wiretest.NewAuthority(t).Issue(t, dir)
	nodeTLS, err := wire.NewTLSConfig(files, log)
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		require.Len(t, r.TLS.PeerCertificates, 1)
	}))
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.TLS = nodeTLS.Server(true)
	server.StartTLS()
	defer server.Close()

	call := func(c *wire.TLSConfig) error {
		transport := c.HTTPTransport("")
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get(server.URL)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	require.NoError(t, call(nodeTLS))
	untrusted, err := wire.NewTLSConfig(wiretest.NewAuthority(t).Issue(t, t.TempDir()), log)
	require.NoError(t, err)
	require.Error(t, call(untrusted))
	plain := http.Client{Transport: &http.Transport{}}
	_, err = plain.Get(server.URL)
	require.Error(t, err)

	require.NoError(t, os.WriteFile(files.Key, []byte("half"), 0o600))
	require.NoError(t, call(nodeTLS))
	wiretest.NewAuthority(t).Issue(t, dir)
	peer, err := wire.NewTLSConfig(files, log)
	require.NoError(t, err)
	require.NoError(t, call(peer))
}
