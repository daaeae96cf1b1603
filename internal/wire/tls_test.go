package wire_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/wire"
)

// writeFiles makes a CA and a node certificate signed by it.
func writeFiles(t *testing.T, dir string) wire.TLSFiles {
	t.Helper()
	template := func(serial int64, ca bool) *x509.Certificate {
		return &x509.Certificate{
			SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "fennel"}, IsCA: ca, BasicConstraintsValid: true,
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	nodeKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	ca, node := template(1, true), template(2, false)
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	require.NoError(t, err)
	nodeDER, err := x509.CreateCertificate(rand.Reader, node, ca, &nodeKey.PublicKey, caKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(nodeKey)
	require.NoError(t, err)
	files := wire.TLSFiles{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: nodeDER},
		files.Key:  {Type: "PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: caDER},
	} {
		require.NoError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

// Certificates are rotated under a running node. A node that kept the old ones
// would refuse all its peers until a restart; one that took up half-written
// files would refuse them at once.
func TestTLSRotatesWithoutRestart(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	dir := t.TempDir()
	files := writeFiles(t, dir)
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
	stranger, err := wire.NewTLSConfig(writeFiles(t, t.TempDir()), log)
	require.NoError(t, err)
	require.Error(t, call(stranger))
	plain := http.Client{Transport: &http.Transport{}}
	_, err = plain.Get(server.URL)
	require.Error(t, err)

	require.NoError(t, os.WriteFile(files.Key, []byte("half"), 0o600))
	require.NoError(t, call(nodeTLS))
	writeFiles(t, dir)
	peer, err := wire.NewTLSConfig(files, log)
	require.NoError(t, err)
	require.NoError(t, call(peer))
}
