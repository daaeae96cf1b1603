package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// TLSFiles names PEM files. They are read again when they change, so that keys
// are rotated without a restart.
type TLSFiles struct {
	Cert, Key string
	// CA holds the certificates that sign the nodes' certificates.
	CA string
}

// TLSConfig serves TLS settings from files. All methods are safe for concurrent use.
//
// A rotation takes effect on connections opened after it. When the new files
// cannot be used (a key that does not fit its certificate, a half-written file)
// the old material stays in use, and each failed look is logged.
type TLSConfig struct {
	files TLSFiles
	log   *slog.Logger

	mu       sync.Mutex
	material *tlsMaterial
	stamps   [3]fileStamp
}

type tlsMaterial struct {
	cert tls.Certificate
	ca   *x509.CertPool
}

type fileStamp struct {
	size    int64
	modTime time.Time
}

// NewTLSConfig reads the files once and fails if they cannot be used.
func NewTLSConfig(files TLSFiles, log *slog.Logger) (*TLSConfig, error) {
	if log == nil {
		log = slog.Default()
	}
	c := &TLSConfig{files: files, log: log}
	stamps, err := stampFiles(files)
	if err != nil {
		return nil, &ConfigError{Field: "tls", Cause: err}
	}
	material, err := loadMaterial(files)
	if err != nil {
		return nil, &ConfigError{Field: "tls", Cause: err}
	}
	c.stamps, c.material = stamps, material
	return c, nil
}

// Server returns the settings of a TLS listener. With mutual set, clients must
// present a certificate signed by the CA: that is how nodes know each other.
func (c *TLSConfig) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.serverNow(mutual), nil
		},
	}
}

func (c *TLSConfig) serverNow(mutual bool) *tls.Config {
	m := c.current()
	cfg := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{m.cert},
		// A resumed session would outlive the rotation that ends its certificate.
		SessionTicketsDisabled: true,
	}
	if mutual {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.ClientCAs = m.ca
	}
	return cfg
}

// Client returns the settings of one connection to serverName, an IP number or
// name that the server's certificate must carry.
func (c *TLSConfig) Client(serverName string) *tls.Config {
	m := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		ServerName:   serverName,
		RootCAs:      m.ca,
		Certificates: []tls.Certificate{m.cert},
	}
}

// HTTPTransport returns a client transport that takes the newest settings for
// each new connection. serverName overrides the dialled host in the check of the
// server's certificate; empty means the host.
func (c *TLSConfig) HTTPTransport(serverName string) *http.Transport {
	return &http.Transport{
		ForceAttemptHTTP2: true,
		IdleConnTimeout:   idleConnTimeout,
		DialTLSContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			name := serverName
			if name == "" {
				host, _, err := net.SplitHostPort(addr)
				if err != nil {
					return nil, err
				}
				name = host
			}
			dialer := &tls.Dialer{Config: c.Client(name)}
			return dialer.DialContext(ctx, network, addr)
		},
	}
}

// idleConnTimeout closes connections that a rotation may have outdated.
const idleConnTimeout = 90 * time.Second

// current returns the newest usable material. It looks at the files for each
// new connection, which is rare, without the lock.
func (c *TLSConfig) current() *tlsMaterial {
	c.mu.Lock()
	old, oldStamps := c.material, c.stamps
	c.mu.Unlock()
	stamps, err := stampFiles(c.files)
	if err == nil && stamps == oldStamps {
		return old
	}
	var material *tlsMaterial
	if err == nil {
		material, err = loadMaterial(c.files)
	}
	if err != nil {
		c.log.Error("tls files not usable, keeping the old ones", "cert", c.files.Cert, "err", err)
		return old
	}
	c.mu.Lock()
	c.material, c.stamps = material, stamps
	c.mu.Unlock()
	c.log.Info("tls files read again", "cert", c.files.Cert)
	return material
}

func stampFiles(files TLSFiles) ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, err
		}
		stamps[i] = fileStamp{size: info.Size(), modTime: info.ModTime()}
	}
	return stamps, nil
}

func loadMaterial(files TLSFiles) (*tlsMaterial, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("ca: no certificate in %s", files.CA)
	}
	return &tlsMaterial{cert: cert, ca: pool}, nil
}
