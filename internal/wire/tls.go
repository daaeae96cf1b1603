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

	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
	"github.com/fennelcourse/fennelcourse/internal/sockets"
)

// TLSFiles contains the paths of PEM files. The files are reloaded when they change, so
// that keys can be rotated without a restart.
type TLSFiles struct {
	Cert, Key string
	// CA contains the certificates of the authorities that sign the nodes' certificates.
	CA string
}

// TLSConfig provides TLS configurations from files. All methods are safe for concurrent
// use.
//
// A rotation applies to connections opened after it. If the new files cannot be used,
// for example because the key does not match the certificate or a file is incomplete,
// the current credentials stay in use and each failed reload is logged.
type TLSConfig struct {
	files TLSFiles
	log   *slog.Logger

	mu          sync.Mutex
	credentials *tlsCredentials
	fileStats   [3]fileStat
}

type tlsCredentials struct {
	cert tls.Certificate
	ca   *x509.CertPool
}

type fileStat struct {
	size    int64
	modTime time.Time
}

// NewTLSConfig loads the files and returns an error if they cannot be used.
func NewTLSConfig(files TLSFiles, log *slog.Logger) (*TLSConfig, error) {
	if log == nil {
		log = slog.Default()
	}
	c := &TLSConfig{files: files, log: log}
	fileStats, err := statFiles(files)
	if err != nil {
		return nil, &ConfigError{Field: "tls", Cause: err}
	}
	credentials, err := loadCredentials(files)
	if err != nil {
		return nil, &ConfigError{Field: "tls", Cause: err}
	}
	c.fileStats, c.credentials = fileStats, credentials
	return c, nil
}

// Server returns the configuration of a TLS listener. If mutual is true, clients must
// present a certificate signed by the CA, which is how nodes authenticate each other.
func (c *TLSConfig) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.serverConfig(mutual), nil
		},
	}
}

func (c *TLSConfig) serverConfig(mutual bool) *tls.Config {
	m := c.currentCredentials()
	cfg := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{m.cert},
		// A resumed session would outlive the rotation that replaces its certificate.
		SessionTicketsDisabled: true,
	}
	if mutual {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.ClientCAs = m.ca
	}
	return cfg
}

// Client returns the configuration of a connection to serverName, an IP address or host
// name that the server's certificate must contain.
func (c *TLSConfig) Client(serverName string) *tls.Config {
	m := c.currentCredentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		ServerName:   serverName,
		RootCAs:      m.ca,
		Certificates: []tls.Certificate{m.cert},
	}
}

// HTTPTransport returns a client transport that uses the current credentials for each
// new connection. If serverName is not empty, the server's certificate is verified
// against it and not against the dialed host.
func (c *TLSConfig) HTTPTransport(serverName string) *httpbounds.Transport {
	return httpbounds.New(&http.Transport{
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
			return c.dialTLS(ctx, network, addr, name)
		},
	})
}

// dialTLS opens a TLS connection to a server with the name.
func (c *TLSConfig) dialTLS(ctx context.Context, network, addr, name string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(sockets.CheckEnd(conn), c.Client(name)) // crypto/tls accepts an end without close_notify
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // the handshake's error is returned
		return nil, err
	}
	return secured, nil
}

// idleConnTimeout closes idle connections, whose credentials may predate a rotation.
const idleConnTimeout = 90 * time.Second

// currentCredentials returns the latest valid credentials. It checks the files for
// changes on each new connection, which is rare, and does so without holding the lock.
func (c *TLSConfig) currentCredentials() *tlsCredentials {
	c.mu.Lock()
	old, oldFileStats := c.credentials, c.fileStats
	c.mu.Unlock()
	fileStats, err := statFiles(c.files)
	if err == nil && fileStats == oldFileStats {
		return old
	}
	var credentials *tlsCredentials
	if err == nil {
		credentials, err = loadCredentials(c.files)
	}
	if err != nil {
		c.log.Error("cannot load tls files, keeping the current credentials", "cert", c.files.Cert, "err", err)
		return old
	}
	c.mu.Lock()
	c.credentials, c.fileStats = credentials, fileStats
	c.mu.Unlock()
	c.log.Info("tls files reloaded", "cert", c.files.Cert)
	return credentials
}

func statFiles(files TLSFiles) ([3]fileStat, error) {
	var fileStats [3]fileStat
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return fileStats, err
		}
		fileStats[i] = fileStat{size: info.Size(), modTime: info.ModTime()}
	}
	return fileStats, nil
}

func loadCredentials(files TLSFiles) (*tlsCredentials, error) {
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
	return &tlsCredentials{cert: cert, ca: pool}, nil
}
