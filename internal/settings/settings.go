// Package settings reads and checks the daemon's YAML settings file.
//
// A settings file belongs to one node; what all nodes share is in the operators'
// rules file, in the platform's store. Unknown keys are errors.
package settings

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

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
}

// Listen names the addresses that the node serves on, each ip:port.
type Listen struct {
	// Callers is where the platform's balancer sends callers; also /livez and /readyz.
	Callers string `yaml:"callers"`
	// Control serves peers and operators (connect-go) and /metrics.
	Control string `yaml:"control"`
	// Datagrams is the UDP address of the inner protocol.
	Datagrams string `yaml:"datagrams"`
}

// Platform says where the platform's services are.
type Platform struct {
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
	minSecretHex           = 32
)

// FieldError names the field that is wrong, what was found and what would be right.
type FieldError struct {
	Field, Found, Want string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %q; want %s", e.Field, e.Found, e.Want)
}

// Errors are all faults of one file.
type Errors []error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

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
	if err := dec.Decode(s); err != nil {
		return nil, Errors{err}
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
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) check() Errors {
	var errs Errors
	bad := func(field, found, want string) { errs = append(errs, &FieldError{field, found, want}) }
	checkName := func(field, value string) {
		if value == "" || strings.ContainsAny(value, "/ \t\n") {
			bad(field, value, "a name without spaces or slashes")
		}
	}
	checkName("node", string(s.Node))
	checkName("zone", string(s.Zone))
	for field, addr := range map[string]string{"listen.callers": s.Listen.Callers, "listen.control": s.Listen.Control, "listen.datagrams": s.Listen.Datagrams} {
		if !isIPPort(addr) {
			bad(field, addr, "ip:port, such as 10.0.0.5:8080")
		}
	}
	if len(s.Platform.Store) == 0 {
		bad("platform.store", "", "at least one base URL")
	}
	for i, u := range s.Platform.Store {
		if !isURL(u) {
			bad(fmt.Sprintf("platform.store[%d]", i), u, "an http or https URL")
		}
	}
	if !isURL(s.Platform.VMList) {
		bad("platform.vm_list", s.Platform.VMList, "an http or https URL")
	}
	for i, zone := range s.Control.NeighborZones {
		if zone == s.Zone {
			bad(fmt.Sprintf("control.neighbor_zones[%d]", i), string(zone), "a zone other than the node's own")
		}
		checkName(fmt.Sprintf("control.neighbor_zones[%d]", i), string(zone))
	}
	for i, addr := range s.Peers.Seeds {
		if !isIPPort(addr) {
			bad(fmt.Sprintf("peers.seeds[%d]", i), addr, "ip:port of a node's datagrams")
		}
	}
	errs = append(errs, s.checkKeys()...)
	errs = append(errs, s.checkTLS()...)
	errs = append(errs, s.checkRanges()...)
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errs
}

func (s *Settings) checkKeys() Errors {
	var errs Errors
	if len(s.Peers.Keys) == 0 {
		errs = append(errs, &FieldError{"peers.keys", "", "at least one key"})
	}
	seen := map[uint32]bool{}
	for i, k := range s.Peers.Keys {
		field := fmt.Sprintf("peers.keys[%d]", i)
		if seen[k.ID] {
			errs = append(errs, &FieldError{field + ".id", fmt.Sprint(k.ID), "an id that no other key has"})
		}
		seen[k.ID] = true
		if (k.Secret == "") == (k.SecretFile == "") {
			errs = append(errs, &FieldError{field, "", "exactly one of secret and secret_file"})
			continue
		}
		if _, err := k.Bytes(); err != nil {
			errs = append(errs, &FieldError{field, "(not shown)", err.Error()})
		}
	}
	return errs
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

func (s *Settings) checkTLS() Errors {
	t := s.TLS
	if t.Off {
		if t.Cert+t.Key+t.CA != "" {
			return Errors{&FieldError{"tls.off", "true", "no cert, key or ca beside it"}}
		}
		return nil
	}
	var errs Errors
	for field, path := range map[string]string{"tls.cert": t.Cert, "tls.key": t.Key, "tls.ca": t.CA} {
		if path == "" {
			errs = append(errs, &FieldError{field, "", "a PEM file (or tls.off: true for a trial on one machine)"})
		}
	}
	return errs
}

func (s *Settings) checkRanges() Errors {
	var errs Errors
	positive := map[string]time.Duration{
		"platform.timeout": s.Platform.Timeout, "platform.vm_list_every": s.Platform.VMListEvery, "peers.heartbeat": s.Peers.Heartbeat,
		"requests.deadline": s.Requests.Deadline, "requests.call_timeout": s.Requests.CallTimeout,
		"requests.claim_retention": s.Requests.ClaimRetention, "control.confirm_within": s.Control.ConfirmWithin, "drain.notice": s.Drain.Notice,
	}
	for field, d := range positive {
		if d < 0 {
			errs = append(errs, &FieldError{field, d.String(), "a duration above zero, such as 2s"})
		}
	}
	if s.Control.PlacementLease < 2*time.Second {
		errs = append(errs, &FieldError{"control.placement_lease", s.Control.PlacementLease.String(), "at least 2s"})
	}
	if s.Requests.MaxBody < 0 {
		errs = append(errs, &FieldError{"requests.max_body", fmt.Sprint(s.Requests.MaxBody), "bytes above zero"})
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		errs = append(errs, &FieldError{"log.level", s.Log.Level, "debug, info, warn or error"})
	}
	return errs
}

func isIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
