// Package settings reads and checks the daemon's YAML settings file.
//
// A settings file belongs to one node; what all nodes share is in the operators'
// rules file, in the platform's store. Unknown keys are errors.
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

// Settings of one fenneld.
type Settings struct {
	// Node is the node's name, unique over the whole system.
	Node cluster.NodeID `yaml:"node"`
	Zone cluster.ZoneID `yaml:"zone"`
	// Region names the region of the zone; information for operators only.
	Region   string   `yaml:"region"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	TLS      TLS      `yaml:"tls"`
	Requests Requests `yaml:"requests"`
	Control  Control  `yaml:"control"`
	Drain    Drain    `yaml:"drain"`
	Log      Log      `yaml:"log"`
	// Retries and Process apply with platform.driver managed only.
	Retries Retries `yaml:"retries"`
	Feeds   Feeds   `yaml:"feeds"`
	Process Process `yaml:"process"`
}

// Listen names the addresses that the node serves on, each ip:port.
type Listen struct {
	// Callers is where the platform's balancer sends callers; also /livez and /readyz.
	Callers string `yaml:"callers"`
	// Control serves peers and operators (connect-go) and /metrics.
	Control string `yaml:"control"`
	// Datagrams is the UDP address of the inner protocol.
	Datagrams string `yaml:"datagrams"`
	// Ready answers the balancer's question whether this node takes callers, where the
	// platform asks at an address of its own (platform.driver managed). Metrics serves
	// the scraper and operators there, without TLS, inside the network; it may be empty.
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
}

// Driver names the platform that a node runs on.
type Driver string

// DriverEtcd, the default, is an etcd gateway with a VM list and the operators'
// rules file. DriverManaged is a platform whose key-value service also holds the
// list of backend servers and the operator's configuration.
const (
	DriverEtcd    Driver = "etcd"
	DriverManaged Driver = "managed"
)

// Feeds are the nodes that watch the store for others (driver managed).
type Feeds struct {
	// Listen is this node's ip:port for others, empty where it serves none; Seeds are
	// the addresses of the nodes to follow. A node that is a seed itself watches the
	// store; so does one without any.
	Listen string   `yaml:"listen"`
	Seeds  []string `yaml:"seeds"`
}

// Platform says where the platform's services are.
type Platform struct {
	Driver Driver `yaml:"driver"`
	// Address is the ip:port of the key-value service (driver managed).
	Address string `yaml:"address"`
	// Store lists the base URLs of the key-value service's etcd v3 JSON gateway.
	Store []string `yaml:"store"`
	// VMList is the base URL of the VM list.
	VMList string `yaml:"vm_list"`
	// Timeout of one call; default 2s.
	Timeout time.Duration `yaml:"timeout"`
	// VMListEvery is how often the VM list is read; default 5s.
	VMListEvery time.Duration `yaml:"vm_list_every"`
}

// Peers says how nodes find and trust each other.
type Peers struct {
	// System names the whole system, the same on all its nodes: what nodes of another
	// system say is dropped, also where both have the same keys. Without it a node hears
	// all that have its keys.
	System string `yaml:"system"`
	// Seeds are datagram addresses of a few other nodes, of any zone.
	Seeds []string `yaml:"seeds"`
	// Heartbeat is the interval between datagrams to a peer; default 1s.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// Keys authenticate datagrams. The first signs, all verify: to rotate, add the
	// new key last on all nodes, then move it first, then drop the old one.
	Keys []Key `yaml:"keys"`
}

// Key is one datagram key. Exactly one of Secret and SecretFile is given.
type Key struct {
	ID uint32 `yaml:"id"`
	// Secret is at least 32 hex digits.
	Secret     string `yaml:"secret"`
	SecretFile string `yaml:"secret_file"`
}

// TLS holds the files for the control address. They are read again when they change.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
	// Off serves and calls control addresses without TLS: for trials on one machine only.
	Off bool `yaml:"off"`
}

// Requests bounds callers' requests.
type Requests struct {
	// MaxBody in bytes; default 4 MiB.
	MaxBody int64 `yaml:"max_body"`
	// Deadline for the first token when the caller names none; default 30s.
	Deadline time.Duration `yaml:"deadline"`
	// CallTimeout of plain services; default 20s.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// ClaimRetention is how long idempotency keys are remembered; default 24h.
	ClaimRetention time.Duration `yaml:"claim_retention"`
}

// Control sets the node's control duties.
type Control struct {
	// PlacementLease is the lease time of the zone's placement duty; default 10s.
	PlacementLease time.Duration `yaml:"placement_lease"`
	// ConfirmWithin is the greatest age of a replica's confirmation by all its VMs; default 8s.
	ConfirmWithin time.Duration `yaml:"confirm_within"`
	// NeighborZones are other zones whose replicas this node also uses: when its own
	// are lost or full, or the route says prefer=any. Each costs polls of its
	// replicas, shared by the zone's nodes; default none.
	NeighborZones []cluster.ZoneID `yaml:"neighbor_zones"`
	// LoadsPerMinute is the weight store's rate, in model loads a minute; default 60.
	LoadsPerMinute float64 `yaml:"loads_per_minute"`
}

// Drain sets the planned stop.
type Drain struct {
	// Notice is how long the node is unready but still accepts, so that the
	// balancer notices first; default 5s.
	Notice time.Duration `yaml:"notice"`
}

// Retries bounds the arrivals at backend servers beyond the first of each call,
// over all nodes together.
type Retries struct {
	// Ratio of repeats to calls, with Slack beside it in each Window.
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
	// Nodes is the most nodes that may share the slack; default 256, which leaves each
	// node its part of the ratio: no node knows how many there are.
	Nodes int `yaml:"nodes"`
}

// Process bounds the daemon's process.
type Process struct {
	// MemoryMB is what the process may use at most; 0 for no bound.
	MemoryMB int `yaml:"memory_mb"`
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// Grace is how long a planned stop may last before the process is killed.
	Grace time.Duration `yaml:"grace"`
}

// Log sets the daemon's log.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `yaml:"level"`
}

// Defaults of the fields above.
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
	minSecretHex           = 32
)

// Load reads, completes and checks the file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse completes and checks settings given as YAML.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := dec.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		return nil, Errors{yamlError(err)}
	}
	if err := dec.Decode(&Settings{}); !errors.Is(err, io.EOF) {
		return nil, Errors{&FieldError{"---", "a second document", "one document: what follows would be ignored"}}
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

// Bytes returns the key's secret, read from its file when it has one.
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
	if err != nil || len(text) < minSecretHex {
		return nil, fmt.Errorf("at least %d hex digits", minSecretHex)
	}
	return secret, nil
}
