// Package settings reads and checks the daemon's YAML settings file.
//
// A settings file configures one node. Configuration shared by all nodes is in the
// operators' rules file, which is kept in the platform's store. Unknown keys are errors.
package settings

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Settings configures one fenneld process.
type Settings struct {
	// Node is the node's name, unique in the whole system.
	Node cluster.NodeID `yaml:"node"`
	Zone cluster.ZoneID `yaml:"zone"`
	// Region is the region of the zone. With platform.driver managed it is required;
	// otherwise it is informational.
	Region   string   `yaml:"region"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	TLS      TLS      `yaml:"tls"`
	Requests Requests `yaml:"requests"`
	Control  Control  `yaml:"control"`
	Drain    Drain    `yaml:"drain"`
	Log      Log      `yaml:"log"`
	// Retries, Feeds, Process and Zones apply only with platform.driver managed.
	Retries Retries `yaml:"retries"`
	Feeds   Feeds   `yaml:"feeds"`
	Process Process `yaml:"process"`
	Zones   Zones   `yaml:"zones"`
}

// Listen holds the addresses that the node serves on, each as ip:port.
type Listen struct {
	// Callers receives callers' requests from the platform's load balancer and serves
	// /livez and /readyz.
	Callers string `yaml:"callers"`
	// Control serves peers and operators (Connect RPC) and /metrics.
	Control string `yaml:"control"`
	// Datagrams is the UDP address of the protocol between nodes.
	Datagrams string `yaml:"datagrams"`
	// Ready serves the load balancer's readiness check on a separate address
	// (platform.driver managed). Metrics serves the metrics scraper and operators, without
	// TLS and for the internal network only (platform.driver managed); it may be empty.
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
}

// Driver selects the platform that a node runs on.
type Driver string

// DriverEtcd, the default, uses an etcd gateway, a VM list and the operators' rules
// file. DriverManaged uses a platform whose key-value service also holds the list of
// backend servers and the operators' configuration.
const (
	DriverEtcd    Driver = "etcd"
	DriverManaged Driver = "managed"
)

// Feeds configures the relaying of store changes between nodes (driver managed): feed
// nodes watch the store, and the others follow a feed node.
type Feeds struct {
	// Listen is the ip:port on which this node serves its feed; empty if it serves none.
	// Seeds are the addresses of the nodes to follow. A node that is itself a seed
	// watches the store directly, and so does a node without seeds.
	Listen string   `yaml:"listen"`
	Seeds  []string `yaml:"seeds"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Driver Driver `yaml:"driver"`
	// Address is the ip:port of the key-value service (driver managed).
	Address string `yaml:"address"`
	// Store lists the base URLs of the key-value service's etcd v3 JSON gateway.
	Store []string `yaml:"store"`
	// VMList is the base URL of the VM list.
	VMList string `yaml:"vm_list"`
	// Timeout limits one call; default 2s.
	Timeout time.Duration `yaml:"timeout"`
	// VMListEvery is the interval between reads of the VM list; default 5s.
	VMListEvery time.Duration `yaml:"vm_list_every"`
}

// Peers configures how nodes discover and authenticate each other.
type Peers struct {
	// System is the name of the whole system, the same on all its nodes: datagrams from
	// nodes of another system are dropped even if both systems have the same keys. If it
	// is empty, a node accepts datagrams from every node that has its keys.
	System string `yaml:"system"`
	// Seeds are the datagram addresses of a few other nodes in any zone.
	Seeds []string `yaml:"seeds"`
	// Heartbeat is the interval between datagrams to a peer; default 1s.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// Keys authenticate datagrams. The first key signs; all keys verify. To rotate, add
	// the new key last on all nodes, then move it first, then remove the old one.
	Keys []Key `yaml:"keys"`
}

// Key is one datagram key. Exactly one of Secret and SecretFile must be set.
type Key struct {
	ID uint32 `yaml:"id"`
	// Secret has at least 32 hex digits.
	Secret     string `yaml:"secret"`
	SecretFile string `yaml:"secret_file"`
}

// TLS names the certificate files of the control address. They are reloaded when they
// change.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
	// Off disables TLS on control addresses, for both serving and calling. It is meant
	// only for tests on one machine.
	Off bool `yaml:"off"`
}

// Requests sets limits for callers' requests.
type Requests struct {
	// MaxBody is the maximum size of a request body in bytes; default 4 MiB.
	MaxBody int64 `yaml:"max_body"`
	// Deadline is the time allowed until the first token when the caller sets no
	// deadline; default 30s.
	Deadline time.Duration `yaml:"deadline"`
	// CallTimeout limits one call to a plain service; default 20s.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// ClaimRetention is how long idempotency keys are remembered; default 24h.
	ClaimRetention time.Duration `yaml:"claim_retention"`
}

// Control configures the node's part in placement and health checks.
type Control struct {
	// PlacementLease is the lease duration of the zone's placement leader; default 10s.
	PlacementLease time.Duration `yaml:"placement_lease"`
	// ConfirmWithin is the maximum age of the confirmation of a replica by all its VMs;
	// default 8s.
	ConfirmWithin time.Duration `yaml:"confirm_within"`
	// NeighborZones are other zones whose replicas this node also uses: when its own
	// zone's replicas are lost or full, or when the route says prefer=any. Each neighbor
	// zone adds polls of its replicas, which the nodes of this zone share; default none.
	NeighborZones []cluster.ZoneID `yaml:"neighbor_zones"`
	// LoadsPerMinute is the rate of model loads that the weight store sustains; default 60.
	LoadsPerMinute float64 `yaml:"loads_per_minute"`
}

// Drain configures a planned shutdown.
type Drain struct {
	// Notice is how long the node reports not ready while it still accepts requests, so
	// that the load balancer stops sending them first; default 5s.
	Notice time.Duration `yaml:"notice"`
}

// Retries limits the retries of calls to backend servers, over all nodes together. Every
// arrival of a call at a backend server beyond its first counts as a retry.
type Retries struct {
	// Ratio is the maximum ratio of retries to calls. Slack is the number of retries
	// allowed in addition in each Window.
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
	// Nodes is the maximum number of nodes, by which Slack is divided, since no node knows
	// how many there are; default 256. Ratio applies to each node's own calls.
	Nodes int `yaml:"nodes"`
}

// Process sets limits for the daemon process.
type Process struct {
	// MemoryMB is the memory limit of the process; 0 means no limit.
	MemoryMB int `yaml:"memory_mb"`
	// FirstStart is true if the whole system is being started for the first time.
	FirstStart bool `yaml:"first_start"`
	// Grace is how long a planned shutdown may take before the process is killed.
	Grace time.Duration `yaml:"grace"`
}

// Log configures the daemon's log.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `yaml:"level"`
}

// Default values of the settings.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultVMListEvery     = 5 * time.Second
	DefaultHeartbeat       = time.Second
	DefaultMaxBody         = 4 << 20
	DefaultDeadline        = 30 * time.Second
	DefaultCallTimeout     = 20 * time.Second
	DefaultClaimRetention  = 24 * time.Hour
	DefaultPlacementLease  = 10 * time.Second
	DefaultConfirmWithin   = 8 * time.Second
	DefaultLoadsPerMinute  = 60
	DefaultDrainNotice     = 5 * time.Second
	DefaultRetryRatio      = 0.1
	DefaultRetryWindow     = 10 * time.Second
	DefaultRetryNodes      = 256
	DefaultGrace           = 10 * time.Second
	minSecretHexDigits     = 32
)

// Load reads the file at path, sets defaults and validates the result.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse decodes settings from YAML, sets defaults and validates the result.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := dec.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		return nil, Errors{yamlError(err)}
	}
	if err := dec.Decode(&Settings{}); !errors.Is(err, io.EOF) {
		return nil, Errors{&FieldError{"---", "a second document", "a single document; a second one would be ignored"}}
	}
	s.setDefaults()
	if errs := s.check(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	setDefault(&s.Platform.Timeout, DefaultPlatformTimeout)
	setDefault(&s.Platform.VMListEvery, DefaultVMListEvery)
	setDefault(&s.Peers.Heartbeat, DefaultHeartbeat)
	setDefault(&s.Requests.MaxBody, DefaultMaxBody)
	setDefault(&s.Requests.Deadline, DefaultDeadline)
	setDefault(&s.Requests.CallTimeout, DefaultCallTimeout)
	setDefault(&s.Requests.ClaimRetention, DefaultClaimRetention)
	setDefault(&s.Control.PlacementLease, DefaultPlacementLease)
	setDefault(&s.Control.ConfirmWithin, DefaultConfirmWithin)
	setDefault(&s.Control.LoadsPerMinute, DefaultLoadsPerMinute)
	setDefault(&s.Drain.Notice, DefaultDrainNotice)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Platform.Driver, DriverEtcd)
	setDefault(&s.Retries.Ratio, DefaultRetryRatio)
	setDefault(&s.Retries.Window, DefaultRetryWindow)
	setDefault(&s.Retries.Nodes, DefaultRetryNodes)
	setDefault(&s.Process.Grace, DefaultGrace)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Bytes returns the decoded secret, which is read from SecretFile if that is set.
func (k Key) Bytes() ([]byte, error) {
	text := k.Secret
	if k.SecretFile != "" {
		data, err := os.ReadFile(k.SecretFile)
		if err != nil {
			return nil, err
		}
		text = strings.TrimSpace(string(data))
	}
	secret, err := hex.DecodeString(text)
	if err != nil || len(text) < minSecretHexDigits {
		return nil, fmt.Errorf("at least %d hex digits", minSecretHexDigits)
	}
	return secret, nil
}
