package wiretest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/wire"
)

// Authority is a certificate authority that issues certificates for 127.0.0.1.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's certificate in PEM format.
	PEM []byte
}

// NewAuthority returns an authority with a new key.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key := newKey(t)
	cert := newCertTemplate(1)
	cert.IsCA = true
	a := &Authority{cert: cert, key: key}
	a.PEM = a.sign(t, cert, key)
	return a
}

// Issue writes a new certificate, its key and the authority's certificate to dir. Each
// file is replaced atomically.
func (a *Authority) Issue(t testing.TB, dir string) wire.TLSFiles {
	t.Helper()
	key := newKey(t)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	files := wire.TLSFiles{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	WriteFileAtomic(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
	WriteFileAtomic(t, files.Cert, a.sign(t, newCertTemplate(time.Now().UnixNano()), key))
	WriteFileAtomic(t, files.CA, a.PEM)
	return files
}

// WriteFileAtomic replaces the file at path atomically.
func WriteFileAtomic(t testing.TB, path string, text []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path+".new", text, 0o600))
	require.NoError(t, os.Rename(path+".new", path))
}

func (a *Authority) sign(t testing.TB, cert *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func newCertTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "fennel"}, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}
